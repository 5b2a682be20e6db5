package devicehealth

import (
	"fmt"
	"math"

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
	OK     bool      // the value was read
	Reason string    // why it was not
}

// bounds is what is physically possible of a kind of readings.
type bounds struct {
	min, max       float64   // values beyond are impossible
	slack          float64   // a change by so much is always possible
	rate           float64   // a second, of change beyond the slack
	sampleInterval tick.Tick // between samples: the span of a forecast is maxSamples of them
}

// plausibility is by kind. A battery of the fastest kind empties in minutes, gauges correct themselves by a few parts in
// a hundred; a sensor on a processor's die moves by tens of degrees in a second, but not by a hundred.
var plausibility = map[Kind]bounds{
	KindCharge:          {min: 0, max: 1, slack: 0.03, rate: 0.005, sampleInterval: 10 * tick.Second},
	KindFullCharge:      {min: 1, max: 1e9, slack: math.Inf(1), sampleInterval: tick.Second},
	KindDraw:            {min: -5000, max: 5000, slack: math.Inf(1), sampleInterval: tick.Second},
	KindCharging:        {min: 0, max: 1, slack: 1, sampleInterval: tick.Second},
	KindMains:           {min: 0, max: 1, slack: 1, sampleInterval: tick.Second},
	KindTemperature:     {min: -40, max: 125, slack: 15, rate: 15, sampleInterval: 2 * tick.Second},
	KindCellTemperature: {min: -40, max: 125, slack: 15, rate: 15, sampleInterval: 2 * tick.Second},
	KindThrottle:        {min: 0, max: 1, slack: 1, sampleInterval: tick.Second},
	KindLid:             {min: 0, max: 1, slack: 1, sampleInterval: tick.Second},
	KindRadio:           {min: 0, max: 1, slack: 1, sampleInterval: tick.Second},
}

// invalidReason says why a reading has no value that could be believed; "" if it has.
func (b bounds) invalidReason(r Reading) string {
	switch {
	case !r.OK && r.Reason == "":
		return "missing"
	case !r.OK:
		return r.Reason
	case !(r.Value >= b.min && r.Value <= b.max): // also true for what is no number
		return fmt.Sprintf("impossible: %.4g", r.Value)
	}
	return ""
}

// maxJumpSpan is the longest time for which more change is possible: that more time goes by makes what a value jumped to
// no likelier.
const maxJumpSpan = 2 * tick.Second

// isJump reports whether a value cannot have changed to another one within a time.
func (b bounds) isJump(from, to float64, within tick.Tick) bool {
	return math.Abs(to-from) > b.slack+b.rate*min(within, maxJumpSpan).Seconds()
}
