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
	freeReturns  = 3  // that are believed at once
	maxReturns   = 16 // that are counted
	calmSilences = 20 // within which half of the returns are forgotten
	maxDwell     = 32 // silences that a member which returns all the time has to be well
	maxDwellBits = 10 // guards the shift
	minReturns   = 0.5
)

// flapping is how often a member came back of late.
type flapping struct {
	wellBefore bool // it was well at some time
	well       bool
	wellSince  tick.Tick
	returns    float64 // into alive, forgotten by time
	returnedAt tick.Tick
}

// RecordReply records that a member answered a probe of this process, and how long that took.
func (t *Table) RecordReply(now tick.Tick, name string, took tick.Tick) {
	e := t.other(name)
	if e == nil {
		return
	}
	e.answeredAt, e.everAnswered, e.missed = now, true, 0
	e.LastHeard = max(e.LastHeard, now)
	e.roundTrips = append(e.roundTrips, took)
	if len(e.roundTrips) > keptRoundTrips {
		e.roundTrips = e.roundTrips[1:]
	}
	sorted := slices.Sorted(slices.Values(e.roundTrips))
	e.RoundTrip = sorted[len(sorted)/2]
	t.judge(now, e)
}

// RecordTimeout records that a member did not answer a probe of this process.
func (t *Table) RecordTimeout(now tick.Tick, name string) {
	e := t.other(name)
	if e == nil {
		return
	}
	e.missed++
	if e.missed == 1 {
		e.missedSince = now
	}
	t.judge(now, e)
}

// MarkDown records that the fleet holds a member to be dead, or to have left. A later sign of life overrides it.
func (t *Table) MarkDown(now tick.Tick, name string, left bool) {
	e := t.other(name)
	if e == nil {
		return
	}
	e.markedDown, e.markedDownAt = true, now
	e.left = e.left || left
	t.judge(now, e)
}

// MarkUp records that the fleet holds a member to be alive.
func (t *Table) MarkUp(now tick.Tick, name string) {
	e := t.other(name)
	if e == nil {
		return
	}
	e.markedDown = false
	t.judge(now, e)
}

// Reassess judges all members anew, as time has passed.
func (t *Table) Reassess(now tick.Tick) {
	for _, e := range t.byName {
		if e.Name != t.self.Name {
			t.judge(now, e)
		}
	}
}

// judge works out a member's state.
func (t *Table) judge(now tick.Tick, e *entry) {
	state := t.observedState(now, e)
	well := state == StateAlive || state == StateSlow
	if well && !e.flapping.well {
		e.flapping.noteReturn(now, t.silence)
	}
	e.flapping.well = well
	if dwell := e.flapping.dwell(t.silence); well && dwell > 0 && now-e.flapping.wellSince < dwell {
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
	unanswered := e.missed >= suspectProbes
	silent := unanswered && now-max(e.answeredAt, e.missedSince-t.silence) >= t.silence
	noSign := now-e.LastHeard > deadPeriods*t.heartbeatPeriod() && (unanswered || e.Incarnation == 0)
	switch {
	case e.left:
		return StateLeft
	case e.markedDown && e.LastHeard <= e.markedDownAt, noSign:
		return StateDead
	case e.Incarnation == 0 && !e.everAnswered:
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

// noteReturn counts that the member is well again.
func (f *flapping) noteReturn(now, silence tick.Tick) {
	f.wellSince = now
	if f.wellBefore {
		for now-f.returnedAt > calmSilences*silence && f.returns > minReturns {
			f.returns /= 2
			f.returnedAt += calmSilences * silence
		}
		f.returns = min(f.returns+1, maxReturns)
		f.returnedAt = now
	}
	f.wellBefore = true
}

// dwell is how long the member has to be well before it is believed. Guards against what others decide by a member that
// swings with it. A link at the edge of its time looks the same; it costs a member that is well its part in the fleet.
func (f *flapping) dwell(silence tick.Tick) tick.Tick {
	over := f.returns - freeReturns
	if over <= 0 {
		return 0
	}
	return silence * tick.Tick(min(maxDwell, 1<<min(int(over), maxDwellBits)))
}
