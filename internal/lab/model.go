package lab

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"silvercove/balancer"
)

// second is the number of ticks in a second. All other times are in seconds.
const (
	second            = float64(balancer.Second)
	stableVersion     = 1    // version that all backends run at the start; the packages get the versions above it
	exposureWindow    = 4.0  // window of the exposure rule in seconds, see checkExposure
	releaseLag        = 0.05 // seconds until relays are notified of a stage, and until the platform gets a vote
	listLag           = 0.1  // seconds until relays are notified of a change of the endpoint list
	replaceSpan       = 1.0  // seconds from the start of a backend's drain until the backend is ready with another version
	warmUp            = 4.0  // seconds from a backend's start until the backend is warm
	slotsPerBackend   = 8    // maximum number of requests that a backend works on at once
	medianServiceTime = 0.02 // median of the seconds for which a backend works on a request
	metricsLag        = 1.0  // seconds from the end of a metrics period until relays get the platform's counts
)

// model is the state of a simulated rollout.
type model struct {
	Rollout
	now              balancer.Tick
	sequence         int
	queue            events
	rand             *rand.Rand
	serviceTimes     distuv.LogNormal
	arrivals         distuv.Exponential
	flagDelays       distuv.LogNormal
	relays           []*relayNode
	backends         []*backend
	balancerSettings balancer.Settings
	nextID           uint64
	result           Result

	metrics        map[uint16][]outcomeCounts // outcomes that the platform has counted in the current metrics period, by version and request class
	packages       map[uint16]Package
	newest         uint16    // version of the package whose rollout started last; 0 before the first rollout
	stable         uint16    // version of the backends that do not run the newest version: stableVersion at first, then the version of the last package that was released and not rolled back within WatchSpan
	offers         []Package // packages whose rollout has not started; offerPackage starts the next one
	offeredAt      balancer.Tick
	stage          int
	phase          balancer.RolloutPhase
	stageStart     balancer.Tick
	advancePending bool // the platform has accepted a vote to promote; the next stage starts when the bake time is over
	done           bool
}

// outcomeCounts counts all outcomes and the failed ones. serviceTime is the sum of the latencies of the outcomes that
// did not fail.
type outcomeCounts struct {
	total, failed int
	serviceTime   balancer.Tick
}

// backend is a simulated backend.
type backend struct {
	number       int
	zone         int
	version      uint16
	started      balancer.Tick
	state        balancer.EndpointState
	incarnation  int                            // increases with each replacement; attempts that were sent to an earlier incarnation end as reset
	isSick       bool                           // the backend fails requests whichever version it runs, see Condition.SickShare
	slots        [slotsPerBackend]balancer.Tick // time at which each slot becomes free
	replacements int                            // number of replacements requested; if several are pending, only the last one takes effect
}

// ticksOf converts seconds to ticks.
func ticksOf(seconds float64) balancer.Tick { return balancer.Tick(seconds * second) }

// Run simulates the rollout. The same rollout always gives the same result.
func (r Rollout) Run() Result {
	m := &model{Rollout: r, now: ticksOf(1000), rand: rand.New(rand.NewPCG(r.Seed, 0x5117e2c07e))}
	src := rand.NewPCG(r.Seed, 0xd157)
	m.serviceTimes = distuv.LogNormal{Mu: math.Log(medianServiceTime), Sigma: 0.5, Src: src}
	m.arrivals = distuv.Exponential{Rate: r.Rate / float64(r.Relays), Src: src}
	m.flagDelays = distuv.LogNormal{Mu: math.Log(max(0.5, r.Condition.FlagDelay)), Sigma: 0.4, Src: src}
	m.balancerSettings = m.settings()
	m.result = Result{Package: r.Package.Name, Condition: r.Condition.Name, Seed: r.Seed, Bad: r.Package.Bad}
	for i := range r.Backends {
		m.backends = append(m.backends, &backend{number: i, zone: i % max(1, r.Zones), version: stableVersion, state: balancer.Ready})
	}
	for _, i := range rand.New(rand.NewPCG(r.Seed, 0x51c4)).Perm(r.Backends)[:int(r.Condition.SickShare*float64(r.Backends))] {
		m.backends[i].isSick = true
	}
	m.phase = balancer.Released
	for i := range r.Relays {
		n := &relayNode{model: m, number: i, updatesLate: i < int(r.Condition.BlindShare*float64(r.Relays))}
		m.relays = append(m.relays, n)
		n.start()
		m.after(m.arrivals.Rand(), n.nextRequest)
	}
	const offerDelay = 3.0 // seconds of traffic before the rollout of the first package starts
	m.stable, m.packages = stableVersion, map[uint16]Package{}
	m.offers = append(slices.Clone(r.EarlierPackages), r.Package)
	m.after(offerDelay, m.offerPackage)
	if r.Condition.RestartInterval > 0 {
		m.after(offerDelay+r.Condition.RestartInterval, func() { m.restartRelay(0) })
	}
	if r.MetricsPeriod > 0 {
		m.metrics = map[uint16][]outcomeCounts{}
		m.after(r.MetricsPeriod, m.reportMetrics)
	}
	end := m.now + ticksOf(offerDelay+r.MaxSpan)
	for len(m.queue) > 0 && !m.done {
		e := heap.Pop(&m.queue).(event)
		if e.at > end {
			m.result.Undecided = !m.result.Released && !m.result.RolledBack
			break
		}
		m.now = e.at
		e.run()
	}
	return m.result
}

// after schedules an event after a number of seconds.
func (m *model) after(seconds float64, do func()) { m.at(m.now+max(0, ticksOf(seconds)), do) }

// at schedules an event for a time, or for now if the time is past.
func (m *model) at(t balancer.Tick, do func()) {
	m.sequence++
	heap.Push(&m.queue, event{max(t, m.now), m.sequence, do})
}

// settings returns the balancer settings that all relays share.
func (m *model) settings() balancer.Settings {
	s := balancer.Settings{
		Relays: float64(m.Relays),
		Limits: balancer.Limits{MaxAttempts: 3, MayCancel: true, RetryAfter: true, MaxRetryAfter: 1, IdleTimeout: 5,
			ConnectTimeout: 0.5},
		Endpoints: balancer.EndpointRules{DrainGrace: 1, PollInterval: 20},
		SlowStart: balancer.SlowStart{Window: warmUp, InitialFraction: 0.5, OverloadMultiple: 2, OverloadWindow: 1},
		Rollout: balancer.Rollout{
			ExposureFree:   4,
			ExposureWindow: exposureWindow,
			VoteLifetime:   4,
			VoteTimeout:    1,
			VotesPerSecond: 2 * float64(m.Relays),
			FoundShare:     m.FoundShare,
			MetricsPeriod:  balancer.Seconds(m.MetricsPeriod),
			EvidenceWait:   balancer.Seconds(m.EvidenceWait),
			ReportWithin:   balancer.Seconds(m.ReportWithin),
		},
	}
	for _, o := range m.Classes {
		s.Classes = append(s.Classes, balancer.RequestClass{Name: o.Name, Idempotency: idempotencyOf[o.Idempotency],
			DedupScope: balancer.DedupEverywhere, DedupWindow: 30, LatencyObjective: 0.5, Deadline: 2, PriorityWeight: 1})
	}
	for _, w := range m.Stages {
		s.Rollout.StageCaps = append(s.Rollout.StageCaps, w.Cap)
		s.Rollout.StageShares = append(s.Rollout.StageShares, w.Share)
	}
	return s
}

// idempotencyOf maps the idempotency of a request class in an experiment's file to the balancer's. Any other text
// yields the zero value, balancer.AtMostOnce.
var idempotencyOf = map[string]balancer.Idempotency{"redeliverable": balancer.Idempotent,
	"deduplicated": balancer.IdempotentWithKey, "at_most_once": balancer.AtMostOnce}

// restartRelay restarts a relay without its state. The parameter no, taken modulo Relays, is the index of the relay.
// After RestartInterval, the next relay restarts.
func (m *model) restartRelay(no int) {
	n := m.relays[no%m.Relays]
	n.start()
	m.after(m.Condition.RestartInterval, func() { m.restartRelay(no + 1) })
}

// countOutcome adds an outcome to the platform's counts, with the probability MetricsShare.
func (m *model) countOutcome(version uint16, class int, outcome balancer.Outcome, latency balancer.Tick) {
	if m.MetricsPeriod == 0 || m.rand.Float64() >= m.MetricsShare {
		return
	}
	if m.metrics[version] == nil {
		m.metrics[version] = make([]outcomeCounts, len(m.Classes))
	}
	t := &m.metrics[version][class]
	if t.total++; outcome == balancer.Succeeded {
		t.serviceTime += latency
	} else {
		t.failed++
	}
}

// reportMetrics ends a metrics period. Each relay gets the counts of the period after metricsLag, or after 5 s if the
// relay gets updates late (see Condition.BlindShare). Each relay gets the counts of the lowest version first.
func (m *model) reportMetrics() {
	counts, periodEnd := m.metrics, m.now
	m.metrics = map[uint16][]outcomeCounts{}
	m.after(m.MetricsPeriod, m.reportMetrics)
	versions := slices.Sorted(maps.Keys(counts))
	for _, n := range m.relays {
		incarnation, lag := n.incarnation, metricsLag
		if n.updatesLate {
			lag = 5
		}
		m.after(lag, func() {
			for _, version := range versions {
				for class, t := range counts[version] {
					if n.incarnation == incarnation && t.total > 0 {
						mean := t.serviceTime / balancer.Tick(max(1, t.total-t.failed))
						n.balancer.OnMetrics(m.now, version, class, t.total, t.failed, mean, m.now-periodEnd)
					}
				}
			}
		})
	}
}
