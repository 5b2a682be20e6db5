package fleetsim

import (
	"fmt"

	"silvercove/internal/overload"
	"silvercove/internal/replica"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// Of commands.
const (
	requestTimeout = 2 * tick.Second       // service target: each has its final answer by then
	retryInterval  = 50 * milli            // a relay tries a held command again
	attemptTimeout = 400 * milli           // a unit that does not answer so long is taken to be lost
	newsDelay      = 15 * milli            // by which a relay's news of places lag behind
	checkSlack     = 100 * milli           // of the check of answers in time
	serviceTime    = 3 * tick.Second / 100 // of work that a command is, at a unit
	sampledRelays  = 4                     // relays that one tells its news while none is pressed
)

// relay is one of them: it routes by the places as it has heard of them.
type relay struct {
	fleet       *Fleet
	number      int // of the fleet's relays
	endpoint    *endpoint
	incarnation uint64
	overload    *overload.Manager
	clockOffset tick.Tick
	downCount   int
	cutSince    tick.Tick // what has happened since it has not heard of; 0: it hears all
	inFlight    int       // commands at units
	shedding    bool
	reports     int
	member      *member // where members are played: its news go by them
}

func (r *relay) now() tick.Tick { return r.clockOffset + r.fleet.now }

func (f *Fleet) addRelay(name string, z *zone) {
	r := &relay{fleet: f, number: len(f.relays), endpoint: f.addEndpoint(name, z), incarnation: 1}
	r.overload = overload.NewManager(r.now(), f.seed+uint64(len(f.relays)), name, f.settings)
	f.relays = append(f.relays, r)
}

// report measures the relay, tells the others of it, and notes whether the keepers are heard.
func (r *relay) report() {
	f := r.fleet
	f.after(f.ReportInterval, r.report)
	if r.downCount > 0 {
		return
	}
	now := r.now()
	r.reports++
	room := 16 * float64(f.Nodes) / float64(f.Relays)
	r.overload.UpdatePressure(now, overload.Pressure{BackendUtilization: float64(r.inFlight) / room})
	pressed := float64(r.inFlight)/room > 0.5 || r.overload.AdmittedFraction() < 1
	if pressed {
		f.lastPressed = f.now
	}
	if r.member != nil {
		if err := r.member.table.Publish("overload", r.overload.LocalReport(now).Encode()); err != nil {
			f.checker.fail("news of %s: %v", r.endpoint.name, err)
		}
	}
	// While no relay is pressed for long, news change nothing but whether a relay is cut off: few are told then.
	some := f.relays
	if r.member != nil {
		some = nil
	} else if f.now-f.lastPressed > 10*tick.Second && f.now > 10*tick.Second {
		if some = r.sample(); len(some) == 0 {
			return
		}
	}
	told := r.overload.LocalReport(now)
	run := r.incarnation
	for _, o := range some {
		if o == r || o.downCount > 0 || f.isCut(r.endpoint, o.endpoint) {
			continue
		}
		o.overload.UpdatePeer(o.now(), overload.PeerUpdate{
			Name:        r.endpoint.name,
			Incarnation: run,
			Report:      told,
			Age:         10 * milli,
			State:       overload.PeerAlive,
		})
	}
	if sheds := r.overload.AdmittedFraction() < 0.99; sheds != r.shedding {
		r.shedding = sheds
		f.logEvent(testcluster.Event{Node: r.endpoint.name, Name: map[bool]string{true: "sheds", false: "admits"}[sheds],
			State: fmt.Sprintf("%.2f", r.overload.AdmittedFraction())})
	}
}

// sample are the relays that are told while no relay is pressed: each third time all of a few; of many some, which lie
// apart, as relays whose numbers follow one another tell at about the same time.
func (r *relay) sample() (some []*relay) {
	all := r.fleet.relays
	if len(all) <= 4*sampledRelays {
		if r.reports%3 != 0 {
			return nil
		}
		return all
	}
	for i := range sampledRelays {
		some = append(some, all[(r.number+1+r.reports+i*len(all)/sampledRelays)%len(all)])
	}
	return some
}

// updateCut brings up since when the relay hears nothing of the keepers.
func (r *relay) updateCut() {
	f := r.fleet
	switch l := f.cluster.leader; {
	case l == nil || f.isCut(l.controller.endpoint, r.endpoint) || f.isCut(r.endpoint, l.controller.endpoint):
		if r.cutSince == 0 {
			r.cutSince = f.now
		}
	default:
		r.cutSince = 0
	}
}

// route is the unit that owns an instance as far as the relay has heard.
func (r *relay) route(c *device) string {
	r.updateCut()
	at := r.fleet.now - newsDelay
	if r.cutSince != 0 {
		at = min(at, r.cutSince)
	}
	for i := len(c.owners) - 1; i >= 0; i-- {
		if c.owners[i].at <= at {
			return c.owners[i].node
		}
	}
	return c.owners[0].node
}

// request is one of a camera's, on its way through a relay.
type request struct {
	fleet          *Fleet
	device         *device
	relay          *relay
	id             string
	write          bool
	tries          int // times that its camera has asked for it
	deadline       tick.Tick
	minIndex       uint64 // effects that were acked when it began: it has to show them
	reportedLosses int    // of told losses, when it began
	final          bool
	mayHaveEffect  bool // a delivery of it may have an effect
	attempt        int
}

// pendingRequest is a command at a unit.
type pendingRequest struct {
	request     *request
	node        *edgeNode
	incarnation uint64
	respond     func(replica.Response)
}

// nextRequest begins the next command of the sample.
func (f *Fleet) nextRequest() {
	f.after(tick.Tick(f.rng.ExpFloat64()*float64(tick.Second)/f.RequestRate), f.nextRequest)
	tracked := min(len(f.devices), max(12, int(f.RequestRate)*4)) // so that one has many
	c := f.devices[f.rng.IntN(tracked)*7919%len(f.devices)]       // of all zones
	c.requests++
	cmd := &request{fleet: f, device: c, id: fmt.Sprintf("%s-%d", c.name, c.requests), write: f.rng.IntN(4) > 0}
	cmd.begin()
}

func (m *request) begin() {
	f := m.fleet
	m.deadline, m.final, m.mayHaveEffect = f.now+requestTimeout, false, false
	m.minIndex, m.reportedLosses = m.device.highestIndex, m.device.reportedLosses
	m.relay = f.relays[f.rng.IntN(len(f.relays))]
	m.tries++
	f.checker.Requests++
	f.after(requestTimeout+checkSlack, func() {
		if !m.final {
			f.checker.fail("command %s has no final answer in time", m.id)
		}
	})
	if m.relay.downCount > 0 {
		m.finish("nacked")
		return
	}
	if ok, _ := m.relay.overload.Admit(m.relay.now(), 0, m.device.weight, m.device.name); !ok {
		f.checker.Shed++
		m.finish("nacked")
		return
	}
	m.relay.overload.RecordFirstAttempt(m.relay.now())
	m.sendAttempt()
}

// sendAttempt tries to have a command carried out where its instance is held to run.
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
	hold := func() { f.after(retryInterval, m.sendAttempt) }
	name := m.relay.route(m.device)
	u := f.nodeByName[name]
	if u == nil || m.relay.downCount > 0 {
		hold()
		return
	}
	m.attempt++
	mine := m.attempt
	m.relay.inFlight++
	back := func() {
		if mine >= 0 {
			m.relay.inFlight--
			mine = -1
		}
	}
	f.send(m.relay.endpoint, u.endpoint, 300, func() {
		u := u.answering()
		if u.refusing > 0 {
			f.send(u.endpoint, m.relay.endpoint, 100, func() {
				if mine != m.attempt {
					return
				}
				back()
				m.attempt++
				m.relay.recordOutcome(u.name, false)
				f.after(retryInterval, m.sendAttempt)
			})
			return
		}
		run := u.incarnation
		u.deliver(run, func() {
			a := &replica.Request{ID: m.id, Instance: m.device.name, Write: m.write,
				Deadline: u.now() + tick.Tick(float64(m.deadline-f.now-attemptTimeout/4)*0.98)}
			s := &pendingRequest{request: m, node: u, incarnation: run}
			f.after(max(0, m.deadline-f.now)+tick.Tick(f.Lease*float64(tick.Second)/5)+checkSlack, func() {
				if u.requests[a] == s && u.incarnation == run && u.stalls == 0 && len(u.waiting) == 0 {
					f.checker.fail("%s has not answered %s in time", u.displayName, m.id)
				}
			})
			s.respond = func(ans replica.Response) {
				f.checker.onResponse(u, m, ans)
				f.send(u.endpoint, m.relay.endpoint, 200, func() {
					if mine != m.attempt {
						return // too late: the relay has given it up
					}
					back()
					m.onResponse(u, ans)
				})
			}
			u.requests[a] = s
			u.manager.OnRequest(u.now(), a)
		})
	})
	f.after(min(left-attemptTimeout/8, attemptTimeout), func() {
		if mine != m.attempt || m.final {
			back()
			return
		}
		back()
		m.attempt++ // what comes later is passed over
		m.mayHaveEffect = m.mayHaveEffect || m.write
		m.relay.recordOutcome(u.name, false)
		if m.relay.overload.AllowRetry(m.relay.now(), m.tries > 1) {
			f.checker.Retries++
			m.sendAttempt() // with the same id: an effect is not applied twice
			return
		}
		m.giveUp()
	})
}

// onResponse takes a unit's answer in.
func (m *request) onResponse(u *edgeNode, a replica.Response) {
	f := m.fleet
	if m.final {
		return
	}
	switch a.Outcome {
	case replica.Succeeded:
		m.relay.recordOutcome(u.name, true)
		m.relay.overload.RecordServiceTime(m.relay.now(), 0, serviceTime)
		m.finish("acked")
	case replica.Rejected:
		m.attempt++
		f.after(retryInterval, m.sendAttempt) // held until the news come
	case replica.TooLarge:
		m.finish("nacked")
	default:
		m.mayHaveEffect = m.mayHaveEffect || m.write
		m.giveUp()
	}
}

// recordOutcome takes how a command at a unit ended, and tells the leading keeper.
func (r *relay) recordOutcome(unit string, good bool) {
	f := r.fleet
	r.overload.RecordOutcome(r.now(), unit, good)
	if l := f.cluster.leader; f.VerifyClaims && l != nil && !f.isCut(r.endpoint, l.controller.endpoint) {
		l.verifier.RecordOutcome(l.now(), unit, good)
	}
}

// giveUp ends a command that can't be carried out in time.
func (m *request) giveUp() {
	if m.mayHaveEffect {
		m.finish("unknown")
		return
	}
	m.finish("nacked")
}

// finish is its one final answer.
func (m *request) finish(how string) {
	f := m.fleet
	if m.final {
		f.checker.fail("command %s has two final answers", m.id)
		return
	}
	m.final = true
	m.attempt++
	f.checker.countOutcome(how)
	if how != "acked" && m.write && m.tries < 4 && f.rng.IntN(2) == 0 {
		f.after(tick.Second/2+tick.Tick(f.rng.IntN(int(tick.Second))), func() {
			n := *m
			n.begin()
		})
	}
}
