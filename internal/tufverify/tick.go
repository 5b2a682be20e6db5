package tufverify

import (
	"time"
)

// Tick is a point in time, counted in units of 0.1 ms since the Unix epoch, or a duration in these units.
type Tick int64

// Second is the number of ticks in one second.
const Second Tick = 10000

// FromTime converts a time to ticks.
func FromTime(t time.Time) Tick { return Tick(t.UnixMicro() / 100) }

// Time converts ticks to a time in UTC.
func (t Tick) Time() time.Time { return time.UnixMicro(int64(t) * 100).UTC() }
