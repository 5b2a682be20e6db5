package metadataproxy

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/monotonic"
	"silvercove/internal/standin/repository"
	"silvercove/internal/transport"
	"silvercove/internal/tufrepo"
	"silvercove/internal/tufverify"
)

// newTestRepository returns three values: a repository with one mirror, that mirror, and a function that sets the mirror's
// state in the endpoint list. The mirror has the given faults.
func newTestRepository(tb testing.TB, faults ...repository.Fault) (*Repository, *repository.Mirror, func(state string)) {
	tb.Helper()
	publisher, err := repository.NewPublisher(tb.TempDir()+"/r", repository.NewClock(false), tufrepo.Lifetimes{}, true)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = publisher.Repo.Close() })
	mirror, err := repository.NewMirror("m", publisher, nil, faults...)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(mirror.Close)
	var classes []balancer.RequestClass
	for _, class := range RequestClasses {
		classes = append(classes, balancer.RequestClass{Name: class, LatencyObjective: 0.5, Deadline: 5, PriorityWeight: 1})
	}
	endpoint := dispatch.Endpoint{Name: "m", Address: mirror.Address(), State: "up", Version: 1}
	r, err := NewRepository("r", publisher.Root(1), monotonic.NewMemoryStore(100), MirrorConfig{Settings: metadatarefresh.MirrorSettings(1, 0.3, 1, classes),
		FreshFor: time.Second, Endpoints: []dispatch.Endpoint{endpoint}, DispatchLog: func(string, ...slog.Attr) {}}, publisher.Clock.Now,
		func(slog.Level, string, ...slog.Attr) {})
	if err != nil {
		tb.Fatal(err)
	}
	return r, mirror, func(state string) {
		endpoint.State = state
		r.UpdateMirrors([]dispatch.Endpoint{endpoint})
	}
}

// TestRoundTrip_SendsNothingToADrainingMirror checks that no request is sent to a mirror that began to drain or was
// removed after it was chosen.
func TestRoundTrip_SendsNothingToADrainingMirror(t *testing.T) {
	for _, c := range []struct {
		state string
		sent  int
	}{{"up", 1}, {"draining", 0}, {"removed", 0}} {
		t.Run(c.state, func(t *testing.T) {
			r, mirror, setState := newTestRepository(t)
			chosen := r.dispatcher.ReadyBackends()[0]
			setState(c.state)
			response := r.download(context.Background(), chosen, "metadata/timestamp.json", tufverify.MaxTimestampSize)
			if n := len(mirror.Requests()); n != c.sent || (response.status == 200) != (c.sent == 1) {
				t.Errorf("%d requests, status %d", n, response.status)
			}
			if c.sent == 0 && response.closed != (transport.CloseStatus{Reason: transport.Canceled}) {
				t.Errorf("%v, sent %v", response.closed.Reason, response.closed.Flushed)
			}
		})
	}
}

// TestRoundTrip_CloseStatus checks the close status that is reported to the dispatcher for each way in which an exchange with a mirror
// can end.
func TestRoundTrip_CloseStatus(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault repository.Fault
		want  transport.CloseStatus
	}{
		{"half a file", repository.Fault{Kind: "half"}, transport.CloseStatus{Reason: transport.ClosedByPeer, Flushed: true}},
		{"a wrong length", repository.Fault{Kind: "length"}, transport.CloseStatus{Reason: transport.ClosedByPeer, Flushed: true}},
		{"endless", repository.Fault{Kind: "endless"}, transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}},
		{"silent", repository.Fault{Kind: "silent"}, transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: true}},
		{"a byte now and then", repository.Fault{Kind: "slow", Value: 100}, transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: true}},
		{"refused midway", repository.Fault{Kind: "refuse"}, transport.CloseStatus{Reason: transport.ClosedByPeer, Flushed: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.fault.To = -1
			r, _, _ := newTestRepository(t, c.fault)
			response := r.download(context.Background(), r.dispatcher.ReadyBackends()[0], "metadata/timestamp.json", tufverify.MaxTimestampSize)
			if response.closed != c.want || response.data != nil {
				t.Errorf("%v, sent %v, %d bytes", response.closed.Reason, response.closed.Flushed, len(response.data))
			}
		})
	}
	r, mirror, _ := newTestRepository(t)
	mirror.Close()
	if response := r.download(context.Background(), r.dispatcher.ReadyBackends()[0], "x", 10); response.closed != (transport.CloseStatus{Reason: transport.Refused}) {
		t.Errorf("a dead mirror: %v, sent %v", response.closed.Reason, response.closed.Flushed)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	r, _, _ = newTestRepository(t)
	if response := r.download(canceled, r.dispatcher.ReadyBackends()[0], "x", 10); response.closed.Reason != transport.Canceled {
		t.Errorf("canceled: %v", response.closed.Reason)
	}
}
