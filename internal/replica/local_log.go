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

// localLog is this node's copy of an instance. Its field log is the log as it will be once all pending writes are done.
// The zero value means that there is no copy.
type localLog struct {
	log      Log
	present  bool              // there is a copy, possibly without entries
	bytes    int               // size of the kept entries, in bytes
	requests map[string]uint64 // by request ID: index of the kept entry with that ID
	pending  []diskWrite       // writes that were requested of the disk and have not completed, oldest first
	failed   bool              // a write failed, so the writes that are still pending will fail too
	durable  uint64            // index of the last entry on the disk
}

// diskWrite is a change of the log that was requested of the disk.
type diskWrite struct {
	index      uint64 // index of the last entry after the write
	deletes    bool   // the write deletes the copy
	before     Log    // the log before the write
	wasPresent bool   // whether there was a copy before the write
}

// restore sets the log to one that was on the disk at the start.
func (l *localLog) restore(log Log) {
	l.replace(log)
	l.present = true
	l.durable = log.LastIndex()
}

// isAbsent reports whether there is no copy, neither on the disk nor in a pending write.
func (l *localLog) isAbsent() bool { return !l.present && len(l.pending) == 0 }

// reaches reports whether there is a copy that has the entries up to index.
func (l *localLog) reaches(index uint64) bool { return l.present && l.log.LastIndex() >= index }

// endsAt reports whether there is a copy whose last entry has the given index and checksum.
func (l *localLog) endsAt(index, checksum uint64) bool {
	return l.present && l.log.LastIndex() == index && l.log.Checksum() == checksum
}

// containsAll reports whether entries is not empty and the log has all of them.
func (l *localLog) containsAll(entries []LogEntry) bool {
	for _, e := range entries {
		if !l.log.matches(e.Index, e.Checksum) {
			return false
		}
	}
	return len(entries) > 0
}

// replace sets the log, and recomputes the size and the request IDs of its entries.
func (l *localLog) replace(log Log) {
	l.log = log
	l.bytes = log.Size()
	l.requests = make(map[string]uint64, len(log.Entries))
	for _, e := range log.Entries {
		l.requests[e.RequestID] = e.Index
	}
}

// addPending records a write that is requested of the disk, and the log before the write. It must be called before the
// log changes.
func (l *localLog) addPending(index uint64, deletes bool) {
	before := l.log
	before.Entries = slices.Clip(before.Entries) // without spare capacity, an append to before.Entries cannot overwrite entries of l.log
	l.pending = append(l.pending, diskWrite{index: index, deletes: deletes, before: before, wasPresent: l.present})
}

// append adds the next entry. If the log drops its first entry to make room, the request ID of the dropped
// entry is forgotten.
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

// completeWrite records that the first pending write is durable.
func (l *localLog) completeWrite() {
	first := l.popPending()
	l.durable = first.index
	if first.deletes {
		l.durable = 0
	}
}

// popPending removes and returns the first pending write.
func (l *localLog) popPending() diskWrite {
	first := l.pending[0]
	l.pending = l.pending[1:]
	if len(l.pending) == 0 {
		l.pending = nil
	}
	return first
}

// rollBack restores the log to its state before w, a write that failed. The writes that are still pending depend on the
// failed one and will fail too.
func (l *localLog) rollBack(w diskWrite) {
	l.failed = true
	l.replace(w.before)
	l.present = w.wasPresent
}

// bytesWith returns the size that the kept entries would have after an append of e, in bytes.
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

// OnDurable records that the first pending write of an instance is durable.
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

// OnDiskError records that the first pending write of an instance failed. The later pending writes depend on the failed
// one and will fail too. An entry that was not written was sent to no node, so its request was never executed.
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

// rejectUnwritten rejects the requests whose entries the disk did not store.
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
