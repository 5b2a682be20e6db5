// Package overload decides how the relays of one fleet meet overload together: which requests are shed, which
// attempts may be retried, which relays probe a backend that fails, and how starts, calls for the endpoint list and
// connections are spread after a common restart. It also has the session limits of a listener.
//
// How to drive it: NewManager makes the Manager of one relay. Call the one method that names what has happened, with
// the time, one call at a time. What is known of the other relays comes by UpdatePeer; LocalReport is what this relay
// sends to them.
//
// Without other relays (the setting fleet.relays at most 1, and none was ever heard of) a Manager is standalone: it
// admits every request, retry and probe, and nothing waits. A relay that has heard of no other one for isolationTimeout
// is isolated: it admits every request and nothing waits, as when standalone; its retry budget, which rests on its own
// first attempts alone, and the rate of its probes stay.
//
// Files: manager.go (time and randomness), peers.go (what is known of the others), pressure.go and admission.go (what is
// shed), retry_budget.go, startup.go, outlier.go, peer_evidence.go and verdicts.go (which backends fail), probing.go,
// report.go and codec.go (messages between relays), listener_limits.go.
//
// Kind: decision (see docs/architecture.md)
package overload

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

// recomputeInterval is the least time between two recomputations of what decays and of the admission thresholds.
const recomputeInterval = tick.Second / 10

// randomStream tells the generator of this package apart from others with the same seed.
const randomStream = 0x0f1ee7

// Manager decides for one relay. It is not safe for concurrent use.
type Manager struct {
	settings     settings
	id           uint64 // hash of the relay's name
	rng          *rand.Rand
	now          tick.Tick // the latest time of any call
	startedAt    tick.Tick
	recomputedAt tick.Tick

	fleet     fleetView
	admission admission
	budget    retryBudget

	suspects        map[uint64]*suspectBackend // by the hash of the backend's name
	byVerdict       []*suspectBackend          // the same, the one with the newest verdict last
	window          outcomeWindow
	retryAfterPhase float64 // of the next Retry-After, 0 to 1
}

// NewManager makes the Manager of the relay named self, which starts now. The settings are those of the directives
// fleet.relays, fleet.repeats, fleet.floor, fleet.probes and fleet.ramp: numbers, the ramp in seconds.
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

// settings are the fleet's directives, in the units of this package.
type settings struct {
	relays         float64   // relays of the fleet, at least 1
	retryShare     float64   // retries for each first attempt
	admissionFloor float64   // share of each class's tenants that is always admitted
	probesPerSec   float64   // probes of one failing backend, by the whole fleet
	startupWindow  tick.Tick // over which a common restart is spread
}

// parseSettings reads the directives; one that is missing is 0.
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

// unitInterval maps a hash to a number from 0 up to 1.
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// standalone reports whether there is no fleet.
func (m *Manager) standalone() bool { return m.settings.relays <= 1 && len(m.fleet.peers) == 0 }

// isolated reports whether there is no fleet, or none that can be heard.
func (m *Manager) isolated() bool {
	return m.standalone() || m.now-m.fleet.newestReportAt >= isolationTimeout
}

// fleetSize is the number of relays.
func (m *Manager) fleetSize() float64 { return max(m.settings.relays, float64(len(m.fleet.peers)+1)) }

// coverage is the part of the fleet whose reports are fresh, this relay with it. The less is known, the more slowly
// admission rises.
func (m *Manager) coverage() float64 { return float64(len(m.fleet.fresh)+1) / m.fleetSize() }

// advance moves the clock forward, drops reports that have expired, and recomputes what is due.
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

// Each Retry-After is the last one's phase plus the golden section, which spreads any number of them evenly, and a
// little by chance.
const (
	inverseGoldenRatio = 0.6180339887498949
	retryAfterJitter   = 0.05
)

// RetryAfter is a time to come back, from least up to most. The times are spread evenly over what one relay gives, and
// over the relays, which each start at a phase of their own. Guards against clients that come back in step.
func (m *Manager) RetryAfter(now tick.Tick, minDelay, maxDelay tick.Tick) tick.Tick {
	m.advance(now)
	_, m.retryAfterPhase = math.Modf(m.retryAfterPhase + inverseGoldenRatio + retryAfterJitter*m.rng.Float64())
	return minDelay + tick.Tick(m.retryAfterPhase*float64(max(0, maxDelay-minDelay)))
}
