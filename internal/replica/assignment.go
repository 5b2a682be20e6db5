package replica

import (
	"maps"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// assignmentState says what is known of an instance's assignment.
type assignmentState uint8

const (
	unassigned assignmentState = iota // the controllers have told nothing of it
	orphaned                          // its log was on the disk at the start, and the controllers knew no such instance then
	assigned                          // the controllers have told where it runs
)

// assignment is what the controllers say of an instance. The zero value is unassigned.
type assignment struct {
	state  assignmentState
	agreed placement.Assignment // the newest that was told; empty unless assigned
}

func (a *assignment) known() bool { return a.state == assigned }

// set takes a newer assignment in.
func (a *assignment) set(p placement.Assignment) { a.state, a.agreed = assigned, p }

// withdraw forgets an assignment that the controllers no longer have.
func (a *assignment) withdraw() {
	a.agreed = placement.Assignment{}
	if a.state == assigned {
		a.state = unassigned
	}
}

// supersededBy tells whether an assignment is newer than what is known.
func (a *assignment) supersededBy(p placement.Assignment) bool {
	return !a.known() || p.NewerThan(a.agreed)
}

// names tells whether the assignment has a node in some part.
func (a *assignment) involves(node string) bool {
	return a.known() && (a.agreed.Primary == node || a.agreed.CopyTarget == node || a.isReplica(node))
}

func (a *assignment) isReplica(node string) bool { return slices.Contains(a.agreed.Replicas, node) }

// countsOn tells whether the controllers count on a node's copy.
func (a *assignment) requiresCopyOn(node string) bool {
	return a.agreed.Primary == node || a.isReplica(node)
}

// keepsOldCopy tells whether the controllers know of a node's older copy.
func (a *assignment) hasStaleCopyOn(node string) bool {
	return slices.ContainsFunc(a.agreed.StaleCopies, func(c placement.StaleCopy) bool { return c.Node == node })
}

// cuttingOver tells whether the primary has to have stopped so that the next one takes over. Only a change of the
// assignment ends that, so that the cut-over, which names this revision, can't be agreed after the primary has gone on.
func (a *assignment) cuttingOver() bool { return a.agreed.CutOver && a.isReplica(a.agreed.CopyTarget) }

// OnAssignment tells where an instance runs: news, or the result of a proposal. What is older than what is known changes
// nothing. What concerns other nodes alone is not kept: a node's memory grows with what it has, not with the fleet.
func (m *Manager) OnAssignment(now tick.Tick, p placement.Assignment) {
	if m.instances[p.Instance] == nil && !m.involvesSelf(p) {
		return
	}
	inst := m.ensureInstance(p.Instance)
	if !inst.assignment.supersededBy(p) {
		return
	}
	m.discardOrphan(inst)
	wasKnown, old := inst.assignment.known(), inst.assignment.agreed
	unconfirmed := inst.recovery.awaitsConfirmation() && !inst.recovery.confirmedByReplica
	if wasKnown && (old.Epoch != p.Epoch || old.Primary != p.Primary) {
		m.stopServing(now, inst, "another epoch")
		clear(inst.followers)
		inst.serving.committed = 0
		inst.recovery.awaitedReplicas = nil
	}
	if old.Epoch != p.Epoch {
		inst.serving.acknowledged = inst.local.log.LastIndex()
	}
	inst.assignment.set(p)
	inst.lastUsed = now
	inst.proposal.done()
	m.retargetCopy(now, inst, old)
	m.updateRecovery(inst, old.Epoch != p.Epoch, unconfirmed)
	m.updateTracking(inst)
	m.advance(now, inst)
}

// retargetCopy begins to copy to another node, or ends it.
func (m *Manager) retargetCopy(now tick.Tick, inst *instance, old placement.Assignment) {
	p := &inst.assignment.agreed
	if old.CopyTarget == p.CopyTarget {
		return
	}
	inst.catchUp.progressAt = now
	if old.CopyTarget != "" && old.CopyTarget != p.Primary && !slices.Contains(p.Replicas, old.CopyTarget) {
		delete(inst.followers, old.CopyTarget)
	}
}

// reassessCopy has the recovery follow a new assignment. unconfirmed tells that before it this node waited for replicas
// to confirm its copy, and none had.
func (m *Manager) updateRecovery(inst *instance, newEpoch, unconfirmed bool) {
	p, r := &inst.assignment.agreed, &inst.recovery
	required := inst.assignment.requiresCopyOn(m.self)
	if !required {
		r.incomplete = false
	}
	r.retainAwaited(p.Replicas)
	r.unverified = (r.unverified || unconfirmed && !r.awaitsConfirmation()) && p.EverServed && required
	if p.Primary == m.self && newEpoch {
		r.confirmedByReplica = false
		if r.unverified && m.disk == diskRestored {
			r.startVerification(p.Replicas) // one of them may have more, or know that this is all
		}
		if p.Index > inst.local.log.LastIndex() {
			r.incomplete = true // a disk that was restored, or a replica that never was one
		}
	}
	if p.Primary != "" && p.Primary != m.self && p.EverServed && inst.local.isAbsent() && inst.assignment.isReplica(m.self) {
		r.incomplete = true // another process of this name took the copy
	}
}

// discardOrphan deletes a copy from before the start of which the controllers knew nothing then: its instance was
// deleted, and this is another one of its name. It is not deleted before, as controllers that lost their log would know
// nothing either.
func (m *Manager) discardOrphan(inst *instance) {
	if inst.assignment.state != orphaned {
		return
	}
	m.deleteLog(inst)
	inst.assignment.state = unassigned
	inst.serving.acknowledged = 0
}

// OnPlacementVersion tells that all news of assignments up to a version have been told by OnAssignment and
// OnInstanceDeleted.
func (m *Manager) OnPlacementVersion(now tick.Tick, version uint64) {
	waited := !m.lease.upToDate()
	m.lease.seenVersion = max(m.lease.seenVersion, version)
	if waited && m.lease.upToDate() {
		m.advanceAll(now)
	}
}

// OnPlacementRebuilt tells all assignments of a new line: the controllers lost their disks, and placement was made anew
// from what the nodes have. Epochs and revisions of before mean nothing any more.
func (m *Manager) OnPlacementRebuilt(now tick.Tick, assignments []placement.Assignment, version uint64) {
	for _, name := range m.KnownInstances() {
		inst := m.instances[name]
		m.stopServing(now, inst, "placement was rebuilt")
		inst.withdraw()
		inst.recovery.fencedEpoch = 0
	}
	m.lease.reset(version)
	for _, p := range assignments {
		m.OnAssignment(now, p)
	}
	for _, name := range slices.Sorted(maps.Keys(m.instances)) {
		m.updateTracking(m.instances[name])
	}
}

// OnInstanceDeleted tells that an instance is not there any more.
func (m *Manager) OnInstanceDeleted(now tick.Tick, name string) {
	inst := m.instances[name]
	if inst == nil {
		return
	}
	const reason = "the instance is forgotten"
	m.stopServing(now, inst, reason)
	m.deleteLog(inst)
	m.rejectPendingAcks(inst, reason)
	inst.withdraw()
	m.updateTracking(inst)
}

// withdraw forgets the assignment and what rests on it.
func (inst *instance) withdraw() {
	inst.assignment.withdraw()
	inst.recovery.incomplete = false
	inst.recovery.awaitedReplicas = nil
	inst.proposal.done()
	clear(inst.followers)
}

// OnProposalRefused tells that a proposal has changed nothing, or may not have: the next one is made at the earliest a
// tenth of a lease later.
func (m *Manager) OnProposalRefused(now tick.Tick, op placement.Operation, err error) {
	inst := m.instances[op.Instance]
	if inst == nil || !inst.proposal.inProgress() || inst.proposal.operation != op {
		return
	}
	inst.proposal.at = now - m.leaseDuration/proposalTimeoutsPerLease + m.leaseDuration/proposalRetriesPerLease
	m.host.Notify(Event{Kind: EventRefused, Instance: op.Instance, Epoch: op.Epoch, To: op.Target, Reason: string(op.Kind) + ": " + err.Error()})
}
