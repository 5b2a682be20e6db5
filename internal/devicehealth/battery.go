package devicehealth

import "silvercove/internal/tick"

const (
	holdingCharge    = 0.05 // fraction of the full charge, counted from the empty level; with less, a node could not migrate its instances if mains or sun failed
	idleDrawFraction = 0.5  // draw of an idle node, as a fraction of the draw at full load
	mainsOnThreshold = 0.5  // a mains reading of this value or more means that the node is on mains
)

// batteryTotals holds the sums over all batteries of a node.
type batteryTotals struct {
	fullJoules      float64 // sum of the full charges in joules; a battery whose full charge is unknown adds 1 instead
	remainingJoules float64 // charge above the empty level, in the units of fullJoules
	fallRate        float64 // joules per second by which the charge falls: the upper confidence bound, computed from the slopes of the charges
	draw            float64 // watts drawn from the batteries; below 0 while they charge
	drawUsable      bool    // true if the full charge of each battery is known, and there are draw readings, all of them trusted
}

// assessBattery adds the constraints of the power supply. It takes all batteries together and uses either the measured
// draw or the slope of the charge, whichever gives the shorter time until the batteries are empty.
func (m *Monitor) assessBattery(a *assessment) {
	mains := m.onMains(a)
	charges := m.ofKind(KindCharge)
	if len(charges) == 0 {
		if !mains {
			a.unknown = append(a.unknown, "power")
			a.addConstraint(levelHolding, "power unknown: neither a battery's charge nor mains")
			return
		}
		a.readings.Mains = &mains
		return
	}
	a.readings.Mains = &mains
	b, known := m.sumBatteries(a, charges)
	if !known {
		return // findUntrustedReadings has added levelHolding: no new instances, but no evacuation
	}
	charge := b.remainingJoules / b.fullJoules
	a.readings.Charge = &charge
	if b.drawUsable {
		a.readings.FullCharge, a.readings.Draw = &b.fullJoules, &b.draw
		if b.draw > 0 {
			b.fallRate = max(b.fallRate, b.draw)
		}
	}
	if b.fallRate > 0 {
		a.timeToEmpty = ticks(b.remainingJoules / b.fallRate)
		a.timeToLimitOffered = ticks(b.remainingJoules / b.fallRate / m.drawFactor(m.offeredLoad))
	}
	// A migration runs at full load, which draws more power than the present load. drawFactor(1) converts the migration
	// time into the time in which the present load draws the same energy.
	migration := tick.Tick(float64(a.migrationTime) * m.drawFactor(1))
	at := levelFor(a.timeToEmpty, a.timeToLimitOffered, migration, a.strictness)
	a.addConstraint(at, "battery empty in %s, in %s at the offered load; %s to hand %d instances over",
		readableTime(a.timeToEmpty), readableTime(a.timeToLimitOffered), readableTime(migration), m.instances)
	if charge < holdingCharge*a.strictness {
		a.addConstraint(levelHolding, "battery at %.1f%% above empty, too little to stand a loss of mains", 100*charge)
	}
}

// onMains reports whether at least one trusted mains reading is on.
func (m *Monitor) onMains(a *assessment) bool {
	on := false
	for _, s := range m.ofKind(KindMains) {
		if !a.untrusted[s] {
			value, _ := s.last()
			on = on || value >= mainsOnThreshold
		}
	}
	return on
}

// sumBatteries returns the sums over all batteries. known is false if the charge of any battery is untrusted.
func (m *Monitor) sumBatteries(a *assessment, charges []*series) (b batteryTotals, known bool) {
	b.drawUsable = true
	for _, s := range charges {
		full := m.fullCharge(s.name)
		if full == 0 {
			b.drawUsable, full = false, 1 // full charge unknown: this battery counts as 1 in the sums, and the forecast uses the slope of the charge, not the draw
		}
		if a.untrusted[s] {
			return batteryTotals{}, false
		}
		value, _ := s.last()
		b.remainingJoules += max(0, value-m.settings.emptyCharge) * full
		b.fullJoules += full
		if slope, err, ok := s.slope(); ok {
			b.fallRate += max(0, -(slope-confidenceStdErrors*err)) * full
		}
	}
	draws := m.ofKind(KindDraw)
	for _, s := range draws {
		if !a.trusts(s) {
			b.drawUsable = false
			continue
		}
		b.draw += s.upperQuartile()
	}
	b.drawUsable = b.drawUsable && len(draws) > 0
	return b, true
}

// drawFactor returns the ratio of the draw at a given load to the draw at the present load.
func (m *Monitor) drawFactor(load float64) float64 {
	return (idleDrawFraction + (1-idleDrawFraction)*load) / (idleDrawFraction + (1-idleDrawFraction)*m.load)
}
