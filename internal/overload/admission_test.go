package overload

import (
	"fmt"
	"math"
	"testing"

	"silvercove/internal/tick"
)

// admittedTenants returns how many of 1,000 tenants are admitted, by class. It also returns the set of admitted tenants,
// whose keys are the class followed by the tenant.
func admittedTenants(m *Manager, now tick.Tick, classes int) (n [8]int, tenants map[string]bool) {
	tenants = map[string]bool{}
	for class := range classes {
		for i := range 1000 {
			tenant := fmt.Sprint("tenant ", i)
			if tenant := tenant; m.admission.classes[class].threshold > 0 {
				offered := m.admission.classes[class].offered
				ok, _ := m.Admit(now, class, m.admission.classes[class].priorityWeight, tenant)
				m.admission.classes[class].offered = offered
				if ok {
					n[class]++
					tenants[fmt.Sprint(class, tenant)] = true
				}
			}
		}
	}
	return n, tenants
}

// TestAdmit_ShedsByPriorityThenCost: classes of the lowest priority weight are shed first, then classes with more work
// per request. A class sheds whole tenants, and its admission floor is always admitted.
func TestAdmit_ShedsByPriorityThenCost(t *testing.T) {
	type classLoad struct {
		priorityWeight, serviceTime float64
		requests                    int
	}
	for _, c := range []struct {
		name     string
		fraction float64
		loads    []classLoad
		want     []float64 // admitted share of the tenants, by class
	}{
		{"all", 1, []classLoad{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{1, 1}},
		{"all of the class with the higher weight", 0.6, []classLoad{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{0.2, 1}},
		{"only the floor of the class with the lower weight", 0.4, []classLoad{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{0.05, 0.75}},
		{"the class with less work among equal weights", 0.4, []classLoad{{5, 0.08, 1}, {5, 0.01, 1}}, []float64{0.325, 1}},
		{"nearly equal work counts as equal", 0.5, []classLoad{{5, 0.017, 1}, {5, 0.018, 1}}, []float64{0.98, 0.05}},
		{"according to the offered work", 0.5, []classLoad{{1, 0.01, 1}, {9, 0.01, 3}}, []float64{0.05, 0.65}},
		{"only the floors", 0.05, []classLoad{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{0.05, 0.05}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newTestFleet(2, nil)
			offer := func(i int, m *Manager) {
				for class, load := range c.loads {
					for range load.requests {
						m.Admit(fleet.now, class, load.priorityWeight, "")
					}
					m.RecordServiceTime(fleet.now, class, tick.Tick(load.serviceTime*float64(tick.Second)))
				}
			}
			fleet.run(20, offer)
			var firstTenants map[string]bool
			for i, m := range fleet.relays {
				m.admission.sharedFraction = c.fraction
				m.recomputeThresholds()
				n, tenants := admittedTenants(m, fleet.now, len(c.loads))
				for class, want := range c.want {
					if got := float64(n[class]) / 1000; math.Abs(got-want) > 0.04 {
						t.Errorf("relay %d class %d: %v admitted, want %v", i, class, got, want)
					}
				}
				if firstTenants == nil {
					firstTenants = tenants
				}
				for tenant := range tenants {
					if !firstTenants[tenant] {
						t.Fatalf("%s is admitted at one relay only", tenant)
					}
				}
			}
		})
	}
}
