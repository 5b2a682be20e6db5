package devicehealth

import (
	"fmt"
	"math"
	"strings"

	"silvercove/internal/tick"
)

// Kind says what a reading is of.
type Kind string

// The kinds of readings.
const (
	KindCharge          Kind = "charge"   // of a battery, 0 to 1 of full
	KindFullCharge      Kind = "full"     // joules that it holds when full
	KindDraw            Kind = "draw"     // watts out of it; below 0 it charges
	KindCharging        Kind = "charging" // 1: it charges, 0: not
	KindMains           Kind = "mains"    // 1: supplied from outside, 0: not
	KindTemperature     Kind = "temp"     // degrees C; Limit is where the machine stops itself
	KindCellTemperature Kind = "cell"     // degrees C inside a battery
	KindThrottle        Kind = "throttle" // 0 to 1: how far the machine slows itself for heat
	KindLid             Kind = "lid"      // 1 open, 0 shut
	KindRadio           Kind = "radio"    // 1 up, 0 off
)

// Reading is one value, as it was read or not.
type Reading struct {
	Name   string // of its source, such as BAT0; with Kind it is the same quantity at each call
	Kind   Kind
	Value  float64
	Limit  float64   // of a temperature, 0 for none
	Age    tick.Tick // how old the value was when it was handed in
	OK     bool
	Reason string // it is not OK
}

// What is believed of readings. A value that is not leaves the last one standing for staleAfter, then the
// reading is unknown, which means no new work.
const (
	staleAfter = 10 * tick.Second // ten readings of a second: one that fails or jumps is no news
	jumpSpan   = 2 * tick.Second  // that more time goes by makes what it jumped to no likelier
	jumpStands = 60 * tick.Second // the span of a slope of heat
	stillAfter = 30 * tick.Second // the least time after which a quantity that used to move is stuck
	stillTimes = 10.0             // and how many times its usual pause
	stillMoves = 8                // moves from which the usual pause is known
	stillDraw  = 0.03             // of a full battery is drawn, its charge stands: 3 steps of the coarsest
	sure       = 1.6              // standard errors: one-sided 95%; above 1.7 a worse reading could look better
	samples    = 32               // of a regression
	leastFit   = 12               // of them, before a slope is told
	mostSeries = 64               // readings that are looked at
)

// range and physics of each kind: values beyond least and most are impossible, and so are changes of more
// than slack and rate a second. A battery of the fastest kind empties in minutes, gauges mend themselves
// by a few parts in a hundred; a sensor on a processor's die moves by tens of degrees in a second, but
// not by a hundred.
var physics = map[Kind]struct {
	least, most, slack, rate float64
	every                    tick.Tick // between samples: the span of a forecast is 32 of them
}{
	KindCharge:          {0, 1, 0.03, 0.005, 10 * tick.Second},
	KindFullCharge:      {1, 1e9, math.Inf(1), 0, tick.Second},
	KindDraw:            {-5000, 5000, math.Inf(1), 0, tick.Second},
	KindCharging:        {0, 1, 1, 0, tick.Second},
	KindMains:           {0, 1, 1, 0, tick.Second},
	KindTemperature:     {-40, 125, 15, 15, 2 * tick.Second},
	KindCellTemperature: {-40, 125, 15, 15, 2 * tick.Second},
	KindThrottle:        {0, 1, 1, 0, tick.Second},
	KindLid:             {0, 1, 1, 0, tick.Second},
	KindRadio:           {0, 1, 1, 0, tick.Second},
}

// series is one quantity as it was read.
type series struct {
	name  string
	kind  Kind
	limit float64
	at    []tick.Tick // of the samples; the last one is the newest value
	v     []float64
	why   string // the last reading was not believed
	heard tick.Tick

	other          float64 // a value that it jumped to, and has been near since
	since, otherAt tick.Tick
	otherMoves     int

	moved   tick.Tick // when it last had another value
	moves   int
	pause   float64 // usual, in ticks
	busy    bool    // the unit has worked since
	stuck   bool    // found at the last doubt
	drained float64 // joules drawn since
}

func (s *series) known() bool { return len(s.v) > 0 }

func (s *series) last() (float64, tick.Tick) { return s.v[len(s.v)-1], s.at[len(s.at)-1] }

// take believes a reading or says why not.
func (s *series) take(now tick.Tick, r Reading) {
	p := physics[s.kind]
	s.heard = now
	at := now - max(0, r.Age)
	switch {
	case !r.OK:
		s.why = r.Reason
		if s.why == "" {
			s.why = "missing"
		}
		return
	case !(r.Value >= p.least && r.Value <= p.most):
		s.why = fmt.Sprintf("impossible: %.4g", r.Value)
		return
	}
	s.limit = r.Limit
	if s.known() {
		last, then := s.last()
		if at <= then {
			return // nothing newer
		}
		// Guards against a gauge that fails: it must not tell of strength, nor of an end. A swapped
		// battery looks the same, and costs new work until its charge has stood and moved.
		far := func(from float64, span tick.Tick) bool {
			return math.Abs(r.Value-from) > p.slack+p.rate*seconds(min(span, jumpSpan))
		}
		if far(last, at-then) {
			if !s.settles(at, r.Value, far) {
				s.why = fmt.Sprintf("jumps from %.4g to %.4g", last, r.Value)
				return
			}
			s.at, s.v = s.at[:0], s.v[:0]
		}
		s.since = 0
		if r.Value != last {
			if s.stuck { // what stood still is no part of a slope
				s.at, s.v, s.stuck = s.at[:0], s.v[:0], false
			}
			if gap := float64(at - s.moved); s.moves == 0 {
				s.pause = gap
			} else {
				s.pause += (gap - s.pause) / float64(min(s.moves+1, samples))
			}
			s.moves, s.moved, s.busy, s.drained = s.moves+1, at, false, 0
		}
	} else {
		s.moved = at
	}
	s.why = ""
	if last := len(s.v) - 1; s.kind == KindDraw && last >= 0 && (s.v[last] > 0) != (r.Value > 0) {
		s.at, s.v = s.at[:0], s.v[:0] // from the mains to the battery or back: what was drawn before says nothing
	}
	if n := len(s.at); n >= 2 && s.at[n-1]-s.at[n-2] < p.every {
		s.at, s.v = s.at[:n-1], s.v[:n-1] // the newest stands for its part of the span
	}
	if len(s.at) == samples {
		s.at, s.v = append(s.at[:0], s.at[1:]...), append(s.v[:0], s.v[1:]...)
	}
	s.at, s.v = append(s.at, at), append(s.v, r.Value)
}

// settles: it has been near where it jumped to for jumpStands, and has moved there as a living sensor
// does.
func (s *series) settles(at tick.Tick, v float64, far func(float64, tick.Tick) bool) bool {
	if s.since == 0 || far(s.other, at-s.otherAt) {
		s.since, s.otherMoves = at, 0
	} else if v != s.other {
		s.otherMoves++
	}
	s.other, s.otherAt = v, at
	return at-s.since >= jumpStands && s.otherMoves >= 2
}

// doubt says why the quantity is unknown now; "" it is known.
func (s *series) doubt(now tick.Tick, full float64) string {
	if !s.known() {
		return s.said("no value yet")
	}
	_, at := s.last()
	still := now - s.moved
	switch {
	case now-at > staleAfter:
		return s.said(fmt.Sprintf("none for %d s", (now-at)/tick.Second))
	// Guards against a frozen file, which looks like a strong unit while it empties. The same sight: a
	// gauge that keeps a coarse value. Hurts then: no new work until it moves. An idle unit is left
	// alone, or it would never have work again.
	case s.kind == KindCharge && full > 0 && s.drained > stillDraw*full:
		s.stuck = true
		return fmt.Sprintf("stuck: the same while %.0f%% were drawn", 100*s.drained/full)
	case (s.kind == KindTemperature || s.kind == KindCellTemperature || s.kind == KindDraw) && s.moves >= stillMoves && s.busy &&
		still > max(stillAfter, tick.Tick(stillTimes*s.pause)):
		s.stuck = true
		return fmt.Sprintf("stuck: the same for %d s", still/tick.Second)
	}
	return ""
}

func (s *series) said(otherwise string) string {
	if s.why != "" {
		return s.why
	}
	return otherwise
}

// slope is the change a second by least squares over the samples, with its standard error. Too few
// samples have none.
func (s *series) slope() (slope, err float64, ok bool) {
	n := float64(len(s.v))
	if n < leastFit {
		return 0, 0, false
	}
	var mx, my, sxx, sxy, syy float64
	from := s.at[0]
	for i, v := range s.v {
		mx, my = mx+seconds(s.at[i]-from)/n, my+v/n
	}
	for i, v := range s.v {
		dx, dy := seconds(s.at[i]-from)-mx, v-my
		sxx, sxy, syy = sxx+dx*dx, sxy+dx*dy, syy+dy*dy
	}
	if sxx == 0 {
		return 0, 0, false
	}
	slope = sxy / sxx
	return slope, math.Sqrt(max(0, syy-slope*sxy) / (n - 2) / sxx), true
}

// upper is the value that a quarter of the last 16 pass: a high one that no single reading moves.
func (s *series) upper() float64 {
	var few [16]float64
	v := append(few[:0], s.v[max(0, len(s.v)-16):]...)
	for i := range v { // few: by insertion
		for j := i; j > 0 && v[j] > v[j-1]; j-- {
			v[j], v[j-1] = v[j-1], v[j]
		}
	}
	return v[len(v)/4]
}

func (s *series) label() string { return strings.TrimSpace(s.name + " " + string(s.kind)) }

func seconds(t tick.Tick) float64 { return float64(t) / float64(tick.Second) }
