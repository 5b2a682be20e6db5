package migration_test

import (
	"fmt"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// immediateHost agrees on each operation at once, and has the primary do its part at once.
type immediateHost struct {
	table     *placement.Table
	planner   *Planner
	now       tick.Tick
	proposals int
}

func (d *immediateHost) Explain(string) {}
func (d *immediateHost) Propose(e placement.Operation) {
	d.proposals++
	p, err := d.table.Apply(e)
	if err != nil {
		d.planner.OnProposalRefused(d.now, e, err)
		return
	}
	d.planner.OnAssignment(d.now, p)
	if p.CopyTarget == "" {
		return
	}
	kinds := []placement.OperationKind{placement.OpReplicaReady, placement.OpCutOver}
	if !p.CutOver {
		kinds = kinds[:1]
	}
	for _, k := range kinds {
		if p, err = d.table.Apply(placement.Operation{Version: 1, Kind: k, Instance: p.Instance, Epoch: p.Epoch, Node: p.Primary, Target: e.Target, Index: p.Index}); err != nil {
			panic(err)
		}
		d.planner.OnAssignment(d.now, p)
	}
}

// newFleet is a planner with a fleet at rest: 20 zones, each instance in its primary's,
// with a replica there or with fleet.away in another.
func newFleet(b *testing.B, units, instances int, set map[string]any) (*immediateHost, []NodeStatus) {
	b.Helper()
	d := &immediateHost{table: placement.New(), now: 1}
	d.planner = NewPlanner(d, 1, 3, ConfigFrom(set))
	d.planner.OnElected(1)
	all := make([]NodeStatus, units)
	for i := range all {
		all[i] = NodeStatus{Name: fmt.Sprint("edge-", i), Zone: fmt.Sprint("zone-", i%20), Incarnation: 1, Accepting: true, Risk: float64(i%37) / 100,
			FreeSlots: 1 << 20}
		d.planner.OnNodeStatus(1, all[i])
	}
	for i := range instances {
		u := all[i%units]
		p, err := d.table.Apply(placement.Operation{Version: 1, Kind: placement.OpCreate, Instance: fmt.Sprint("camera-", i), Target: u.Name, Zone: u.Zone, Weight: 5})
		if err != nil {
			b.Fatal(err)
		}
		d.planner.OnAssignment(1, p)
	}
	d.settle()
	return d, all
}

func (d *immediateHost) settle() {
	for {
		next := d.planner.OnTick(d.now)
		if next > d.now+1 {
			return
		}
		d.now = next
	}
}

var fleets = []struct{ units, instances int }{{100, 10000}, {1000, 10000}, {1000, 100000}, {10000, 100000}}

func benchmarkFleets(b *testing.B, do func(b *testing.B, d *immediateHost, all []NodeStatus)) {
	b.Helper()
	for _, away := range []float64{0, 1} {
		for _, f := range fleets {
			b.Run(fmt.Sprintf("away=%v/units=%d/instances=%d", away, f.units, f.instances), func(b *testing.B) {
				d, all := newFleet(b, f.units, f.instances, map[string]any{"fleet.away": away})
				b.ReportAllocs()
				b.ResetTimer()
				do(b, d, all)
				b.StopTimer()
				b.ReportMetric(float64(d.proposals)/float64(b.N), "steps/op")
			})
		}
	}
}

// A device moves: all operations of a migration, table and planner together.
func BenchmarkPlanner_DeviceMove(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, d *immediateHost, all []NodeStatus) {
		b.Helper()
		n := d.table.Len()
		d.proposals = 0
		for i := range b.N {
			d.now += 10 * tick.Second
			d.planner.OnDeviceMoved(d.now, fmt.Sprint("camera-", i*7919%n), fmt.Sprint("zone-", (i*13+5)%20))
		}
	})
}

// A node renews its lease and nothing has changed.
func BenchmarkPlanner_Renewal(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, d *immediateHost, all []NodeStatus) {
		b.Helper()
		d.proposals = 0
		for i := range b.N {
			d.now++
			u := all[i%len(all)]
			u.LeaseEnd, u.Risk = d.now+10*tick.Second, float64(i%41)/100
			d.planner.OnNodeStatus(d.now, u)
		}
	})
}

// A node fails, its instances fail over and are copied again, and it is back.
func BenchmarkPlanner_FailOver(b *testing.B) {
	benchmarkFleets(b, func(b *testing.B, d *immediateHost, all []NodeStatus) {
		b.Helper()
		d.proposals = 0
		for i := range b.N {
			d.now += 100 * tick.Second
			d.settle()
			u := all[i*31%len(all)]
			d.planner.OnLeaseExpired(d.now, u.Name)
			d.settle()
			d.planner.OnNodeStatus(d.now, u)
			d.settle()
		}
	})
}
