package releaseapi

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/transport"
)

func TestReadStage(t *testing.T) {
	const good = `{"Revision":7,"Wave":1,"State":"testing","MaxShare":0.3,"AgeMs":1500}`
	is, err := ParseStage([]byte(good))
	if err != nil || is != (dispatch.RolloutStage{Version: 7, Stage: 1, Phase: "testing", ExposureCap: 0.3, Age: 1500 * time.Millisecond}) {
		t.Errorf("%+v, %v", is, err)
	}
	for _, c := range []struct{ old, put string }{{`"Revision":7,`, ""}, {"testing", "asleep"}, {"0.3", "1.3"}, {"0.3", "-1"},
		{`"Wave":1`, `"Wave":-1`}, {"1500", "-5"}, {`"Revision":7`, `"Revision":70000`}, {"}", ""}} {
		if _, err := ParseStage([]byte(strings.Replace(good, c.old, c.put, 1))); err == nil {
			t.Errorf("%s for %s is taken", c.put, c.old)
		}
	}
}

func FuzzReadStage(f *testing.F) {
	f.Add([]byte(`{"Revision":7,"Wave":1,"State":"testing","MaxShare":0.3,"AgeMs":1500}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := ParseStage(text); err == nil && !s.Valid() {
			t.Errorf("%+v", s)
		}
	})
}

// desk runs a desk at an address.
func desk(t *testing.T, address string) (d *Client, g *dispatch.Dispatcher, place *transport.Address, stages chan dispatch.RolloutStage) {
	t.Helper()
	stages = make(chan dispatch.RolloutStage, 1024)
	place = transport.NewAddress(address)
	d = New(place, 400*time.Millisecond, transport.NewBufferBudget(1<<20), func(string) {})
	op := balancer.RequestClass{Name: "a", LatencyObjective: 1}
	g = dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Classes: []balancer.RequestClass{op},
		Rollout: balancer.Rollout{StageCaps: []float64{1.0}, StageShares: []float64{1.0}},
	}},
		dispatch.Callbacks{CloseIdle: func(string) {}, WatchEndpoints: func(bool) {}, FetchEndpoints: func() {}, Vote: func(dispatch.Vote) {},
			OnStage: func(s dispatch.RolloutStage) {
				select {
				case stages <- s:
				default:
				}
			}})
	g.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "s-1", Address: "127.0.0.1:9", State: "up", Version: 1}})
	backends.Running(t, func(ctx context.Context) error { return d.Run(ctx, g) })
	return d, g, place, stages
}

func heard(t *testing.T, stages chan dispatch.RolloutStage, what string, holds func(dispatch.RolloutStage) bool) {
	t.Helper()
	for timer := time.After(10 * time.Second); ; {
		select {
		case s := <-stages:
			if holds(s) {
				return
			}
		case <-timer:
			t.Fatalf("not heard: %s", what)
		}
	}
}

func TestChangesAndVotes(t *testing.T) {
	p, err := backends.NewPlatform(nil, 1, []float64{0.5, 1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	d, g, place, stages := desk(t, p.Address())
	heard(t, stages, "build 1 is live", func(s dispatch.RolloutStage) bool { return s.Version == 1 && s.Phase == "live" })
	ctx, cancel := context.WithCancel(context.Background())
	offered := make(chan struct{})
	go func() { defer close(offered); p.Offer(ctx, 2, 0) }()
	t.Cleanup(func() { cancel(); <-offered })
	heard(t, stages, "build 2 is tested", func(s dispatch.RolloutStage) bool { return s.Version == 2 && s.Phase == "testing" && s.Stage == 0 })
	d.Vote(dispatch.Vote{Version: 2, Stage: 5, Verdict: "PROCEED"}) // no such stage
	backends.Until(t, "the vote is moot", func() bool { return g.Snapshot().VoteOutcomes[balancer.Discarded] == 1 })
	d.Vote(dispatch.Vote{Version: 2, Stage: 0, Verdict: "PROCEED"})
	heard(t, stages, "it goes on", func(s dispatch.RolloutStage) bool { return s.Stage == 1 })
	d.Vote(dispatch.Vote{Version: 2, Stage: 1, Verdict: "ROLLBACK"})
	heard(t, stages, "it goes back", func(s dispatch.RolloutStage) bool { return s.Phase == "recalling" && s.ExposureCap == 0 })
	backends.Until(t, "both votes are answered", func() bool { return g.Snapshot().VoteOutcomes[balancer.Succeeded] == 2 })
	other, err := backends.NewPlatform(nil, 9, []float64{1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	place.Update(other.Address())
	heard(t, stages, "the other platform's news", func(s dispatch.RolloutStage) bool { return s.Version == 9 })
	for range 20 { // more than can wait: the last are dropped, nobody is kept
		d.Vote(dispatch.Vote{Version: 9, Verdict: "HOLD"})
	}
	backends.Until(t, "some votes are dropped", func() bool { return d.Dropped.Load() > 0 })
}

// TestSignsOfLife: a stream on which nothing comes but the sign of life, every second, stays open, however short a call
// may be.
func TestSignsOfLife(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		for {
			_, _ = fmt.Fprint(w, "{}\n")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(time.Second):
			case <-req.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	d, _, _, _ := desk(t, s.Listener.Addr().String())
	backends.Until(t, "three signs have come", func() bool { return d.Lines.Load() >= 3 })
	if n := d.Streams.Load(); n != 1 {
		t.Errorf("%d streams were opened", n)
	}
}

// TestBadPlatforms: a stream that breaks, is silent or makes no sense is opened again; what came before stays.
func TestBadPlatforms(t *testing.T) {
	const line = `{"type":"stage","object":{"Revision":1,"Wave":0,"State":"live","MaxShare":1.0,"AgeMs":0}}` + "\n"
	for _, c := range []struct {
		name string
		bad  func(w http.ResponseWriter, req *http.Request)
	}{
		{"a cut stream", func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }},
		{"a line that makes no sense", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "{\n") }},
		{"a stage that makes no sense", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, strings.Replace(line, "live", "asleep", 1))
		}},
		{"a line without an end", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, mostLine+1)) }},
		{"silence", func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }},
		{"an end in order", func(http.ResponseWriter, *http.Request) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var bad atomic.Bool
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				_, _ = fmt.Fprint(w, `{"type":"unknown","object":{}}`+"\n"+line)
				if _ = http.NewResponseController(w).Flush(); bad.Load() {
					c.bad(w, req)
					return
				}
				<-req.Context().Done()
			}))
			t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
			bad.Store(true)
			d, _, _, stages := desk(t, s.Listener.Addr().String())
			backends.Until(t, "it is opened again", func() bool { return d.Streams.Load() >= 3 })
			for len(stages) > 0 {
				if is := <-stages; is.Version != 1 || is.Phase != "live" {
					t.Errorf("%+v was taken", is)
				}
			}
			bad.Store(false)
			heard(t, stages, "a good one again", func(s dispatch.RolloutStage) bool { return s.Version == 1 })
		})
	}
}

// TestVoteEndings: each way in which a vote can end.
func TestVoteEndings(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w http.ResponseWriter)
		want balancer.Outcome
	}{
		{"turned away", func(w http.ResponseWriter) { w.WriteHeader(429) }, balancer.AtCapacity},
		{"an error", func(w http.ResponseWriter) { w.WriteHeader(500) }, balancer.Errored},
		{"nothing that can be read", func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "{") }, balancer.TimedOut},
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
			d, g, _, _ := desk(t, s.Listener.Addr().String())
			d.Vote(dispatch.Vote{Version: 1, Verdict: "HOLD"})
			backends.Until(t, "it ended so", func() bool { return g.Snapshot().VoteOutcomes[c.want] == 1 })
		})
	}
	d, g, _, _ := desk(t, "127.0.0.1:1")
	d.Vote(dispatch.Vote{Version: 1, Verdict: "HOLD"})
	backends.Until(t, "it could not be cast", func() bool { return g.Snapshot().VoteOutcomes[balancer.ConnectFailed] == 1 })
}
