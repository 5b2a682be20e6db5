package controller

import (
	"cmp"
	"slices"

	"silvercove/internal/controllerclient"
	"silvercove/internal/tick"
)

// Limits of a controller's disk and log.
const (
	lowFreeFraction       = 0.05 // a disk is low on space with so much free or less
	recoveredFreeFraction = 0.08 // and until so much is

	maxDiskCheckInterval     = tick.Second
	lowSpaceCompactionFactor = 8 // so many times as often a log is compacted where the disk is low on space
	minTransferBackoff       = tick.Second
	maxTransferBackoff       = 64 * tick.Second
	minCompactionBackoff     = tick.Second
	maxCompactionBackoff     = 64 * tick.Second
)

// spacePolicy decides what a controller does as its disk fills and its log grows: whether the disk is low on space, when the log
// is compacted by a snapshot, and to whom the leadership is handed. It is no I/O, and not safe for concurrent use.
//
// Guards against a disk that is full while the controller leads: each operation fails then until another one is elected, and
// terms and votes can't be written. Holds because the leadership goes to a controller with space before. A folder on a large
// disk that others fill looks the same, and there it is a loss: with 5% of terabytes free the leadership is handed on though
// nothing presses.
type spacePolicy struct {
	snapshotEntries   uint64 // the log is compacted once it has so many entries more than trailingEntries
	trailingEntries   uint64 // and so many are left then
	space             controllerclient.DiskSpace
	transferBackoff   backoff
	compactionBackoff backoff
}

func newSpacePolicy() *spacePolicy {
	return &spacePolicy{
		snapshotEntries:   snapshotEntries,
		trailingEntries:   trailingEntries,
		transferBackoff:   backoff{minPause: minTransferBackoff, maxPause: maxTransferBackoff},
		compactionBackoff: backoff{minPause: minCompactionBackoff, maxPause: maxCompactionBackoff},
	}
}

// backoff is when something that failed is tried again: after a pause that doubles from minPause to maxPause.
type backoff struct{ minPause, maxPause, pause, next tick.Tick }

func (b *backoff) due(now tick.Tick) bool { return now >= b.next }

func (b *backoff) failed(now tick.Tick) {
	b.pause = min(max(2*b.pause, b.minPause), b.maxPause)
	b.next = now + b.pause
}

func (b *backoff) reset() { b.pause, b.next = 0, 0 }

// OnDiskSpace takes the free and total bytes of the disk, and returns whether the disk has become low on space, or no longer is.
// A total of 0 means that they are not known, and changes nothing.
func (p *spacePolicy) OnDiskSpace(free, total uint64) (changed bool) {
	if total == 0 {
		return false
	}
	before := p.space.LowOnSpace
	p.space.Free, p.space.Total = min(free, total), total
	switch fraction := p.space.FreeFraction(); {
	case fraction <= lowFreeFraction:
		p.space.LowOnSpace = true
	case fraction >= recoveredFreeFraction:
		p.space.LowOnSpace = false
		p.transferBackoff.reset()
	}
	return p.space.LowOnSpace != before
}

// TrailingEntries is how many entries a snapshot leaves in the log, for controllers that lag.
func (p *spacePolicy) TrailingEntries() uint64 {
	if p.space.LowOnSpace {
		return p.trailingEntries / lowSpaceCompactionFactor
	}
	return p.trailingEntries
}

// CompactionDue reports whether a log with so many entries is to be compacted now. OnCompaction takes the result.
func (p *spacePolicy) CompactionDue(now tick.Tick, entries uint64) bool {
	limit := p.snapshotEntries
	if p.space.LowOnSpace {
		limit /= lowSpaceCompactionFactor
	}
	return entries > limit+p.TrailingEntries() && p.compactionBackoff.due(now)
}

// OnCompaction takes the error of a snapshot, nil: it was taken. A failed one is not tried again at each look, as it writes all
// that is agreed.
func (p *spacePolicy) OnCompaction(now tick.Tick, err error) {
	if err != nil {
		p.compactionBackoff.failed(now)
	} else {
		p.compactionBackoff.reset()
	}
}

// TransferDue reports whether a leader should look for a controller whose disk has space.
func (p *spacePolicy) TransferDue(now tick.Tick) bool {
	return p.space.LowOnSpace && p.transferBackoff.due(now)
}

// TransferTarget is the controller to which the leadership is handed: of those that follow in this term the one with the
// greatest part of its disk free. It is "" where all are low on space, or are of a version that does not tell: then the leader
// goes on. Each other answer counts as an attempt.
func (p *spacePolicy) TransferTarget(now tick.Tick, term uint64, others []controllerclient.Status) (target string) {
	if !p.TransferDue(now) {
		return ""
	}
	best := recoveredFreeFraction // one with less would hand it on soon
	byName := func(a, b controllerclient.Status) int { return cmp.Compare(a.Node, b.Node) }
	for _, s := range slices.SortedFunc(slices.Values(others), byName) {
		if s.Role != controllerclient.RoleFollower || s.Term != term || s.Disk == nil || s.Disk.LowOnSpace ||
			s.Disk.FreeFraction() <= best {
			continue
		}
		target, best = s.Node, s.Disk.FreeFraction()
	}
	if target != "" {
		p.transferBackoff.failed(now)
	}
	return target
}
