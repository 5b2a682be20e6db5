package routing

import (
	"context"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"silvercove/internal/controllerclient"
	"silvercove/internal/dispatch"
	"silvercove/internal/membership"
	"silvercove/internal/overload"
	"silvercove/internal/tick"
)

// staticMembership has the members of one moment.
type staticMembership struct {
	mu        sync.Mutex
	now       tick.Tick
	members   []membership.Member
	published []byte
}

func (b *staticMembership) Now() tick.Tick {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *staticMembership) Publish(_ string, data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.published = data
	return nil
}
func (b *staticMembership) Members() []membership.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members
}

var twoRelaySettings = map[string]any{"fleet.relays": 2.0, "fleet.repeats": 0.1, "fleet.floor": 0.05, "fleet.probes": 2.0, "fleet.ramp": 3.0}

// TestOverloadAgent_TakesPeerReports: what another relay reports counts in the decision, and what can't be read does no harm.
func TestOverloadAgent_TakesPeerReports(t *testing.T) {
	b := &staticMembership{now: tick.Second}
	s := NewOverloadAgent(b, "relay-1", 1, twoRelaySettings, 1, 1<<30, zerolog.Nop())
	told := overload.Report{Uptime: tick.Second, LocalFraction: 1, SharedFraction: 0.3, FirstAttempts: 10}
	b.members = []membership.Member{{Name: "relay-1", Role: "relay", Incarnation: 1}, {Name: "edge-a", Role: "edge", Incarnation: 1},
		{Name: "relay-2", Role: "relay", Incarnation: 1, State: membership.StateAlive, LastHeard: tick.Second, Payloads: map[string][]byte{reportKind: told.Encode()}}}
	s.updatePeers()
	if wait := s.manager.StartupDelay(b.now, overload.StepAccept); wait < 0 {
		t.Errorf("waits %v", wait)
	}
	for range 40 {
		b.now += tick.Second / 10
		b.members[2].LastHeard = b.now
		s.updatePeers()
		s.manager.UpdatePressure(b.now, overload.Pressure{BackendUtilization: 3})
	}
	if s.manager.AdmittedFraction() >= 0.99 {
		t.Errorf("admits %v under pressure", s.manager.AdmittedFraction())
	}
	b.members[2].Payloads[reportKind] = []byte("\xff\xff\xff")
	s.updatePeers() // as if it had told nothing
}

// recordedReports takes what a relay reports.
type recordedReports chan controllerclient.OutcomeReport

func (r recordedReports) ReportOutcomes(_ context.Context, o controllerclient.OutcomeReport) error {
	r <- o
	return nil
}

// TestOverloadAgent_ReportsOutcomes: counted by node since the last report, with the newest version's state.
func TestOverloadAgent_ReportsOutcomes(t *testing.T) {
	s := NewOverloadAgent(&staticMembership{now: tick.Second}, "relay-1", 1, twoRelaySettings, 1, 1<<30, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	got, ended := make(recordedReports), make(chan error)
	s.RecordOutcome("edge-b", true)
	s.RecordOutcome("edge-a", false)
	s.RecordOutcome("edge-a", true)
	s.RecordOutcome("edge-a", true)
	s.OnStage(dispatch.RolloutStage{Version: 7, Phase: "recalling"})
	go func() { ended <- s.Report(ctx, got) }()
	o := <-got
	if len(o.Nodes) != 2 || o.Nodes[0] != (controllerclient.NodeOutcomes{Node: "edge-a", Successes: 2, Failures: 1}) || o.Nodes[1].Successes != 1 ||
		o.SoftwareVersion != 7 || o.RolloutState != "recalling" {
		t.Errorf("%+v", o)
	}
	if o = <-got; len(o.Nodes) != 0 || o.RolloutState != "recalling" {
		t.Errorf("then %+v", o)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
