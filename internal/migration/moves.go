package migration

import "silvercove/internal/placement"

// Fractions of the bounds Config.MaxMoves, MaxMovesPerNode and MaxMovesPerLink that copies may use. The rest of each bound is
// kept for migrations.
const (
	replicaCopiesShare       = 0.75 // fraction of each bound for copies of instances with too few replicas
	remoteReplicaCopiesShare = 0.5  // fraction of each bound for copies that only add a replica in another zone
)

// Intervals between scheduled reviews of waiting instances. When capacity becomes free, only a few waiting instances are
// reviewed at once. If those instances do not use the capacity, the remaining instances can use it at their scheduled
// reviews.
const (
	boundReviewDivisor      = 4 // an instance with too few replicas that waits because a bound is used up is reviewed after Lease/boundReviewDivisor
	fullLinkReviewLeases    = 4 // lease durations until the review of an instance that waits because a link is full
	remoteReviewFactor      = 4 // an instance that waits for a node in another zone is reviewed after this multiple of Config.Lease + Config.RestartAfter
	remoteBoundReviewLeases = 4 // lease durations until the review of an instance that only lacks a remote replica and waits because a bound is used up
)

// beginMove starts the move of the instance at the head of its primary's ready queue. If the move has to wait, the instance is
// added to another queue or to a boundWaiters.
func (p *Planner) beginMove(i *instance) {
	p.dequeue(i)
	if i.need.reason.copiesOnly() && p.waitForCopyBound(i) {
		return
	}
	target, fullLink := p.chooseTarget(i, i.need.reason)
	if target == nil && p.mayCopyInstead(i) {
		target, _ = p.chooseTarget(i, tooFewReplicas)
		if target != nil {
			i.need.reason = tooFewReplicas
		}
	}
	if target == nil {
		p.waitForTarget(i, fullLink)
		return
	}
	op := placement.Operation{Kind: placement.OpStartCopy, Target: target.Name, CutOver: !i.need.reason.copiesOnly(),
		Reason: moveReasonTexts[i.need.reason]}
	if i.need.reason == deviceElsewhere {
		op.Reason = "its device is in " + i.Zone
	}
	p.propose(i, op)
}

// mayCopyInstead reports whether an instance that has no target to move to may be copied instead, because it also lacks a
// replica.
func (p *Planner) mayCopyInstead(i *instance) bool {
	return i.need.replica && i.need.reason != tooFewReplicas && !p.copiesFull(tooFewReplicas, p.moves, p.config.MaxMoves)
}

// waitForCopyBound reports whether an instance that is only to be copied has to wait, because the moves reach the fraction of a
// bound that copies may use. If so, the instance is added to the boundWaiters of that bound.
func (p *Planner) waitForCopyBound(i *instance) bool {
	reason, primary := i.need.reason, i.primaryNode
	switch {
	case p.copiesFull(reason, p.moves, p.config.MaxMoves):
		p.waitForBound(&p.waitingForBound, i)
	case p.copiesFull(reason, primary.moves, p.config.MaxMovesPerNode):
		p.waitForBound(&primary.waitingForBound, i)
	default:
		return false
	}
	wait := p.config.Lease / boundReviewDivisor
	if reason == tooFewRemoteReplicas {
		wait = remoteBoundReviewLeases * p.config.Lease
	}
	p.scheduleReview(i, earlier(i.review.due, p.now+wait))
	return true
}

// copiesFull reports whether a number of moves reaches the fraction of a bound that copies for the given reason may use.
func (p *Planner) copiesFull(reason moveReason, moves, bound int) bool {
	share := replicaCopiesShare
	if reason == tooFewRemoteReplicas {
		share = remoteReplicaCopiesShare
	}
	return float64(moves) >= max(1, share*float64(bound))
}

// waitForTarget adds an instance for which no target was found to a queue: that of the full link, Planner.waitingRemote, that
// of its device's zone, or Planner.waitingAnywhere.
func (p *Planner) waitForTarget(i *instance, fullLink *link) {
	lease, risk := p.config.Lease, i.primaryNode.Risk
	switch {
	case fullLink != nil:
		p.enqueue(&fullLink.waiting, i, risk)
		p.scheduleReview(i, earlier(i.review.due, p.now+fullLinkReviewLeases*lease))
	case i.need.reason == tooFewRemoteReplicas:
		// Either the fleet has only one zone, or the nodes of all other zones evacuate or have no room. If a zone or a slot
		// becomes available, the instance is reviewed before the scheduled time (wake).
		p.enqueue(&p.waitingRemote, i, risk)
		p.scheduleReview(i, earlier(i.review.due, p.now+remoteReviewFactor*(lease+p.config.RestartAfter)))
	case i.need.reason == deviceElsewhere:
		p.backOff(i)
		p.enqueue(&p.zone(i.Zone).waiting, i, risk)
	default:
		p.backOff(i)
		p.enqueue(&p.waitingAnywhere, i, risk)
	}
}

// updateMoveCounts updates the counts of moves if the move of an instance has begun, changed or ended.
func (p *Planner) updateMoveCounts(i *instance) {
	from, to := p.moveOf(i)
	if from == i.move.source && to == i.move.target {
		return
	}
	if i.move.target != nil {
		p.endMove(i)
	}
	i.move = move{source: from, target: to}
	if to == nil {
		return
	}
	i.move.link = p.linkBetween(from, to)
	p.addMoves(i.move, 1)
	to.incoming[i] = struct{}{}
	p.updateEligibility(to)
	p.updateReadyNode(from)
	p.updateReadyNode(to)
}

// moveOf returns the nodes of an instance's move that is in progress or proposed, or nil for both if there is none.
func (p *Planner) moveOf(i *instance) (from, to *node) {
	switch {
	case i.State != placement.Running:
		return nil, nil
	case i.CopyTarget != "":
		return i.primaryNode, p.node(i.CopyTarget)
	case i.proposal.operation.Kind == placement.OpStartCopy && i.primaryNode != nil:
		return i.primaryNode, p.node(i.proposal.operation.Target)
	}
	return nil, nil
}

func (p *Planner) addMoves(m move, change int) {
	p.moves += change
	m.source.moves += change
	m.target.moves += change
	if m.link != nil {
		m.link.moves += change
	}
}

// endMove removes an instance's move from the counts of moves, and queues reviews of instances that waited for the move to end.
func (p *Planner) endMove(i *instance) {
	ended := i.move
	p.addMoves(ended, -1)
	delete(ended.target.incoming, i)
	if ended.link != nil && len(ended.link.waiting) > 0 {
		next := ended.link.waiting[0]
		p.dequeue(next)
		p.queueReview(next)
	}
	p.updateEligibility(ended.target)
	p.updateReadyNode(ended.source)
	p.updateReadyNode(ended.target)
	p.reviewNextWaiting(&ended.source.waitingForBound)
	p.reviewNextWaiting(&p.waitingForBound)
	p.wake(&p.waitingRemote, 1)
}
