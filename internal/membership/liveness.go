package membership

import (
	"slices"

	"silvercove/internal/tick"
)

// State is how a member stands in the sight of this process.
type State string

// The states of a member.
const (
	StateAlive       State = "alive"
	StateSuspect     State = "suspect" // it does not answer this process, and no record of it has come since
	StateUnreachable State = "cut"     // it does not answer this process, but others pass its records on
	StateSlow        State = "slow"    // its answers take an eighth of the silence that is allowed, or more
	StateDead        State = "dead"
	StateLeft        State = "left" // it ended on purpose
)

const (
	keptRoundTrips = 5 // answers whose times are kept
	suspectProbes  = 2 // in a row without an answer, until which nothing is concluded
	slowDivisor    = 8 // a member is slow whose answers take this part of the silence
	deadPeriods    = 3 // without any sign, after which a member that does not answer is dead
	keptChanges    = 4 // times the number of members, where nobody takes them
)

// A member that comes back again and again is held back, each time longer.
const (
	undampedRecoveries = 3  // that are believed at once
	maxRecoveries      = 16 // that are counted
	recoveryHalfLife   = 20 // within which half of the returns are forgotten
	maxHoldDown        = 32 // silences that a member which returns all the time has to be well
	maxHoldDownShift   = 10 // guards the shift
	minRecoveries      = 0.5
)

// flapping is how often a member came back of late.
type flapping struct {
	wasHealthy   bool // it was well at some time
	healthy      bool
	healthySince tick.Tick
	recoveries   float64 // into alive, forgotten by time
	recoveredAt  tick.Tick
}

// RecordReply records that a member answered a probe of this process, and how long that took.
func (t *Table) RecordReply(now tick.Tick, name string, took tick.Tick) {
	e := t.otherEntry(name)
	if e == nil {
		return
	}
	e.answeredAt, e.hasAnswered, e.missedProbes = now, true, 0
	e.LastHeard = max(e.LastHeard, now)
	e.roundTrips = append(e.roundTrips, took)
	if len(e.roundTrips) > keptRoundTrips {
		e.roundTrips = e.roundTrips[1:]
	}
	sorted := slices.Sorted(slices.Values(e.roundTrips))
	e.RoundTrip = sorted[len(sorted)/2]
	t.updateState(now, e)
}

// RecordTimeout records that a member did not answer a probe of this process.
func (t *Table) RecordTimeout(now tick.Tick, name string) {
	e := t.otherEntry(name)
	if e == nil {
		return
	}
	e.missedProbes++
	if e.missedProbes == 1 {
		e.missedSince = now
	}
	t.updateState(now, e)
}

// MarkDown records that the fleet holds a member to be dead, or to have left. A later sign of life overrides it.
func (t *Table) MarkDown(now tick.Tick, name string, left bool) {
	e := t.otherEntry(name)
	if e == nil {
		return
	}
	e.markedDown, e.markedDownAt = true, now
	e.left = e.left || left
	t.updateState(now, e)
}

// MarkUp records that the fleet holds a member to be alive.
func (t *Table) MarkUp(now tick.Tick, name string) {
	e := t.otherEntry(name)
	if e == nil {
		return
	}
	e.markedDown = false
	t.updateState(now, e)
}

// Reassess judges all members anew, as time has passed.
func (t *Table) Reassess(now tick.Tick) {
	for _, e := range t.byName {
		if e.Name != t.self.Name {
			t.updateState(now, e)
		}
	}
}

// judge works out a member's state.
func (t *Table) updateState(now tick.Tick, e *entry) {
	state := t.observedState(now, e)
	healthy := state == StateAlive || state == StateSlow
	if healthy && !e.flapping.healthy {
		e.flapping.recordRecovery(now, t.silence)
	}
	e.flapping.healthy = healthy
	if holdDown := e.flapping.holdDown(t.silence); healthy && holdDown > 0 && now-e.flapping.healthySince < holdDown {
		state = StateSuspect
	}
	if state == e.State {
		return
	}
	e.State, e.StateSince = state, now
	t.changes = append(t.changes, e.Member)
	if len(t.changes) > keptChanges*len(t.byName) {
		t.changes = t.changes[1:]
	}
}

// observedState is the state by what was heard and missed, without regard to flapping.
func (t *Table) observedState(now tick.Tick, e *entry) State {
	unanswered := e.missedProbes >= suspectProbes
	silent := unanswered && now-max(e.answeredAt, e.missedSince-t.silence) >= t.silence
	noSign := now-e.LastHeard > deadPeriods*t.heartbeatPeriod() && (unanswered || e.Incarnation == 0)
	switch {
	case e.left:
		return StateLeft
	case e.markedDown && e.LastHeard <= e.markedDownAt, noSign:
		return StateDead
	case e.Incarnation == 0 && !e.hasAnswered:
		return StateSuspect
	case silent && e.recordAt > e.missedSince:
		return StateUnreachable
	case silent:
		return StateSuspect
	case e.RoundTrip >= t.silence/slowDivisor && e.RoundTrip > 0 && len(e.roundTrips) > keptRoundTrips/2:
		return StateSlow
	}
	return StateAlive
}

// recordRecovery counts that the member is well again.
func (f *flapping) recordRecovery(now, silence tick.Tick) {
	f.healthySince = now
	if f.wasHealthy {
		for now-f.recoveredAt > recoveryHalfLife*silence && f.recoveries > minRecoveries {
			f.recoveries /= 2
			f.recoveredAt += recoveryHalfLife * silence
		}
		f.recoveries = min(f.recoveries+1, maxRecoveries)
		f.recoveredAt = now
	}
	f.wasHealthy = true
}

// dwell is how long the member has to be well before it is believed. Guards against what others decide by a member that
// swings with it. A link at the edge of its time looks the same; it costs a member that is well its part in the fleet.
func (f *flapping) holdDown(silence tick.Tick) tick.Tick {
	excess := f.recoveries - undampedRecoveries
	if excess <= 0 {
		return 0
	}
	return silence * tick.Tick(min(maxHoldDown, 1<<min(int(excess), maxHoldDownShift)))
}
