package monotonic

import (
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"

	"silvercove/internal/recordlog"
	"silvercove/internal/tufverify"
)

// compactionSlack is the number of bytes by which a file must exceed twice its compacted size before it is compacted.
const compactionSlack = 1 << 20

// File is the open file of one copy of the store. *os.File implements it.
type File = recordlog.File

// batch holds the records that are written and synced together, and the entries and the time that they contain.
type batch struct {
	records []byte
	entries map[string]entry
	latest  tufverify.Tick
	done    bool  // the write of the batch has ended, and err is its result
	err     error // nil if the batch is durable
}

func newBatch() *batch { return &batch{entries: map[string]entry{}} }

// commit waits until the batch that is s.next at the call is durable or its write has failed. The first caller that
// finds no write in progress writes the batch for all callers. The caller holds s.mu, which commit releases while it
// waits or writes.
func (s *Store) commit() error {
	b := s.next
	for s.writing && !b.done {
		s.committed.Wait()
	}
	if b.done {
		return b.err
	}
	s.writing, s.next = true, newBatch()
	broken := s.broken
	s.mu.Unlock()
	err, unusable := ErrWriteFailed, false
	if !broken {
		unusable, err = s.write(b.records)
	}
	s.mu.Lock()
	s.broken = s.broken || unusable
	s.finish(b, err)
	b.done, b.err, s.writing = true, err, false
	s.committed.Broadcast()
	return err
}

// finish handles the end of a batch's write. If err is nil, it moves the batch's entries from s.pending to s.entries.
// Otherwise it drops them, because the batch is not durable.
func (s *Store) finish(b *batch, err error) {
	for key, e := range b.entries {
		if s.pending[key] == e {
			delete(s.pending, key)
		}
		if err == nil {
			s.entries[key] = e
		}
	}
	if err != nil {
		return
	}
	s.latest = max(s.latest, b.latest)
	s.size += int64(len(b.records))
	s.RecordedVersions += int64(len(b.entries))
	s.Commits++
	s.compact()
}

// write appends records to every copy and syncs each copy. After a failed write, it truncates the copy that was being
// written to its former size. unusable is true if the state of the files is unknown: the truncation failed, a sync
// failed, or another copy already has the records.
func (s *Store) write(records []byte) (unusable bool, err error) {
	for i, file := range s.files {
		if _, err := file.Write(records); err != nil {
			truncateErr := file.Truncate(s.size)
			return truncateErr != nil || i > 0, fmt.Errorf("version store: %w", err)
		}
		if err := file.Sync(); err != nil {
			return true, fmt.Errorf("version store: %w", err)
		}
	}
	return false, nil
}

// compact rewrites the files if most of their content is obsolete. It first compares the size of a file with the
// compacted size computed last. Only if the file is too large does it compute the compacted size anew, because that
// takes a visit to every entry.
func (s *Store) compact() {
	if s.size < 2*s.compacted+compactionSlack {
		return
	}
	size := int64(recordlog.HeaderSize + format.RecordHeaderSize() + timeSize)
	for key := range s.entries {
		size += int64(format.RecordHeaderSize() + entrySize + len(key))
	}
	s.compacted = size
	if s.size < 2*s.compacted+compactionSlack {
		return
	}
	if err := s.rewrite(); err != nil {
		s.broken = true
		s.log(slog.LevelError, "version store could not be rewritten", slog.String("error", err.Error()))
	}
}

// rewrite atomically replaces every copy by a file with only the current entries and time, and opens it for appending.
func (s *Store) rewrite() error {
	data := appendTime(format.Header(), s.latest)
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		data = appendEntry(data, key, s.entries[key])
	}
	for _, file := range s.files {
		_ = file.Close()
	}
	s.files = nil
	for _, path := range s.paths {
		file, err := replaceFile(path, data)
		if err != nil {
			return fmt.Errorf("version store: %w", err)
		}
		s.files = append(s.files, file)
	}
	s.size, s.compacted = int64(len(data)), int64(len(data))
	s.Rewrites++
	return nil
}

// replaceFile atomically replaces the file at path by one with the given content, and opens it for appending.
func replaceFile(path string, data []byte) (*os.File, error) {
	dir := filepath.Dir(path)
	if err := renameio.WriteFile(path, data, 0o600, renameio.WithTempDir(dir)); err != nil {
		return nil, err
	}
	if err := recordlog.SyncDir(dir); err != nil {
		return nil, err
	}
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600)
}
