package leases

import (
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// maxCountsPerOperation is the maximum number of record counts in one entry of the agreed log.
const maxCountsPerOperation = 1024

// RecordCounts tracks the greatest record count that each node has reported for its disk. A node reports its count with each
// lease request. A node whose count at its start is below the greatest known one learns from that difference that its disk was
// restored from an older image.
//
// The leading controller receives the counts every third of a lease duration. The controllers agree on all changed counts
// together once per lease duration, so the counts that a new leader knows are at most about one lease duration old. The cost
// is one entry of the agreed log per lease duration, whatever the number of nodes up to maxCountsPerOperation, with some 25
// bytes for each node that wrote records.
type RecordCounts struct {
	interval tick.Tick         // time between two agreements: one lease duration
	known    map[string]uint64 // the greatest count of each node, agreed or not
	pending  map[string]uint64 // reported and not yet agreed; 0 means that the agreed count is to be deleted
	nextDue  tick.Tick
}

// NewRecordCounts returns the record counts of a controller that begins to lead, from the counts that are already agreed.
func NewRecordCounts(now tick.Tick, config Config, agreed map[string]uint64) *RecordCounts {
	interval := config.Duration()
	return &RecordCounts{interval: interval, known: maps.Clone(agreed), pending: map[string]uint64{}, nextDue: now + interval}
}

// Report records the count that a node sent with its lease request, and returns the greatest count known before this
// report, 0 for none. A node that sends no count (0) runs an earlier version or has no disk. The node may write its file
// without counting, so the count known before is no longer meaningful and is deleted.
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

// Due returns the counts that are to be proposed now, at most maxCountsPerOperation, and nil for none. The returned counts no
// longer wait for agreement; Requeue puts them back.
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
	if len(c.pending) == 0 { // otherwise the remaining counts are due immediately
		c.nextDue = now + c.interval
	}
	return counts
}

// Requeue makes counts that Due returned due again because they were not agreed. A newer count of a node takes precedence.
func (c *RecordCounts) Requeue(counts map[string]uint64) {
	for node, count := range counts {
		if _, newer := c.pending[node]; !newer {
			c.pending[node] = count
		}
	}
}

// NextDue returns when Due returns counts next, and false if no counts wait for agreement.
func (c *RecordCounts) NextDue() (next tick.Tick, ok bool) { return c.nextDue, len(c.pending) > 0 }

// MergeRecordCounts adds newly agreed counts to the agreed ones, which it modifies. Each node keeps its greatest count, and a
// new count of 0 deletes the count of its node.
func MergeRecordCounts(agreed, counts map[string]uint64) {
	for node, count := range counts {
		if count == 0 {
			delete(agreed, node)
		} else {
			agreed[node] = max(agreed[node], count)
		}
	}
}
