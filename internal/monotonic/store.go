// Package monotonic implements the version store, which persists values that must never decrease: the highest version
// of each key that was ever trusted, issued or reported, with the checksum of that version's content, and the latest
// time ever trusted. The store consists of one append-only file, or of several copies of the file on different disks.
// Open takes the highest version of each key and the latest time from all copies.
//
// A record is durable in all copies before Record or AdvanceTime returns. An incomplete record at the end of a file was
// never acknowledged and is truncated. Any other inconsistency makes Open reject the whole file, since a damaged record
// could have been newer than the remaining ones. A copy that is behind another copy was restored from a backup or is on
// a replaced disk. Open repairs it. If all copies are restored from a backup at once, Open cannot detect the restore:
// docs/metadata.md describes the protection against it.
//
// Files: store.go (opening, reading and recording), commit.go (group commit and compaction), format.go (records),
// memory.go (a store in memory).
//
// Kind: state (see docs/architecture.md)
package monotonic

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"sync"

	"silvercove/internal/recordlog"
	"silvercove/internal/tufverify"
)

// Open and the methods that write return errors that wrap one of these errors, or an error of the disk.
var (
	ErrCorrupt      = recordlog.ErrCorrupt
	ErrNewerVersion = recordlog.ErrNewerVersion
	ErrInUse        = recordlog.ErrInUse
	ErrOlderVersion = errors.New("older than the recorded version")
	ErrConflict     = errors.New("this version was recorded with different content")
	ErrFull         = errors.New("entry limit reached")
	ErrWriteFailed  = recordlog.ErrWriteFailed
)

// Store is a version store in files. Only one process can have it open at a time. Its methods are safe for concurrent
// use. The exported fields are written under its lock, so they may be read only while no method runs.
type Store struct {
	maxEntries int
	paths      []string
	log        func(level slog.Level, message string, fields ...slog.Attr)

	mu        sync.Mutex // guards all fields below
	committed *sync.Cond // signals that the write of a batch has ended
	entries   map[string]entry
	latest    tufverify.Tick   // latest time that was recorded with AdvanceTime or set by ResetTime
	pending   map[string]entry // entries that were passed to Record, but are not durable yet
	next      *batch           // batch that the next commit writes
	writing   bool             // a batch is being written, with mu released
	broken    bool             // all writes fail, because the state of the files is unknown or the store is closed
	files     []File
	locks     []*os.File
	size      int64 // size of each file, in bytes
	compacted int64 // size that a file would have after compaction, as last computed, in bytes

	RecordedVersions int64 // number of versions made durable
	Commits          int64 // number of batches written
	Rewrites         int64 // number of times that the files were rewritten
	Created          bool  // whether Open found no copy at all
	RepairedCopies   int   // number of copies that Open found out of date and repaired
	TruncatedBytes   int   // size of the incomplete records that Open truncated, in bytes
}

// storedCopy holds the contents of one copy as it was found on disk.
type storedCopy struct {
	contents contents
	exists   bool
}

// Open reads the copies of a store at paths, repairs those that are out of date, and opens them for writing. The store
// holds at most maxEntries entries. The directories of the copies must exist.
func Open(paths []string, maxEntries int,
	log func(level slog.Level, message string, fields ...slog.Attr)) (*Store, error) {
	if len(paths) == 0 {
		return nil, errors.New("version store: no path given")
	}
	s := &Store{
		maxEntries: maxEntries,
		paths:      paths,
		log:        log,
		entries:    map[string]entry{},
		pending:    map[string]entry{},
		next:       newBatch(),
		Created:    true,
	}
	s.committed = sync.NewCond(&s.mu)
	if err := s.load(); err != nil {
		s.unlockFiles()
		return nil, err
	}
	return s, nil
}

// load locks and reads all copies, merges the highest version of each key and the latest time, and rewrites all copies.
func (s *Store) load() error {
	var copies []storedCopy
	for _, path := range s.paths {
		c, err := s.loadCopy(path)
		if err != nil {
			return err
		}
		copies = append(copies, c)
	}
	for _, c := range copies {
		if err := s.merge(c.contents); err != nil {
			return err
		}
	}
	if len(s.entries) > s.maxEntries {
		return fmt.Errorf("version store: %d entries: %w", len(s.entries), ErrFull)
	}
	for i, c := range copies {
		if c.exists && (c.contents.latest != s.latest || !maps.Equal(c.contents.entries, s.entries)) {
			s.RepairedCopies++
			s.log(slog.LevelWarn, "version store copy lagged and was repaired", slog.String("path", s.paths[i]))
		}
	}
	return s.rewrite()
}

// loadCopy locks a copy and reads it. A missing file is not an error.
func (s *Store) loadCopy(path string) (storedCopy, error) {
	lock, err := recordlog.Lock(path + ".lock")
	if err != nil {
		return storedCopy{}, fmt.Errorf("version store %s: %w", path, err)
	}
	s.locks = append(s.locks, lock)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return storedCopy{contents: newContents()}, nil
	}
	if err != nil {
		return storedCopy{}, fmt.Errorf("version store: %w", err)
	}
	s.Created = false
	c, completeSize, err := decode(data)
	if err != nil {
		return storedCopy{}, fmt.Errorf("version store %s: %w", path, err)
	}
	if truncated := len(data) - completeSize; truncated > 0 {
		s.TruncatedBytes += truncated
		s.log(slog.LevelWarn, "incomplete record truncated from version store", slog.String("path", path), slog.Int("bytes", truncated))
	}
	return storedCopy{contents: c, exists: true}, nil
}

// merge takes over each entry of a copy that has a higher version than the store's entry, and the time of the copy if
// it is later than the store's time. It returns an error if the copy has different content for the same version of a
// key.
func (s *Store) merge(c contents) error {
	for key, e := range c.entries {
		known, ok := s.entries[key]
		if ok && known.version == e.version && known.sum != e.sum {
			return fmt.Errorf("version store: copies have different content for %s version %d: %w", key, e.version, ErrCorrupt)
		}
		if e.version > known.version {
			s.entries[key] = e
		}
	}
	s.latest = max(s.latest, c.latest)
	return nil
}

// unlockFiles releases the locks of all copies.
func (s *Store) unlockFiles() {
	for _, lock := range s.locks {
		_ = lock.Close()
	}
	s.locks = nil
}

// WrapFiles replaces each open file by the result of wrap, so that tests can simulate disk failures.
func (s *Store) WrapFiles(wrap func(File) File) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.files {
		s.files[i] = wrap(s.files[i])
	}
}

// Recorded returns the highest durable version of a key and the checksum of its content. The version is 0 if there is
// none.
func (s *Store) Recorded(key string) (int64, tufverify.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	return e.version, e.sum
}

// TrustedTime returns the latest time that was recorded with AdvanceTime or set by ResetTime.
func (s *Store) TrustedTime() tufverify.Tick {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// Len returns the number of entries.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Entries returns all entries, sorted by key.
func (s *Store) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedEntries(s.entries)
}

// Record makes a version of a key durable, with the checksum of its content. Versions that several callers record at
// the same time are synced together. The error wraps ErrOlderVersion, ErrConflict, ErrFull, ErrWriteFailed or an error
// of the disk. After an error, the recorded versions are unchanged.
func (s *Store) Record(key string, version int64, sum tufverify.Digest) error {
	if key == "" || len(key) > maxKeySize {
		return fmt.Errorf("version store: invalid key length of %d bytes", len(key))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := entry{version: version, sum: sum}
	for _, known := range []entry{s.entries[key], s.pending[key]} {
		if err := e.checkMonotonic(known, key); err != nil {
			return err
		}
	}
	if s.entries[key] == e {
		return nil
	}
	if _, known := s.entries[key]; !known && len(s.entries)+len(s.pending) >= s.maxEntries {
		return fmt.Errorf("version store: %d entries: %w", len(s.entries), ErrFull)
	}
	s.pending[key] = e
	s.next.entries[key] = e
	s.next.records = appendEntry(s.next.records, key, e)
	return s.commit()
}

// AdvanceTime makes a time durable. A time that is not later than the latest one has no effect.
func (s *Store) AdvanceTime(now tufverify.Tick) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now <= s.latest {
		return nil
	}
	s.next.latest = max(s.next.latest, now)
	s.next.records = appendTime(s.next.records, now)
	return s.commit()
}

// ResetTime sets the latest time to now, even if now is earlier. An operator uses it after a clock that was far ahead
// has advanced the latest time. No other process may have the store open.
func (s *Store) ResetTime(now tufverify.Tick) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.latest
	s.latest = now
	if err := s.rewrite(); err != nil {
		s.latest, s.broken = before, true
		return err
	}
	return nil
}

// Close waits for a commit in progress and closes the files. Later writes return ErrWriteFailed.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing {
		s.committed.Wait()
	}
	s.broken = true
	var errs []error
	for _, file := range s.files {
		errs = append(errs, file.Close())
	}
	s.files = nil
	s.unlockFiles()
	return errors.Join(errs...)
}

// Entry is an exported copy of a store's entry: the highest version of a key and the checksum of its content.
type Entry struct {
	Key     string
	Version int64
	Sum     tufverify.Digest
}

// sortedEntries returns entries sorted by key.
func sortedEntries(entries map[string]entry) []Entry {
	var all []Entry
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		all = append(all, Entry{Key: key, Version: entries[key].version, Sum: entries[key].sum})
	}
	return all
}
