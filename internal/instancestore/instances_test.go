package instancestore

import (
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"silvercove/internal/replica"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// open opens a store and runs it until the test ends, or until what it returns is called.
func open(t testing.TB, folder string) (*Store, []replica.Log, func()) {
	t.Helper()
	s, records, _, err := Open(folder, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() { s.Run(stop); close(ended) }()
	closed := false
	end := func() {
		if !closed {
			closed = true
			close(stop)
			<-ended
		}
	}
	t.Cleanup(end)
	return s, records, end
}

// made is an instance being written, as it should be found again.
type made struct {
	s   *Store
	rec replica.Log
}

func (m *made) add(id string, body string) error {
	e := replica.LogEntry{Index: m.rec.LastIndex() + 1, Epoch: 3, Node: "edge-a", RequestID: id, Body: []byte(body)}
	e.Checksum = e.ChainChecksum(m.rec.Checksum())
	err := wait(func(done func(error)) { m.s.Append(m.rec.Instance, e, done) })
	if err == nil {
		m.rec.Append(e)
	}
	return err
}

func wait(ask func(func(error))) error {
	result := make(chan error, 1)
	ask(func(err error) { result <- err })
	return <-result
}

func TestAFileCutAtAnyByteIsReadToTheLastWholeRecord(t *testing.T) {
	folder := t.TempDir()
	s, _, end := open(t, folder)
	m := &made{s: s, rec: replica.Log{Instance: "camera-7"}}
	type point struct {
		size int64
		rec  replica.Log
	}
	var points []point
	note := func() {
		rec := m.rec
		rec.Entries = append([]replica.LogEntry(nil), rec.Entries...)
		points = append(points, point{s.size, rec})
	}
	if err := wait(func(d func(error)) { s.Reset("camera-7", 0, 0, d) }); err != nil {
		t.Fatal(err)
	}
	note()
	for i := range 5 {
		if err := m.add(fmt.Sprint("c", i), "body"); err != nil {
			t.Fatal(err)
		}
		note()
	}
	if err := wait(func(d func(error)) { s.Truncate("camera-7", 3, d) }); err != nil {
		t.Fatal(err)
	}
	m.rec.Truncate(3)
	note()
	end()
	text, err := os.ReadFile(filepath.Join(folder, "instances.log"))
	if err != nil || int64(len(text)) != points[len(points)-1].size {
		t.Fatal(len(text), err)
	}
	other := t.TempDir()
	for cut := range len(text) + 1 {
		if err := os.WriteFile(filepath.Join(other, "instances.log"), text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, records, end := open(t, other)
		var want []replica.Log
		for _, p := range points {
			if p.size <= int64(cut) {
				want = []replica.Log{p.rec}
			}
		}
		if fmt.Sprint(records) != fmt.Sprint(append([]replica.Log{}, want...)) {
			t.Fatalf("cut at %d: %v, not %v", cut, records, want)
		}
		if len(want) > 0 { // and it goes on from there
			m := &made{s: s, rec: want[0]}
			if err := m.add("more", "x"); err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
		}
		end()
	}
}

func TestWhatDoesNotAddUpIsRefused(t *testing.T) {
	folder := t.TempDir()
	s, _, end := open(t, folder)
	m := &made{s: s, rec: replica.Log{Instance: "x"}}
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	for i := range 3 {
		if err := m.add(fmt.Sprint(i), "body"); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, _, err := Open(folder, func(string) {}); !errors.Is(err, ErrInUse) {
		t.Errorf("a second process: %v", err)
	}
	end()
	path := filepath.Join(folder, "instances.log")
	text, _ := os.ReadFile(path)
	for at := range len(text) - 80 { // any byte before the last record
		bad := append([]byte(nil), text...)
		bad[at] ^= 0x41
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := Open(folder, func(string) {}); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d changed: %v", at, err)
		}
		if now, _ := os.ReadFile(path); string(now) != string(bad) {
			t.Fatalf("byte %d: what is refused was written to", at)
		}
	}
	next := form
	next.Version++
	later := append(next.Header(), text[len(next.Header()):]...)
	if err := os.WriteFile(path, later, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(folder, func(string) {}); !errors.Is(err, ErrNewerVersion) || !strings.Contains(err.Error(), "form 2") {
		t.Errorf("a later version: %v", err)
	}
}

// thin is a file on a disk that is full beyond some size.
type thin struct {
	*os.File
	left int
	sync error
}

func (f *thin) Write(b []byte) (int, error) {
	if len(b) > f.left {
		n, _ := f.File.Write(b[:f.left])
		f.left = 0
		return n, syscall.ENOSPC
	}
	f.left -= len(b)
	return f.File.Write(b)
}

func (f *thin) Sync() error {
	if f.sync != nil {
		return f.sync
	}
	return f.File.Sync()
}

func TestAFullDiskRefusesAndLosesNothing(t *testing.T) {
	folder := t.TempDir()
	s, _, end := open(t, folder)
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	m := &made{s: s, rec: replica.Log{Instance: "x"}}
	if err := m.add("one", "body"); err != nil {
		t.Fatal(err)
	}
	disk := &thin{File: s.file.(*os.File), left: 20}
	_ = wait(func(d func(error)) { s.file = disk; s.SetNote(nil, d) }) // asked before, the writer rests
	if err := m.add("two", strings.Repeat("long", 50)); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("%v", err)
	}
	e := replica.LogEntry{Index: 3, Epoch: 3, RequestID: "three"}
	e.Checksum = e.ChainChecksum(99)
	if err := wait(func(d func(error)) { s.Append("x", e, d) }); !errors.Is(err, ErrGap) {
		t.Errorf("what rests on what was refused: %v", err)
	}
	disk.left = 1 << 20
	if err := m.add("two again", "x"); err != nil {
		t.Fatalf("room again: %v", err)
	}
	disk.sync = syscall.EIO
	if err := m.add("three", "x"); !errors.Is(err, syscall.EIO) {
		t.Errorf("%v", err)
	}
	disk.sync = nil
	if err := m.add("three", "x"); !errors.Is(err, ErrWriteFailed) {
		t.Errorf("after a sync that could not be taken back: %v", err)
	}
	end()
	_, records, _ := open(t, folder)
	if len(records) != 1 || !reflect.DeepEqual(records[0].Entries, m.rec.Entries) {
		t.Errorf("%v, not %v", records, m.rec)
	}
}

func TestAFileIsWrittenAnewAndLosesNothing(t *testing.T) {
	folder := t.TempDir()
	s, _, end := open(t, folder)
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	_ = wait(func(d func(error)) { s.SetNote([]byte("kept"), d) })
	m := &made{s: s, rec: replica.Log{Instance: "x"}}
	for i := range 3000 {
		if err := m.add(fmt.Sprint(i), strings.Repeat("x", 4000)); err != nil {
			t.Fatal(err)
		}
	}
	end()
	if i, err := os.Stat(filepath.Join(folder, "instances.log")); err != nil || i.Size() > 13<<20 {
		t.Errorf("%d bytes for 4 MB: %v", i.Size(), err)
	}
	s2, records, note, err := Open(folder, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	close(stop)
	s2.Run(stop)
	if string(note) != "kept" || len(records) != 1 || records[0].LastIndex() != 3000 || records[0].Checksum() != m.rec.Checksum() ||
		len(records[0].Entries) != replica.LogCapacity {
		t.Errorf("%d effects, note %s", records[0].LastIndex(), note)
	}
}

func TestAnyOrderIsFoundAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "s")
		if err != nil {
			rt.Fatal(err)
		}
		want := map[string]*replica.Log{}
		for range rapid.IntRange(1, 3).Draw(rt, "runs") {
			s, records, _, err := Open(folder, func(string) {})
			if err != nil {
				rt.Fatal(err)
			}
			if len(records) != len(want) {
				rt.Fatalf("%d instances, not %d", len(records), len(want))
			}
			for _, r := range records {
				if w := want[r.Instance]; w == nil || r.LastIndex() != w.LastIndex() || r.Checksum() != w.Checksum() {
					rt.Fatalf("%v, not %v", r, w)
				}
			}
			for i := range rapid.IntRange(0, 20).Draw(rt, "ops") {
				name := rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "name")
				r := want[name]
				switch k := rapid.IntRange(0, 5).Draw(rt, "kind"); {
				case r == nil || k == 0:
					base := uint64(rapid.IntRange(0, 3).Draw(rt, "base"))
					want[name] = &replica.Log{Instance: name, BaseIndex: base, BaseChecksum: base}
					s.Reset(name, base, base, nil)
				case k == 1:
					delete(want, name)
					s.Delete(name, nil)
				case k == 2:
					seq := r.BaseIndex + uint64(rapid.IntRange(0, len(r.Entries)).Draw(rt, "cut"))
					r.Truncate(seq)
					s.Truncate(name, seq, nil)
				default:
					e := replica.LogEntry{Index: r.LastIndex() + 1, Epoch: 1, RequestID: fmt.Sprint(i)}
					e.Checksum = e.ChainChecksum(r.Checksum())
					r.Append(e)
					s.Append(name, e, nil)
				}
			}
			stop := make(chan struct{})
			close(stop)
			s.Run(stop)
		}
	})
}

// What the program of before internal/recordlog wrote is read, and written alike.
func TestBytesOfAnEarlierProgram(t *testing.T) {
	const wrote = "Y292ZWluc3QBAAAA+UJPLRYAAACSbzllozmTS7G4+EUDAQAAAHgCAAAAAAAAAAkAAAAAAAAALwAAAH+vWu7MBnO2lanDCQEBAAAAeAMAAAAAAAAA" +
		"AwAAAAAAAAAiDUs+0N2MsAYAAABlZGdlLWECAAAAYzBiLwAAAH+vWu7aDSyU4pCdHwEBAAAAeAQAAAAAAAAAAwAAAAAAAAAX6fZktYA3mwYAAABlZGdlLWEC" +
		"AAAAYzFiLwAAAH+vWu7bfc5FwPGfbgEBAAAAeAUAAAAAAAAAAwAAAAAAAAAEM1qSlvNOqgYAAABlZGdlLWECAAAAYzJiFgAAAJJvOWVeyQLAe6O43wIBAAAA" +
		"eAQAAAAAAAAAAAAAAAAAAAAWAAAAkm85ZXmGigVL7C1eAwEAAAB5AAAAAAAAAAAAAAAAAAAAAAYAAAC2H4A60BjG8SoWwDQEAQAAAHkJAAAAWYtSvy+ixzzk" +
		"njaWBQAAAABub3RlFQAAAHTnapZJs8ud35bqnwQAAAAABwAAAAAAAAAAAAAAAAAAAA=="
	rec := replica.Log{Instance: "x", BaseIndex: 2, BaseChecksum: 9}
	out := frame(form.Header(), op{kind: isBegin, name: "x", seq: 2, sum: 9})
	for i := range 3 {
		e := replica.LogEntry{Index: rec.LastIndex() + 1, Epoch: 3, Node: "edge-a", RequestID: fmt.Sprint("c", i), Body: []byte("b")}
		e.Checksum = e.ChainChecksum(rec.Checksum())
		rec.Append(e)
		out = frame(out, op{kind: isEffect, name: "x", e: e})
	}
	rec.Truncate(4)
	for _, o := range []op{{kind: isCut, name: "x", seq: 4}, {kind: isBegin, name: "y"}, {kind: isForget, name: "y"},
		{kind: isNote, note: []byte("note")}, {kind: isForget, seq: 7}} {
		out = frame(out, o)
	}
	if base64.StdEncoding.EncodeToString(out) != wrote {
		t.Errorf("%x", out)
	}
	s := &Store{all: map[string]*replica.Log{}}
	if n, err := s.read(out); n != len(out) || err != nil || len(s.all) != 1 || !reflect.DeepEqual(*s.all["x"], rec) || string(s.note) != "note" {
		t.Errorf("%d of %d: %v, %+v", n, len(out), err, s.all)
	}
}

func FuzzRead(f *testing.F) {
	good := frame(form.Header(), op{kind: isBegin, name: "x"})
	f.Add(good)
	f.Add(frame(good, op{kind: isCut, name: "x"}))
	f.Fuzz(func(t *testing.T, text []byte) {
		s := &Store{all: map[string]*replica.Log{}}
		if n, err := s.read(text); err == nil && n > len(text) {
			t.Errorf("%d of %d bytes", n, len(text))
		}
	})
}

func BenchmarkKeep(b *testing.B) {
	s, _, _ := open(b, b.TempDir())
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	m := &made{s: s, rec: replica.Log{Instance: "x"}}
	for i := range b.N {
		if err := m.add(fmt.Sprint(i), "0123456789"); err != nil {
			b.Fatal(err)
		}
	}
}

// A whole record of a kind that is not known was written by a later version: it is not damage, and nothing is cut off.
func TestARecordOfALaterKindIsRefused(t *testing.T) {
	folder := t.TempDir()
	s, _, end := open(t, folder)
	m := &made{s: s, rec: replica.Log{Instance: "x"}}
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	if err := m.add("1", "body"); err != nil {
		t.Fatal(err)
	}
	end()
	path := filepath.Join(folder, "instances.log")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text = frame(text, op{kind: 9, name: "x"})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(folder, func(string) {}); !errors.Is(err, ErrNewerVersion) || errors.Is(err, ErrCorrupt) {
		t.Errorf("%v", err)
	}
	if now, _ := os.ReadFile(path); string(now) != string(text) {
		t.Error("what is refused was written to")
	}
}

// The count never falls but where the file is put back, and an old file never catches up with what was counted.
func TestAFileThatWasPutBackHasTakenLess(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "instances.log")
	if s, _, _ := open(t, ""); s.RecordCount() != 0 {
		t.Errorf("in memory: %d", s.RecordCount())
	}
	s, _, end := open(t, folder)
	m := &made{s: s, rec: replica.Log{Instance: "x"}}
	first := s.RecordCount()
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	if first == 0 || s.RecordCount() != first {
		t.Errorf("before it is settled: %d, and was %d", s.RecordCount(), first)
	}
	_ = wait(func(d func(error)) { s.ConfirmCurrent(0, d) })
	settled := s.RecordCount()
	old, _ := os.ReadFile(path)
	for i := range 3000 { // it is written anew meanwhile
		if err := m.add(fmt.Sprint(i), strings.Repeat("x", 4000)); err != nil {
			t.Fatal(err)
		}
	}
	disk := &thin{File: s.file.(*os.File)}
	_ = wait(func(d func(error)) { s.file = disk; s.Delete("y", d) })
	last := s.RecordCount()
	if settled <= first+perRun/2 || last != settled+3000 {
		t.Errorf("%d at first, %d when settled, %d after 3,000 records and one that was refused", first, settled, last)
	}
	end()
	s, _, end = open(t, folder)
	if s.RecordCount() != last {
		t.Errorf("%d after a restart, and was %d", s.RecordCount(), last)
	}
	end()
	if err := os.WriteFile(path, old, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 { // runs whose end comes before the keepers were heard
		s, _, end = open(t, folder)
		_ = wait(func(d func(error)) { s.Delete("y", d) })
		if end(); s.RecordCount() != settled {
			t.Errorf("put back: %d, and was %d then", s.RecordCount(), settled)
		}
	}
	s, _, _ = open(t, folder)
	if _ = wait(func(d func(error)) { s.ConfirmCurrent(last, d) }); s.RecordCount() <= last {
		t.Errorf("once it is settled again: %d, and was %d before it was put back", s.RecordCount(), last)
	}
}
