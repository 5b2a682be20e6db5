package overload

import (
	"math"

	"silvercove/internal/tick"
)

const (
	maxSchedulingDelay = 50 * tick.Second / 1000 // 50 ms, at which the pressure is 1: an event loop whose timers fire this late is at its limit
	maxUtilization     = 0.9                     // fraction of CPU or memory in use at which the pressure is 1
	lowPressure        = 0.95                    // below this pressure the admitted fraction rises
	completedMargin    = 1.25                    // pressure does not lower the admitted work below this multiple of the work that backends complete, so that the backends never lack work
	decreaseRate       = 2.0                     // relative decrease of the admitted fraction per second at a pressure of 2 or more; at a pressure from 1 to 2, it is multiplied by the pressure minus 1
	increaseRate       = 1.5                     // relative increase of the admitted fraction per second at a coverage of 1 (see Manager.coverage)
	consensusRate      = 1.0                     // per second, sharedFraction moves by this part of its distance from the median of the other relays' shared fractions
	maxUpdateInterval  = 0.5                     // seconds; a longer interval between two updates is treated as this long
	minCoverage        = 0.25                    // lower bound of the coverage by which UpdatePressure multiplies increases of the admitted fractions
	minFraction        = 0.01                    // lower bound of the admitted fraction
	minAdmittedShare   = 0.25                    // lower bound of admittedShare, the part of the target work that is admitted
	minWork            = 1e-9                    // lower bound of divisors, to avoid a division by 0
)

// Pressure is the load that a relay measures at itself and at its backends. Loads are fractions of the capacity; a value
// above 1 is an overload.
type Pressure struct {
	SchedulingDelay    tick.Tick // how late timers fire
	CPU                float64   // CPU time that the process uses, as a fraction of the CPU time that it may use
	Memory             float64   // memory that the process uses, as a fraction of the memory that it may use
	BackendUtilization float64   // requests at backends and requests that wait for one, as a fraction of the backends' capacity
}

// local returns the pressure on this process; it does not include the backends.
func (p Pressure) local() float64 {
	return max(float64(p.SchedulingDelay)/float64(maxSchedulingDelay), p.CPU/maxUtilization, p.Memory/maxUtilization)
}

// UpdatePressure updates the admitted fractions from the relay's own load. It is to be called a few times per second.
//
// A fraction falls faster the higher the pressure is, and rises again when the pressure is low. Pressure does not lower
// the shared fraction below completedMargin times the work that backends are seen to complete. The shared fraction
// moves toward the median of the relays that have requests, so that all relays shed alike.
//
// UpdatePressure guards against relays that handle a common overload differently, some by rejecting requests and others
// by queueing them. A backend or a link that is slow for this relay alone looks like an overload. In that case, moving
// toward the median does harm: the higher fractions of the other relays raise this relay's fraction.
func (m *Manager) UpdatePressure(now tick.Tick, p Pressure) {
	m.advance(now)
	a := &m.admission
	elapsed := min(maxUpdateInterval, (m.now - a.pressureUpdatedAt).Seconds())
	a.pressureUpdatedAt = m.now
	if m.isolated() {
		a.localFraction, a.sharedFraction = 1, 1
		m.recomputeThresholds()
		return
	}
	coverage := max(minCoverage, m.coverage())
	a.localFraction = m.nextFraction(a.localFraction, p.local(), elapsed, coverage, 0)
	completed, offered := m.workRates()
	lowerBound := completedMargin * (completed + m.fleet.completedWork) / max(minWork, offered*a.admittedShare())
	a.sharedFraction = m.nextFraction(a.sharedFraction, p.BackendUtilization, elapsed, coverage, lowerBound)
	if m.fleet.voters > 0 {
		step := (m.fleet.medianFraction() - a.sharedFraction) * consensusRate * elapsed
		if step > 0 {
			step *= coverage
		}
		a.sharedFraction = m.clampFraction(a.sharedFraction + step)
	}
	m.recomputeThresholds()
}

// nextFraction returns the value of an admitted fraction after elapsed seconds. A pressure above 1 lowers the fraction,
// though not below lowerBound; a pressure below lowPressure raises it, in proportion to coverage.
func (m *Manager) nextFraction(fraction, pressure, elapsed, coverage, lowerBound float64) float64 {
	switch {
	case math.IsNaN(pressure):
	case pressure > 1:
		fraction = max(min(fraction, lowerBound), fraction*(1-decreaseRate*min(1, pressure-1)*elapsed))
	case pressure < lowPressure:
		fraction = max(fraction*(1+increaseRate*coverage*elapsed), min(1, lowerBound))
	}
	return m.clampFraction(fraction)
}

// clampFraction limits an admitted fraction to at least the admission floor and minFraction, and to at most 1.
func (m *Manager) clampFraction(fraction float64) float64 {
	return min(1, max(fraction, m.settings.admissionFloor, minFraction))
}

// workRates returns the work that backends completed for this relay and the work offered to the whole fleet, both in
// seconds of work per second.
func (m *Manager) workRates() (completed, offered float64) {
	for i := range m.admission.classes {
		class := &m.admission.classes[i]
		work := class.offeredWork()
		completed += work * class.completed / max(minWork, class.offered)
		offered += work + m.fleet.offeredWork[i]
	}
	return completed, offered
}

// AdmittedFraction returns the part of the offered work that is admitted now, from 0 to 1.
func (m *Manager) AdmittedFraction() float64 {
	return min(m.admission.localFraction, m.admission.sharedFraction)
}
