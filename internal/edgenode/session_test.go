package edgenode

import (
	"fmt"
	"strings"
	"testing"

	"silvercove/internal/pgwire"
)

func TestSession_AnswersQueries(t *testing.T) {
	c := newServingFleet(t, 1, true, "")
	client := dialNode(t, c.processes["edge-a"].peer.RequestAddress)
	for _, tc := range []struct{ text, value, state string }{
		{"SELECT 1", "1", pgwire.StateSuccess},
		{"SHOW server_load", "inflight=0", pgwire.StateSuccess},
		{"", "", pgwire.StateSuccess},
		{"DROP TABLE kv", "", pgwire.StateSyntaxError},
		{"SELECT content FROM kv WHERE name = 'camera-7' /* id=1,c=look,d=900 */", "1 1 edge-a", pgwire.StateSuccess},
		{"SELECT content FROM kv WHERE name = 'camera-8' /* id=1,c=look,d=900 */", "", pgwire.StateTooManyConnections},
	} {
		if v, state, err := client.exchange(pgwire.SimpleQuery(tc.text)); err != nil || v != tc.value || state != tc.state {
			t.Errorf("%s: %q %s %v", tc.text, v, state, err)
		}
	}
	if v, state := client.write("again", "camera-7", nil); v != "2 1 edge-a" || state != pgwire.StateSuccess {
		t.Errorf("write: value %s, state %s", v, state)
	}
	if v, _ := client.write("first", "camera-7", nil); v != "1 1 edge-a" {
		t.Errorf("repeated write: %s", v)
	}
	// The writes of 64 KiB together exceed the limit of 1 MiB for the state of an instance.
	for i := range 20 {
		if _, state := client.write(fmt.Sprint("big", i), "camera-7", make([]byte, 64<<10)); state == pgwire.StateLimitExceeded {
			if v, _ := client.write("small", "camera-7", nil); !strings.HasSuffix(v, "1 edge-a") {
				t.Errorf("after a write that exceeds the limit: %s", v)
			}
			return
		}
	}
	t.Error("the size of the state is not limited")
}
