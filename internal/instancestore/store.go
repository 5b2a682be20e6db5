// Package instancestore persists the logs of an edge node's instances across restarts, and one short byte string,
// called the note, with data of the node itself. Each log entry is stored with its epoch. The store is one append-only
// file in the node's data directory. Without a directory, the store keeps nothing and only acknowledges requests in
// order.
//
// Usage: Open reads the directory. The request methods (Append, Truncate, Reset, Delete, SetNote, ConfirmCurrent) only
// queue a request. Run executes queued requests in order, many with one write and one fsync, and calls the done
// function of each.
//
// An incomplete record at the end of the file was never acknowledged and is truncated. Any other inconsistency makes
// Open reject the whole file, since the records after the inconsistency may have been acknowledged. If the disk is
// full, requests fail and the content of the file does not change.
//
// A disk that was restored from an older image looks intact. The file therefore holds a count of the records written to
// it (see RecordCount). The controllers store the highest count that a node has reported, and detect a restored disk by
// its lower count. After Open, records are not counted until ConfirmCurrent has declared the file to be the newest one
// known. Otherwise the count of a restored file could catch up with the reported count, and the restore would not be
// detected.
//
// Files: store.go (opening and requests), run.go (the queue), write.go (applying requests in memory and writing them to
// the file), compaction.go (compaction), format.go (records).
//
// Kind: state (see docs/architecture.md)
package instancestore

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"silvercove/internal/recordlog"
	"silvercove/internal/replica"
)

// The errors of Open and of done functions wrap one of these errors, unless they are errors of the disk or of a note that
// is too long.
var (
	ErrCorrupt      = recordlog.ErrCorrupt
	ErrNewerVersion = recordlog.ErrNewerVersion
	ErrInUse        = recordlog.ErrInUse
	ErrGap          = errors.New("does not continue the stored log")
	ErrWriteFailed  = recordlog.ErrWriteFailed
	ErrQueueFull    = errors.New("write queue is full")
)

const (
	logName     = "instances.log"
	lockName    = "instances.lock"
	maxQueue    = 1 << 16 // number of queued requests from which on further requests are rejected
	maxNoteSize = 4 << 10 // largest note, in bytes
	// confirmStep is the number that the first ConfirmCurrent after Open adds to the count. Another process may have a
	// copy of the file and count records in that copy at the same time. The step keeps this store's count above the
	// count in the copy.
	confirmStep = 1 << 20
)

// Store is an open instance store. Only one process can have its file open at a time. Run must be called once; all other
// methods are safe for concurrent use with Run and with each other.
type Store struct {
	path string // path of the file; "" if nothing is stored
	lock *os.File
	logf func(string)

	// Once Open has returned, only the goroutine of Run uses the fields of this block.
	file            File
	fileSize        int64
	liveSize        int64 // approximate size of the current state in the file, in bytes
	compactAt       int64 // file size in bytes above which the file is compacted; a compaction that fails or saves less than half raises it
	logs            map[string]*replica.Log
	note            []byte
	count           recordCount
	runCountWritten bool  // whether the first kindCount record since Open is durable; it says that records are not counted until ConfirmCurrent
	writeFailed     error // error with which all requests fail because the state of the file is unknown; nil if the state is known

	durableCount atomic.Uint64 // durable count of records, which RecordCount returns

	mu    sync.Mutex // guards queue
	queue []request
	wake  chan struct{}
}

// recordCount is the count that RecordCount describes, and whether the next records increase it.
type recordCount struct {
	records  uint64
	counting bool // whether further records are counted; ConfirmCurrent sets it, and the first write after Open clears it
}

// Open opens the store in a folder and returns its logs and its note, which the caller may modify. If folder is "", the
// store keeps nothing. The error wraps ErrInUse, ErrCorrupt, ErrNewerVersion or an error of the disk.
func Open(folder string, log func(string)) (*Store, []replica.Log, []byte, error) {
	s := &Store{
		logf:  log,
		logs:  map[string]*replica.Log{},
		wake:  make(chan struct{}, 1),
		count: recordCount{records: 1, counting: true},
	}
	if folder == "" {
		return s, nil, nil, nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, nil, err
	}
	s.path = filepath.Join(folder, logName)
	lock, err := recordlog.Lock(filepath.Join(folder, lockName))
	if errors.Is(err, ErrInUse) {
		return nil, nil, nil, fmt.Errorf("%s: %w", s.path, err)
	}
	if err != nil {
		return nil, nil, nil, err
	}
	s.lock = lock
	if err := s.load(); err != nil {
		_ = s.lock.Close()
		return nil, nil, nil, fmt.Errorf("%s: %w", s.path, err)
	}
	return s, s.copyLogs(), bytes.Clone(s.note), nil
}

// load reads the file, truncates an incomplete record at its end, and opens it for appending.
func (s *Store) load() error {
	data, err := os.ReadFile(s.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	completeSize, err := s.read(data)
	if err != nil {
		return err
	}
	if completeSize < len(data) {
		s.logf(fmt.Sprintf("%s: truncating the last %d bytes, an incomplete record that was never acknowledged", s.path, len(data)-completeSize))
	}
	file, err := os.OpenFile(s.path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	s.file = file
	s.durableCount.Store(s.count.records)
	if err := s.prepareFile(int64(completeSize)); err != nil {
		_ = file.Close()
		return err
	}
	for _, l := range s.logs {
		s.liveSize += sizeInFile(l)
	}
	s.compactAt = 2*s.liveSize + compactionSlack
	return nil
}

// read applies the complete records in data, the content of a file. It returns the size of the header and of these
// records, in bytes.
func (s *Store) read(data []byte) (completeSize int, err error) {
	rejected := false
	completeSize, err = format.ReadRecords(data, func(payload []byte) error {
		r, err := decode(payload)
		if err == nil {
			err = s.apply(r)
		}
		rejected = err != nil
		if rejected && !errors.Is(err, ErrNewerVersion) { // a file of a newer version is intact, so it must not be reported as corrupt and moved away
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		return err
	})
	if errors.Is(err, ErrCorrupt) && !rejected {
		err = fmt.Errorf("%w; if the file is moved away, this node starts without its instances", err)
	}
	return completeSize, err
}

// prepareFile truncates the file to its complete records, writes the header if the file is empty, and makes the file
// and its directory entry durable.
func (s *Store) prepareFile(completeSize int64) error {
	if err := s.file.Truncate(completeSize); err != nil {
		return err
	}
	if completeSize == 0 {
		if _, err := s.file.Write(format.Header()); err != nil {
			return err
		}
		completeSize = recordlog.HeaderSize
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.fileSize = completeSize
	return recordlog.SyncDir(filepath.Dir(s.path))
}

// copyLogs returns copies of the logs, sorted by the names of their instances.
func (s *Store) copyLogs() []replica.Log {
	all := make([]replica.Log, 0, len(s.logs))
	for _, name := range slices.Sorted(maps.Keys(s.logs)) {
		l := *s.logs[name]
		l.Entries = slices.Clone(l.Entries)
		all = append(all, l)
	}
	return all
}

// RecordCount returns the durable count of records. ConfirmCurrent sets the count, and each record that is written
// afterwards raises it by one. The first write after a later Open ends the counting until ConfirmCurrent is called
// again. For a store with a file, the count is above 0, and it decreases only if the disk is restored from an older
// image. For a store without a file, the count is always 0.
func (s *Store) RecordCount() uint64 { return s.durableCount.Load() }

// The methods below queue a request. Run calls the done functions that are not nil, in the order of the requests. done
// receives nil once the change is durable. Otherwise nothing was changed, and done receives the reason: ErrGap,
// ErrQueueFull, ErrWriteFailed, an error of the disk, or an error of SetNote because the note is too long.

// ConfirmCurrent enables the counting of records, which is disabled after Open, and raises the count to at least
// minCount. The caller thereby declares one of two facts: no file of this node is known to have more than minCount
// records, or the entries that this file may lack have been reported to the controllers.
func (s *Store) ConfirmCurrent(minCount uint64, done func(error)) {
	s.enqueue(request{kind: kindCount, number: max(1, minCount), sum: countingEnabled, done: done})
}

// Append stores the next entry of an instance's log.
func (s *Store) Append(instance string, e replica.LogEntry, done func(error)) {
	s.enqueue(request{kind: kindEntry, instance: instance, entry: e, done: done})
}

// Truncate removes the entries of an instance's log after an index.
func (s *Store) Truncate(instance string, index uint64, done func(error)) {
	s.enqueue(request{kind: kindTruncate, instance: instance, number: index, done: done})
}

// Reset replaces an instance's log, if any, by an empty one that starts after the entry with index baseIndex. baseSum is
// the checksum of the entries up to that entry.
func (s *Store) Reset(instance string, baseIndex, baseSum uint64, done func(error)) {
	s.enqueue(request{kind: kindReset, instance: instance, number: baseIndex, sum: baseSum, done: done})
}

// Delete removes an instance and its log.
func (s *Store) Delete(instance string, done func(error)) {
	s.enqueue(request{kind: kindDelete, instance: instance, done: done})
}

// SetNote replaces the note by a copy of the given one.
func (s *Store) SetNote(note []byte, done func(error)) {
	s.enqueue(request{kind: kindNote, note: bytes.Clone(note), done: done})
}
