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

// TestLastResort_ServesByPriorityWeight: it tells which node serves what, the greatest priority weight first.
func TestLastResort_ServesByPriorityWeight(t *testing.T) {
	c := newTestFleet(t, 10*time.Second, 1, 2)
	c.start()
	mains, hot, limit := true, 99.0, 85.0
	says := func(unit string, state devicehealth.State) {
		t.Helper()
		r := devicehealth.Report{Version: devicehealth.ReportVersion, State: state, LastResortCapacity: 1, Risk: 0.8, ShutdownRequested: true,
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
	says("edge-a", devicehealth.StateEvacuating)
	says("edge-b", devicehealth.StateEvacuating)
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
