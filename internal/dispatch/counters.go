package dispatch

import (
	"slices"
	"time"

	"silvercove/balancer"
)

// ClassCounters count the requests of one class since the dispatcher was made.
type ClassCounters struct {
	Name                                             string
	Accepted, Succeeded, Rejected, Failed, Abandoned int64
}

// Counters count what has passed through the dispatcher since it was made. OpenRequests, InFlight and Backends are not
// totals, but the values at the call of Snapshot.
type Counters struct {
	Classes         []ClassCounters
	Outcomes        [balancer.Discarded + 1]int64 // number of attempts by outcome
	VoteOutcomes    [balancer.Discarded + 1]int64
	Attempts        int64
	Votes           int64
	Shed            int64 // requests that the fleet policy shed
	EndpointUpdates int64
	StageUpdates    int64
	ReleaseMetrics  int64
	WrongAnswers    int64
	OpenRequests    int64
	InFlight        int64 // number of attempts in flight
	Backends        int64
	Wakeups         int64 // number of timers that have fired
	WakeupDelayMean time.Duration
	WakeupDelayMax  time.Duration
	TimerCallMean   time.Duration // mean time that the balancer takes for one timer
	TimerCallMax    time.Duration
}

// Snapshot returns a copy of the counters.
func (d *Dispatcher) Snapshot() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counters
	c.Classes = slices.Clone(c.Classes)
	c.OpenRequests = int64(len(d.calls))
	c.InFlight = int64(len(d.attempts))
	c.Backends = int64(len(d.backends))
	stats := d.timerStats
	n := time.Duration(max(1, stats.timers))
	c.Wakeups = stats.timers
	c.WakeupDelayMean, c.WakeupDelayMax = stats.delaySum/n, stats.delayMax
	c.TimerCallMean, c.TimerCallMax = stats.callSum/n, stats.callMax
	return c
}
