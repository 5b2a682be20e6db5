package devicehealth

import "silvercove/internal/tick"

const (
	holdingCharge    = 0.05 // of a charge above empty: mains or sun may go, and nothing would be left to migrate with
	idleDrawFraction = 0.5  // of the draw at full load
	mainsOnThreshold = 0.5  // a mains reading from which it counts as on
)

// batteryTotals are all of a node's batteryTotals together.
type batteryTotals struct {
	fullJoules      float64 // joules when full
	remainingJoules float64 // joules above empty
	fallRate        float64 // joules a second by which the charge falls
	draw            float64 // watts out of the batteries
	measured        bool    // what they hold and their draw are known
}

// assessBattery assesses all batteries together, by what is drawn and by how their charge falls, the worse of the two.
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
		return // it is unknown: no new work, and no end
	}
	charge := b.remainingJoules / b.fullJoules
	a.readings.Charge = &charge
	if b.measured {
		a.readings.FullCharge, a.readings.Draw = &b.fullJoules, &b.draw
		if b.draw > 0 {
			b.fallRate = max(b.fallRate, b.draw)
		}
	}
	if b.fallRate > 0 {
		a.timeToEmpty = ticks(b.remainingJoules / b.fallRate)
		a.timeToLimitOffered = ticks(b.remainingJoules / b.fallRate / m.drawFactor(m.offeredLoad))
	}
	// Copies go at full load, which draws more than the present one: what is needed is given in time at the present
	// load.
	migration := tick.Tick(float64(a.migrationTime) * m.drawFactor(1))
	at := levelFor(a.timeToEmpty, a.timeToLimitOffered, migration, a.strictness)
	a.addConstraint(at, "battery empty in %s, in %s at the offered load; %s to hand %d instances over",
		readableTime(a.timeToEmpty), readableTime(a.timeToLimitOffered), readableTime(migration), m.instances)
	if charge < holdingCharge*a.strictness {
		a.addConstraint(levelHolding, "battery at %.1f%% above empty, too little to stand a loss of mains", 100*charge)
	}
}

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

// sumBatteries adds the batteries up. It is false where one of their charges cannot be relied on.
func (m *Monitor) sumBatteries(a *assessment, charges []*series) (b batteryTotals, known bool) {
	b.measured = true
	for _, s := range charges {
		full := m.fullCharge(s.name)
		if full == 0 {
			b.measured, full = false, 1 // by slope alone
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
			b.measured = false
			continue
		}
		b.draw += s.upperQuartile()
	}
	b.measured = b.measured && len(draws) > 0
	return b, true
}

// drawFactor is how much more is drawn at another load.
func (m *Monitor) drawFactor(load float64) float64 {
	return (idleDrawFraction + (1-idleDrawFraction)*load) / (idleDrawFraction + (1-idleDrawFraction)*m.load)
}
