package controller

import (
	"slices"

	"silvercove/internal/controllerclient"
	"silvercove/internal/tick"
)

// Of a keeper's disk and log, in parts of the disk's bytes and in entries of the log.
const (
	shortFree, wellFree = 0.05, 0.08 // short of room at so much free or less, and until so much is

	roomEvery  = tick.Second // between two looks, at most
	handsPause = tick.Second // between two tries to hand the lead on, doubled each time
	handsMost  = 64 * tick.Second
	roomTimes  = 8           // so many times as often a log is cut where room is short
	cutsPause  = tick.Second // after a snapshot that failed, doubled each time
	cutsMost   = 64 * tick.Second
)

// room decides what a keeper does as its disk fills and its log grows: whether it is short of room, when its
// log is cut by a snapshot, and to whom it hands the lead. It guards against a disk that is full while the
// keeper leads: each step fails then until another one is elected, and terms and votes can't be written. A
// folder on a large disk that others fill looks the same, and there it hurts: with 5% of terabytes free the
// lead is handed on though nothing presses.
type room struct {
	every, trailing uint64 // entries of the log until it is cut, and left then
	disk            controllerclient.DiskSpace
	hands, cuts     backoff
}

func newRoom() *room {
	return &room{every: snapEntries, trailing: trailing, hands: backoff{least: handsPause, most: handsMost},
		cuts: backoff{least: cutsPause, most: cutsMost}}
}

// backoff is when something is tried again.
type backoff struct{ least, most, pause, next tick.Tick }

func (b *backoff) due(now tick.Tick) bool { return now >= b.next }

func (b *backoff) tried(now tick.Tick) {
	b.pause = min(max(2*b.pause, b.least), b.most)
	b.next = now + b.pause
}

func (b *backoff) reset() { b.pause, b.next = 0, 0 }

// Looked takes a look at the disk, in bytes, and tells whether it has become short of room, or has room
// again. A disk without a size tells nothing.
func (m *room) Looked(free, total uint64) (changed bool) {
	if total == 0 {
		return false
	}
	was := m.disk.LowOnSpace
	m.disk.Free, m.disk.Total = min(free, total), total
	switch share := m.disk.FreeFraction(); {
	case share <= shortFree:
		m.disk.LowOnSpace = true
	case share >= wellFree:
		m.disk.LowOnSpace = false
		m.hands.reset()
	}
	return m.disk.LowOnSpace != was
}

// Leaves is how many entries a snapshot leaves in the log, for those that lag.
func (m *room) Leaves() uint64 {
	if m.disk.LowOnSpace {
		return m.trailing / roomTimes
	}
	return m.trailing
}

// Cuts tells whether the log, which has so many entries, is to be cut now. Cut says what became of that.
func (m *room) Cuts(now tick.Tick, entries uint64) bool {
	every := m.every
	if m.disk.LowOnSpace {
		every /= roomTimes
	}
	return entries > every+m.Leaves() && m.cuts.due(now)
}

// Cut says whether a snapshot was taken: a failed one is not tried again at each look, as it writes all that
// is agreed.
func (m *room) Cut(now tick.Tick, err error) {
	if err != nil {
		m.cuts.tried(now)
	} else {
		m.cuts.reset()
	}
}

// Asks tells whether a keeper that leads should look for another one with room.
func (m *room) Asks(now tick.Tick) bool { return m.disk.LowOnSpace && m.hands.due(now) }

// Hands is the keeper to which the lead is handed on: of those that follow in this term the one with the
// largest part of its disk free. None where all are short of room, or are of a version that does not say:
// then it leads on. Each answer but none counts as a try.
func (m *room) Hands(now tick.Tick, term uint64, others []controllerclient.Status) (to string) {
	if !m.Asks(now) {
		return ""
	}
	most := wellFree // one that would hand it on at once is none
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
		m.hands.tried(now)
	}
	return to
}
