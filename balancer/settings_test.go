package balancer

import (
	"testing"
	"time"
)

// TestSeconds checks that durations are truncated, not rounded, in both units.
func TestSeconds(t *testing.T) {
	for _, c := range []struct {
		seconds  Seconds
		ticks    Tick
		duration time.Duration
	}{
		{0, 0, 0},
		{1, Second, time.Second},
		{0.5, Second / 2, 500 * time.Millisecond},
		{0.00019, 1, 190 * time.Microsecond},
		{360_000, 360_000 * Second, 100 * time.Hour},
	} {
		check(t, "ticks", c.seconds.Ticks(), c.ticks)
		check(t, "duration", c.seconds.Duration(), c.duration)
	}
}
