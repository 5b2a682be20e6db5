package placement

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// Apply applies an operation to the table and returns the resulting assignment. If an operation is refused, the table is
// unchanged. Apply then returns the unchanged assignment, if there is one, and an error that wraps one of this package's error
// variables. An operation whose effect is already in place changes nothing and succeeds.
func (t *Table) Apply(op Operation) (Assignment, error) {
	if op.Version > FormatVersion {
		return Assignment{}, fmt.Errorf("%w: operation format %d, this program reads up to %d", ErrUnsupportedVersion, op.Version, FormatVersion)
	}
	if fault := validateOperation(op); fault != "" {
		return Assignment{}, fmt.Errorf("%w: %s", ErrInvalid, fault)
	}
	r := t.rows[op.Instance]
	if op.Kind == OpCreate {
		return t.create(r, op)
	}
	if r == nil {
		return Assignment{}, ErrNotFound
	}
	current := r.assignment
	if err := checkEpochAndRevision(current, op); err != nil {
		return current, err
	}
	next, err := applyOperation(current, op)
	if err != nil {
		return current, err
	}
	if op.Kind == OpDelete {
		next.Revision++
		next.State = Deleted
		t.remove(r)
		return next, nil
	}
	if sameAssignment(current, next) {
		return current, nil
	}
	if op.Reason != "" {
		next.Reason = op.Reason
	}
	t.put(r, next)
	return r.assignment, nil
}

// create adds an instance with an epoch that its name has never had. If an instance of the same name was deleted, an operation
// of that instance's primary has an older epoch and is refused.
func (t *Table) create(existing *row, op Operation) (Assignment, error) {
	if existing != nil {
		return existing.assignment, ErrExists
	}
	r := &row{}
	t.rows[op.Instance] = r
	t.put(r, Assignment{Instance: op.Instance, State: Running, Primary: op.Target, Epoch: t.lastEpoch(op.Instance) + 1,
		Zone: op.Zone, Weight: max(1, op.Weight), Size: op.Size, Index: op.Index, Reason: op.Reason})
	return r.assignment, nil
}

// checkEpochAndRevision checks that an operation was proposed for the current epoch and, if it names a revision, for the
// current revision. OpMoveDevice may also name an earlier epoch.
func checkEpochAndRevision(current Assignment, op Operation) error {
	switch {
	case op.Epoch > current.Epoch:
		return fmt.Errorf("%w: epoch %d is later than the current epoch", ErrInvalid, op.Epoch)
	case op.Epoch < current.Epoch && op.Kind != OpMoveDevice: // OpMoveDevice may name an earlier epoch: the device's zone does not depend on the primary
		return ErrStaleEpoch
	case op.Revision != 0 && op.Revision != current.Revision:
		return fmt.Errorf("%w: the operation requires revision %d, the current revision is %d", ErrStaleEpoch, op.Revision, current.Revision)
	}
	return nil
}

// sameAssignment reports whether two assignments of an instance are equal in all fields that an operation can change, other
// than Reason and Revision.
func sameAssignment(a, b Assignment) bool {
	return a.State == b.State && a.Primary == b.Primary && a.Epoch == b.Epoch && a.CopyTarget == b.CopyTarget &&
		a.CutOver == b.CutOver && a.EverServed == b.EverServed && a.Index == b.Index && a.Zone == b.Zone &&
		a.Size == b.Size && a.Failures == b.Failures && a.MissingEntries == b.MissingEntries &&
		slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.StaleCopies, b.StaleCopies)
}

// SetUnverified records why the copy that a primary serves from may lack entries. An empty reason clears the record. A call
// is ignored if the epoch is later than the current one, or if the reason is too long or not valid UTF-8.
//
// The record does not change the revision of the assignment or the version of the table, because controllers of an earlier
// program version ignore the record but must arrive at the same revisions and table versions. No decision depends on the
// record. Since lists changes by table version, so it returns the reason only with the next change of the instance or in a
// complete list.
func (t *Table) SetUnverified(instance string, epoch uint64, reason string) {
	r := t.rows[instance]
	if r == nil || r.assignment.Epoch < epoch || len(reason) > maxReasonBytes || !utf8.ValidString(reason) {
		return
	}
	r.assignment.UnverifiedReason = reason // assignments that were returned earlier keep their reason: callers have copies
}
