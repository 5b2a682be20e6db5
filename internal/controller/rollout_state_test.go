package controller

import (
	"strings"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
)

// TestRolloutState_IsToldToThePlannerAtOnce: nodes that run a version of which relays report that it is rolled back
// are known as such until it stands otherwise: at once, not from their next lease on, and the next leader learns it from the
// nodes before any relay reports it.
func TestRolloutState_IsToldToThePlannerAtOnce(t *testing.T) {
	c, plan := newRecordingFleet(t, 3*time.Second, 2)
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
			ctrl := c.processes["keeper-1"].controller
			ctrl.mu.Lock()
			ctrl.onRolloutReport(ctrl.currentLeadership(), ctrl.Now(), "relay-2", rolloutReport{7, other == controllerclient.VersionWithdrawn})
			ctrl.mu.Unlock()
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
