package tufverify

import (
	"time"
)

// Tick is a moment in whole tenths of a millisecond since 1970, UTC.
type Tick int64

// Second is one second in ticks.
const Second Tick = 10000

// FromTime turns a time into ticks.
func FromTime(t time.Time) Tick { return Tick(t.UnixMicro() / 100) }

// Time turns ticks into a time.
func (t Tick) Time() time.Time { return time.UnixMicro(int64(t) * 100).UTC() }
