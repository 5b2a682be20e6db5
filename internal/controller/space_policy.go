package controller

import (
	"slices"

	"silvercove/internal/controllerclient"
	"silvercove/internal/tick"
)

// Of a keeper's disk and log, in parts of the disk's bytes and in entries of the log.
const (
	lowFreeFraction, recoveredFreeFraction = 0.05, 0.08 // short of room at so much free or less, and until so much is

	maxDiskCheckInterval     = tick.Second // between two looks, at most
	minTransferBackoff       = tick.Second // between two tries to hand the lead on, doubled each time
	maxTransferBackoff       = 64 * tick.Second
	lowSpaceCompactionFactor = 8           // so many times as often a log is cut where room is short
	minCompactionBackoff     = tick.Second // after a snapshot that failed, doubled each time
	maxCompactionBackoff     = 64 * tick.Second
)

// spacePolicy decides what a keeper does as its disk fills and its log grows: whether it is short of room, when its
// log is cut by a snapshot, and to whom it hands the lead. It guards against a disk that is full while the
// keeper leads: each step fails then until another one is elected, and terms and votes can't be written. A
// folder on a large disk that others fill looks the same, and there it hurts: with 5% of terabytes free the
// lead is handed on though nothing presses.
type spacePolicy struct {
	snapshotEntries, trailingEntries   uint64 // entries of the log until it is cut, and left then
	disk                               controllerclient.DiskSpace
	transferBackoff, compactionBackoff backoff
}

func newSpacePolicy() *spacePolicy {
	return &spacePolicy{snapshotEntries: snapshotEntries, trailingEntries: trailingEntries, transferBackoff: backoff{minPause: minTransferBackoff, maxPause: maxTransferBackoff},
		compactionBackoff: backoff{minPause: minCompactionBackoff, maxPause: maxCompactionBackoff}}
}

// backoff is when something is tried again.
type backoff struct{ minPause, maxPause, pause, next tick.Tick }

func (b *backoff) due(now tick.Tick) bool { return now >= b.next }

func (b *backoff) failed(now tick.Tick) {
	b.pause = min(max(2*b.pause, b.minPause), b.maxPause)
	b.next = now + b.pause
}

func (b *backoff) reset() { b.pause, b.next = 0, 0 }

// OnDiskSpace takes a look at the disk, in bytes, and tells whether it has become short of room, or has room
// again. A disk without a size tells nothing.
func (m *spacePolicy) OnDiskSpace(free, total uint64) (changed bool) {
	if total == 0 {
		return false
	}
	was := m.disk.LowOnSpace
	m.disk.Free, m.disk.Total = min(free, total), total
	switch share := m.disk.FreeFraction(); {
	case share <= lowFreeFraction:
		m.disk.LowOnSpace = true
	case share >= recoveredFreeFraction:
		m.disk.LowOnSpace = false
		m.transferBackoff.reset()
	}
	return m.disk.LowOnSpace != was
}

// TrailingEntries is how many entries a snapshot leaves in the log, for those that lag.
func (m *spacePolicy) TrailingEntries() uint64 {
	if m.disk.LowOnSpace {
		return m.trailingEntries / lowSpaceCompactionFactor
	}
	return m.trailingEntries
}

// CompactionDue tells whether the log, which has so many entries, is to be cut now. Cut says what became of that.
func (m *spacePolicy) CompactionDue(now tick.Tick, entries uint64) bool {
	every := m.snapshotEntries
	if m.disk.LowOnSpace {
		every /= lowSpaceCompactionFactor
	}
	return entries > every+m.TrailingEntries() && m.compactionBackoff.due(now)
}

// OnCompaction says whether a snapshot was taken: a failed one is not tried again at each look, as it writes all that
// is agreed.
func (m *spacePolicy) OnCompaction(now tick.Tick, err error) {
	if err != nil {
		m.compactionBackoff.failed(now)
	} else {
		m.compactionBackoff.reset()
	}
}

// TransferDue tells whether a keeper that leads should look for another one with room.
func (m *spacePolicy) TransferDue(now tick.Tick) bool {
	return m.disk.LowOnSpace && m.transferBackoff.due(now)
}

// TransferTarget is the keeper to which the lead is handed on: of those that follow in this term the one with the
// largest part of its disk free. None where all are short of room, or are of a version that does not say:
// then it leads on. Each answer but none counts as a try.
func (m *spacePolicy) TransferTarget(now tick.Tick, term uint64, others []controllerclient.Status) (to string) {
	if !m.TransferDue(now) {
		return ""
	}
	most := recoveredFreeFraction // one that would hand it on at once is none
	for _, s := range slices.SortedFunc(slices.Values(others), func(a, b controllerclient.Status) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	}) {
		if s.Role != "follower" || s.Term != term || s.Disk == nil || s.Disk.LowOnSpace || s.Disk.FreeFraction() <= most {
			continue
		}
		to, most = s.Node, s.Disk.FreeFraction()
	}
	if to != "" {
		m.transferBackoff.failed(now)
	}
	return to
}
