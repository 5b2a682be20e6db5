package lab

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/balancer"
	"silvercove/internal/overload"
	"silvercove/internal/tick"
)

// overloadRelay is a simulated relay: a balancer, the balancer's host and the relay's overload manager.
type overloadRelay struct {
	*balancer.Balancer
	model         *overloadModel
	number        int
	incarnation   uint64
	overload      *overload.Manager
	serving       bool // the relay accepts requests
	alive         bool // the relay's process runs
	knownBackends []*balancer.Backend
	requests      map[*balancer.Request]*clientRequest
	attempts      map[*balancer.Attempt]*overloadAttempt
	connected     []bool // by backend: the relay has opened a connection to the backend
}

// overloadAttempt is an attempt of a request at a backend.
type overloadAttempt struct {
	attempt       *balancer.Attempt
	relay         *overloadRelay
	incarnation   uint64
	sentAt        balancer.Tick
	ended         bool
	newConnection bool // the attempt opens a new connection
}

// start starts the process of a relay, without state from an earlier run. The relay accepts requests only after a call
// of beginServing.
func (n *overloadRelay) start() {
	n.incarnation++
	n.alive = true
	n.overload = overload.NewManager(n.model.clock(), n.model.rand.Uint64(), n.model.relayName(n.number), n.model.fleetSettings)
	n.requests, n.attempts = map[*balancer.Request]*clientRequest{}, map[*balancer.Attempt]*overloadAttempt{}
	n.connected = make([]bool, len(n.model.backends))
	for i := range n.connected {
		n.connected[i] = n.model.Onset > 0
	}
	n.updatePressure(n.incarnation)
}

// beginServing gives the relay the endpoint list. The relay then accepts requests.
func (n *overloadRelay) beginServing() {
	n.knownBackends = nil
	host := n.model.wrapHost.apply(n, n.number, func() balancer.Tick { return n.model.now })
	n.Balancer = balancer.New(host, n.model.now, n.model.rand.Uint64(), n.model.balancerSettings)
	for i := range n.model.backends {
		n.knownBackends = append(n.knownBackends, &balancer.Backend{ID: uint32(i)})
		n.OnEndpoint(n.model.now, n.knownBackends[i], balancer.Endpoint{Zone: i % 3, State: balancer.Ready, Version: stableVersion})
	}
	n.OnListSynced(n.model.now, true)
	n.OnReleaseStatus(n.model.now, balancer.ReleaseStatus{Version: stableVersion, Phase: balancer.Released, ExposureCap: 1, Outcome: balancer.Succeeded})
	n.serving = true
}

// updatePressure passes the load that the relay measures to the overload manager, ten times a second.
func (n *overloadRelay) updatePressure(incarnation uint64) {
	if n.incarnation != incarnation || !n.alive {
		return
	}
	if n.serving {
		n.overload.UpdatePressure(n.model.clock(), overload.Pressure{BackendUtilization: n.Load()})
	}
	n.model.after(0.1, func() { n.updatePressure(incarnation) })
}

// gossip delivers a load report of the relay to the other relays in its encoded form, with the simulated loss and
// delay. From second Split on, if Split is above 0, a report reaches only the relays of the same half: those with even
// numbers or those with odd numbers.
func (n *overloadRelay) gossip() {
	m := n.model
	m.after(m.gossipInterval(), n.gossip)
	state, alive := overload.PeerAlive, n.alive
	if !alive {
		state = overload.PeerDead
	}
	report, incarnation := overload.Report{}, n.incarnation
	if alive {
		report = n.overload.LocalReport(m.clock())
		n.falsify(&report)
		report, _ = overload.DecodeReport(report.Encode())
	}
	send := func() {
		for _, o := range m.relays {
			switch {
			case o == n || !o.alive, o.number < int(m.NotReceivingShare*float64(m.Relays)), m.LostReports > 0 && m.rand.Float64() < m.LostReports:
			case m.Split > 0 && m.seconds() > m.Split && (o.number+n.number)%2 == 1:
			default:
				o.overload.UpdatePeer(m.clock(), overload.PeerUpdate{
					Name:        m.relayName(n.number),
					Incarnation: incarnation,
					Report:      report,
					Age:         tick.Tick(m.ReportDelay * second),
					State:       state,
				})
			}
		}
	}
	if m.ReportDelay > 0 {
		m.after(m.ReportDelay, send)
		return
	}
	send()
}

// falsify replaces the verdicts and the evidence in a load report of the first relay according to FalseReports.
func (n *overloadRelay) falsify(report *overload.Report) {
	hash := func(unit int) uint64 { return xxhash.Sum64String(fmt.Sprint("unit-", unit)) }
	switch {
	case n.number != 0 || n.model.FalseReports == "":
	case n.model.FalseReports == "good":
		report.Evidence = []overload.Evidence{{Backend: hash(0), Successes: 2}}
		report.Verdicts = []overload.Verdict{{Backend: hash(0), Healthy: true}}
	default:
		report.Evidence, report.Verdicts = nil, nil
		for i := range 6 {
			report.Evidence = append(report.Evidence, overload.Evidence{Backend: hash(i + 1), Failures: 2})
			report.Verdicts = append(report.Verdicts, overload.Verdict{Backend: hash(i + 1)})
		}
	}
}

// openRequests returns the open requests in the order of their arrival. A fixed order is needed for the same seed to
// give the same result.
func (n *overloadRelay) openRequests() []*balancer.Request {
	all := slices.Collect(maps.Keys(n.requests))
	slices.SortFunc(all, func(a, b *balancer.Request) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// restart fetches the endpoint list, after which the relay accepts requests. With the feature Ramp, the relay first
// waits for its startup delay.
func (n *overloadRelay) restart(incarnation uint64) {
	m := n.model
	wait := 0.0
	if m.Features.Ramp {
		wait = float64(n.overload.StartupDelay(m.clock(), overload.StepListEndpoints)) / second
	}
	m.after(wait, func() { n.callList(incarnation, 0.5) })
}

// callList calls the list service for the endpoint list. The list service refuses calls while its queue is full. The
// relay repeats a refused call after a random pause whose mean is pause seconds, and doubles pause each time.
func (n *overloadRelay) callList(incarnation uint64, pause float64) {
	m := n.model
	m.listCallsBySecond[int(m.seconds())]++
	if m.listCalls >= maxListQueue {
		m.result.ListRefused++
		m.after(pause*(0.5+m.rand.Float64()), func() { n.callList(incarnation, 2*pause) })
		return
	}
	m.listCalls++
	m.after(float64(m.listCalls)*listCallSeconds, func() {
		m.listCalls--
		n.beginServing()
	})
}

// StartAttempt starts an attempt at a backend. The attempt gets no answer if the backend is sick at that time or if the
// relay's link is cut.
func (n *overloadRelay) StartAttempt(d *balancer.Attempt, stopAt balancer.Tick) {
	m, u := n.model, n.model.backends[d.Backend.ID]
	a := n.requests[d.Request]
	if !a.reached {
		a.reached = true
		m.result.SentRequests++
	}
	if d.Number == 0 {
		m.result.FirstAttempts++
	}
	if d.Number == 0 && !d.Request.ClientRetry {
		n.overload.RecordFirstAttempt(m.clock())
	}
	m.result.Attempts++
	s := &overloadAttempt{attempt: d, relay: n, incarnation: n.incarnation, sentAt: m.now, newConnection: !n.connected[d.Backend.ID]}
	n.connected[d.Backend.ID] = true
	n.attempts[d] = s
	m.after(float64(stopAt-m.now)/second, func() { s.finish(balancer.TimedOut) })
	if u == m.backends[0] {
		m.result.SickAttempts[m.halfSecond()]++
	}
	switch {
	case u.isSick && m.seconds() >= m.Onset && (m.Recovery == 0 || m.seconds() < m.Recovery), m.FirstRelayCut && n.number == 0:
	case len(u.queue) >= maxBackendQueue:
		m.after(0.001, func() { s.finish(balancer.AtCapacity) })
	default:
		u.queue = append(u.queue, s)
		m.startWork(u)
	}
}

// finish reports the outcome of an attempt to its relay, unless the attempt has ended already or the relay has stopped
// or restarted.
func (s *overloadAttempt) finish(outcome balancer.Outcome) {
	n, m := s.relay, s.relay.model
	if s.ended || n.incarnation != s.incarnation || !n.serving {
		return
	}
	s.ended = true
	delete(n.attempts, s.attempt)
	a, open := n.requests[s.attempt.Request]
	if outcome == balancer.Succeeded && open {
		delete(n.requests, s.attempt.Request)
		m.countServed(a)
	}
	if outcome <= balancer.Reset && outcome != balancer.AtCapacity {
		if outcome == balancer.Succeeded {
			n.overload.RecordServiceTime(m.clock(), s.attempt.Request.Class, tick.Tick(m.now-s.sentAt))
		}
		n.overload.RecordOutcome(m.clock(), fmt.Sprint("unit-", s.attempt.Backend.ID), outcome == balancer.Succeeded)
	}
	n.OnOutcome(m.now, s.attempt, outcome, m.now-s.sentAt, outcome == balancer.Succeeded || !open, nil)
}

// Reject ends a request that can be retried safely. The client retries after retryAfter.
func (n *overloadRelay) Reject(c *balancer.Request, retryAfter balancer.Tick) {
	n.endRequest(c, float64(retryAfter)/second)
}

// Fail ends a request with an error. The client retries after a random pause.
func (n *overloadRelay) Fail(c *balancer.Request) { n.endRequest(c, 0) }

// endRequest ends a request without success. The client retries after retryAfter seconds. If retryAfter is 0, the client
// retries after a random pause.
func (n *overloadRelay) endRequest(c *balancer.Request, retryAfter float64) {
	a, open := n.requests[c]
	if !open {
		n.model.result.AnswerFaults++
		return
	}
	delete(n.requests, c)
	n.model.retry(a, retryAfter)
}

// CancelAttempt ends an attempt as cancelled. The backend still does the work of the attempt.
func (n *overloadRelay) CancelAttempt(d *balancer.Attempt) {
	if s := n.attempts[d]; s != nil {
		n.model.after(0, func() { s.finish(balancer.Cancelled) })
	}
}

// SetTimer schedules a timer event of the balancer.
func (n *overloadRelay) SetTimer(at balancer.Tick, tag uint32) {
	incarnation := n.incarnation
	n.model.after(float64(at-n.model.now)/second, func() {
		if n.incarnation == incarnation && n.serving {
			n.OnTimer(n.model.now, tag)
		}
	})
}

// AllowRetry reports whether the overload manager allows a retry. Without the feature Budget every retry is allowed.
func (n *overloadRelay) AllowRetry(c *balancer.Request) bool {
	return !n.model.Features.Budget || n.overload.AllowRetry(n.model.clock(), c.ClientRetry)
}

// IsEjected reports whether the overload manager has ejected a backend. Without the feature Probes no backend is
// ejected.
func (n *overloadRelay) IsEjected(u *balancer.Backend) bool {
	if !n.model.Features.Probes || !n.overload.IsEjected(n.model.clock(), fmt.Sprint("unit-", u.ID)) {
		return false
	}
	if u.ID != 0 && n.number != 0 {
		n.model.result.WrongEjections++
	}
	return true
}

// AllowProbe reports whether the overload manager allows a probe of a backend. Without the feature Probes every probe
// is allowed.
func (n *overloadRelay) AllowProbe(u *balancer.Backend) bool {
	return !n.model.Features.Probes || n.overload.AllowProbe(n.model.clock(), fmt.Sprint("unit-", u.ID))
}

// Probe does nothing: probe requests are not simulated.
func (n *overloadRelay) Probe(*balancer.Backend) {}

// CloseIdle does nothing: connections are not simulated.
func (n *overloadRelay) CloseIdle(*balancer.Backend) {}

// SendGossip does nothing: gossip between balancers is not simulated.
func (n *overloadRelay) SendGossip(uint32, []byte) {}

// Log drops log lines.
func (n *overloadRelay) Log(string, ...slog.Attr) {}

// WatchEndpoints does nothing: the endpoint list does not change in this simulation.
func (n *overloadRelay) WatchEndpoints(bool) {}

// FetchEndpoints does nothing: the endpoint list does not change in this simulation.
func (n *overloadRelay) FetchEndpoints() {}

// CastVote does nothing: no version is rolled out in this simulation.
func (n *overloadRelay) CastVote(uint16, int, balancer.Verdict) {}
