package migration

import (
	"cmp"
	"iter"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// instance is an instance as the planner knows it.
type instance struct {
	placement.Assignment
	assigned     bool // an assignment has come
	primaryNode  *node
	replicaNodes []*node

	primarySince    tick.Tick // the primary came, or was lost
	copySince       tick.Tick // the copy under way was begun
	deviceZone      string    // where its device is, while the table says otherwise
	primaryLostCopy bool      // its primary began anew without it
	excess          bool      // one of the lightest of a node that has too many
	emptyReplicas   []*node   // replicas that began anew without it

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

// moveHistory is what is known of the moves of an instance.
type moveHistory struct {
	last   tick.Tick // when it was cut over last, 0 for never
	streak int       // moves in a row, each soon after the one before
}

// stayUntil is until when an instance stays that may as well go: each time in a row twice as long.
func (h moveHistory) stayUntil(dwell tick.Tick) tick.Tick {
	if h.last == 0 {
		return 0
	}
	return h.last + dwell<<h.streak
}

// recordMove notes a cut-over.
func (h *moveHistory) recordMove(now, dwell tick.Tick) {
	if h.last != 0 && now-h.last <= 2*dwell<<h.streak {
		h.streak = min(h.streak+1, maxMoveStreak)
	} else {
		h.streak = 0
	}
	h.last = max(1, now)
}

// remoteBackoff is how long no replica in another zone is tried, after one was not reached.
type remoteBackoff struct {
	until    tick.Tick
	failures int // in a row
}

// proposal is an operation whose result is waited for.
type proposal struct {
	operation    placement.Operation // Kind "" for none
	proposedAt   tick.Tick
	failOverFrom *node // of which an operation on its way says that its lease is over
}

func (p *proposal) pending() bool { return p.operation.Kind != "" }

// isFailOver reports whether an operation says that the primary's lease is over.
func isFailOver(op placement.Operation) bool {
	return op.Kind == placement.OpFailOver || op.Kind == placement.OpQuarantine
}

// retry is until when an instance that found no node, or whose operation was refused, is not moved, unless for a more
// pressing reason.
type retry struct {
	attempts int // in a row
	until    tick.Tick
	reason   moveReason
}

// avoidance is a node that did not take an instance, or was not reached.
type avoidance struct {
	node  *node
	until tick.Tick
}

// need is what an instance needs, as it was found last.
type need struct {
	reason        moveReason
	replica       bool // it lacks one
	remoteReplica bool // it lacks one in another zone than its primary's
}

// wait is where an instance waits for a move.
type wait struct {
	queue    *queue // nil for none
	position int
	risk     float64 // of its primary when it began to wait for a node or a link
	forBound bool    // it waits for a part of a bound, at its primary or for all
}

// review is when an instance is looked at next.
type review struct {
	queued   bool      // among those that are looked at now
	due      tick.Tick // by itself, 0 for never
	position int       // in Planner.scheduledReviews, notQueued for not
}

// move is a move under way, or asked for.
type move struct {
	source, target *node // nil for none
	link           *link // nil within a zone
}

// notQueued is the position of what is in no heap.
const notQueued = -1

// lastMoveOf is when an instance may have been moved last, as far as its assignment tells.
func lastMoveOf(a placement.Assignment, now tick.Tick) tick.Tick {
	if a.Epoch > 1 {
		return max(1, now)
	}
	return 0
}

// cutsOverTo reports whether a migration to a node is under way.
func (i *instance) cutsOverTo(n *node) bool { return i.CutOver && i.CopyTarget == n.Name }

// hasReliableReplica reports whether any replica is counted upon.
func (i *instance) hasReliableReplica() bool {
	return slices.ContainsFunc(i.replicaNodes, func(n *node) bool { return !n.unreliable() })
}

// byWeight returns instances, the heaviest first.
func byWeight(all iter.Seq[*instance]) []*instance { return slices.SortedFunc(all, heavierFirst) }

func heavierFirst(a, b *instance) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Instance, b.Instance))
}

// earlier is the earlier of two moments, of which 0 is none.
func earlier(a, b tick.Tick) tick.Tick {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// countIf is 1 where a condition holds, else 0.
func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
