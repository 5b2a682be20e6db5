// Package leases decides which edge nodes hold a lease and may therefore act. The leading controller runs it.
//
// On the controller a lease runs from the time at which its request was received, for the lease duration plus twice the clock
// drift. The lease therefore expires on the controller only after it has ended by the node's own clock. Each process that runs
// under a node's name is an incarnation of the node, and at most one incarnation has a lease at a time. A restarted process has
// a greater incarnation number than its predecessor, and is admitted once the predecessor's lease has expired. An old copy of
// the process has a smaller number and is refused permanently.
//
// A controller creates a Lessor with New when it becomes the leader and calls OnElected. It calls Request for each lease
// request. If Request returns ProposeIncarnation, the controller proposes the incarnation to the agreed log and then calls
// OnIncarnationAgreed or OnIncarnationDropped. Once a majority has confirmed the controller's leadership, the controller calls
// Grant. Expired returns the nodes whose leases have expired, and NextExpiry returns when to call Expired next.
//
// Invariants: no two incarnations of a node have a lease at the same time; a lease is never shortened; Expired returns a node
// only after every lease that was granted to it has expired.
//
// Kind: decision (see docs/architecture.md)
package leases

import (
	"container/heap"
	"errors"
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// Errors that Request and Grant return if they refuse a lease. Callers recognize the errors on the wire by their texts (package
// controllerclient).
var (
	ErrOtherIncarnation = errors.New("this name is held by another run whose lease is not over")
	ErrStaleIncarnation = errors.New("an old copy: a later run of this name has had a lease")
	ErrExpired          = errors.New("the lease was over before it was granted")
	// ErrIncarnationPending is temporary: an incarnation of this name is being agreed. This can be the incarnation that sent
	// the request, if it had abandoned an earlier request. The node should repeat the request.
	ErrIncarnationPending = errors.New("a start of this name is being agreed")
)

// Decision is the step that a lease request needs before the lease can be granted.
type Decision int

// The decisions that Request returns without an error.
const (
	Renew              Decision = iota // the request's incarnation is already agreed, and Grant may be called
	ProposeIncarnation                 // the controllers must agree on the incarnation first
)

// node is the lease state of one edge node.
type node struct {
	name        string
	incarnation uint64    // the agreed incarnation, 0 for none yet
	leaseEnd    tick.Tick // time from which no lease of the node is active; 0 if it never had one
	expiry      tick.Tick // time from which Expired returns the node: leaseEnd, or a later time that ExpectRenewal has set
	expired     bool      // the node is not in Lessor.queue, because Expired has returned it or because its expiry was never set
	pending     bool      // an incarnation is being agreed; meanwhile requests of all incarnations are refused
	queueIndex  int       // position in Lessor.queue; valid only while expired is false
}

// expiryQueue is a heap of nodes ordered by expiry and then by name, so that the order is deterministic for equal expiries.
type expiryQueue []*node

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool {
	return q[i].expiry < q[j].expiry || q[i].expiry == q[j].expiry && q[i].name < q[j].name
}

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface; heap.Push calls it.
func (q *expiryQueue) Push(x any) {
	n := x.(*node)
	n.queueIndex = len(*q)
	*q = append(*q, n)
}

// Pop implements heap.Interface; heap.Pop calls it.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	n := (*q)[last]
	*q = (*q)[:last]
	return n
}

// Lessor tracks the leases that one controller grants during one term of leadership. It is not safe for concurrent use.
type Lessor struct {
	leaseDuration tick.Tick // duration of a lease by the controller's clock, with twice the drift added (Config.controllerDuration)
	nodes         map[string]*node
	queue         expiryQueue // the nodes that Expired has yet to return
}

// New returns a Lessor that has granted no lease.
func New(config Config) *Lessor {
	return &Lessor{leaseDuration: config.controllerDuration(), nodes: map[string]*node{}}
}

// OnElected begins a term of leadership. The map incarnations holds the agreed incarnation of each node name. Each of these
// nodes may still hold a lease from an earlier leader, so OnElected counts the node's lease as renewed now.
//
// If the leases did not count as renewed, two incarnations of a node or two primaries of an instance could act at the same time
// after a controller has failed. The cost is that the lease of a node that failed together with the controller expires up to
// one lease duration later.
func (l *Lessor) OnElected(now tick.Tick, incarnations map[string]uint64) {
	for _, name := range slices.Sorted(maps.Keys(incarnations)) {
		n := l.ensureNode(name)
		n.incarnation = incarnations[name]
		n.leaseEnd = max(n.leaseEnd, now+l.leaseDuration)
		l.extend(n, n.leaseEnd)
	}
}

// extend moves the expiry of a node to a later time, and adds the node to the queue if it is not there. An earlier time is
// ignored.
func (l *Lessor) extend(n *node, expiry tick.Tick) {
	n.expiry = max(n.expiry, expiry)
	if n.expired {
		n.expired = false
		heap.Push(&l.queue, n)
		return
	}
	heap.Fix(&l.queue, n.queueIndex)
}

// ensureNode returns the state of a node. It adds a node that is not known.
func (l *Lessor) ensureNode(name string) *node {
	n := l.nodes[name]
	if n == nil {
		n = &node{name: name, expired: true}
		l.nodes[name] = n
	}
	return n
}

// ExpectRenewal is called for a node that becomes the primary or a replica of a running instance. If the node has no lease and
// does not obtain one within the duration of a lease, Expired returns the node. ExpectRenewal grants no lease, so it never
// makes another incarnation of the node wait, however often it is called.
func (l *Lessor) ExpectRenewal(now tick.Tick, name string) {
	if n := l.ensureNode(name); n.expired {
		l.extend(n, now+l.leaseDuration)
	}
}

// Request decides on a lease request that was received now from an incarnation of a node. It returns ErrStaleIncarnation,
// ErrIncarnationPending or ErrOtherIncarnation if it refuses the request.
func (l *Lessor) Request(now tick.Tick, name string, incarnation uint64) (Decision, error) {
	n := l.ensureNode(name)
	switch {
	case incarnation < n.incarnation:
		return Renew, ErrStaleIncarnation
	case n.pending:
		return Renew, ErrIncarnationPending
	case incarnation == n.incarnation && incarnation > 0:
		return Renew, nil
	case now < n.leaseEnd && n.incarnation > 0:
		return Renew, ErrOtherIncarnation
	}
	n.pending = true
	return ProposeIncarnation, nil
}

// OnIncarnationAgreed is called once the controllers have agreed on an incarnation for which Request returned
// ProposeIncarnation.
func (l *Lessor) OnIncarnationAgreed(name string, incarnation uint64) {
	n := l.ensureNode(name)
	n.incarnation = max(n.incarnation, incarnation)
	n.pending = false
}

// OnIncarnationDropped is called if an incarnation for which Request returned ProposeIncarnation was certainly not recorded:
// the controllers did not agree on it, or the agreed entry changed nothing. If the outcome is unknown, OnIncarnationDropped is
// not called: the leadership then ends, and the next leader learns the outcome from the log.
func (l *Lessor) OnIncarnationDropped(name string) { l.ensureNode(name).pending = false }

// Grant grants or renews a lease. The lease runs from receivedAt, the time at which its request was received. Grant is called
// once a majority has confirmed, after receivedAt, that this controller leads. It returns the errors of Request, and ErrExpired
// if the lease would be over already because the confirmation took too long.
func (l *Lessor) Grant(now, receivedAt tick.Tick, name string, incarnation uint64) (leaseEnd tick.Tick, err error) {
	n := l.ensureNode(name)
	switch {
	case incarnation < n.incarnation:
		return 0, ErrStaleIncarnation
	case n.pending:
		return 0, ErrIncarnationPending
	case incarnation != n.incarnation:
		return 0, ErrOtherIncarnation
	case now >= receivedAt+l.leaseDuration: // the requested lease would have expired already, and Expired may have returned the node
		return 0, ErrExpired
	}
	n.leaseEnd = max(n.leaseEnd, receivedAt+l.leaseDuration)
	l.extend(n, n.leaseEnd)
	return n.leaseEnd, nil
}

// LeaseEnd returns when the lease of a node ends by the controller's clock, and whether the lease is still active.
func (l *Lessor) LeaseEnd(now tick.Tick, name string) (end tick.Tick, active bool) {
	n := l.nodes[name]
	if n == nil {
		return 0, false
	}
	return n.leaseEnd, now < n.leaseEnd
}

// Expired returns the nodes whose leases have expired, earliest expiry first. It returns a node once, and again only if Grant,
// OnElected or ExpectRenewal has set a new expiry in the meantime.
func (l *Lessor) Expired(now tick.Tick) (names []string) {
	for len(l.queue) > 0 && now >= l.queue[0].expiry {
		n := heap.Pop(&l.queue).(*node)
		n.expired = true
		names = append(names, n.name)
	}
	return names
}

// NextExpiry returns the time from which Expired returns the next node, and false if no node is left to expire.
func (l *Lessor) NextExpiry() (next tick.Tick, ok bool) {
	if len(l.queue) == 0 {
		return 0, false
	}
	return l.queue[0].expiry, true
}
