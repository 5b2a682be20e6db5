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

// carried makes a repository with one mirror that does what it is scripted to.
func carried(t *testing.T, faults ...repository.Fault) (*Repository, *repository.Mirror, func(state string)) {
	t.Helper()
	k, err := repository.NewPublisher(t.TempDir()+"/r", repository.NewClock(false), tufrepo.Lifetimes{}, true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Repo.Close() })
	m, err := repository.NewMirror("m", k, nil, faults...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	var classes []balancer.RequestClass
	for _, op := range RequestClasses {
		classes = append(classes, balancer.RequestClass{Name: op, LatencyObjective: 0.5, Deadline: 5, PriorityWeight: 1})
	}
	host := dispatch.Endpoint{Name: "m", Address: m.Address(), State: "up", Version: 1}
	r, err := NewRepository("r", k.Root(1), monotonic.NewMemoryStore(100), MirrorConfig{Settings: metadatarefresh.Rules(1, 0.3, 1, classes),
		FreshFor: time.Second, Endpoints: []dispatch.Endpoint{host}, DispatchLog: func(string, ...slog.Attr) {}}, k.Clock.Now,
		func(slog.Level, string, ...slog.Attr) {})
	if err != nil {
		t.Fatal(err)
	}
	return r, m, func(state string) {
		host.State = state
		r.UpdateMirrors([]dispatch.Endpoint{host})
	}
}

// TestNothingIsSentOnceItDrains: also what was chosen before, by whatever path.
func TestNothingIsSentOnceItDrains(t *testing.T) {
	for _, c := range []struct {
		state string
		sent  int
	}{{"up", 1}, {"draining", 0}, {"removed", 0}} {
		t.Run(c.state, func(t *testing.T) {
			r, m, set := carried(t)
			chosen := r.gate.ReadyBackends()[0]
			set(c.state)
			s := r.get(context.Background(), chosen, "metadata/timestamp.json", tufverify.MaxTimestampSize)
			if n := len(m.Requests()); n != c.sent || (s.status == 200) != (c.sent == 1) {
				t.Errorf("asked %d times, status %d", n, s.status)
			}
			if c.sent == 0 && s.end != (transport.CloseStatus{Reason: transport.Canceled}) {
				t.Errorf("%v, sent %v", s.end.Reason, s.end.Flushed)
			}
		})
	}
}

// TestExchangeEndings: how an exchange with a mirror ends, as the gate's endings know it.
func TestExchangeEndings(t *testing.T) {
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
			r, _, _ := carried(t, c.fault)
			s := r.get(context.Background(), r.gate.ReadyBackends()[0], "metadata/timestamp.json", tufverify.MaxTimestampSize)
			if s.end != c.want || s.data != nil {
				t.Errorf("%v, sent %v, %d bytes", s.end.Reason, s.end.Flushed, len(s.data))
			}
		})
	}
	r, m, _ := carried(t)
	m.Close()
	if s := r.get(context.Background(), r.gate.ReadyBackends()[0], "x", 10); s.end != (transport.CloseStatus{Reason: transport.Refused}) {
		t.Errorf("a dead mirror: %v, sent %v", s.end.Reason, s.end.Flushed)
	}
	off, cancel := context.WithCancel(context.Background())
	cancel()
	r, _, _ = carried(t)
	if s := r.get(off, r.gate.ReadyBackends()[0], "x", 10); s.end.Reason != transport.Canceled {
		t.Errorf("called off: %v", s.end.Reason)
	}
}
