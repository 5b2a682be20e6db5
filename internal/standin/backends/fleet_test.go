package backends

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"silvercove/internal/pgwire"
)

func succeed(*Backend, string, uint16, time.Time) (bool, time.Duration) { return false, 0 }

// sendQuery sends a query over a new connection and returns everything that the backend sends until it closes the connection.
func sendQuery(t *testing.T, u *Backend, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", u.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = c.Write(pgwire.StartupMessage())
	_, _ = c.Write(pgwire.SimpleQuery(text))
	_, _ = c.Write(pgwire.Terminate())
	b, _ := io.ReadAll(c)
	return string(b)
}

func TestBackend_AnswersAndStates(t *testing.T) {
	u, err := NewBackend("u", 1, func(_ *Backend, op string, version uint16, _ time.Time) (bool, time.Duration) { return op == "bad", 0 })
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	query := func(op string) string {
		return "SELECT content FROM kv WHERE name = 'k' /* id=1,c=" + op + ",t=a,d=9 */"
	}
	for _, c := range []struct{ text, want string }{{query("fine"), "SELECT 1"}, {query("bad"), "by script"},
		{"BEGIN", "no statement"}} {
		if got := sendQuery(t, u, c.text); !strings.HasPrefix(got, string(pgwire.AuthenticationOK())) || !strings.Contains(got, c.want) ||
			!strings.HasSuffix(got, string(pgwire.ReadyForQuery())) {
			t.Errorf("%s: %q", c.text, got)
		}
	}
	u.Set("draining", 0)
	if got := sendQuery(t, u, query("fine")); got != "" {
		t.Errorf("a draining backend accepted a new connection: %q", got)
	}
	u.Set("up", 2)
	if u.Version() != 2 || sendQuery(t, u, query("fine")) == "" {
		t.Error("the backend is not up on version 2")
	}
}

// call sends one request to the platform, and returns the status and the decoded body.
func call(t *testing.T, p *Platform, method, path, body string) (int, map[string]any) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+p.Address()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return resp.StatusCode, out
}

func vote(stage int, decision string) string {
	return fmt.Sprintf(`{"Revision":2,"Wave":%d,"Decision":%q}`, stage, decision)
}

func TestPlatform_FollowsVotes(t *testing.T) {
	for _, c := range []struct {
		name           string
		votes          []string // the vote at each stage
		released, back bool
		updated        int // number of backends on version 2 at the end
	}{{"released", []string{"PROCEED", "PROCEED"}, true, false, 4}, {"rolled back", []string{"PROCEED", "ROLLBACK"}, false, true, 4},
		{"rolled back in the first stage", []string{"ROLLBACK"}, false, true, 2}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var all []*Backend
			for i := range 4 {
				u, err := NewBackend(fmt.Sprint("u", i), 1, succeed)
				if err != nil {
					t.Fatal(err)
				}
				defer u.Close()
				all = append(all, u)
			}
			p, err := NewPlatform(all, 1, []float64{0.5, 1}, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			done := make(chan struct{})
			go func() { defer close(done); p.Offer(context.Background(), 2, 0) }()
			for stage, v := range c.votes {
				for status := 0; status != 200; time.Sleep(10 * time.Millisecond) {
					status, _ = call(t, p, "POST", "/judgements", vote(stage, v))
					if status != 200 && status != 409 {
						t.Fatalf("status %d", status)
					}
				}
			}
			<-done
			has := 0
			for _, u := range all {
				if u.Version() == 2 {
					has++
				}
			}
			if p.Released != c.released || p.RolledBack != c.back || has != c.updated || p.TimeToVerdict <= 0 {
				t.Errorf("released %v, rolled back %v, %d backends on version 2, time to verdict %v", p.Released, p.RolledBack, has, p.TimeToVerdict)
			}
			if status, _ := call(t, p, "POST", "/judgements", "{"); status != 400 {
				t.Errorf("malformed vote: status %d", status)
			}
		})
	}
}

func TestEndpointList_WaitsForChange(t *testing.T) {
	u, err := NewBackend("u", 1, succeed)
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	p, err := NewPlatform([]*Backend{u}, 1, []float64{1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	_, list := call(t, p, "GET", "/v1/servers", "")
	seq := list["seq"].(float64)
	if _, same := call(t, p, "GET", fmt.Sprintf("/v1/servers?since=%g&timeout_ms=20", seq), ""); same["seq"] != seq {
		t.Errorf("the list has not changed, but its sequence number is %v", same["seq"])
	}
	got := make(chan map[string]any, 1)
	go func() {
		_, next := call(t, p, "GET", fmt.Sprintf("/v1/servers?since=%g&timeout_ms=5000", seq), "")
		got <- next
	}()
	u.Set("draining", 0)
	p.NotifyChange()
	if next := <-got; next["seq"].(float64) <= seq {
		t.Errorf("a change was not reported: %v", next)
	}
	if status, _ := call(t, p, "GET", "/elsewhere", ""); status != 404 {
		t.Errorf("status %d", status)
	}
}
