package leases

import (
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// mostMarks is how many units' counts are agreed at once.
const mostMarks = 1024

// RecordCounts are the greatest counts of records that units have told of their disks, each with its lease. A unit that has
// less than that at its start knows that its disk was put back. The leading keeper hears them each third of a lease; the
// others agree on them once a lease, all that changed at once, so that the next leader knows what was so a lease ago.
// That costs an entry a lease, however many units there are, of some 25 bytes for each that kept something.
type RecordCounts struct {
	every tick.Tick
	known map[string]uint64
	fresh map[string]uint64 // told, and not agreed yet; 0: its count is to be forgotten
	next  tick.Tick
}

// NewRecordCounts begins a span of leading with the counts that are agreed.
func NewRecordCounts(now tick.Tick, set map[string]any, agreed map[string]uint64) *RecordCounts {
	every := tick.Tick(set["fleet.lease"].(float64) * float64(tick.Second))
	return &RecordCounts{every: every, known: maps.Clone(agreed), fresh: map[string]uint64{}, next: now + every}
}

// Report is a unit's count as it came with its lease; before is the greatest one until then, 0 for none. A unit without
// a count (0) is of an earlier program, or has no disk: its file may be written without a count, so what was known means
// nothing from then on.
func (m *RecordCounts) Report(unit string, count uint64) (before uint64) {
	before = m.known[unit]
	switch {
	case count == 0 && before > 0:
		delete(m.known, unit)
		m.fresh[unit] = 0
	case count > before:
		if m.known == nil {
			m.known = map[string]uint64{}
		}
		m.known[unit], m.fresh[unit] = count, count
	}
	return before
}

// Due is what is to be agreed now, nil for nothing.
func (m *RecordCounts) Due(now tick.Tick) (some map[string]uint64) {
	if now < m.next || len(m.fresh) == 0 {
		return nil
	}
	some = map[string]uint64{}
	for _, unit := range slices.Sorted(maps.Keys(m.fresh)) {
		if some[unit] = m.fresh[unit]; len(some) == mostMarks {
			break
		}
	}
	for unit := range some {
		delete(m.fresh, unit)
	}
	if len(m.fresh) == 0 { // else the rest follows at once
		m.next = now + m.every
	}
	return some
}

// Requeue says that what was due was not agreed.
func (m *RecordCounts) Requeue(some map[string]uint64) {
	for unit, count := range some {
		if _, newer := m.fresh[unit]; !newer {
			m.fresh[unit] = count
		}
	}
}

// NextDue is when something is due, if anything is.
func (m *RecordCounts) NextDue() (next tick.Tick, any bool) { return m.next, len(m.fresh) > 0 }

// MergeRecordCounts takes an agreed count into those that are agreed.
func MergeRecordCounts(agreed map[string]uint64, some map[string]uint64) {
	for unit, count := range some {
		if count == 0 {
			delete(agreed, unit)
		} else {
			agreed[unit] = max(agreed[unit], count)
		}
	}
}
