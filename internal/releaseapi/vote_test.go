package releaseapi

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/standin/backends"
)

// TestVote_Outcomes checks, for each way in which a vote can fail, which outcome is counted.
func TestVote_Outcomes(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w http.ResponseWriter)
		want balancer.Outcome
	}{
		{"rejected", func(w http.ResponseWriter) { w.WriteHeader(429) }, balancer.AtCapacity},
		{"an error", func(w http.ResponseWriter) { w.WriteHeader(500) }, balancer.Errored},
		{"an invalid response", func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "{") }, balancer.TimedOut},
		{"cut", func(w http.ResponseWriter) { panic(http.ErrAbortHandler) }, balancer.TimedOut},
		{"silence", func(w http.ResponseWriter) { time.Sleep(600 * time.Millisecond) }, balancer.TimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if req.Method == http.MethodPost {
					c.do(w)
					return
				}
				<-req.Context().Done()
			}))
			t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
			client, dispatcher, _, _ := startClient(t, s.Listener.Addr().String())
			client.Vote(dispatch.Vote{Version: 1, Verdict: "HOLD"})
			backends.Eventually(t, "the outcome is counted", func() bool { return dispatcher.Snapshot().VoteOutcomes[c.want] == 1 })
		})
	}
	client, dispatcher, _, _ := startClient(t, "127.0.0.1:1")
	client.Vote(dispatch.Vote{Version: 1, Verdict: "HOLD"})
	backends.Eventually(t, "the connection failure is counted", func() bool { return dispatcher.Snapshot().VoteOutcomes[balancer.ConnectFailed] == 1 })
}

// TestVote_DuringMove changes the platform's address while a vote is in flight. That vote must get its response from the
// old platform and must not be cast again. The vote queued behind it must be cast once, at the new platform.
func TestVote_DuringMove(t *testing.T) {
	open := func(w io.Writer, req *http.Request) {
		_, _ = io.WriteString(w, liveStage)
		<-req.Context().Done()
	}
	cast, answer := make(chan struct{}), make(chan struct{})
	var first, second atomic.Int64
	const state = `{"Revision":1,"Wave":0,"State":"live","MaxShare":1.0,"AgeMs":0}`
	old := newPlatform(t, open, func(w http.ResponseWriter, _ *http.Request) {
		first.Add(1)
		close(cast)
		<-answer
		_, _ = fmt.Fprint(w, state)
	})
	moved := make(chan struct{}, 4)
	next := newPlatform(t, func(w io.Writer, req *http.Request) {
		moved <- struct{}{}
		open(w, req)
	}, func(w http.ResponseWriter, req *http.Request) {
		second.Add(1)
		_, _ = fmt.Fprint(w, strings.Replace(state, "live", "testing", 1))
	})
	client, dispatcher, address := startChecked(t, old, 5*time.Second, func() {})
	client.Vote(dispatch.Vote{Version: 1, Verdict: "PROCEED"})
	<-cast
	client.Vote(dispatch.Vote{Version: 1, Verdict: "HOLD"})
	address.Update(next)
	<-moved // the stream is at the new platform while the vote is in flight
	close(answer)
	backends.Eventually(t, "both votes are answered", func() bool { return dispatcher.Snapshot().VoteOutcomes[balancer.Succeeded] == 2 })
	if first.Load() != 1 || second.Load() != 1 {
		t.Errorf("%d votes at the old platform, %d at the new one", first.Load(), second.Load())
	}
}
