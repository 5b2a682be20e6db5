package devicehealth

import (
	"cmp"
	"slices"
)

// Instance is one instance in the order in which the fleet serves on when all units of a zone are tired.
type Instance struct {
	Name           string
	Node           string  // which has it; after Floor: that serves it on, "" none
	PriorityWeight float64 // importance, 1 to 100
}

// AllDraining: the instances of each of these units are to go, so none of them can take another one's.
func AllDraining(reports map[string]Report) bool {
	for _, r := range reports {
		if !r.MustDrain() {
			return false
		}
	}
	return len(reports) > 0
}

// LastResort ranks the instances of units that are all tired: the most important first, by name among equals.
// Each goes on where it is while its unit can serve one more, else at the least endangered unit that can;
// what finds none is last, served by none. Each unit that does not end serves at least one, so a zone
// serves on until its last unit is dark.
func LastResort(reports map[string]Report, instances []Instance) []Instance {
	units := make([]string, 0, len(reports))
	left := map[string]int{}
	for name, r := range reports {
		units, left[name] = append(units, name), r.LastResortCapacity
	}
	slices.SortFunc(units, func(a, b string) int {
		x, y := reports[a], reports[b]
		return cmp.Or(cmp.Compare(x.Risk, y.Risk), cmp.Compare(level(y.State), level(x.State)),
			cmp.Compare(a, b))
	})
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return cmp.Or(-cmp.Compare(a.PriorityWeight, b.PriorityWeight), cmp.Compare(a.Name, b.Name))
	})
	var none []Instance
	served := ranked[:0]
	for _, i := range ranked {
		if left[i.Node] == 0 {
			i.Node = ""
			for _, u := range units {
				if left[u] > 0 {
					i.Node = u
					break
				}
			}
		}
		if i.Node == "" {
			none = append(none, i)
			continue
		}
		left[i.Node]--
		served = append(served, i)
	}
	return append(served, none...)
}
