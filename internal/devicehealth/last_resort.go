package devicehealth

import (
	"cmp"
	"maps"
	"slices"
)

// Instance is one instance in the order in which a fleet serves on where all nodes of a zone must evacuate.
type Instance struct {
	Name           string
	Node           string  // which has it; after LastResort: which serves it on, "" for none
	PriorityWeight float64 // 1 to 100
}

// AllEvacuating reports whether the instances of each of these nodes are to go, so that none of them can take another
// one's. It is false of no nodes.
func AllEvacuating(reports map[string]Report) bool {
	for _, r := range reports {
		if !r.MustEvacuate() {
			return false
		}
	}
	return len(reports) > 0
}

// LastResort ranks the instances of nodes that must all evacuate: the highest priority weight first, by name among equals.
// Each stays where it is while its node can serve one more, else it goes to the node at the least risk that can; those
// for which there is none are last, served by none. Each node that does not end serves at least one, so a zone serves on
// until its last node is gone.
func LastResort(reports map[string]Report, instances []Instance) []Instance {
	nodes := nodesByRisk(reports)
	capacityLeft := map[string]int{}
	for name, r := range reports {
		capacityLeft[name] = r.LastResortCapacity
	}
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return cmp.Or(-cmp.Compare(a.PriorityWeight, b.PriorityWeight), cmp.Compare(a.Name, b.Name))
	})
	var unserved []Instance
	served := ranked[:0]
	for _, i := range ranked {
		if capacityLeft[i.Node] == 0 {
			i.Node = firstWithCapacity(nodes, capacityLeft)
		}
		if i.Node == "" {
			unserved = append(unserved, i)
			continue
		}
		capacityLeft[i.Node]--
		served = append(served, i)
	}
	return append(served, unserved...)
}

// nodesByRisk orders nodes by risk, then the strongest state first, then by name.
func nodesByRisk(reports map[string]Report) []string {
	return slices.SortedFunc(maps.Keys(reports), func(a, b string) int {
		x, y := reports[a], reports[b]
		return cmp.Or(cmp.Compare(x.Risk, y.Risk), cmp.Compare(y.State.level(), x.State.level()), cmp.Compare(a, b))
	})
}

// firstWithCapacity is "" where there is none.
func firstWithCapacity(nodes []string, capacityLeft map[string]int) string {
	for _, name := range nodes {
		if capacityLeft[name] > 0 {
			return name
		}
	}
	return ""
}
