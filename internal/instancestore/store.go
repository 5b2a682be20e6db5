// Package instancestore keeps what an edge node has of running instances beyond the end of its process: their logs, each
// entry with its epoch, and one short note beside them. It is one append-only file in the node's data folder, or without
// a folder nothing but the order in which requests are acknowledged.
//
// How to drive it: Open reads the folder; the request methods (Append, Truncate, Reset, Delete, SetNote, ConfirmCurrent)
// only queue; Run does what is queued, in order, many requests by one write and one fsync, and calls each one's done.
//
// A record that is cut short at the end of the file was never acknowledged and is cut off; anything else that does not
// add up refuses the whole file, as what follows it may have been acknowledged. On a full disk requests are refused and
// the file stays as it was.
//
// A disk that was restored from an older image looks intact. So the file counts the records that it has ever taken, and who
// keeps an earlier count elsewhere, as the controllers do, finds that there were more. What a run writes counts only
// once ConfirmCurrent has said that the file is the newest one known, so that an old one never catches up with what
// was counted.
//
// Files: store.go (opening and requests), run.go (the queue), write.go (what a request changes, in memory and in the
// file), compaction.go, format.go (records).
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

// Errors of a store, wrapped by those of Open and passed to done.
var (
	ErrCorrupt      = recordlog.ErrCorrupt
	ErrNewerVersion = recordlog.ErrNewerVersion
	ErrInUse        = recordlog.ErrInUse
	ErrGap          = errors.New("does not follow what is kept")
	ErrWriteFailed  = recordlog.ErrWriteFailed
	ErrQueueFull    = errors.New("too much waits for the disk")
)

const (
	logName     = "instances.log"
	lockName    = "instances.lock"
	maxQueue    = 1 << 16 // requests that wait
	maxNoteSize = 4 << 10 // bytes
	// confirmStep is added to the count by ConfirmCurrent: a copy of the file that is written beside it stays behind.
	confirmStep = 1 << 20
)

// Store is open for one process at a time. Run is called once; all other methods are safe for concurrent use with it and
// with each other.
type Store struct {
	path string // "" in memory
	lock *os.File
	log  func(string)

	// Of the goroutine of Run alone, once Open has returned.
	file            File
	fileSize        int64
	liveSize        int64 // bytes of the file that are of use, about
	compactAt       int64 // size at which the file is written anew; larger after that failed
	logs            map[string]*replica.Log
	note            []byte
	count           recordCount
	runCountWritten bool // the file says that what this run writes does not count yet
	writeFailed     error

	durableCount atomic.Uint64 // what RecordCount returns

	mu    sync.Mutex // guards queue
	queue []request
	wake  chan struct{}
}

// recordCount is how many records the file has taken.
type recordCount struct {
	records  uint64
	counting bool // whether the next record counts: not before ConfirmCurrent
}

// Open reads what a folder keeps, "" for none. The logs and the note are the caller's own. Its error wraps ErrInUse,
// ErrCorrupt or ErrNewerVersion, or is that of the disk.
func Open(folder string, log func(string)) (*Store, []replica.Log, []byte, error) {
	s := &Store{
		log:   log,
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

// load reads the file and opens it for appending.
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
		s.log(fmt.Sprintf("%s: the last %d bytes were cut short and never counted", s.path, len(data)-completeSize))
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

// read applies the complete records of a file, and returns how many bytes they are.
func (s *Store) read(data []byte) (completeSize int, err error) {
	refused := false
	completeSize, err = format.ReadRecords(data, func(payload []byte) error {
		r, err := decode(payload)
		if err == nil {
			err = s.apply(r)
		}
		refused = err != nil
		if refused && !errors.Is(err, ErrNewerVersion) { // else it is complete, and nothing to be moved away
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		return err
	})
	if errors.Is(err, ErrCorrupt) && !refused {
		err = fmt.Errorf("%w; moved away, this unit starts without its instances", err)
	}
	return completeSize, err
}

// prepareFile begins a file, or cuts off a record that is not complete, and makes both durable.
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

// copyLogs is the logs in the order of their instances' names, for the caller to keep.
func (s *Store) copyLogs() []replica.Log {
	all := make([]replica.Log, 0, len(s.logs))
	for _, name := range slices.Sorted(maps.Keys(s.logs)) {
		l := *s.logs[name]
		l.Entries = slices.Clone(l.Entries)
		all = append(all, l)
	}
	return all
}

// RecordCount is how many records the file is known to have taken when it was last confirmed, and since: above 0, and
// never less than it was but where the disk was restored from an older image. It is 0 in memory, where that can't happen.
func (s *Store) RecordCount() uint64 { return s.durableCount.Load() }

// The methods below ask for something to be kept. done, if any, is called by Run, in the order of the requests, with nil
// once that is durable, or with the reason why nothing was changed: ErrGap, ErrQueueFull, ErrWriteFailed, or an error of
// the disk.

// ConfirmCurrent says that no file of this node is known that has taken more than least records, or that what this one
// may lack has been reported: what is written from now on counts.
func (s *Store) ConfirmCurrent(minCount uint64, done func(error)) {
	s.enqueue(request{kind: kindCount, number: max(1, minCount), sum: countingEnabled, done: done})
}

// Append keeps the next entry of an instance's log.
func (s *Store) Append(instance string, e replica.LogEntry, done func(error)) {
	s.enqueue(request{kind: kindEntry, instance: instance, entry: e, done: done})
}

// Truncate drops what an instance's log has beyond an index.
func (s *Store) Truncate(instance string, index uint64, done func(error)) {
	s.enqueue(request{kind: kindTruncate, instance: instance, number: index, done: done})
}

// Reset replaces an instance by one without entries but for the index and the checksum of earlier ones.
func (s *Store) Reset(instance string, baseIndex, baseSum uint64, done func(error)) {
	s.enqueue(request{kind: kindReset, instance: instance, number: baseIndex, sum: baseSum, done: done})
}

// Delete drops an instance.
func (s *Store) Delete(instance string, done func(error)) {
	s.enqueue(request{kind: kindDelete, instance: instance, done: done})
}

// SetNote replaces the note. It is copied.
func (s *Store) SetNote(note []byte, done func(error)) {
	s.enqueue(request{kind: kindNote, note: bytes.Clone(note), done: done})
}
