package migration

import (
	"cmp"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Of what running instances need.
const (
	resetFailuresAfter     = 60 * tick.Second // without a failure: an instance's failures count anew
	remoteBackOffLeases    = 4                // between two tries to get a replica in another zone, doubled each time in a row
	maxMoveStreak          = 8                // doublings of the dwell and of the wait for a replica in another zone
	unreplicatedCopyLeases = 2                // that an instance without any replica waits for one in another zone
	cancelBackOffDivisor   = 4                // of a lease: the wait after a first cancelled copy is twice that
)

// planMove puts a running instance into the queue of what it needs, or proposes what takes no move.
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

// reasonToLeave is why an instance should leave its primary, noMove for none, and the moment before which it stays still.
func (p *Planner) reasonToLeave(i *instance) (reason moveReason, notBefore tick.Tick) {
	primary := i.primaryNode
	stay := i.history.stayUntil(p.config.Dwell)
	switch {
	case !primary.reported:
		return noMove, 0
	case primary.isLeaving():
		return primaryLeaving, 0
	case primary.Evacuating && i.history.streak > 0:
		// Two evacuating nodes would hand it to and fro: each time in a row it stays twice as long.
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

// replicaCount is what replicas an instance has.
type replicaCount struct {
	reliable   int  // counted upon
	remote     int  // of these those in another zone than the primary
	zonesKnown bool // of those that are counted upon
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

// surplusReplicas is how many replicas there are beyond what is wanted, and the one that goes first. There is none where too
// few that are counted upon would be left. It may be below 0.
func (p *Planner) surplusReplicas(i *instance, c replicaCount) (worst *node, surplus int) {
	surplus = len(i.replicaNodes) - p.config.Replicas
	for _, n := range i.replicaNodes {
		if c.remote <= p.config.RemoteReplicas && n.isRemoteTo(i.primaryNode) && !n.unreliable() {
			continue // one in the primary's zone goes for it
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

// droppedBefore reports whether a replica is let go before another one: an unreliable one first, then one at a node that
// evacuates, then one far from the primary, then one that is not in the device's zone. Each weight is more than all after
// it together, so that only their order counts. Among equals the one most at risk goes.
func droppedBefore(i *instance, a, b *node) bool {
	demerits := func(n *node) int {
		return 8*countIf(n.unreliable()) + 4*countIf(n.Evacuating) + 2*countIf(n.isRemoteTo(i.primaryNode)) +
			countIf(n.Zone != i.Zone)
	}
	return cmp.Or(cmp.Compare(demerits(b), demerits(a)), cmp.Compare(b.Risk, a.Risk), cmp.Compare(b.Name, a.Name)) < 0
}

// remoteReplicaNeed is tooFewRemoteReplicas where an instance that lacks nothing else is to get a replica in another zone
// now, else noMove.
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

// resetFailures has failures counted anew where there was none for long, and reports whether it proposed that.
func (p *Planner) resetFailures(i *instance) bool {
	at := i.primarySince + resetFailuresAfter
	if p.now < at {
		p.scheduleReview(i, earlier(i.review.due, at))
		return false
	}
	p.propose(i, placement.Operation{Kind: placement.OpResetFailures, Reason: "no fall for long"})
	return true
}

// backOffRemote notes that a replica in another zone was not reached, or did not come to be one in time.
//
// Guards against a link that is too slow or lossy for acknowledgements, over which copies would go for ever while entries
// rest on the primary alone in between: none is tried for some leases, twice as long each time in a row. A short cut of the
// zones looks the same; it hurts then, as the replica stays in the zone for so long.
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

// copyTooSlow is why a copy is cancelled that does not end in time.
const copyTooSlow = "did not have it in time"

// watchCopy cancels a copy that does not end in time, or whose target may not be handed an instance any more.
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

// copyFault says why the target of a copy may not be handed an instance any more, "" for nothing.
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

// copyDeadline is when the copy under way has to have ended.
func (p *Planner) copyDeadline(i *instance, target *node) tick.Tick {
	end := i.copySince + p.config.RestartAfter
	if p.hasNearerTarget(i, target) && !i.hasReliableReplica() {
		// Guards against entries that rest on the primary alone for as long as another zone is not reached. A large state on
		// a slow link looks the same; it costs it a copy in its own zone first.
		end = min(end, i.copySince+unreplicatedCopyLeases*p.config.Lease)
	}
	return end
}

// hasNearerTarget reports whether a copy that is to make a replica in another zone could go to another node of the
// primary's.
func (p *Planner) hasNearerTarget(i *instance, target *node) bool {
	primary := i.primaryNode
	if p.config.RemoteReplicas == 0 || i.CutOver || primary.zone == nil || !target.isRemoteTo(primary) {
		return false
	}
	return len(primary.zone.eligible) > countIf(primary.eligible)
}
