package fleetsim

import (
	"errors"
	"slices"

	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// cloneLogs returns a deep copy of the logs of a disk.
func cloneLogs(disk map[string]*replica.Log) map[string]*replica.Log {
	clone := map[string]*replica.Log{}
	for name, rec := range disk {
		r := *rec
		r.Entries = slices.Clone(r.Entries)
		clone[name] = &r
	}
	return clone
}

var errFull = errors.New("no space left")

// queueWrite queues a write to the log of an instance. The disk performs the writes in order after a delay. Each write ends in
// a call of OnDurable or OnDiskError of the replica manager.
func (u *edgeNode) queueWrite(name string, seq uint64, do func(rec *replica.Log) bool) {
	incarnation := u.incarnation
	u.diskQueue = append(u.diskQueue, func() func() {
		ok := u.diskFull == 0 && do(u.logs[name])
		if ok {
			if *u.recordsWritten++; u.diskRecords.serial == *u.recordsWritten-1 {
				u.diskRecords.serial++ // serial rises only if the disk also has all earlier records (see recordCount)
			}
			if u.diskRecords.settled {
				u.diskRecords.count++
			}
		}
		return func() {
			if ok {
				u.manager.OnDurable(u.now(), name, seq)
				return
			}
			u.manager.OnDiskError(u.now(), name, errFull)
		}
	})
	if len(u.diskQueue) == 1 {
		u.flushDisk(incarnation)
	}
}

// flushDisk performs up to 64 queued writes with one sync after 0.5 to 2.5 ms.
func (u *edgeNode) flushDisk(incarnation uint64) {
	u.fleet.after(milli/2+tick.Tick(u.fleet.rng.IntN(int(2*milli))), func() {
		if u.incarnation != incarnation || u.manager == nil {
			return
		}
		var completions []func()
		n := min(len(u.diskQueue), 64)
		for _, do := range u.diskQueue[:n] {
			completions = append(completions, do())
		}
		if u.diskQueue = u.diskQueue[n:]; len(u.diskQueue) > 0 {
			u.flushDisk(incarnation)
		} else {
			u.diskQueue = nil
		}
		u.deliver(incarnation, func() {
			for _, do := range completions {
				if u.manager != nil && u.incarnation == incarnation {
					do()
				}
			}
		})
	})
}

// AppendEntry queues an append of an entry to an instance's log.
func (u *edgeNode) AppendEntry(name string, e replica.LogEntry) {
	u.queueWrite(name, e.Index, func(rec *replica.Log) bool {
		if rec == nil || !rec.IsNext(e) {
			return false
		}
		rec.Append(e)
		return true
	})
}

// TruncateLog queues the removal of the entries of a log after an index.
func (u *edgeNode) TruncateLog(name string, seq uint64) {
	u.queueWrite(name, seq, func(rec *replica.Log) bool {
		if rec == nil {
			return false
		}
		rec.Truncate(seq)
		return true
	})
}

// ResetLog queues the replacement of a log by an empty one. The parameter base is the index before the first entry of the new
// log, and the parameter sum is the checksum of the log at that index.
func (u *edgeNode) ResetLog(name string, base, sum uint64) {
	u.queueWrite(name, base, func(*replica.Log) bool {
		u.logs[name] = &replica.Log{Instance: name, BaseIndex: base, BaseChecksum: sum}
		return true
	})
}

// DeleteLog queues the deletion of a log.
func (u *edgeNode) DeleteLog(name string) {
	u.queueWrite(name, 0, func(*replica.Log) bool { delete(u.logs, name); return true })
}
