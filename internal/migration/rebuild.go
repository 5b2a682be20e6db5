package migration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// NodeInventory is what one node has, as it told after the controllers' log was lost.
type NodeInventory struct {
	Node   string
	Zone   string
	Copies []replica.CopyStatus
}

const (
	// rebuildEpochGap is by how much epochs are raised where assignments are rebuilt: above all that were seen, and above any
	// that a silent node may have been given without another one hearing of it.
	rebuildEpochGap = 1000

	// maxRebuiltStaleCopies is how many older copies of one instance are noted.
	maxRebuiltStaleCopies = 4
)

// Rebuild makes assignments anew from what nodes have, and from an earlier state of the table where there is one. An
// instance goes on at a node that has every acknowledged entry for sure: one that was its primary or a replica by the latest
// word that anyone has, or the one that has most where no node is silent. Else it is lost: it waits for a node that has it,
// and is restarted from an older copy that is known. The notes say by name what is lost, or may be.
func Rebuild(nodes []NodeInventory, unresponsive []string, previous []placement.Assignment) (all []placement.Assignment, notes []string) {
	r := &rebuild{unresponsive: unresponsive, copies: map[string][]foundCopy{}}
	for _, n := range nodes {
		for _, c := range n.Copies {
			r.copies[c.Instance] = append(r.copies[c.Instance], foundCopy{c, n.Node, n.Zone})
		}
	}
	previousByName := map[string]placement.Assignment{}
	for _, a := range previous {
		previousByName[a.Instance] = a
	}
	names := slices.AppendSeq(slices.Collect(maps.Keys(previousByName)), maps.Keys(r.copies))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		assignment, known := previousByName[name]
		all = append(all, r.instance(name, assignment, known))
	}
	return all, r.notes
}

// foundCopy is a copy of one instance and where it was found.
type foundCopy struct {
	replica.CopyStatus
	node, zone string
}

type rebuild struct {
	unresponsive []string // nodes that have not answered
	copies       map[string][]foundCopy
	notes        []string
}

func (r *rebuild) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// instance makes the assignment of one instance, from what it was where that is known.
func (r *rebuild) instance(name string, previous placement.Assignment, known bool) placement.Assignment {
	latestEpoch := previous.Epoch // that anyone heard of
	for _, c := range r.copies[name] {
		latestEpoch = max(latestEpoch, c.Epoch)
	}
	a := placement.Assignment{Instance: name, State: placement.Lost, Epoch: latestEpoch + rebuildEpochGap, Revision: 1, Zone: previous.Zone,
		Weight: max(1, previous.Weight), Size: previous.Size, Index: previous.Index, Extension: previous.Extension, EverServed: true,
		Reason: "placement was rebuilt"}
	if copies := bestFirst(r.copies[name], latestEpoch); len(copies) > 0 {
		r.continueFrom(&a, copies, latestEpoch, known)
	} else {
		r.awaitUnresponsive(&a, previous)
	}
	if previous.State == placement.Quarantined {
		keepQuarantined(&a)
	}
	return a
}

// isAuthoritative reports whether a node was the primary or a replica by the latest word, and has what it was counted on for.
func (c foundCopy) isAuthoritative(latestEpoch uint64) bool {
	return (c.IsPrimary || c.IsReplica) && !c.Incomplete && c.Epoch == latestEpoch
}

// bestFirst returns the copies that have something, those that are counted on and have most first.
func bestFirst(all []foundCopy, latestEpoch uint64) []foundCopy {
	copies := slices.DeleteFunc(slices.Clone(all), func(c foundCopy) bool { return c.Incomplete && c.Index == 0 })
	slices.SortFunc(copies, func(a, b foundCopy) int {
		return cmp.Or(
			-cmp.Compare(countIf(a.isAuthoritative(latestEpoch)), countIf(b.isAuthoritative(latestEpoch))),
			-cmp.Compare(countIf(a.IsPrimary), countIf(b.IsPrimary)),
			-cmp.Compare(a.LastEpoch, b.LastEpoch),
			-cmp.Compare(a.Index, b.Index),
			cmp.Compare(a.node, b.node))
	})
	return copies
}

// continueFrom lets an instance go on at the node of the best copy, if that has everything for sure, with those that have
// the same as replicas.
func (r *rebuild) continueFrom(a *placement.Assignment, copies []foundCopy, latestEpoch uint64, known bool) {
	best := copies[0]
	a.Index, a.Size = best.Index, best.Size
	if a.Zone == "" {
		a.Zone = best.zone
	}
	if !known {
		r.note("%s: its importance and its device's zone are not known; it has 1 and %s", a.Instance, a.Zone)
	}
	authoritative := best.isAuthoritative(latestEpoch) || len(r.unresponsive) == 0
	if authoritative {
		a.State, a.Primary = placement.Running, best.node
	} else {
		r.note("%s: lost for now: %s has %d effects, and a silent unit may have more", a.Instance, best.node, best.Index)
	}
	for _, c := range copies {
		switch {
		case authoritative && c.node == best.node:
		case authoritative && c.Index == best.Index && c.Checksum == best.Checksum:
			a.Replicas = append(a.Replicas, c.node)
		case len(a.StaleCopies) < maxRebuiltStaleCopies:
			a.StaleCopies = append(a.StaleCopies, placement.StaleCopy{Node: c.node, Index: c.Index})
		}
		if c.Index > best.Index {
			r.note("%s: %s has %d effects that were not counted on; it goes on without them", a.Instance, c.node, c.Index-best.Index)
		}
	}
	slices.Sort(a.Replicas)
}

// awaitUnresponsive has an instance that nobody has wait for the silent nodes that had it.
func (r *rebuild) awaitUnresponsive(a *placement.Assignment, previous placement.Assignment) {
	for _, node := range append([]string{previous.Primary}, previous.Replicas...) {
		if slices.Contains(r.unresponsive, node) && len(a.StaleCopies) < maxRebuiltStaleCopies {
			a.StaleCopies = append(a.StaleCopies, placement.StaleCopy{Node: node, Index: previous.Index})
		}
	}
	r.note("%s: lost: no unit that answered has it", a.Instance)
}

// keepQuarantined leaves an instance without a primary that was quarantined before.
func keepQuarantined(a *placement.Assignment) {
	a.State = placement.Quarantined
	if a.Primary != "" {
		a.Replicas = append(a.Replicas, a.Primary)
		slices.Sort(a.Replicas)
		a.Primary = ""
	}
}
