package migration_test

import (
	"fmt"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// direct agrees each step at once, and the owner does its part at once.
type direct struct {
	table *placement.Table
	plan  *Planner
	now   tick.Tick
	steps int
}

func (d *direct) Log(string) {}
func (d *direct) Propose(e placement.Operation) {
	d.steps++
	p, err := d.table.Apply(e)
	if err != nil {
		d.plan.OnProposalRefused(d.now, e, err)
		return
	}
	d.plan.OnAssignment(d.now, p)
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
		d.plan.OnAssignment(d.now, p)
	}
}

// fleetOf is a planner with a fleet at rest: 20 zones, each instance in its owner's with a copy there, or with away in another.
func fleetOf(b *testing.B, units, instances int, set map[string]any) (*direct, []NodeStatus) {
	d := &direct{table: placement.New(), now: 1}
	d.plan = NewPlanner(d, 1, 3, set)
	d.plan.OnElected(1)
	all := make([]NodeStatus, units)
	for i := range all {
		all[i] = NodeStatus{Name: fmt.Sprint("edge-", i), Zone: fmt.Sprint("zone-", i%20), Incarnation: 1, Accepting: true, Risk: float64(i%37) / 100,
			FreeSlots: 1 << 20}
		d.plan.OnNodeStatus(1, all[i])
	}
	for i := range instances {
		u := all[i%units]
		p, err := d.table.Apply(placement.Operation{Version: 1, Kind: placement.OpCreate, Instance: fmt.Sprint("camera-", i), Target: u.Name, Zone: u.Zone, Weight: 5})
		if err != nil {
			b.Fatal(err)
		}
		d.plan.OnAssignment(1, p)
	}
	d.settle()
	return d, all
}

func (d *direct) settle() {
	for {
		next := d.plan.OnTick(d.now)
		if next > d.now+1 {
			return
		}
		d.now = next
	}
}

var fleets = []struct{ units, instances int }{{100, 10000}, {1000, 10000}, {1000, 100000}, {10000, 100000}}

func bench(b *testing.B, do func(b *testing.B, d *direct, all []NodeStatus)) {
	for _, away := range []float64{0, 1} {
		for _, f := range fleets {
			b.Run(fmt.Sprintf("away=%v/units=%d/instances=%d", away, f.units, f.instances), func(b *testing.B) {
				d, all := fleetOf(b, f.units, f.instances, map[string]any{"fleet.away": away})
				b.ReportAllocs()
				b.ResetTimer()
				do(b, d, all)
				b.StopTimer()
				b.ReportMetric(float64(d.steps)/float64(b.N), "steps/op")
			})
		}
	}
}

// A device crosses: cross, copy, synced, switch, drop, table and planner together.
func BenchmarkCross(b *testing.B) {
	bench(b, func(b *testing.B, d *direct, all []NodeStatus) {
		n := d.table.Len()
		d.steps = 0
		for i := range b.N {
			d.now += 10 * tick.Second
			d.plan.OnDeviceMoved(d.now, fmt.Sprint("camera-", i*7919%n), fmt.Sprint("zone-", (i*13+5)%20))
		}
	})
}

// A unit renews its lease and nothing has changed.
func BenchmarkRenewal(b *testing.B) {
	bench(b, func(b *testing.B, d *direct, all []NodeStatus) {
		d.steps = 0
		for i := range b.N {
			d.now++
			u := all[i%len(all)]
			u.LeaseEnd, u.Risk = d.now+10*tick.Second, float64(i%41)/100
			d.plan.OnNodeStatus(d.now, u)
		}
	})
}

// A unit falls, its instances are taken over and copied again, and it is back.
func BenchmarkFall(b *testing.B) {
	bench(b, func(b *testing.B, d *direct, all []NodeStatus) {
		d.steps = 0
		for i := range b.N {
			d.now += 100 * tick.Second
			d.settle()
			u := all[i*31%len(all)]
			d.plan.OnLeaseExpired(d.now, u.Name)
			d.settle()
			d.plan.OnNodeStatus(d.now, u)
			d.settle()
		}
	})
}
