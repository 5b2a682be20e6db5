package instancestore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"silvercove/internal/replica"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// openStore opens a store and runs it until the test ends or the returned function is called.
func openStore(tb testing.TB, folder string) (*Store, []replica.Log, func()) {
	tb.Helper()
	s, logs, _, err := Open(folder, func(string) {})
	if err != nil {
		tb.Fatal(err)
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
	tb.Cleanup(end)
	return s, logs, end
}

// logWriter appends entries to an instance's log in a store, and holds the log that the store should contain.
type logWriter struct {
	s   *Store
	log replica.Log
}

// add appends an entry to the instance's log in the store and, if that succeeds, to w.log.
func (w *logWriter) add(id string, body string) error {
	e := replica.LogEntry{Index: w.log.LastIndex() + 1, Epoch: 3, Node: "edge-a", RequestID: id, Body: []byte(body)}
	e.Checksum = e.ChainChecksum(w.log.Checksum())
	err := wait(func(done func(error)) { w.s.Append(w.log.Instance, e, done) })
	if err == nil {
		w.log.Append(e)
	}
	return err
}

// wait calls submit with a done function and returns the result that done receives.
func wait(submit func(func(error))) error {
	result := make(chan error, 1)
	submit(func(err error) { result <- err })
	return <-result
}

// TestOpen_FileCutAtAnyByte truncates a file at every byte and checks that the log up to the last complete record is
// recovered, and that the store accepts further entries.
func TestOpen_FileCutAtAnyByte(t *testing.T) {
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	w := &logWriter{s: s, log: replica.Log{Instance: "camera-7"}}
	type point struct {
		size int64
		log  replica.Log
	}
	var points []point
	addPoint := func() {
		log := w.log
		log.Entries = append([]replica.LogEntry(nil), log.Entries...)
		points = append(points, point{s.fileSize, log})
	}
	if err := wait(func(d func(error)) { s.Reset("camera-7", 0, 0, d) }); err != nil {
		t.Fatal(err)
	}
	addPoint()
	for i := range 5 {
		if err := w.add(fmt.Sprint("c", i), "body"); err != nil {
			t.Fatal(err)
		}
		addPoint()
	}
	if err := wait(func(d func(error)) { s.Truncate("camera-7", 3, d) }); err != nil {
		t.Fatal(err)
	}
	w.log.Truncate(3)
	addPoint()
	end()
	data, err := os.ReadFile(filepath.Join(folder, "instances.log"))
	if err != nil || int64(len(data)) != points[len(points)-1].size {
		t.Fatal(len(data), err)
	}
	cutFolder := t.TempDir()
	for cut := range len(data) + 1 {
		if err := os.WriteFile(filepath.Join(cutFolder, "instances.log"), data[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, logs, end := openStore(t, cutFolder)
		var want []replica.Log
		for _, p := range points {
			if p.size <= int64(cut) {
				want = []replica.Log{p.log}
			}
		}
		if fmt.Sprint(logs) != fmt.Sprint(append([]replica.Log{}, want...)) {
			t.Fatalf("cut at %d: logs %v, want %v", cut, logs, want)
		}
		if len(want) > 0 {
			w := &logWriter{s: s, log: want[0]}
			if err := w.add("more", "x"); err != nil {
				t.Fatalf("cut at %d: append: %v", cut, err)
			}
		}
		end()
	}
}

// TestOpen_RefusesCorruptFiles checks that Open rejects a file with a changed byte, a file with a later format version
// and a file that is in use. Open must not modify a corrupt file.
func TestOpen_RefusesCorruptFiles(t *testing.T) {
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	w := &logWriter{s: s, log: replica.Log{Instance: "x"}}
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	for i := range 3 {
		if err := w.add(fmt.Sprint(i), "body"); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, _, err := Open(folder, func(string) {}); !errors.Is(err, ErrInUse) {
		t.Errorf("second Open: %v, want ErrInUse", err)
	}
	end()
	path := filepath.Join(folder, "instances.log")
	data, _ := os.ReadFile(path)
	for at := range len(data) - 80 { // not in the last record, which is shorter than 80 bytes: a changed byte there may look like an incomplete write
		corrupted := append([]byte(nil), data...)
		corrupted[at] ^= 0x41
		if err := os.WriteFile(path, corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := Open(folder, func(string) {}); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d changed: %v, want ErrCorrupt", at, err)
		}
		if now, _ := os.ReadFile(path); string(now) != string(corrupted) {
			t.Fatalf("byte %d changed: the rejected file was modified", at)
		}
	}
	next := format
	next.Version++
	later := append(next.Header(), data[len(next.Header()):]...)
	if err := os.WriteFile(path, later, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(folder, func(string) {}); !errors.Is(err, ErrNewerVersion) || !strings.Contains(err.Error(), "format version 2") {
		t.Errorf("later format version: %v", err)
	}
}

// TestOpen_RecoversRandomRequests opens a store up to three times, executes random requests each time, and compares the
// logs that Open returns with a model.
func TestOpen_RecoversRandomRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "s")
		if err != nil {
			rt.Fatal(err)
		}
		want := map[string]*replica.Log{}
		for range rapid.IntRange(1, 3).Draw(rt, "runs") {
			s, logs, _, err := Open(folder, func(string) {})
			if err != nil {
				rt.Fatal(err)
			}
			if len(logs) != len(want) {
				rt.Fatalf("%d instances, want %d", len(logs), len(want))
			}
			for _, r := range logs {
				if w := want[r.Instance]; w == nil || r.LastIndex() != w.LastIndex() || r.Checksum() != w.Checksum() {
					rt.Fatalf("log %v, want %v", r, w)
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
					index := r.BaseIndex + uint64(rapid.IntRange(0, len(r.Entries)).Draw(rt, "cut"))
					r.Truncate(index)
					s.Truncate(name, index, nil)
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

func BenchmarkStore_Append(b *testing.B) {
	s, _, _ := openStore(b, b.TempDir())
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	w := &logWriter{s: s, log: replica.Log{Instance: "x"}}
	for i := range b.N {
		if err := w.add(fmt.Sprint(i), "0123456789"); err != nil {
			b.Fatal(err)
		}
	}
}

func TestStore_RefusesGaps(t *testing.T) {
	s, _, _ := openStore(t, t.TempDir())
	for name, submit := range map[string]func(done func(error)){
		"append to a missing instance": func(d func(error)) { s.Append("x", replica.LogEntry{Index: 1}, d) },
		"truncate a missing instance":  func(d func(error)) { s.Truncate("x", 0, d) },
	} {
		if err := wait(submit); !errors.Is(err, ErrGap) {
			t.Errorf("%s: %v, want ErrGap", name, err)
		}
	}
}

func TestStore_RefusesWhenQueueFull(t *testing.T) {
	s, _, _, err := Open("", func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	var refused []int
	for i := range maxQueue + 2 {
		s.Delete("x", func(err error) {
			if errors.Is(err, ErrQueueFull) {
				refused = append(refused, i)
			}
		})
	}
	stop := make(chan struct{})
	close(stop)
	s.Run(stop)
	if len(refused) != 2 || refused[0] != maxQueue {
		t.Errorf("requests %v were rejected, want the last two", refused)
	}
}
