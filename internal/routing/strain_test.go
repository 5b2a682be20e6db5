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

// stillBoard is a board at one moment.
type stillBoard struct {
	mu   sync.Mutex
	now  tick.Tick
	all  []membership.Member
	told []byte
}

func (b *stillBoard) Now() tick.Tick { b.mu.Lock(); defer b.mu.Unlock(); return b.now }
func (b *stillBoard) Publish(_ string, data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = data
	return nil
}
func (b *stillBoard) Members() []membership.Member { b.mu.Lock(); defer b.mu.Unlock(); return b.all }

var fleetOfTwo = map[string]any{"fleet.relays": 2.0, "fleet.repeats": 0.1, "fleet.floor": 0.05, "fleet.probes": 2.0, "fleet.ramp": 3.0}

// TestNewsOfOtherRelaysCounts: what another relay tells comes to the decision, and what it can't read does no harm.
func TestNewsOfOtherRelaysCounts(t *testing.T) {
	b := &stillBoard{now: tick.Second}
	s := NewOverloadAgent(b, "relay-1", 1, fleetOfTwo, 1, 1<<30, zerolog.Nop())
	told := overload.Report{Uptime: tick.Second, LocalFraction: 1, SharedFraction: 0.3, FirstAttempts: 10}
	b.all = []membership.Member{{Name: "relay-1", Role: "relay", Incarnation: 1}, {Name: "edge-a", Role: "edge", Incarnation: 1},
		{Name: "relay-2", Role: "relay", Incarnation: 1, State: membership.StateAlive, LastHeard: tick.Second, Payloads: map[string][]byte{kind: told.Encode()}}}
	s.hear()
	if wait := s.fleet.StartupDelay(b.now, overload.StepAccept); wait < 0 {
		t.Errorf("waits %v", wait)
	}
	for range 40 {
		b.now += tick.Second / 10
		b.all[2].LastHeard = b.now
		s.hear()
		s.fleet.UpdatePressure(b.now, overload.Pressure{BackendUtilization: 3})
	}
	if s.fleet.AdmittedFraction() >= 0.99 {
		t.Errorf("admits %v under pressure", s.fleet.AdmittedFraction())
	}
	b.all[2].Payloads[kind] = []byte("\xff\xff\xff")
	s.hear() // as if it had told nothing
}

// reports takes what a relay reports.
type reported chan controllerclient.OutcomeReport

func (r reported) ReportOutcomes(_ context.Context, o controllerclient.OutcomeReport) error {
	r <- o
	return nil
}

// TestOutcomesAndBuildsAreReported: counted by unit since the last report, with the newest build's state.
func TestOutcomesAndBuildsAreReported(t *testing.T) {
	s := NewOverloadAgent(&stillBoard{now: tick.Second}, "relay-1", 1, fleetOfTwo, 1, 1<<30, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	got, ended := make(reported), make(chan error)
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
