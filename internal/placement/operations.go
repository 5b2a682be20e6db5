package placement

import (
	"fmt"
	"slices"
)

// transition applies one operation to one assignment. Each method for a kind of operation checks the preconditions of that
// kind, returns an error if one does not hold, and only then changes next.
//
// Data that next shares with the current assignment, such as its lists, is replaced and never modified in place.
type transition struct {
	op   Operation
	next Assignment // starts as a copy of the current assignment
}

// applyOperation returns the assignment that results from an operation, or current with an error. The caller has checked the
// epoch and the revision of the operation with checkEpochAndRevision.
func applyOperation(current Assignment, op Operation) (Assignment, error) {
	t := &transition{op: op, next: current}
	if err := t.apply(); err != nil {
		return current, err
	}
	return t.next, nil
}

func (t *transition) apply() error {
	switch t.op.Kind {
	case OpStartCopy:
		return t.startCopy()
	case OpReplicaReady:
		return t.replicaReady()
	case OpDropReplica:
		return t.dropReplica()
	case OpCutOver:
		return t.cutOver()
	case OpCancelCopy:
		return t.cancelCopy()
	case OpFailOver:
		return t.failOver()
	case OpMarkServed:
		return t.markServed()
	case OpReportIncomplete:
		return t.reportIncomplete()
	case OpRestart:
		return t.restart()
	case OpRelease:
		return t.release()
	case OpMoveDevice:
		return t.moveDevice()
	case OpResetFailures:
		return t.resetFailures()
	case OpQuarantine:
		return t.quarantine()
	case OpDelete:
		return t.deleteInstance()
	}
	return nil
}

// startCopy starts a copy, or turns the copy under way into a cut-over to the same target.
func (t *transition) startCopy() error {
	a := &t.next
	replica := t.targetIsReplica()
	switch {
	case !t.running():
		return ErrWrongState
	case t.op.Target == a.Primary:
		return ErrWrongState
	case a.CopyTarget != "" && !t.turnsCopyIntoCutOver():
		return ErrWrongState
	case replica && !t.op.CutOver:
		return ErrWrongState
	case !replica && len(a.Replicas) >= maxReplicas:
		return ErrWrongState
	}
	a.CopyTarget, a.CutOver = t.op.Target, t.op.CutOver
	return nil
}

// turnsCopyIntoCutOver reports whether the operation asks for a cut-over and the copy under way has the same target without a
// cut-over.
func (t *transition) turnsCopyIntoCutOver() bool {
	return t.next.CopyTarget == t.op.Target && !t.next.CutOver && t.op.CutOver
}

// replicaReady makes the target a replica. The operation is the report of the primary that the target has every acknowledged
// entry.
func (t *transition) replicaReady() error {
	a := &t.next
	if err := t.requireFromPrimary(); err != nil {
		return err
	}
	if !t.targetIsReplica() && t.op.Target != a.CopyTarget {
		return ErrWrongState // the copy to the target was cancelled
	}
	if t.op.Target == a.CopyTarget && !a.CutOver {
		a.CopyTarget = ""
	}
	addReplica(a, t.op.Target)
	a.Index = max(a.Index, t.op.Index)
	t.updateSize()
	return nil
}

// dropReplica removes a replica on behalf of the primary or, if the operation names no node, of the controllers.
func (t *transition) dropReplica() error {
	a := &t.next
	switch {
	case !t.running():
		return ErrWrongState
	case t.op.Node != a.Primary && t.op.Node != "":
		return ErrNotPrimary
	case t.op.Node == "" && a.CutOver && a.CopyTarget == t.op.Target:
		return ErrWrongState // the target of a cut-over: the controllers must cancel the cut-over first, with OpCancelCopy
	}
	a.Index = max(a.Index, t.op.Index)
	if t.targetIsReplica() {
		a.Replicas = without(a.Replicas, t.op.Target)
		rememberStaleCopy(a, t.op.Target, a.Index)
	}
	return nil
}

// cutOver makes the target the primary of the next epoch. The old primary has stopped and has every acknowledged entry, and
// becomes a replica.
func (t *transition) cutOver() error {
	a := &t.next
	if err := t.requireFromPrimary(); err != nil {
		return err
	}
	switch {
	case !a.CutOver || a.CopyTarget != t.op.Target:
		return ErrWrongState // the cut-over to the target was cancelled
	case !t.targetIsReplica():
		return ErrNotReplica
	case t.op.Index < a.Index:
		return fmt.Errorf("%w: the primary stopped at index %d, below the recorded index %d", ErrInvalid, t.op.Index, a.Index)
	}
	old := a.Primary
	makePrimary(a, t.op.Target)
	addReplica(a, old)
	a.Index = t.op.Index
	t.updateSize()
	return nil
}

// cancelCopy cancels the copy or cut-over under way.
func (t *transition) cancelCopy() error {
	a := &t.next
	switch {
	case a.CopyTarget == "":
		return ErrWrongState
	case t.op.Target != "" && t.op.Target != a.CopyTarget:
		return ErrWrongState
	case t.op.Node != "" && t.op.Node != a.Primary:
		return ErrNotPrimary
	}
	a.CopyTarget, a.CutOver = "", false
	return nil
}

// failOver makes a replica the primary of the next epoch after the lease of the primary has expired. Without a target the
// instance becomes lost.
func (t *transition) failOver() error {
	a := &t.next
	if err := t.requireFromPrimary(); err != nil {
		return err
	}
	if t.op.Target != "" && !t.targetIsReplica() {
		return ErrNotReplica
	}
	a.Failures++
	if t.op.Target == "" {
		stop(a, Lost)
		return nil
	}
	old := a.Primary
	makePrimary(a, t.op.Target)
	rememberStaleCopy(a, old, a.Index)
	return nil
}

// markServed records that acknowledged entries may exist from now on.
func (t *transition) markServed() error {
	if err := t.requireFromPrimary(); err != nil {
		return err
	}
	t.next.EverServed = true
	return nil
}

// reportIncomplete removes a node that lacks entries which a primary or a replica must have. If the node is the primary, the
// operation's Target, a replica, becomes the primary of the next epoch. If Target is empty, the instance becomes lost.
func (t *transition) reportIncomplete() error {
	a := &t.next
	primary := t.running() && t.op.Node != "" && t.op.Node == a.Primary
	switch {
	case !primary && !slices.Contains(a.Replicas, t.op.Node):
		return ErrNotPrimary
	case primary && t.op.Target != "" && !t.targetIsReplica():
		return ErrNotReplica
	}
	if primary {
		a.Failures++
		if t.op.Target != "" {
			makePrimary(a, t.op.Target)
		} else {
			a.State, a.Primary, a.CopyTarget, a.CutOver = Lost, "", "", false
		}
	}
	a.Replicas = without(a.Replicas, t.op.Node)
	return nil
}

// restart resumes a lost instance on the target.
func (t *transition) restart() error {
	if t.next.State != Lost {
		return ErrWrongState
	}
	t.resume()
	return nil
}

// release resumes a quarantined instance on the target and resets its failures.
func (t *transition) release() error {
	if t.next.State != Quarantined {
		return ErrWrongState
	}
	t.resume()
	t.next.Failures = 0
	return nil
}

// resume makes the target the primary of the next epoch. If the target is not a replica, the instance continues from the
// target's older copy, which ends at the operation's Index. Entries beyond that index are abandoned, and their number is
// added to MissingEntries. All replicas, and the stale copies that end beyond that index, are removed from the assignment.
func (t *transition) resume() {
	a := &t.next
	if !t.targetIsReplica() {
		if a.Index > t.op.Index {
			a.MissingEntries += a.Index - t.op.Index
		}
		a.Index, a.Replicas = t.op.Index, nil
		a.StaleCopies = slices.DeleteFunc(slices.Clone(a.StaleCopies), func(c StaleCopy) bool { return c.Index > t.op.Index })
	}
	makePrimary(a, t.op.Target)
}

// moveDevice records the zone of the instance's device.
func (t *transition) moveDevice() error {
	t.next.Zone = t.op.Zone
	return nil
}

// resetFailures sets the number of failures to 0 because the primary has run the instance for a long time.
func (t *transition) resetFailures() error {
	if !t.running() {
		return ErrWrongState
	}
	t.next.Failures = 0
	return nil
}

// quarantine stops an instance after too many of its primaries failed.
func (t *transition) quarantine() error {
	switch {
	case t.mayStillServe():
		return ErrNotPrimary
	case t.next.State == Quarantined:
		return ErrWrongState
	}
	t.stopQuarantined()
	return nil
}

// deleteInstance stops an instance before Table.Apply removes it from the table.
func (t *transition) deleteInstance() error {
	if t.mayStillServe() {
		return ErrNotPrimary
	}
	t.stopQuarantined()
	return nil
}

// mayStillServe reports whether the primary may still serve: the instance is running, and the Node of the operation is not
// the primary. An operation that names the primary as its Node states that the primary has stopped.
func (t *transition) mayStillServe() bool { return t.running() && t.op.Node != t.next.Primary }

// stopQuarantined makes an instance quarantined. If the instance was running, the quarantine counts as one more failure.
func (t *transition) stopQuarantined() {
	if t.running() {
		t.next.Failures++
	}
	stop(&t.next, Quarantined)
}

func (t *transition) running() bool { return t.next.State == Running }

func (t *transition) targetIsReplica() bool { return slices.Contains(t.next.Replicas, t.op.Target) }

// requireFromPrimary returns an error unless the instance is running and the operation names its primary as the node.
func (t *transition) requireFromPrimary() error {
	switch {
	case !t.running():
		return ErrWrongState
	case t.op.Node != t.next.Primary:
		return ErrNotPrimary
	}
	return nil
}

// updateSize records the size that the operation reports, if it reports one.
func (t *transition) updateSize() {
	if t.op.Size > 0 {
		t.next.Size = t.op.Size
	}
}

// makePrimary makes a node the primary of the next epoch. A copy or cut-over under way ends.
func makePrimary(a *Assignment, node string) {
	a.State, a.Primary, a.CopyTarget, a.CutOver = Running, node, "", false
	a.Epoch++
	a.Replicas = without(a.Replicas, node)
	forgetStaleCopy(a, node)
}

// stop removes the primary of an instance. The old primary becomes a replica. No entry is acknowledged without a primary, so
// the old primary has every acknowledged entry.
func stop(a *Assignment, state State) {
	if a.Primary != "" {
		addReplica(a, a.Primary)
	}
	a.State, a.Primary, a.CopyTarget, a.CutOver = state, "", "", false
}

// addReplica adds a node to the replicas, which stay sorted by name, and removes it from the stale copies.
func addReplica(a *Assignment, node string) {
	at, found := slices.BinarySearch(a.Replicas, node)
	if !found {
		a.Replicas = slices.Insert(slices.Clone(a.Replicas), at, node)
	}
	forgetStaleCopy(a, node)
}

// rememberStaleCopy records that a node has a stale copy up to an index. If there are more than maxStaleCopies, the oldest
// records are dropped.
func rememberStaleCopy(a *Assignment, node string, index uint64) {
	forgetStaleCopy(a, node)
	a.StaleCopies = append(a.StaleCopies, StaleCopy{Node: node, Index: index})
	a.StaleCopies = a.StaleCopies[max(0, len(a.StaleCopies)-maxStaleCopies):]
}

func forgetStaleCopy(a *Assignment, node string) {
	a.StaleCopies = slices.DeleteFunc(slices.Clone(a.StaleCopies), func(c StaleCopy) bool { return c.Node == node })
}

func without(all []string, excluded string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == excluded })
}
