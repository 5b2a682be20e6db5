package fleetsim

import (
	"fmt"

	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// request is a request that a device sends to a relay.
type request struct {
	fleet          *Fleet
	device         *device
	relay          *relay
	id             string
	write          bool
	tries          int // number of times that the device sent the request
	deadline       tick.Tick
	minIndex       uint64 // highest acknowledged log index of the instance when the request began; the log index in the response must not be lower
	reportedLosses int    // device.reportedLosses when the request began; if it has changed, the response is not checked
	final          bool
	mayHaveEffect  bool // whether an attempt of the request may have had an effect
	attempt        int
}

// pendingRequest is a request that a node has not answered yet.
type pendingRequest struct {
	request     *request
	node        *edgeNode
	incarnation uint64
	respond     func(replica.Response)
}

// nextRequest sends a request of a random device and schedules the next one.
func (f *Fleet) nextRequest() {
	f.after(tick.Tick(f.rng.ExpFloat64()*float64(tick.Second)/f.RequestRate), f.nextRequest)
	tracked := min(len(f.devices), max(12, int(f.RequestRate)*4)) // requests go to a limited number of devices, so that each of these has many requests
	c := f.devices[f.rng.IntN(tracked)*7919%len(f.devices)]       // the factor 7919 spreads the devices that have requests over all zones
	c.requests++
	req := &request{fleet: f, device: c, id: fmt.Sprintf("%s-%d", c.name, c.requests), write: f.rng.IntN(4) > 0}
	req.begin()
}

// begin passes the request to a randomly chosen relay, which admits or rejects it.
func (m *request) begin() {
	f := m.fleet
	m.deadline, m.final, m.mayHaveEffect = f.now+requestTimeout, false, false
	m.minIndex, m.reportedLosses = m.device.highestIndex, m.device.reportedLosses
	m.relay = f.relays[f.rng.IntN(len(f.relays))]
	m.tries++
	f.checker.Requests++
	f.after(requestTimeout+checkSlack, func() {
		if !m.final {
			f.checker.fail("request %s has no final response within its deadline", m.id)
		}
	})
	if m.relay.downCount > 0 {
		m.end("nacked")
		return
	}
	if ok, _ := m.relay.overload.Admit(m.relay.now(), 0, m.device.weight, m.device.name); !ok {
		f.checker.Shed++
		m.end("nacked")
		return
	}
	m.relay.overload.RecordFirstAttempt(m.relay.now())
	m.sendAttempt()
}

// sendAttempt sends an attempt to the node that the relay believes to be the primary of the instance.
func (m *request) sendAttempt() {
	f := m.fleet
	if m.final {
		return
	}
	left := m.deadline - f.now
	if left <= attemptTimeout/4 {
		m.giveUp()
		return
	}
	u := f.nodeByName[m.relay.route(m.device)]
	if u == nil || m.relay.downCount > 0 {
		f.after(retryInterval, m.sendAttempt)
		return
	}
	m.attempt++
	a := &attempt{request: m, number: m.attempt}
	m.relay.inFlight++
	f.send(m.relay.endpoint, u.endpoint, 300, func() { a.arrive(u.activeProcess()) })
	f.after(min(left-attemptTimeout/8, attemptTimeout), func() { a.timeOut(u) })
}

// attempt is one attempt of a request at its relay.
type attempt struct {
	request *request
	number  int
	ended   bool // whether the attempt has ended and was removed from relay.inFlight
}

// isCurrent reports whether the relay still waits for the response to this attempt.
func (a *attempt) isCurrent() bool { return !a.ended && a.number == a.request.attempt }

// end ends the attempt and removes it from relay.inFlight.
func (a *attempt) end() {
	if !a.ended {
		a.ended = true
		a.request.relay.inFlight--
	}
}

// arrive handles the arrival of the attempt at a node, which refuses the connection or passes the request to its manager.
func (a *attempt) arrive(u *edgeNode) {
	m, f := a.request, a.request.fleet
	if u.refusing > 0 {
		f.send(u.endpoint, m.relay.endpoint, 100, func() {
			if !a.isCurrent() {
				return
			}
			a.end()
			m.attempt++
			m.relay.recordOutcome(u.name, false)
			f.after(retryInterval, m.sendAttempt)
		})
		return
	}
	incarnation := u.incarnation
	u.deliver(incarnation, func() {
		r := &replica.Request{ID: m.id, Instance: m.device.name, Write: m.write,
			Deadline: u.now() + tick.Tick(float64(m.deadline-f.now-attemptTimeout/4)*0.98)}
		s := &pendingRequest{request: m, node: u, incarnation: incarnation}
		f.after(max(0, m.deadline-f.now)+tick.Tick(f.Lease*float64(tick.Second)/5)+checkSlack, func() {
			if u.requests[r] == s && u.incarnation == incarnation && u.stalls == 0 && len(u.waiting) == 0 {
				f.checker.fail("%s has not answered request %s in time", u.displayName, m.id)
			}
		})
		s.respond = func(response replica.Response) {
			f.checker.onResponse(u, m, response)
			f.send(u.endpoint, m.relay.endpoint, 200, func() {
				if !a.isCurrent() {
					return // too late: the relay no longer waits for this attempt
				}
				a.end()
				m.onResponse(u, response)
			})
		}
		u.requests[r] = s
		u.manager.OnRequest(u.now(), r)
	})
}

// timeOut ends an attempt that has no response. The request is sent again if the retry budget allows it.
func (a *attempt) timeOut(u *edgeNode) {
	m := a.request
	waits := a.isCurrent() && !m.final
	a.end()
	if !waits {
		return
	}
	m.attempt++ // a response that arrives later is ignored
	m.mayHaveEffect = m.mayHaveEffect || m.write
	m.relay.recordOutcome(u.name, false)
	if m.relay.overload.AllowRetry(m.relay.now(), m.tries > 1) {
		m.fleet.checker.Retries++
		m.sendAttempt() // sends the same request ID, so that the effect is not applied twice
		return
	}
	m.giveUp()
}

// onResponse handles the response of a node at the relay.
func (m *request) onResponse(u *edgeNode, a replica.Response) {
	f := m.fleet
	if m.final {
		return
	}
	switch a.Outcome {
	case replica.Succeeded:
		m.relay.recordOutcome(u.name, true)
		m.relay.overload.RecordServiceTime(m.relay.now(), 0, serviceTime)
		m.end("acked")
	case replica.Rejected:
		m.attempt++
		f.after(retryInterval, m.sendAttempt) // the relay may know the new assignment when it retries
	case replica.TooLarge:
		m.end("nacked")
	default:
		m.mayHaveEffect = m.mayHaveEffect || m.write
		m.giveUp()
	}
}

// giveUp ends a request that gets no further attempt. The outcome is unknown if an attempt may have had an effect; otherwise
// the request is rejected.
func (m *request) giveUp() {
	if m.mayHaveEffect {
		m.end("unknown")
		return
	}
	m.end("nacked")
}

// end records the final outcome of the request. The device sends half of its unsuccessful writes again, but no write more than
// 4 times in all.
func (m *request) end(outcome string) {
	f := m.fleet
	if m.final {
		f.checker.fail("request %s has two final responses", m.id)
		return
	}
	m.final = true
	m.attempt++
	f.checker.countOutcome(outcome)
	if outcome != "acked" && m.write && m.tries < 4 && f.rng.IntN(2) == 0 {
		f.after(tick.Second/2+tick.Tick(f.rng.IntN(int(tick.Second))), func() {
			n := *m
			n.begin()
		})
	}
}
