// Package placement records on which edge nodes each instance runs. It is the state machine to which every controller applies
// the operations of the agreed log. The same operations in the same order give the same Table, byte for byte in its snapshot.
//
// A controller creates a Table with New, restores a snapshot with Restore if there is one, and calls Apply for each agreed
// Operation. Since returns the changes after a version that a caller has seen.
//
// Invariants:
//   - In one epoch an instance is served by one primary only. Each new primary has a greater epoch, and an operation of an
//     older epoch changes nothing, except that OpMoveDevice is accepted with any earlier epoch.
//   - A running instance has a primary. Only a running instance has a primary or a copy under way.
//   - The primary is never one of the replicas. A node with a stale copy is neither the primary nor a replica.
//   - A replica has every acknowledged entry. A node that lacks an acknowledged entry is removed from the replicas before the
//     instance acknowledges entries without it.
//   - Revisions of an instance and versions of the table only increase, and each version belongs to one change.
//
// The cost of an operation depends only on the number of replicas of its instance, not on the number of instances. A Table is
// not safe for concurrent use. The assignments that it returns are never modified afterwards and may be read concurrently.
//
// Kind: state (see docs/architecture.md)
package placement

import (
	"cmp"
	"slices"
)

// Limits of the fields of an operation and of the records that are kept.
const (
	maxNameBytes   = 256  // maximum length of the name of an instance, a node or a zone
	maxReasonBytes = 1024 // maximum length of a reason
	maxReplicas    = 16   // maximum number of replicas of one instance, but see maxExtraReplicas
	maxStaleCopies = 4    // maximum number of stale copies that are recorded for one instance
	maxDeletions   = 4096 // maximum number of deletions that are recorded
)

// Table holds the assignments of all instances.
type Table struct {
	rows      map[string]*row // by instance name
	byPrimary index           // rows by primary
	byReplica index           // rows by replica
	byZone    index           // rows by the zone of the device
	version   uint64
	newest    *row // the row that was changed last; row.older leads to the row that was changed before that row
	oldest    *row

	deletions     []deletion          // the latest deletions, ordered by version
	deletedByName map[string]deletion // the latest deletion of each name in deletions
	prunedEpoch   uint64              // the greatest epoch of all deletions that are no longer recorded
	prunedVersion uint64              // deletions up to this version are no longer recorded

	unknown UnknownFields // unknown fields of the header of the restored snapshot
}

// row holds one instance. A change replaces the assignment and never modifies its lists, because callers have copies of the
// assignment that share the lists.
type row struct {
	assignment   Assignment
	changedAt    uint64 // the table's version at the last change
	older, newer *row   // neighbors in the list of all rows, which is ordered by changedAt
	unknown      UnknownFields
}

// deletion records that an instance was deleted.
type deletion struct {
	Instance string `json:"name"`
	Epoch    uint64 `json:"epoch"` // the last epoch of the instance
	Version  uint64 `json:"at"`    // version of the table after the deletion
}

// New returns a table without instances.
func New() *Table {
	return &Table{rows: map[string]*row{}, byPrimary: index{}, byReplica: index{}, byZone: index{}, deletedByName: map[string]deletion{}}
}

// Len returns the number of instances.
func (t *Table) Len() int { return len(t.rows) }

// Version returns the number of operations that changed the table. It is the same on every controller.
func (t *Table) Version() uint64 { return t.version }

// Get returns the assignment of an instance, and false if there is no instance of this name.
func (t *Table) Get(instance string) (Assignment, bool) {
	if r := t.rows[instance]; r != nil {
		return r.assignment, true
	}
	return Assignment{}, false
}

// All returns the assignments of all instances, sorted by instance name. The cost grows with the number of instances.
func (t *Table) All() []Assignment {
	all := make([]Assignment, 0, len(t.rows))
	for _, r := range t.rows {
		all = append(all, r.assignment)
	}
	return sortByName(all)
}

// ByPrimary returns the assignments of the instances whose primary is a node, sorted by instance name. The cost grows with the
// number of assignments returned.
func (t *Table) ByPrimary(node string) []Assignment { return t.byPrimary.assignments(node) }

// ByReplica returns the assignments of the instances of which a node is a replica, sorted by instance name. The cost grows with
// the number of assignments returned.
func (t *Table) ByReplica(node string) []Assignment { return t.byReplica.assignments(node) }

// InZone returns the assignments of the instances whose device is in a zone, sorted by instance name. The cost grows with the
// number of assignments returned.
func (t *Table) InZone(zone string) []Assignment { return t.byZone.assignments(zone) }

func sortByName(all []Assignment) []Assignment {
	slices.SortFunc(all, func(a, b Assignment) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

// put replaces the assignment of a row. The replacement becomes the newest change of the table.
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

// remove removes a row. The removal becomes the newest change of the table.
func (t *Table) remove(r *row) {
	a := r.assignment
	t.unlink(r)
	t.reindex(r, a, Assignment{})
	delete(t.rows, a.Instance)
	t.version++
	t.rememberDeletion(deletion{Instance: a.Instance, Epoch: a.Epoch, Version: t.version})
}

// rememberDeletion records a deletion. If there are more than maxDeletions, it prunes the earliest one. The epoch of a pruned
// deletion stays in prunedEpoch, as a lower limit for the epochs of all new instances.
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

// lastEpoch returns the greatest epoch that earlier instances of a name may have had. It must only be called if there is no
// instance of the name now.
func (t *Table) lastEpoch(instance string) uint64 {
	return max(t.prunedEpoch, t.deletedByName[instance].Epoch)
}

// linkNewest adds a row to the list of rows as the one that was changed last.
func (t *Table) linkNewest(r *row) {
	r.older, r.newer = t.newest, nil
	if t.newest != nil {
		t.newest.newer = r
	} else {
		t.oldest = r
	}
	t.newest = r
}

// unlink removes a row from the list of rows. It does nothing for a row that is not in the list.
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
