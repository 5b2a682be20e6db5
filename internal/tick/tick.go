// Package tick defines the unit of time that decisions are computed in, and its conversion to and from durations and
// seconds.
package tick

import "time"

// Tick is a point in time or a duration, in whole tenths of a millisecond.
type Tick int64

// Second is one second in ticks.
const Second Tick = 10000

// FromDuration converts a duration to ticks, rounded towards zero.
func FromDuration(d time.Duration) Tick { return Tick(d / (100 * time.Microsecond)) }

// Duration converts ticks to a duration.
func (t Tick) Duration() time.Duration { return time.Duration(t) * 100 * time.Microsecond }

// FromSeconds converts seconds to ticks, rounded towards zero.
func FromSeconds(seconds float64) Tick { return Tick(seconds * float64(Second)) }

// Seconds converts ticks to seconds.
func (t Tick) Seconds() float64 { return float64(t) / float64(Second) }
