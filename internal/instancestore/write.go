package instancestore

import (
	"fmt"
	"slices"

	"silvercove/internal/recordlog"
	"silvercove/internal/replica"
)

// File is the open file of a store. *os.File implements it.
type File = recordlog.File

// apply applies a request to the state in memory. Its error wraps ErrGap if the request does not continue the log, or
// ErrNewerVersion if the kind of the request is unknown. apply also returns an error if a note is longer than
// maxNoteSize.
func (s *Store) apply(r request) error {
	if r.kind == kindCount {
		s.count = recordCount{records: r.number, counting: r.sum == countingEnabled}
		return nil
	}
	l := s.logs[r.instance]
	switch r.kind {
	case kindEntry:
		if l == nil || !l.IsNext(r.entry) {
			return ErrGap
		}
		l.Append(r.entry)
	case kindTruncate:
		if l == nil || r.number < l.BaseIndex || r.number > l.LastIndex() {
			return ErrGap
		}
		l.Truncate(r.number)
	case kindReset:
		s.logs[r.instance] = &replica.Log{Instance: r.instance, BaseIndex: r.number, BaseChecksum: r.sum}
	case kindDelete:
		delete(s.logs, r.instance)
	case kindNote:
		if len(r.note) > maxNoteSize {
			return fmt.Errorf("note of %d bytes exceeds the limit of %d", len(r.note), maxNoteSize)
		}
		s.note = r.note
	default:
		return fmt.Errorf("%w: unknown record kind %d", ErrNewerVersion, r.kind)
	}
	if s.count.counting {
		s.count.records++
	}
	return nil
}

// undo holds the part of the state that a batch of requests may change, as it was before the batch.
type undo struct {
	logs  map[string]*replica.Log // logs before the batch, by instance; nil for an instance that did not exist
	note  []byte
	count recordCount
}

// newUndo returns an undo with the current note and count. Logs are added with save.
func (s *Store) newUndo() undo {
	return undo{logs: map[string]*replica.Log{}, note: s.note, count: s.count}
}

// save adds an instance's log to u. It must be called before the batch first changes the log; later calls have no
// effect.
func (u *undo) save(s *Store, instance string) {
	if _, saved := u.logs[instance]; saved {
		return
	}
	u.logs[instance] = nil
	if l := s.logs[instance]; l != nil {
		before := *l
		before.Entries = slices.Clip(before.Entries)
		u.logs[instance] = &before
	}
}

// restore sets the state in memory back to the state before the batch.
func (u *undo) restore(s *Store) {
	s.note, s.count = u.note, u.count
	for name, l := range u.logs {
		if l == nil {
			delete(s.logs, name)
			continue
		}
		s.logs[name] = l
	}
}

// write applies requests and makes them durable with one write and one fsync. It sets errs[i] if requests[i] failed. If
// the write fails, all requests fail and the state in memory is restored.
func (s *Store) write(requests []request, errs []error) {
	before := s.newUndo()
	var out []byte
	if !s.runCountWritten {
		s.count.counting = false
		out = appendRecord(out, countRequest(s.count))
	}
	countSize := len(out)
	for i, r := range requests {
		if r.kind == kindRefused {
			continue
		}
		if r.kind != kindNote {
			before.save(s, r.instance)
		}
		if r.kind == kindCount {
			r.number = s.confirmedCount(r.number)
		}
		if errs[i] = s.writeFailed; errs[i] == nil {
			errs[i] = s.apply(r)
		}
		if errs[i] == nil {
			out = appendRecord(out, r)
		}
	}
	if len(out) == countSize {
		s.count = before.count
		return
	}
	if err := s.appendToFile(out); err != nil {
		for i := range errs {
			if errs[i] == nil {
				errs[i] = err
			}
		}
		before.restore(s)
		return
	}
	s.runCountWritten = true
	s.durableCount.Store(s.count.records)
	if s.fileSize > s.compactAt {
		s.compact()
	}
}

// confirmedCount returns the count that ConfirmCurrent(minCount) sets. The first ConfirmCurrent after Open also adds
// confirmStep (see there).
func (s *Store) confirmedCount(minCount uint64) uint64 {
	count := max(minCount, s.count.records)
	if !s.count.counting {
		count += confirmStep
	}
	return count
}

// appendToFile appends out to the file and syncs the file. If the write or the sync fails, it truncates the file to its
// former size and syncs again. If the truncation or this sync fails too, it sets writeFailed, so that nothing more is
// written.
func (s *Store) appendToFile(out []byte) error {
	_, err := s.file.Write(out)
	if err == nil {
		err = s.file.Sync()
	}
	if err == nil {
		s.fileSize += int64(len(out))
		return nil
	}
	undoErr := s.file.Truncate(s.fileSize)
	if undoErr == nil {
		undoErr = s.file.Sync()
	}
	if undoErr != nil {
		s.writeFailed = fmt.Errorf("%w: %w", ErrWriteFailed, undoErr)
		s.logf(s.path + ": " + s.writeFailed.Error())
	}
	return err
}
