package replica

import (
	"maps"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// assignmentState says whether this node knows an assignment of an instance.
type assignmentState uint8

const (
	unassigned assignmentState = iota // no assignment is known
	orphaned                          // a log of the instance was on the disk at the start, but the controllers did not know the instance
	assigned                          // an assignment has been received
)

// assignment holds what the controllers have agreed about an instance. The zero value is unassigned.
type assignment struct {
	state  assignmentState
	agreed placement.Assignment // the newest assignment received; empty unless state is assigned
}

func (a *assignment) known() bool { return a.state == assigned }

// set stores p, which must be newer than the known assignment.
func (a *assignment) set(p placement.Assignment) { a.state, a.agreed = assigned, p }

// withdraw clears the assignment, because the controllers no longer have it. The state orphaned does not change.
func (a *assignment) withdraw() {
	a.agreed = placement.Assignment{}
	if a.state == assigned {
		a.state = unassigned
	}
}

// supersededBy reports whether p is newer than the known assignment, or no assignment is known.
func (a *assignment) supersededBy(p placement.Assignment) bool {
	return !a.known() || p.NewerThan(a.agreed)
}

// involves reports whether the assignment has node as the primary, as a replica or as the copy target.
func (a *assignment) involves(node string) bool {
	return a.known() && (a.agreed.Primary == node || a.agreed.CopyTarget == node || a.isReplica(node))
}

func (a *assignment) isReplica(node string) bool { return slices.Contains(a.agreed.Replicas, node) }

// requiresCopyOn reports whether the controllers require a complete copy on node, because node is the primary or a
// replica.
func (a *assignment) requiresCopyOn(node string) bool {
	return a.agreed.Primary == node || a.isReplica(node)
}

// hasStaleCopyOn reports whether the assignment lists a stale copy on node.
func (a *assignment) hasStaleCopyOn(node string) bool {
	return slices.ContainsFunc(a.agreed.StaleCopies, func(c placement.StaleCopy) bool { return c.Node == node })
}

// cuttingOver reports whether the assignment asks for a cut-over (CutOver) and its copy target is already a replica.
// The primary then executes no requests, so that the copy target can take over. Only a newer assignment ends this
// state. The operation OpCutOver is proposed with the revision of this assignment. Once a newer assignment has let the
// primary resume, the operation can no longer be agreed.
func (a *assignment) cuttingOver() bool { return a.agreed.CutOver && a.isReplica(a.agreed.CopyTarget) }

// OnAssignment handles an assignment, either news from the controllers or the result of a proposal. An assignment that
// is not newer than the known one changes nothing. An assignment is not stored if it involves only other nodes and
// this node does not know the instance: a node's memory grows with its own instances, not with the fleet.
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
		m.stopServing(now, inst, "the epoch or the primary changed")
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

// retargetCopy restarts the progress timer of the copy if the copy target has changed. It drops the progress of the
// previous target unless that node is now the primary or a replica.
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

// updateRecovery adapts the recovery state to a new assignment. newEpoch says that the epoch has changed. unconfirmed
// says that under the previous assignment this node was waiting for replicas to confirm its copy, and that no replica
// had confirmed it.
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
			r.startVerification(p.Replicas) // each replica must show whether it has more entries than this copy
		}
		if p.Index > inst.local.log.LastIndex() {
			r.incomplete = true // entries are missing: the disk was restored, or the controllers took this node for a replica that had them
		}
	}
	if p.Primary != "" && p.Primary != m.self && p.EverServed && inst.local.isAbsent() && inst.assignment.isReplica(m.self) {
		r.incomplete = true // a replica of an instance that was ever served has received entries; without a copy here, another process with this node's name received them
	}
}

// discardOrphan deletes an orphaned log. It is called when an assignment or a message shows that an instance of this
// name exists now. The controllers did not know the name when this node started. The existing instance is therefore a
// new one, and the orphaned log belongs to a deleted instance of the same name. Before such an assignment or message
// the log must be kept: controllers that lost their own log would not know an instance that still exists either.
func (m *Manager) discardOrphan(inst *instance) {
	if inst.assignment.state != orphaned {
		return
	}
	m.deleteLog(inst)
	inst.assignment.state = unassigned
	inst.serving.acknowledged = 0
}

// OnPlacementVersion records that all changes of assignments up to version have been passed to OnAssignment and
// OnInstanceDeleted.
func (m *Manager) OnPlacementVersion(now tick.Tick, version uint64) {
	wasOutdated := !m.lease.upToDate()
	m.lease.seenVersion = max(m.lease.seenVersion, version)
	if wasOutdated && m.lease.upToDate() {
		m.advanceAll(now)
	}
}

// OnPlacementRebuilt replaces all assignments. It is called when the controllers have lost their disks and the
// placement was rebuilt from what the nodes have stored. Epochs and revisions from before the rebuild cannot be
// compared with the new ones.
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

// OnInstanceDeleted records that the controllers have deleted an instance. The node stops serving the instance and
// deletes its copy.
func (m *Manager) OnInstanceDeleted(now tick.Tick, name string) {
	inst := m.instances[name]
	if inst == nil {
		return
	}
	const reason = "the instance was deleted"
	m.stopServing(now, inst, reason)
	m.deleteLog(inst)
	m.rejectPendingAcks(inst, reason)
	inst.withdraw()
	m.updateTracking(inst)
}

// withdraw clears the assignment and all state that depends on it.
func (inst *instance) withdraw() {
	inst.assignment.withdraw()
	inst.recovery.incomplete = false
	inst.recovery.awaitedReplicas = nil
	inst.proposal.done()
	clear(inst.followers)
}

// OnProposalRefused records that the controllers refused a proposal, or that the caller does not know its result. The
// next proposal for the instance is made at now + Config.Lease/proposalRetriesPerLease at the earliest.
func (m *Manager) OnProposalRefused(now tick.Tick, op placement.Operation, err error) {
	inst := m.instances[op.Instance]
	if inst == nil || !inst.proposal.inProgress() || inst.proposal.operation != op {
		return
	}
	inst.proposal.at = now - m.leaseDuration/proposalTimeoutsPerLease + m.leaseDuration/proposalRetriesPerLease
	m.host.Notify(Event{Kind: EventRefused, Instance: op.Instance, Epoch: op.Epoch, To: op.Target, Reason: string(op.Kind) + ": " + err.Error()})
}
