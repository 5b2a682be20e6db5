package migration

import (
	"fmt"
	"maps"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// OnNodeStatus tells the planner the status of a node that has just renewed its lease.
func (p *Planner) OnNodeStatus(now tick.Tick, status NodeStatus) {
	p.now = now
	n := p.node(status.Name)
	old, wasReported, leaseHadEnded := n.NodeStatus, n.reported, n.leaseHadEnded(now)
	if wasReported && status.LeaseEnd < old.LeaseEnd && status.Incarnation == old.Incarnation {
		status.LeaseEnd = old.LeaseEnd // renewals were reported out of order: the later of the two lease ends stays
	}
	lostCopies := status.LostCopies && wasReported && status.Incarnation != old.Incarnation
	p.makeIneligible(n)
	if n.zone == nil || n.zone.name != status.Zone {
		n.zone = p.zone(status.Zone)
	}
	n.NodeStatus, n.reported, n.leaseExpired = status, true, false
	n.reserved = len(n.incoming)
	n.recent.rotate(now, p.config.Lease)
	p.updateReadyNode(n)
	p.updateEligibility(n)
	if lostCopies {
		p.onCopiesLost(n)
	}
	if status.FreeSlots < 0 && now >= n.nextExcessReview {
		n.nextExcessReview = now + p.config.Lease
		p.markExcess(n)
	}
	if !wasReported || leaseHadEnded || lostCopies || affectsInstances(old, status) {
		p.queueReviewsOf(n)
	}
	p.processPending(maxWorkPerEvent)
}

// affectsInstances reports whether a change of a node's status may change what the node's instances need.
func affectsInstances(old, status NodeStatus) bool {
	return old.Evacuating != status.Evacuating || old.ShuttingDown != status.ShuttingDown ||
		old.ListedDraining != status.ListedDraining ||
		old.RollingBack != status.RollingBack || old.Accepting != status.Accepting || old.Zone != status.Zone ||
		(old.FreeSlots < 0) != (status.FreeSlots < 0)
}

// onCopiesLost records that a node has restarted without its copies. If the node was the primary of an instance, the instance
// can only continue on a replica. If the node was a replica of an instance, the node is now an empty replica.
func (p *Planner) onCopiesLost(n *node) {
	p.countPoisonCandidates(n)
	for i := range n.primaryOf {
		i.primaryLostCopy = true
	}
	for i := range n.replicaOf {
		if !slices.Contains(i.emptyReplicas, n) {
			i.emptyReplicas = append(i.emptyReplicas, n)
		}
	}
}

// markExcess marks instances of a node that has n instances more than slots: the n instances with the lowest
// Weight are marked as excess.
func (p *Planner) markExcess(n *node) {
	all := byWeight(maps.Keys(n.primaryOf))
	for at, i := range all {
		excess := at >= len(all)+n.FreeSlots
		if excess != i.excess {
			i.excess = excess
			p.queueReview(i)
		}
	}
}

// OnLeaseExpired tells the planner that a node's lease has expired by the controller's clock. The end of the lease includes
// clock drift (NodeStatus.LeaseEnd), so the lease has expired by the node's own clock too, and the node no longer acts.
func (p *Planner) OnLeaseExpired(now tick.Tick, name string) {
	p.now = now
	n := p.node(name)
	n.leaseExpired = true
	p.countPoisonCandidates(n)
	p.updateEligibility(n)
	p.queueReviewsOf(n)
	p.processPending(maxWorkPerEvent)
}

// OnAssignment tells the planner of an agreed assignment. It is called for each change and, after OnElected, for every
// assignment. An assignment older than the known one is ignored.
func (p *Planner) OnAssignment(now tick.Tick, a placement.Assignment) {
	p.now = now
	i := p.instances[a.Instance]
	if i == nil {
		if a.State == placement.Deleted {
			return
		}
		i = &instance{primarySince: now, history: moveHistory{last: lastMoveOf(a, now)}}
		i.review.position = notQueued
		p.instances[a.Instance] = i
	}
	if i.assigned && !a.NewerThan(i.Assignment) {
		return
	}
	old := i.Assignment
	p.dequeue(i)
	p.setAssignment(i, a)
	if i.assigned && a.Epoch != old.Epoch || a.State != old.State {
		p.onPrimaryChanged(i, old)
	}
	if a.CopyTarget != old.CopyTarget {
		p.onCopyChanged(i, old)
	}
	i.assigned = true
	p.settleProposal(i, old)
	if i.deviceZone == a.Zone {
		i.deviceZone = ""
	}
	p.avoidDroppedReplicas(i, old)
	i.emptyReplicas = slices.DeleteFunc(i.emptyReplicas, func(n *node) bool { return !slices.Contains(i.replicaNodes, n) })
	p.updateMoveCounts(i)
	if a.State == placement.Deleted {
		p.scheduleReview(i, 0)
		delete(p.instances, a.Instance)
		return
	}
	p.queueReview(i)
	p.processPending(maxWorkPerEvent)
}

// setAssignment replaces an instance's assignment and updates the primaryOf and replicaOf sets of its nodes.
func (p *Planner) setAssignment(i *instance, a placement.Assignment) {
	if i.primaryNode != nil {
		delete(i.primaryNode.primaryOf, i)
	}
	for _, n := range i.replicaNodes {
		delete(n.replicaOf, i)
	}
	i.Assignment, i.primaryNode, i.replicaNodes = a, nil, i.replicaNodes[:0]
	if a.State == placement.Deleted {
		return
	}
	if a.Primary != "" {
		i.primaryNode = p.node(a.Primary)
		i.primaryNode.primaryOf[i] = struct{}{}
	}
	for _, name := range a.Replicas {
		n := p.node(name)
		n.replicaOf[i] = struct{}{}
		i.replicaNodes = append(i.replicaNodes, n)
	}
}

// onPrimaryChanged records that an instance's primary or state differs from those of the old assignment.
func (p *Planner) onPrimaryChanged(i *instance, old placement.Assignment) {
	if old.CutOver && i.Epoch == old.Epoch+1 && i.Failures == old.Failures {
		i.history.recordMove(p.now, p.config.Dwell)
		p.node(old.Primary).recent.departures[0]++
		p.node(i.Primary).recent.arrivals[0]++
	}
	i.primarySince, i.primaryLostCopy, i.excess = p.now, false, false
	i.retry.attempts, i.retry.until = 0, 0
	i.remoteBackoff = remoteBackoff{}
}

// onCopyChanged records that an instance's copy target differs from that of the old assignment.
func (p *Planner) onCopyChanged(i *instance, old placement.Assignment) {
	i.copySince = p.now
	if old.CopyTarget != "" && slices.Contains(i.Replicas, old.CopyTarget) {
		i.retry.attempts, i.retry.until = 0, 0
	}
}

// avoidDroppedReplicas excludes a node as a target for avoidDroppedLeases lease durations after the primary has dropped that
// node as a replica. A primary drops a replica that it can't reach.
func (p *Planner) avoidDroppedReplicas(i *instance, old placement.Assignment) {
	if i.proposal.operation.Kind == placement.OpDropReplica || i.Epoch != old.Epoch {
		return
	}
	for _, name := range old.Replicas {
		if !slices.Contains(i.Replicas, name) {
			i.avoid = avoidance{node: p.node(name), until: p.now + avoidDroppedLeases*p.config.Lease}
			p.backOffRemote(i, i.avoid.node)
		}
	}
}

// OnProposalRefused tells the planner that an operation was refused or was not agreed, and why. The planner proposes the
// operation again if it is still needed.
func (p *Planner) OnProposalRefused(now tick.Tick, op placement.Operation, reason error) {
	p.now = now
	i := p.instances[op.Instance]
	if i == nil {
		return
	}
	if n := i.proposal.failOverFrom; n != nil && isFailOver(op) && op.Node == n.Name {
		p.endFailOver(i)
	}
	pending := i.proposal.operation
	if pending.Kind != op.Kind || pending.Epoch != op.Epoch || pending.Target != op.Target {
		return
	}
	p.host.Explain(fmt.Sprintf("%s: %s to %q refused: %v", op.Instance, op.Kind, op.Target, reason))
	i.proposal.operation = placement.Operation{}
	p.updateMoveCounts(i)
	p.backOff(i)
	p.processPending(maxWorkPerEvent)
}

// OnDeviceMoved tells the planner which zone an instance's device is in.
func (p *Planner) OnDeviceMoved(now tick.Tick, name, zone string) {
	p.now = now
	i := p.instances[name]
	if i == nil {
		p.host.Explain(fmt.Sprintf("%s: device reported in zone %s, but no such instance exists", name, zone))
		return
	}
	i.deviceZone = zone
	if zone == i.Zone && i.proposal.operation.Kind != placement.OpMoveDevice {
		i.deviceZone = ""
	}
	p.queueReview(i)
	p.processPending(maxWorkPerEvent)
}
