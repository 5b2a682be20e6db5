// Package overload decides how the relays of one fleet handle overload together: which requests are shed, which
// attempts may be retried, which relays probe a failing backend, and how starts, requests for the endpoint list and
// connections are spread over time after a common restart. It also computes the session limits of a listener.
//
// NewManager returns the Manager of one relay. For each event, the caller calls the method that is named after the
// event, and passes the current time. Calls must not overlap. UpdatePeer takes what is known of another relay;
// LocalReport returns what this relay sends to the other relays.
//
// Without other relays (the setting fleet.relays is at most 1, and no other relay is known), a Manager is standalone:
// it admits every request, retry and probe, and every StartupDelay is 0. A relay that has heard of no other relay for
// isolationTimeout is isolated: it admits every request and every StartupDelay is 0, as when standalone. Unlike when
// standalone, its retries and probes are limited; the retry budget then depends on the relay's own first attempts
// alone.
//
// Files: manager.go (time and randomness), peers.go (state of the other relays), pressure.go and admission.go (load
// shedding), retry_budget.go, startup.go, outlier.go, peer_evidence.go and verdicts.go (detection of failing backends),
// probing.go, report.go and codec.go (messages between relays), listener_limits.go.
//
// Kind: decision (see docs/architecture.md)
package overload

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

// recomputeInterval is the minimum time between two updates of the decaying counts and the admission thresholds.
const recomputeInterval = tick.Second / 10

// randomStream distinguishes this package's random generator from others with the same seed.
const randomStream = 0x0f1ee7

// Manager makes the decisions of one relay. It is not safe for concurrent use.
type Manager struct {
	settings     settings
	id           uint64 // hash of the relay's name
	rng          *rand.Rand
	now          tick.Tick // latest time that a call passed in
	startedAt    tick.Tick
	recomputedAt tick.Tick

	fleet     fleetView
	admission admission
	budget    retryBudget

	suspects        map[uint64]*suspectBackend // suspected backends, by the hash of the backend's name
	byVerdict       []*suspectBackend          // the backends in suspects, in the order in which they were added or last got a verdict, the latest last
	window          outcomeWindow
	retryAfterPhase float64 // phase of the last Retry-After, in [0, 1)
}

// NewManager returns the Manager of the relay named self, which starts now. It reads the directives fleet.relays,
// fleet.repeats, fleet.floor, fleet.probes and fleet.ramp, which are numbers; fleet.ramp is in seconds.
func NewManager(now tick.Tick, seed uint64, self string, directives map[string]any) *Manager {
	id := xxhash.Sum64String(self)
	s := parseSettings(directives)
	return &Manager{
		settings:        s,
		id:              id,
		rng:             rand.New(rand.NewPCG(seed, randomStream)),
		now:             now,
		startedAt:       now,
		recomputedAt:    now,
		fleet:           fleetView{peers: map[string]*peer{}, newestReportAt: now},
		admission:       newAdmission(now),
		budget:          retryBudget{share: s.retryShare},
		suspects:        map[uint64]*suspectBackend{},
		retryAfterPhase: unitInterval(id),
	}
}

// settings are the values of the fleet's directives, in the units of this package.
type settings struct {
	relays         float64   // number of relays in the fleet, at least 1
	retryShare     float64   // maximum number of retries per first attempt, over the whole fleet
	admissionFloor float64   // share of each class's tenants that is always admitted
	probesPerSec   float64   // probes per second at one failing backend, by the whole fleet
	startupWindow  tick.Tick // time over which StartupDelay spreads the startup steps of all relays after a common restart
}

// parseSettings reads the directives. A directive that is missing or not a number counts as 0.
func parseSettings(directives map[string]any) settings {
	number := func(name string) float64 {
		value, _ := directives["fleet."+name].(float64)
		return value
	}
	return settings{
		relays:         max(1, number("relays")),
		retryShare:     number("repeats"),
		admissionFloor: number("floor"),
		probesPerSec:   number("probes"),
		startupWindow:  tick.FromSeconds(number("ramp")),
	}
}

// unitInterval maps a hash to a number in [0, 1).
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// standalone reports whether the relay is without a fleet: fleet.relays is at most 1, and no other relay is known.
func (m *Manager) standalone() bool { return m.settings.relays <= 1 && len(m.fleet.peers) == 0 }

// isolated reports whether this relay is standalone, or its newest report from another relay is at least
// isolationTimeout old. Until the first report arrives, isolated uses the time since the relay's start instead of the
// age of a report.
func (m *Manager) isolated() bool {
	return m.standalone() || m.now-m.fleet.newestReportAt >= isolationTimeout
}

// fleetSize returns the number of relays in the fleet: fleet.relays, or the number of known relays if that is larger.
func (m *Manager) fleetSize() float64 { return max(m.settings.relays, float64(len(m.fleet.peers)+1)) }

// coverage returns the fraction of the fleet's relays whose reports are fresh; this relay counts as one of them. The
// lower the coverage, the more slowly the admitted fractions rise.
func (m *Manager) coverage() float64 { return float64(len(m.fleet.fresh)+1) / m.fleetSize() }

// advance moves the clock forward and removes expired reports. If recomputeInterval has passed, it also decays the counts
// and recomputes the admission thresholds.
func (m *Manager) advance(now tick.Tick) {
	m.now = max(m.now, now)
	m.expireReports()
	if m.now-m.recomputedAt < recomputeInterval {
		return
	}
	elapsed := (m.now - m.recomputedAt).Seconds()
	m.recomputedAt = m.now
	m.admission.decay(elapsed)
	m.budget.decay(elapsed)
	for m.window.size > 0 && m.now-m.window.oldest().endedAt > evidenceTTL {
		m.dropOldestOutcome()
	}
	m.recomputeThresholds()
}

// At each call, RetryAfter advances Manager.retryAfterPhase by inverseGoldenRatio plus a random part of
// retryAfterJitter. Steps of the inverse golden ratio spread any number of phases evenly over [0, 1).
const (
	inverseGoldenRatio = 0.6180339887498949
	retryAfterJitter   = 0.05
)

// RetryAfter returns a time after which a client should come back, from minDelay up to maxDelay. The times of one relay
// are spread evenly, and so are those of all relays, since each relay starts at a phase derived from its ID. Without
// the spread, clients that were rejected together would come back together.
func (m *Manager) RetryAfter(now tick.Tick, minDelay, maxDelay tick.Tick) tick.Tick {
	m.advance(now)
	_, m.retryAfterPhase = math.Modf(m.retryAfterPhase + inverseGoldenRatio + retryAfterJitter*m.rng.Float64())
	return minDelay + tick.Tick(m.retryAfterPhase*float64(max(0, maxDelay-minDelay)))
}
