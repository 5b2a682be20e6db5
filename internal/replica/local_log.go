package replica

import (
	"slices"

	"silvercove/internal/tick"
)

const (
	// diskFullPause is how long nothing is written after a write has failed.
	diskFullPause = tick.Second

	diskFullReason = "the disk is full"
)

// localLog is this node's copy of an instance: the log as it will be once the disk has done what it was asked, and what
// of that is durable. The zero value is no copy.
type localLog struct {
	log      Log
	present  bool              // there is a copy, though it may be without entries
	bytes    int               // of its entries
	requests map[string]uint64 // index of the entry that each kept request made
	pending  []diskWrite       // asked of the disk, the first one first
	failed   bool              // the disk failed: what is left in pending fails too
	durable  uint64            // index of the last entry that the disk has
}

// diskWrite is something that was asked of the disk.
type diskWrite struct {
	index      uint64 // of the last entry once it is done
	deletes    bool   // the copy
	before     Log    // the log before
	wasPresent bool   // and whether there was one
}

// restore takes in what the disk kept at the start.
func (l *localLog) restore(log Log) {
	l.replace(log)
	l.present = true
	l.durable = log.LastIndex()
}

// isGone tells that there is no copy, on the disk or on its way there.
func (l *localLog) isAbsent() bool { return !l.present && len(l.pending) == 0 }

// reaches tells whether there is a copy with the entries up to an index.
func (l *localLog) reaches(index uint64) bool { return l.present && l.log.LastIndex() >= index }

// ends tells whether there is a copy whose last entry has an index and a checksum.
func (l *localLog) endsAt(index, checksum uint64) bool {
	return l.present && l.log.LastIndex() == index && l.log.Checksum() == checksum
}

// has tells whether all of some entries are there, and that there is one at least.
func (l *localLog) containsAll(entries []LogEntry) bool {
	for _, e := range entries {
		if !l.log.matches(e.Index, e.Checksum) {
			return false
		}
	}
	return len(entries) > 0
}

// replace puts another log in place of what is there.
func (l *localLog) replace(log Log) {
	l.log = log
	l.bytes = log.Size()
	l.requests = make(map[string]uint64, len(log.Entries))
	for _, e := range log.Entries {
		l.requests[e.RequestID] = e.Index
	}
}

// write notes that something is asked of the disk. It is called before the log changes.
func (l *localLog) addPending(index uint64, deletes bool) {
	before := l.log
	before.Entries = slices.Clip(before.Entries) // what is appended to one is not seen in the other
	l.pending = append(l.pending, diskWrite{index: index, deletes: deletes, before: before, wasPresent: l.present})
}

// append takes the next entry in, and with it forgets the request of the one that the log drops.
func (l *localLog) append(e LogEntry) {
	l.addPending(e.Index, false)
	if len(l.log.Entries) == LogCapacity {
		first := l.log.Entries[0]
		l.bytes -= first.Size()
		if l.requests[first.RequestID] == first.Index {
			delete(l.requests, first.RequestID)
		}
	}
	l.log.Append(e)
	l.bytes += e.Size()
	if l.requests == nil {
		l.requests = map[string]uint64{}
	}
	l.requests[e.RequestID] = e.Index
}

func (l *localLog) truncate(index uint64) {
	l.addPending(index, false)
	log := l.log
	log.Truncate(index)
	l.replace(log)
}

func (l *localLog) reset(base, checksum uint64) {
	l.addPending(base, false)
	l.replace(Log{Instance: l.log.Instance, BaseIndex: base, BaseChecksum: checksum})
	l.present = true
}

func (l *localLog) delete() {
	l.addPending(0, true)
	l.replace(Log{Instance: l.log.Instance})
	l.present = false
}

// done takes in that the first pending write is durable.
func (l *localLog) completeWrite() {
	first := l.popPending()
	l.durable = first.index
	if first.deletes {
		l.durable = 0
	}
}

// next takes the first pending write out.
func (l *localLog) popPending() diskWrite {
	first := l.pending[0]
	l.pending = l.pending[1:]
	if len(l.pending) == 0 {
		l.pending = nil
	}
	return first
}

// undo puts the log back to what it was before a write that failed. What is pending rests on it, and fails too.
func (l *localLog) rollBack(w diskWrite) {
	l.failed = true
	l.replace(w.before)
	l.present = w.wasPresent
}

// bytesWith is the size of the log with one more entry.
func (l *localLog) bytesWith(e LogEntry) int {
	bytes := l.bytes + e.Size()
	if len(l.log.Entries) == LogCapacity {
		bytes -= l.log.Entries[0].Size()
	}
	return bytes
}

func (m *Manager) appendEntry(inst *instance, e LogEntry) {
	inst.local.append(e)
	m.host.AppendEntry(inst.name, e)
}

func (m *Manager) truncateLog(inst *instance, index uint64) {
	inst.local.truncate(index)
	m.host.TruncateLog(inst.name, index)
}

func (m *Manager) resetLog(inst *instance, base, checksum uint64) {
	inst.local.reset(base, checksum)
	m.host.ResetLog(inst.name, base, checksum)
}

func (m *Manager) deleteLog(inst *instance) {
	if inst.local.present {
		inst.local.delete()
		m.host.DeleteLog(inst.name)
	}
}

// OnDurable tells that the first thing that was asked of the disk for an instance is durable.
func (m *Manager) OnDurable(now tick.Tick, name string, index uint64) {
	m.expireLease(now)
	inst := m.instances[name]
	if inst == nil || len(inst.local.pending) == 0 {
		return
	}
	inst.local.completeWrite()
	m.advance(now, inst)
	m.updateTracking(inst)
}

// OnDiskError tells that the disk did not take the first thing that was asked of it for an instance, and will take
// nothing that rests on it. What was not written was sent to nobody, so its request never ran.
func (m *Manager) OnDiskError(now tick.Tick, name string, err error) {
	m.expireLease(now)
	inst := m.instances[name]
	if inst == nil || len(inst.local.pending) == 0 {
		return
	}
	failed := inst.local.popPending()
	if !inst.local.failed {
		m.diskFullUntil = now + diskFullPause
		m.host.Notify(Event{Kind: EventDisk, Instance: name, Epoch: inst.assignment.agreed.Epoch, Reason: err.Error()})
		inst.local.rollBack(failed)
		m.rejectUnwritten(inst)
		if !inst.local.present && inst.assignment.requiresCopyOn(m.self) {
			inst.recovery.incomplete = true
		}
	}
	if len(inst.local.pending) == 0 {
		inst.local.failed = false
		m.rejectPendingAcks(inst, diskFullReason)
	}
	m.advance(now, inst)
	m.updateTracking(inst)
}

// rejectUnwritten answers the requests whose entries the disk did not take.
func (m *Manager) rejectUnwritten(inst *instance) {
	var remaining []pendingRequest
	for _, w := range inst.serving.pending {
		if w.index <= inst.local.log.LastIndex() {
			remaining = append(remaining, w)
			continue
		}
		m.reject(w.request, diskFullReason+": never ran")
	}
	inst.serving.pending = remaining
}
