// Package leases decides who of the edge units may act, as the leading keeper counts it: a lease runs from the moment
// at which its request came, for the span of a lease and twice the drift more, so that it is over here only after the
// unit has stopped by its own clock. A name has one run at a time: a restart of its process is a larger number, and is
// let in once the earlier run's lease is over; an old copy is a smaller one, and is refused for good.
//
// Kind: decision
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
	// ErrIncarnationPending is of the moment: a start of this name is on its way to the agreed log, maybe the very one that asks,
	// whose first request was given up. Asked again it is answered.
	ErrIncarnationPending = errors.New("a start of this name is being agreed")
)

// Decision says what has to happen before a lease is granted.
type Decision int

// What Ask answers where it does not refuse.
const (
	Renew              Decision = iota // the run is the agreed one
	ProposeIncarnation                 // the run has to be agreed among the keepers first, then Agreed be called, or Dropped
)

type unit struct {
	name     string
	run      uint64    // as agreed, 0: none yet
	lease    tick.Tick // what was granted is over from then on
	until    tick.Tick // and it is told as over: later where the unit is expected
	over     bool      // and that was told
	agreeing bool      // another run is being agreed: nobody renews
	pos      int       // among those that are not over
}

// dues are units by when their leases are over, and by name, so that what falls due at once is told in one order.
type dues []*unit

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].until < d[j].until || d[i].until == d[j].until && d[i].name < d[j].name
}
func (d dues) Swap(i, j int) { d[i], d[j], d[i].pos, d[j].pos = d[j], d[i], j, i }
func (d *dues) Push(x any)   { u := x.(*unit); u.pos = len(*d); *d = append(*d, u) }
func (d *dues) Pop() any     { u := (*d)[len(*d)-1]; *d = (*d)[:len(*d)-1]; return u }

// Lessor is the leases of one span of leading.
type Lessor struct {
	span  tick.Tick // of a lease with its drift, as the keeper counts it
	units map[string]*unit
	due   dues // those whose lease was not told as over
}

// New makes a book. set has fleet.lease (seconds) and fleet.drift (a share).
func New(set map[string]any) *Lessor {
	lease, drift := set["fleet.lease"].(float64), set["fleet.drift"].(float64)
	return &Lessor{span: tick.Tick(lease*(1+2*drift)*float64(tick.Second)) + 1, units: map[string]*unit{}}
}

// OnElected begins a span of leading: each unit that may have a lease of an earlier leader is counted as renewed now.
// It guards against two runs or owners at once after a keeper fell; it costs a wait of one lease before a unit that
// fell with the keeper is given up.
func (b *Lessor) OnElected(now tick.Tick, runs map[string]uint64) {
	for _, name := range slices.Sorted(maps.Keys(runs)) {
		u := b.at(name)
		u.run, u.lease = runs[name], max(u.lease, now+b.span)
		b.until(u, u.lease)
	}
}

// until sets when a lease is over, no earlier than it was before.
func (b *Lessor) until(u *unit, at tick.Tick) {
	if u.until = max(u.until, at); u.over {
		u.over = false
		heap.Push(&b.due, u)
	} else {
		heap.Fix(&b.due, u.pos)
	}
}

func (b *Lessor) at(name string) *unit {
	u := b.units[name]
	if u == nil {
		u = &unit{name: name, over: true}
		b.units[name] = u
	}
	return u
}

// ExpectRenewal has a unit that is given something to do, and that is not heard of, told as over where it does not come. It is
// no lease: another run of its name need not wait for it, however often the unit is expected meanwhile.
func (b *Lessor) ExpectRenewal(now tick.Tick, name string) {
	if u := b.at(name); u.over {
		b.until(u, now+b.span)
	}
}

// Request is a request that came now from a run of a unit.
func (b *Lessor) Request(now tick.Tick, name string, run uint64) (Decision, error) {
	u := b.at(name)
	switch {
	case run < u.run:
		return Renew, ErrStaleIncarnation
	case u.agreeing:
		return Renew, ErrIncarnationPending
	case run == u.run && run > 0:
		return Renew, nil
	case now < u.lease && u.run > 0:
		return Renew, ErrOtherIncarnation
	}
	u.agreeing = true
	return ProposeIncarnation, nil
}

// OnIncarnationAgreed says that the keepers agreed on the run that Ask wanted agreed; Dropped that they did not, or that it is not
// known. A leader that does not know loses its lead by that, and the next one learns it from the log.
func (b *Lessor) OnIncarnationAgreed(name string, run uint64) {
	u := b.at(name)
	u.run, u.agreeing = max(u.run, run), false
}

// OnIncarnationDropped see Agreed.
func (b *Lessor) OnIncarnationDropped(name string) { b.at(name).agreeing = false }

// Grant renews a lease whose request came at a moment, once a majority has confirmed the lead after it.
func (b *Lessor) Grant(now, came tick.Tick, name string, run uint64) (until tick.Tick, err error) {
	u := b.at(name)
	switch {
	case run < u.run:
		return 0, ErrStaleIncarnation
	case u.agreeing:
		return 0, ErrIncarnationPending
	case run != u.run:
		return 0, ErrOtherIncarnation
	case now >= came+b.span: // the confirmation took too long; it may have been told as over meanwhile
		return 0, ErrExpired
	}
	u.lease = max(u.lease, came+b.span)
	b.until(u, u.lease)
	return u.lease, nil
}

// LeaseEnd says whether a unit may still act, and until when by the keeper's clock.
func (b *Lessor) LeaseEnd(now tick.Tick, name string) (until tick.Tick, held bool) {
	u := b.units[name]
	if u == nil {
		return 0, false
	}
	return u.lease, now < u.lease
}

// Expired names the units whose lease is over, each once until it is granted again, the earliest first.
func (b *Lessor) Expired(now tick.Tick) (names []string) {
	for len(b.due) > 0 && now >= b.due[0].until {
		u := heap.Pop(&b.due).(*unit)
		u.over = true
		names = append(names, u.name)
	}
	return names
}

// NextExpiry is when the next lease is over, if there is one.
func (b *Lessor) NextExpiry() (next tick.Tick, any bool) {
	if len(b.due) == 0 {
		return 0, false
	}
	return b.due[0].until, true
}

// Timings are the keepers' own, all parts of a lease: a new leader has to be found, and units to renew with it, before
// their leases are over, where half of one is left on the average.
type Timings struct {
	HeartbeatTimeout         tick.Tick // without one for so long a follower looks for a new leader
	CommitInterval           tick.Tick // followers hear of what is agreed at least so often
	ConfirmTimeout           tick.Tick // for a majority to confirm
	ProposalTimeout          tick.Tick // for a step to be agreed, or the caller is told that the majority is gone
	NodeUpdateInterval       tick.Tick // changes of units are told together, so often at most
	AssignmentUpdateInterval tick.Tick // and those of places
	RetryDelayMin            tick.Tick // least and most between tries of a client, doubled each time
	RetryDelayMax            tick.Tick
}

// TimingsFor are the spans for a lease; set as for New.
func TimingsFor(set map[string]any) Timings {
	lease := tick.Tick(set["fleet.lease"].(float64) * float64(tick.Second))
	return Timings{HeartbeatTimeout: lease / 4, CommitInterval: min(max(lease/20, 10), 500), ConfirmTimeout: lease / 3,
		ProposalTimeout: 2 * lease, NodeUpdateInterval: lease / 10, AssignmentUpdateInterval: lease / 500, RetryDelayMin: lease / 20, RetryDelayMax: lease / 4}
}
