package devicehealth_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/devicehealth"
)

// Instances are ranked by priority weight. The first instances in the ranking are served, as many as the nodes'
// capacities add up to. No node serves more than its own capacity.
func TestLastResort_RanksByPriorityWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := map[string]devicehealth.Report{}
		capacity := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "units") {
			r := devicehealth.Report{Version: 1, State: devicehealth.StateEvacuating, Risk: rapid.Float64Range(0, 1).Draw(t, "danger"),
				LastResortCapacity: rapid.IntRange(1, 4).Draw(t, "serves")}
			capacity += r.LastResortCapacity
			reports[fmt.Sprint("u", i)] = r
		}
		var all []devicehealth.Instance
		for i := range rapid.IntRange(0, 20).Draw(t, "instances") {
			all = append(all, devicehealth.Instance{Name: fmt.Sprint("i", i), Node: fmt.Sprint("u", rapid.IntRange(0, 6).Draw(t, "at")),
				PriorityWeight: float64(rapid.IntRange(1, 100).Draw(t, "weight"))})
		}
		ranked := devicehealth.LastResort(reports, all)
		if len(ranked) != len(all) {
			t.Fatalf("%d of %d instances are ranked", len(ranked), len(all))
		}
		served, lastWeight := map[string]int{}, 101.0
		for i, s := range ranked {
			if (s.Node != "") != (i < capacity) {
				t.Fatalf("rank %d with a capacity of %d: %+v", i, capacity, s)
			}
			if s.PriorityWeight > lastWeight {
				t.Fatalf("%+v is ranked after an instance of priority weight %v", s, lastWeight)
			}
			lastWeight = s.PriorityWeight
			if served[s.Node]++; s.Node != "" && served[s.Node] > reports[s.Node].LastResortCapacity {
				t.Fatalf("%s serves %d instances, above its capacity", s.Node, served[s.Node])
			}
		}
	})
}
