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

// compactionSlack is how many bytes of no more use a file may have before it is written anew.
const compactionSlack = 1 << 20

// File is what a copy is written to; *os.File is one.
type File = recordlog.File

// batch is what is written and synced at once.
type batch struct {
	records []byte
	entries map[string]entry
	latest  tufverify.Tick
	done    bool
	err     error
}

func newBatch() *batch { return &batch{entries: map[string]entry{}} }

// commit waits until the batch that is open now is durable. The first caller that finds nobody writing writes it. The
// lock is held on entry and on return, not while the batch is written.
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

// finish moves a batch's entries from pending to durable, or drops them where err says that it was not written.
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

// write appends to every copy. What was written of a record that could not be finished is taken back; where that fails,
// or a sync does, or one copy already has the record, the files are unusable: nothing more is believed of them.
func (s *Store) write(records []byte) (unusable bool, err error) {
	for i, file := range s.files {
		if _, err := file.Write(records); err != nil {
			truncateErr := file.Truncate(s.size)
			return truncateErr != nil || i > 0, fmt.Errorf("floor: %w", err)
		}
		if err := file.Sync(); err != nil {
			return true, fmt.Errorf("floor: %w", err)
		}
	}
	return false, nil
}

// compact writes the files anew where most of them is of no more use.
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

// rewrite writes every copy anew, each in one step, and opens it for appending.
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
			return fmt.Errorf("floor: %w", err)
		}
		s.files = append(s.files, file)
	}
	s.size, s.compacted = int64(len(data)), int64(len(data))
	s.Rewrites++
	return nil
}

// replaceFile writes a file in one step, and opens it for appending.
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
