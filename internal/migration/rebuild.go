package migration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// NodeInventory lists the copies that a node reported after the controllers' log was lost.
type NodeInventory struct {
	Node   string
	Zone   string
	Copies []replica.CopyStatus
}

const (
	// rebuildEpochGap is added to the latest known epoch of an instance when its assignment is rebuilt. The sum exceeds every
	// epoch that was reported. The gap leaves room for later epochs that only an unresponsive node may know.
	rebuildEpochGap = 1000

	// maxRebuiltStaleCopies bounds the older copies that are recorded for one instance.
	maxRebuiltStaleCopies = 4
)

// Rebuild derives assignments from the copies that nodes report and from an earlier state of the table, if there is one. An
// instance continues on a node that certainly has every acknowledged entry. That is a node that was the primary or a replica
// in the latest known epoch (isAuthoritative) or, if no node is unresponsive, the node with the best copy (bestFirst).
// Without such a node the instance is lost: it waits for a node that has every entry. After Config.RestartAfter it is
// restarted from an older copy. The returned notes name each instance that is lost or may have lost entries.
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

// foundCopy is a copy of an instance, with the node that reported the copy and the node's zone.
type foundCopy struct {
	replica.CopyStatus
	node, zone string
}

type rebuild struct {
	unresponsive []string // nodes that did not answer
	copies       map[string][]foundCopy
	notes        []string
}

func (r *rebuild) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// instance rebuilds the assignment of one instance from its copies and its previous assignment, which is empty if known is
// false.
func (r *rebuild) instance(name string, previous placement.Assignment, known bool) placement.Assignment {
	latestEpoch := previous.Epoch // the latest epoch in the previous assignment or in a report
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

// isAuthoritative reports whether a copy's node was the primary or a replica in the latest epoch and has every acknowledged
// entry.
func (c foundCopy) isAuthoritative(latestEpoch uint64) bool {
	return (c.IsPrimary || c.IsReplica) && !c.Incomplete && c.Epoch == latestEpoch
}

// bestFirst removes incomplete copies without entries and orders the remaining ones: authoritative ones (isAuthoritative)
// first, then those of primaries, then those whose last entry has the latest epoch, then those with the most entries.
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

// continueFrom lets an instance continue on the node of the best copy if that copy is certain to have every acknowledged
// entry. Nodes with an identical copy become replicas.
func (r *rebuild) continueFrom(a *placement.Assignment, copies []foundCopy, latestEpoch uint64, known bool) {
	best := copies[0]
	a.Index, a.Size = best.Index, best.Size
	if a.Zone == "" {
		a.Zone = best.zone
	}
	if !known {
		r.note("%s: its importance and its device's zone are not known; using importance 1 and zone %s", a.Instance, a.Zone)
	}
	authoritative := best.isAuthoritative(latestEpoch) || len(r.unresponsive) == 0
	if authoritative {
		a.State, a.Primary = placement.Running, best.node
	} else {
		r.note("%s: lost for now: %s has %d entries, and a node that did not answer may have more", a.Instance, best.node, best.Index)
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
			r.note("%s: %s has %d entries beyond the chosen copy; the instance continues without them", a.Instance, c.node, c.Index-best.Index)
		}
	}
	slices.Sort(a.Replicas)
}

// awaitUnresponsive lets an instance of which no copy was found wait for the unresponsive nodes that were its primary or a
// replica.
func (r *rebuild) awaitUnresponsive(a *placement.Assignment, previous placement.Assignment) {
	for _, node := range append([]string{previous.Primary}, previous.Replicas...) {
		if slices.Contains(r.unresponsive, node) && len(a.StaleCopies) < maxRebuiltStaleCopies {
			a.StaleCopies = append(a.StaleCopies, placement.StaleCopy{Node: node, Index: previous.Index})
		}
	}
	r.note("%s: lost: no unit that answered has it", a.Instance)
}

// keepQuarantined makes the rebuilt assignment of an instance that was quarantined before the rebuild quarantined again. A
// quarantined instance has no primary, so the chosen primary becomes a replica.
func keepQuarantined(a *placement.Assignment) {
	a.State = placement.Quarantined
	if a.Primary != "" {
		a.Replicas = append(a.Replicas, a.Primary)
		slices.Sort(a.Replicas)
		a.Primary = ""
	}
}
