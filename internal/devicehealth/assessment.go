package devicehealth

import (
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

// What migrating all instances takes, times these, has to be left for a state. A node evacuates at twice, as the copies of the
// other nodes of its zone may be under way; it holds at five times, as an instance taken in would migrate again at
// once; a node takes few instances below ten. Below half nothing can be finished.
const (
	shuttingDownRatio = 0.5
	evacuatingRatio   = 2.0
	holdingRatio      = 5.0
	limitedRatio      = 10.0
)

// assessment is what a node's readings allow at one moment.
type assessment struct {
	timeToEmpty        tick.Tick // at the present load, Never if not foreseen
	timeToOverheat     tick.Tick // at the present load, Never if not foreseen
	timeToLimitOffered tick.Tick // the lesser of both at the offered load
	migrationTime      tick.Tick // for all instances
	unknown            []string  // readings that cannot be relied on
	readings           KeyReadings
	constraints        []constraint
	untrusted          map[*series]bool
	strictness         float64 // above 1 asks for more of everything
}

// constraint is the highest level that one thing allows.
type constraint struct {
	level  level
	reason string // left out of a strict assessment, of which only the level is used
}

// addConstraint adds a constraint.
func (a *assessment) addConstraint(at level, format string, args ...any) {
	if at == levelAccepting {
		return
	}
	c := constraint{level: at}
	if a.strictness <= 1 {
		c.reason = fmt.Sprintf(format, args...)
	}
	a.constraints = append(a.constraints, c)
}

// level is the lowest of the constraints.
func (a *assessment) level() level {
	lowest := levelAccepting
	for _, c := range a.constraints {
		lowest = min(lowest, c.level)
	}
	return lowest
}

// trusts reports whether a reading can be relied on.
func (a *assessment) trusts(s *series) bool { return s.known() && !a.untrusted[s] }

// assess works out what the readings allow.
func (m *Monitor) assess(strictness float64) *assessment {
	a := &assessment{
		timeToEmpty:        Never,
		timeToOverheat:     Never,
		timeToLimitOffered: Never,
		migrationTime:      m.migrationTimeOf(m.instances, m.stateBytes),
		untrusted:          map[*series]bool{},
		strictness:         strictness,
	}
	if m.shutdownRequested {
		a.addConstraint(levelShuttingDown, "told to end")
	}
	m.findUntrustedReadings(a)
	m.assessBattery(a)
	m.assessTemperature(a)
	m.assessCondition(a)
	m.assessOutcomes(a)
	return a
}

// findUntrustedReadings finds the readings that cannot be relied on. A temperature sensor that never worked beside one that
// does, as that of a radio that is off, is left out without a constraint.
func (m *Monitor) findUntrustedReadings(a *assessment) {
	hasTemperature := slices.ContainsFunc(m.series, func(s *series) bool { return s.kind == KindTemperature && s.known() })
	for _, s := range m.series {
		if s.kind == KindTemperature && !s.known() && hasTemperature {
			a.untrusted[s] = true
			continue
		}
		if reason := s.unknownReason(m.now, m.fullCharge(s.name)); reason != "" {
			a.untrusted[s] = true
			a.unknown = append(a.unknown, s.label())
			a.addConstraint(levelHolding, "%s unknown: %s", s.label(), reason)
		}
	}
	if m.truncated {
		a.unknown = append(a.unknown, "more")
		a.addConstraint(levelHolding, "more than %d readings: the rest is not looked at", maxTrackedReadings)
	}
}

// fullCharge is what a battery holds when full, in joules; 0 if that is not known.
func (m *Monitor) fullCharge(battery string) float64 {
	for _, s := range m.series {
		if s.kind == KindFullCharge && s.name == battery && s.known() {
			value, _ := s.last()
			return value
		}
	}
	return 0
}

// assessOutcomes holds back a node whose own requests fail.
func (m *Monitor) assessOutcomes(a *assessment) {
	switch {
	case m.failures.waiting(m.now):
		a.addConstraint(levelHolding, "its readings are well, but it fails its work")
	case m.failures.failing():
		a.addConstraint(levelLimited, "it failed its work, and is tried again")
	}
}

// levelFor is the level that the time left allows, at the present and at the offered load.
func levelFor(present, offered, migration tick.Tick, strictness float64) level {
	suffices := func(left tick.Tick, ratio float64) bool { return float64(left) >= ratio*strictness*float64(migration) }
	switch {
	case !suffices(present, shuttingDownRatio):
		return levelShuttingDown
	case !suffices(present, evacuatingRatio):
		return levelEvacuating
	case !suffices(offered, holdingRatio):
		return levelHolding
	case !suffices(offered, limitedRatio):
		return levelLimited
	}
	return levelAccepting
}
