package replica_test

import (
	"fmt"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// idleManager returns the manager of a node with n idle instances.
func idleManager(n int) *replica.Manager {
	var assignments []placement.Assignment
	var logs []replica.Log
	for i := range n {
		name := fmt.Sprintf("cam-%05d", i)
		assignments = append(assignments, placement.Assignment{Instance: name, State: placement.Running, Primary: "edge-a", Epoch: 1, Revision: 1, EverServed: true})
		logs = append(logs, replica.Log{Instance: name})
	}
	o := newManager(discardingHost{}, 1, "edge-a", 1, map[string]any{"fleet.lease": 1.0}, logs, assignments, 1)
	o.OnLease(2, 2+tick.Second, 1)
	return o
}

// TestManager_TickSkipsIdleInstances checks that OnTick processes instances with pending work and skips idle ones.
func TestManager_TickSkipsIdleInstances(t *testing.T) {
	o := idleManager(200)
	for _, h := range o.Copies(3) {
		if !h.Serving {
			t.Fatalf("not served: %+v", h)
		}
	}
	o.OnTick(3)
	if n := o.ActiveInstances(); n != 0 {
		t.Fatalf("%d idle instances are looked at", n)
	}
	o.OnRequest(4, &replica.Request{ID: "1", Instance: "cam-00007", Write: true, Deadline: tick.Second})
	o.OnAssignment(4, placement.Assignment{Instance: "cam-00009", State: placement.Running, Primary: "edge-a", Epoch: 1, Revision: 2, EverServed: true, CopyTarget: "edge-b"})
	if n := o.ActiveInstances(); n != 2 {
		t.Fatalf("%d instances are looked at, want 2: one with a pending write and one with a copy under way", n)
	}
	o.OnDurable(5, "cam-00007", 1)
	o.OnAssignment(5, placement.Assignment{Instance: "cam-00009", State: placement.Running, Primary: "edge-a", Epoch: 1, Revision: 3, EverServed: true})
	o.OnTick(6)
	if n := o.ActiveInstances(); n != 0 {
		t.Fatalf("%d instances are looked at after the work is done", n)
	}
}

func BenchmarkTickAtRest(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := idleManager(n)
			for b.Loop() {
				o.OnTick(3)
			}
		})
	}
}
