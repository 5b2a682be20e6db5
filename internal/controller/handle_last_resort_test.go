package controller

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/placement"
)

// If all nodes of a zone are evacuating, the plan lists which node serves which instance, in descending order of the instances'
// priority weight.
func TestLastResort_ServesByPriorityWeight(t *testing.T) {
	c := newTestFleet(t, 10*time.Second, 1, 2)
	c.start()
	mains, hot, limit := true, 99.0, 85.0
	report := func(node string, state devicehealth.State) {
		t.Helper()
		health := devicehealth.Report{Version: devicehealth.ReportVersion, State: state, LastResortCapacity: 1, Risk: 0.8, ShutdownRequested: true,
			Readings: devicehealth.KeyReadings{Mains: &mains, Temperature: &hot, TemperatureLimit: &limit}}
		text, err := json.Marshal(health)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := c.processes[node].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: node, Incarnation: 1, Report: text, Zone: "north"}); err != nil {
			t.Fatal(err)
		}
	}
	report("edge-a", devicehealth.StateAccepting)
	report("edge-b", devicehealth.StateAccepting)
	for i, name := range []string{"camera-1", "camera-2", "camera-3"} {
		op := placement.Operation{Kind: placement.OpCreate, Instance: name, Target: "edge-a", Zone: "north", Weight: float64(1 + i)}
		if _, err := c.processes["edge-a"].client.Propose(testContext(t), op); err != nil {
			t.Fatal(err)
		}
	}
	if plan, err := c.processes["relay-1"].client.LastResort(testContext(t)); err != nil || len(plan.Zones) != 0 {
		t.Errorf("while the nodes accept instances: %+v, %v", plan, err)
	}
	report("edge-a", devicehealth.StateEvacuating)
	report("edge-b", devicehealth.StateEvacuating)
	plan, err := c.processes["relay-1"].client.LastResort(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	want := []controllerclient.LastResortInstance{{Name: "camera-3", Node: "edge-a", Weight: 3}, {Name: "camera-2", Node: "edge-b", Weight: 2},
		{Name: "camera-1", Weight: 1}}
	if len(plan.Zones) != 1 || plan.Zones[0].Zone != "north" || !slices.Equal(plan.Zones[0].Instances, want) {
		t.Errorf("while all nodes are evacuating: %+v", plan)
	}
}
