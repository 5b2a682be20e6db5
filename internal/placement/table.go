// Package placement keeps where each running instance works: the state machine that every controller steps by the same
// agreed log of operations. The same operations in the same order give the same Table, byte for byte in its snapshot.
//
// A controller makes a Table with New, or Restore and a snapshot, and calls Apply for each Operation as it is agreed.
// Since tells what has changed after a version that a caller has seen.
//
// What holds at each moment:
//   - An instance is served in one epoch by one primary. Each new primary has a greater epoch, and an operation of an
//     older epoch changes nothing.
//   - A running instance has a primary, and only a running one has one or a copy under way.
//   - The primary is never among its replicas, and a node with a stale copy is neither.
//   - A replica has every acknowledged entry. A node that lacks some is taken out before the instance goes on without it.
//   - Revisions of an instance and versions of the table only grow, and each version belongs to one change.
//
// An operation costs no more than the replicas of its one instance, whatever the number of instances. A Table has no
// lock: one goroutine steps it. What it hands out may be read by any, and is never written again.
//
// Kind: state (see docs/architecture.md)
package placement

import (
	"cmp"
	"slices"
)

// Bounds of what an operation may say and of what is remembered.
const (
	maxNameBytes   = 256  // of a name of an instance, a node or a zone
	maxReasonBytes = 1024 // of a reason
	maxReplicas    = 16   // of one instance
	maxStaleCopies = 4    // of one instance that are remembered
	maxDeletions   = 4096 // names that are remembered after they were deleted
)

// Table is where all instances run.
type Table struct {
	rows      map[string]*row
	byPrimary index
	byReplica index
	byZone    index // of the devices
	version   uint64
	newest    *row // changed last; each leads to the one changed before
	oldest    *row

	deletions     []deletion // the last ones, in their order
	deletedByName map[string]deletion
	prunedEpoch   uint64 // the greatest epoch of a name that was deleted and is no longer remembered
	prunedVersion uint64 // the version up to which deletions are no longer remembered

	unknown UnknownFields // of the snapshot's head
}

// row is one instance. Its assignment is replaced, never written into.
type row struct {
	assignment   Assignment
	changedAt    uint64 // the table's version
	older, newer *row   // by changedAt
	unknown      UnknownFields
}

// deletion is an instance that was deleted.
type deletion struct {
	Instance string `json:"name"`
	Epoch    uint64 `json:"epoch"`
	Version  uint64 `json:"at"` // of the table
}

// New returns a table without instances.
func New() *Table {
	return &Table{rows: map[string]*row{}, byPrimary: index{}, byReplica: index{}, byZone: index{}, deletedByName: map[string]deletion{}}
}

// Len returns the number of instances.
func (t *Table) Len() int { return len(t.rows) }

// Version counts the operations that changed something. It is the same at every controller.
func (t *Table) Version() uint64 { return t.version }

// Get returns where an instance runs, if there is one of this name.
func (t *Table) Get(instance string) (Assignment, bool) {
	if r := t.rows[instance]; r != nil {
		return r.assignment, true
	}
	return Assignment{}, false
}

// All returns all instances by name. It costs as much as there are of them.
func (t *Table) All() []Assignment {
	all := make([]Assignment, 0, len(t.rows))
	for _, r := range t.rows {
		all = append(all, r.assignment)
	}
	return sortByName(all)
}

// ByPrimary returns the instances whose primary a node is, by name. It costs as much as there are of them, as do ByReplica
// and InZone.
func (t *Table) ByPrimary(node string) []Assignment { return t.byPrimary.assignments(node) }

// ByReplica returns the instances of which a node is a replica, by name.
func (t *Table) ByReplica(node string) []Assignment { return t.byReplica.assignments(node) }

// InZone returns the instances whose device is in a zone, by name.
func (t *Table) InZone(zone string) []Assignment { return t.byZone.assignments(zone) }

func sortByName(all []Assignment) []Assignment {
	slices.SortFunc(all, func(a, b Assignment) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

// put replaces the assignment of a row, as the newest change.
func (t *Table) put(r *row, next Assignment) {
	old := r.assignment
	next.Revision = old.Revision + 1
	if len(next.StaleCopies) == 0 {
		next.StaleCopies = nil
	}
	if len(next.Replicas) == 0 {
		next.Replicas = nil
	}
	t.unlink(r)
	t.version++
	r.assignment, r.changedAt = next, t.version
	t.linkNewest(r)
	t.reindex(r, old, next)
}

// remove takes a row out, as the newest change.
func (t *Table) remove(r *row) {
	a := r.assignment
	t.unlink(r)
	t.reindex(r, a, Assignment{})
	delete(t.rows, a.Instance)
	t.version++
	t.rememberDeletion(deletion{Instance: a.Instance, Epoch: a.Epoch, Version: t.version})
}

// rememberDeletion notes a deletion. The earliest of too many leaves its epoch as the least one for all names.
func (t *Table) rememberDeletion(d deletion) {
	t.deletions = append(t.deletions, d)
	t.deletedByName[d.Instance] = d
	if len(t.deletions) <= maxDeletions {
		return
	}
	first := t.deletions[0]
	t.deletions = t.deletions[1:]
	if t.deletedByName[first.Instance].Version == first.Version {
		delete(t.deletedByName, first.Instance)
	}
	t.prunedEpoch = max(t.prunedEpoch, first.Epoch)
	t.prunedVersion = first.Version
}

// lastEpoch returns the greatest epoch that a name without an instance may have had.
func (t *Table) lastEpoch(instance string) uint64 {
	return max(t.prunedEpoch, t.deletedByName[instance].Epoch)
}

// linkNewest makes a row the newest in the order of changes.
func (t *Table) linkNewest(r *row) {
	r.older, r.newer = t.newest, nil
	if t.newest != nil {
		t.newest.newer = r
	} else {
		t.oldest = r
	}
	t.newest = r
}

// unlink takes a row out of the order of changes.
func (t *Table) unlink(r *row) {
	switch {
	case r.older != nil:
		r.older.newer = r.newer
	case t.oldest == r:
		t.oldest = r.newer
	}
	switch {
	case r.newer != nil:
		r.newer.older = r.older
	case t.newest == r:
		t.newest = r.older
	}
	r.older, r.newer = nil, nil
}
