package devicehealth

import (
	"fmt"

	"silvercove/internal/tick"
)

const (
	riseMargin = 1.5               // what a better state must clear, times what a worse one falls at
	minDwell   = 60 * tick.Second  // a better state has to hold for so long before it is reported
	maxDwell   = 960 * tick.Second // doubled by each fall that soon follows a rise: at most 8 rises an hour
)

// hysteresis keeps the reported level from following every reading: it falls at once and rises after a dwell time, to
// the lowest level that was good for all of it. While a reading is unknown it does not rise. Guards against chattering
// around a limit; a node that was put on mains has to wait a minute for it.
type hysteresis struct {
	level     level
	settled   bool // a level was reported with all readings known
	changedAt tick.Tick
	roseAt    tick.Tick // the last rise that no fall has followed; 0 for none
	pending   pendingRise
	dwell     tick.Tick
}

// pendingRise is the time for which a better level has held.
type pendingRise struct {
	since  tick.Tick // 0 for none
	lowest level
}

func newHysteresis() hysteresis { return hysteresis{dwell: minDwell} }

// update updates the level: target is what the readings allow, strict what they allow with a margin.
func (h *hysteresis) update(now tick.Tick, target, strictTarget level, unknown bool) {
	switch {
	case !h.settled: // a process that has just started need not wait
		h.level, h.changedAt, h.settled = target, now, !unknown
	case target < h.level:
		h.fall(now, target)
	case strictTarget > h.level && !unknown:
		h.tryRise(now, strictTarget)
	default:
		h.pending.since = 0
	}
}

// fall goes down at once. A fall that soon follows a rise doubles the dwell time, one after long rest halves it.
func (h *hysteresis) fall(now tick.Tick, target level) {
	switch {
	case h.roseAt > 0 && now-h.roseAt < maxDwell:
		h.dwell = min(2*h.dwell, maxDwell)
	case now-h.changedAt >= maxDwell:
		h.dwell = max(h.dwell/2, minDwell)
	}
	h.level, h.changedAt, h.roseAt, h.pending.since = target, now, 0, 0
}

// tryRise goes up once the dwell time is over.
func (h *hysteresis) tryRise(now tick.Tick, strictTarget level) {
	if h.pending.since == 0 {
		h.pending = pendingRise{since: now, lowest: strictTarget}
	}
	h.pending.lowest = min(h.pending.lowest, strictTarget)
	if now-max(h.pending.since, h.changedAt) >= h.dwell {
		h.level, h.changedAt, h.roseAt, h.pending.since = h.pending.lowest, now, now, 0
	}
}

// waitReason says why a better level is not reported yet.
func (h *hysteresis) waitReason(now tick.Tick) string {
	if h.pending.since > 0 {
		return fmt.Sprintf("better for %s, is believed after %s", readableTime(now-h.pending.since), readableTime(h.dwell))
	}
	return "not yet clear of what it fell at"
}
