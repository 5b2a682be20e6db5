package instancestore

import (
	"fmt"
	"slices"

	"silvercove/internal/recordlog"
	"silvercove/internal/replica"
)

// File is what is written to; *os.File is one.
type File = recordlog.File

// apply makes one request's change in memory, if it follows what is there. Its error wraps ErrGap or ErrNewerVersion.
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
			return fmt.Errorf("a note of %d bytes, allowed are %d", len(r.note), maxNoteSize)
		}
		s.note = r.note
	default:
		return fmt.Errorf("%w: kind %d", ErrNewerVersion, r.kind)
	}
	if s.count.counting {
		s.count.records++
	}
	return nil
}

// undo is what a batch of requests may have changed, as it was before.
type undo struct {
	logs  map[string]*replica.Log // nil for an instance that was not there
	note  []byte
	count recordCount
}

func (s *Store) newUndo() undo {
	return undo{logs: map[string]*replica.Log{}, note: s.note, count: s.count}
}

// keep notes an instance's log before it is first changed.
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

// restore undoes the changes.
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

// write makes requests durable by one write and one fsync, or says of all why not and leaves everything as it was.
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

// nextCount is the count that a confirmation sets. The first of a run leaves room for what a copy of the file may count
// meanwhile.
func (s *Store) confirmedCount(minCount uint64) uint64 {
	count := max(minCount, s.count.records)
	if !s.count.counting {
		count += confirmStep
	}
	return count
}

// appendToFile writes and syncs; what fails is taken back, and where that fails too nothing is written any more.
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
		s.log(s.path + ": " + s.writeFailed.Error())
	}
	return err
}
