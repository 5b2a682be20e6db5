package overload

import (
	"math"

	"silvercove/internal/tick"
)

const (
	maxSchedulingDelay = 50 * tick.Second / 1000 // a loop that is so late is at its limit
	maxUtilization     = 0.9                     // of processor and memory
	lowPressure        = 0.95                    // below it more is admitted
	completedMargin    = 1.25                    // times the completed work is admitted at least, so that backends never lack work
	decreaseRate       = 2.0                     // a second: part by which less is admitted, for each 1 of pressure above 1
	increaseRate       = 1.5                     // a second: part by which more is admitted
	consensusRate      = 1.0                     // a second: part of the way toward the median of the relays
	maxUpdateInterval  = 0.5                     // seconds: a longer pause between two calls counts as this one
	minCoverage        = 0.25                    // of the fleet, that is reckoned with at least
	minFraction        = 0.01                    // that is always admitted
	minAdmittedShare   = 0.25                    // of the work that is due, that is reckoned with at least
	minWork            = 1e-9                    // guards against a division by 0
)

// Pressure is what a relay sees of its own load. Shares are of 1; above 1 is more than can be borne.
type Pressure struct {
	SchedulingDelay    tick.Tick // by which timers fire late
	CPU                float64   // share of the processor time that the process may use
	Memory             float64   // share of the memory that it may use
	BackendUtilization float64   // requests at backends and waiting for one, as a share of the backends' capacity
}

// local is the pressure on this process alone.
func (p Pressure) local() float64 {
	return max(float64(p.SchedulingDelay)/float64(maxSchedulingDelay), p.CPU/maxUtilization, p.Memory/maxUtilization)
}

// UpdatePressure updates the admitted fractions by the relay's own load. It is to be called a few times a second. The
// fraction that it admits falls the faster the higher the pressure, though not below a little more than what backends
// are seen to complete, and rises again; it is drawn toward the median of the relays with requests, so that all of
// them shed alike. Guards against overload that each relay meets on its own, some by rejections and others by queues.
// A backend or a link that is slow for this relay alone looks the same; the pull of the others' higher fractions hurts
// then.
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

// nextFraction is an admitted fraction after some seconds: less where the pressure is above 1, but no less than the
// least, and more where it is low.
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

func (m *Manager) clampFraction(fraction float64) float64 {
	return min(1, max(fraction, m.settings.admissionFloor, minFraction))
}

// workRates are the work that backends completed for this relay and the work offered to the fleet, in seconds of work a
// second.
func (m *Manager) workRates() (completed, offered float64) {
	for i := range m.admission.classes {
		class := &m.admission.classes[i]
		work := class.offeredWork()
		completed += work * class.completed / max(minWork, class.offered)
		offered += work + m.fleet.offeredWork[i]
	}
	return completed, offered
}

// AdmittedFraction is the part of the offered work that is admitted now, 0 to 1.
func (m *Manager) AdmittedFraction() float64 {
	return min(m.admission.localFraction, m.admission.sharedFraction)
}
