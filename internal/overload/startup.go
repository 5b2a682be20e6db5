package overload

import (
	"math"

	"silvercove/internal/tick"
)

// StartupStep is something that is spread over time after a common restart.
type StartupStep uint8

// The steps that are spread.
const (
	StepAccept        StartupStep = iota // accepting requests
	StepListEndpoints                    // a call for the whole endpoint list
	StepConnect                          // a connection to a backend
)

// stepOffset is the part of the startup window by which a relay's places in two steps differ.
const stepOffset = 0.38

// idMultiplier draws a second number from a relay's ID (2^64 over the golden ratio).
const idMultiplier = 0x9e3779b97f4a7c15

// StartupDelay is how long a relay that has just started is to wait with a step: as much of the startup window as the
// part of the fleet that is young too, dead or not heard of yet. Accepting and list calls take the relay's place in the
// order of IDs, connections a random time. The delay gets shorter with reports, so a relay that waits may ask again.
//
// Guards against the sum of a common restart; a relay that starts alone hardly waits before it has reports.
func (m *Manager) StartupDelay(now tick.Tick, step StartupStep) tick.Tick {
	m.advance(now)
	if m.isolated() || m.settings.startupWindow == 0 {
		return 0
	}
	window := float64(m.settings.startupWindow) * (m.fleetSize() - float64(m.fleet.warmedUp)) / m.fleetSize()
	remaining := window - float64(m.now-m.startedAt)
	if remaining <= 0 {
		return 0
	}
	if step == StepConnect {
		return tick.Tick(m.rng.Float64() * remaining)
	}
	_, position := math.Modf(m.startupPosition() + stepOffset*float64(step))
	return max(0, m.startedAt+tick.Tick(position*window)-m.now)
}

// startupPosition is this relay's place among all, from 0 to 1. As long as few are known it is taken from the ID.
func (m *Manager) startupPosition() float64 {
	known := len(m.fleet.peers) + 1
	if float64(2*known) < m.fleetSize() {
		return unitInterval(m.id)
	}
	return (float64(m.fleet.lowerIDs) + unitInterval(m.id*idMultiplier)) / float64(known)
}
