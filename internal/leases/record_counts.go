package leases

import (
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// maxCountsPerOperation is the maximum number of record counts in one entry of the agreed log.
const maxCountsPerOperation = 1024

// RecordCounts tracks the greatest number of records that each node has reported to be on its disk. A node reports this count
// with each lease request. At its start, a node compares its count with the greatest known count. If its count is lower, its
// disk was restored from an older image.
//
// The leading controller receives the counts every third of a lease duration. The controllers agree on all changed counts
// together once per lease duration, so the counts that a new leader knows are at most about one lease duration old. The cost
// for up to maxCountsPerOperation nodes is one entry of the agreed log per lease duration. The entry has about 25 bytes for
// each node that wrote records.
type RecordCounts struct {
	interval tick.Tick         // time between two proposals of counts: one lease duration
	known    map[string]uint64 // the greatest count of each node, agreed or not
	pending  map[string]uint64 // counts that wait to be proposed; 0 means that the node's agreed count is to be deleted
	nextDue  tick.Tick
}

// NewRecordCounts returns the record counts of a controller that begins to lead, from the counts that are already agreed.
func NewRecordCounts(now tick.Tick, config Config, agreed map[string]uint64) *RecordCounts {
	interval := config.Duration()
	return &RecordCounts{interval: interval, known: maps.Clone(agreed), pending: map[string]uint64{}, nextDue: now + interval}
}

// Report records the count that a node sent with its lease request, and returns the greatest count known before this report, 0
// for none. A node that sends no count (0) runs an earlier version or has no disk. Such a node may write records without
// counting them. The known count then no longer says how many records the node has written, so Report deletes it.
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
// longer wait to be proposed, unless Requeue adds them again.
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
	if len(c.pending) == 0 { // while counts remain, nextDue stays in the past, so that they are due immediately
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

// NextDue returns when Due returns counts next, and false if no counts wait to be proposed.
func (c *RecordCounts) NextDue() (next tick.Tick, ok bool) { return c.nextDue, len(c.pending) > 0 }

// MergeRecordCounts adds newly agreed counts to the map agreed. Each node keeps its greatest count, and a new count of 0
// deletes the count of its node.
func MergeRecordCounts(agreed, counts map[string]uint64) {
	for node, count := range counts {
		if count == 0 {
			delete(agreed, node)
		} else {
			agreed[node] = max(agreed[node], count)
		}
	}
}
