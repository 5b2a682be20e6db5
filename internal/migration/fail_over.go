package migration

import (
	"cmp"
	"fmt"
	"slices"

	"silvercove/internal/placement"
)

// Of fail-overs.
const (
	shortLeaseDivisor       = 3 // of a lease: a replica with less of it left is waited for
	poisonFailureFactor     = 2 // times maxFailures: an instance fails no more primaries, whatever others failed with it
	shortLeaseReviewDivisor = 6 // of a lease: how often a replica with little of it left is looked at
)

// failOver lets a replica take over from a primary that does not act any more, or quarantines the instance.
//
// A fail-over is no move: the replica has every acknowledged entry, and to lose one would be worse than to serve on at a
// node that evacuates, drains or is rolled back; it hands the instance on at once then. But the better off come first.
func (p *Planner) failOver(i *instance) {
	if p.failsItsPrimaries(i) {
		p.propose(i, placement.Operation{Kind: placement.OpQuarantine, Node: i.Primary,
			Reason: fmt.Sprintf("fell %d owners in a row", i.Failures+1)})
		return
	}
	successor := p.successor(i)
	if successor != nil && p.leaseEndsSoon(successor) {
		// Guards against handing all to a replica that failed in the same moment, which counts a failure more and another lease
		// without a primary. A slow one looks the same; it costs it the rest of its lease.
		p.scheduleReview(i, p.now+max(1, p.config.Lease/shortLeaseReviewDivisor))
		return
	}
	op := placement.Operation{Kind: placement.OpFailOver, Node: i.Primary, Reason: i.Primary + " fell"}
	if successor != nil {
		op.Target = successor.Name
	}
	p.propose(i, op)
}

// failsItsPrimaries reports whether an instance is held to fail each node that is its primary.
//
// Guards against an instance that does. Nodes that failed for another reason look the same where one instance was at all of
// them; it hurts then: an operator has to release it. Where several that may be it failed with one node, they go on, each
// with a replica of its own, until one fails alone; that costs a node's failure or two more.
func (p *Planner) failsItsPrimaries(i *instance) bool {
	failures := i.Failures + 1
	if failures < p.config.MaxFailures {
		return false
	}
	alone := i.primaryNode.poisonCandidates <= 1
	return alone || failures >= poisonFailureFactor*p.config.MaxFailures
}

// countPoisonCandidates counts the instances that were at a node that failed and are at their last failure.
func (p *Planner) countPoisonCandidates(n *node) {
	n.poisonCandidates = 0
	for i := range n.primaryOf {
		n.poisonCandidates += countIf(i.Failures+1 >= p.config.MaxFailures)
	}
}

// leaseEndsSoon reports whether a node may not come to renew its lease.
func (p *Planner) leaseEndsSoon(n *node) bool {
	return n.LeaseEnd != 0 && n.LeaseEnd-p.now < p.config.Lease/shortLeaseDivisor
}

// successor is the best living replica, nil for none: of those that are as well off one that is surely there, then one where
// the device is, then the one least at risk.
//
// Where a zone is cut off, its replicas' leases run out beside its primaries', and one elsewhere need not wait for that.
func (p *Planner) successor(i *instance) *node {
	var best *node
	compare := func(a, b *node) int {
		return cmp.Or(cmp.Compare(successorRank(a), successorRank(b)),
			cmp.Compare(countIf(p.leaseEndsSoon(a)), countIf(p.leaseEndsSoon(b))),
			cmp.Compare(countIf(a.Zone != i.Zone), countIf(b.Zone != i.Zone)), cmp.Compare(a.Risk, b.Risk))
	}
	for _, n := range i.replicaNodes {
		if !p.canTakeOver(i, n) {
			continue
		}
		if best == nil || compare(n, best) < 0 {
			best = n
		}
	}
	return best
}

// canTakeOver reports whether a replica may take over: it lives, and has what it is counted on for.
func (p *Planner) canTakeOver(i *instance, n *node) bool {
	if !n.reported || n.leaseExpired || slices.Contains(i.emptyReplicas, n) {
		return false
	}
	return n.LeaseEnd == 0 || n.LeaseEnd+p.config.Lease/shortLeaseDivisor > p.now
}

// successorRank orders replicas by how well off they are.
func successorRank(n *node) int {
	switch {
	case n.eligible:
		return 0
	case !n.isLeaving() && !n.Evacuating:
		return 1
	case !n.isLeaving():
		return 2
	}
	return 3
}

// recoverLost lets a lost instance go on: at once where a replica is back, else after a while from the best older copy.
func (p *Planner) recoverLost(i *instance) {
	if n := p.successor(i); n != nil {
		p.propose(i, placement.Operation{Kind: placement.OpRestart, Target: n.Name, Index: i.Index,
			Reason: n.Name + " holds all of it and is back"})
		return
	}
	if at := i.primarySince + p.config.RestartAfter; p.now < at {
		p.scheduleReview(i, at)
		return
	}
	if p.now < i.retry.until {
		p.scheduleReview(i, i.retry.until)
		return
	}
	target, index := p.bestStaleCopy(i)
	if target == nil {
		target, _ = p.chooseTarget(i, primaryLeaving)
	}
	if target == nil {
		p.backOff(i)
		return
	}
	target.reserved++
	p.updateEligibility(target)
	p.propose(i, placement.Operation{Kind: placement.OpRestart, Target: target.Name, Index: index,
		Reason: "no holder came back"})
}

// bestStaleCopy is the eligible node with the latest older copy, and the index up to which that goes; nil for none.
func (p *Planner) bestStaleCopy(i *instance) (best *node, index uint64) {
	for _, c := range i.StaleCopies {
		if n := p.node(c.Node); n.eligible && (best == nil || c.Index > index) {
			best, index = n, c.Index
		}
	}
	return best, index
}
