// Package tick is the time that decision modules count in.
package tick

import "time"

// Tick is a point or a span of time in whole tenths of a millisecond.
type Tick int64

// Second is one second in ticks.
const Second Tick = 10000

// FromDuration is a span of time in ticks, rounded down.
func FromDuration(d time.Duration) Tick { return Tick(d / (100 * time.Microsecond)) }

// Duration is the time that so many ticks are.
func (t Tick) Duration() time.Duration { return time.Duration(t) * 100 * time.Microsecond }

// FromSeconds is a span of seconds in ticks, rounded towards zero.
func FromSeconds(seconds float64) Tick { return Tick(seconds * float64(Second)) }

// Seconds is the span in seconds.
func (t Tick) Seconds() float64 { return float64(t) / float64(Second) }
