package lab

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"silvercove/balancer"
	"silvercove/internal/tick"
)

// Overload holds the parameters of a simulation of relays that are overloaded by clients which retry. The relays use the
// packages balancer and overload themselves; backends are simulated with workers and queues.
type Overload struct {
	Relays, Backends  int
	Features          Features
	Load              float64 // requests before and after the trigger, in parts of the capacity of the backends
	LoadFactor        float64 // factor on Load during the trigger
	From, Duration    float64 // seconds: start and duration of the trigger
	Span              float64 // seconds that are simulated
	KillShare         float64 // share of the relays that are killed 2 s into the trigger, and restarted 1 s later
	FailingShare      float64 // share of the attempts that fail after their work during the trigger
	SickBackend       bool    // the first backend does not answer between Onset and Recovery
	Onset             float64 // seconds; if above 0, all connections exist from the start, as in a fleet that has run for long
	Recovery          float64 // seconds; 0: never
	SlowFactor        float64 // factor on the service time of the last backend during the trigger; 0: none
	FalseReports      string  // what each load report of the first relay falsely says: "bad" on six healthy backends, "good" on the sick one
	FirstRelayCut     bool    // the first relay's attempts reach no backend
	Split             float64 // seconds after which each half of the relays gets load reports of its own half only; 0: never
	LostReports       float64 // share of the load reports that are lost
	ReportDelay       float64 // seconds by which load reports are late
	NotReceivingShare float64 // share of the relays that send load reports, but get none
	Seed              uint64

	wrapHost hostWrapper
}

// Features selects the functions of package overload that are in use: shared shedding, the retry budget, the selection of
// probing relays, and the spreading of starts.
type Features struct{ Shed, Budget, Probes, Ramp bool }

// The features of a relay without a fleet, and all features.
var (
	WithoutFleet = Features{}
	AllFeatures  = Features{true, true, true, true}
)

// String returns the text of the features in tables.
func (p Features) String() string {
	switch p {
	case WithoutFleet:
		return "present relay"
	case AllFeatures:
		return "all"
	case Features{Budget: true, Probes: true, Ramp: true}:
		return "all but shared shedding"
	case Features{Shed: true}:
		return "shared shedding alone"
	case Features{Budget: true}:
		return "budget of repeats alone"
	case Features{Probes: true}:
		return "chosen probers alone"
	case Features{Ramp: true}:
		return "ramp alone"
	}
	return fmt.Sprintf("%+v", struct{ Shed, Budget, Probes, Ramp bool }(p))
}

// OverloadResult is the result of an overload.
type OverloadResult struct {
	Capacity               float64   // requests a second that the backends can serve
	Goodput                []float64 // requests that were answered in time, by half second
	Offered                []float64 // requests of clients, with their retries, by half second
	Requests               int       // requests of clients; a retry of a request is not counted again
	FirstAttempts          int       // first attempts of relays; each retry of a client has one too
	SentRequests, Attempts int       // requests of clients that had an attempt, and attempts
	ServedWeight           float64   // priority weight of the requests of the trigger that were answered in time, a second
	// AllOrNothingTenants is the share of the tenants of whose requests more than nine in ten or less than one in ten were
	// answered. It counts the requests of the trigger in the class of the highest priority weight, and only tenants with 20 or
	// more of them.
	AllOrNothingTenants float64
	Wasted              int   // attempts that a backend completed after their relay had stopped waiting
	SickAttempts        []int // attempts at the first backend, by half second
	WrongEjections      int   // times that a relay other than the first kept from a healthy backend because of load reports
	MaxListCalls        int   // most calls for the endpoint list in one second
	ListRefused         int   // refused calls for the endpoint list
	AnswerFaults        int   // requests that got no answer, or two answers
}

// AttemptsPerFirst returns the attempts per first attempt, that is, per request that a relay accepted.
func (r OverloadResult) AttemptsPerFirst() float64 {
	return float64(r.Attempts) / float64(max(1, r.FirstAttempts))
}

// AttemptsPerRequest returns the attempts per request of a client. It includes the attempts for the client's own retries.
func (r OverloadResult) AttemptsPerRequest() float64 {
	return float64(r.Attempts) / float64(max(1, r.SentRequests))
}

// MeanPerSecond returns the mean per second of a curve that has one value per half second, from one second to another.
func MeanPerSecond(curve []float64, from, to float64) float64 {
	sum, n := 0.0, 0
	for i := int(from * 2); i < min(len(curve), int(to*2)); i++ {
		sum, n = sum+curve[i], n+1
	}
	return 2 * sum / float64(max(1, n))
}

// RecoverySeconds returns the number of seconds from the trigger's end until the goodput of a second reaches 95% of the
// goodput before the trigger, less two standard deviations of random variation, and stays there. It is +Inf if that never
// happens.
func (r OverloadResult) RecoverySeconds(o Overload) float64 {
	before, end := MeanPerSecond(r.Goodput, 2, o.From), o.From+o.Duration
	recovered := math.Inf(1)
	for at := end; at+1 <= o.Span; at += 0.5 {
		if MeanPerSecond(r.Goodput, at, at+1) < 0.95*before-2*math.Sqrt(before) {
			recovered = math.Inf(1)
		} else if math.IsInf(recovered, 1) {
			recovered = at + 1 - end
		}
	}
	return recovered
}

const (
	workersPerBackend  = 2
	meanServiceSeconds = 0.04 // mean seconds that a worker spends on a request
	backendQueue       = 64   // requests
	clientTimeout      = 1.0  // seconds that a client waits for an answer
	clientMaxTries     = 5
	tenants            = 200
	connectWork        = 0.02 // additional seconds that a worker spends on a relay's first attempt at a backend
	listWork           = 0.1  // seconds that the list service spends on a call
	listQueue          = 5    // calls
	gossipGap          = 0.5  // seconds between two load reports of a relay
)

// overloadModel is the state of a simulated overload.
type overloadModel struct {
	Overload
	rand                          *rand.Rand
	now                           balancer.Tick
	queue                         events
	sequence                      int
	balancerSettings              balancer.Settings
	fleetSettings                 map[string]any
	backends                      []*overloadBackend
	relays                        []*overloadRelay
	nextID                        uint64
	listCalls                     int // calls in progress at the list service
	listCallsBySecond             map[int]int
	askedByTenant, servedByTenant [tenants]int
	result                        OverloadResult
}

// overloadBackend is a simulated backend with workers and a queue.
type overloadBackend struct {
	working int // busy workers
	queue   []*overloadAttempt
	isSick  bool
}

// clientRequest is a request of a client, over all its tries.
type clientRequest struct {
	tenant    int
	class     int
	relay     int
	tries     int
	reached   bool // the request had an attempt at a backend
	triggered bool // the request was first sent during the trigger, at least 2 s after the start of the trigger
}

// classWeights are the priority weights of the request classes.
var classWeights = []float64{1, 3, 9}

// Run simulates the overload. The same parameters always give the same result.
func (o Overload) Run() OverloadResult {
	ops := []RequestClass{{"read", 0.5, "redeliverable"}, {"edit", 0.3, "deduplicated"}, {"sell", 0.2, "at_most_once"}}
	m := &overloadModel{Overload: o, rand: rand.New(rand.NewPCG(o.Seed, 0x0ce)), now: ticksOf(100), listCallsBySecond: map[int]int{}}
	m.balancerSettings = (&model{Rollout: Rollout{Relays: o.Relays, Classes: ops, Stages: []Stage{{1, 1}}}}).settings()
	for i := range m.balancerSettings.Classes {
		m.balancerSettings.Classes[i].PriorityWeight, m.balancerSettings.Classes[i].Deadline = classWeights[i], clientTimeout
	}
	m.fleetSettings = map[string]any{"fleet.relays": float64(o.Relays), "fleet.repeats": 0.1, "fleet.floor": 0.05,
		"fleet.probes": 2.0, "fleet.ramp": 3.0}
	m.result.Capacity = float64(o.Backends) * workersPerBackend / meanServiceSeconds
	halfSeconds := int(2 * o.Span)
	m.result.Goodput, m.result.Offered, m.result.SickAttempts = make([]float64, halfSeconds), make([]float64, halfSeconds), make([]int, halfSeconds)
	for i := range o.Backends {
		m.backends = append(m.backends, &overloadBackend{isSick: o.SickBackend && i == 0})
	}
	for i := range o.Relays {
		n := &overloadRelay{model: m, number: i}
		m.relays = append(m.relays, n)
		n.start()
		n.beginServing()
		m.after(m.rand.Float64()*m.gossipInterval(), n.gossip)
	}
	m.after(m.nextArrival(), m.nextRequest)
	if o.KillShare > 0 {
		m.after(o.From+2, m.killRelays)
	}
	end := m.now + ticksOf(o.Span)
	for len(m.queue) > 0 && m.queue[0].at < end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	eligible, allOrNothing := 0, 0
	for c, asked := range m.askedByTenant {
		if asked >= 20 {
			eligible++
			if s := float64(m.servedByTenant[c]) / float64(asked); s < 0.1 || s > 0.9 {
				allOrNothing++
			}
		}
	}
	m.result.AllOrNothingTenants = float64(allOrNothing) / float64(max(1, eligible))
	for _, calls := range m.listCallsBySecond {
		m.result.MaxListCalls = max(m.result.MaxListCalls, calls)
	}
	return m.result
}

// after schedules an event after a number of seconds.
func (m *overloadModel) after(seconds float64, do func()) {
	m.sequence++
	heap.Push(&m.queue, event{m.now + max(0, ticksOf(seconds)), m.sequence, do})
}

// seconds returns the time since the start of the simulation.
func (m *overloadModel) seconds() float64 { return float64(m.now)/second - 100 }

// halfSecond returns the index of the present half second in the curves of the result.
func (m *overloadModel) halfSecond() int { return int(2 * m.seconds()) }

// triggered reports whether the trigger is active now.
func (m *overloadModel) triggered() bool {
	return m.seconds() >= m.From && m.seconds() < m.From+m.Duration
}

func (m *overloadModel) clock() tick.Tick { return tick.Tick(m.now) }

func (m *overloadModel) relayName(i int) string { return fmt.Sprint("relay-", i) }

// gossipInterval returns the seconds between two load reports of a relay. With more than 300 relays it grows with their
// number, so that the rate of load reports at each relay stays bounded.
func (m *overloadModel) gossipInterval() float64 { return gossipGap * max(1, float64(m.Relays)/300) }

// nextArrival draws the seconds until the next request.
func (m *overloadModel) nextArrival() float64 {
	rate := m.Load * m.result.Capacity
	if m.triggered() {
		rate *= m.LoadFactor
	}
	return m.rand.ExpFloat64() / rate
}

// nextRequest sends a request of a client and schedules the next one. The 200 tenants are of different size: the first ones
// send the most requests.
func (m *overloadModel) nextRequest() {
	m.after(m.nextArrival(), m.nextRequest)
	a := &clientRequest{tenant: int(tenants * math.Pow(m.rand.Float64(), 1.5)), relay: m.rand.IntN(m.Relays)}
	switch p := m.rand.Float64(); {
	case p > 0.8:
		a.class = 2
	case p > 0.5:
		a.class = 1
	}
	m.result.Requests++
	if a.triggered = m.triggered() && m.seconds() > m.From+2; a.triggered && a.class == 2 {
		m.askedByTenant[a.tenant]++
	}
	m.sendToRelay(a)
}

// sendToRelay sends a request of a client to its relay, or to another one if that relay does not serve.
func (m *overloadModel) sendToRelay(a *clientRequest) {
	m.result.Offered[m.halfSecond()]++
	a.tries++
	n := m.relays[a.relay]
	for range 2 * m.Relays {
		if n.serving {
			break
		}
		n = m.relays[m.rand.IntN(m.Relays)]
	}
	if !n.serving {
		m.retry(a, 0.2)
		return
	}
	if m.Features.Shed {
		if ok, retryAfter := n.overload.Admit(m.clock(), a.class, classWeights[a.class], fmt.Sprint("customer-", a.tenant)); !ok {
			m.retry(a, float64(retryAfter)/second)
			return
		}
	}
	m.nextID++
	c := &balancer.Request{ID: m.nextID, Class: a.class, Tenant: a.tenant, Deadline: m.now + ticksOf(clientTimeout), ClientRetry: a.tries > 1}
	n.requests[c] = a
	run := n.incarnation
	m.after(clientTimeout+0.05, func() {
		if n.incarnation == run && n.requests[c] != nil { // the request is still open although its client has given up
			m.result.AnswerFaults++
			delete(n.requests, c)
		}
	})
	n.OnRequest(m.now, c)
}

// retry has a client send a request again after a number of seconds, or after a random pause if the number is 0. A client sends a
// request clientMaxTries times at most.
func (m *overloadModel) retry(a *clientRequest, after float64) {
	if a.tries >= clientMaxTries {
		return
	}
	if after <= 0 {
		after = 0.05 + 0.2*m.rand.Float64()
	}
	m.after(after, func() { m.sendToRelay(a) })
}

// killRelays ends the share KillShare of the relays at once. Their clients notice that and try other relays.
func (m *overloadModel) killRelays() {
	for i, n := range m.relays {
		if i >= int(m.KillShare*float64(m.Relays)) {
			break
		}
		n.serving, n.alive = false, false
		for _, c := range n.openRequests() {
			m.retry(n.requests[c], 0)
		}
		n.requests = nil
		for _, s := range n.attempts {
			s.ended = true
		}
		m.after(1, func() {
			n.start()
			n.restart(n.incarnation)
		})
	}
}

// startWork has the free workers of a backend take requests from its queue. A backend also works on requests whose relay has
// stopped waiting, because the backend does not know that the relay has stopped.
func (m *overloadModel) startWork(u *overloadBackend) {
	for u.working < workersPerBackend && len(u.queue) > 0 {
		s := u.queue[0]
		u.queue = u.queue[1:]
		u.working++
		seconds := meanServiceSeconds * (0.5 + 0.5*m.rand.ExpFloat64())
		if s.newConnection {
			seconds += connectWork
		}
		if m.SlowFactor > 0 && m.triggered() && u == m.backends[len(m.backends)-1] {
			seconds *= m.SlowFactor
		}
		outcome := balancer.Succeeded
		if m.triggered() && m.rand.Float64() < m.FailingShare {
			outcome = balancer.Errored
		}
		m.after(seconds, func() {
			u.working--
			if s.ended {
				m.result.Wasted++
			}
			s.finish(outcome)
			m.startWork(u)
		})
	}
}

// countServed counts a client's request that succeeded. A nil request is not counted.
func (m *overloadModel) countServed(a *clientRequest) {
	half := m.halfSecond()
	if half >= len(m.result.Goodput) || a == nil {
		return
	}
	m.result.Goodput[half]++
	if !a.triggered {
		return
	}
	m.result.ServedWeight += classWeights[a.class] / m.Duration
	if a.class == 2 {
		m.servedByTenant[a.tenant]++
	}
}
