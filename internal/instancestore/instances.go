// Package instances keeps what an edge unit has of running instances beyond the end of its process: their effects, each
// with its epoch, and one short note beside them. It is one append-only file in the unit's data folder, or without a
// folder nothing but the order in which things are said to be kept.
//
// What is asked for is done in order, and many things are made safe by one write and one fsync. A record that is cut
// short at the end of the file was never said to be kept and is cut off; anything else that does not add up refuses the
// file whole, as what follows it may have been acked. On a full disk what is asked for is refused and the file stays
// as it was.
//
// A disk put back to an earlier time looks whole. So the file counts the records that it has ever taken, and who keeps a
// count of before elsewhere, as the keepers do, finds that there were more. What a run writes counts only once Settle has
// said that the file is the newest one known, so that an old one never catches up with what was counted.
//
// Kind: state
package instancestore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"

	"silvercove/internal/recordlog"
	"silvercove/internal/replica"
)

// Errors of a store.
var (
	ErrCorrupt      = recordlog.ErrCorrupt
	ErrNewerVersion = recordlog.ErrNewerVersion
	ErrInUse        = errors.New("in use by another process")
	ErrGap          = errors.New("does not follow what is kept")
	ErrWriteFailed  = errors.New("an earlier write failed half-way: restart to go on")
	ErrQueueFull    = errors.New("too much waits for the disk")
)

// The form of the file.
const (
	mostOps  = 1 << 16 // that wait
	spare    = 4 << 20 // bytes of no more use before a file is written anew
	mostNote = 4 << 10
	perRun   = 1 << 20 // added to the count by Settle: a copy of the file that is written beside it stays behind
)

const (
	isEffect = 1
	isCut    = 2
	isBegin  = 3
	isForget = 4 // of no name: a mark, with the count and whether what follows counts; earlier programs pass it over
	isNote   = 5
)

var form = recordlog.Format{Magic: "coveinst", Version: 1, MaxPayload: 32 << 20, Checksum: xxhash.Sum64, WideChecksum: true, TornTail: true}

// File is what is written to; *os.File is one.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// op is one thing to be kept. done is told, in order, whether it is.
type op struct {
	kind byte
	name string
	seq  uint64 // of a cut; the base of a beginning; the count of a mark
	sum  uint64 // 1 of a mark: what follows counts
	e    replica.LogEntry
	note []byte
	done func(error)
}

// count is how many records the file has taken, and whether the next one counts.
type count struct {
	n  uint64
	on bool
}

// Store is open for one process at a time. Its methods but Run only queue, and may be called by several goroutines.
type Store struct {
	path string // "" in memory
	lock *os.File
	file File
	size int64
	live int64 // bytes of the file that are of use, about
	all  map[string]*replica.Log
	note []byte
	took count
	runs bool          // this run has marked that what follows does not count yet
	told atomic.Uint64 // what Count tells
	dead error
	next int64 // size at which a file is written anew; more after that failed
	log  func(string)

	mu    sync.Mutex
	queue []op
	wake  chan struct{}
}

// Open reads what a folder keeps, "" for none. The records are the caller's own.
func Open(folder string, log func(string)) (*Store, []replica.Log, []byte, error) {
	s := &Store{log: log, all: map[string]*replica.Log{}, wake: make(chan struct{}, 1), took: count{1, true}}
	if folder == "" {
		return s, nil, nil, nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, nil, err
	}
	s.path = filepath.Join(folder, "instances.log")
	var err error
	if s.lock, err = os.OpenFile(filepath.Join(folder, "instances.lock"), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, nil, nil, err
	}
	fail := func(err error) (*Store, []replica.Log, []byte, error) {
		_ = s.lock.Close()
		return nil, nil, nil, fmt.Errorf("%s: %w", s.path, err)
	}
	if unix.Flock(int(s.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
		return fail(ErrInUse)
	}
	text, err := os.ReadFile(s.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fail(err)
	}
	good, err := s.read(text)
	if err != nil {
		return fail(err)
	}
	if good < len(text) {
		s.log(fmt.Sprintf("%s: the last %d bytes were cut short and never counted", s.path, len(text)-good))
	}
	file, err := os.OpenFile(s.path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fail(err)
	}
	s.file = file
	s.told.Store(s.took.n)
	if err := s.settle(int64(good)); err != nil {
		_ = file.Close()
		return fail(err)
	}
	for _, r := range s.all {
		s.live += size(r)
	}
	s.next = 2*s.live + spare
	records := make([]replica.Log, 0, len(s.all))
	for _, name := range slices.Sorted(maps.Keys(s.all)) {
		r := *s.all[name]
		r.Entries = slices.Clone(r.Entries)
		records = append(records, r)
	}
	return s, records, bytes.Clone(s.note), nil
}

// settle begins a file, or cuts off what did not come whole.
func (s *Store) settle(good int64) error {
	if err := s.file.Truncate(good); err != nil {
		return err
	}
	if good == 0 {
		if _, err := s.file.Write(form.Header()); err != nil {
			return err
		}
		good = recordlog.HeaderSize
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.size = good
	d, err := os.Open(filepath.Dir(s.path))
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// read takes in what is whole, and tells how many bytes that is.
func (s *Store) read(text []byte) (good int, err error) {
	refused := false
	good, err = form.ReadRecords(text, func(body []byte) error {
		o, err := decode(body)
		if err == nil {
			err = s.apply(o)
		}
		if refused = err != nil; refused && !errors.Is(err, ErrNewerVersion) { // else whole, and nothing to be moved away
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		return err
	})
	if errors.Is(err, ErrCorrupt) && !refused {
		err = fmt.Errorf("%w; moved away, this unit starts without its instances", err)
	}
	return good, err
}

// apply does one thing in memory, if it follows what is there.
func (s *Store) apply(o op) error {
	if o.mark() {
		s.took = count{o.seq, o.sum == 1}
		return nil
	}
	r := s.all[o.name]
	switch o.kind {
	case isEffect:
		if r == nil || !r.Continues(o.e) {
			return ErrGap
		}
		r.Append(o.e)
	case isCut:
		if r == nil || o.seq < r.BaseIndex || o.seq > r.LastIndex() {
			return ErrGap
		}
		r.Truncate(o.seq)
	case isBegin:
		s.all[o.name] = &replica.Log{Instance: o.name, BaseIndex: o.seq, BaseChecksum: o.sum}
	case isForget:
		delete(s.all, o.name)
	case isNote:
		if len(o.note) > mostNote {
			return fmt.Errorf("a note of %d bytes, allowed are %d", len(o.note), mostNote)
		}
		s.note = o.note
	default:
		return fmt.Errorf("%w: kind %d", ErrNewerVersion, o.kind)
	}
	if s.took.on {
		s.took.n++
	}
	return nil
}

func (o *op) mark() bool { return o.kind == isForget && o.name == "" && o.seq > 0 }

// RecordCount is how many records the file is known to have taken when it was last settled, and since: above 0, and never less
// than it was but where the file was put back. 0 in memory, where nothing is ever put back.
func (s *Store) RecordCount() uint64 { return s.told.Load() }

// ConfirmCurrent says that no file of this unit is known that has taken more than least records, or that what this one may lack
// has been told: what is written from now on counts.
func (s *Store) ConfirmCurrent(least uint64, done func(error)) {
	s.ask(op{kind: isForget, seq: max(1, least), sum: 1, done: done})
}

// Keep, Cut, Begin, Forget and Note ask for something to be kept; done is told by Run, in the order of asking.

// Append keeps the next effect of an instance.
func (s *Store) Append(name string, e replica.LogEntry, done func(error)) {
	s.ask(op{kind: isEffect, name: name, e: e, done: done})
}

// Truncate drops what an instance has beyond its first seq effects.
func (s *Store) Truncate(name string, seq uint64, done func(error)) {
	s.ask(op{kind: isCut, name: name, seq: seq, done: done})
}

// Reset replaces an instance by one without effects but for a number and a sum of earlier ones.
func (s *Store) Reset(name string, base, sum uint64, done func(error)) {
	s.ask(op{kind: isBegin, name: name, seq: base, sum: sum, done: done})
}

// Delete drops an instance.
func (s *Store) Delete(name string, done func(error)) {
	s.ask(op{kind: isForget, name: name, done: done})
}

// SetNote replaces the note.
func (s *Store) SetNote(note []byte, done func(error)) {
	s.ask(op{kind: isNote, note: bytes.Clone(note), done: done})
}

func (s *Store) ask(o op) {
	s.mu.Lock()
	if len(s.queue) >= mostOps {
		o.kind = 0 // refused, in its turn
		o.e, o.note = replica.LogEntry{}, nil
	}
	s.queue = append(s.queue, o)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run does what is asked for until stop is closed; what was asked for before that is still done. Then the file is closed.
func (s *Store) Run(stop <-chan struct{}) {
	for over := false; ; {
		select {
		case <-s.wake:
		case <-stop:
			over = true
		}
		for s.round() {
		}
		if over {
			if s.path != "" {
				_ = s.file.Close()
				_ = s.lock.Close()
			}
			return
		}
	}
}

// round makes all that waits safe at once.
func (s *Store) round() bool {
	s.mu.Lock()
	ops := s.queue
	s.queue = nil
	s.mu.Unlock()
	if len(ops) == 0 {
		return false
	}
	errs := make([]error, len(ops))
	if s.path != "" {
		s.write(ops, errs)
	}
	for i, o := range ops {
		if o.kind == 0 {
			errs[i] = ErrQueueFull
		}
		if o.done != nil {
			o.done(errs[i])
		}
	}
	return true
}

// write makes some things safe by one write and one fsync, or says of all why not and leaves everything as it was.
func (s *Store) write(ops []op, errs []error) {
	before := map[string]*replica.Log{}
	note, took := s.note, s.took
	var out []byte
	if !s.runs {
		s.took.on = false
		out = frame(out, markOf(s.took))
	}
	head := len(out)
	for i, o := range ops {
		if o.kind == 0 {
			continue
		}
		if _, there := before[o.name]; !there && o.kind != isNote {
			before[o.name] = nil
			if r := s.all[o.name]; r != nil {
				copied := *r
				copied.Entries = slices.Clip(copied.Entries)
				before[o.name] = &copied
			}
		}
		if o.mark() && !s.took.on {
			o.seq = max(o.seq, s.took.n) + perRun
		} else if o.mark() {
			o.seq = max(o.seq, s.took.n)
		}
		if errs[i] = s.dead; errs[i] == nil {
			errs[i] = s.apply(o)
		}
		if errs[i] == nil {
			out = frame(out, o)
		}
	}
	if len(out) == head {
		s.took = took
		return
	}
	err := s.append(out)
	if err == nil {
		s.runs = true
		s.told.Store(s.took.n)
		if s.size > s.next {
			s.anew()
		}
		return
	}
	for i := range errs {
		if errs[i] == nil {
			errs[i] = err
		}
	}
	s.note, s.took = note, took
	for name, r := range before {
		if r == nil {
			delete(s.all, name)
			continue
		}
		s.all[name] = r
	}
}

// append writes and syncs; what fails is taken back, and where that fails too nothing is written any more.
func (s *Store) append(out []byte) error {
	_, err := s.file.Write(out)
	if err == nil {
		err = s.file.Sync()
	}
	if err == nil {
		s.size += int64(len(out))
		return nil
	}
	back := s.file.Truncate(s.size)
	if back == nil {
		back = s.file.Sync()
	}
	if back != nil {
		s.dead = fmt.Errorf("%w: %w", ErrWriteFailed, back)
		s.log(s.path + ": " + s.dead.Error())
	}
	return err
}

// anew writes the file without what is no longer of use. Where that fails the old one goes on.
func (s *Store) anew() {
	out := form.Header()
	if s.note != nil {
		out = frame(out, op{kind: isNote, note: s.note})
	}
	s.live = 0
	for _, name := range slices.Sorted(maps.Keys(s.all)) {
		r := s.all[name]
		s.live += size(r)
		out = frame(out, op{kind: isBegin, name: name, seq: r.BaseIndex, sum: r.BaseChecksum})
		for _, e := range r.Entries {
			out = frame(out, op{kind: isEffect, name: name, e: e})
		}
	}
	out = frame(out, markOf(s.took)) // last: what is written anew does not count again
	s.next = 2*max(s.live, s.size) + spare
	if int64(len(out)) > s.size/2 {
		return
	}
	if err := renameio.WriteFile(s.path, out, 0o600, renameio.WithTempDir(filepath.Dir(s.path))); err != nil {
		s.log(s.path + ": not written anew: " + err.Error())
		return
	}
	file, err := os.OpenFile(s.path, os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		s.dead = fmt.Errorf("%w: %w", ErrWriteFailed, err)
		return
	}
	_ = s.file.Close()
	s.file, s.size, s.next = file, int64(len(out)), 2*s.live+spare
}

func markOf(c count) op {
	o := op{kind: isForget, seq: c.n}
	if c.on {
		o.sum = 1
	}
	return o
}

// size is about what an instance takes in the file.
func size(r *replica.Log) int64 { return int64(r.Size() + 64*len(r.Entries) + 64) }

// frame appends a record.
func frame(out []byte, o op) []byte {
	at := len(out)
	out = append(form.BeginRecord(out), o.kind)
	out = word(out, o.name)
	switch o.kind {
	case isEffect:
		for _, n := range []uint64{o.e.Index, o.e.Epoch, o.e.Checksum} {
			out = binary.LittleEndian.AppendUint64(out, n)
		}
		out = word(word(out, o.e.Node), o.e.RequestID)
		out = append(out, o.e.Body...)
	case isCut, isBegin:
		out = binary.LittleEndian.AppendUint64(out, o.seq)
		out = binary.LittleEndian.AppendUint64(out, o.sum)
	case isForget:
		if o.mark() {
			out = binary.LittleEndian.AppendUint64(out, o.seq)
			out = binary.LittleEndian.AppendUint64(out, o.sum)
		}
	case isNote:
		out = append(out, o.note...)
	}
	return form.SealRecord(out, at)
}

func word(out []byte, s string) []byte {
	return append(binary.LittleEndian.AppendUint32(out, uint32(len(s))), s...)
}

var errShort = errors.New("a record too short")

// decode reads a record's payload.
func decode(b []byte) (o op, err error) {
	take := func(n int) []byte {
		if err != nil || n < 0 || n > len(b) {
			err = errShort
			return nil
		}
		part := b[:n]
		b = b[n:]
		return part
	}
	number := func() uint64 {
		if part := take(8); part != nil {
			return binary.LittleEndian.Uint64(part)
		}
		return 0
	}
	text := func() string {
		if part := take(4); part != nil {
			return string(take(int(binary.LittleEndian.Uint32(part))))
		}
		return ""
	}
	if part := take(1); part != nil {
		o.kind = part[0]
	}
	o.name = text()
	switch o.kind {
	case isEffect:
		o.e = replica.LogEntry{Index: number(), Epoch: number(), Checksum: number()}
		o.e.Node, o.e.RequestID = text(), text()
		if len(b) > 0 {
			o.e.Body = bytes.Clone(b)
		}
	case isCut, isBegin:
		o.seq, o.sum = number(), number()
	case isForget:
		if o.name == "" && len(b) >= 16 {
			o.seq, o.sum = number(), number()
		}
	case isNote:
		o.note = bytes.Clone(b)
	}
	return o, err
}
