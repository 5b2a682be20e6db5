// Package floor keeps what may only grow and must outlive the process: the versions, with their sums, that
// were ever trusted, issued or reported, and the latest time ever trusted. It is one append-only file, or
// several copies of it on different disks, of which the furthest counts.
//
// A record is durable in all copies before Raise returns. A record that is cut short at the end of a file
// was never answered for and is cut off; anything else that does not add up refuses the file whole, as what
// it said could be newer than what is left. A copy that lags behind another was put back or replaced,
// and is brought up. All copies put back at once can't be told from the file: see docs/metadata.md for what
// guards then.
//
// Kind: state
package monotonic

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"

	"silvercove/internal/recordlog"
	"silvercove/internal/tufverify"
)

// Errors of a floor.
var (
	ErrCorrupt      = recordlog.ErrCorrupt
	ErrNewerVersion = recordlog.ErrNewerVersion
	ErrInUse        = errors.New("in use by another process")
	ErrOlderVersion = errors.New("older than what was seen")
	ErrConflict     = errors.New("this version was seen with other content")
	ErrFull         = errors.New("as many entries as are allowed")
	ErrWriteFailed  = errors.New("an earlier write failed half-way: restart to go on")
)

// The form of the file.
const (
	mostKey  = 1 << 10
	markSize = 1 + 8 + 32 // kind, version, sum; the key follows
	timeSize = 1 + 8
	spare    = 1 << 20 // bytes of no more use before a file is written anew
)

const (
	isMark = 1
	isTime = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var form = recordlog.Format{Magic: "covefloo", Version: 1, MaxPayload: markSize + mostKey,
	Checksum: func(b []byte) uint64 { return uint64(crc32.Checksum(b, castagnoli)) }}

type mark struct {
	version int64
	sum     tufverify.Sum
}

// File is what a copy is written to; *os.File is one.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Store is open for one process at a time.
type Store struct {
	most  int
	paths []string
	log   func(string)

	mu      sync.Mutex
	turn    *sync.Cond
	marks   map[string]mark
	passed  tufverify.Tick
	pending map[string]mark
	next    *batch
	writing bool
	broken  bool
	files   []File
	locks   []*os.File
	size    int64
	live    int64 // bytes that a file written anew would have

	RaisedVersions, Syncs, Rewrites int64
	Created                         bool // there was no copy at all
	RepairedCopies                  int  // copies that lagged behind and were brought up
	TruncatedBytes                  int  // bytes of records cut short that were cut off
}

// batch is what is written and synced at once.
type batch struct {
	buf    []byte
	marks  map[string]mark
	passed tufverify.Tick
	done   bool
	err    error
}

// Open reads the copies of a floor, brings up those that lag, and keeps them for writing. At most so many
// entries are kept. The folder must be there.
func Open(paths []string, most int, log func(string)) (*Store, error) {
	f := &Store{most: most, paths: paths, log: log, marks: map[string]mark{}, pending: map[string]mark{},
		next: newBatch(), Created: true}
	f.turn = sync.NewCond(&f.mu)
	if len(paths) == 0 {
		return nil, errors.New("floor: no path")
	}
	type copyOf struct {
		marks  map[string]mark
		passed tufverify.Tick
		there  bool
	}
	var copies []copyOf
	for _, path := range paths {
		lock, err := lockOf(path)
		if err != nil {
			f.unlock()
			return nil, fmt.Errorf("floor %s: %w", path, err)
		}
		f.locks = append(f.locks, lock)
		content, err := os.ReadFile(path)
		if err != nil && !os.IsNotExist(err) {
			f.unlock()
			return nil, fmt.Errorf("floor: %w", err)
		}
		c := copyOf{marks: map[string]mark{}, there: err == nil}
		if c.there {
			f.Created = false
			whole, err := read(content, func(key string, m mark) {
				if m.version >= c.marks[key].version {
					c.marks[key] = m
				}
			}, func(t tufverify.Tick) { c.passed = max(c.passed, t) })
			if err != nil {
				f.unlock()
				return nil, fmt.Errorf("floor %s: %w", path, err)
			}
			if cut := len(content) - whole; cut > 0 {
				f.TruncatedBytes += cut
				log(fmt.Sprintf("floor %s: %d bytes of a record cut short at its end were cut off", path, cut))
			}
		}
		copies = append(copies, c)
	}
	for _, c := range copies {
		for key, m := range c.marks {
			was, ok := f.marks[key]
			if ok && was.version == m.version && was.sum != m.sum {
				f.unlock()
				return nil, fmt.Errorf("floor: copies differ on %s %d: %w", key, m.version, ErrCorrupt)
			}
			if m.version > was.version {
				f.marks[key] = m
			}
		}
		f.passed = max(f.passed, c.passed)
	}
	if len(f.marks) > most {
		f.unlock()
		return nil, fmt.Errorf("floor: %d entries: %w", len(f.marks), ErrFull)
	}
	for i, c := range copies {
		if c.there && (c.passed != f.passed || !maps.Equal(c.marks, f.marks)) {
			f.RepairedCopies++
			log(fmt.Sprintf("floor %s lags behind its other copy: it was put back, and is brought up", paths[i]))
		}
	}
	if err := f.rewrite(); err != nil {
		f.unlock()
		return nil, err
	}
	return f, nil
}

// lockOf keeps other processes out.
func lockOf(path string) (*os.File, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, ErrInUse
	}
	return lock, nil
}

func (f *Store) unlock() {
	for _, l := range f.locks {
		_ = l.Close()
	}
	f.locks = nil
}

func newBatch() *batch { return &batch{marks: map[string]mark{}} }

// read walks the records of a file. It tells how many bytes are whole.
func read(content []byte, on func(string, mark), at func(tufverify.Tick)) (whole int, err error) {
	return form.ReadRecords(content, func(p []byte) error {
		switch {
		case len(p) > markSize && p[0] == isMark:
			m := mark{version: int64(binary.LittleEndian.Uint64(p[1:]))}
			copy(m.sum[:], p[9:])
			on(string(p[markSize:]), m)
		case len(p) == timeSize && p[0] == isTime:
			at(tufverify.Tick(binary.LittleEndian.Uint64(p[1:])))
		default:
			return fmt.Errorf("a record of no known kind: %w", ErrCorrupt)
		}
		return nil
	})
}

func record(b, p []byte) []byte { return form.SealRecord(append(form.BeginRecord(b), p...), len(b)) }

func (m mark) record(b []byte, key string) []byte {
	p := binary.LittleEndian.AppendUint64([]byte{isMark}, uint64(m.version))
	return record(b, append(append(p, m.sum[:]...), key...))
}

func timeRecord(b []byte, t tufverify.Tick) []byte {
	return record(b, binary.LittleEndian.AppendUint64([]byte{isTime}, uint64(t)))
}

// rewrite writes every copy anew, each in one step, and opens it for appending.
func (f *Store) rewrite() error {
	b := timeRecord(form.Header(), f.passed)
	for _, key := range slices.Sorted(maps.Keys(f.marks)) {
		b = f.marks[key].record(b, key)
	}
	for _, old := range f.files {
		_ = old.Close()
	}
	f.files = nil
	for _, path := range f.paths {
		if err := renameio.WriteFile(path, b, 0o600, renameio.WithTempDir(filepath.Dir(path))); err != nil {
			return fmt.Errorf("floor: %w", err)
		}
		if err := syncDir(filepath.Dir(path)); err != nil {
			return fmt.Errorf("floor: %w", err)
		}
		file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return fmt.Errorf("floor: %w", err)
		}
		f.files = append(f.files, file)
	}
	f.size, f.live = int64(len(b)), int64(len(b))
	f.Rewrites++
	return nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// WrapFiles puts something between the floor and its files, for tests of failing disks.
func (f *Store) WrapFiles(with func(File) File) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.files {
		f.files[i] = with(f.files[i])
	}
}

// Seen tells the highest version of a key, 0 for none.
func (f *Store) Seen(key string) (int64, tufverify.Sum) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.marks[key]
	return m.version, m.sum
}

// Passed tells the latest time that was ever trusted.
func (f *Store) Passed() tufverify.Tick {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.passed
}

// Log passes a line on.
func (f *Store) Log(text string) { f.log(text) }

// Len tells how many entries there are.
func (f *Store) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.marks)
}

// Raise makes a version of a key durable. What several callers raise at once is synced at once.
func (f *Store) Raise(key string, version int64, sum tufverify.Sum) error {
	if key == "" || len(key) > mostKey {
		return fmt.Errorf("floor: a key of %d bytes", len(key))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := mark{version, sum}
	for _, was := range []mark{f.marks[key], f.pending[key]} {
		if err := m.follows(was, key); err != nil {
			return err
		}
	}
	if f.marks[key] == m {
		return nil
	}
	if _, ok := f.marks[key]; !ok && len(f.marks)+len(f.pending) >= f.most {
		return fmt.Errorf("floor: %d entries: %w", len(f.marks), ErrFull)
	}
	f.pending[key] = m
	f.next.marks[key] = m
	f.next.buf = m.record(f.next.buf, key)
	return f.commit()
}

// follows: a version may stand again with the same content, or be higher.
func (m mark) follows(was mark, key string) error {
	switch {
	case m.version < was.version:
		return fmt.Errorf("floor: %s %d: %w", key, m.version, ErrOlderVersion)
	case m.version == was.version && m.sum != was.sum && was.version > 0:
		return fmt.Errorf("floor: %s %d: %w", key, m.version, ErrConflict)
	}
	return nil
}

// Pass makes a time durable; an earlier one than was passed before changes nothing.
func (f *Store) Pass(now tufverify.Tick) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now <= f.passed {
		return nil
	}
	f.next.passed = max(f.next.passed, now)
	f.next.buf = timeRecord(f.next.buf, now)
	return f.commit()
}

// commit waits until the batch that is open now is durable. The first to find nobody writing writes it.
func (f *Store) commit() error {
	b := f.next
	for f.writing && !b.done {
		f.turn.Wait()
	}
	if b.done {
		return b.err
	}
	f.writing, f.next = true, newBatch()
	broken := f.broken
	f.mu.Unlock()
	err, torn := ErrWriteFailed, false
	if !broken {
		err, torn = f.write(b.buf)
	}
	f.mu.Lock()
	f.broken = f.broken || torn
	for key, m := range b.marks {
		if f.pending[key] == m {
			delete(f.pending, key)
		}
		if err == nil {
			f.marks[key] = m
		}
	}
	if err == nil {
		f.passed = max(f.passed, b.passed)
		f.size += int64(len(b.buf))
		f.RaisedVersions += int64(len(b.marks))
		f.Syncs++
		f.shrink()
	}
	b.done, b.err, f.writing = true, err, false
	f.turn.Broadcast()
	return err
}

// write appends to every copy. What was written of a record that could not be finished is taken back; where
// that fails, or a sync does, nothing more is believed of the files.
func (f *Store) write(p []byte) (err error, torn bool) {
	for _, file := range f.files {
		if _, err := file.Write(p); err != nil {
			back := file.Truncate(f.size)
			return fmt.Errorf("floor: %w", err), back != nil || len(f.files) > 1 && file != f.files[0]
		}
		if err := file.Sync(); err != nil {
			return fmt.Errorf("floor: %w", err), true
		}
	}
	return nil, false
}

// shrink writes the files anew where most of them is of no more use.
func (f *Store) shrink() {
	live := int64(recordlog.HeaderSize + form.RecordHeaderSize() + timeSize)
	if f.size < 2*f.live+spare {
		return
	}
	for key := range f.marks {
		live += int64(form.RecordHeaderSize() + markSize + len(key))
	}
	if f.live = live; f.size < 2*f.live+spare {
		return
	}
	if err := f.rewrite(); err != nil {
		f.broken = true
		f.log(err.Error())
	}
}

// Close closes the files.
func (f *Store) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.writing {
		f.turn.Wait()
	}
	f.broken = true
	var errs []error
	for _, file := range f.files {
		errs = append(errs, file.Close())
	}
	f.files = nil
	f.unlock()
	return errors.Join(errs...)
}

// Entry is one line of what a floor holds.
type Entry struct {
	Key     string
	Version int64
	Sum     tufverify.Sum
}

// Entries lists what is held, by key.
func (f *Store) Entries() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return entries(f.marks)
}

func entries(marks map[string]mark) (all []Entry) {
	for _, key := range slices.Sorted(maps.Keys(marks)) {
		all = append(all, Entry{key, marks[key].version, marks[key].sum})
	}
	return all
}

// ResetTime sets the time back, by an operator's word, after a clock was far ahead. It must be the only
// one that has the floor open.
func (f *Store) ResetTime(now tufverify.Tick) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.passed
	f.passed = now
	if err := f.rewrite(); err != nil {
		f.passed, f.broken = was, true
		return err
	}
	return nil
}
