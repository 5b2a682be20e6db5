package controller

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// recordingPlanner hands on what the planner is told of units.
type recordingPlanner struct {
	failoverPlanner
	statuses chan migration.NodeStatus
}

func (p *recordingPlanner) OnNodeStatus(_ tick.Tick, u migration.NodeStatus) { p.statuses <- u }

// TestAUnitThatSaysItIsWellAndFailsIsNotBelieved: outcomes that a relay tells end it, and only a relay may tell them.
func TestAUnitThatSaysItIsWellAndFailsIsNotBelieved(t *testing.T) {
	c := newTestFleet(t, 10*time.Second, 1, 3)
	plan := &recordingPlanner{statuses: make(chan migration.NodeStatus, 64)}
	c.newPlanner = func(h Host) Planner {
		plan.failoverPlanner = failoverPlanner{h, map[string]placement.Assignment{}, nil}
		return plan
	}
	c.start()
	says := func(unit string, state devicehealth.State) migration.NodeStatus {
		t.Helper()
		text, err := json.Marshal(devicehealth.Report{Version: devicehealth.ReportVersion, State: state, AcceptFraction: 1, SpareCapacity: 5, LastResortCapacity: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c.processes[unit].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: unit, Incarnation: 1, Report: text, Zone: "north"}); err != nil {
			t.Fatal(err)
		}
		return <-plan.statuses
	}
	for _, unit := range []string{"edge-a", "edge-b", "edge-c"} {
		if u := says(unit, devicehealth.StateAccepting); !u.Accepting || u.Evacuating {
			t.Errorf("%s: %+v", unit, u)
		}
	}
	told := []controllerclient.NodeOutcomes{{Node: "edge-a", Failures: 60}, {Node: "edge-b", Successes: 60}, {Node: "edge-c", Successes: 60}}
	if err := c.processes["edge-b"].client.ReportOutcomes(testContext(t), controllerclient.OutcomeReport{Nodes: told}); err == nil || !strings.Contains(err.Error(), "is no relay") {
		t.Errorf("outcomes of an edge unit: %v", err)
	}
	for _, bad := range []controllerclient.NodeOutcomes{{Node: "relay-1", Successes: 1}, {Node: "edge-a", Successes: -1}} {
		if err := c.processes["relay-1"].client.ReportOutcomes(testContext(t), controllerclient.OutcomeReport{Nodes: []controllerclient.NodeOutcomes{bad}}); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
	if err := c.processes["relay-1"].client.ReportOutcomes(testContext(t), controllerclient.OutcomeReport{Nodes: told}); err != nil {
		t.Fatal(err)
	}
	if u := says("edge-a", devicehealth.StateAccepting); u.Accepting {
		t.Errorf("it is believed: %+v", u)
	}
	if u := says("edge-b", devicehealth.StateAccepting); !u.Accepting {
		t.Errorf("one that does well is not: %+v", u)
	}
	units, err := c.processes["relay-1"].client.Nodes(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	at := slices.IndexFunc(units.Nodes, func(u controllerclient.Node) bool { return u.Name == "edge-a" })
	if at < 0 || units.Nodes[at].State == string(devicehealth.StateAccepting) || len(units.Nodes[at].Reasons) == 0 {
		t.Errorf("relays are told %+v", units.Nodes)
	}
}

// TestAZoneWhoseUnitsAreAllTiredServesOnByImportance: it is told who serves what on, the most important first.
func TestAZoneWhoseUnitsAreAllTiredServesOnByImportance(t *testing.T) {
	c := newTestFleet(t, 10*time.Second, 1, 2)
	c.start()
	mains, hot, limit := true, 99.0, 85.0
	says := func(unit string, state devicehealth.State) {
		t.Helper()
		r := devicehealth.Report{Version: devicehealth.ReportVersion, State: state, LastResortCapacity: 1, Risk: 0.8, Terminating: true,
			Readings: devicehealth.KeyReadings{Mains: &mains, Temperature: &hot, TemperatureLimit: &limit}}
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c.processes[unit].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: unit, Incarnation: 1, Report: text, Zone: "north"}); err != nil {
			t.Fatal(err)
		}
	}
	says("edge-a", devicehealth.StateAccepting)
	says("edge-b", devicehealth.StateAccepting)
	for i, name := range []string{"camera-1", "camera-2", "camera-3"} {
		e := placement.Operation{Kind: placement.OpCreate, Instance: name, Target: "edge-a", Zone: "north", Weight: float64(1 + i)}
		if _, err := c.processes["edge-a"].client.Propose(testContext(t), e); err != nil {
			t.Fatal(err)
		}
	}
	if f, err := c.processes["relay-1"].client.LastResort(testContext(t)); err != nil || len(f.Zones) != 0 {
		t.Errorf("while units are well: %+v, %v", f, err)
	}
	says("edge-a", devicehealth.StateDraining)
	says("edge-b", devicehealth.StateDraining)
	f, err := c.processes["relay-1"].client.LastResort(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	want := []controllerclient.LastResortInstance{{Name: "camera-3", Node: "edge-a", Weight: 3}, {Name: "camera-2", Node: "edge-b", Weight: 2},
		{Name: "camera-1", Weight: 1}}
	if len(f.Zones) != 1 || f.Zones[0].Zone != "north" || !slices.Equal(f.Zones[0].Instances, want) {
		t.Errorf("%+v", f)
	}
}

// TestABuildTakenBackIsToldToThePlanner: units that run a build of which relays say that the platform takes it back are
// known as going back, until it stands otherwise: at once, not from their next lease on, and the next leader learns it of
// the units before any relay tells it.
func TestABuildTakenBackIsToldToThePlanner(t *testing.T) {
	c := newTestFleet(t, 3*time.Second, 1, 2)
	plan := &recordingPlanner{statuses: make(chan migration.NodeStatus, 64)}
	c.newPlanner = func(h Host) Planner {
		plan.failoverPlanner = failoverPlanner{h, map[string]placement.Assignment{}, nil}
		return plan
	}
	c.start()
	told := map[string]bool{}
	back := func(unit string, build uint16) bool {
		t.Helper()
		a, _, err := c.processes[unit].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: unit, Incarnation: 1, Zone: "north", SoftwareVersion: build, RollingBack: told[unit]})
		if err != nil {
			t.Fatal(err)
		}
		told[unit] = a.RollingBack
		u := <-plan.statuses
		if u.Version != build {
			t.Errorf("%s: %+v", unit, u)
		}
		return u.RollingBack
	}
	back("edge-a", 7)
	for _, s := range []struct {
		state    string
		at, want bool // at once
	}{{"testing", false, false}, {"recalling", true, true}, {"recalled", false, true}, {"live", true, false}, {"recalling", true, true},
		{"", false, true}, {"live", true, false}, {"another relay: recalled", true, true}, {"live", false, true}, {"another relay: live", true, false}} {
		if s.state == "" {
			if err := c.stop("keeper-1"); err != nil {
				t.Fatal(err)
			}
			c.start("keeper-1")
			c.waitForLeader()
		} else if other, is := strings.CutPrefix(s.state, "another relay: "); is {
			k := c.processes["keeper-1"].controller
			k.mu.Lock()
			k.onRolloutReport(k.currentLeadership(), k.Now(), "relay-2", rolloutReport{7, other == controllerclient.VersionWithdrawn})
			k.mu.Unlock()
		} else if err := c.processes["relay-1"].client.ReportOutcomes(testContext(t), controllerclient.OutcomeReport{SoftwareVersion: 7, RolloutState: s.state}); err != nil {
			t.Fatal(err)
		}
		select {
		case u := <-plan.statuses:
			if !s.at || u.Name != "edge-a" || u.RollingBack != s.want {
				t.Errorf("%s: told %+v", s.state, u)
			}
		default:
			if s.at {
				t.Errorf("%s: the planner hears it with the next lease only", s.state)
			}
		}
		if got := back("edge-a", 7); got != s.want {
			t.Errorf("%s: going back %v", s.state, got)
		}
		if back("edge-b", 6) {
			t.Errorf("%s: a unit of another build goes back", s.state)
		}
	}
}
