package lab

import (
	"cmp"
	"container/heap"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"

	"silvercove/balancer"
)

// Day is the hard part of one whole-fleet day: what is done to the units and the relays, beginning at second 0.
type Day struct {
	Name          string
	plan          func(f *fleetDay)
	relays, units int     // 0: dayRelays, dayUnits
	span          float64 // seconds; 0: daySpan
	wrapHost      hostWrapper
}

// Days are those that the fleet is held to. Figures are the lab's own.
var Days = []Day{
	{Name: "calm", plan: func(f *fleetDay) {}},
	{Name: "roll: a tenth at a time ends in order while units pause", plan: func(f *fleetDay) {
		f.pauses(3)
		for i, n := range f.relays {
			f.in(float64(5+2*(i%10)), func() { f.leave(n) })
		}
	}},
	{Name: "herd: seven in ten are killed at once while units pause", plan: func(f *fleetDay) {
		f.pauses(4)
		for i, n := range f.relays {
			if i%10 < 7 {
				f.in(10, func() { f.kill(n) })
			}
		}
	}},
	{Name: "zone: a third of the units is lost for 5 s and returns cold", plan: func(f *fleetDay) {
		for i := 0; i < len(f.units); i += 3 {
			f.in(8, func() { f.restart(i, 5) })
		}
	}},
	{Name: "split: a fifth falls silent, lists are late, connections break", plan: func(f *fleetDay) {
		f.late = 3
		f.in(8, func() {
			f.resets = 0.05
			for i := 0; i < len(f.units); i += 5 {
				f.units[i].back = f.now + ticksOf(6)
			}
			for i := 1; i < len(f.units); i += 10 {
				f.units[i].State = balancer.Draining
				f.list(i)
			}
		})
	}},
	{Name: "join: a third pauses, units answer errors", plan: func(f *fleetDay) {
		f.pauses(3)
		f.errs = 0.03
	}},
}

// Whole is the day on which cold units fall most easily, at the size of the whole fleet: relays see from a quarter to
// three times of the mean, a fifth of the units returns cold, and the others pause for 3 s: all want to go to those few.
var Whole = Day{Name: "whole", relays: 300, units: 150, plan: func(f *fleetDay) {
	for i, n := range f.relays {
		n.rate = dayRate * []float64{0.3, 0.5, 0.7, 1, 4}[i%5] / 1.3
	}
	for i := range f.units {
		if i%5 > 0 {
			f.in(8.5, func() { f.units[i].back = f.now + ticksOf(3) })
		} else {
			f.in(8, func() { f.restart(i, 0.1) })
		}
	}
}}

// Release is a good build that goes from a third of the fleet to all of it: the other units are replaced at once, so that
// two thirds are cold. Units share their cores among what they have in work, and are warm sooner than the settings say.
var Release = Day{Name: "release", relays: 120, units: 60, span: 11, plan: func(f *fleetDay) {
	f.cores, f.takes, f.warm = 3, 28, 1.5
	for _, n := range f.relays {
		n.rate = 0.62 * f.takes * float64(len(f.units)) / float64(len(f.relays))
	}
	for i := range f.units {
		if i%3 > 0 {
			f.in(6, func() { f.restart(i, 0) })
		}
	}
}}

// DayResult is how a day went: what was broken by all relays together, and how often.
type DayResult struct {
	Taken, Served int
	Seconds       []daySecond
	ByOp          [3]struct{ Taken, Served int }
	Broken        map[string]int
	Colds         int // deliveries at cold units
}

// daySecond is what was taken in a second, what of it was acked within the service target, and the deliveries at cold units.
type daySecond struct{ Taken, InTime, Colds int }

// at is the second of a time.
func (r *DayResult) at(t balancer.Tick) *daySecond {
	return &r.Seconds[(t-ticksOf(100))/balancer.Second]
}

// Share is the part served of what was taken by relays that were not killed with it.
func (r DayResult) Share() float64 { return float64(r.Served) / float64(max(1, r.Taken)) }

const (
	dayRelays = 60
	dayUnits  = 30
	dayRate   = 3.0 // commands a second at one relay
	dayTakes  = 10  // that a warm unit takes in a second; six come on average
	daySpan   = 30.0
)

// fleetDay is the units, the relays and what is due to happen.
type fleetDay struct {
	rand     *rand.Rand
	now      balancer.Tick
	due      events
	seq      int
	set      balancer.Settings
	units    []*dayUnit
	relays   []*dayRelay
	result   DayResult
	resets   float64 // share of the deliveries whose connection breaks after the send
	errs     float64 // that a unit answers with an error
	late     float64 // seconds by which the list lags
	takes    float64 // that a warm unit takes in a second
	wrapHost hostWrapper
	cores    float64 // of a unit that shares them among what it has in work; 0: each delivery takes what is drawn as it comes
	warm     float64 // seconds until a unit that shares its cores is warm
}

// dayUnit takes longer the more it has in work, and is silent up to a moment.
type dayUnit struct {
	balancer.Endpoint
	busy  int
	work  []*daySend // where it shares its cores, with what is left of each
	since balancer.Tick
	turn  int // of the event that comes next for it
	back  balancer.Tick
	colds []coldSend // deliveries of late, while it is cold
	fell  bool
}

// coldSend is a delivery at a cold unit. Work is in requests of mean work; told: its relay had been told of the start.
type coldSend struct {
	at   balancer.Tick
	work float64
	told bool
}

// falls tells whether a cold unit falls under what it got of late, N being what the settings allow it then, and
// whether that breaks the rule.
func falls(sends []coldSend, n float64) (falls, broken bool) {
	sum, told := 0.0, 0.0
	for _, s := range sends {
		sum += s.work
		if s.told {
			told += s.work
		}
	}
	falls = sum > n+2*math.Sqrt(n)+2
	return falls, falls && told > sum*2/3
}

// dayRelay is one relay with its host.
type dayRelay struct {
	*balancer.Balancer
	f       *fleetDay
	known   []*balancer.Backend
	taken   map[*balancer.Request]balancer.Tick
	open    map[*balancer.Request][]*daySend
	dead    bool
	leaving bool
	told    []balancer.Tick // when it was told that a unit drains
	rate    float64
}

// daySend is one delivery.
type daySend struct {
	at    balancer.Tick
	to    *dayUnit
	of    *balancer.Attempt
	ended bool
	ran   bool // it may have run
	by    *dayRelay
	left  float64 // seconds of work of one core
}

// Run plays a day. The same day and seed always go the same way.
func (d Day) Run(seed uint64) DayResult {
	ops := []Op{{"read", 0.4, "redeliverable"}, {"edit", 0.3, "deduplicated"}, {"sell", 0.3, "at_most_once"}}
	m := model{Rollout: Rollout{Relays: cmp.Or(d.relays, dayRelays), Ops: ops, Waves: []Wave{{1, 1}}}}
	f := &fleetDay{wrapHost: d.wrapHost, takes: dayTakes, rand: rand.New(rand.NewPCG(seed, 7)), now: ticksOf(100), set: m.settings()}
	f.result.Broken, f.result.Seconds = map[string]int{}, make([]daySecond, int(daySpan)+3)
	for i := range cmp.Or(d.units, dayUnits) {
		f.units = append(f.units, &dayUnit{Endpoint: balancer.Endpoint{Zone: i % 3, State: balancer.Ready, Version: earlier}})
	}
	for range cmp.Or(d.relays, dayRelays) {
		f.join()
	}
	d.plan(f)
	end := f.now + ticksOf(cmp.Or(d.span, daySpan))
	f.run(end)
	for _, n := range f.relays {
		n.leaving = true
	}
	f.run(end + ticksOf(3)) // what was taken is answered by then
	return f.result
}

func (f *fleetDay) run(until balancer.Tick) {
	for len(f.due) > 0 && f.due[0].at <= until {
		e := heap.Pop(&f.due).(event)
		f.now = e.at
		e.do()
	}
}

func (f *fleetDay) at(t balancer.Tick, do func()) {
	f.seq++
	heap.Push(&f.due, event{max(t, f.now), f.seq, do})
}

func (f *fleetDay) in(seconds float64, do func()) { f.at(f.now+ticksOf(seconds), do) }

// pauses has one of so many units pause for a second, again and again.
func (f *fleetDay) pauses(of int) {
	for i := 0; i < len(f.units); i += of {
		for s := range 6 {
			f.in(float64(5+3*s), func() { f.units[i].back = f.now + ticksOf(1) })
		}
	}
}

// join starts a relay, and its clients.
func (f *fleetDay) join() {
	n := &dayRelay{f: f, taken: map[*balancer.Request]balancer.Tick{}, open: map[*balancer.Request][]*daySend{}, told: make([]balancer.Tick, len(f.units)), rate: dayRate}
	host := f.wrapHost.apply(n, len(f.relays), func() balancer.Tick { return f.now })
	n.Balancer = balancer.New(host, f.now, f.rand.Uint64(), f.set)
	f.relays = append(f.relays, n)
	for i, u := range f.units {
		n.known = append(n.known, &balancer.Backend{ID: uint32(i)})
		n.OnEndpoint(f.now, n.known[i], u.Endpoint)
	}
	n.OnListSynced(f.now, true)
	n.OnReleaseStatus(f.now, balancer.ReleaseStatus{Version: earlier, Phase: balancer.Released, ExposureCap: 1, Outcome: balancer.Succeeded})
	f.in(f.rand.ExpFloat64()/dayRate, n.command)
}

// command has a client ask, and the next one come later.
func (n *dayRelay) command() {
	f := n.f
	if n.dead || n.leaving {
		return
	}
	f.in(f.rand.ExpFloat64()/n.rate, n.command)
	c := &balancer.Request{Class: f.rand.IntN(3), Deadline: f.now + ticksOf(2)}
	n.open[c], n.taken[c] = nil, f.now
	f.result.Taken++
	f.result.at(f.now).Taken++
	f.result.ByOp[c.Class].Taken++
	f.in(2.05, func() {
		if _, open := n.open[c]; open && !n.dead {
			f.broken("a command without an answer by its time")
		}
	})
	n.OnRequest(f.now, c)
}

func (f *fleetDay) broken(what string) { f.result.Broken[what]++ }

const atMostOnce = 2 // its op type

// StartAttempt checks what the rules say of a send, and has the unit work.
func (n *dayRelay) StartAttempt(d *balancer.Attempt, stopAt balancer.Tick) {
	f, u := n.f, n.f.units[d.Backend.ID]
	for _, before := range n.open[d.Request] {
		if before.ran && d.Request.Class == atMostOnce || !before.ended {
			f.broken("a second delivery of what may run twice")
		}
	}
	if told := n.told[d.Backend.ID]; told > 0 && f.now > told+ticksOf(1) {
		f.broken("a delivery at a drained unit")
	}
	if !n.BeginAttempt(f.now, d) {
		f.broken("a delivery that may not be written at once")
	}
	drawn := 0.5 + f.rand.ExpFloat64()
	if u.StartedAt > 0 && f.now < u.StartedAt+ticksOf(cold) && !u.fell {
		f.result.Colds++
		f.result.at(f.now).Colds++
		u.colds = slices.DeleteFunc(append(u.colds, coldSend{f.now, drawn / 1.5, n.known[d.Backend.ID].StartedAt == u.StartedAt}),
			func(s coldSend) bool { return s.at < f.now-ticksOf(1) })
		warmth := 0.5 + 0.5*float64(f.now-u.StartedAt)/(cold*second)
		var broken bool
		if u.fell, broken = falls(u.colds, 2*warmth*f.takes); broken {
			f.broken("a cold unit falls")
		}
	}
	u.busy++
	took := ticksOf(drawn * 0.03 * float64(4+u.busy) / 4)
	ending := balancer.Succeeded
	switch p := f.rand.Float64(); {
	case f.now+took > stopAt || f.now < u.back:
		took, ending = stopAt-f.now, balancer.TimedOut
	case p < f.resets:
		ending = balancer.Reset
	case p < f.resets+f.errs:
		ending = balancer.Errored
	}
	s := &daySend{at: f.now, to: u, of: d, by: n, ran: true, left: drawn / 1.5 * f.cores / f.takes}
	n.open[d.Request] = append(n.open[d.Request], s)
	if f.cores > 0 {
		u.run(f, s)
		f.at(stopAt, func() { n.ended(s, balancer.TimedOut) })
		return
	}
	f.at(f.now+took, func() { n.ended(s, ending) })
}

// run has a unit that shares its cores work on what it has up to now, take one more if there is one, and go on when the
// first of them is done. What its relay has given up it lets go.
func (u *dayUnit) run(f *fleetDay, more *daySend) {
	pace := min(1, f.cores/float64(max(1, len(u.work)))) // of each
	if u.StartedAt > 0 {
		pace *= min(1, 0.5+0.5*float64(f.now-u.StartedAt)/(f.warm*second))
	}
	did := pace * float64(f.now-u.since) / second
	u.since, u.turn = f.now, u.turn+1
	u.work = slices.DeleteFunc(u.work, func(s *daySend) bool {
		if s.left -= did; s.left < 1e-3 {
			f.in(0, func() { s.by.ended(s, balancer.Succeeded) })
		}
		return s.ended || s.left < 1e-3
	})
	if more != nil {
		u.work = append(u.work, more)
	}
	first, turn := math.Inf(1), u.turn
	for _, s := range u.work {
		first = min(first, s.left)
	}
	if len(u.work) > 0 {
		f.in(max(1e-3, first/min(1, f.cores/float64(len(u.work)))), func() {
			if u.turn == turn {
				u.run(f, nil)
			}
		})
	}
}

func (n *dayRelay) ended(s *daySend, ending balancer.Outcome) {
	if s.ended || n.dead {
		return
	}
	s.ended = true
	s.to.busy--
	_, open := n.open[s.of.Request]
	if ending == balancer.Succeeded && open {
		n.f.result.Served++
		if taken := n.taken[s.of.Request]; n.f.now <= taken+ticksOf(0.5) {
			n.f.result.at(taken).InTime++
		}
		n.f.result.ByOp[s.of.Request.Class].Served++
		delete(n.open, s.of.Request)
	}
	n.OnOutcome(n.f.now, s.of, ending, n.f.now-s.at, ending == balancer.Succeeded || !open, nil)
}

// Reject promises that trying again is harmless.
func (n *dayRelay) Reject(c *balancer.Request, _ balancer.Tick) {
	if len(n.open[c]) > 0 && c.Class == atMostOnce {
		n.f.broken("a nack of what may have run")
	}
	n.Fail(c)
}

// Fail ends a command.
func (n *dayRelay) Fail(c *balancer.Request) {
	if _, open := n.open[c]; !open {
		n.f.broken("a second answer")
	}
	delete(n.open, c)
}

// CancelAttempt ends a delivery, which may have run.
func (n *dayRelay) CancelAttempt(d *balancer.Attempt) {
	for _, s := range n.open[d.Request] {
		if s.of == d {
			n.f.in(0, func() { n.ended(s, balancer.Cancelled) })
		}
	}
}

// SetTimer sets an alarm.
func (n *dayRelay) SetTimer(at balancer.Tick, tag uint32) {
	n.f.at(at, func() {
		if !n.dead {
			n.OnTimer(n.f.now, tag)
		}
	})
}

// CastVote: on these days nothing speaks against the build that all run.
func (n *dayRelay) CastVote(_ uint16, _ int, v balancer.Verdict) {
	n.f.broken(fmt.Sprintf("a vote %d on a good build", v))
}

// What a day has no use for.
func (n *dayRelay) Probe(*balancer.Backend)     {}
func (n *dayRelay) CloseIdle(*balancer.Backend) {}
func (n *dayRelay) SendGossip(uint32, []byte)   {}
func (n *dayRelay) Log(string, ...slog.Attr)    {}
func (n *dayRelay) WatchEndpoints(bool)         {}
func (n *dayRelay) FetchEndpoints()             {}

// list tells all relays of a unit, each a little later than the list lags.
func (f *fleetDay) list(i int) {
	is := f.units[i].Endpoint
	for _, n := range f.relays {
		f.in(f.late+0.2*f.rand.Float64(), func() {
			if n.dead {
				return
			}
			if n.told[i] = 0; is.State != balancer.Ready {
				n.told[i] = f.now
			}
			n.OnEndpoint(f.now, n.known[i], is)
			n.OnListSynced(f.now, true)
		})
	}
}

// restart starts a unit anew after so many seconds, cold, and silent until then.
func (f *fleetDay) restart(i int, after float64) {
	u := f.units[i]
	u.back = f.now + ticksOf(after)
	f.in(after, func() {
		u.StartedAt, u.busy, u.colds, u.fell = f.now, 0, nil, false
		f.list(i)
	})
}

// kill ends a relay at once; what it had taken is lost with it, and another starts in its place.
func (f *fleetDay) kill(n *dayRelay) {
	n.dead = true
	f.result.Taken -= len(n.open)
	for _, sends := range n.open {
		for _, s := range sends {
			if !s.ended {
				s.to.busy--
			}
		}
	}
	f.in(1, f.join)
}

// leave has a relay take nothing new; by the time that its commands have, it has answered all, and another starts.
func (f *fleetDay) leave(n *dayRelay) {
	n.leaving = true
	f.in(2.5, func() {
		if len(n.open) > 0 {
			f.broken("a command left by a relay that ends in order")
		}
		n.dead = true
		f.join()
	})
}
