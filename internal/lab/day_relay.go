package lab

import (
	"fmt"
	"log/slog"
	"slices"

	"silvercove/balancer"
)

const atMostOnce = 2 // index of the at-most-once class in the classes of Day.Run

// dayRelay is a simulated relay: a balancer and its host.
type dayRelay struct {
	*balancer.Balancer
	day           *fleetDay
	knownBackends []*balancer.Backend
	accepted      map[*balancer.Request]balancer.Tick
	attempts      map[*balancer.Request][]*dayAttempt
	dead          bool
	draining      bool
	drainSince    []balancer.Tick // by backend: when this relay was notified that the backend is not ready; 0 if the backend is ready as far as this relay knows
	rate          float64
}

// dayAttempt is an attempt of a request at a backend.
type dayAttempt struct {
	sentAt     balancer.Tick
	backend    *dayBackend
	attempt    *balancer.Attempt
	ended      bool
	mayHaveRun bool // the request was sent to the backend, which may have run it
	relay      *dayRelay
	workLeft   float64 // remaining work, in seconds of one core
}

// startRelay starts a relay and the requests of its clients.
func (f *fleetDay) startRelay() {
	n := &dayRelay{day: f, accepted: map[*balancer.Request]balancer.Tick{}, attempts: map[*balancer.Request][]*dayAttempt{}, drainSince: make([]balancer.Tick, len(f.backends)), rate: dayRate}
	host := f.wrapHost.apply(n, len(f.relays), func() balancer.Tick { return f.now })
	n.Balancer = balancer.New(host, f.now, f.rand.Uint64(), f.balancerSettings)
	f.relays = append(f.relays, n)
	for i, u := range f.backends {
		n.knownBackends = append(n.knownBackends, &balancer.Backend{ID: uint32(i)})
		n.OnEndpoint(f.now, n.knownBackends[i], u.Endpoint)
	}
	n.OnListSynced(f.now, true)
	n.OnReleaseStatus(f.now, balancer.ReleaseStatus{Version: stableVersion, Phase: balancer.Released, ExposureCap: 1, Outcome: balancer.Succeeded})
	f.after(f.rand.ExpFloat64()/dayRate, n.nextRequest)
}

// nextRequest sends a request of a client to the relay and schedules the next request.
func (n *dayRelay) nextRequest() {
	f := n.day
	if n.dead || n.draining {
		return
	}
	f.after(f.rand.ExpFloat64()/n.rate, n.nextRequest)
	c := &balancer.Request{Class: f.rand.IntN(3), Deadline: f.now + ticksOf(2)}
	n.attempts[c], n.accepted[c] = nil, f.now
	f.result.Accepted++
	f.result.second(f.now).Accepted++
	f.result.ByClass[c.Class].Accepted++
	f.after(2.05, func() {
		if _, open := n.attempts[c]; open && !n.dead {
			f.recordViolation("a request without an answer by its deadline")
		}
	})
	n.OnRequest(f.now, c)
}

// StartAttempt records a violation for each rule on attempts that the attempt breaks, and starts the attempt at the
// backend.
func (n *dayRelay) StartAttempt(d *balancer.Attempt, stopAt balancer.Tick) {
	f, u := n.day, n.day.backends[d.Backend.ID]
	for _, earlier := range n.attempts[d.Request] {
		if earlier.mayHaveRun && d.Request.Class == atMostOnce || !earlier.ended {
			f.recordViolation("an attempt while an earlier attempt runs, or a second attempt of an at-most-once request that may have run")
		}
	}
	if since := n.drainSince[d.Backend.ID]; since > 0 && f.now > since+ticksOf(1) {
		f.recordViolation("an attempt at a backend that has drained for more than 1 s")
	}
	if !n.BeginAttempt(f.now, d) {
		f.recordViolation("an attempt that BeginAttempt refuses")
	}
	work := 0.5 + f.rand.ExpFloat64()
	if u.StartedAt > 0 && f.now < u.StartedAt+ticksOf(warmUp) && !u.overloaded {
		f.result.WarmUpAttempts++
		f.result.second(f.now).WarmUpAttempts++
		u.warmUpAttempts = slices.DeleteFunc(append(u.warmUpAttempts, warmUpAttempt{f.now, work / 1.5, n.knownBackends[d.Backend.ID].StartedAt == u.StartedAt}),
			func(s warmUpAttempt) bool { return s.at < f.now-ticksOf(1) })
		warmUpFraction := 0.5 + 0.5*float64(f.now-u.StartedAt)/(warmUp*second)
		var violation bool
		if u.overloaded, violation = warmUpOverload(u.warmUpAttempts, 2*warmUpFraction*f.capacity); violation {
			f.recordViolation("a cold backend is overloaded")
		}
	}
	u.inFlight++
	latency := ticksOf(work * 0.03 * float64(4+u.inFlight) / 4)
	outcome := balancer.Succeeded
	switch p := f.rand.Float64(); {
	case f.now+latency > stopAt || f.now < u.silentUntil:
		latency, outcome = stopAt-f.now, balancer.TimedOut
	case p < f.resetShare:
		outcome = balancer.Reset
	case p < f.resetShare+f.errorShare:
		outcome = balancer.Errored
	}
	s := &dayAttempt{sentAt: f.now, backend: u, attempt: d, relay: n, mayHaveRun: true, workLeft: work / 1.5 * f.cores / f.capacity}
	n.attempts[d.Request] = append(n.attempts[d.Request], s)
	if f.cores > 0 {
		u.run(f, s)
		f.at(stopAt, func() { n.finish(s, balancer.TimedOut) })
		return
	}
	f.at(f.now+latency, func() { n.finish(s, outcome) })
}

// finish ends an attempt with an outcome, unless it has ended already or its relay was killed.
func (n *dayRelay) finish(s *dayAttempt, outcome balancer.Outcome) {
	if s.ended || n.dead {
		return
	}
	s.ended = true
	s.backend.inFlight--
	_, open := n.attempts[s.attempt.Request]
	if outcome == balancer.Succeeded && open {
		n.day.result.Served++
		if acceptedAt := n.accepted[s.attempt.Request]; n.day.now <= acceptedAt+ticksOf(0.5) {
			n.day.result.second(acceptedAt).OnTime++
		}
		n.day.result.ByClass[s.attempt.Request.Class].Served++
		delete(n.attempts, s.attempt.Request)
	}
	n.OnOutcome(n.day.now, s.attempt, outcome, n.day.now-s.sentAt, outcome == balancer.Succeeded || !open, nil)
}

// Reject ends a request. A rejection tells the client that a retry is safe. After an attempt of an at-most-once
// request, a rejection is a violation, because the backend may have run the request.
func (n *dayRelay) Reject(c *balancer.Request, _ balancer.Tick) {
	if len(n.attempts[c]) > 0 && c.Class == atMostOnce {
		n.day.recordViolation("a rejection of an at-most-once request that may have run")
	}
	n.Fail(c)
}

// Fail ends a request with an error. It records a violation if the request has already ended, because the client then
// gets a second answer.
func (n *dayRelay) Fail(c *balancer.Request) {
	if _, open := n.attempts[c]; !open {
		n.day.recordViolation("a second answer to a request")
	}
	delete(n.attempts, c)
}

// CancelAttempt ends an attempt as cancelled. The backend may have run the request.
func (n *dayRelay) CancelAttempt(d *balancer.Attempt) {
	for _, s := range n.attempts[d.Request] {
		if s.attempt == d {
			n.day.after(0, func() { n.finish(s, balancer.Cancelled) })
		}
	}
}

// SetTimer schedules a timer event of the balancer.
func (n *dayRelay) SetTimer(at balancer.Tick, tag uint32) {
	n.day.at(at, func() {
		if !n.dead {
			n.OnTimer(n.day.now, tag)
		}
	})
}

// CastVote records a violation: every backend runs a good version that is already released, so no relay has a reason to
// vote.
func (n *dayRelay) CastVote(_ uint16, _ int, v balancer.Verdict) {
	n.day.recordViolation(fmt.Sprintf("a vote %d on a good version", v))
}

// Probe does nothing: probes are not simulated.
func (n *dayRelay) Probe(*balancer.Backend) {}

// CloseIdle does nothing: connections are not simulated.
func (n *dayRelay) CloseIdle(*balancer.Backend) {}

// SendGossip does nothing: gossip between balancers is not simulated.
func (n *dayRelay) SendGossip(uint32, []byte) {}

// Log drops log lines.
func (n *dayRelay) Log(string, ...slog.Attr) {}

// WatchEndpoints does nothing: relays are notified of all changes without a call.
func (n *dayRelay) WatchEndpoints(bool) {}

// FetchEndpoints does nothing: relays are notified of all changes without a call.
func (n *dayRelay) FetchEndpoints() {}

// killRelay ends a relay at once. The relay's open requests are lost, and the result no longer counts them as accepted.
// A new relay starts 1 s later.
func (f *fleetDay) killRelay(n *dayRelay) {
	n.dead = true
	f.result.Accepted -= len(n.attempts)
	for _, attempts := range n.attempts {
		for _, s := range attempts {
			if !s.ended {
				s.backend.inFlight--
			}
		}
	}
	f.after(1, f.startRelay)
}

// drainRelay stops new requests to a relay. After 2.5 s, all of the relay's requests are past their deadline, and a
// request that is still open is a violation. The relay then ends and a new relay starts.
func (f *fleetDay) drainRelay(n *dayRelay) {
	n.draining = true
	f.after(2.5, func() {
		if len(n.attempts) > 0 {
			f.recordViolation("an open request at the end of a drained relay")
		}
		n.dead = true
		f.startRelay()
	})
}
