package devicehealth

import (
	"cmp"
	"maps"
	"slices"
)

// Instance is one of the instances that LastResort ranks while all nodes of a zone must evacuate.
type Instance struct {
	Name           string
	Node           string  // as input to LastResort: the node that has the instance; in the result of LastResort: the node to serve it, "" for none
	PriorityWeight float64 // from 1 to 100; the higher, the earlier the instance is ranked
}

// AllEvacuating reports whether all nodes with a report must evacuate, so that none can take the instances of another. It
// is false if there are no reports.
func AllEvacuating(reports map[string]Report) bool {
	for _, r := range reports {
		if !r.MustEvacuate() {
			return false
		}
	}
	return len(reports) > 0
}

// LastResort ranks the instances of nodes that must all evacuate, the highest priority weight first and, among equal
// weights, by name. A node's capacity is the LastResortCapacity of its report. An instance stays on its node while that
// node has capacity left; else it is assigned to the node of least risk that has capacity left. Instances for which no
// node has capacity left come last, without a node. The capacity is at least one unless the node was told to shut down,
// so a zone goes on serving until its last node is gone.
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

// nodesByRisk returns the names of the nodes, the lowest risk first. Of nodes with equal risk, the healthiest comes
// first; of equally healthy ones, the first by name.
func nodesByRisk(reports map[string]Report) []string {
	return slices.SortedFunc(maps.Keys(reports), func(a, b string) int {
		x, y := reports[a], reports[b]
		return cmp.Or(cmp.Compare(x.Risk, y.Risk), cmp.Compare(y.State.level(), x.State.level()), cmp.Compare(a, b))
	})
}

// firstWithCapacity returns the first of the nodes that has capacity left, or "" if none has.
func firstWithCapacity(nodes []string, capacityLeft map[string]int) string {
	for _, name := range nodes {
		if capacityLeft[name] > 0 {
			return name
		}
	}
	return ""
}
