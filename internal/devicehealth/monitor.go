// Package devicehealth decides how much work an edge node on battery takes (Monitor). For the leading controller it
// decides which nodes' reports to believe (Verifier) and which instances continue to be served while all nodes of a zone
// must evacuate (LastResort).
//
// The caller of a Monitor passes in the node's readings (AddReading), its load (SetLoad), its instances (SetInstances)
// and the outcomes of its requests (RecordOutcome), and calls Assess about once a second for the node's report. The
// report's state is the lowest of the states that the single readings allow. For batteries and temperatures, the Monitor
// forecasts the time until the battery is empty or the machine too hot. It compares the lower confidence bound of that
// time with the time for migrating all instances. The state falls at once and rises after a dwell time.
//
// Files: monitor.go (inputs and reports), assessment.go, battery.go, temperature.go and condition.go (what each reading
// allows), hysteresis.go (falls and rises of the state), reading.go and series.go (which readings are accepted),
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
	// timePerMigration is the time reserved for one migration, in addition to the time for copying its state. A
	// migration pauses the instance's requests for at most 0.3 s over a good link, and for at most 0.9 s over a radio
	// link.
	timePerMigration = tick.Second
	// copyRate is the rate at which state is copied, in bytes per second. All copies share one uplink, which is assumed
	// to have 2 Mbit/s, as a weak mobile connection has.
	copyRate = 250e3
	// migrationMargin multiplies the time for migrating and copying; 2 leaves room for a second attempt at each
	// migration.
	migrationMargin = 2.0

	// unknownRisk is a lower bound: the risk of a node that has unknown readings, or that is failing by its outcomes, is
	// at least this.
	unknownRisk = 0.5
	// maxTrackedReadings bounds the number of readings that a Monitor tracks; it ignores further ones.
	maxTrackedReadings = 64
	// busyLoad is the load above which a node counts as busy. The temperatures and the draw of a busy node should
	// change: if they do not, their readings may be stuck (see series.unknownReason).
	busyLoad = 0.05
	// maxOwnFailureShare is the baseline share of failures that a node's own outcomes are tested against. A node that
	// fails more often is unhealthy, whatever its readings.
	maxOwnFailureShare = 0.2
)

// Monitor assesses the health of one edge node. It is not safe for concurrent use.
type Monitor struct {
	settings     settings
	now          tick.Tick // time that the latest method call passed in
	lastAssessed tick.Tick // when Assess was last called
	series       []*series
	truncated    bool // there were more readings than maxTrackedReadings

	load              float64 // present load, as a fraction of the node's capacity
	offeredLoad       float64 // load if the node accepted all requests; at least load
	instances         int
	stateBytes        int // bytes of the state of all instances together
	shutdownRequested bool

	hysteresis hysteresis
	failures   failureDetector
}

// settings holds the fleet's settings, in the units of this package.
type settings struct {
	reserve            float64 // seconds: lower bound of the time reserved for migrating all instances
	temperatureCap     float64 // degrees C: upper bound of the limit of each temperature sensor
	emptyCharge        float64 // fraction of full at which a battery counts as empty
	maxInstances       int
	parallelMigrations float64 // number of migrations that one node runs at the same time
}

// defaultSettings has the default values of the settings that NewMonitor reads, by name without the prefix "fleet.".
// They equal the defaults in the operator's file.
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

// NewMonitor returns the Monitor of one node. It uses the settings fleet.reserve, fleet.hot, fleet.empty, fleet.places
// and fleet.moves.unit. A setting that is missing from the parameter set takes its value from defaultSettings.
func NewMonitor(now tick.Tick, set map[string]any) *Monitor {
	return &Monitor{
		settings:     parseSettings(set),
		now:          now,
		lastAssessed: now,
		hysteresis:   newHysteresis(),
		failures:     newFailureDetector(),
	}
}

// AddReading adds one reading, valid or not. It ignores a reading of an unknown kind, which a later version may define.
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

// SetLoad sets the node's load as fractions of its capacity: the present load, and the offered load, which the node would
// have if it accepted all requests. The call is ignored if a value is below 0 or NaN; values above 1 count as 1.
func (m *Monitor) SetLoad(now tick.Tick, present, offered float64) {
	if !(present >= 0) || !(offered >= 0) { // the negated comparisons are also true for NaN
		return
	}
	m.now = now
	m.load = min(present, 1)
	m.offeredLoad = max(m.load, min(offered, 1))
}

// SetInstances sets the number of instances on the node and the total size of their state in bytes.
func (m *Monitor) SetInstances(now tick.Tick, instances, stateBytes int) {
	m.now, m.instances, m.stateBytes = now, max(0, instances), max(0, stateBytes)
}

// RequestShutdown records that the process was told to shut down.
func (m *Monitor) RequestShutdown(now tick.Tick) { m.now, m.shutdownRequested = now, true }

// RecordOutcome records whether one of the node's requests succeeded in time. A rejected request is not an outcome and is
// not to be recorded.
//
// RecordOutcome guards against a node whose requests fail although its readings are good. Outcomes do not show whether
// the node or the version that it runs is at fault. The relays' votes decide about the version. Until the votes have
// decided, the only cost is that nodes that would fail new work get none.
func (m *Monitor) RecordOutcome(now tick.Tick, succeeded bool) {
	m.now = now
	m.failures.record(now, succeeded, maxOwnFailureShare)
}

// Assess computes the node's report. Call it about once a second.
func (m *Monitor) Assess(now tick.Tick) Report {
	m.now = now
	m.updateSeries()
	m.lastAssessed = now
	a := m.assess(1)
	strict := m.assess(riseMargin)
	m.hysteresis.update(now, a.level(), min(a.level(), strict.level()), len(a.unknown) > 0)
	return m.report(a)
}

// updateSeries drops readings that never had a value and have not been delivered for staleAfter. For the remaining
// readings it records what unknownReason needs to find a stuck reading: whether the node was busy, and the energy drawn
// from the battery.
func (m *Monitor) updateSeries() {
	m.series = slices.DeleteFunc(m.series, func(s *series) bool {
		return !s.hasValue() && m.now-s.lastReadAt > staleAfter
	})
	for _, s := range m.series {
		s.workedSinceMove = s.workedSinceMove || m.load > busyLoad
		if s.kind != KindCharge {
			continue
		}
		for _, draw := range m.ofKind(KindDraw) {
			if draw.name == s.name && draw.hasValue() {
				s.drainedSinceMove += max(0, draw.upperQuartile()) * (m.now - m.lastAssessed).Seconds()
			}
		}
	}
}

// ofKind returns the series of all readings of one kind.
func (m *Monitor) ofKind(kind Kind) []*series {
	var all []*series
	for _, s := range m.series {
		if s.kind == kind {
			all = append(all, s)
		}
	}
	return all
}

// report builds the node's report from an assessment and the level of the hysteresis. Its reasons are the reasons of
// all constraints, sorted by level with the lowest first. If the hysteresis holds the state down, the last reason says
// so.
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

// risk returns the node's risk of failing, 0 to 1. The risk follows from the time left until the battery is empty or the
// machine too hot: it is 0 at limitedRatio times the migration time and rises to 1 as the time left falls to 0. The risk
// is at least unknownRisk if readings are unknown or requests fail, and 1 after a shutdown request.
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

// migrationTimeOf returns the time to reserve for migrating the given number of instances, whose state has stateBytes in
// all. The time is at least the reserve setting and at least one second.
func (m *Monitor) migrationTimeOf(instances, stateBytes int) tick.Tick {
	rounds := math.Ceil(float64(instances) / m.settings.parallelMigrations)
	copying := float64(stateBytes) / copyRate
	return ticks(max(1, m.settings.reserve, migrationMargin*(rounds*timePerMigration.Seconds()+copying)))
}

// spareCapacity returns how many more instances the node can take before the longer migration time would allow only a
// level below the parameter at. The result is at most 1 if at is levelLimited, and 0 if at is lower.
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
	return sort.Search(most, func(k int) bool { // a binary search is valid because the migration time never falls as the number of instances grows
		more := k + 1
		needed := tick.Tick(float64(m.migrationTimeOf(m.instances+more, m.stateBytes+more*average)) * m.drawFactor(1))
		return levelFor(Never, a.timeToLimitOffered, needed, 1) < at
	})
}

// ticks converts seconds to a tick.Tick. A time of half of Never or more becomes Never.
func ticks(s float64) tick.Tick {
	if t := s * float64(tick.Second); t < float64(Never/2) {
		return tick.Tick(t)
	}
	return Never
}

// readableTime is a time whose String method prints it in seconds, minutes or hours.
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
