// Package devicehealth decides, for one edge node on battery, how much work it takes (Monitor), and for the leading
// controller which nodes' reports to believe (Verifier) and which instances are served on where all nodes of a zone must
// evacuate (LastResort).
//
// How to drive a Monitor: hand in the node's readings (AddReading), its load (SetLoad), the instances it has
// (SetInstances) and how its requests ended (RecordOutcome), and call Assess about once a second, which returns the
// node's report. The report's state is the lowest of those that each reading allows: by the time until the battery is
// empty or the machine too hot, forecast by the lower confidence bound, against the time that migrating all instances
// takes. The state falls at once and rises after a dwell time.
//
// Files: monitor.go (inputs and reports), assessment.go, battery.go, temperature.go and condition.go (what each reading
// allows), hysteresis.go (falls and rises), reading.go and series.go (which readings are believed),
// failure_detector.go (outcomes), report.go and state.go, verifier.go and claims.go, last_resort.go.
//
// Kind: decision (see docs/architecture.md)
package devicehealth

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"silvercove/internal/tick"
)

const (
	// timePerMigration is how long a migration may take beside the copying: it holds the instance's requests for 0.3 s at
	// most over a good link, three times that over a radio.
	timePerMigration = tick.Second
	// copyRate is the rate at which state is copied, in bytes a second: copies share an uplink of 2 Mbit/s, a weak
	// mobile one.
	copyRate = 250e3
	// migrationMargin doubles the sum of both, so that a second attempt at each fits in.
	migrationMargin = 2.0

	// unknownRisk is the least risk of a node of which something is not known, or that fails its work.
	unknownRisk = 0.5
	// maxTrackedReadings is how many readings are looked at.
	maxTrackedReadings = 64
	// busyLoad is the load from which a node counts as working: its readings should move.
	busyLoad = 0.05
	// maxOwnFailureShare is the share of a node's own outcomes that may be failures: beyond it the node is not well
	// whatever it reads.
	maxOwnFailureShare = 0.2
)

// Monitor decides for one edge node. It is not safe for concurrent use.
type Monitor struct {
	settings     settings
	now          tick.Tick // of the latest call
	lastAssessed tick.Tick // when Assess was last called
	series       []*series
	truncated    bool // there are more readings than maxTrackedReadings

	load              float64 // present load, a share of what the node can do
	offeredLoad       float64 // the load if it took all that is asked of it; at least load
	instances         int
	stateBytes        int // of all instances
	shutdownRequested bool

	hysteresis hysteresis
	failures   failureDetector
}

// settings are the fleet's directives, in the units of this package.
type settings struct {
	reserve            float64 // seconds that are kept for migrating instances, at least
	temperatureCap     float64 // degrees C that no sensor may reach
	emptyCharge        float64 // share of a full battery at which it counts as empty
	maxInstances       int
	parallelMigrations float64 // of one node, under way at once
}

// defaultSettings are those of the operator's file, for what it does not say.
var defaultSettings = map[string]float64{"reserve": 60, "hot": 85, "empty": 0.05, "places": 8, "moves.unit": 8}

func parseSettings(set map[string]any) settings {
	number := func(name string) float64 {
		if value, ok := set["fleet."+name].(float64); ok {
			return value
		}
		return defaultSettings[name]
	}
	return settings{
		reserve:            number("reserve"),
		temperatureCap:     number("hot"),
		emptyCharge:        number("empty"),
		maxInstances:       int(number("places")),
		parallelMigrations: max(1, number("moves.unit")),
	}
}

// NewMonitor makes the Monitor of one node. Its settings are fleet.reserve, fleet.hot, fleet.empty, fleet.places and
// fleet.moves.unit; one that is missing has its default of the operator's file.
func NewMonitor(now tick.Tick, set map[string]any) *Monitor {
	return &Monitor{
		settings:     parseSettings(set),
		now:          now,
		lastAssessed: now,
		hysteresis:   newHysteresis(),
		failures:     newFailureDetector(),
	}
}

// AddReading adds one reading, valid or not. One of a kind that is not known, as of a later version, is ignored.
func (m *Monitor) AddReading(now tick.Tick, r Reading) {
	m.now = now
	if _, known := plausibility[r.Kind]; !known {
		return
	}
	for _, s := range m.series {
		if s.name == r.Name && s.kind == r.Kind {
			s.add(now, r)
			return
		}
	}
	if len(m.series) == maxTrackedReadings {
		m.truncated = true
		return
	}
	s := &series{name: r.Name, kind: r.Kind}
	s.add(now, r)
	m.series = append(m.series, s)
}

// SetLoad sets the node's work, as shares of what it can do: that which it does, and that which it would if it took all
// that is asked of it. Values below 0 are ignored, those above 1 count as 1.
func (m *Monitor) SetLoad(now tick.Tick, present, offered float64) {
	if !(present >= 0) || !(offered >= 0) { // also false for what is no number
		return
	}
	m.now = now
	m.load = min(present, 1)
	m.offeredLoad = max(m.load, min(offered, 1))
}

// SetInstances sets how many instances the node has, and the bytes of their state.
func (m *Monitor) SetInstances(now tick.Tick, instances, stateBytes int) {
	m.now, m.instances, m.stateBytes = now, max(0, instances), max(0, stateBytes)
}

// RequestShutdown records that the process was asked to end.
func (m *Monitor) RequestShutdown(now tick.Tick) { m.now, m.shutdownRequested = now, true }

// RecordOutcome records how one of the node's requests ended: whether it did what it was asked for in time. Rejections
// are no outcomes. Guards against a node that reads well and fails. A bad version looks the same, which the relays'
// votes judge; it hurts then by taking no new work from nodes that would fail it.
func (m *Monitor) RecordOutcome(now tick.Tick, succeeded bool) {
	m.now = now
	m.failures.record(now, succeeded, maxOwnFailureShare)
}

// Assess works out the node's report. It is to be called about once a second.
func (m *Monitor) Assess(now tick.Tick) Report {
	m.now = now
	m.updateSeries()
	m.lastAssessed = now
	a := m.assess(1)
	strict := m.assess(riseMargin)
	m.hysteresis.update(now, a.level(), min(a.level(), strict.level()), len(a.unknown) > 0)
	return m.report(a)
}

// updateSeries drops readings that are gone, and notes what bears on whether the others still move.
func (m *Monitor) updateSeries() {
	m.series = slices.DeleteFunc(m.series, func(s *series) bool {
		return !s.known() && m.now-s.lastReadAt > staleAfter
	})
	for _, s := range m.series {
		s.workedSinceMove = s.workedSinceMove || m.load > busyLoad
		if s.kind != KindCharge {
			continue
		}
		for _, draw := range m.ofKind(KindDraw) {
			if draw.name == s.name && draw.known() {
				s.drainedSinceMove += max(0, draw.upperQuartile()) * (m.now - m.lastAssessed).Seconds()
			}
		}
	}
}

// ofKind are the readings of one kind.
func (m *Monitor) ofKind(kind Kind) []*series {
	var all []*series
	for _, s := range m.series {
		if s.kind == kind {
			all = append(all, s)
		}
	}
	return all
}

// report is an assessment as the node reports it.
func (m *Monitor) report(a *assessment) Report {
	state := m.hysteresis.level
	r := Report{
		Version:            ReportVersion,
		State:              state.state(),
		AcceptFraction:     state.acceptFraction(),
		Risk:               m.risk(a),
		TimeToEmpty:        a.timeToEmpty,
		TimeToOverheat:     a.timeToOverheat,
		TimeToLimitOffered: a.timeToLimitOffered,
		MigrationTime:      a.migrationTime,
		UnknownReadings:    a.unknown,
		ShutdownRequested:  m.shutdownRequested,
		Readings:           a.readings,
		SpareCapacity:      m.spareCapacity(a, state),
	}
	if !m.shutdownRequested {
		r.LastResortCapacity = max(1, int(math.Ceil(float64(max(1, m.instances))*(1-r.Risk))))
	}
	slices.SortStableFunc(a.constraints, func(x, y constraint) int { return int(x.level) - int(y.level) })
	for _, c := range a.constraints {
		r.Reasons = append(r.Reasons, c.reason)
	}
	if state < a.level() {
		r.Reasons = append(r.Reasons, m.hysteresis.waitReason(m.now))
	}
	return r
}

// risk is how near the node is to failing, 0 to 1.
func (m *Monitor) risk(a *assessment) float64 {
	if m.shutdownRequested {
		return 1
	}
	risk := 0.0
	if left := min(a.timeToEmpty, a.timeToOverheat); left < Never {
		risk = max(0, 1-float64(left)/(limitedRatio*float64(a.migrationTime)))
	}
	if len(a.unknown) > 0 || m.failures.failing() {
		risk = max(risk, unknownRisk)
	}
	return risk
}

// migrationTimeOf is the time that migrating so many instances takes, kept in reserve.
func (m *Monitor) migrationTimeOf(instances, stateBytes int) tick.Tick {
	rounds := math.Ceil(float64(instances) / m.settings.parallelMigrations)
	copying := float64(stateBytes) / copyRate
	return ticks(max(1, m.settings.reserve, migrationMargin*(rounds*timePerMigration.Seconds()+copying)))
}

// spareCapacity is how many more instances could still migrate in time.
func (m *Monitor) spareCapacity(a *assessment, at level) int {
	if at < levelLimited {
		return 0
	}
	most := max(0, m.settings.maxInstances-m.instances)
	if at == levelLimited {
		most = min(most, 1)
	}
	average := 0
	if m.instances > 0 {
		average = m.stateBytes / m.instances
	}
	return sort.Search(most, func(k int) bool { // what more instances need only grows
		more := k + 1
		needed := tick.Tick(float64(m.migrationTimeOf(m.instances+more, m.stateBytes+more*average)) * m.drawFactor(1))
		return levelFor(Never, a.timeToLimitOffered, needed, 1) < at
	})
}

// ticks converts seconds; what is too long for a time is Never.
func ticks(s float64) tick.Tick {
	if t := s * float64(tick.Second); t < float64(Never/2) {
		return tick.Tick(t)
	}
	return Never
}

// readableTime prints as a time in a sentence.
type readableTime tick.Tick

func (t readableTime) String() string {
	s := int64(tick.Tick(t) / tick.Second)
	switch {
	case tick.Tick(t) == Never:
		return "no foreseeable time"
	case s < 120:
		return fmt.Sprintf("%d s", s)
	case s < 7200:
		return fmt.Sprintf("%d min", s/60)
	}
	return fmt.Sprintf("%d h", s/3600)
}
