package controller

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A call of a later version, or with an operation of an unknown kind, is refused before it changes any state.
func TestCalls_OfALaterVersionChangeNothing(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	if err := c.requestLease("edge-a", 5); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-7", "edge-a")
	ctrl := c.processes["keeper-1"].controller
	before, client := ctrl.raft.Load().LastIndex(), c.processes["edge-a"].network.Client()
	defer client.CloseIdleConnections()
	for path, body := range map[string]string{
		"lease":    `{"v":2,"unit":"edge-a","run":6}`,
		"device":   `{"v":2,"name":"camera-7","zone":"south"}`,
		"outcomes": `{"v":2,"units":[]}`,
		"join":     `{"v":2,"node":"keeper-1","store":"x"}`,
		"confirm":  `{"v":2,"term":1}`,
		"step":     `{"v":2,"kind":"drop","name":"camera-7","epoch":1,"by":"edge-a","to":"edge-b"}`,
		"step?1":   `{"v":1,"kind":"merge","name":"camera-7","epoch":1,"by":"edge-a"}`,
		"step?2":   `{"v":1,"kind":"fail","name":"camera-7","epoch":1,"by":"edge-a"}`,
	} {
		response, err := client.Post("http://keeper-1/v1/"+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		responseBody, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("%s %s: %d %s", path, body, response.StatusCode, responseBody)
		}
	}
	if after := ctrl.raft.Load().LastIndex(); after != before {
		t.Errorf("the agreed log grew from index %d to %d", before, after)
	}
	if a, ok := ctrl.stateMachine.assignment("camera-7"); !ok || a.Revision != 1 {
		t.Errorf("the assignment has changed: %+v", a)
	}
}
