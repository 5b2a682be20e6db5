package migration

import (
	"cmp"
	"fmt"
	"slices"

	"silvercove/internal/placement"
)

// Constants of fail-overs.
const (
	shortLeaseDivisor       = 3 // a fail-over waits if the lease of the replica that takes over ends in less than Lease/shortLeaseDivisor
	poisonFailureFactor     = 2 // at this multiple of Config.MaxFailures an instance is quarantined even if other instances may have caused the failures
	shortLeaseReviewDivisor = 6 // a fail-over that waits for a replica's lease is reviewed every Lease/shortLeaseReviewDivisor
)

// failOver has a replica take over from a primary that no longer acts. Without a replica that can take over, the instance is
// declared lost. An instance that is presumed to cause the failures is quarantined instead.
//
// Unlike the target of a move, the successor may evacuate, drain or be rolled back: the replica has every acknowledged entry,
// and losing an entry would be worse than serving on such a node. The instance then moves to another node at once. Successors
// in better condition are preferred (successorRank).
func (p *Planner) failOver(i *instance) {
	if p.failsItsPrimaries(i) {
		p.propose(i, placement.Operation{Kind: placement.OpQuarantine, Node: i.Primary,
			Reason: fmt.Sprintf("fell %d owners in a row", i.Failures+1)})
		return
	}
	successor := p.successor(i)
	if successor != nil && p.leaseEndsSoon(successor) {
		// The replica may have failed at the same moment as the primary. A fail-over to a failed replica would count another
		// failure and leave the instance without a primary for another lease duration. The fail-over therefore waits until
		// the replica renews its lease or that lease expires. A live replica that is slow to renew looks the same as a failed
		// one. It delays the fail-over by at most the remaining time of its lease.
		p.scheduleReview(i, p.now+max(1, p.config.Lease/shortLeaseReviewDivisor))
		return
	}
	op := placement.Operation{Kind: placement.OpFailOver, Node: i.Primary, Reason: i.Primary + " fell"}
	if successor != nil {
		op.Target = successor.Name
	}
	p.propose(i, op)
}

// failsItsPrimaries reports whether an instance is presumed to cause the failures of its primaries.
//
// The check guards against an instance that makes each of its primaries fail. Primaries that fail for other reasons look the
// same if the instance was on all of them: the instance is then quarantined wrongly, and an operator has to release it.
//
// A candidate is an instance that may have caused the failure of a node (countPoisonCandidates). A failed node may have
// several candidates. They all continue, and their new replicas are spread over different nodes (scattersPoisonCandidates,
// tieBreak), so that they fail over to different nodes. They continue until a node fails that runs only one candidate: that
// candidate is presumed to be the cause. This costs one or two more node failures. After
// poisonFailureFactor*Config.MaxFailures failures, an instance is quarantined even if there are other candidates.
func (p *Planner) failsItsPrimaries(i *instance) bool {
	failures := i.Failures + 1
	if failures < p.config.MaxFailures {
		return false
	}
	onlyCandidate := i.primaryNode.poisonCandidates <= 1
	return onlyCandidate || failures >= poisonFailureFactor*p.config.MaxFailures
}

// countPoisonCandidates counts the instances on a failed node that may have caused its failure, because this failure makes
// their failure count reach Config.MaxFailures.
func (p *Planner) countPoisonCandidates(n *node) {
	n.poisonCandidates = 0
	for i := range n.primaryOf {
		n.poisonCandidates += countIf(i.Failures+1 >= p.config.MaxFailures)
	}
}

// leaseEndsSoon reports whether a node's lease is so close to its end that the node may have failed to renew it.
func (p *Planner) leaseEndsSoon(n *node) bool {
	return n.LeaseEnd != 0 && n.LeaseEnd-p.now < p.config.Lease/shortLeaseDivisor
}

// successor returns the best live replica, or nil for none. A replica with a lower successorRank is preferred, then one whose
// lease does not end soon, then one in the device's zone, then one with less risk.
//
// The lease is compared before the zone because the leases of all nodes in a partitioned zone, primaries and replicas, expire
// together. A replica in another zone can then take over without waiting for those leases.
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

// canTakeOver reports whether a replica is live and has every acknowledged entry. A replica still counts as live for
// Lease/shortLeaseDivisor after the lease end that it last reported, unless OnLeaseExpired was called for that replica.
func (p *Planner) canTakeOver(i *instance, n *node) bool {
	if !n.reported || n.leaseExpired || slices.Contains(i.emptyReplicas, n) {
		return false
	}
	return n.LeaseEnd == 0 || n.LeaseEnd+p.config.Lease/shortLeaseDivisor > p.now
}

// successorRank ranks a replica by the condition of its node. The best rank is 0.
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

// recoverLost restarts a lost instance. If a replica is back, the instance restarts there at once. Otherwise it restarts
// after Config.RestartAfter, on the node with the latest older copy (bestStaleCopy). If there is no older copy on an
// eligible node, it restarts on a node that chooseTarget finds.
func (p *Planner) recoverLost(i *instance) {
	if n := p.successor(i); n != nil {
		p.propose(i, placement.Operation{Kind: placement.OpRestart, Target: n.Name, Index: i.Index,
			Reason: n.Name + " holds all of it and is back"})
		return
	}
	if restartAt := i.primarySince + p.config.RestartAfter; p.now < restartAt {
		p.scheduleReview(i, restartAt)
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

// bestStaleCopy returns the eligible node with the latest older copy and the index of that copy's last entry, or nil for
// none.
func (p *Planner) bestStaleCopy(i *instance) (best *node, index uint64) {
	for _, c := range i.StaleCopies {
		if n := p.node(c.Node); n.eligible && (best == nil || c.Index > index) {
			best, index = n, c.Index
		}
	}
	return best, index
}
