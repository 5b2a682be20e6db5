package controller

import (
	"cmp"
	"slices"

	"silvercove/internal/controllerclient"
	"silvercove/internal/tick"
)

// Limits on a controller's disk and log.
const (
	lowFreeFraction = 0.05 // a disk is low on space if its free fraction is at most this
	// A disk that is low on space recovers when its free fraction is at least this; the gap to lowFreeFraction keeps the state
	// from flapping.
	recoveredFreeFraction = 0.08

	maxDiskCheckInterval     = tick.Second
	lowSpaceCompactionFactor = 8 // the log is compacted at 1/8 of its usual length while the disk is low on space
	minTransferBackoff       = tick.Second
	maxTransferBackoff       = 64 * tick.Second
	minCompactionBackoff     = tick.Second
	maxCompactionBackoff     = 64 * tick.Second
)

// spacePolicy decides whether the disk is low on space, when the log is compacted by a snapshot, and to which controller the
// leadership is transferred. It performs no I/O and is not safe for concurrent use.
//
// The policy guards against a leader whose disk is full. With such a leader, each operation fails until another controller is
// elected, and terms and votes can't be written. Therefore the leadership is transferred to a controller with free space before
// the disk is full. A disadvantage is that only the free fraction of the disk counts, and not its size. If other programs fill
// a large disk and 5% of several terabytes is free, the leadership is transferred although there is no urgency.
type spacePolicy struct {
	snapshotEntries   uint64 // the log is compacted when it has more entries than trailingEntries plus this number
	trailingEntries   uint64 // number of entries that a compaction leaves in the log
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

// backoff delays the retries of a failed action. The pause doubles after each failure, from minPause to maxPause. next is the
// time from which the action may be tried again.
type backoff struct{ minPause, maxPause, pause, next tick.Tick }

func (b *backoff) due(now tick.Tick) bool { return now >= b.next }

func (b *backoff) failed(now tick.Tick) {
	b.pause = min(max(2*b.pause, b.minPause), b.maxPause)
	b.next = now + b.pause
}

func (b *backoff) reset() { b.pause, b.next = 0, 0 }

// OnDiskSpace records the free and total bytes of the disk. It reports whether the disk has become low on space or has
// recovered. A total of 0 means that the sizes are unknown, and changes nothing.
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

// TrailingEntries returns how many entries a snapshot leaves in the log for followers that lag.
func (p *spacePolicy) TrailingEntries() uint64 {
	if p.space.LowOnSpace {
		return p.trailingEntries / lowSpaceCompactionFactor
	}
	return p.trailingEntries
}

// CompactionDue reports whether a log with the given number of entries has to be compacted now. The caller reports the result
// of the compaction to OnCompaction.
func (p *spacePolicy) CompactionDue(now tick.Tick, entries uint64) bool {
	limit := p.snapshotEntries
	if p.space.LowOnSpace {
		limit /= lowSpaceCompactionFactor
	}
	return entries > limit+p.TrailingEntries() && p.compactionBackoff.due(now)
}

// OnCompaction records the result of a snapshot; err is nil if it was taken. A failed snapshot is retried with a backoff rather
// than at each check, because a snapshot writes the whole agreed state.
func (p *spacePolicy) OnCompaction(now tick.Tick, err error) {
	if err != nil {
		p.compactionBackoff.failed(now)
	} else {
		p.compactionBackoff.reset()
	}
}

// TransferDue reports whether a leader should look for a controller with free disk space.
func (p *spacePolicy) TransferDue(now tick.Tick) bool {
	return p.space.LowOnSpace && p.transferBackoff.due(now)
}

// TransferTarget returns the controller to which the leadership is transferred. Among the followers in the given term, it is
// the one whose disk has the greatest free fraction. The result is "", and the leader continues to lead, if no transfer is due.
// It is also "" if every follower has too little space or runs a version that does not report its space. A result other than
// "" counts as an attempt to transfer, which starts the backoff.
func (p *spacePolicy) TransferTarget(now tick.Tick, term uint64, peers []controllerclient.Status) (target string) {
	if !p.TransferDue(now) {
		return ""
	}
	// A controller with a smaller free fraction might soon be low on space and transfer the leadership again.
	best := recoveredFreeFraction
	byName := func(a, b controllerclient.Status) int { return cmp.Compare(a.Node, b.Node) }
	for _, s := range slices.SortedFunc(slices.Values(peers), byName) {
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
