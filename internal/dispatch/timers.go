package dispatch

import (
	"context"
	"slices"
	"time"

	"silvercove/balancer"
)

// timer is a timer that the balancer has set.
type timer struct {
	dueAt balancer.Tick
	tag   uint32
}

// idleWait is the longest sleep of RunTimers while no timer is set. A call of SetTimer ends the sleep earlier.
const idleWait = time.Hour

// RunTimers fires the balancer's timers until the context ends, and then returns nil. It must be called exactly once
// for each dispatcher.
func (d *Dispatcher) RunTimers(ctx context.Context) error { return d.timerWaker.Run(ctx, d.fireTimers) }

// fireTimers fires the timers that are due and returns the time until the next timer is due.
func (d *Dispatcher) fireTimers() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		next := d.earliestTimer()
		if next < 0 {
			return idleWait
		}
		due, now := d.timers[next], d.clock.now()
		if due.dueAt > now {
			return time.Until(d.clock.timeAt(due.dueAt))
		}
		d.timers = slices.Delete(d.timers, next, next+1)
		d.timerStats.addDelay(durationOf(now - due.dueAt))
		before := time.Now()
		d.balancer.OnTimer(now, due.tag)
		d.timerStats.addCall(time.Since(before))
	}
}

// earliestTimer returns the index of the timer that is due first, or -1 if no timer is set. If several timers are due
// at the same time, it picks the one that was set first.
func (d *Dispatcher) earliestTimer() int {
	earliest := -1
	for i, t := range d.timers {
		if earliest < 0 || t.dueAt < d.timers[earliest].dueAt {
			earliest = i
		}
	}
	return earliest
}

// timerStats holds sums and maxima of the delays with which timers fired, and of the durations of OnTimer calls.
type timerStats struct {
	timers   int64
	delaySum time.Duration
	delayMax time.Duration
	callSum  time.Duration
	callMax  time.Duration
}

func (s *timerStats) addDelay(late time.Duration) {
	s.timers++
	s.delaySum += late
	s.delayMax = max(s.delayMax, late)
}

func (s *timerStats) addCall(took time.Duration) {
	s.callSum += took
	s.callMax = max(s.callMax, took)
}
