package migration

import "silvercove/internal/placement"

// The parts of the bounds on moves that copies have, so that moves of instances have the rest.
const (
	replicaCopiesShare       = 0.75 // that restore replicas
	remoteReplicaCopiesShare = 0.5  // that bring a replica to another zone
)

// Waits of instances that are woken when a place comes free, for where the place was not taken by the one that it woke.
const (
	boundReviewDivisor      = 4 // of a lease
	fullLinkReviewLeases    = 4
	remoteReviewFactor      = 4 // of a lease and Config.RestartAfter
	remoteBoundReviewLeases = 4
)

// beginMove begins the move of an instance at the head of its primary's queue, or puts it where it waits.
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

// mayCopyInstead reports whether an instance that can't move may be copied meanwhile, as it lacks a replica as well.
func (p *Planner) mayCopyInstead(i *instance) bool {
	return i.need.replica && i.need.reason != tooFewReplicas && !p.copiesFull(tooFewReplicas, p.moves, p.config.MaxMoves)
}

// waitForCopyBound puts an instance that is only to be copied where it waits for the part of a bound that copies have, and reports
// whether it waits.
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

// copiesFull reports whether copies for a reason have their part of a bound.
func (p *Planner) copiesFull(reason moveReason, moves, bound int) bool {
	share := replicaCopiesShare
	if reason == tooFewRemoteReplicas {
		share = remoteReplicaCopiesShare
	}
	return float64(moves) >= max(1, share*float64(bound))
}

// waitForTarget puts an instance for which there is no node where it waits: for a link that is full, a node in another
// zone, one in its device's, or any.
func (p *Planner) waitForTarget(i *instance, fullLink *link) {
	lease, risk := p.config.Lease, i.primaryNode.Risk
	switch {
	case fullLink != nil:
		p.enqueue(&fullLink.waiting, i, risk)
		p.scheduleReview(i, earlier(i.review.due, p.now+fullLinkReviewLeases*lease))
	case i.need.reason == tooFewRemoteReplicas:
		// One zone only, or all of the others evacuating or without room: it is reviewed when a zone or a place comes free.
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

// updateMoveCounts brings up what a move under way or asked for takes of the bounds.
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

// moveOf is the move of an instance that is under way or asked for, nil for none.
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

// endMove gives back what a move took of the bounds, and wakes instances that waited for that.
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
