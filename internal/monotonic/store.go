// Package monotonic keeps what may only grow and must outlive the process: the versions, with their checksums, that were
// ever trusted, issued or reported, and the latest time ever trusted. It is one append-only file, or several copies of it
// on different disks, of which the furthest counts.
//
// A record is durable in all copies before Raise or Pass returns. A record that is cut short at the end of a file was
// never acknowledged and is cut off; anything else that does not add up refuses the whole file, as what it said could be
// newer than what is left. A copy that lags behind another was put back or replaced, and is repaired. All copies put back
// at once cannot be told from the file: see docs/metadata.md for what guards then.
//
// Files: store.go (opening, reading and raising), commit.go (group commit and compaction), format.go (records),
// memory.go (the same without a disk).
//
// Kind: state
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

// Errors of a store. Those of Open and of writes wrap them.
var (
	ErrCorrupt      = recordlog.ErrCorrupt
	ErrNewerVersion = recordlog.ErrNewerVersion
	ErrInUse        = recordlog.ErrInUse
	ErrOlderVersion = errors.New("older than what was seen")
	ErrConflict     = errors.New("this version was seen with other content")
	ErrFull         = errors.New("as many entries as are allowed")
	ErrWriteFailed  = recordlog.ErrWriteFailed
)

// Store is open for one process at a time. Its methods are safe for concurrent use; the exported fields are written
// under its lock, and are to be read where no method runs.
type Store struct {
	maxEntries int
	paths      []string
	log        func(level slog.Level, message string, fields ...slog.Attr)

	mu        sync.Mutex // guards all below
	committed *sync.Cond // a batch has ended
	entries   map[string]entry
	latest    tufverify.Tick
	pending   map[string]entry // raised, and not yet durable
	next      *batch           // what the next commit writes
	writing   bool             // a commit is under way, with the lock released
	broken    bool             // nothing is believed of the files any more
	files     []File
	locks     []*os.File
	size      int64 // bytes of each file
	compacted int64 // bytes that a file written anew would have

	RecordedVersions int64 // versions made durable
	Commits          int64 // commits
	Rewrites         int64 // times that the files were written anew
	Created          bool  // there was no copy at all
	RepairedCopies   int   // copies that lagged behind
	TruncatedBytes   int   // of records cut short that were cut off
}

// storedCopy is what one of the files holds.
type storedCopy struct {
	contents contents
	exists   bool
}

// Open reads the copies of a store, repairs those that lag, and keeps them for writing. At most maxEntries entries are
// kept. The folders must exist.
func Open(paths []string, maxEntries int,
	log func(level slog.Level, message string, fields ...slog.Attr)) (*Store, error) {
	if len(paths) == 0 {
		return nil, errors.New("floor: no path")
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

// load reads and locks all copies, takes the furthest of each entry, and writes all copies anew.
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
		return fmt.Errorf("floor: %d entries: %w", len(s.entries), ErrFull)
	}
	for i, c := range copies {
		if c.exists && (c.contents.latest != s.latest || !maps.Equal(c.contents.entries, s.entries)) {
			s.RepairedCopies++
			s.log(slog.LevelWarn, "version store copy lagged and was repaired", slog.String("path", s.paths[i]))
		}
	}
	return s.rewrite()
}

// loadCopy locks one copy and reads it.
func (s *Store) loadCopy(path string) (storedCopy, error) {
	lock, err := recordlog.Lock(path + ".lock")
	if err != nil {
		return storedCopy{}, fmt.Errorf("floor %s: %w", path, err)
	}
	s.locks = append(s.locks, lock)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return storedCopy{contents: newContents()}, nil
	}
	if err != nil {
		return storedCopy{}, fmt.Errorf("floor: %w", err)
	}
	s.Created = false
	c, completeSize, err := decode(data)
	if err != nil {
		return storedCopy{}, fmt.Errorf("floor %s: %w", path, err)
	}
	if truncated := len(data) - completeSize; truncated > 0 {
		s.TruncatedBytes += truncated
		s.log(slog.LevelWarn, "incomplete record cut off version store", slog.String("path", path), slog.Int("bytes", truncated))
	}
	return storedCopy{contents: c, exists: true}, nil
}

// merge merges what a copy holds that is newer than what is known.
func (s *Store) merge(c contents) error {
	for key, e := range c.entries {
		known, ok := s.entries[key]
		if ok && known.version == e.version && known.sum != e.sum {
			return fmt.Errorf("floor: copies differ on %s %d: %w", key, e.version, ErrCorrupt)
		}
		if e.version > known.version {
			s.entries[key] = e
		}
	}
	s.latest = max(s.latest, c.latest)
	return nil
}

// unlockFiles lets other processes in.
func (s *Store) unlockFiles() {
	for _, lock := range s.locks {
		_ = lock.Close()
	}
	s.locks = nil
}

// WrapFiles puts something between the store and its files, for tests of failing disks.
func (s *Store) WrapFiles(wrap func(File) File) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.files {
		s.files[i] = wrap(s.files[i])
	}
}

// Recorded is the highest version of a key, 0 for none.
func (s *Store) Recorded(key string) (int64, tufverify.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	return e.version, e.sum
}

// TrustedTime is the latest time that was ever trusted.
func (s *Store) TrustedTime() tufverify.Tick {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// Len is the number of entries.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Entries lists what is kept, by key.
func (s *Store) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedEntries(s.entries)
}

// Record makes a version of a key durable. What several callers raise at once is synced at once. Its error wraps
// ErrOlderVersion, ErrConflict, ErrFull or ErrWriteFailed, or is that of the disk; nothing has changed then.
func (s *Store) Record(key string, version int64, sum tufverify.Digest) error {
	if key == "" || len(key) > maxKeySize {
		return fmt.Errorf("floor: a key of %d bytes", len(key))
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
		return fmt.Errorf("floor: %d entries: %w", len(s.entries), ErrFull)
	}
	s.pending[key] = e
	s.next.entries[key] = e
	s.next.records = appendEntry(s.next.records, key, e)
	return s.commit()
}

// AdvanceTime makes a time durable. One that is no later than the latest changes nothing.
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

// ResetTime sets the time back, on an operator's order, after a clock was far ahead. No other process may have the store
// open.
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

// Close waits for a commit under way and closes the files. Later writes return ErrWriteFailed.
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

// Entry is one line of what a store keeps.
type Entry struct {
	Key     string
	Version int64
	Sum     tufverify.Digest
}

func sortedEntries(entries map[string]entry) []Entry {
	var all []Entry
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		all = append(all, Entry{Key: key, Version: entries[key].version, Sum: entries[key].sum})
	}
	return all
}
