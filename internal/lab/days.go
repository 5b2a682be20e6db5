package lab

import (
	"cmp"
	"container/heap"
	"math/rand/v2"

	"silvercove/balancer"
)

// Day is a simulated scenario of a fleet: the size of the fleet, and the events at its backends and relays from second
// 0 on.
type Day struct {
	Name             string
	plan             func(f *fleetDay) // function that schedules the events of the day
	relays, backends int               // size of the fleet; 0: dayRelays or dayBackends
	span             float64           // duration in seconds; 0: daySpan
	wrapHost         hostWrapper
}

// Days are the scenarios that a fleet must pass without a violation.
var Days = []Day{
	{Name: "calm", plan: func(f *fleetDay) {}},
	{Name: "roll: a tenth of the relays at a time drains while backends pause", plan: func(f *fleetDay) {
		f.pauseBackends(3)
		for i, n := range f.relays {
			f.after(float64(5+2*(i%10)), func() { f.drainRelay(n) })
		}
	}},
	{Name: "herd: seven in ten relays are killed at once while backends pause", plan: func(f *fleetDay) {
		f.pauseBackends(4)
		for i, n := range f.relays {
			if i%10 < 7 {
				f.after(10, func() { f.killRelay(n) })
			}
		}
	}},
	{Name: "zone: a third of the backends is lost for 5 s and returns cold", plan: func(f *fleetDay) {
		for i := 0; i < len(f.backends); i += 3 {
			f.after(8, func() { f.restartBackend(i, 5) })
		}
	}},
	{Name: "split: a fifth of the backends stops answering, lists are late, connections break", plan: func(f *fleetDay) {
		f.listDelay = 3
		f.after(8, func() {
			f.resetShare = 0.05
			for i := 0; i < len(f.backends); i += 5 {
				f.backends[i].silentUntil = f.now + ticksOf(6)
			}
			for i := 1; i < len(f.backends); i += 10 {
				f.backends[i].State = balancer.Draining
				f.announce(i)
			}
		})
	}},
	{Name: "join: a third of the backends pauses, backends answer errors", plan: func(f *fleetDay) {
		f.pauseBackends(3)
		f.errorShare = 0.03
	}},
}

// FullSizeDay has the largest fleet of all days and is the most likely to overload cold backends. The request rate of a
// relay is between about a quarter of the mean rate of all relays and about three times that mean. A fifth of the
// backends restarts and is cold. Half a second later the other backends stop answering for 3 s, so that all relays turn
// to the few cold backends.
var FullSizeDay = Day{Name: "whole", relays: 300, backends: 150, plan: func(f *fleetDay) {
	for i, n := range f.relays {
		n.rate = dayRate * []float64{0.3, 0.5, 0.7, 1, 4}[i%5] / 1.3
	}
	for i := range f.backends {
		if i%5 > 0 {
			f.after(8.5, func() { f.backends[i].silentUntil = f.now + ticksOf(3) })
		} else {
			f.after(8, func() { f.restartBackend(i, 0.1) })
		}
	}
}}

// ReleaseDay is the release of a good version to the whole fleet after a third of the backends has run it. The other
// two thirds are replaced at once and are cold. Each backend shares its cores among its attempts in progress. A
// replaced backend is warm after 1.5 s, although the settings of the relays say 4 s.
var ReleaseDay = Day{Name: "release", relays: 120, backends: 60, span: 11, plan: func(f *fleetDay) {
	f.cores, f.capacity, f.warmUp = 3, 28, 1.5
	for _, n := range f.relays {
		n.rate = 0.62 * f.capacity * float64(len(f.backends)) / float64(len(f.relays))
	}
	for i := range f.backends {
		if i%3 > 0 {
			f.after(6, func() { f.restartBackend(i, 0) })
		}
	}
}}

// DayResult is the result of a day. Violations holds, by rule, the number of violations at all relays together.
type DayResult struct {
	Accepted, Served int
	Seconds          []daySecond
	ByClass          [3]struct{ Accepted, Served int }
	Violations       map[string]int
	WarmUpAttempts   int // attempts at cold backends
}

// daySecond counts the requests that relays accepted in a second, how many of these requests were answered within the
// latency objective, and the attempts at cold backends.
type daySecond struct{ Accepted, OnTime, WarmUpAttempts int }

// second returns the counts of the second that contains the time t. The simulation starts at 100 s.
func (r *DayResult) second(t balancer.Tick) *daySecond {
	return &r.Seconds[(t-ticksOf(100))/balancer.Second]
}

// Share returns the share of the accepted requests that were served. Requests that were lost with a killed relay do not
// count as accepted.
func (r DayResult) Share() float64 { return float64(r.Served) / float64(max(1, r.Accepted)) }

const (
	dayRelays   = 60
	dayBackends = 30
	dayRate     = 3.0  // requests a second at one relay
	dayCapacity = 10   // requests a second that a warm backend can serve; on average, six a second arrive at each backend
	daySpan     = 30.0 // duration of a day in seconds
)

// fleetDay is the state of a simulated day: its backends, its relays and its queue of events.
type fleetDay struct {
	rand             *rand.Rand
	now              balancer.Tick
	queue            events
	sequence         int
	balancerSettings balancer.Settings
	backends         []*dayBackend
	relays           []*dayRelay
	result           DayResult
	resetShare       float64 // share of the attempts whose connection is reset after the request was sent
	errorShare       float64 // share of the attempts that a backend answers with an error
	listDelay        float64 // additional delay in seconds until relays are notified of a change of the endpoint list
	capacity         float64 // requests a second that a warm backend can serve
	wrapHost         hostWrapper
	cores            float64 // cores of a backend, shared among its attempts in progress; 0: the latency of an attempt is drawn when the attempt starts
	warmUp           float64 // seconds from a backend's start until that backend is warm; used only if cores is above 0
}

// Run simulates a day. The same day with the same seed always gives the same result.
func (d Day) Run(seed uint64) DayResult {
	classes := []RequestClass{{"read", 0.4, "redeliverable"}, {"edit", 0.3, "deduplicated"}, {"sell", 0.3, "at_most_once"}}
	m := model{Rollout: Rollout{Relays: cmp.Or(d.relays, dayRelays), Classes: classes, Stages: []Stage{{1, 1}}}}
	f := &fleetDay{wrapHost: d.wrapHost, capacity: dayCapacity, rand: rand.New(rand.NewPCG(seed, 7)), now: ticksOf(100), balancerSettings: m.settings()}
	f.result.Violations, f.result.Seconds = map[string]int{}, make([]daySecond, int(daySpan)+3)
	for i := range cmp.Or(d.backends, dayBackends) {
		f.backends = append(f.backends, &dayBackend{Endpoint: balancer.Endpoint{Zone: i % 3, State: balancer.Ready, Version: stableVersion}})
	}
	for range cmp.Or(d.relays, dayRelays) {
		f.startRelay()
	}
	d.plan(f)
	end := f.now + ticksOf(cmp.Or(d.span, daySpan))
	f.run(end)
	for _, n := range f.relays {
		n.draining = true
	}
	f.run(end + ticksOf(3)) // 3 s after the end, every accepted request is past its deadline
	return f.result
}

// run handles the events that are due by the time until.
func (f *fleetDay) run(until balancer.Tick) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
}

// at schedules an event for the time t, or for now if t is past.
func (f *fleetDay) at(t balancer.Tick, do func()) {
	f.sequence++
	heap.Push(&f.queue, event{max(t, f.now), f.sequence, do})
}

// after schedules an event after a number of seconds.
func (f *fleetDay) after(seconds float64, do func()) { f.at(f.now+ticksOf(seconds), do) }

// pauseBackends makes every backend whose index is a multiple of step unresponsive for 1 s, six times. The pauses start
// every 3 s, from second 5 on.
func (f *fleetDay) pauseBackends(step int) {
	for i := 0; i < len(f.backends); i += step {
		for s := range 6 {
			f.after(float64(5+3*s), func() { f.backends[i].silentUntil = f.now + ticksOf(1) })
		}
	}
}

// recordViolation counts a broken rule.
func (f *fleetDay) recordViolation(rule string) { f.result.Violations[rule]++ }

// announce notifies each relay of the state of backend i, after listDelay plus a random delay of up to 0.2 s.
func (f *fleetDay) announce(i int) {
	endpoint := f.backends[i].Endpoint
	for _, n := range f.relays {
		f.after(f.listDelay+0.2*f.rand.Float64(), func() {
			if n.dead {
				return
			}
			if n.drainSince[i] = 0; endpoint.State != balancer.Ready {
				n.drainSince[i] = f.now
			}
			n.OnEndpoint(f.now, n.knownBackends[i], endpoint)
			n.OnListSynced(f.now, true)
		})
	}
}

// restartBackend restarts backend i. The backend does not answer for the given number of seconds. It is cold when it
// answers again.
func (f *fleetDay) restartBackend(i int, after float64) {
	u := f.backends[i]
	u.silentUntil = f.now + ticksOf(after)
	f.after(after, func() {
		u.StartedAt, u.inFlight, u.warmUpAttempts, u.overloaded = f.now, 0, nil, false
		f.announce(i)
	})
}
