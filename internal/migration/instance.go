package migration

import (
	"cmp"
	"iter"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// instance is the planner's state of an instance.
type instance struct {
	placement.Assignment
	assigned     bool // an assignment was received
	primaryNode  *node
	replicaNodes []*node

	primarySince    tick.Tick // when the primary began to serve or was lost, or the time of OnElected if that is later
	copySince       tick.Tick // when the copy in progress started, or the time of OnElected if that is later
	deviceZone      string    // reported zone of the instance's device if the assignment has another zone, else empty
	primaryLostCopy bool      // the primary restarted without its copy of this instance
	excess          bool      // the primary has n instances more than slots, and this one is among its n instances with the lowest Weight
	emptyReplicas   []*node   // replicas that restarted without their copy of this instance

	history       moveHistory
	remoteBackoff remoteBackoff
	proposal      proposal
	retry         retry
	avoid         avoidance
	need          need
	wait          wait
	review        review
	move          move
}

// moveHistory records the migrations of an instance.
type moveHistory struct {
	last   tick.Tick // time of the last cut-over, 0 for none
	streak int       // number of consecutive cut-overs that each came soon after the previous one; see recordMove
}

// stayUntil returns the time before which an instance makes no move that is not urgent. The minimum stay after a cut-over is
// dwell, doubled for each move of the streak.
func (h moveHistory) stayUntil(dwell tick.Tick) tick.Tick {
	if h.last == 0 {
		return 0
	}
	return h.last + dwell<<h.streak
}

// recordMove records a cut-over. The streak grows if the time since the previous cut-over is at most twice the minimum stay,
// dwell<<streak (see stayUntil). Otherwise the streak restarts at 0.
func (h *moveHistory) recordMove(now, dwell tick.Tick) {
	if h.last != 0 && now-h.last <= 2*dwell<<h.streak {
		h.streak = min(h.streak+1, maxMoveStreak)
	} else {
		h.streak = 0
	}
	h.last = max(1, now)
}

// remoteBackoff delays copies of an instance to other zones after the primary dropped a replica in another zone, or after a
// copy there did not end in time (backOffRemote).
type remoteBackoff struct {
	until    tick.Tick
	failures int // number of consecutive dropped replicas and late copies after the first one, at most maxMoveStreak
}

// proposal is an operation whose result is pending.
type proposal struct {
	operation    placement.Operation // pending operation; its Kind is "" if there is none
	proposedAt   tick.Tick
	failOverFrom *node // node whose lease a pending fail-over or quarantine declares expired, nil for none
}

func (p *proposal) pending() bool { return p.operation.Kind != "" }

// isFailOver reports whether an operation declares that the primary's lease has expired.
func isFailOver(op placement.Operation) bool {
	return op.Kind == placement.OpFailOver || op.Kind == placement.OpQuarantine
}

// retry delays moves of an instance that found no target, had an operation refused or had its copy cancelled. Moves for
// a more urgent reason are not delayed.
type retry struct {
	attempts int // number of consecutive failed attempts
	until    tick.Tick
	reason   moveReason
}

// avoidance is a node that is not chosen as a target for a while, because a copy to it was cancelled or the primary dropped it
// as a replica.
type avoidance struct {
	node  *node
	until tick.Tick
}

// need is what an instance needs according to its last review.
type need struct {
	reason        moveReason
	replica       bool // the instance has too few replicas
	remoteReplica bool // the instance has too few replicas in zones other than its primary's
}

// wait says where an instance waits for a move: its position in a queue, and whether it is in a list of type boundWaiters.
type wait struct {
	queue    *queue // nil if the instance waits in no queue
	position int
	risk     float64 // the primary's risk when waitForTarget added the instance to the queue; 0 in a ready queue
	forBound bool    // the instance is in the boundWaiters of its primary or of the planner
}

// review is the schedule of an instance's next review.
type review struct {
	queued   bool      // the instance is in Planner.pendingReviews
	due      tick.Tick // time of the scheduled review, 0 for none
	position int       // index in Planner.scheduledReviews, or notQueued
}

// move is an instance's migration or copy that is in progress or proposed.
type move struct {
	source, target *node // source and target are both nil if there is no move
	link           *link // nil for a move within a zone
}

// notQueued is the position of an instance or node that is in no heap.
const notQueued = -1

// lastMoveOf returns 0 for an instance in its first epoch, which has never moved. For any other instance it returns now, the
// latest time at which the instance may have moved: an assignment does not say when its instance last moved.
func lastMoveOf(a placement.Assignment, now tick.Tick) tick.Tick {
	if a.Epoch > 1 {
		return max(1, now)
	}
	return 0
}

// cutsOverTo reports whether a migration to a node is in progress.
func (i *instance) cutsOverTo(n *node) bool { return i.CutOver && i.CopyTarget == n.Name }

// hasReliableReplica reports whether any replica is reliable (see node.unreliable).
func (i *instance) hasReliableReplica() bool {
	return slices.ContainsFunc(i.replicaNodes, func(n *node) bool { return !n.unreliable() })
}

// byWeight returns instances by descending weight.
func byWeight(all iter.Seq[*instance]) []*instance { return slices.SortedFunc(all, heavierFirst) }

func heavierFirst(a, b *instance) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Instance, b.Instance))
}

// earlier returns the earlier of two times, of which 0 means none.
func earlier(a, b tick.Tick) tick.Tick {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// countIf returns 1 if a condition holds, else 0.
func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
