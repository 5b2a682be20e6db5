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

// staticMembership is a Membership whose members the test sets.
type staticMembership struct {
	mu        sync.Mutex
	now       tick.Tick
	members   []membership.Member
	published []byte
}

func (m *staticMembership) Now() tick.Tick {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *staticMembership) Publish(_ string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.published = data
	return nil
}
func (m *staticMembership) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

var twoRelaySettings = map[string]any{"fleet.relays": 2.0, "fleet.repeats": 0.1, "fleet.floor": 0.05, "fleet.probes": 2.0, "fleet.ramp": 3.0}

// TestOverloadAgent_TakesPeerReports: the manager accepts the reports of another relay and sheds requests under
// overload. A report that cannot be decoded is ignored.
func TestOverloadAgent_TakesPeerReports(t *testing.T) {
	members := &staticMembership{now: tick.Second}
	agent := NewOverloadAgent(members, "relay-1", 1, twoRelaySettings, 1, 1<<30, zerolog.Nop())
	report := overload.Report{Uptime: tick.Second, LocalFraction: 1, SharedFraction: 0.3, FirstAttempts: 10}
	members.members = []membership.Member{{Name: "relay-1", Role: "relay", Incarnation: 1}, {Name: "edge-a", Role: "edge", Incarnation: 1},
		{Name: "relay-2", Role: "relay", Incarnation: 1, State: membership.StateAlive, LastHeard: tick.Second, Payloads: map[string][]byte{reportKind: report.Encode()}}}
	agent.updatePeers()
	if wait := agent.manager.StartupDelay(members.now, overload.StepAccept); wait < 0 {
		t.Errorf("the startup delay is negative: %v", wait)
	}
	for range 40 {
		members.now += tick.Second / 10
		members.members[2].LastHeard = members.now
		agent.updatePeers()
		agent.manager.UpdatePressure(members.now, overload.Pressure{BackendUtilization: 3})
	}
	if agent.manager.AdmittedFraction() >= 0.99 {
		t.Errorf("admitted fraction %v under overload", agent.manager.AdmittedFraction())
	}
	members.members[2].Payloads[reportKind] = []byte("\xff\xff\xff")
	agent.updatePeers() // the report is ignored, as it cannot be decoded
}

// recordedReports passes the reports of a relay on to the test.
type recordedReports chan controllerclient.OutcomeReport

func (r recordedReports) ReportOutcomes(_ context.Context, o controllerclient.OutcomeReport) error {
	r <- o
	return nil
}

// TestOverloadAgent_ReportsOutcomes: a report has the outcomes since the last report, by edge node, and the rollout
// state of the newest software version.
func TestOverloadAgent_ReportsOutcomes(t *testing.T) {
	agent := NewOverloadAgent(&staticMembership{now: tick.Second}, "relay-1", 1, twoRelaySettings, 1, 1<<30, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	reports, done := make(recordedReports), make(chan error)
	agent.RecordOutcome("edge-b", true)
	agent.RecordOutcome("edge-a", false)
	agent.RecordOutcome("edge-a", true)
	agent.RecordOutcome("edge-a", true)
	agent.OnStage(dispatch.RolloutStage{Version: 7, Phase: "recalling"})
	go func() { done <- agent.Report(ctx, reports) }()
	got := <-reports
	if len(got.Nodes) != 2 || got.Nodes[0] != (controllerclient.NodeOutcomes{Node: "edge-a", Successes: 2, Failures: 1}) || got.Nodes[1].Successes != 1 ||
		got.SoftwareVersion != 7 || got.RolloutState != "recalling" {
		t.Errorf("%+v", got)
	}
	if got = <-reports; len(got.Nodes) != 0 || got.RolloutState != "recalling" {
		t.Errorf("second report: %+v", got)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
