package migration

import (
	"slices"

	"silvercove/internal/placement"
)

// Constants of proposals and of the waits after them.
const (
	proposalTimeoutLeases = 2 // lease durations to wait for the result of a proposal
	avoidDroppedLeases    = 2 // after a node is dropped as a replica of an instance, it is not a target for that instance for this many lease durations
	maxBackOffDoublings   = 10
	backOffDivisor        = 8 // backOff waits (1<<n)*Lease/backOffDivisor after the n-th consecutive failed attempt, n from 1, up to a limit
)

// propose submits an operation for an instance, unless one is pending or the planner does not lead.
func (p *Planner) propose(i *instance, op placement.Operation) {
	if i.proposal.pending() || !p.leads {
		return
	}
	op.Version, op.Instance, op.Epoch = placement.FormatVersion, i.Instance, i.Epoch
	if isFailOver(op) && i.proposal.failOverFrom == nil {
		i.proposal.failOverFrom = i.primaryNode
		i.primaryNode.pendingFailOvers++
	}
	i.proposal.operation, i.proposal.proposedAt = op, p.now
	p.scheduleReview(i, p.now+proposalTimeoutLeases*p.config.Lease)
	if op.Kind == placement.OpStartCopy {
		p.node(op.Target).reserved++
	}
	p.updateMoveCounts(i)
	p.host.Propose(op)
}

// proposalTimedOut reports whether the result of a pending proposal counts as lost. If so, it clears the proposal.
// Otherwise it schedules a review at the timeout.
func (p *Planner) proposalTimedOut(i *instance) bool {
	timeout := i.proposal.proposedAt + proposalTimeoutLeases*p.config.Lease
	if p.now < timeout {
		p.scheduleReview(i, timeout)
		return false
	}
	i.proposal.operation = placement.Operation{}
	if i.deviceZone == i.Zone {
		i.deviceZone = ""
	}
	p.updateMoveCounts(i)
	return true
}

// settleProposal clears the pending proposal if the new assignment shows the result of the proposal. It also ends the pending
// fail-over (endFailOver) if the primary or the epoch has changed.
func (p *Planner) settleProposal(i *instance, old placement.Assignment) {
	if i.proposal.pending() && isApplied(i.proposal.operation, i.Assignment) {
		i.proposal.operation = placement.Operation{}
	}
	if n := i.proposal.failOverFrom; n != nil && (i.Primary != n.Name || i.Epoch != old.Epoch) {
		p.endFailOver(i)
	}
}

// endFailOver records that an instance has no pending operation left that declares its primary's lease expired.
func (p *Planner) endFailOver(i *instance) {
	i.proposal.failOverFrom.pendingFailOvers--
	i.proposal.failOverFrom = nil
}

// isApplied reports whether an assignment shows the result of an operation.
func isApplied(op placement.Operation, a placement.Assignment) bool {
	switch {
	case op.Kind == placement.OpMoveDevice:
		return a.Zone == op.Zone
	case a.Epoch > op.Epoch:
		return true
	}
	switch op.Kind {
	case placement.OpStartCopy:
		return a.CopyTarget == op.Target || !op.CutOver && slices.Contains(a.Replicas, op.Target)
	case placement.OpCancelCopy:
		return a.CopyTarget != op.Target
	case placement.OpDropReplica:
		return !slices.Contains(a.Replicas, op.Target)
	case placement.OpResetFailures:
		return a.Failures == 0
	case placement.OpFailOver, placement.OpQuarantine:
		return a.State != placement.Running
	}
	return false
}

// backOff delays the next move of an instance. The delay doubles with each consecutive failed attempt, up to a limit.
func (p *Planner) backOff(i *instance) {
	lease := p.config.Lease
	i.retry.attempts = min(i.retry.attempts+1, maxBackOffDoublings)
	wait := min(lease<<i.retry.attempts/backOffDivisor, max(lease, p.config.RestartAfter/2))
	i.retry.until = max(i.retry.until, p.now+wait)
	i.retry.reason = i.need.reason
	p.scheduleReview(i, earlier(i.review.due, i.retry.until))
}
