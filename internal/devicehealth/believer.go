package devicehealth

import (
	"cmp"
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

// The tuned values of what is believed of others.
const (
	byClaim    = 0.5  // of a zone's units at most are tired by claim alone: a build's fault shows in all at once
	claimLasts = 600  // seconds for which a claim counts after it was withdrawn: so that turns are not taken
	besides    = 0.1  // failure share beyond that of the others: a unit of a pair may have the harder cameras
	aloneShare = 0.2  // failure share that is held to be usual where there are no others to compare with
	shareOver  = 256  // outcomes of the others, from which it is taken
	nearHot    = 15.0 // degrees below its limit from which a reading bears a claim of heat out
	mostUnits  = 4096
)

// Verifier says which reports count, at the leading keeper. It is fed with reports and outcomes of all
// units and keeps nothing that must outlive it: a new leader believes each unit until its outcomes say
// otherwise.
type Verifier struct {
	set   map[string]any
	units map[string]*claimant
	zones map[string]*zone
}

type claimant struct {
	name         string
	zone         *zone
	report       Report
	charge, temp series // as shown, for what is physically possible
	outcomes     stream
	last         []float64 // outcomes, the newest last
	bad          float64   // of them
	failed, wait tick.Tick
	good         int
	granted      bool // counts as tired by claim alone
}

type zone struct {
	units []*claimant // by name
	given []tick.Tick // when claims alone that are withdrawn since were granted until
}

// NewVerifier makes the module. It takes no setting yet.
func NewVerifier(now tick.Tick, set map[string]any) *Verifier {
	return &Verifier{set: set, units: map[string]*claimant{}, zones: map[string]*zone{}}
}

// Verify takes what a unit says and returns what counts: the same, or a state that is believed with the
// reason before the unit's own.
func (b *Verifier) Verify(now tick.Tick, unit, zoneName string, r Report) Report {
	c := b.units[unit]
	if c == nil {
		if len(b.units) == mostUnits {
			return believed(r, StateHolding, fmt.Sprintf("more than %d units report", mostUnits))
		}
		c = &claimant{name: unit, wait: dwellLow, charge: series{kind: KindCharge}, temp: series{kind: KindTemperature}}
		b.units[unit] = c
	}
	if z := b.zones[zoneName]; c.zone == nil || c.zone != z {
		b.leave(c)
		if z == nil {
			z = &zone{}
			b.zones[zoneName] = z
		}
		at, _ := slices.BinarySearchFunc(z.units, unit, func(c *claimant, name string) int {
			return cmp.Compare(c.name, name)
		})
		z.units, c.zone = slices.Insert(z.units, at, c), z
	}
	c.report = r
	if v := r.Readings.Charge; v != nil {
		c.charge.take(now, Reading{Value: *v, OK: true})
	}
	if v := r.Readings.Temperature; v != nil {
		c.temp.take(now, Reading{Value: *v, OK: true})
	}
	counts, _ := b.Verified(now, unit)
	return counts
}

// RecordOutcome is how a command at a unit ended, as its callers saw it. Refusals are no outcomes. What is
// compared is the share of failures of all others, so that a trouble of all sets none aside.
func (b *Verifier) RecordOutcome(now tick.Tick, unit string, good bool) {
	c := b.units[unit]
	if c == nil {
		return
	}
	x := 0.0
	if !good {
		x = 1
	}
	alarm := c.outcomes.see(x, min(0.9, b.others(c)+besides))
	if len(c.last) == shareOver {
		c.bad -= c.last[0]
		c.last = append(c.last[:0], c.last[1:]...)
	}
	c.last, c.bad = append(c.last, x), c.bad+x
	switch c.good++; {
	case alarm:
		if c.failed > 0 {
			c.wait = min(2*c.wait, dwellHigh)
		}
		c.failed, c.good, c.outcomes = now, 0, stream{}
	case c.failed > 0 && now-c.failed >= c.wait && c.good >= goodRun && !c.outcomes.wary():
		c.failed, c.wait = 0, dwellLow
	}
}

// others is the failure share of the units beside one, each by its own last outcomes.
func (b *Verifier) others(c *claimant) float64 {
	var bad, all float64
	for _, o := range c.zone.units { // of its zone, as they share its links
		if o != c {
			bad, all = bad+o.bad, all+float64(len(o.last))
		}
	}
	if all < goodRun {
		return aloneShare
	}
	return bad / all
}

// Remove forgets a unit whose lease is over.
func (b *Verifier) Remove(now tick.Tick, unit string) {
	if c := b.units[unit]; c != nil {
		b.leave(c)
		delete(b.units, unit)
	}
}

func (b *Verifier) leave(c *claimant) {
	if c.zone == nil {
		return
	}
	c.zone.units = slices.DeleteFunc(c.zone.units, func(o *claimant) bool { return o == c })
	if len(c.zone.units) == 0 {
		for name, z := range b.zones {
			if z == c.zone {
				delete(b.zones, name)
			}
		}
	}
	c.zone, c.granted = nil, false
}

// Verified is what counts of a unit's last report now. It is false for a unit that has not reported.
func (b *Verifier) Verified(now tick.Tick, unit string) (Report, bool) {
	c := b.units[unit]
	if c == nil {
		return Report{}, false
	}
	r := c.report
	z := c.zone
	if !r.MustDrain() || r.Terminating {
		b.withdraw(now, c)
	}
	switch {
	case r.Terminating:
		return r, true // a fact
	case !r.MustDrain():
		// A unit that says it is well and fails is not believed: what it has is handed on, after the wait
		// it is tried again.
		switch {
		case c.failed > 0 && now-c.failed < c.wait:
			return believed(r, StateDraining, "says it "+r.State+
				", but fails more of its commands than the others of its zone"), true
		case c.failed > 0 && level(r.State) > level(StateProbation):
			return believed(r, StateProbation, "failed its commands, and is tried again"), true
		case level(r.State) > level(StateHolding) && b.shownTired(r, 1/riseBy):
			return believed(r, StateHolding, "says it "+r.State+", but its own readings speak against it"), true
		}
		return r, true
	case b.borneOut(now, c):
		b.withdraw(now, c)
		return r, true
	}
	// A claim alone. Guards against a fault that makes all units of a zone say they are tired, which
	// would shed the zone. The same sight: units with readings that the keeper can't check; half of them
	// go, the others keep what they have.
	if !c.granted {
		taken := 0
		for _, o := range z.units {
			if o.granted {
				taken++
			}
		}
		z.given = slices.DeleteFunc(z.given, func(until tick.Tick) bool { return until <= now })
		if float64(taken+len(z.given)+1) > byClaim*float64(len(z.units)) {
			return believed(r, StateHolding, fmt.Sprintf("says it %s, without readings or outcomes that bear it out, "+
				"as do %d of %d units of its zone", r.State, taken+len(z.given), len(z.units))), true
		}
		c.granted = true
	}
	return r, true
}

// withdraw ends a claim alone; its place is kept for a while.
func (b *Verifier) withdraw(now tick.Tick, c *claimant) {
	if c.granted {
		c.granted = false
		if z := c.zone; len(z.given) < len(z.units) {
			z.given = append(z.given, now+claimLasts*tick.Second)
		}
	}
}

// borneOut: readings that are physically possible, or outcomes, support a claim to be tired. They are
// taken with the factor of a rise, as the unit has seen more of them.
func (b *Verifier) borneOut(now tick.Tick, c *claimant) bool {
	if c.failed > 0 || c.outcomes.wary() {
		return true
	}
	if c.charge.why != "" || c.temp.why != "" {
		return false
	}
	r, need := c.report, max(c.report.HandoverTime, tick.Second)
	if slope, err, ok := c.charge.slope(); ok && slope-sure*err < 0 &&
		ladder(ticks(*or(r.Readings.Charge, 1)/(sure*err-slope)), Never, need, riseBy) <= level(StateDraining) {
		return true
	}
	if s := r.Readings; s.Temperature != nil && s.TemperatureLimit != nil && *s.TemperatureLimit-*s.Temperature <= nearHot &&
		ladder(r.TimeToOverheat, Never, need, riseBy) <= level(StateDraining) {
		return true
	}
	return b.shownTired(r, 2*riseBy) // the unit's own reserve is up to twice as long, by its load
}

func or(v *float64, otherwise float64) *float64 {
	if v == nil {
		return &otherwise
	}
	return v
}

// shownTired works out from the readings shown whether a unit has to hand on, by the same ladder.
func (b *Verifier) shownTired(r Report, strict float64) bool {
	s := r.Readings
	need := max(r.HandoverTime, tick.Second)
	if s.Charge != nil && s.FullCharge != nil && s.Draw != nil && *s.Draw > 0 &&
		ladder(ticks(*s.Charge**s.FullCharge / *s.Draw), Never, need, strict) <= level(StateDraining) {
		return true
	}
	return s.Temperature != nil && s.TemperatureLimit != nil && *s.TemperatureLimit <= *s.Temperature
}

func believed(r Report, state, why string) Report {
	r.State, r.Reasons = state, append([]string{why}, r.Reasons...)
	r.AcceptFraction = min(r.AcceptFraction, shares[level(state)])
	if level(state) < level(StateProbation) {
		r.SpareCapacity = 0
	}
	if level(state) == level(StateProbation) {
		r.SpareCapacity = min(r.SpareCapacity, 1)
	}
	if state == StateDraining {
		r.Risk = max(r.Risk, 0.5)
	}
	return r
}
