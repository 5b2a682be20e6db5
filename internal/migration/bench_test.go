package migration_test

import (
	"fmt"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// immediateHost agrees to each operation at once and immediately does the primary's part of a copy.
type immediateHost struct {
	table     *placement.Table
	planner   *Planner
	now       tick.Tick
	proposals int
}

func (h *immediateHost) Explain(string) {}
func (h *immediateHost) Propose(op placement.Operation) {
	h.proposals++
	assignment, err := h.table.Apply(op)
	if err != nil {
		h.planner.OnProposalRefused(h.now, op, err)
		return
	}
	h.planner.OnAssignment(h.now, assignment)
	if assignment.CopyTarget == "" {
		return
	}
	kinds := []placement.OperationKind{placement.OpReplicaReady, placement.OpCutOver}
	if !assignment.CutOver {
		kinds = kinds[:1]
	}
	for _, kind := range kinds {
		if assignment, err = h.table.Apply(placement.Operation{Version: 1, Kind: kind, Instance: assignment.Instance, Epoch: assignment.Epoch, Node: assignment.Primary, Target: op.Target, Index: assignment.Index}); err != nil {
			panic(err)
		}
		h.planner.OnAssignment(h.now, assignment)
	}
}

// newFleet returns a planner whose fleet is at rest. The fleet has 20 zones. The device of each instance is in its primary's
// zone. The replica is in that zone too or, if fleet.away is 1, in another zone.
func newFleet(b *testing.B, nodes, instances int, settings map[string]any) (*immediateHost, []NodeStatus) {
	b.Helper()
	h := &immediateHost{table: placement.New(), now: 1}
	h.planner = NewPlanner(h, 1, 3, ConfigFrom(settings))
	h.planner.OnElected(1)
	statuses := make([]NodeStatus, nodes)
	for i := range statuses {
		statuses[i] = NodeStatus{Name: fmt.Sprint("edge-", i), Zone: fmt.Sprint("zone-", i%20), Incarnation: 1, Accepting: true, Risk: float64(i%37) / 100,
			FreeSlots: 1 << 20}
		h.planner.OnNodeStatus(1, statuses[i])
	}
	for i := range instances {
		n := statuses[i%nodes]
		assignment, err := h.table.Apply(placement.Operation{Version: 1, Kind: placement.OpCreate, Instance: fmt.Sprint("camera-", i), Target: n.Name, Zone: n.Zone, Weight: 5})
		if err != nil {
			b.Fatal(err)
		}
		h.planner.OnAssignment(1, assignment)
	}
	h.settle()
	return h, statuses
}

func (h *immediateHost) settle() {
	for {
		next := h.planner.OnTick(h.now)
		if next > h.now+1 {
			return
		}
		h.now = next
	}
}

var fleetSizes = []struct{ nodes, instances int }{{100, 10000}, {1000, 10000}, {1000, 100000}, {10000, 100000}}

func benchmarkFleets(b *testing.B, run func(b *testing.B, h *immediateHost, all []NodeStatus)) {
	b.Helper()
	for _, remoteReplicas := range []float64{0, 1} {
		for _, f := range fleetSizes {
			b.Run(fmt.Sprintf("away=%v/units=%d/instances=%d", remoteReplicas, f.nodes, f.instances), func(b *testing.B) {
				h, all := newFleet(b, f.nodes, f.instances, map[string]any{"fleet.away": remoteReplicas})
				b.ReportAllocs()
				b.ResetTimer()
				run(b, h, all)
				b.StopTimer()
				b.ReportMetric(float64(h.proposals)/float64(b.N), "steps/op")
			})
		}
	}
}

// BenchmarkPlanner_DeviceMove measures the migration that follows the move of a device: all operations, in the planner and in
// the placement table.
func BenchmarkPlanner_DeviceMove(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, h *immediateHost, all []NodeStatus) {
		b.Helper()
		n := h.table.Len()
		h.proposals = 0
		for i := range b.N {
			h.now += 10 * tick.Second
			h.planner.OnDeviceMoved(h.now, fmt.Sprint("camera-", i*7919%n), fmt.Sprint("zone-", (i*13+5)%20))
		}
	})
}

// BenchmarkPlanner_Renewal measures a lease renewal that changes nothing but the lease's end and the risk.
func BenchmarkPlanner_Renewal(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, h *immediateHost, all []NodeStatus) {
		b.Helper()
		h.proposals = 0
		for i := range b.N {
			h.now++
			n := all[i%len(all)]
			n.LeaseEnd, n.Risk = h.now+10*tick.Second, float64(i%41)/100
			h.planner.OnNodeStatus(h.now, n)
		}
	})
}

// BenchmarkPlanner_FailOver measures the failure of a node, the fail-over and renewed replication of its instances, and its
// return.
func BenchmarkPlanner_FailOver(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, h *immediateHost, all []NodeStatus) {
		b.Helper()
		h.proposals = 0
		for i := range b.N {
			h.now += 100 * tick.Second
			h.settle()
			n := all[i*31%len(all)]
			h.planner.OnLeaseExpired(h.now, n.Name)
			h.settle()
			h.planner.OnNodeStatus(h.now, n)
			h.settle()
		}
	})
}
