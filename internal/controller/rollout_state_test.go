package controller

import (
	"strings"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
)

// When a relay reports that a version's rollback begins or ends, the planner is told the new state of the nodes with that
// version at once, before their next lease requests. After a change of leader, the nodes' requests tell the new leader the state
// before any relay reports it.
func TestRolloutState_IsToldToThePlannerAtOnce(t *testing.T) {
	c, plan := newRecordingFleet(t, 3*time.Second, 2)
	rollingBack := map[string]bool{}
	renew := func(node string, version uint16) bool {
		t.Helper()
		response, _, err := c.processes[node].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: node, Incarnation: 1, Zone: "north", SoftwareVersion: version, RollingBack: rollingBack[node]})
		if err != nil {
			t.Fatal(err)
		}
		rollingBack[node] = response.RollingBack
		status := <-plan.statuses
		if status.Version != version {
			t.Errorf("%s: %+v", node, status)
		}
		return status.RollingBack
	}
	renew("edge-a", 7)
	for _, test := range []struct {
		state string
		// immediately is true if the planner must be told the state before the next lease request of edge-a. want is the
		// value of RollingBack that edge-a must have after the report.
		immediately, want bool
	}{{"testing", false, false}, {"recalling", true, true}, {"recalled", false, true}, {"live", true, false}, {"recalling", true, true},
		{"", false, true}, {"live", true, false}, {"another relay: recalled", true, true}, {"live", false, true}, {"another relay: live", true, false}} {
		if test.state == "" {
			if err := c.stop("keeper-1"); err != nil {
				t.Fatal(err)
			}
			c.start("keeper-1")
			c.waitForLeader()
		} else if state, fromOther := strings.CutPrefix(test.state, "another relay: "); fromOther {
			ctrl := c.processes["keeper-1"].controller
			ctrl.mu.Lock()
			ctrl.onRolloutReport(ctrl.currentLeadership(), ctrl.Now(), "relay-2", rolloutReport{7, state == controllerclient.VersionWithdrawn})
			ctrl.mu.Unlock()
		} else if err := c.processes["relay-1"].client.ReportOutcomes(testContext(t), controllerclient.OutcomeReport{SoftwareVersion: 7, RolloutState: test.state}); err != nil {
			t.Fatal(err)
		}
		select {
		case status := <-plan.statuses:
			if !test.immediately || status.Name != "edge-a" || status.RollingBack != test.want {
				t.Errorf("%s: the planner was told %+v", test.state, status)
			}
		default:
			if test.immediately {
				t.Errorf("%s: the planner was not told before the next lease", test.state)
			}
		}
		if got := renew("edge-a", 7); got != test.want {
			t.Errorf("%s: rolling back is %v", test.state, got)
		}
		if renew("edge-b", 6) {
			t.Errorf("%s: a node with another version is rolling back", test.state)
		}
	}
}
