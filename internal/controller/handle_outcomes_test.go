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

// A node that reports that it accepts requests, while relays report failed requests to it, is not treated as accepting. Only a
// relay may report outcomes.
func TestOutcomes_OverrideANodesOwnReport(t *testing.T) {
	c, plan := newRecordingFleet(t, 10*time.Second, 3)
	renew := func(node string, state devicehealth.State) migration.NodeStatus {
		t.Helper()
		text, err := json.Marshal(devicehealth.Report{Version: devicehealth.ReportVersion, State: state, AcceptFraction: 1, SpareCapacity: 5, LastResortCapacity: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c.processes[node].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: node, Incarnation: 1, Report: text, Zone: "north"}); err != nil {
			t.Fatal(err)
		}
		return <-plan.statuses
	}
	for _, node := range []string{"edge-a", "edge-b", "edge-c"} {
		if status := renew(node, devicehealth.StateAccepting); !status.Accepting || status.Evacuating {
			t.Errorf("%s: %+v", node, status)
		}
	}
	outcomes := []controllerclient.NodeOutcomes{{Node: "edge-a", Failures: 60}, {Node: "edge-b", Successes: 60}, {Node: "edge-c", Successes: 60}}
	if err := c.processes["edge-b"].client.ReportOutcomes(testContext(t), controllerclient.OutcomeReport{Nodes: outcomes}); err == nil || !strings.Contains(err.Error(), "is not a relay") {
		t.Errorf("outcomes reported by an edge node: %v", err)
	}
	for _, invalid := range []controllerclient.NodeOutcomes{{Node: "relay-1", Successes: 1}, {Node: "edge-a", Successes: -1}} {
		if err := c.processes["relay-1"].client.ReportOutcomes(testContext(t), controllerclient.OutcomeReport{Nodes: []controllerclient.NodeOutcomes{invalid}}); err == nil {
			t.Errorf("invalid outcomes are accepted: %+v", invalid)
		}
	}
	if err := c.processes["relay-1"].client.ReportOutcomes(testContext(t), controllerclient.OutcomeReport{Nodes: outcomes}); err != nil {
		t.Fatal(err)
	}
	if status := renew("edge-a", devicehealth.StateAccepting); status.Accepting {
		t.Errorf("a failing node counts as accepting: %+v", status)
	}
	if status := renew("edge-b", devicehealth.StateAccepting); !status.Accepting {
		t.Errorf("a healthy node does not count as accepting: %+v", status)
	}
	nodes, err := c.processes["relay-1"].client.Nodes(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	at := slices.IndexFunc(nodes.Nodes, func(node controllerclient.Node) bool { return node.Name == "edge-a" })
	if at < 0 || nodes.Nodes[at].State == string(devicehealth.StateAccepting) || len(nodes.Nodes[at].Reasons) == 0 {
		t.Errorf("relays get %+v", nodes.Nodes)
	}
}
