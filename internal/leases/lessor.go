// Package leases decides which nodes may act, as the leading controller counts it.
//
// A lease runs from the moment at which its request came, for the duration of a lease and twice the clock drift more, so that
// it is over here only after the node has stopped by its own clock. A name has one incarnation of its process at a time: a
// restart is a greater number, and is let in once the lease of the earlier one is over; an old copy of the process is a
// smaller one, and is refused for good.
//
// A controller makes a Lessor with New when it begins to lead and calls OnElected. For each request it calls Request; where
// that says ProposeIncarnation it has the controllers agree on the incarnation and calls OnIncarnationAgreed or
// OnIncarnationDropped; then, once a majority has confirmed that it leads, Grant. Expired names the nodes whose leases are
// over, and NextExpiry says when to ask.
//
// Invariants: no two incarnations of a node have a lease at once; a lease is never shortened; a node is named by Expired
// only after everything that was granted to it is over.
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

// Why a lease is not granted.
var (
	ErrOtherIncarnation = errors.New("this name is held by another run whose lease is not over")
	ErrStaleIncarnation = errors.New("an old copy: a later run of this name has had a lease")
	ErrExpired          = errors.New("the lease was over before it was granted")
	// ErrIncarnationPending is of the moment: an incarnation of this name is on its way to the agreed log, maybe the very
	// one that asks, whose first request was given up. Asked again it is answered.
	ErrIncarnationPending = errors.New("a start of this name is being agreed")
)

// Decision says what has to happen before a lease is granted.
type Decision int

// What Request answers where it does not refuse.
const (
	Renew              Decision = iota // the incarnation is the agreed one
	ProposeIncarnation                 // the controllers have to agree on the incarnation first
)

// node is a node as a Lessor knows it.
type node struct {
	name        string
	incarnation uint64    // as agreed, 0: none yet
	leaseEnd    tick.Tick // what was granted is over from then on
	expiry      tick.Tick // when Expired names it: no earlier than leaseEnd, later where the node is expected
	expired     bool      // Expired has named it, or it never had a lease
	pending     bool      // another incarnation is being agreed: nobody renews
	queueIndex  int       // in the queue of expiries, where it is not expired
}

// expiryQueue is a heap of nodes by expiry and by name, so that those that are over at once are named in one order.
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

// Lessor has the leases of one span of leading. One goroutine at a time may use it.
type Lessor struct {
	leaseDuration tick.Tick // of a lease with its drift, as the controller counts it
	nodes         map[string]*node
	queue         expiryQueue // the nodes that are not expired
}

// New returns a lessor that has granted nothing.
func New(config Config) *Lessor {
	return &Lessor{leaseDuration: config.controllerDuration(), nodes: map[string]*node{}}
}

// OnElected begins a span of leading: each node that may have a lease of an earlier leader, by its agreed incarnation, is
// counted as renewed now.
//
// Guards against two incarnations or two primaries at once after a controller fell. It costs a wait of one lease before a
// node that fell with the controller is given up.
func (l *Lessor) OnElected(now tick.Tick, incarnations map[string]uint64) {
	for _, name := range slices.Sorted(maps.Keys(incarnations)) {
		n := l.ensureNode(name)
		n.incarnation = incarnations[name]
		n.leaseEnd = max(n.leaseEnd, now+l.leaseDuration)
		l.extend(n, n.leaseEnd)
	}
}

// extend sets when a node expires, no earlier than it was before.
func (l *Lessor) extend(n *node, expiry tick.Tick) {
	n.expiry = max(n.expiry, expiry)
	if n.expired {
		n.expired = false
		heap.Push(&l.queue, n)
		return
	}
	heap.Fix(&l.queue, n.queueIndex)
}

func (l *Lessor) ensureNode(name string) *node {
	n := l.nodes[name]
	if n == nil {
		n = &node{name: name, expired: true}
		l.nodes[name] = n
	}
	return n
}

// ExpectRenewal has a node that is given something to do, and that is not heard of, named by Expired where it does not come
// within a lease. It is no lease: another incarnation of its name need not wait for it, however often the node is expected
// meanwhile.
func (l *Lessor) ExpectRenewal(now tick.Tick, name string) {
	if n := l.ensureNode(name); n.expired {
		l.extend(n, now+l.leaseDuration)
	}
}

// Request decides about a request that receivedAt now from an incarnation of a node. Its errors are ErrStaleIncarnation,
// ErrIncarnationPending and ErrOtherIncarnation.
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

// OnIncarnationAgreed says that the controllers agreed on the incarnation that Request wanted agreed.
func (l *Lessor) OnIncarnationAgreed(name string, incarnation uint64) {
	n := l.ensureNode(name)
	n.incarnation = max(n.incarnation, incarnation)
	n.pending = false
}

// OnIncarnationDropped says that the controllers did not agree on it, or that it is not known. A leader that does not know
// loses its lead by that, and the next one learns it from the log.
func (l *Lessor) OnIncarnationDropped(name string) { l.ensureNode(name).pending = false }

// Grant renews a lease whose request came at a moment, once a majority has confirmed the lead after it. Its errors are
// those of Request, and ErrExpired where the confirmation took too long.
func (l *Lessor) Grant(now, receivedAt tick.Tick, name string, incarnation uint64) (leaseEnd tick.Tick, err error) {
	n := l.ensureNode(name)
	switch {
	case incarnation < n.incarnation:
		return 0, ErrStaleIncarnation
	case n.pending:
		return 0, ErrIncarnationPending
	case incarnation != n.incarnation:
		return 0, ErrOtherIncarnation
	case now >= receivedAt+l.leaseDuration: // Expired may have named it meanwhile
		return 0, ErrExpired
	}
	n.leaseEnd = max(n.leaseEnd, receivedAt+l.leaseDuration)
	l.extend(n, n.leaseEnd)
	return n.leaseEnd, nil
}

// LeaseEnd says until when a node may act by the controller's clock, and whether it still may.
func (l *Lessor) LeaseEnd(now tick.Tick, name string) (end tick.Tick, active bool) {
	n := l.nodes[name]
	if n == nil {
		return 0, false
	}
	return n.leaseEnd, now < n.leaseEnd
}

// Expired names the nodes whose lease is over, each once until it is granted again, the earliest first.
func (l *Lessor) Expired(now tick.Tick) (names []string) {
	for len(l.queue) > 0 && now >= l.queue[0].expiry {
		n := heap.Pop(&l.queue).(*node)
		n.expired = true
		names = append(names, n.name)
	}
	return names
}

// NextExpiry is when the next node expires, if there is one.
func (l *Lessor) NextExpiry() (next tick.Tick, ok bool) {
	if len(l.queue) == 0 {
		return 0, false
	}
	return l.queue[0].expiry, true
}
