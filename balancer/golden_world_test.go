package balancer_test

import (
	"container/heap"
	"log/slog"
	"math/rand/v2"

	"silvercove/balancer"
	"silvercove/internal/standin/goldentrace"
)

// world is the relays and backends of one run.
type world struct {
	scenario
	trace        *goldentrace.Trace
	rand         *rand.Rand
	now          balancer.Tick
	queue        goldenQueue
	events       int
	backends     []*backend
	relays       []*simulatedRelay
	requests     uint64
	loadMultiple float64 // times the usual rate
	slowMultiple float64 // times the usual time of any attempt
	silentShare  float64 // part of the attempts at the new version that are never answered
	wrongShare   float64 // part of the new version's answers that are reported as wrong
	avoided      *backend
	instancesAt  int // where the instances of tied requests run

	version        uint16
	stage          int
	phase          balancer.RolloutPhase
	since          balancer.Tick
	canaryErrors   float64 // of the new version
	canarySlowness float64 // times the usual time
	metrics        map[uint16][4][2]int
	promoting      bool
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
	*world
	number       int
	life         int
	balancer     *balancer.Balancer
	known        []*balancer.Backend
	open         map[*balancer.Request]bool
	out          map[*balancer.Attempt]bool
	retriesAsked int
}

// fleetRelay is a host that answers for a fleet.
type fleetRelay struct{ *simulatedRelay }

func (n fleetRelay) AllowRetry(*balancer.Request) bool {
	n.retriesAsked++
	return n.retriesAsked%5 != 0
}
func (n fleetRelay) IsEjected(backend *balancer.Backend) bool {
	return n.avoided != nil && int(backend.ID) == n.avoided.number
}
func (n fleetRelay) AllowProbe(backend *balancer.Backend) bool {
	return (int(backend.ID)+n.number)%3 != 0
}

type goldenEvent struct {
	at balancer.Tick
	no int
	do func()
}

type goldenQueue []goldenEvent

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].no < q[j].no
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(x any)   { *q = append(*q, x.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s scenario) play(seed uint64) *goldentrace.Trace {
	w := &world{scenario: s, trace: goldentrace.New(), rand: rand.New(rand.NewPCG(seed, 0x901d)), now: goldenStart,
		loadMultiple: 1, slowMultiple: 1, canarySlowness: 1,
		version: 1, phase: balancer.Released, metrics: map[uint16][4][2]int{}}
	for i := range s.backendCount {
		w.backends = append(w.backends, &backend{number: i, errors: 0.01,
			endpoint: balancer.Endpoint{Zone: i % 3, Cell: i % 5, State: balancer.Ready, NominalWeight: 1, Version: 1}})
	}
	for i := range s.relayCount {
		n := &simulatedRelay{world: w, number: i}
		w.relays = append(w.relays, n)
		n.start()
		w.after(balancer.Tick(w.rand.IntN(1000)), n.arrive)
	}
	w.every(balancer.Second/5, w.observe)
	s.plan(w)
	end := w.now + goldenSpan
	for len(w.queue) > 0 && w.queue[0].at < end {
		e := heap.Pop(&w.queue).(goldenEvent)
		w.now = e.at
		e.do()
	}
	return w.trace
}

func (w *world) after(span balancer.Tick, do func()) {
	w.events++
	heap.Push(&w.queue, goldenEvent{w.now + max(0, span), w.events, do})
}

func (w *world) in(seconds float64, do func()) {
	w.after(balancer.Tick(seconds*float64(balancer.Second)), do)
}

func (w *world) every(span balancer.Tick, do func()) {
	w.after(span, func() { do(); w.every(span, do) })
}

// observe records what the relays answer when they are asked for their load.
func (w *world) observe() {
	for _, n := range w.relays {
		w.trace.Note(n.number, goldentrace.Float(n.balancer.Load()))
	}
}

// start starts a relay that knows nothing.
func (n *simulatedRelay) start() {
	w := n.world
	n.life++
	n.open, n.out = map[*balancer.Request]bool{}, map[*balancer.Attempt]bool{}
	n.known = nil
	var host balancer.Host = n
	if w.fleet {
		host = fleetRelay{n}
	}
	host = w.trace.Host(host, n.number, func() balancer.Tick { return w.now })
	n.balancer = balancer.New(host, w.now, w.rand.Uint64(), goldenSettings(w.relayCount, w.more))
	for i, backend := range w.backends {
		n.known = append(n.known, &balancer.Backend{ID: uint32(i)})
		n.balancer.OnEndpoint(w.now, n.known[i], backend.endpoint)
	}
	n.balancer.OnListSynced(w.now, true)
	n.sendStatus(false, balancer.Succeeded)
}

// later is run later, unless the relay has been started anew meanwhile.
func (n *simulatedRelay) later(span balancer.Tick, do func()) {
	life := n.life
	n.after(span, func() {
		if n.life == life {
			do()
		}
	})
}

// arrive has a client ask, and the next one come later.
func (n *simulatedRelay) arrive() {
	w := n.world
	n.after(balancer.Tick(w.rand.ExpFloat64()*float64(balancer.Second)/(w.rate*w.loadMultiple)), n.arrive)
	n.request(w.rand.IntN(4), false)
}

func (n *simulatedRelay) request(class int, repeated bool) {
	w := n.world
	w.requests++
	c := &balancer.Request{ID: w.requests, Class: class, Tenant: w.rand.IntN(3), Key: w.rand.Uint64N(50) * 0x9e3779b97f4a7c15,
		Deadline: w.now + balancer.Tick(3000+w.rand.IntN(20000)), EstimatedWork: 100, ClientRetry: repeated, Write: class > 0}
	if w.impatient {
		c.Deadline = w.now + balancer.Tick(1200+w.rand.IntN(1500))
	}
	if w.rand.Float64() < w.pinned {
		c.Pinned = true
		if w.instancesAt >= 0 {
			c.PinnedTo = n.known[w.instancesAt]
		}
	}
	n.open[c] = true
	if w.rand.IntN(50) == 0 {
		n.later(balancer.Tick(w.rand.IntN(5000)), func() {
			if n.open[c] {
				delete(n.open, c)
				n.balancer.OnClientGone(w.now, c)
			}
		})
	}
	n.balancer.OnRequest(w.now, c)
}

// StartAttempt has a backend work, at once or after the connection has come up.
func (n *simulatedRelay) StartAttempt(attempt *balancer.Attempt, stopAt balancer.Tick) {
	w := n.world
	n.out[attempt] = true
	if w.rand.Float64() < w.lateConnections {
		n.later(balancer.Tick(w.rand.IntN(1500)), func() { n.begin(attempt, stopAt) })
		return
	}
	n.begin(attempt, stopAt)
}

func (n *simulatedRelay) begin(attempt *balancer.Attempt, stopAt balancer.Tick) {
	w := n.world
	if !n.out[attempt] {
		return
	}
	may := n.balancer.BeginAttempt(w.now, attempt)
	w.trace.Note(n.number, attempt.Request.ID, uint64(attempt.Number), map[bool]uint64{true: 1}[may])
	if !may {
		n.later(0, func() { n.ended(attempt, balancer.Discarded, w.now) })
		return
	}
	backend, sent := w.backends[attempt.Backend.ID], w.now
	build, start := backend.endpoint.Version, backend.endpoint.StartedAt
	fresh := build > 1 && build == w.version
	backend.inFlight++
	took := w.slowMultiple * (0.5 + w.rand.ExpFloat64()) * 100 * float64(4+backend.inFlight) / 4
	if start > 0 {
		took /= min(1, 0.4+0.6*float64(w.now-start)/float64(4*balancer.Second))
	}
	errs := backend.errors
	if fresh {
		took *= w.canarySlowness
		errs += w.canaryErrors
	}
	ending := balancer.Succeeded
	switch p := w.rand.Float64(); {
	case p < errs:
		ending = balancer.Errored
	case p < errs+backend.resets:
		ending = balancer.Reset
	case p < errs+backend.resets+backend.atCapacity, attempt.Request.Pinned && int(attempt.Backend.ID) != w.instancesAt:
		took, ending = 5, balancer.AtCapacity
	case p < errs+backend.resets+backend.atCapacity+backend.unreachable:
		ending = balancer.ConnectFailed
	}
	if w.now < backend.silentUntil || fresh && w.rand.Float64() < w.silentShare {
		took = 1e9
	}
	if end := w.now + balancer.Tick(took); end >= stopAt {
		took, ending = float64(stopAt-w.now), balancer.TimedOut
	}
	if ending == balancer.Succeeded && attempt.Request.Class == 0 && w.rand.IntN(40) == 0 {
		n.later(balancer.Tick(took/2), func() {
			if n.out[attempt] {
				n.balancer.OnStreamStart(w.now, attempt)
			}
		})
	}
	w.after(balancer.Tick(took), func() { backend.inFlight = max(0, backend.inFlight-1) })
	n.later(balancer.Tick(took), func() {
		if backend.endpoint.StartedAt != start && ending == balancer.Succeeded {
			ending = balancer.Reset
		}
		if n.ended(attempt, ending, sent) && ending == balancer.Succeeded && fresh && w.rand.Float64() < w.wrongShare {
			n.later(balancer.Tick(w.rand.IntN(10000)), func() {
				if attempt.Backend.Version == build {
					n.balancer.OnWrongAnswer(w.now, attempt.Backend, attempt.Request.Class, w.now-sent)
				}
			})
		}
	})
}

// ended tells a relay once how an attempt has ended.
func (n *simulatedRelay) ended(attempt *balancer.Attempt, ending balancer.Outcome, sent balancer.Tick) bool {
	w := n.world
	if !n.out[attempt] {
		return false
	}
	delete(n.out, attempt)
	settled := !n.open[attempt.Request]
	if ending == balancer.Succeeded {
		delete(n.open, attempt.Request)
		settled = true
	}
	counts := w.metrics[attempt.Backend.Version]
	counts[attempt.Request.Class][0]++
	if ending != balancer.Succeeded {
		counts[attempt.Request.Class][1]++
	}
	w.metrics[attempt.Backend.Version] = counts
	n.balancer.OnOutcome(w.now, attempt, ending, w.now-sent, settled, nil)
	return true
}

// Reject ends a request; half of the clients come back when they are told to.
func (n *simulatedRelay) Reject(c *balancer.Request, comeBack balancer.Tick) {
	delete(n.open, c)
	if n.rand.IntN(2) == 0 && !c.ClientRetry {
		n.later(max(1, comeBack), func() { n.request(c.Class, true) })
	}
}

func (n *simulatedRelay) Fail(c *balancer.Request) { delete(n.open, c) }

func (n *simulatedRelay) CancelAttempt(attempt *balancer.Attempt) {
	sent := n.now
	n.later(0, func() { n.ended(attempt, balancer.Cancelled, sent) })
}

func (n *simulatedRelay) SetTimer(at balancer.Tick, tag uint32) {
	n.later(at-n.now, func() { n.balancer.OnTimer(n.now, tag) })
}

func (n *simulatedRelay) Probe(backend *balancer.Backend) {
	n.later(100, func() { n.balancer.OnProbe(n.now, backend, balancer.Succeeded, 100, nil) })
}

func (n *simulatedRelay) CloseIdle(*balancer.Backend) {}
func (n *simulatedRelay) Log(string, ...slog.Attr)    {}
func (n *simulatedRelay) FetchEndpoints()             {}

func (n *simulatedRelay) SendGossip(_ uint32, data []byte) {
	data = append([]byte(nil), data...)
	for _, other := range n.relays {
		if other != n {
			other.later(100, func() { other.balancer.OnGossip(n.now, uint32(n.number), data) })
		}
	}
}

func (n *simulatedRelay) WatchEndpoints(bool) {
	ok := n.rand.Float64() >= n.refusedPolls
	n.later(balancer.Tick(200+n.rand.IntN(2000)), func() { n.balancer.OnListSynced(n.now, ok) })
}

// CastVote brings a vote to the platform, which answers.
func (n *simulatedRelay) CastVote(build uint16, stage int, verdict balancer.Verdict) {
	w := n.world
	n.later(300, func() {
		ending := balancer.Succeeded
		switch {
		case w.rand.IntN(12) == 0:
			ending = balancer.AtCapacity
		case w.rand.IntN(12) == 0:
			ending = balancer.TimedOut
		case build != w.version || stage != w.stage || w.phase == balancer.RollingBack || w.phase == balancer.Withdrawn:
			ending = balancer.Discarded
		case verdict == balancer.RollBack:
			w.rollBack()
		case verdict == balancer.Promote && w.phase == balancer.Canary && !w.promoting:
			w.promoting = true
			w.in(1, w.promote)
		}
		n.sendStatus(true, ending)
	})
}

// sendStatus tells a relay where the newest version stands.
func (n *simulatedRelay) sendStatus(answer bool, ending balancer.Outcome) {
	share := 1.0
	switch n.phase {
	case balancer.Canary:
		share = []float64{0.2, 0.5, 1}[n.stage]
	case balancer.RollingBack, balancer.Withdrawn:
		share = 0
	}
	n.balancer.OnReleaseStatus(n.now, balancer.ReleaseStatus{Version: n.version, Stage: n.stage, Phase: n.phase,
		VoteReply: answer, Outcome: ending, ExposureCap: share, Age: n.now - n.since})
}

func (w *world) announceStatus() {
	for _, n := range w.relays {
		delay := balancer.Tick(w.statusDelay*float64(balancer.Second)) + balancer.Tick(200+w.rand.IntN(600))
		n.later(delay, func() { n.sendStatus(false, balancer.Succeeded) })
	}
}

// startRollout begins the rollout of a version that fails so much more, and takes so many times the usual time.
func (w *world) startRollout(errs, slow float64) {
	w.version++
	w.canaryErrors, w.canarySlowness = errs, slow
	w.enterStage(0)
}

func (w *world) enterStage(stage int) {
	w.stage, w.phase, w.since, w.promoting = stage, balancer.Canary, w.now, false
	w.announceStatus()
	w.deploy(w.version, []int{1, 4, 10}[stage]*len(w.backends)/10)
}

// deploy has the first backends run a version; each is away for a moment.
func (w *world) deploy(build uint16, many int) {
	for i := range min(many, len(w.backends)) {
		if backend := w.backends[i]; backend.endpoint.Version != build {
			w.announce(i, balancer.Draining)
			w.in(1, func() {
				backend.endpoint.Version, backend.endpoint.StartedAt = build, w.now
				w.announce(i, balancer.Ready)
			})
		}
	}
}

func (w *world) promote() {
	switch {
	case w.phase != balancer.Canary:
	case w.stage < 2:
		w.enterStage(w.stage + 1)
	default:
		w.phase = balancer.Released
		w.announceStatus()
	}
}

func (w *world) rollBack() {
	if w.phase == balancer.RollingBack {
		return
	}
	w.phase = balancer.RollingBack
	w.announceStatus()
	w.deploy(1, len(w.backends))
	w.in(2, func() {
		w.phase = balancer.Withdrawn
		w.announceStatus()
	})
}

// announce tells all relays of a backend, each a little later.
func (w *world) announce(i int, state balancer.EndpointState) {
	backend := w.backends[i]
	backend.endpoint.State = state
	is := backend.endpoint
	for _, n := range w.relays {
		n.later(balancer.Tick(100+w.rand.IntN(1000)), func() {
			n.balancer.OnEndpoint(w.now, n.known[i], is)
			n.balancer.OnListSynced(w.now, true)
		})
	}
}

// restart starts a backend anew after a second, cold.
func (w *world) restart(i int) {
	backend := w.backends[i]
	backend.silentUntil = w.now + balancer.Second
	w.in(1, func() {
		backend.endpoint.StartedAt = w.now
		w.announce(i, balancer.Ready)
	})
}

// moveInstances takes the instances of tied requests to another backend, or to none.
func (w *world) moveInstances() {
	w.instancesAt = w.rand.IntN(len(w.backends)+1) - 1
	home := w.instancesAt
	for _, n := range w.relays {
		n.later(balancer.Tick(w.rand.IntN(2000)), func() {
			for _, c := range n.openRequests() {
				if c.Pinned {
					c.PinnedTo = nil
					if home >= 0 {
						c.PinnedTo = n.known[home]
					}
				}
			}
			n.balancer.OnInstancesMoved(w.now)
		})
	}
}

func (n *simulatedRelay) openRequests() (all []*balancer.Request) {
	for c := range n.open {
		all = append(all, c)
	}
	return all
}

// reportMetrics tells all relays what the platform has counted since the last time, the earlier version first.
func (w *world) reportMetrics() {
	counted := w.metrics
	w.metrics = map[uint16][4][2]int{}
	for _, n := range w.relays {
		n.later(500, func() {
			for build := uint16(1); build <= w.version; build++ {
				for class, c := range counted[build] {
					if c[0] > 0 {
						n.balancer.OnMetrics(w.now, build, class, c[0], c[1], 100, balancer.Second/2)
					}
				}
			}
		})
	}
}
