package devicehealth

import (
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

// Each constant is the lower bound of a ratio: the time left until the battery is empty or the machine too hot, divided
// by the time for migrating all instances. Below limitedRatio the node takes few new instances. Below holdingRatio the
// node takes none: a new instance would have to migrate again at once. Below evacuatingRatio the node's instances
// migrate away. evacuatingRatio is 2 rather than 1 because other nodes of the zone may be migrating instances at the
// same time. Below shuttingDownRatio no migration can be finished.
const (
	shuttingDownRatio = 0.5
	evacuatingRatio   = 2.0
	holdingRatio      = 5.0
	limitedRatio      = 10.0
)

// assessment collects what a node's readings allow at one moment.
type assessment struct {
	timeToEmpty        tick.Tick // time until the battery is empty at the present load; Never if not foreseeable
	timeToOverheat     tick.Tick // time until the machine is too hot at the present load; Never if not foreseeable
	timeToLimitOffered tick.Tick // time until the battery is empty or the machine too hot, whichever is shorter, at the offered load (see Monitor.SetLoad); Never if not foreseeable
	migrationTime      tick.Tick // time to reserve for migrating all instances
	unknown            []string  // labels of the unknown readings
	readings           KeyReadings
	constraints        []constraint
	untrusted          map[*series]bool
	strictness         float64 // factor by which the required margins are multiplied; above 1, each level needs wider margins
}

// constraint is the highest level that one reading or condition allows.
type constraint struct {
	level  level
	reason string // why no higher level is allowed; empty if assessment.strictness is above 1, since Assess uses only the level of such an assessment
}

// addConstraint adds a constraint with the given level and reason. It adds none for levelAccepting, the highest level,
// which constrains nothing.
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

// level returns the lowest level of the constraints, or levelAccepting if there are none.
func (a *assessment) level() level {
	lowest := levelAccepting
	for _, c := range a.constraints {
		lowest = min(lowest, c.level)
	}
	return lowest
}

// trusts reports whether a reading has a value that findUntrustedReadings has not marked as untrusted.
func (a *assessment) trusts(s *series) bool { return s.hasValue() && !a.untrusted[s] }

// assess computes what the readings allow. It multiplies the ratios of levelFor, holdingCharge and holdingMargin by
// strictness.
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

// findUntrustedReadings marks the readings that have no trustworthy value. For each of them it adds a constraint of
// levelHolding, so that the node takes no new instances. The exception is a temperature sensor that has no value while
// another temperature sensor has one: the sensor without a value may belong to a radio that is off.
func (m *Monitor) findUntrustedReadings(a *assessment) {
	hasTemperature := slices.ContainsFunc(m.series, func(s *series) bool { return s.kind == KindTemperature && s.hasValue() })
	for _, s := range m.series {
		if s.kind == KindTemperature && !s.hasValue() && hasTemperature {
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
		a.addConstraint(levelHolding, "more than %d readings: the rest are ignored", maxTrackedReadings)
	}
}

// fullCharge returns the full charge of a battery in joules, or 0 if it is unknown.
func (m *Monitor) fullCharge(battery string) float64 {
	for _, s := range m.series {
		if s.kind == KindFullCharge && s.name == battery && s.hasValue() {
			value, _ := s.last()
			return value
		}
	}
	return 0
}

// assessOutcomes adds the constraint of a node whose own requests fail too often. After an alarm of the failure
// detector the constraint is levelHolding for failureDetector.wait, and then levelLimited until the node has recovered.
func (m *Monitor) assessOutcomes(a *assessment) {
	switch {
	case m.failures.waiting(m.now):
		a.addConstraint(levelHolding, "its readings are well, but it fails its work")
	case m.failures.failing():
		a.addConstraint(levelLimited, "it failed its work, and is tried again")
	}
}

// levelFor returns the level that is allowed by the time left until the battery is empty or the machine too hot. The
// parameters present and offered are the time left at the present and at the offered load. The parameter migration is
// the time for migrating all instances. Each level requires a minimum ratio of the time left to migration (see
// shuttingDownRatio). The minimum ratios are multiplied by strictness.
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
