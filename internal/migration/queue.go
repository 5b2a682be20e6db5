package migration

import (
	"cmp"
	"container/heap"
	"maps"

	"silvercove/internal/tick"
)

// queue is a heap of instances that wait for a move, the most urgent first.
type queue []*instance

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	return cmp.Or(cmp.Compare(a.need.reason, b.need.reason), cmp.Compare(b.wait.risk, a.wait.risk), heavierFirst(a, b)) < 0
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].wait.position, q[j].wait.position = i, j
}

// Push implements heap.Interface; heap.Push calls it.
func (q *queue) Push(x any) {
	i := x.(*instance)
	i.wait.position = len(*q)
	*q = append(*q, i)
}

// Pop implements heap.Interface; heap.Pop calls it.
func (q *queue) Pop() any {
	last := len(*q) - 1
	i := (*q)[last]
	*q = (*q)[:last]
	return i
}

// enqueue adds an instance to a queue. The parameter risk is the risk of the instance's primary, or 0 for the ready queue of
// a node. Among instances with the same reason to move, those with the higher risk come first.
func (p *Planner) enqueue(q *queue, i *instance, risk float64) {
	i.wait.queue, i.wait.risk = q, risk
	heap.Push(q, i)
}

// dequeue removes an instance from the queue in which it waits, if any.
func (p *Planner) dequeue(i *instance) {
	if i.wait.queue == nil {
		return
	}
	heap.Remove(i.wait.queue, i.wait.position)
	i.wait.queue = nil
	if i.primaryNode != nil {
		p.updateReadyNode(i.primaryNode)
	}
}

// wake queues reviews of instances in q, which found no target: the most urgent first, and among equals those most at risk.
// It queues at most limit reviews and at most Config.MaxMovesPerNode. The scheduled reviews would take place in the order
// of their times, not in the order of urgency.
func (p *Planner) wake(q *queue, limit int) {
	for range min(limit, p.config.MaxMovesPerNode, len(*q)) {
		i := (*q)[0]
		p.dequeue(i)
		i.retry.until = 0
		p.queueReview(i)
	}
}

// readyNodeQueue is a heap of nodes that have instances in their ready queue and fewer moves than Config.MaxMovesPerNode. The
// order is by the urgency of each node's first instance, then by the node's risk, highest first.
type readyNodeQueue []*node

// Len implements heap.Interface.
func (q readyNodeQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q readyNodeQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	first, second := a.ready[0], b.ready[0]
	return cmp.Or(cmp.Compare(first.need.reason, second.need.reason), cmp.Compare(b.Risk, a.Risk),
		heavierFirst(first, second)) < 0
}

// Swap implements heap.Interface.
func (q readyNodeQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].readyPosition, q[j].readyPosition = i, j
}

// Push implements heap.Interface; heap.Push calls it.
func (q *readyNodeQueue) Push(x any) {
	n := x.(*node)
	n.readyPosition = len(*q)
	*q = append(*q, n)
}

// Pop implements heap.Interface; heap.Pop calls it.
func (q *readyNodeQueue) Pop() any {
	last := len(*q) - 1
	n := (*q)[last]
	*q = (*q)[:last]
	n.readyPosition = notQueued
	return n
}

// updateReadyNode adds a node to Planner.readyNodes, moves it to its new position or removes it, depending on its queue and its
// number of moves.
func (p *Planner) updateReadyNode(n *node) {
	ready := len(n.ready) > 0 && n.moves < p.config.MaxMovesPerNode
	switch {
	case ready && n.readyPosition == notQueued:
		heap.Push(&p.readyNodes, n)
	case ready:
		heap.Fix(&p.readyNodes, n.readyPosition)
	case n.readyPosition != notQueued:
		heap.Remove(&p.readyNodes, n.readyPosition)
	}
}

// reviewQueue is a heap of instances by the time of their scheduled review.
type reviewQueue []*instance

// Len implements heap.Interface.
func (q reviewQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q reviewQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	return cmp.Or(cmp.Compare(a.review.due, b.review.due), cmp.Compare(a.Instance, b.Instance)) < 0
}

// Swap implements heap.Interface.
func (q reviewQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].review.position, q[j].review.position = i, j
}

// Push implements heap.Interface; heap.Push calls it.
func (q *reviewQueue) Push(x any) {
	i := x.(*instance)
	i.review.position = len(*q)
	*q = append(*q, i)
}

// Pop implements heap.Interface; heap.Pop calls it.
func (q *reviewQueue) Pop() any {
	last := len(*q) - 1
	i := (*q)[last]
	*q = (*q)[:last]
	i.review.position = notQueued
	return i
}

// scheduleReview sets the time of an instance's scheduled review, 0 for none.
func (p *Planner) scheduleReview(i *instance, at tick.Tick) {
	i.review.due = at
	scheduled := i.review.position != notQueued
	switch {
	case at == 0 && scheduled:
		heap.Remove(&p.scheduledReviews, i.review.position)
	case at != 0 && scheduled:
		heap.Fix(&p.scheduledReviews, i.review.position)
	case at != 0:
		heap.Push(&p.scheduledReviews, i)
	}
}

// queueReview adds an instance to the pending reviews unless it is among them.
func (p *Planner) queueReview(i *instance) {
	if !i.review.queued {
		i.review.queued = true
		p.pendingReviews = append(p.pendingReviews, i)
	}
}

// nextPendingReview removes and returns the first instance of the pending reviews.
func (p *Planner) nextPendingReview() *instance {
	i := p.pendingReviews[0]
	p.pendingReviews = p.pendingReviews[1:]
	if len(p.pendingReviews) == 0 {
		p.pendingReviews = nil
	}
	i.review.queued = false
	return i
}

// queueReviewsOf queues reviews of all instances of a node: first of those whose primary is the node, then of those with a
// replica on the node, then of those that are moved or copied to the node. Each group is in order of descending weight.
func (p *Planner) queueReviewsOf(n *node) {
	for _, all := range []map[*instance]struct{}{n.primaryOf, n.replicaOf, n.incoming} {
		for _, i := range byWeight(maps.Keys(all)) {
			p.queueReview(i)
		}
	}
}

// boundWaiters lists instances that wait to be copied because too many moves are in progress or proposed, in order of arrival.
// Copies are started only up to a fraction of each bound on moves (see copiesFull).
type boundWaiters struct {
	replicas       []*instance // instances with too few replicas
	remoteReplicas []*instance // instances with enough replicas, but too few in zones other than the primary's
}

// waitForBound adds an instance to waiters unless it is in a boundWaiters already.
func (p *Planner) waitForBound(waiters *boundWaiters, i *instance) {
	list := &waiters.replicas
	if i.need.reason == tooFewRemoteReplicas {
		list = &waiters.remoteReplicas
	}
	if !i.wait.forBound {
		i.wait.forBound = true
		*list = append(*list, i)
	}
}

// reviewNextWaiting queues a review of the first instance in waiters; instances with too few replicas come first. It is
// called when a move ends, so that the end of each copy lets the next copy start. If all instances of a node lacked a replica,
// scheduled reviews alone would start only a few copies at a time.
func (p *Planner) reviewNextWaiting(waiters *boundWaiters) {
	for len(waiters.replicas)+len(waiters.remoteReplicas) > 0 {
		list := &waiters.replicas
		if len(*list) == 0 {
			list = &waiters.remoteReplicas
		}
		i := (*list)[0]
		*list = (*list)[1:]
		if len(*list) == 0 {
			*list = nil
		}
		i.wait.forBound = false
		if p.instances[i.Instance] == i && (i.need.replica || i.need.remoteReplica) {
			p.queueReview(i)
			return
		}
	}
}
