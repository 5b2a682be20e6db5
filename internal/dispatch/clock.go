package dispatch

import (
	"time"

	"silvercove/balancer"
)

// tickDuration is the length of one tick of the balancer's clock.
const tickDuration = time.Second / time.Duration(balancer.Second)

// clock gives the balancer's time: the machine's Unix time when newClock was called, plus the time since that call on
// the monotonic clock.
type clock struct {
	start     time.Time // time when newClock was called, with a monotonic clock reading
	startTick balancer.Tick
}

func newClock(now time.Time) clock {
	return clock{start: now, startTick: balancer.Tick(now.UnixMicro() / tickDuration.Microseconds())}
}

func (c clock) now() balancer.Tick { return c.tickAt(time.Now()) }

func (c clock) tickAt(t time.Time) balancer.Tick {
	return c.startTick + ticksOf(t.Sub(c.start))
}

func (c clock) timeAt(t balancer.Tick) time.Time { return c.start.Add(durationOf(t - c.startTick)) }

// ticksOf converts a duration to ticks, rounding towards zero.
func ticksOf(d time.Duration) balancer.Tick { return balancer.Tick(d / tickDuration) }

func durationOf(t balancer.Tick) time.Duration { return time.Duration(t) * tickDuration }
