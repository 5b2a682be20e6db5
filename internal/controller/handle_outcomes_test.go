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
)

// TestOutcomes_OverrideANodesOwnReport: a node that reports itself as well and fails is not believed, and only a relay may report outcomes.
func TestOutcomes_OverrideANodesOwnReport(t *testing.T) {
	c, plan := newRecordingFleet(t, 10*time.Second, 3)
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
