package migration

import (
	"cmp"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Constants of the decisions on moves and replicas of running instances (see planMove).
const (
	resetFailuresAfter     = 60 * tick.Second // time without a failure after which an instance's failure count is reset
	remoteBackOffLeases    = 4                // lease durations to wait after a failed copy to another zone before the next one; doubled with each consecutive failure
	maxMoveStreak          = 8                // limit on the number of doublings of Config.Dwell and of the back-off of remote replicas
	unreplicatedCopyLeases = 2                // lease durations that an instance without any replica waits for a copy to another zone
	cancelBackOffDivisor   = 4                // the wait after the first cancelled copy is 2*Lease/cancelBackOffDivisor
)

// planMove queues a running instance for the move or copy that it needs, or proposes an operation that requires neither.
func (p *Planner) planMove(i *instance) {
	primary := i.primaryNode
	reason, notBefore := p.reasonToLeave(i)
	replicas := p.countReplicas(i)
	i.need.replica = replicas.reliable < p.config.Replicas && primary.reported && !primary.unreliable()
	i.need.remoteReplica = replicas.remote < p.config.RemoteReplicas && primary.reported && !primary.unreliable()
	worst, surplus := p.surplusReplicas(i, replicas)
	switch {
	case reason != noMove && p.now >= notBefore && surplus < 2:
	case i.need.replica:
		reason = tooFewReplicas
	case surplus > 0 && (replicas.zonesKnown || p.config.RemoteReplicas == 0):
		p.propose(i, placement.Operation{Kind: placement.OpDropReplica, Target: worst.Name, Reason: "a copy too many"})
		return
	default:
		if reason != noMove {
			p.scheduleReview(i, notBefore)
		}
		reason = p.remoteReplicaNeed(i, surplus)
	}
	if i.Failures > 0 && p.resetFailures(i) {
		return
	}
	if reason == noMove {
		return
	}
	if p.now < i.retry.until && reason >= i.retry.reason {
		p.scheduleReview(i, earlier(i.review.due, i.retry.until))
		return
	}
	i.need.reason = reason
	p.enqueue(&primary.ready, i, 0)
	p.updateReadyNode(primary)
}

// reasonToLeave returns why an instance should leave its primary, or noMove. The instance should not leave before the time
// notBefore; 0 means that it may leave at once.
func (p *Planner) reasonToLeave(i *instance) (reason moveReason, notBefore tick.Tick) {
	primary := i.primaryNode
	stay := i.history.stayUntil(p.config.Dwell)
	switch {
	case !primary.reported:
		return noMove, 0
	case primary.isLeaving():
		return primaryLeaving, 0
	case primary.Evacuating && i.history.streak > 0:
		// Without a minimum stay, two evacuating nodes could hand an instance back and forth. The minimum stay doubles with
		// each consecutive move (stayUntil).
		return primaryEvacuating, stay
	case primary.Evacuating:
		return primaryEvacuating, 0
	case i.excess && primary.FreeSlots < 0:
		return primaryOverCapacity, stay
	case i.Zone != "" && i.Zone != primary.Zone:
		return deviceElsewhere, stay
	}
	return noMove, 0
}

// replicaCount summarizes the replicas of an instance.
type replicaCount struct {
	reliable   int  // number of reliable replicas (see node.unreliable)
	remote     int  // number of reliable replicas in a zone other than the primary's
	zonesKnown bool // the zones of all reliable replicas are known
}

func (p *Planner) countReplicas(i *instance) replicaCount {
	c := replicaCount{zonesKnown: true}
	for _, n := range i.replicaNodes {
		if n.unreliable() {
			continue
		}
		c.reliable++
		c.remote += countIf(n.isRemoteTo(i.primaryNode))
		c.zonesKnown = c.zonesKnown && n.reported
	}
	return c
}

// surplusReplicas returns worst, which is the replica to drop first, and surplus, which is the number of replicas that an
// instance has beyond Config.Replicas. The surplus is negative if there are too few replicas. A positive surplus is returned as
// 0 if no replica may be dropped, or if fewer than Config.Replicas reliable replicas would remain without worst.
func (p *Planner) surplusReplicas(i *instance, c replicaCount) (worst *node, surplus int) {
	surplus = len(i.replicaNodes) - p.config.Replicas
	for _, n := range i.replicaNodes {
		if c.remote <= p.config.RemoteReplicas && n.isRemoteTo(i.primaryNode) && !n.unreliable() {
			continue // the instance has no remote replica to spare; a replica in the primary's zone or an unreliable replica is dropped instead
		}
		if worst == nil || droppedBefore(i, n, worst) {
			worst = n
		}
	}
	if surplus > 0 && (worst == nil || c.reliable-countIf(!worst.unreliable()) < p.config.Replicas) {
		surplus = 0
	}
	return worst, surplus
}

// droppedBefore reports whether replica a is dropped before replica b: an unreliable replica first, then one on an evacuating
// node, then one in a zone other than the primary's, then one in a zone other than the device's. Each of the weights 8, 4, 2
// and 1 exceeds the sum of the smaller ones, so that an earlier condition outweighs all later ones. Among equals, the replica
// most at risk is dropped first.
func droppedBefore(i *instance, a, b *node) bool {
	dropWeight := func(n *node) int {
		return 8*countIf(n.unreliable()) + 4*countIf(n.Evacuating) + 2*countIf(n.isRemoteTo(i.primaryNode)) +
			countIf(n.Zone != i.Zone)
	}
	return cmp.Or(cmp.Compare(dropWeight(b), dropWeight(a)), cmp.Compare(b.Risk, a.Risk), cmp.Compare(b.Name, a.Name)) < 0
}

// remoteReplicaNeed returns tooFewRemoteReplicas if an instance that needs nothing else should get a replica in another zone
// now, and noMove otherwise.
func (p *Planner) remoteReplicaNeed(i *instance, surplus int) moveReason {
	if !i.need.remoteReplica || surplus > 0 {
		return noMove
	}
	if p.now < i.remoteBackoff.until {
		p.scheduleReview(i, earlier(i.review.due, i.remoteBackoff.until))
		return noMove
	}
	return tooFewRemoteReplicas
}

// resetFailures proposes to reset an instance's failure count once there has been no failure for resetFailuresAfter, and
// reports whether it proposed that.
func (p *Planner) resetFailures(i *instance) bool {
	resetAt := i.primarySince + resetFailuresAfter
	if p.now < resetAt {
		p.scheduleReview(i, earlier(i.review.due, resetAt))
		return false
	}
	p.propose(i, placement.Operation{Kind: placement.OpResetFailures, Reason: "no fall for long"})
	return true
}

// backOffRemote delays copies to other zones after a remote replica was dropped, or after a copy did not become a remote
// replica in time.
//
// The delay guards against a link that is too slow or lossy for acknowledgements. Copies over such a link would be repeated
// without end, and between two copies entries would exist on the primary alone. No copy to another zone is started for
// remoteBackOffLeases lease durations, and this delay doubles with each consecutive failure. A short partition of the zones
// looks the same: the replica then stays in the primary's zone during the delay.
func (p *Planner) backOffRemote(i *instance, n *node) {
	if i.primaryNode == nil || !n.isRemoteTo(i.primaryNode) {
		return
	}
	r := &i.remoteBackoff
	if r.until != 0 && p.now < r.until+p.remoteBackOffSpan(r.failures) {
		r.failures = min(r.failures+1, maxMoveStreak)
	} else {
		r.failures = 0
	}
	r.until = p.now + p.remoteBackOffSpan(r.failures)
}

func (p *Planner) remoteBackOffSpan(failures int) tick.Tick {
	return remoteBackOffLeases * p.config.Lease << failures
}

// copyTooSlow is the reason for cancelling a copy that does not end in time.
const copyTooSlow = "did not have it in time"

// watchCopy cancels a copy that does not end in time or whose target may no longer receive the instance.
func (p *Planner) watchCopy(i *instance) {
	target := p.node(i.CopyTarget)
	fault := copyFault(i, target)
	if fault == "" {
		if end := p.copyDeadline(i, target); p.now < end {
			p.scheduleReview(i, end)
			return
		}
		fault = copyTooSlow
	}
	lease := p.config.Lease
	i.retry.attempts = min(i.retry.attempts+1, maxBackOffDoublings)
	i.retry.until = p.now + min(lease<<i.retry.attempts/cancelBackOffDivisor, max(lease, p.config.RestartAfter))
	i.retry.reason = primaryLeaving
	i.avoid = avoidance{node: target, until: i.retry.until + lease}
	if fault == copyTooSlow {
		p.backOffRemote(i, target)
	}
	p.propose(i, placement.Operation{Kind: placement.OpCancelCopy, Target: i.CopyTarget, Reason: i.CopyTarget + " " + fault})
}

// copyFault returns why the target of a copy may no longer receive the instance, or "" if it may.
func copyFault(i *instance, target *node) string {
	switch {
	case target.leaseExpired, slices.Contains(i.emptyReplicas, target):
		return "fell"
	case !target.reported:
		return ""
	case target.ShuttingDown, target.ListedDraining:
		return "drains"
	case target.RollingBack:
		return "runs a build on its way back"
	case target.Evacuating, !target.Accepting:
		return "refuses"
	}
	return ""
}

// copyDeadline returns the time by which the copy in progress has to end.
func (p *Planner) copyDeadline(i *instance, target *node) tick.Tick {
	end := i.copySince + p.config.RestartAfter
	if p.hasNearerTarget(i, target) && !i.hasReliableReplica() {
		// Without a reliable replica, entries exist on the primary alone until a copy ends. A copy to an unreachable zone
		// would not end, so the shorter deadline cancels it, and the instance is copied within its primary's zone. A copy of
		// a large state over a slow link is cancelled in the same way.
		end = min(end, i.copySince+unreplicatedCopyLeases*p.config.Lease)
	}
	return end
}

// hasNearerTarget reports whether a copy that makes a remote replica could go to a node in the primary's zone instead: the
// zone must have an eligible node other than the primary.
func (p *Planner) hasNearerTarget(i *instance, target *node) bool {
	primary := i.primaryNode
	if p.config.RemoteReplicas == 0 || i.CutOver || primary.zone == nil || !target.isRemoteTo(primary) {
		return false
	}
	return len(primary.zone.eligible) > countIf(primary.eligible)
}
