package overload

import (
	"fmt"
	"math"
	"testing"

	"silvercove/internal/tick"
)

// admitted counts the tenants, of 1,000, whose requests of each class are admitted.
func admitted(m *Manager, now tick.Tick, ops int) (n [8]int, who map[string]bool) {
	who = map[string]bool{}
	for op := range ops {
		for i := range 1000 {
			tenant := fmt.Sprint("tenant ", i)
			if tenant := tenant; m.admission.classes[op].threshold > 0 {
				was := m.admission.classes[op].offered
				ok, _ := m.Admit(now, op, m.admission.classes[op].priorityWeight, tenant)
				m.admission.classes[op].offered = was
				if ok {
					n[op]++
					who[fmt.Sprint(op, tenant)] = true
				}
			}
		}
	}
	return n, who
}

// TestAdmit_ShedsByPriorityThenCost: the least priority weight first, then the costly classes, then whole tenants; a
// floor of each is admitted.
func TestAdmit_ShedsByPriorityThenCost(t *testing.T) {
	type kind struct {
		importance, took float64
		many             int
	}
	for _, c := range []struct {
		name  string
		admit float64
		kinds []kind
		want  []float64 // admitted
	}{
		{"all", 1, []kind{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{1, 1}},
		{"the important class whole", 0.6, []kind{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{0.2, 1}},
		{"the floor of the other class", 0.4, []kind{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{0.05, 0.75}},
		{"the cheap class of equals", 0.4, []kind{{5, 0.08, 1}, {5, 0.01, 1}}, []float64{0.325, 1}},
		{"nearly the same work is the same", 0.5, []kind{{5, 0.017, 1}, {5, 0.018, 1}}, []float64{0.98, 0.05}},
		{"by the work offered", 0.5, []kind{{1, 0.01, 1}, {9, 0.01, 3}}, []float64{0.05, 0.65}},
		{"floors alone", 0.05, []kind{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{0.05, 0.05}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newTestFleet(2, nil)
			offer := func(i int, m *Manager) {
				for op, k := range c.kinds {
					for range k.many {
						m.Admit(fleet.now, op, k.importance, "")
					}
					m.RecordServiceTime(fleet.now, op, tick.Tick(k.took*float64(tick.Second)))
				}
			}
			fleet.run(20, offer)
			var first map[string]bool
			for i, m := range fleet.relays {
				m.admission.sharedFraction = c.admit
				m.recomputeThresholds()
				n, who := admitted(m, fleet.now, len(c.kinds))
				for op, want := range c.want {
					if got := float64(n[op]) / 1000; math.Abs(got-want) > 0.04 {
						t.Errorf("relay %d class %d: %v admitted, want %v", i, op, got, want)
					}
				}
				if first == nil {
					first = who
				}
				for w := range who {
					if !first[w] {
						t.Fatalf("%s is admitted at one relay only", w)
					}
				}
			}
		})
	}
}
