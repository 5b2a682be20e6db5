package placement

import (
	"fmt"
	"slices"
)

// transition applies one operation to one assignment. Each method below carries out one kind of operation: it checks what
// the operation rests on, returns an error if that does not hold, and only then changes next.
//
// What next shares with the assignment that stands, such as its lists, is replaced and never written into.
type transition struct {
	op   Operation
	next Assignment // begins as the assignment that stands
}

// applyOperation returns the assignment that an operation of its epoch leads to, or current with an error.
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

// startCopy begins a copy, or turns one that is under way into a cut-over to the same target.
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

// turnsCopyIntoCutOver reports whether the copy under way has the same target and was to make it a replica only.
func (t *transition) turnsCopyIntoCutOver() bool {
	return t.next.CopyTarget == t.op.Target && !t.next.CutOver && t.op.CutOver
}

// replicaReady makes the target a replica: the primary says that it has every acknowledged entry.
func (t *transition) replicaReady() error {
	a := &t.next
	if err := t.requireFromPrimary(); err != nil {
		return err
	}
	if !t.targetIsReplica() && t.op.Target != a.CopyTarget {
		return ErrWrongState // the copy was cancelled
	}
	if t.op.Target == a.CopyTarget && !a.CutOver {
		a.CopyTarget = ""
	}
	addReplica(a, t.op.Target)
	a.Index = max(a.Index, t.op.Index)
	t.updateSize()
	return nil
}

// dropReplica takes a replica out, for its primary or, without a node, for the controllers.
func (t *transition) dropReplica() error {
	a := &t.next
	switch {
	case !t.running():
		return ErrWrongState
	case t.op.Node != a.Primary && t.op.Node != "":
		return ErrNotPrimary
	case t.op.Node == "" && a.CutOver && a.CopyTarget == t.op.Target:
		return ErrWrongState // OpCancelCopy comes first
	}
	a.Index = max(a.Index, t.op.Index)
	if t.targetIsReplica() {
		a.Replicas = without(a.Replicas, t.op.Target)
		rememberStaleCopy(a, t.op.Target, a.Index)
	}
	return nil
}

// cutOver makes the target the primary of the next epoch. The old primary has stopped, so it has everything that was
// acknowledged and stays as a replica.
func (t *transition) cutOver() error {
	a := &t.next
	if err := t.requireFromPrimary(); err != nil {
		return err
	}
	switch {
	case !a.CutOver || a.CopyTarget != t.op.Target:
		return ErrWrongState // the copy was cancelled
	case !t.targetIsReplica():
		return ErrNotReplica
	case t.op.Index < a.Index:
		return fmt.Errorf("%w: %d effects, and %d were proven", ErrInvalid, t.op.Index, a.Index)
	}
	old := a.Primary
	makePrimary(a, t.op.Target)
	addReplica(a, old)
	a.Index = t.op.Index
	t.updateSize()
	return nil
}

// cancelCopy gives the copy under way up, or the cut-over.
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

// failOver makes a replica the primary of the next epoch once the lease of the primary is over, or without a target
// leaves the instance lost.
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

// markServed notes that there may be acknowledged entries from now on.
func (t *transition) markServed() error {
	if err := t.requireFromPrimary(); err != nil {
		return err
	}
	t.next.EverServed = true
	return nil
}

// reportIncomplete takes a node out that does not have what it is counted on for. Where it is the primary, a replica
// becomes the primary of the next epoch, or without a target the instance is lost.
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

// restart lets a lost instance go on at the target.
func (t *transition) restart() error {
	if t.next.State != Lost {
		return ErrWrongState
	}
	t.resume()
	return nil
}

// release lets a quarantined instance go on at the target, and counts its failures anew.
func (t *transition) release() error {
	if t.next.State != Quarantined {
		return ErrWrongState
	}
	t.resume()
	t.next.Failures = 0
	return nil
}

// resume makes the target the primary of the next epoch. Where it is no replica it goes on from an older copy, and what
// other nodes have beyond that is of an abandoned history.
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

// moveDevice notes the zone of the instance's device.
func (t *transition) moveDevice() error {
	t.next.Zone = t.op.Zone
	return nil
}

// resetFailures counts failures anew: the primary has run the instance for long.
func (t *transition) resetFailures() error {
	if !t.running() {
		return ErrWrongState
	}
	t.next.Failures = 0
	return nil
}

// quarantine stops an instance that failed too many primaries.
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

// deleteInstance stops an instance whose row is taken out of the table.
func (t *transition) deleteInstance() error {
	if t.mayStillServe() {
		return ErrNotPrimary
	}
	t.stopQuarantined()
	return nil
}

// mayStillServe reports whether the operation names another node than the primary, which nobody has stopped then.
func (t *transition) mayStillServe() bool { return t.running() && t.op.Node != t.next.Primary }

// stopQuarantined leaves an instance quarantined, which counts as one more failure where it was running.
func (t *transition) stopQuarantined() {
	if t.running() {
		t.next.Failures++
	}
	stop(&t.next, Quarantined)
}

func (t *transition) running() bool { return t.next.State == Running }

func (t *transition) targetIsReplica() bool { return slices.Contains(t.next.Replicas, t.op.Target) }

// requireFromPrimary checks that the instance is running and that the operation is its primary's.
func (t *transition) requireFromPrimary() error {
	switch {
	case !t.running():
		return ErrWrongState
	case t.op.Node != t.next.Primary:
		return ErrNotPrimary
	}
	return nil
}

// updateSize takes the size that came with the operation, if any.
func (t *transition) updateSize() {
	if t.op.Size > 0 {
		t.next.Size = t.op.Size
	}
}

// makePrimary makes a node the primary of the next epoch.
func makePrimary(a *Assignment, node string) {
	a.State, a.Primary, a.CopyTarget, a.CutOver = Running, node, "", false
	a.Epoch++
	a.Replicas = without(a.Replicas, node)
	forgetStaleCopy(a, node)
}

// stop leaves an instance without a primary. The one it had becomes a replica, as nothing is acknowledged from now on.
func stop(a *Assignment, state State) {
	if a.Primary != "" {
		addReplica(a, a.Primary)
	}
	a.State, a.Primary, a.CopyTarget, a.CutOver = state, "", "", false
}

// addReplica makes a node a replica, in order of names.
func addReplica(a *Assignment, node string) {
	at, found := slices.BinarySearch(a.Replicas, node)
	if !found {
		a.Replicas = slices.Insert(slices.Clone(a.Replicas), at, node)
	}
	forgetStaleCopy(a, node)
}

// rememberStaleCopy notes that a node has a copy up to an index. The earliest of too many are no longer remembered.
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
