package lab

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"silvercove/balancer"
	"silvercove/internal/tick"
)

// Overload holds the parameters of a simulated overload: clients retry their requests and thereby keep relays
// overloaded. The simulated relays run the real code of the packages balancer and overload, and backends are simulated
// with workers and queues. The trigger is the span of Duration seconds from second From on. During the trigger the load
// is raised, or faults occur, as the fields say.
type Overload struct {
	Relays, Backends  int
	Features          Features
	Load              float64 // rate of new requests outside the trigger, as a share of the capacity of all backends
	LoadFactor        float64 // factor on Load during the trigger
	From, Duration    float64 // start and duration of the trigger, in seconds
	Span              float64 // simulated time in seconds
	KillShare         float64 // share of the relays that are killed 2 s after the start of the trigger; they restart 1 s later
	FailingShare      float64 // share of the attempts that fail during the trigger; the backend does the work of such an attempt and then answers with an error
	SickBackend       bool    // the first backend does not answer from Onset to Recovery
	Onset             float64 // second from which the first backend does not answer; if above 0, relays start with a connection to each backend, as in a fleet that has run for long
	Recovery          float64 // second from which the first backend answers again; 0: never
	SlowFactor        float64 // factor on the service time of the last backend during the trigger; 0: the service time is not changed
	FalseReports      string  // false content of the first relay's load reports: "bad" reports six healthy backends as sick, "good" reports the sick backend as healthy, "" changes nothing
	FirstRelayCut     bool    // the first relay's link is cut, so that its attempts reach no backend
	Split             float64 // seconds after which each half of the relays gets load reports from its own half only; 0: never
	LostReports       float64 // share of the load reports that are lost
	ReportDelay       float64 // delay of load reports in seconds
	NotReceivingShare float64 // share of the relays that send load reports but receive none
	Seed              uint64

	wrapHost hostWrapper
}

// Features selects the functions of package overload that relays use. Shed is load shedding that all relays do alike (see
// overload.Manager.UpdatePressure). Budget is the retry budget. Probes is the ejection of backends and the selection of
// the relays that probe ejected backends. Ramp spreads the start of relays over time after a common restart.
type Features struct{ Shed, Budget, Probes, Ramp bool }

// WithoutFleet has no features, like a relay that belongs to no fleet. AllFeatures has every feature.
var (
	WithoutFleet = Features{}
	AllFeatures  = Features{true, true, true, true}
)

// String returns the name of the features in tables.
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

// OverloadResult is the result of a simulated overload.
type OverloadResult struct {
	Capacity               float64   // requests a second that the backends can serve
	Goodput                []float64 // requests answered in time, per half second
	Offered                []float64 // requests that clients sent, including their retries, per half second
	Requests               int       // requests of clients; a retry by the client is not counted again
	FirstAttempts          int       // requests for which a relay started an attempt; a retry by the client counts as another request
	SentRequests, Attempts int       // SentRequests: requests of clients for which a relay started an attempt, without retries by the client; Attempts: all attempts of relays
	ServedWeight           float64   // sum of the priority weights of requests answered in time, per second of the trigger; only requests first sent during the trigger, more than 2 s after its start, count
	// AllOrNothingTenants is the share of the tenants that had more than nine in ten or less than one in ten of their
	// requests answered. Only requests of the class with the highest priority weight count, and only if they were first
	// sent during the trigger, more than 2 s after its start. Tenants with fewer than 20 requests that count are left out.
	AllOrNothingTenants float64
	Wasted              int   // attempts that a backend completed after the attempt had ended at its relay
	SickAttempts        []int // attempts per half second at the first backend, which can be sick (see SickBackend)
	WrongEjections      int   // number of times that a relay avoided a backend because the relay's overload manager had ejected that backend; leaves out the first backend, which can be sick (see SickBackend), and the first relay, which can be faulty (see FirstRelayCut and FalseReports)
	MaxListCalls        int   // maximum number of calls for the endpoint list in one second
	ListRefused         int   // number of calls for the endpoint list that were refused
	AnswerFaults        int   // requests that got no answer or a second answer
}

// AttemptsPerFirst returns the number of attempts per first attempt, that is, per request for which a relay started an
// attempt. A client's retry counts as a request of its own.
func (r OverloadResult) AttemptsPerFirst() float64 {
	return float64(r.Attempts) / float64(max(1, r.FirstAttempts))
}

// AttemptsPerRequest returns the number of attempts per request of a client. It includes the attempts for the client's
// retries.
func (r OverloadResult) AttemptsPerRequest() float64 {
	return float64(r.Attempts) / float64(max(1, r.SentRequests))
}

// MeanPerSecond returns the mean per second of a curve between the seconds from and to. The curve has one value per
// half second.
func MeanPerSecond(curve []float64, from, to float64) float64 {
	sum, n := 0.0, 0
	for i := int(from * 2); i < min(len(curve), int(to*2)); i++ {
		sum, n = sum+curve[i], n+1
	}
	return 2 * sum / float64(max(1, n))
}

// RecoverySeconds returns the time from the end of the trigger until the goodput has recovered for the rest of the
// simulation. The goodput of a second has recovered if it is at least 0.95 x m - 2 x sqrt(m). m is the mean goodput a
// second before the trigger, and sqrt(m) is one standard deviation of random variation. The result is +Inf if the
// goodput does not recover.
func (r OverloadResult) RecoverySeconds(o Overload) float64 {
	goodputBefore, end := MeanPerSecond(r.Goodput, 2, o.From), o.From+o.Duration
	recovered := math.Inf(1)
	for at := end; at+1 <= o.Span; at += 0.5 {
		if MeanPerSecond(r.Goodput, at, at+1) < 0.95*goodputBefore-2*math.Sqrt(goodputBefore) {
			recovered = math.Inf(1)
		} else if math.IsInf(recovered, 1) {
			recovered = at + 1 - end
		}
	}
	return recovered
}

const (
	workersPerBackend  = 2
	meanServiceSeconds = 0.04 // mean seconds for which a worker works on a request
	maxBackendQueue    = 64   // maximum number of requests that wait at a backend
	clientTimeout      = 1.0  // seconds for which a client waits for an answer
	clientMaxTries     = 5
	tenants            = 200
	connectSeconds     = 0.02 // additional seconds of a worker for an attempt that opens a connection: the first attempt of a relay at a backend
	listCallSeconds    = 0.1  // seconds for which the list service works on a call
	maxListQueue       = 5    // maximum number of calls in progress at the list service
	minGossipInterval  = 0.5  // minimum seconds between two load reports of a relay; applies to fleets of up to 300 relays
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
	listCalls                     int // calls in progress at the list service, which serves the endpoint list
	listCallsBySecond             map[int]int
	askedByTenant, servedByTenant [tenants]int
	result                        OverloadResult
}

// overloadBackend is a simulated backend with workers and a queue.
type overloadBackend struct {
	working int // number of busy workers
	queue   []*overloadAttempt
	isSick  bool
}

// clientRequest is a request of a client, with all its retries.
type clientRequest struct {
	tenant    int
	class     int
	relay     int
	tries     int
	reached   bool // a relay has started an attempt for the request
	triggered bool // the request was first sent while the trigger was active (see overloadModel.triggered) and more than 2 s after the trigger began
}

// classWeights are the priority weights of the request classes.
var classWeights = []float64{1, 3, 9}

// Run simulates the overload. The same parameters always give the same result.
func (o Overload) Run() OverloadResult {
	classes := []RequestClass{{"read", 0.5, "redeliverable"}, {"edit", 0.3, "deduplicated"}, {"sell", 0.2, "at_most_once"}}
	m := &overloadModel{Overload: o, rand: rand.New(rand.NewPCG(o.Seed, 0x0ce)), now: ticksOf(100), listCallsBySecond: map[int]int{}}
	m.balancerSettings = (&model{Rollout: Rollout{Relays: o.Relays, Classes: classes, Stages: []Stage{{1, 1}}}}).settings()
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

// seconds returns the time since the start of the simulation, at which m.now is 100 s.
func (m *overloadModel) seconds() float64 { return float64(m.now)/second - 100 }

// halfSecond returns the index of the present half second in the curves of the result.
func (m *overloadModel) halfSecond() int { return int(2 * m.seconds()) }

// triggered reports whether the trigger is active now.
func (m *overloadModel) triggered() bool {
	return m.seconds() >= m.From && m.seconds() < m.From+m.Duration
}

func (m *overloadModel) clock() tick.Tick { return tick.Tick(m.now) }

func (m *overloadModel) relayName(i int) string { return fmt.Sprint("relay-", i) }

// gossipInterval returns the seconds between two load reports of a relay. With more than 300 relays the interval grows
// with the number of relays, so that the rate at which each relay receives load reports stays bounded.
func (m *overloadModel) gossipInterval() float64 {
	return minGossipInterval * max(1, float64(m.Relays)/300)
}

// nextArrival draws the seconds until the next new request of a client.
func (m *overloadModel) nextArrival() float64 {
	rate := m.Load * m.result.Capacity
	if m.triggered() {
		rate *= m.LoadFactor
	}
	return m.rand.ExpFloat64() / rate
}

// nextRequest sends a new request of a client and schedules the next one. Tenants differ in size: the tenants
// with the lowest numbers send the most requests.
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

// sendToRelay sends a request of a client to the relay a.relay. If that relay does not accept requests, sendToRelay
// tries up to 2 x Relays random relays. If none of them accepts requests, the client retries after 0.2 s. With the
// feature Shed, the overload manager of the chosen relay may reject the request first.
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
	incarnation := n.incarnation
	m.after(clientTimeout+0.05, func() {
		if n.incarnation == incarnation && n.requests[c] != nil { // the relay has not answered although the client no longer waits
			m.result.AnswerFaults++
			delete(n.requests, c)
		}
	})
	n.OnRequest(m.now, c)
}

// retry has a client send a request again after a pause. The parameter after is the pause in seconds; if it is 0 or less,
// the pause is random. retry does nothing if the client has already sent the request clientMaxTries times.
func (m *overloadModel) retry(a *clientRequest, after float64) {
	if a.tries >= clientMaxTries {
		return
	}
	if after <= 0 {
		after = 0.05 + 0.2*m.rand.Float64()
	}
	m.after(after, func() { m.sendToRelay(a) })
}

// killRelays kills the share KillShare of the relays, those with the lowest numbers, all at the same time. The clients
// of their open requests retry at other relays. Each killed relay restarts 1 s later.
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

// startWork has the free workers of a backend take attempts from its queue. The backend also works on attempts that
// have ended at their relay, because the relay does not tell the backend that an attempt has ended.
func (m *overloadModel) startWork(u *overloadBackend) {
	for u.working < workersPerBackend && len(u.queue) > 0 {
		s := u.queue[0]
		u.queue = u.queue[1:]
		u.working++
		seconds := meanServiceSeconds * (0.5 + 0.5*m.rand.ExpFloat64())
		if s.newConnection {
			seconds += connectSeconds
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

// countServed counts a client's request that succeeded. It ignores a nil request.
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
