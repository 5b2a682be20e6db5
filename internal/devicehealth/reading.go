package devicehealth

import (
	"fmt"
	"math"

	"silvercove/internal/tick"
)

// Kind is the quantity that a reading measures.
type Kind string

// The kinds of readings, with the unit or the meaning of their values.
const (
	KindCharge          Kind = "charge"   // charge of a battery, as a fraction of full: 0 to 1
	KindFullCharge      Kind = "full"     // full charge of a battery, in joules
	KindDraw            Kind = "draw"     // watts drawn from a battery; below 0 while it charges
	KindCharging        Kind = "charging" // 1 if a battery charges, 0 if not
	KindMains           Kind = "mains"    // 1 if the node is supplied from outside, 0 if not
	KindTemperature     Kind = "temp"     // degrees C; the machine shuts itself down at Reading.Limit
	KindCellTemperature Kind = "cell"     // degrees C inside a battery
	KindThrottle        Kind = "throttle" // 0 to 1: the fraction by which the machine slows itself because of heat
	KindLid             Kind = "lid"      // 1 if the lid is open, 0 if it is shut
	KindRadio           Kind = "radio"    // 1 if the radio is on, 0 if it is off
)

// Reading is one value from a sensor or gauge, or the reason why it could not be read.
type Reading struct {
	Name   string // name of the source, such as BAT0; Name and Kind together identify a reading over time
	Kind   Kind
	Value  float64
	Limit  float64   // degrees C: the limit of a temperature reading; 0 if there is none
	Age    tick.Tick // age of the value when the reading is passed to the Monitor
	OK     bool      // whether the value was read
	Reason string    // why the value was not read, "" if the source gave no reason or the value was read
}

// bounds holds the physically possible values and changes of a kind of reading.
type bounds struct {
	min, max       float64   // range of possible values
	slack          float64   // maximum plausible change between two readings, however short the time between them
	rate           float64   // maximum plausible change per second between two readings, in addition to slack; isJump multiplies it by at most maxJumpSpan
	sampleInterval tick.Tick // minimum time between two samples that a series keeps; with maxSamples, it sets how much time the samples of a slope span
}

// plausibility has the bounds of each kind. The fastest batteries empty in minutes, and gauges correct themselves by a few
// percent; a sensor on a processor's die changes by tens of degrees in a second, but not by a hundred.
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

// invalidReason returns why a reading has no valid value, or "" if it has one.
func (b bounds) invalidReason(r Reading) string {
	switch {
	case !r.OK && r.Reason == "":
		return "missing"
	case !r.OK:
		return r.Reason
	case !(r.Value >= b.min && r.Value <= b.max): // the negated comparison is also true for NaN
		return fmt.Sprintf("impossible: %.4g", r.Value)
	}
	return ""
}

// maxJumpSpan is the longest time between two values for which isJump multiplies bounds.rate. Without this bound, any
// jump would become plausible if enough time had passed since the last accepted value.
const maxJumpSpan = 2 * tick.Second

// isJump reports whether the change between two values is too large to be plausible in the time between them.
func (b bounds) isJump(from, to float64, within tick.Tick) bool {
	return math.Abs(to-from) > b.slack+b.rate*min(within, maxJumpSpan).Seconds()
}
