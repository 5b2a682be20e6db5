package overload

import (
	"math"

	"silvercove/internal/tick"
)

// StartupStep is a step of a relay's start that StartupDelay spreads over time after a common restart.
type StartupStep uint8

// The startup steps.
const (
	StepAccept        StartupStep = iota // accepting requests
	StepListEndpoints                    // requesting the whole endpoint list
	StepConnect                          // opening a connection to a backend
)

// stepOffset is the difference between a relay's positions in two consecutive startup steps, as a fraction of the
// startup window.
const stepOffset = 0.38

// idMultiplier is multiplied by a relay's ID to derive a second number from it. It is 2^64 divided by the golden ratio.
const idMultiplier = 0x9e3779b97f4a7c15

// StartupDelay returns how long a relay that has just started waits before a step.
//
// The delays are spread over the startup window times the fraction of the fleet that has not warmed up. Relays that
// also started recently, that are dead, or that have not been heard of yet count as not warmed up. For StepAccept and
// StepListEndpoints, the delay follows the relay's position in the order of IDs; for StepConnect it is random. The
// delay shrinks as reports arrive, so a relay that waits may call StartupDelay again.
//
// StartupDelay guards against the combined load of a common restart, when all relays start at once. A relay that
// restarts alone hardly waits: the other relays have warmed up, so its delay is close to 0 once it has their reports.
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

// startupPosition returns this relay's position among all relays, from 0 to 1. While fewer than half of the relays are
// known, the position is derived from this relay's ID alone.
func (m *Manager) startupPosition() float64 {
	known := len(m.fleet.peers) + 1
	if float64(2*known) < m.fleetSize() {
		return unitInterval(m.id)
	}
	return (float64(m.fleet.lowerIDs) + unitInterval(m.id*idMultiplier)) / float64(known)
}
