package devicehealth

import (
	"fmt"
	"math"
	"strings"

	"silvercove/internal/tick"
)

// Constants for accepting readings and for computing slopes and quartiles. If a value is rejected, the last accepted one
// stays valid for staleAfter; then the reading is unknown, and the node takes no new instances.
const (
	staleAfter          = 10 * tick.Second // maximum age of a value that is used; with one reading a second, the last accepted value is still used after a single failed reading or jump
	jumpConfirmTime     = 60 * tick.Second // how long the values after a jump must stay near each other until they are accepted; the samples of a temperature slope span about the same time
	jumpMinMoves        = 2                // minimum number of changes of the value in jumpConfirmTime for accepting a jump; the values of a working sensor change
	minStuckTime        = 30 * tick.Second // shortest time without a change after which a reading counts as stuck
	stuckIntervalFactor = 10.0             // a reading counts as stuck once it has not changed for this many of its mean intervals between changes, and for minStuckTime
	stuckMinMoves       = 8                // minimum number of changes for using the mean interval; with fewer, a temperature or a draw never counts as stuck
	stuckDrainShare     = 0.03             // fraction of the full charge: a charge reading counts as stuck if more than this is drawn while the reading stays the same; equals 3 steps of the coarsest gauge
	confidenceStdErrors = 1.6              // number of standard errors from a slope to its one-sided 95% confidence bound
	maxSamples          = 32               // maximum number of samples from which a slope is computed
	minSamples          = 12               // minimum number of samples from which a slope is computed
	quartileSamples     = 16               // number of newest samples from which an upper quartile is computed
)

// series holds the accepted samples of one reading, and the state that decides whether the next value is accepted.
type series struct {
	name         string
	kind         Kind
	limit        float64
	times        []tick.Tick // times of the values, the newest last
	values       []float64
	rejectReason string    // why the last reading was rejected, "" if it was accepted
	lastReadAt   tick.Tick // time of the last reading, accepted or not

	jump             jump
	movement         movement
	workedSinceMove  bool    // true if the node was busy at any time since the value last changed
	stuck            bool    // true if unknownReason found the reading stuck and the value has not changed since then
	drainedSinceMove float64 // joules drawn from the battery since the value last changed
}

// jump records the values since a reading jumped, while they stay near each other.
type jump struct {
	since   tick.Tick // time of the jump; 0 for none
	value   float64   // newest value since the jump
	valueAt tick.Tick // when value was read
	moves   int       // changes of value since the jump
}

// movement records how often a reading changes its value.
type movement struct {
	lastAt       tick.Tick
	count        int
	meanInterval float64 // mean time between two changes, in ticks
}

func (s *series) hasValue() bool { return len(s.values) > 0 }

// last returns the newest value and its time. It may be called only if hasValue returns true.
func (s *series) last() (float64, tick.Tick) {
	return s.values[len(s.values)-1], s.times[len(s.times)-1]
}

func (s *series) clear() { s.times, s.values = s.times[:0], s.values[:0] }

// add accepts a reading or records why it is rejected. It ignores a reading that is no newer than the last accepted one.
func (s *series) add(now tick.Tick, r Reading) {
	limits := plausibility[s.kind]
	s.lastReadAt = now
	at := now - max(0, r.Age)
	if reason := limits.invalidReason(r); reason != "" {
		s.rejectReason = reason
		return
	}
	s.limit = r.Limit
	if !s.hasValue() {
		s.movement.lastAt = at
	} else if !s.acceptNext(at, r.Value, limits) {
		return
	}
	s.rejectReason = ""
	s.appendSample(at, r.Value, limits.sampleInterval)
}

// acceptNext reports whether a value may follow the last accepted one, and records whether the value changed.
//
// acceptNext guards against a failing gauge, whose jump must neither make the node look healthy nor make it evacuate or
// shut down. The charge of a swapped battery jumps as that of a failing gauge does. After a swap, the node takes no new
// instances until the charge has stayed near the new value for jumpConfirmTime. In that time the charge must also have
// made at least jumpMinMoves changes without a jump.
func (s *series) acceptNext(at tick.Tick, value float64, limits bounds) bool {
	last, lastAt := s.last()
	if at <= lastAt {
		return false
	}
	if limits.isJump(last, value, at-lastAt) {
		if !s.confirmJump(at, value, limits) {
			s.rejectReason = fmt.Sprintf("jumps from %.4g to %.4g", last, value)
			return false
		}
		s.clear()
	}
	s.jump.since = 0
	if value != last {
		s.recordMove(at)
	}
	return true
}

// confirmJump reports whether the values since a jump have stayed near each other for jumpConfirmTime and have changed at
// least jumpMinMoves times in that period.
func (s *series) confirmJump(at tick.Tick, value float64, limits bounds) bool {
	j := &s.jump
	if j.since == 0 || limits.isJump(j.value, value, at-j.valueAt) {
		j.since, j.moves = at, 0
	} else if value != j.value {
		j.moves++
	}
	j.value, j.valueAt = value, at
	return at-j.since >= jumpConfirmTime && j.moves >= jumpMinMoves
}

// recordMove records a change of the value. It updates the mean interval between changes and resets stuck,
// workedSinceMove and drainedSinceMove.
func (s *series) recordMove(at tick.Tick) {
	if s.stuck { // slope must not include the values that were repeated while the reading was stuck
		s.clear()
		s.stuck = false
	}
	m := &s.movement
	interval := float64(at - m.lastAt)
	if m.count == 0 {
		m.meanInterval = interval
	} else {
		m.meanInterval += (interval - m.meanInterval) / float64(min(m.count+1, maxSamples))
	}
	m.count++
	m.lastAt = at
	s.workedSinceMove, s.drainedSinceMove = false, 0
}

// appendSample appends a value. Within one sample interval only the newest value is kept.
func (s *series) appendSample(at tick.Tick, value float64, interval tick.Tick) {
	if last := len(s.values) - 1; s.kind == KindDraw && last >= 0 && (s.values[last] > 0) != (value > 0) {
		s.clear() // the draw changed its sign: the node switched from mains to battery or back, and earlier values do not predict later ones
	}
	if n := len(s.times); n >= 2 && s.times[n-1]-s.times[n-2] < interval {
		s.times, s.values = s.times[:n-1], s.values[:n-1] // the new value replaces the last one, which is in the same sample interval
	}
	if len(s.times) == maxSamples {
		s.times = append(s.times[:0], s.times[1:]...)
		s.values = append(s.values[:0], s.values[1:]...)
	}
	s.times = append(s.times, at)
	s.values = append(s.values, value)
}

// unknownReason returns why the reading is unknown now, or "" if it is known. fullCharge is the full charge, in joules,
// of the battery that the reading belongs to; it is 0 if the full charge is unknown or the reading belongs to no
// battery.
//
// unknownReason guards against a frozen file, which makes a node look healthy while its battery empties. A coarse gauge
// whose value stays the same cannot be told from a frozen file; the cost is that the node takes no new instances until
// the value changes. Temperatures and draw count as stuck only if the node was busy since the last change. On an idle
// node they may stay the same. If they counted as stuck there, the node would take no new instances, and so would stay
// idle forever.
func (s *series) unknownReason(now tick.Tick, fullCharge float64) string {
	if !s.hasValue() {
		return s.rejectReasonOr("no value yet")
	}
	_, at := s.last()
	unchangedFor := now - s.movement.lastAt
	moves := s.kind == KindTemperature || s.kind == KindCellTemperature || s.kind == KindDraw
	switch {
	case now-at > staleAfter:
		return s.rejectReasonOr(fmt.Sprintf("none for %d s", (now-at)/tick.Second))
	case s.kind == KindCharge && fullCharge > 0 && s.drainedSinceMove > stuckDrainShare*fullCharge:
		s.stuck = true
		return fmt.Sprintf("stuck: the same while %.0f%% were drawn", 100*s.drainedSinceMove/fullCharge)
	case moves && s.movement.count >= stuckMinMoves && s.workedSinceMove &&
		unchangedFor > max(minStuckTime, tick.Tick(stuckIntervalFactor*s.movement.meanInterval)):
		s.stuck = true
		return fmt.Sprintf("stuck: the same for %d s", unchangedFor/tick.Second)
	}
	return ""
}

// rejectReasonOr returns why the last reading was rejected, or the given reason if it was accepted.
func (s *series) rejectReasonOr(reason string) string {
	if s.rejectReason != "" {
		return s.rejectReason
	}
	return reason
}

// slope returns the change per second by least squares over the samples, and its standard error. ok is false if there are
// fewer than minSamples samples, or all of them have the same time.
func (s *series) slope() (slope, stdErr float64, ok bool) {
	n := float64(len(s.values))
	if n < minSamples {
		return 0, 0, false
	}
	var meanX, meanY, sumXX, sumXY, sumYY float64
	from := s.times[0]
	for i, value := range s.values {
		meanX += (s.times[i] - from).Seconds() / n
		meanY += value / n
	}
	for i, value := range s.values {
		dx := (s.times[i] - from).Seconds() - meanX
		dy := value - meanY
		sumXX += dx * dx
		sumXY += dx * dy
		sumYY += dy * dy
	}
	if sumXX == 0 {
		return 0, 0, false
	}
	slope = sumXY / sumXX
	return slope, math.Sqrt(max(0, sumYY-slope*sumXY) / (n - 2) / sumXX), true
}

// upperQuartile returns the upper quartile of the last quartileSamples values. From four values on, a single high value
// does not determine the result.
func (s *series) upperQuartile() float64 {
	var array [quartileSamples]float64
	sorted := append(array[:0], s.values[max(0, len(s.values)-quartileSamples):]...)
	for i := range sorted { // insertion sort in descending order: there are at most quartileSamples values
		for j := i; j > 0 && sorted[j] > sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[len(sorted)/4]
}

func (s *series) label() string { return strings.TrimSpace(s.name + " " + string(s.kind)) }
