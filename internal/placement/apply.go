package placement

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// Apply steps the table by an operation and returns the assignment after it, or with an error the one that stands, if any.
// The error is one of this package's sentinels and means that nothing has changed. An operation whose work is done already
// changes nothing and is no error.
func (t *Table) Apply(op Operation) (Assignment, error) {
	if op.Version > FormatVersion {
		return Assignment{}, fmt.Errorf("%w: entry %d, this program reads %d", ErrUnsupportedVersion, op.Version, FormatVersion)
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

// create makes an instance in an epoch that its name has never had: a primary of before it was deleted has an older one.
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

// checkEpochAndRevision checks that an operation rests on the assignment that stands.
func checkEpochAndRevision(current Assignment, op Operation) error {
	switch {
	case op.Epoch > current.Epoch:
		return fmt.Errorf("%w: epoch %d is not there yet", ErrInvalid, op.Epoch)
	case op.Epoch < current.Epoch && op.Kind != OpMoveDevice: // a device is where it is, whatever its instance's primary
		return ErrStaleEpoch
	case op.Revision != 0 && op.Revision != current.Revision:
		return fmt.Errorf("%w: change %d, it stands at %d", ErrStaleEpoch, op.Revision, current.Revision)
	}
	return nil
}

// sameAssignment reports whether an operation changed nothing.
func sameAssignment(a, b Assignment) bool {
	return a.State == b.State && a.Primary == b.Primary && a.Epoch == b.Epoch && a.CopyTarget == b.CopyTarget &&
		a.CutOver == b.CutOver && a.EverServed == b.EverServed && a.Index == b.Index && a.Zone == b.Zone &&
		a.Size == b.Size && a.Failures == b.Failures && a.MissingEntries == b.MissingEntries &&
		slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.StaleCopies, b.StaleCopies)
}

// SetUnverified notes that a primary goes on with a copy that may lack entries, or with an empty reason that it does not.
// It is no change of an assignment: nobody decides by it, and a controller of an earlier version, which passes it over,
// must count the same changes. It is told with the next one, and whenever all assignments are asked for.
func (t *Table) SetUnverified(instance string, epoch uint64, reason string) {
	r := t.rows[instance]
	if r == nil || r.assignment.Epoch < epoch || len(reason) > maxReasonBytes || !utf8.ValidString(reason) {
		return
	}
	r.assignment.UnverifiedReason = reason // of the row's own copy: what was handed out is another one
}
