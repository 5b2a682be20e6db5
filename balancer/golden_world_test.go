package balancer_test

import (
	"container/heap"
	"log/slog"
	"math/rand/v2"

	"silvercove/balancer"
	"silvercove/internal/standin/goldentrace"
)

// simulation holds the relays and backends of one run.
type simulation struct {
	scenario
	trace          *goldentrace.Trace
	rand           *rand.Rand
	now            balancer.Tick
	queue          goldenQueue
	eventCount     int
	backends       []*backend
	relays         []*simulatedRelay
	requests       uint64
	loadMultiple   float64 // multiple of the usual request rate
	slowMultiple   float64 // multiple of the usual duration of any attempt
	silentShare    float64 // share of the attempts at the new version that are never answered
	wrongShare     float64 // share of the new version's answers that are reported as wrong
	ejectedByFleet *backend
	instancesAt    int // index of the backend that runs the instances of pinned requests; -1 for none

	version            uint16
	stage              int
	phase              balancer.RolloutPhase
	stageSince         balancer.Tick
	canaryErrors       float64 // additional error share of the new version
	canarySlowness     float64 // multiple of the usual duration at the new version
	metrics            map[uint16][4][2]int
	promotionScheduled bool
}

type backend struct {
	number                                  int
	endpoint                                balancer.Endpoint
	inFlight                                int
	silentUntil                             balancer.Tick
	errors, resets, atCapacity, unreachable float64
}

// simulatedRelay is one relay and its host.
type simulatedRelay struct {
	*simulation
	number        int
	incarnation   int
	balancer      *balancer.Balancer
	knownBackends []*balancer.Backend
	unanswered    map[*balancer.Request]bool
	outstanding   map[*balancer.Attempt]bool
	retryQueries  int
}

// fleetRelay is a host that also implements the methods of fleetPolicy.
type fleetRelay struct{ *simulatedRelay }

func (n fleetRelay) AllowRetry(*balancer.Request) bool {
	n.retryQueries++
	return n.retryQueries%5 != 0
}
func (n fleetRelay) IsEjected(backend *balancer.Backend) bool {
	return n.ejectedByFleet != nil && int(backend.ID) == n.ejectedByFleet.number
}
func (n fleetRelay) AllowProbe(backend *balancer.Backend) bool {
	return (int(backend.ID)+n.number)%3 != 0
}

type goldenEvent struct {
	at       balancer.Tick
	sequence int
	do       func()
}

type goldenQueue []goldenEvent

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(x any)   { *q = append(*q, x.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s scenario) play(seed uint64) *goldentrace.Trace {
	g := &simulation{scenario: s, trace: goldentrace.New(), rand: rand.New(rand.NewPCG(seed, 0x901d)), now: goldenStart,
		loadMultiple: 1, slowMultiple: 1, canarySlowness: 1,
		version: 1, phase: balancer.Released, metrics: map[uint16][4][2]int{}}
	for i := range s.backendCount {
		g.backends = append(g.backends, &backend{number: i, errors: 0.01,
			endpoint: balancer.Endpoint{Zone: i % 3, Cell: i % 5, State: balancer.Ready, NominalWeight: 1, Version: 1}})
	}
	for i := range s.relayCount {
		n := &simulatedRelay{simulation: g, number: i}
		g.relays = append(g.relays, n)
		n.start()
		g.after(balancer.Tick(g.rand.IntN(1000)), n.generateRequests)
	}
	g.every(balancer.Second/5, g.recordLoads)
	s.schedule(g)
	end := g.now + goldenDuration
	for len(g.queue) > 0 && g.queue[0].at < end {
		e := heap.Pop(&g.queue).(goldenEvent)
		g.now = e.at
		e.do()
	}
	return g.trace
}

func (g *simulation) after(span balancer.Tick, do func()) {
	g.eventCount++
	heap.Push(&g.queue, goldenEvent{g.now + max(0, span), g.eventCount, do})
}

func (g *simulation) afterSeconds(seconds float64, do func()) {
	g.after(balancer.Tick(seconds*float64(balancer.Second)), do)
}

func (g *simulation) every(span balancer.Tick, do func()) {
	g.after(span, func() { do(); g.every(span, do) })
}

// recordLoads records the load that each relay reports.
func (g *simulation) recordLoads() {
	for _, n := range g.relays {
		g.trace.Note(n.number, goldentrace.Float(n.balancer.Load()))
	}
}

// start starts the relay without any prior state.
func (n *simulatedRelay) start() {
	g := n.simulation
	n.incarnation++
	n.unanswered, n.outstanding = map[*balancer.Request]bool{}, map[*balancer.Attempt]bool{}
	n.knownBackends = nil
	var host balancer.Host = n
	if g.fleet {
		host = fleetRelay{n}
	}
	host = g.trace.WrapHost(host, n.number, func() balancer.Tick { return g.now })
	n.balancer = balancer.New(host, g.now, g.rand.Uint64(), goldenSettings(g.relayCount, g.changeSettings))
	for i, backend := range g.backends {
		n.knownBackends = append(n.knownBackends, &balancer.Backend{ID: uint32(i)})
		n.balancer.OnEndpoint(g.now, n.knownBackends[i], backend.endpoint)
	}
	n.balancer.OnListSynced(g.now, true)
	n.sendStatus(false, balancer.Succeeded)
}

// afterUnlessRestarted calls do after a delay, unless the relay has been restarted during the delay.
func (n *simulatedRelay) afterUnlessRestarted(span balancer.Tick, do func()) {
	incarnation := n.incarnation
	n.after(span, func() {
		if n.incarnation == incarnation {
			do()
		}
	})
}

// generateRequests sends a request and schedules the next one.
func (n *simulatedRelay) generateRequests() {
	g := n.simulation
	n.after(balancer.Tick(g.rand.ExpFloat64()*float64(balancer.Second)/(g.requestRate*g.loadMultiple)), n.generateRequests)
	n.request(g.rand.IntN(4), false)
}

func (n *simulatedRelay) request(class int, clientRetry bool) {
	g := n.simulation
	g.requests++
	req := &balancer.Request{ID: g.requests, Class: class, Tenant: g.rand.IntN(3), Key: g.rand.Uint64N(50) * 0x9e3779b97f4a7c15,
		Deadline: g.now + balancer.Tick(3000+g.rand.IntN(20000)), EstimatedWork: 100, ClientRetry: clientRetry, Write: class > 0}
	if g.shortDeadlines {
		req.Deadline = g.now + balancer.Tick(1200+g.rand.IntN(1500))
	}
	if g.rand.Float64() < g.pinnedShare {
		req.Pinned = true
		if g.instancesAt >= 0 {
			req.PinnedTo = n.knownBackends[g.instancesAt]
		}
	}
	n.unanswered[req] = true
	if g.rand.IntN(50) == 0 {
		n.afterUnlessRestarted(balancer.Tick(g.rand.IntN(5000)), func() {
			if n.unanswered[req] {
				delete(n.unanswered, req)
				n.balancer.OnClientGone(g.now, req)
			}
		})
	}
	n.balancer.OnRequest(g.now, req)
}

// StartAttempt sends the attempt to its backend, either at once or after its connection has been established.
func (n *simulatedRelay) StartAttempt(attempt *balancer.Attempt, stopAt balancer.Tick) {
	g := n.simulation
	n.outstanding[attempt] = true
	if g.rand.Float64() < g.lateConnectionShare {
		n.afterUnlessRestarted(balancer.Tick(g.rand.IntN(1500)), func() { n.writeAttempt(attempt, stopAt) })
		return
	}
	n.writeAttempt(attempt, stopAt)
}

func (n *simulatedRelay) writeAttempt(attempt *balancer.Attempt, stopAt balancer.Tick) {
	g := n.simulation
	if !n.outstanding[attempt] {
		return
	}
	allowed := n.balancer.BeginAttempt(g.now, attempt)
	g.trace.Note(n.number, attempt.Request.ID, uint64(attempt.Number), map[bool]uint64{true: 1}[allowed])
	if !allowed {
		n.afterUnlessRestarted(0, func() { n.reportOutcome(attempt, balancer.Discarded, g.now) })
		return
	}
	backend, sent := g.backends[attempt.Backend.ID], g.now
	version, start := backend.endpoint.Version, backend.endpoint.StartedAt
	newVersion := version > 1 && version == g.version
	backend.inFlight++
	duration := g.slowMultiple * (0.5 + g.rand.ExpFloat64()) * 100 * float64(4+backend.inFlight) / 4
	if start > 0 {
		duration /= min(1, 0.4+0.6*float64(g.now-start)/float64(4*balancer.Second))
	}
	errorShare := backend.errors
	if newVersion {
		duration *= g.canarySlowness
		errorShare += g.canaryErrors
	}
	outcome := balancer.Succeeded
	switch p := g.rand.Float64(); {
	case p < errorShare:
		outcome = balancer.Errored
	case p < errorShare+backend.resets:
		outcome = balancer.Reset
	case p < errorShare+backend.resets+backend.atCapacity, attempt.Request.Pinned && int(attempt.Backend.ID) != g.instancesAt:
		duration, outcome = 5, balancer.AtCapacity
	case p < errorShare+backend.resets+backend.atCapacity+backend.unreachable:
		outcome = balancer.ConnectFailed
	}
	if g.now < backend.silentUntil || newVersion && g.rand.Float64() < g.silentShare {
		duration = 1e9
	}
	if end := g.now + balancer.Tick(duration); end >= stopAt {
		duration, outcome = float64(stopAt-g.now), balancer.TimedOut
	}
	if outcome == balancer.Succeeded && attempt.Request.Class == 0 && g.rand.IntN(40) == 0 {
		n.afterUnlessRestarted(balancer.Tick(duration/2), func() {
			if n.outstanding[attempt] {
				n.balancer.OnStreamStart(g.now, attempt)
			}
		})
	}
	g.after(balancer.Tick(duration), func() { backend.inFlight = max(0, backend.inFlight-1) })
	n.afterUnlessRestarted(balancer.Tick(duration), func() {
		if backend.endpoint.StartedAt != start && outcome == balancer.Succeeded {
			outcome = balancer.Reset
		}
		if n.reportOutcome(attempt, outcome, sent) && outcome == balancer.Succeeded && newVersion && g.rand.Float64() < g.wrongShare {
			n.afterUnlessRestarted(balancer.Tick(g.rand.IntN(10000)), func() {
				if attempt.Backend.Version == version {
					n.balancer.OnWrongAnswer(g.now, attempt.Backend, attempt.Request.Class, g.now-sent)
				}
			})
		}
	})
}

// reportOutcome reports the outcome of an attempt to the relay, at most once.
func (n *simulatedRelay) reportOutcome(attempt *balancer.Attempt, outcome balancer.Outcome, sent balancer.Tick) bool {
	g := n.simulation
	if !n.outstanding[attempt] {
		return false
	}
	delete(n.outstanding, attempt)
	settled := !n.unanswered[attempt.Request]
	if outcome == balancer.Succeeded {
		delete(n.unanswered, attempt.Request)
		settled = true
	}
	counts := g.metrics[attempt.Backend.Version]
	counts[attempt.Request.Class][0]++
	if outcome != balancer.Succeeded {
		counts[attempt.Request.Class][1]++
	}
	g.metrics[attempt.Backend.Version] = counts
	n.balancer.OnOutcome(g.now, attempt, outcome, g.now-sent, settled, nil)
	return true
}

// Reject ends a request. Half of the clients that have not retried yet retry after the time retryAfter.
func (n *simulatedRelay) Reject(req *balancer.Request, retryAfter balancer.Tick) {
	delete(n.unanswered, req)
	if n.rand.IntN(2) == 0 && !req.ClientRetry {
		n.afterUnlessRestarted(max(1, retryAfter), func() { n.request(req.Class, true) })
	}
}

func (n *simulatedRelay) Fail(req *balancer.Request) { delete(n.unanswered, req) }

func (n *simulatedRelay) CancelAttempt(attempt *balancer.Attempt) {
	sent := n.now
	n.afterUnlessRestarted(0, func() { n.reportOutcome(attempt, balancer.Cancelled, sent) })
}

func (n *simulatedRelay) SetTimer(at balancer.Tick, tag uint32) {
	n.afterUnlessRestarted(at-n.now, func() { n.balancer.OnTimer(n.now, tag) })
}

func (n *simulatedRelay) Probe(backend *balancer.Backend) {
	n.afterUnlessRestarted(100, func() { n.balancer.OnProbe(n.now, backend, balancer.Succeeded, 100, nil) })
}

func (n *simulatedRelay) CloseIdle(*balancer.Backend) {}
func (n *simulatedRelay) Log(string, ...slog.Attr)    {}
func (n *simulatedRelay) FetchEndpoints()             {}

func (n *simulatedRelay) SendGossip(_ uint32, data []byte) {
	data = append([]byte(nil), data...)
	for _, other := range n.relays {
		if other != n {
			other.afterUnlessRestarted(100, func() { other.balancer.OnGossip(n.now, uint32(n.number), data) })
		}
	}
}

func (n *simulatedRelay) WatchEndpoints(bool) {
	ok := n.rand.Float64() >= n.failedPollShare
	n.afterUnlessRestarted(balancer.Tick(200+n.rand.IntN(2000)), func() { n.balancer.OnListSynced(n.now, ok) })
}

// CastVote delivers a vote to the release API, which replies.
func (n *simulatedRelay) CastVote(version uint16, stage int, verdict balancer.Verdict) {
	g := n.simulation
	n.afterUnlessRestarted(300, func() {
		outcome := balancer.Succeeded
		switch {
		case g.rand.IntN(12) == 0:
			outcome = balancer.AtCapacity
		case g.rand.IntN(12) == 0:
			outcome = balancer.TimedOut
		case version != g.version || stage != g.stage || g.phase == balancer.RollingBack || g.phase == balancer.Withdrawn:
			outcome = balancer.Discarded
		case verdict == balancer.RollBack:
			g.rollBack()
		case verdict == balancer.Promote && g.phase == balancer.Canary && !g.promotionScheduled:
			g.promotionScheduled = true
			g.afterSeconds(1, g.promote)
		}
		n.sendStatus(true, outcome)
	})
}

// sendStatus sends the state of the newest version to the relay.
func (n *simulatedRelay) sendStatus(voteReply bool, outcome balancer.Outcome) {
	share := 1.0
	switch n.phase {
	case balancer.Canary:
		share = []float64{0.2, 0.5, 1}[n.stage]
	case balancer.RollingBack, balancer.Withdrawn:
		share = 0
	}
	n.balancer.OnReleaseStatus(n.now, balancer.ReleaseStatus{Version: n.version, Stage: n.stage, Phase: n.phase,
		VoteReply: voteReply, Outcome: outcome, ExposureCap: share, Age: n.now - n.stageSince})
}

func (g *simulation) announceStatus() {
	for _, n := range g.relays {
		delay := balancer.Tick(g.statusDelay*float64(balancer.Second)) + balancer.Tick(200+g.rand.IntN(600))
		n.afterUnlessRestarted(delay, func() { n.sendStatus(false, balancer.Succeeded) })
	}
}

// startRollout starts the rollout of a version with an additional error share and a multiple of the usual duration of
// attempts.
func (g *simulation) startRollout(errorShare, slow float64) {
	g.version++
	g.canaryErrors, g.canarySlowness = errorShare, slow
	g.enterStage(0)
}

func (g *simulation) enterStage(stage int) {
	g.stage, g.phase, g.stageSince, g.promotionScheduled = stage, balancer.Canary, g.now, false
	g.announceStatus()
	g.deploy(g.version, []int{1, 4, 10}[stage]*len(g.backends)/10)
}

// deploy restarts the first backends, up to the given count, with a version. Each of them first drains for a second.
func (g *simulation) deploy(version uint16, count int) {
	for i := range min(count, len(g.backends)) {
		if backend := g.backends[i]; backend.endpoint.Version != version {
			g.announce(i, balancer.Draining)
			g.afterSeconds(1, func() {
				backend.endpoint.Version, backend.endpoint.StartedAt = version, g.now
				g.announce(i, balancer.Ready)
			})
		}
	}
}

func (g *simulation) promote() {
	switch {
	case g.phase != balancer.Canary:
	case g.stage < 2:
		g.enterStage(g.stage + 1)
	default:
		g.phase = balancer.Released
		g.announceStatus()
	}
}

func (g *simulation) rollBack() {
	if g.phase == balancer.RollingBack {
		return
	}
	g.phase = balancer.RollingBack
	g.announceStatus()
	g.deploy(1, len(g.backends))
	g.afterSeconds(2, func() {
		g.phase = balancer.Withdrawn
		g.announceStatus()
	})
}

// announce sends the state of a backend to all relays, each after a random delay.
func (g *simulation) announce(i int, state balancer.EndpointState) {
	backend := g.backends[i]
	backend.endpoint.State = state
	endpoint := backend.endpoint
	for _, n := range g.relays {
		n.afterUnlessRestarted(balancer.Tick(100+g.rand.IntN(1000)), func() {
			n.balancer.OnEndpoint(g.now, n.knownBackends[i], endpoint)
			n.balancer.OnListSynced(g.now, true)
		})
	}
}

// restart restarts a backend, which is silent for a second and then has to warm up.
func (g *simulation) restart(i int) {
	backend := g.backends[i]
	backend.silentUntil = g.now + balancer.Second
	g.afterSeconds(1, func() {
		backend.endpoint.StartedAt = g.now
		g.announce(i, balancer.Ready)
	})
}

// moveInstances moves the instances of pinned requests to another backend, or to none.
func (g *simulation) moveInstances() {
	g.instancesAt = g.rand.IntN(len(g.backends)+1) - 1
	instancesAt := g.instancesAt
	for _, n := range g.relays {
		n.afterUnlessRestarted(balancer.Tick(g.rand.IntN(2000)), func() {
			for _, req := range n.unansweredRequests() {
				if req.Pinned {
					req.PinnedTo = nil
					if instancesAt >= 0 {
						req.PinnedTo = n.knownBackends[instancesAt]
					}
				}
			}
			n.balancer.OnInstancesMoved(g.now)
		})
	}
}

func (n *simulatedRelay) unansweredRequests() (all []*balancer.Request) {
	for req := range n.unanswered {
		all = append(all, req)
	}
	return all
}

// reportMetrics sends all relays the release API's counts since the last report, earlier versions first.
func (g *simulation) reportMetrics() {
	counted := g.metrics
	g.metrics = map[uint16][4][2]int{}
	for _, n := range g.relays {
		n.afterUnlessRestarted(500, func() {
			for version := uint16(1); version <= g.version; version++ {
				for class, c := range counted[version] {
					if c[0] > 0 {
						n.balancer.OnMetrics(g.now, version, class, c[0], c[1], 100, balancer.Second/2)
					}
				}
			}
		})
	}
}
