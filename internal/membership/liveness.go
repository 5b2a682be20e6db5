package membership

import (
	"slices"

	"silvercove/internal/tick"
)

// State is the state of a member as this process sees it.
type State string

// The states of a member.
const (
	StateAlive       State = "alive"
	StateSuspect     State = "suspect" // the member neither answers nor sends records, has never done so, or is in its hold-down (see undampedRecoveries)
	StateUnreachable State = "cut"     // the member does not answer this process, but other members pass on its records
	StateSlow        State = "slow"    // the median round trip to the member is an eighth of the silence timeout or longer
	StateDead        State = "dead"
	StateLeft        State = "left" // the member left on purpose
)

const (
	keptRoundTrips = 5 // number of last answers of a member whose round trips are kept
	suspectProbes  = 2 // consecutive missed probes before a member counts as not answering
	slowDivisor    = 8 // a round trip is slow if it takes the silence timeout divided by slowDivisor, or longer
	deadPeriods    = 3 // number of heartbeat periods without an answer or a record after which a member that misses its probes is dead
	keptChanges    = 4 // maximum number of changes that wait for a call of Changes, per member of the fleet
)

// Limits of the hold-down: a member that repeatedly stops answering and recovers stays suspect for longer after each
// recovery. The count of recoveries is flapping.recoveries.
const (
	undampedRecoveries = 3   // number of recoveries that cause no hold-down
	maxRecoveries      = 16  // maximum value of the count of recoveries
	recoveryHalfLife   = 20  // half-life of the count of recoveries, in silence timeouts
	maxHoldDown        = 32  // the longest hold-down, in silence timeouts
	maxHoldDownShift   = 10  // maximum n in the hold-down of 1<<n silence timeouts; n grows with the count of recoveries, see holdDown
	minRecoveries      = 0.5 // the count of recoveries is not halved further once it is this low
)

// flapping counts how often a member has recently recovered.
type flapping struct {
	wasHealthy   bool // whether the member has ever been alive or slow
	healthy      bool
	healthySince tick.Tick
	recoveries   float64 // number of changes to alive or slow, without the first one; halved once per recoveryHalfLife silence timeouts
	recoveredAt  tick.Tick
}

// RecordReply records that a member answered a probe of this process, and that the round trip took the given time.
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

// MarkDown records that the gossip library considers a member dead, or that the member has left. A later answer or
// record shows that a member marked dead is alive. For a member that has left, an answer does not show this, but a
// later record does.
func (t *Table) MarkDown(now tick.Tick, name string, left bool) {
	e := t.otherEntry(name)
	if e == nil {
		return
	}
	e.markedDown, e.markedDownAt = true, now
	e.left = e.left || left
	t.updateState(now, e)
}

// MarkUp records that the gossip library considers a member alive.
func (t *Table) MarkUp(now tick.Tick, name string) {
	e := t.otherEntry(name)
	if e == nil {
		return
	}
	e.markedDown = false
	t.updateState(now, e)
}

// Reassess recomputes the states of all members for the current time.
func (t *Table) Reassess(now tick.Tick) {
	for _, e := range t.byName {
		if e.Name != t.self.Name {
			t.updateState(now, e)
		}
	}
}

// updateState recomputes the state of a member, and records the change if the state differs from the known one.
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

// observedState returns the state that follows from a member's records, the probes, and the gossip library's view of the member
// (MarkDown, MarkUp). It ignores the hold-down of a flapping member.
func (t *Table) observedState(now tick.Tick, e *entry) State {
	unanswered := e.missedProbes >= suspectProbes
	silent := unanswered && now-max(e.answeredAt, e.missedSince-t.silence) >= t.silence
	noSignOfLife := now-e.LastHeard > deadPeriods*t.heartbeatPeriod() && (unanswered || e.Incarnation == 0)
	switch {
	case e.left:
		return StateLeft
	case e.markedDown && e.LastHeard <= e.markedDownAt, noSignOfLife:
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

// recordRecovery records that the member is healthy again.
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

// holdDown returns how long the member must stay healthy before its state changes from suspect to alive or slow.
// Without a hold-down, the decisions of other packages would change with each failure and recovery of a flapping
// member. A healthy member behind a link whose delay is close to the probe timeout looks like a flapping member. The
// hold-down keeps that member suspect too, and the fleet gives no work to a suspect member.
func (f *flapping) holdDown(silence tick.Tick) tick.Tick {
	excess := f.recoveries - undampedRecoveries
	if excess <= 0 {
		return 0
	}
	return silence * tick.Tick(min(maxHoldDown, 1<<min(int(excess), maxHoldDownShift)))
}
