package replica

import (
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// catchUpGap is how many entries the node that is copied to may lack when it is said to have caught up; it gets them as
// a replica.
const maxCatchUpLag = 32

// proposal is the operation that was last proposed to the controllers for an instance. The zero value is none.
type proposal struct {
	operation placement.Operation
	at        tick.Tick // 0: none is under way
}

func (p *proposal) inProgress() bool { return p.at != 0 }

func (p *proposal) done() { p.at = 0 }

// catchUp is how far the copy to another node has come.
type catchUp struct {
	readyRevision uint64    // revision of the assignment at which the copy was said to be complete
	progressAt    tick.Tick // when it last got on, or began
}

// propose proposes an operation, unless one is under way.
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

// proposeRecovery tells the controllers that this node hasn't what they count on, and whether it did.
func (m *Manager) proposeReportIncomplete(now tick.Tick, inst *instance) bool {
	if !inst.recovery.incomplete || !m.lease.holds(now) || !inst.assignment.involves(m.self) {
		return false
	}
	if inst.serving.state != stopped { // the disk failed since: others may own it before the controllers' answer comes
		m.stopServing(now, inst, "it is not on the disk")
	}
	operation := placement.Operation{Kind: placement.OpReportIncomplete, Reason: "no copy outlived the restart"}
	if p := &inst.assignment.agreed; p.Primary == m.self && len(p.Replicas) > 0 {
		operation.Target = p.Replicas[0]
	}
	m.propose(now, inst, operation)
	return true
}

// proposeBegin has the controllers note that the instance is about to be served for the first time, so that a copy that
// was lost is told from one that never was. It tells whether that is still to come.
func (m *Manager) proposeMarkServed(now tick.Tick, inst *instance) bool {
	p := &inst.assignment.agreed
	if !inst.assignment.known() || p.State != placement.Running || p.Primary != m.self || p.EverServed || !m.lease.holds(now) {
		return false
	}
	m.propose(now, inst, placement.Operation{Kind: placement.OpMarkServed})
	return true
}

// yieldTo has the controllers make a replica the primary in place of this node.
func (m *Manager) proposeYield(now tick.Tick, inst *instance, replica, reason string) {
	m.propose(now, inst, placement.Operation{Kind: placement.OpReportIncomplete, Target: replica, Reason: reason})
}

// proposeNext proposes what has to be agreed next: to drop a replica that does not confirm, or what the copy to another
// node calls for.
func (m *Manager) proposeNext(now tick.Tick, inst *instance) {
	if m.proposeDrop(now, inst) || inst.assignment.agreed.CopyTarget == "" || inst.serving.state == stopped {
		return
	}
	m.proposeCopyStep(now, inst)
}

// proposeDrop drops the first replica that does not confirm in time, and tells whether there is one. It costs each entry
// a wait, be it dead, cut off, slow or full; where it is merely slow, dropping it costs a new copy.
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

// proposeCopyStep makes the node that is copied to a replica once it has caught up, and then the primary where a
// cut-over is asked for; a copy that does not get on is given up.
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
