package releaseapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/transport"
)

// startClient runs a client of the platform at an address until the test ends. Each stage that the client receives is
// sent to stages.
func startClient(tb testing.TB, platform string) (client *Client, dispatcher *dispatch.Dispatcher, address *transport.Address, stages chan dispatch.RolloutStage) {
	tb.Helper()
	stages = make(chan dispatch.RolloutStage, 1024)
	rollout := balancer.Rollout{StageCaps: []float64{1.0}, StageShares: []float64{1.0}}
	client, dispatcher, address = newClient(platform, 400*time.Millisecond, rollout, func(s dispatch.RolloutStage) {
		select {
		case stages <- s:
		default:
		}
	})
	dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "s-1", Address: "127.0.0.1:9", State: "up", Version: 1}})
	backends.RunUntilCleanup(tb, func(ctx context.Context) error { return client.Run(ctx, dispatcher) })
	return client, dispatcher, address, stages
}

// newClient creates a client of the platform at an address, and a dispatcher for its updates.
func newClient(platform string, timeout time.Duration, rollout balancer.Rollout, onStage func(dispatch.RolloutStage)) (*Client, *dispatch.Dispatcher, *transport.Address) {
	address := transport.NewAddress(platform)
	client := New(Config{Address: address, Timeout: timeout, Buffers: transport.NewBufferBudget(1 << 20)})
	class := balancer.RequestClass{Name: "a", LatencyObjective: 1}
	dispatcher := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Classes: []balancer.RequestClass{class},
		Rollout: rollout,
	}}, dispatch.Callbacks{
		CloseIdle:      func(string) {},
		WatchEndpoints: func(bool) {},
		FetchEndpoints: func() {},
		Vote:           func(dispatch.Vote) {},
		OnStage:        onStage,
	})
	return client, dispatcher, address
}

// waitStage receives stages until the function holds returns true for one of them.
func waitStage(tb testing.TB, stages chan dispatch.RolloutStage, what string, holds func(dispatch.RolloutStage) bool) {
	tb.Helper()
	for timer := time.After(10 * time.Second); ; {
		select {
		case s := <-stages:
			if holds(s) {
				return
			}
		case <-timer:
			tb.Fatalf("no stage: %s", what)
		}
	}
}

func TestClient_ChangesAndVotes(t *testing.T) {
	p, err := backends.NewPlatform(nil, 1, []float64{0.5, 1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	client, dispatcher, address, stages := startClient(t, p.Address())
	waitStage(t, stages, "version 1 is live", func(s dispatch.RolloutStage) bool { return s.Version == 1 && s.Phase == "live" })
	ctx, cancel := context.WithCancel(context.Background())
	offered := make(chan struct{})
	go func() { defer close(offered); p.Offer(ctx, 2, 0) }()
	t.Cleanup(func() { cancel(); <-offered })
	waitStage(t, stages, "version 2 is tested", func(s dispatch.RolloutStage) bool { return s.Version == 2 && s.Phase == "testing" && s.Stage == 0 })
	client.Vote(dispatch.Vote{Version: 2, Stage: 5, Verdict: "PROCEED"}) // the rollout has only the stages 0 and 1
	backends.Eventually(t, "the vote is discarded", func() bool { return dispatcher.Snapshot().VoteOutcomes[balancer.Discarded] == 1 })
	client.Vote(dispatch.Vote{Version: 2, Stage: 0, Verdict: "PROCEED"})
	waitStage(t, stages, "version 2 is at stage 1", func(s dispatch.RolloutStage) bool { return s.Stage == 1 })
	client.Vote(dispatch.Vote{Version: 2, Stage: 1, Verdict: "ROLLBACK"})
	waitStage(t, stages, "version 2 is rolled back", func(s dispatch.RolloutStage) bool { return s.Phase == "recalling" && s.ExposureCap == 0 })
	backends.Eventually(t, "both votes are answered", func() bool { return dispatcher.Snapshot().VoteOutcomes[balancer.Succeeded] == 2 })
	second, err := backends.NewPlatform(nil, 9, []float64{1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	address.Update(second.Address())
	waitStage(t, stages, "the other platform's version", func(s dispatch.RolloutStage) bool { return s.Version == 9 })
	for range 20 { // more votes than the queue holds: the last ones are dropped, and Vote does not block
		client.Vote(dispatch.Vote{Version: 9, Verdict: "HOLD"})
	}
	backends.Eventually(t, "some votes are dropped", func() bool { return client.VotesDropped.Load() > 0 })
}

const liveStage = `{"type":"stage","object":{"Revision":1,"Wave":0,"State":"live","MaxShare":1.0,"AgeMs":0}}` + "\n"

// newPlatform starts a release platform. changes writes its stream of changes, and votes answers the votes.
func newPlatform(tb testing.TB, changes func(w io.Writer, req *http.Request), votes http.HandlerFunc) (address string) {
	tb.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, req.Body) // the server notices that the connection is closed only once the body has been read
			votes(w, req)
			return
		}
		changes(flushingWriter{w}, req)
	}))
	tb.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// flushingWriter flushes each write to the client.
type flushingWriter struct{ http.ResponseWriter }

func (f flushingWriter) Write(b []byte) (int, error) {
	n, err := f.ResponseWriter.Write(b)
	_ = http.NewResponseController(f.ResponseWriter).Flush()
	return n, err
}

// startChecked runs a client whose calls have the time limit timeout. At the end of the test, it checks that the client
// leaves no goroutine behind. The client calls heard for each stage that it receives, before it reads the next one.
func startChecked(tb testing.TB, platform string, timeout time.Duration, heard func()) (client *Client, dispatcher *dispatch.Dispatcher, address *transport.Address) {
	tb.Helper()
	client, dispatcher, address = newClient(platform, timeout, balancer.Rollout{}, func(dispatch.RolloutStage) { heard() })
	before := goleak.IgnoreCurrent()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx, dispatcher) }()
	tb.Cleanup(func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				tb.Error(err)
			}
		case <-time.After(10 * time.Second):
			tb.Fatal("Run does not return")
		}
		if err := goleak.Find(before, goleak.IgnoreAnyFunction("net/http.(*conn).serve"),
			goleak.IgnoreAnyFunction("net/http.(*connReader).backgroundRead")); err != nil {
			tb.Error(err)
		}
	})
	return client, dispatcher, address
}
