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

// openStore opens a store and runs it until the test ends, or until what it returns is called.
func openStore(tb testing.TB, folder string) (*Store, []replica.Log, func()) {
	tb.Helper()
	s, records, _, err := Open(folder, func(string) {})
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
	return s, records, end
}

// writtenLog is an instance being written, as it should be found again.
type writtenLog struct {
	s   *Store
	rec replica.Log
}

func (m *writtenLog) add(id string, body string) error {
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

func TestOpen_FileCutAtAnyByte(t *testing.T) {
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	m := &writtenLog{s: s, rec: replica.Log{Instance: "camera-7"}}
	type point struct {
		size int64
		rec  replica.Log
	}
	var points []point
	note := func() {
		rec := m.rec
		rec.Entries = append([]replica.LogEntry(nil), rec.Entries...)
		points = append(points, point{s.fileSize, rec})
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
		s, records, end := openStore(t, other)
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
			m := &writtenLog{s: s, rec: want[0]}
			if err := m.add("more", "x"); err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
		}
		end()
	}
}

func TestOpen_RefusesCorruptFiles(t *testing.T) {
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	m := &writtenLog{s: s, rec: replica.Log{Instance: "x"}}
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
	next := format
	next.Version++
	later := append(next.Header(), text[len(next.Header()):]...)
	if err := os.WriteFile(path, later, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(folder, func(string) {}); !errors.Is(err, ErrNewerVersion) || !strings.Contains(err.Error(), "form 2") {
		t.Errorf("a later version: %v", err)
	}
}

func TestOpen_FindsAnyOrderOfRequestsAgain(t *testing.T) {
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

func BenchmarkStore_Append(b *testing.B) {
	s, _, _ := openStore(b, b.TempDir())
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	m := &writtenLog{s: s, rec: replica.Log{Instance: "x"}}
	for i := range b.N {
		if err := m.add(fmt.Sprint(i), "0123456789"); err != nil {
			b.Fatal(err)
		}
	}
}

func TestStore_RefusesWhatDoesNotFollow(t *testing.T) {
	s, _, _ := openStore(t, t.TempDir())
	for name, ask := range map[string]func(done func(error)){
		"an entry of no instance": func(d func(error)) { s.Append("x", replica.LogEntry{Index: 1}, d) },
		"a truncation of no log":  func(d func(error)) { s.Truncate("x", 0, d) },
	} {
		if err := wait(ask); !errors.Is(err, ErrGap) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestStore_RefusesBeyondTheQueue(t *testing.T) {
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
		t.Errorf("refused are %v", refused)
	}
}
