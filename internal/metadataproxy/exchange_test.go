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

// newTestRepository makes a repository with one mirror that does what it is scripted to.
func newTestRepository(tb testing.TB, faults ...repository.Fault) (*Repository, *repository.Mirror, func(state string)) {
	tb.Helper()
	k, err := repository.NewPublisher(tb.TempDir()+"/r", repository.NewClock(false), tufrepo.Lifetimes{}, true)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = k.Repo.Close() })
	m, err := repository.NewMirror("m", k, nil, faults...)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(m.Close)
	var classes []balancer.RequestClass
	for _, op := range RequestClasses {
		classes = append(classes, balancer.RequestClass{Name: op, LatencyObjective: 0.5, Deadline: 5, PriorityWeight: 1})
	}
	host := dispatch.Endpoint{Name: "m", Address: m.Address(), State: "up", Version: 1}
	r, err := NewRepository("r", k.Root(1), monotonic.NewMemoryStore(100), MirrorConfig{Settings: metadatarefresh.Rules(1, 0.3, 1, classes),
		FreshFor: time.Second, Endpoints: []dispatch.Endpoint{host}, DispatchLog: func(string, ...slog.Attr) {}}, k.Clock.Now,
		func(slog.Level, string, ...slog.Attr) {})
	if err != nil {
		tb.Fatal(err)
	}
	return r, m, func(state string) {
		host.State = state
		r.UpdateMirrors([]dispatch.Endpoint{host})
	}
}

// A mirror drains after it was chosen: nothing more is sent to it.
func TestRoundTrip_SendsNothingToADrainingMirror(t *testing.T) {
	for _, c := range []struct {
		state string
		sent  int
	}{{"up", 1}, {"draining", 0}, {"removed", 0}} {
		t.Run(c.state, func(t *testing.T) {
			r, m, set := newTestRepository(t)
			chosen := r.dispatcher.ReadyBackends()[0]
			set(c.state)
			s := r.download(context.Background(), chosen, "metadata/timestamp.json", tufverify.MaxTimestampSize)
			if n := len(m.Requests()); n != c.sent || (s.status == 200) != (c.sent == 1) {
				t.Errorf("asked %d times, status %d", n, s.status)
			}
			if c.sent == 0 && s.closed != (transport.CloseStatus{Reason: transport.Canceled}) {
				t.Errorf("%v, sent %v", s.closed.Reason, s.closed.Flushed)
			}
		})
	}
}

// TestRoundTrip_CloseStatus checks how an exchange with a mirror ends, as the dispatcher knows it.
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
			s := r.download(context.Background(), r.dispatcher.ReadyBackends()[0], "metadata/timestamp.json", tufverify.MaxTimestampSize)
			if s.closed != c.want || s.data != nil {
				t.Errorf("%v, sent %v, %d bytes", s.closed.Reason, s.closed.Flushed, len(s.data))
			}
		})
	}
	r, m, _ := newTestRepository(t)
	m.Close()
	if s := r.download(context.Background(), r.dispatcher.ReadyBackends()[0], "x", 10); s.closed != (transport.CloseStatus{Reason: transport.Refused}) {
		t.Errorf("a dead mirror: %v, sent %v", s.closed.Reason, s.closed.Flushed)
	}
	off, cancel := context.WithCancel(context.Background())
	cancel()
	r, _, _ = newTestRepository(t)
	if s := r.download(off, r.dispatcher.ReadyBackends()[0], "x", 10); s.closed.Reason != transport.Canceled {
		t.Errorf("called off: %v", s.closed.Reason)
	}
}
