package devicehealth

import (
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

// Ratios of the time left to the time for migrating all instances, below which a level applies. Below 10 a node takes few
// instances. It holds below 5, as a new instance would have to migrate again at once. It evacuates below 2, not 1, as
// migrations from other nodes of its zone may be under way. Below 0.5 no migration can be finished.
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
	timeToLimitOffered tick.Tick // the lesser of timeToEmpty and timeToOverheat, at the offered load
	migrationTime      tick.Tick // time for migrating all instances
	unknown            []string  // names of unknown readings
	readings           KeyReadings
	constraints        []constraint
	untrusted          map[*series]bool
	strictness         float64 // factor on the required margins: above 1 they are wider
}

// constraint is the highest level that one reading or condition allows.
type constraint struct {
	level  level
	reason string // empty if strictness is above 1: then only the level is used
}

// addConstraint adds a constraint, unless it allows the highest level.
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

// level returns the lowest level of the constraints.
func (a *assessment) level() level {
	lowest := levelAccepting
	for _, c := range a.constraints {
		lowest = min(lowest, c.level)
	}
	return lowest
}

// trusts reports whether a reading has a value and is not untrusted.
func (a *assessment) trusts(s *series) bool { return s.known() && !a.untrusted[s] }

// assess computes what the readings allow, with the required margins multiplied by strictness.
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

// findUntrustedReadings finds the readings without a trustworthy value, and holds the node if there are any. A temperature
// sensor that has never worked, beside another that does, adds no constraint: it may belong to a radio that is off.
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
		a.addConstraint(levelHolding, "more than %d readings: the rest are ignored", maxTrackedReadings)
	}
}

// fullCharge returns the full charge of a battery in joules, or 0 if it is unknown.
func (m *Monitor) fullCharge(battery string) float64 {
	for _, s := range m.series {
		if s.kind == KindFullCharge && s.name == battery && s.known() {
			value, _ := s.last()
			return value
		}
	}
	return 0
}

// assessOutcomes adds the constraint of a node whose own requests fail: the node holds while the detector waits, and is then
// limited until the node has recovered.
func (m *Monitor) assessOutcomes(a *assessment) {
	switch {
	case m.failures.waiting(m.now):
		a.addConstraint(levelHolding, "its readings are well, but it fails its work")
	case m.failures.failing():
		a.addConstraint(levelLimited, "it failed its work, and is tried again")
	}
}

// levelFor returns the level that the time left allows, at the present and at the offered load, if migrating all instances
// takes the time migration.
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
