package devicehealth

import (
	"fmt"

	"silvercove/internal/tick"
)

const (
	riseMargin = 1.5               // a node rises to a level only if its readings allow the level with the required margins multiplied by this factor
	minDwell   = 60 * tick.Second  // shortest dwell time: how long a higher level must be allowed before it is reported
	maxDwell   = 960 * tick.Second // longest dwell time; fall doubles the dwell time up to this value, so there are at most 8 rises an hour
)

// hysteresis keeps the reported level from following every reading. The level falls at once. It rises once higher
// levels have been allowed for the whole dwell time; the new level is the lowest of them. The level does not rise while
// a reading is unknown. The dwell time guards against flapping around a limit; the cost is that a node just connected
// to mains waits a minute for its higher level.
type hysteresis struct {
	level     level
	settled   bool // true once a level was reported while all readings were known
	changedAt tick.Tick
	roseAt    tick.Tick // time of the last rise; 0 if the level has fallen since or never rose
	pending   pendingRise
	dwell     tick.Tick
}

// pendingRise is a rise of the level that waits until a higher level has been allowed for the whole dwell time.
type pendingRise struct {
	since  tick.Tick // time since which a higher level has been allowed; 0 if none is
	lowest level     // lowest strictTarget that was passed to update since that time
}

func newHysteresis() hysteresis { return hysteresis{dwell: minDwell} }

// update sets the level. target is the level that the readings allow. strictTarget is the level that the readings allow
// if the required margins are multiplied by riseMargin. unknown reports whether any reading is unknown.
func (h *hysteresis) update(now tick.Tick, target, strictTarget level, unknown bool) {
	switch {
	case !h.settled: // the level follows target without a dwell time until all readings were known once
		h.level, h.changedAt, h.settled = target, now, !unknown
	case target < h.level:
		h.fall(now, target)
	case strictTarget > h.level && !unknown:
		h.tryRise(now, strictTarget)
	default:
		h.pending.since = 0
	}
}

// fall lowers the level at once and adapts the dwell time. The dwell time doubles, up to maxDwell, if the level last
// rose less than maxDwell ago and has not fallen since. Otherwise the dwell time halves, down to minDwell, if the level
// has not changed for at least maxDwell.
func (h *hysteresis) fall(now tick.Tick, target level) {
	switch {
	case h.roseAt > 0 && now-h.roseAt < maxDwell:
		h.dwell = min(2*h.dwell, maxDwell)
	case now-h.changedAt >= maxDwell:
		h.dwell = max(h.dwell/2, minDwell)
	}
	h.level, h.changedAt, h.roseAt, h.pending.since = target, now, 0, 0
}

// tryRise raises the level once a higher level has been allowed for the dwell time. The new level is the lowest
// strictTarget of that time.
func (h *hysteresis) tryRise(now tick.Tick, strictTarget level) {
	if h.pending.since == 0 {
		h.pending = pendingRise{since: now, lowest: strictTarget}
	}
	h.pending.lowest = min(h.pending.lowest, strictTarget)
	if now-max(h.pending.since, h.changedAt) >= h.dwell {
		h.level, h.changedAt, h.roseAt, h.pending.since = h.pending.lowest, now, now, 0
	}
}

// waitReason returns why the reported level is below the level that the readings allow.
func (h *hysteresis) waitReason(now tick.Tick) string {
	if h.pending.since > 0 {
		return fmt.Sprintf("better for %s, is believed after %s", readableTime(now-h.pending.since), readableTime(h.dwell))
	}
	return "not yet clear of what it fell at"
}
