package leases

import (
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// maxCountsPerOperation is how many nodes' counts are agreed at once.
const maxCountsPerOperation = 1024

// RecordCounts are the greatest counts of records that nodes have told of their disks, each with its lease. A node that has
// less than that at its start knows that its disk was restored from an older image.
//
// The leading controller hears the counts each third of a lease; the others agree on them once a lease, all that changed at
// once, so that the next leader knows what was so a lease ago. That costs an entry of the log a lease, however many nodes
// there are, of some 25 bytes for each that kept something.
type RecordCounts struct {
	interval tick.Tick
	known    map[string]uint64
	pending  map[string]uint64 // reported, and not agreed yet; 0: the count is to be forgotten
	nextDue  tick.Tick
}

// NewRecordCounts begins a span of leading with the counts that are agreed.
func NewRecordCounts(now tick.Tick, config Config, agreed map[string]uint64) *RecordCounts {
	interval := config.Duration()
	return &RecordCounts{interval: interval, known: maps.Clone(agreed), pending: map[string]uint64{}, nextDue: now + interval}
}

// Report takes a node's count as it came with its lease and returns the greatest one until then, 0 for none. A node without
// a count (0) is of an earlier version, or has no disk: its file may be written without a count, so what was known means
// nothing from then on.
func (c *RecordCounts) Report(node string, count uint64) (previous uint64) {
	previous = c.known[node]
	switch {
	case count == 0 && previous > 0:
		delete(c.known, node)
		c.pending[node] = 0
	case count > previous:
		if c.known == nil {
			c.known = map[string]uint64{}
		}
		c.known[node], c.pending[node] = count, count
	}
	return previous
}

// Due returns the counts that are to be agreed now, nil for none.
func (c *RecordCounts) Due(now tick.Tick) (counts map[string]uint64) {
	if now < c.nextDue || len(c.pending) == 0 {
		return nil
	}
	counts = map[string]uint64{}
	for _, node := range slices.Sorted(maps.Keys(c.pending)) {
		counts[node] = c.pending[node]
		if len(counts) == maxCountsPerOperation {
			break
		}
	}
	for node := range counts {
		delete(c.pending, node)
	}
	if len(c.pending) == 0 { // else the rest follows at once
		c.nextDue = now + c.interval
	}
	return counts
}

// Requeue says that the counts that were due were not agreed.
func (c *RecordCounts) Requeue(counts map[string]uint64) {
	for node, count := range counts {
		if _, newer := c.pending[node]; !newer {
			c.pending[node] = count
		}
	}
}

// NextDue is when something is due, if anything is.
func (c *RecordCounts) NextDue() (next tick.Tick, ok bool) { return c.nextDue, len(c.pending) > 0 }

// MergeRecordCounts takes counts that were agreed on into those that are agreed. A count of 0 is forgotten.
func MergeRecordCounts(agreed, counts map[string]uint64) {
	for node, count := range counts {
		if count == 0 {
			delete(agreed, node)
		} else {
			agreed[node] = max(agreed[node], count)
		}
	}
}
