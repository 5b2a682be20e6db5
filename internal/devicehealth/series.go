package devicehealth

import (
	"fmt"
	"math"
	"strings"

	"silvercove/internal/tick"
)

// What is believed of readings. A value that is not believed leaves the last one standing for staleAfter, then the
// reading is unknown, which means no new work.
const (
	staleAfter          = 10 * tick.Second // ten readings of a second: one that fails or jumps means nothing
	jumpConfirmTime     = 60 * tick.Second // for so long a value has to stay where it jumped to: the span of a slope of heat
	jumpMinMoves        = 2                // and to move there, as a living sensor does
	minStuckTime        = 30 * tick.Second // the least time after which a quantity that used to move is stuck
	stuckIntervalFactor = 10.0             // and how many times its usual pause
	stuckMinMoves       = 8                // moves from which the usual pause is known
	stuckDrainShare     = 0.03             // of a full battery is drawn, its charge stands: 3 steps of the coarsest gauge
	confidenceStdErrors = 1.6              // standard errors: one-sided 95%
	maxSamples          = 32               // of a regression
	minSamples          = 12               // of a regression
	quartileSamples     = 16               // of an upper value
)

// series is one quantity as it was read.
type series struct {
	name         string
	kind         Kind
	limit        float64
	times        []tick.Tick // of the samples; the last one is the newest value
	values       []float64
	rejectReason string // why the last reading was not believed; "" it was
	lastReadAt   tick.Tick

	jump             jump
	movement         movement
	workedSinceMove  bool    // the node has worked since the value last moved
	stuck            bool    // found by the last unknownReason
	drainedSinceMove float64 // joules drawn since the value last moved
}

// jump is a value that the quantity jumped to, and has been near since.
type jump struct {
	since   tick.Tick // 0 for none
	value   float64
	valueAt tick.Tick
	moves   int
}

// movement is how often the quantity changes its value.
type movement struct {
	lastAt       tick.Tick
	count        int
	meanInterval float64 // ticks
}

func (s *series) known() bool { return len(s.values) > 0 }

// last is the newest value and its time. The series must be known.
func (s *series) last() (float64, tick.Tick) {
	return s.values[len(s.values)-1], s.times[len(s.times)-1]
}

func (s *series) clear() { s.times, s.values = s.times[:0], s.values[:0] }

// add believes a reading, or notes why not. One that is no newer than the last is ignored.
func (s *series) add(now tick.Tick, r Reading) {
	limits := plausibility[s.kind]
	s.lastReadAt = now
	at := now - max(0, r.Age)
	if reason := limits.invalidReason(r); reason != "" {
		s.rejectReason = reason
		return
	}
	s.limit = r.Limit
	if !s.known() {
		s.movement.lastAt = at
	} else if !s.acceptNext(at, r.Value, limits) {
		return
	}
	s.rejectReason = ""
	s.appendSample(at, r.Value, limits.sampleInterval)
}

// acceptNext reports whether a value can follow the last one, and notes whether the quantity moves.
//
// Guards against a gauge that fails: it must not speak of strength, nor of an end. A swapped battery looks the same, and
// costs new work until its charge has stood and moved.
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

// confirmJump reports whether the quantity has stayed near where it jumped to for jumpConfirmTime, and has moved there.
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

func (s *series) recordMove(at tick.Tick) {
	if s.stuck { // what stood still is no part of a slope
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

func (s *series) appendSample(at tick.Tick, value float64, interval tick.Tick) {
	if last := len(s.values) - 1; s.kind == KindDraw && last >= 0 && (s.values[last] > 0) != (value > 0) {
		s.clear() // from the mains to the battery or back: what was drawn before says nothing
	}
	if n := len(s.times); n >= 2 && s.times[n-1]-s.times[n-2] < interval {
		s.times, s.values = s.times[:n-1], s.values[:n-1] // the newest stands for its part of the span
	}
	if len(s.times) == maxSamples {
		s.times = append(s.times[:0], s.times[1:]...)
		s.values = append(s.values[:0], s.values[1:]...)
	}
	s.times = append(s.times, at)
	s.values = append(s.values, value)
}

// unknownReason says why the quantity is unknown now; "" it is known. fullCharge is that of its battery, in joules, 0 if it
// has none.
//
// Guards against a frozen file, which looks like a strong node while it empties. A gauge that keeps a coarse value looks
// the same; it hurts then by no new work until the value moves. An idle node is left alone, or it would never have work
// again.
func (s *series) unknownReason(now tick.Tick, fullCharge float64) string {
	if !s.known() {
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

// rejectReasonOr is why the last reading was not believed, or else the given reason.
func (s *series) rejectReasonOr(reason string) string {
	if s.rejectReason != "" {
		return s.rejectReason
	}
	return reason
}

// slope is the change a second by least squares over the samples, with its standard error. It is not ok of too few
// samples.
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

// upperQuartile is the value that a quarter of the last quartileSamples pass: a high one that no single reading moves.
func (s *series) upperQuartile() float64 {
	var array [quartileSamples]float64
	sorted := append(array[:0], s.values[max(0, len(s.values)-quartileSamples):]...)
	for i := range sorted { // by insertion: there are few
		for j := i; j > 0 && sorted[j] > sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[len(sorted)/4]
}

func (s *series) label() string { return strings.TrimSpace(s.name + " " + string(s.kind)) }
