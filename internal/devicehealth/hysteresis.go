package devicehealth

import (
	"fmt"

	"silvercove/internal/tick"
)

const (
	riseMargin = 1.5               // a rise must clear this multiple of the threshold of the fall
	minDwell   = 60 * tick.Second  // how long a higher level must hold before it is reported
	maxDwell   = 960 * tick.Second // falls soon after a rise double the dwell time up to this: at most 8 rises an hour
)

// hysteresis keeps the reported level from following every reading: the level falls at once and rises after a dwell time, to
// the lowest level that held during all of that time. The level does not rise while a reading is unknown. The dwell time
// guards against flapping around a limit; the cost is that a node just connected to mains waits a minute for its higher
// level.
type hysteresis struct {
	level     level
	settled   bool // a level was reported while all readings were known
	changedAt tick.Tick
	roseAt    tick.Tick // time of the last rise that no fall has followed yet; 0 for none
	pending   pendingRise
	dwell     tick.Tick
}

// pendingRise is a higher level that has not yet held for the dwell time.
type pendingRise struct {
	since  tick.Tick // when the higher level was first allowed; 0 for none
	lowest level     // the lowest strict target since that time
}

func newHysteresis() hysteresis { return hysteresis{dwell: minDwell} }

// update sets the level. target is the level that the readings allow, strictTarget the level that they allow with riseMargin;
// unknown reports whether a reading is unknown.
func (h *hysteresis) update(now tick.Tick, target, strictTarget level, unknown bool) {
	switch {
	case !h.settled: // a process that has just started takes its level without a dwell time
		h.level, h.changedAt, h.settled = target, now, !unknown
	case target < h.level:
		h.fall(now, target)
	case strictTarget > h.level && !unknown:
		h.tryRise(now, strictTarget)
	default:
		h.pending.since = 0
	}
}

// fall lowers the level at once. A fall less than maxDwell after a rise doubles the dwell time; otherwise, a fall after at
// least maxDwell without a change halves it.
func (h *hysteresis) fall(now tick.Tick, target level) {
	switch {
	case h.roseAt > 0 && now-h.roseAt < maxDwell:
		h.dwell = min(2*h.dwell, maxDwell)
	case now-h.changedAt >= maxDwell:
		h.dwell = max(h.dwell/2, minDwell)
	}
	h.level, h.changedAt, h.roseAt, h.pending.since = target, now, 0, 0
}

// tryRise raises the level to the lowest target of the dwell time, once that time is over.
func (h *hysteresis) tryRise(now tick.Tick, strictTarget level) {
	if h.pending.since == 0 {
		h.pending = pendingRise{since: now, lowest: strictTarget}
	}
	h.pending.lowest = min(h.pending.lowest, strictTarget)
	if now-max(h.pending.since, h.changedAt) >= h.dwell {
		h.level, h.changedAt, h.roseAt, h.pending.since = h.pending.lowest, now, now, 0
	}
}

// waitReason returns why a higher level is not reported yet.
func (h *hysteresis) waitReason(now tick.Tick) string {
	if h.pending.since > 0 {
		return fmt.Sprintf("better for %s, is believed after %s", readableTime(now-h.pending.since), readableTime(h.dwell))
	}
	return "not yet clear of what it fell at"
}
