package devicehealth

import (
	"cmp"
	"slices"
)

// Served is one instance in the order in which the fleet serves on when all units of a zone are tired.
type Served struct {
	Name   string
	Unit   string  // which has it; after Floor: that serves it on, "" none
	Weight float64 // importance, 1 to 100
}

// AllTired: the instances of each of these units are to go, so none of them can take another one's.
func AllTired(reports map[string]Report) bool {
	for _, r := range reports {
		if !r.Tired() {
			return false
		}
	}
	return len(reports) > 0
}

// Floor ranks the instances of units that are all tired: the most important first, by name among equals.
// Each goes on where it is while its unit can serve one more, else at the least endangered unit that can;
// what finds none is last, served by none. Each unit that does not end serves at least one, so a zone
// serves on until its last unit is dark.
func Floor(reports map[string]Report, instances []Served) []Served {
	units := make([]string, 0, len(reports))
	left := map[string]int{}
	for name, r := range reports {
		units, left[name] = append(units, name), r.Serves
	}
	slices.SortFunc(units, func(a, b string) int {
		x, y := reports[a], reports[b]
		return cmp.Or(cmp.Compare(x.Danger, y.Danger), cmp.Compare(level(y.State), level(x.State)),
			cmp.Compare(a, b))
	})
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b Served) int {
		return cmp.Or(-cmp.Compare(a.Weight, b.Weight), cmp.Compare(a.Name, b.Name))
	})
	var none []Served
	served := ranked[:0]
	for _, i := range ranked {
		if left[i.Unit] == 0 {
			i.Unit = ""
			for _, u := range units {
				if left[u] > 0 {
					i.Unit = u
					break
				}
			}
		}
		if i.Unit == "" {
			none = append(none, i)
			continue
		}
		left[i.Unit]--
		served = append(served, i)
	}
	return append(served, none...)
}
