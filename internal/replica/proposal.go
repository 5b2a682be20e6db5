package replica

import (
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// maxCatchUpLag is the maximum number of entries that the copy target may still lack when it is proposed as a replica.
// The target receives these entries as a replica.
const maxCatchUpLag = 32

// proposal is the operation last proposed to the controllers for an instance. The zero value means that there was none.
type proposal struct {
	operation placement.Operation
	at        tick.Tick // when the operation was proposed; 0 if no proposal is in progress
}

func (p *proposal) inProgress() bool { return p.at != 0 }

func (p *proposal) done() { p.at = 0 }

// catchUp is the progress of the copy to the copy target.
type catchUp struct {
	readyRevision uint64    // revision of the assignment at which the copy target was last proposed as a replica; 0 if it never was
	progressAt    tick.Tick // when the copy last made progress, or began
}

// propose proposes an operation, unless one is in progress that has not timed out.
func (m *Manager) propose(now tick.Tick, inst *instance, operation placement.Operation) {
	if inst.proposal.inProgress() && now-inst.proposal.at < m.leaseDuration/proposalTimeoutsPerLease {
		return
	}
	operation.Version = placement.FormatVersion
	operation.Instance = inst.name
	operation.Epoch = inst.assignment.agreed.Epoch
	operation.Node = m.self
	operation.Revision = inst.assignment.agreed.Revision
	operation.Size = inst.local.bytes
	inst.proposal = proposal{operation: operation, at: now}
	m.host.Propose(operation)
}

// proposeReportIncomplete proposes to record that this node's copy lacks entries that the controllers require, and
// returns true if that is necessary. It returns false if the copy lacks no such entries, if the node's lease does not
// hold, or if the assignment does not involve the node.
func (m *Manager) proposeReportIncomplete(now tick.Tick, inst *instance) bool {
	if !inst.recovery.incomplete || !m.lease.holds(now) || !inst.assignment.involves(m.self) {
		return false
	}
	if inst.serving.state != stopped { // the node still serves, for example because its disk has just failed; another node may become primary before the controllers answer
		m.stopServing(now, inst, "the copy is incomplete")
	}
	operation := placement.Operation{Kind: placement.OpReportIncomplete, Reason: "no copy outlived the restart"}
	if p := &inst.assignment.agreed; p.Primary == m.self && len(p.Replicas) > 0 {
		operation.Target = p.Replicas[0]
	}
	m.propose(now, inst, operation)
	return true
}

// proposeMarkServed proposes to record that the instance is about to be served for the first time. This record tells a
// copy that was lost from one that never existed. The result is true if the proposal is due: the record is missing, the
// instance runs, this node is its primary, and the node's lease holds.
func (m *Manager) proposeMarkServed(now tick.Tick, inst *instance) bool {
	p := &inst.assignment.agreed
	if !inst.assignment.known() || p.State != placement.Running || p.Primary != m.self || p.EverServed || !m.lease.holds(now) {
		return false
	}
	m.propose(now, inst, placement.Operation{Kind: placement.OpMarkServed})
	return true
}

// proposeYield proposes that a replica become the primary in place of this node.
func (m *Manager) proposeYield(now tick.Tick, inst *instance, replica, reason string) {
	m.propose(now, inst, placement.Operation{Kind: placement.OpReportIncomplete, Target: replica, Reason: reason})
}

// proposeNext proposes the operation that is due next: to drop a replica that does not confirm entries, or the next step
// of the copy to the copy target.
func (m *Manager) proposeNext(now tick.Tick, inst *instance) {
	if m.proposeDrop(now, inst) || inst.assignment.agreed.CopyTarget == "" || inst.serving.state == stopped {
		return
	}
	m.proposeCopyStep(now, inst)
}

// proposeDrop proposes to drop the first replica that does not confirm in time, and reports whether there is one. Each
// entry waits for such a replica: the replica may be dead, disconnected or slow, or its disk may be full. Dropping a
// replica that was merely slow costs a new copy.
func (m *Manager) proposeDrop(now tick.Tick, inst *instance) bool {
	for _, name := range inst.assignment.agreed.Replicas {
		f := inst.followers[name]
		if f == nil || f.hasConfirmed(inst.local.durable) || now-f.progressAt < m.leaseDuration/confirmTimeoutsPerLease {
			continue
		}
		reason := "does not confirm"
		if f.rejection != "" {
			reason += ": " + f.rejection
		}
		if !inst.proposal.inProgress() {
			m.host.Notify(Event{Kind: EventDropped, Instance: inst.name, Epoch: inst.assignment.agreed.Epoch, To: name, Reason: reason})
		}
		m.propose(now, inst, placement.Operation{Kind: placement.OpDropReplica, Target: name, Index: inst.serving.committed, Reason: reason})
		return true
	}
	return false
}

// proposeCopyStep proposes to make the copy target a replica once it has caught up, and then the primary if a cut-over
// is asked for. A copy without progress is cancelled.
func (m *Manager) proposeCopyStep(now tick.Tick, inst *instance) {
	p := &inst.assignment.agreed
	last := inst.local.log.LastIndex()
	if slices.Contains(p.Replicas, p.CopyTarget) {
		allCommitted := len(inst.serving.pending) == 0 && last == inst.local.durable && last == inst.serving.committed
		if p.CutOver && allCommitted {
			m.propose(now, inst, placement.Operation{Kind: placement.OpCutOver, Target: p.CopyTarget, Index: last})
		}
		return
	}
	f := inst.followers[p.CopyTarget]
	switch {
	case f != nil && f.state == replicating && f.match >= inst.serving.acknowledged && last-f.match <= maxCatchUpLag:
		if inst.catchUp.readyRevision != p.Revision {
			m.host.Notify(Event{Kind: EventCaughtUp, Instance: inst.name, Epoch: p.Epoch, To: p.CopyTarget})
		}
		inst.catchUp.readyRevision = p.Revision
		m.propose(now, inst, placement.Operation{Kind: placement.OpReplicaReady, Target: p.CopyTarget, Index: inst.serving.committed})
	case now-inst.catchUp.progressAt > stalledCopyLeases*m.leaseDuration:
		m.propose(now, inst, placement.Operation{Kind: placement.OpCancelCopy, Target: p.CopyTarget, Reason: "the copy does not get on"})
	}
}
