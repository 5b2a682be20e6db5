package monotonic

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/tufverify"
)

func quiet(string) {}

func open(t testing.TB, paths ...string) *Store {
	t.Helper()
	f, err := Open(paths, 1<<20, quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

func sum(s string) tufverify.Sum { return sha256.Sum256([]byte(s)) }

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// filled makes the bytes of a floor with some records behind its first writing.
func filled(t testing.TB, n int) (path string, content []byte) {
	path = filepath.Join(t.TempDir(), "floor")
	f := open(t, path)
	for i := range n {
		must(t, f.Raise(fmt.Sprintf("key/%d", i%3), int64(i+1), sum(fmt.Sprint(i))))
		must(t, f.Pass(tufverify.Tick(i)))
	}
	must(t, f.Close())
	content, err := os.ReadFile(path)
	must(t, err)
	return path, content
}

func TestRaise(t *testing.T) {
	path := filepath.Join(t.TempDir(), "floor")
	f := open(t, path)
	if !f.Created {
		t.Error("it is not fresh")
	}
	for _, c := range []struct {
		name    string
		version int64
		content string
		want    error
	}{
		{"the first", 5, "a", nil}, {"again", 5, "a", nil}, {"other content", 5, "b", ErrConflict},
		{"older", 4, "a", ErrOlderVersion}, {"newer", 6, "b", nil}, {"older by now", 5, "a", ErrOlderVersion},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := f.Raise("k", c.version, sum(c.content)); !errors.Is(err, c.want) {
				t.Errorf("%v, wanted %v", err, c.want)
			}
		})
	}
	if err := f.Raise("", 1, sum("")); err == nil {
		t.Error("an empty key is taken")
	}
	if _, err := Open([]string{path}, 10, quiet); !errors.Is(err, ErrInUse) {
		t.Errorf("a second one has it open: %v", err)
	}
	must(t, f.Pass(7))
	must(t, f.Pass(3))
	must(t, f.Close())
	if err := f.Raise("k", 9, sum("")); err == nil {
		t.Error("a closed one takes more")
	}
	f = open(t, path)
	if v, s := f.Seen("k"); v != 6 || s != sum("b") || f.Passed() != 7 || f.Created {
		t.Errorf("after a restart: %d, time %d, fresh %v", v, f.Passed(), f.Created)
	}
	_ = f.Close()
	if _, err := Open([]string{path}, 0, quiet); !errors.Is(err, ErrFull) {
		t.Errorf("%v", err)
	}
}

// TestCutAtEveryByte: whatever was answered for before the record that was cut is there.
func TestCutAtEveryByte(t *testing.T) {
	_, content := filled(t, 6)
	path := filepath.Join(t.TempDir(), "floor")
	before := map[string]int64{}
	for cut := range content {
		must(t, os.WriteFile(path, content[:cut], 0o600))
		whole := map[string]int64{}
		n, err := read(content[:cut], func(key string, m mark) { whole[key] = max(whole[key], m.version) }, func(tufverify.Tick) {})
		if err != nil || n > cut {
			t.Fatalf("cut at %d: %d, %v", cut, n, err)
		}
		for key, v := range before {
			if whole[key] < v {
				t.Fatalf("cut at %d: %s fell back from %d to %d", cut, key, v, whole[key])
			}
		}
		before = whole
		f, err := Open([]string{path}, 100, quiet)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if f.TruncatedBytes != cut-n {
			t.Fatalf("cut at %d: %d bytes are said to be cut off, %d were", cut, f.TruncatedBytes, cut-n)
		}
		for key, v := range whole {
			if is, _ := f.Seen(key); is != v {
				t.Fatalf("cut at %d: %s is %d, wanted %d", cut, key, is, v)
			}
		}
		must(t, f.Raise("more", 1, sum("x")))
		must(t, f.Close())
		if f = open(t, path); f.Len() != len(whole)+1 || f.TruncatedBytes != 0 {
			t.Fatalf("cut at %d: after another restart %d entries, %d bytes cut", cut, f.Len(), f.TruncatedBytes)
		}
		must(t, f.Close())
	}
}

// TestFlippedBits: no flipped bit lets an older version in: the file is refused, or says what it said. A bit in
// the length of the very last record is told from a record cut short by the length's own checksum.
func TestFlippedBits(t *testing.T) {
	_, content := filled(t, 4)
	path := filepath.Join(t.TempDir(), "floor")
	for i := range content {
		for bit := range 8 {
			bad := append([]byte(nil), content...)
			bad[i] ^= 1 << bit
			must(t, os.WriteFile(path, bad, 0o600))
			f, err := Open([]string{path}, 100, quiet)
			if err == nil {
				t.Errorf("byte %d, bit %d: it is taken, with %d entries", i, bit, f.Len())
				_ = f.Close()
			} else if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNewerVersion) {
				t.Errorf("byte %d, bit %d: %v", i, bit, err)
			}
			is, _ := os.ReadFile(path)
			if string(is) != string(bad) {
				t.Fatalf("byte %d, bit %d: a refused file was changed", i, bit)
			}
		}
	}
}

func TestLaterFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "floor")
	later := form
	later.Version = 9
	must(t, os.WriteFile(path, later.Header(), 0o600))
	if _, err := Open([]string{path}, 10, quiet); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("%v", err)
	}
}

// TestBytesOfAnEarlierProgram: what the program of before internal/recordlog wrote is read, and written alike.
func TestBytesOfAnEarlierProgram(t *testing.T) {
	const wrote = "Y292ZWZsb28BAAAAxi20Vi4AAADYLkOtXOCwMAEHAAAAAAAAAMqXgRLKG73K+sIxs5oj3E2nhu/4FHxOcrmAd4Wv7ki7a2V5L2EJAAAAmYJmY7/Z" +
		"m8sC0gQAAAAAAAAuAAAA2C5DrXuBUkwBCAAAAAAAAAA+I+gWADlZSjOJT2Vk4bE0i716AIjULErLc+6u1ZwAnWtleS9h"
	b := mark{8, sum("b")}.record(timeRecord(mark{7, sum("a")}.record(form.Header(), "key/a"), 1234), "key/a")
	if base64.StdEncoding.EncodeToString(b) != wrote {
		t.Errorf("%x", b)
	}
	path := filepath.Join(t.TempDir(), "floor")
	must(t, os.WriteFile(path, b, 0o600))
	f := open(t, path)
	if v, s := f.Seen("key/a"); v != 8 || s != sum("b") || f.Passed() != 1234 || f.TruncatedBytes != 0 {
		t.Errorf("%d, time %d", v, f.Passed())
	}
}

// TestPutBack: a copy that was put back from yesterday is brought up by the other; both put back are not told.
func TestPutBack(t *testing.T) {
	dir := t.TempDir()
	paths := []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}
	f := open(t, paths...)
	must(t, f.Raise("k", 5, sum("5")))
	must(t, f.Close())
	old, err := os.ReadFile(paths[0])
	must(t, err)
	f = open(t, paths...)
	must(t, f.Raise("k", 6, sum("6")))
	must(t, f.Close())
	for i, path := range paths {
		must(t, os.WriteFile(path, old, 0o600))
		var lines []string
		f, err := Open(paths, 10, func(s string) { lines = append(lines, s) })
		must(t, err)
		if v, _ := f.Seen("k"); v != 6 || f.RepairedCopies != 1 || len(lines) != 1 {
			t.Errorf("copy %d put back: %d, %v", i, v, lines)
		}
		must(t, f.Close())
	}
	must(t, os.Remove(paths[0])) // a new disk
	f = open(t, paths...)
	if v, _ := f.Seen("k"); v != 6 || f.Created {
		t.Errorf("one copy gone: %d", v)
	}
	must(t, f.Close())
	other := open(t, filepath.Join(dir, "c"))
	must(t, other.Raise("k", 6, sum("another 6")))
	must(t, other.Close())
	if _, err := Open([]string{paths[0], filepath.Join(dir, "c")}, 10, quiet); !errors.Is(err, ErrCorrupt) {
		t.Errorf("copies of two floors: %v", err)
	}
}

// disk fails as it is told.
type disk struct {
	File
	room  *atomic.Int64 // bytes that still fit; below 0: without an end
	sync  *atomic.Bool  // whether syncs fail
	fixed *atomic.Bool  // whether it can't be truncated
}

func (d *disk) Write(p []byte) (int, error) {
	if room := d.room.Load(); room >= 0 && int64(len(p)) > room {
		n, _ := d.File.Write(p[:room])
		return n, syscall.ENOSPC
	}
	return d.File.Write(p)
}

func (d *disk) Sync() error {
	if d.sync.Load() {
		return syscall.EIO
	}
	return d.File.Sync()
}

func (d *disk) Truncate(size int64) error {
	if d.fixed.Load() {
		return syscall.EIO
	}
	return d.File.Truncate(size)
}

func TestFailingDisk(t *testing.T) {
	for _, c := range []struct {
		name         string
		room         int64
		sync, fixed  bool
		goesOn, full bool
	}{
		{"full", 10, false, false, true, true},
		{"full, and what was written stays", 10, false, true, false, true},
		{"a sync fails", -1, true, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "floor")
			f := open(t, path)
			must(t, f.Raise("k", 1, sum("1")))
			d := &disk{room: &atomic.Int64{}, sync: &atomic.Bool{}, fixed: &atomic.Bool{}}
			d.room.Store(c.room)
			d.sync.Store(c.sync)
			d.fixed.Store(c.fixed)
			f.WrapFiles(func(file File) File { d.File = file; return d })
			err := f.Raise("k", 2, sum("2"))
			if err == nil || c.full && !errors.Is(err, syscall.ENOSPC) {
				t.Errorf("%v", err)
			}
			if v, _ := f.Seen("k"); v != 1 {
				t.Errorf("%d is seen, though it is not durable", v)
			}
			d.room.Store(-1)
			d.sync.Store(false)
			err = f.Raise("k", 3, sum("3"))
			if (err == nil) != c.goesOn || !c.goesOn && !errors.Is(err, ErrWriteFailed) {
				t.Errorf("afterwards: %v", err)
			}
			want, _ := f.Seen("k")
			must(t, f.Close())
			f = open(t, path)
			if v, _ := f.Seen("k"); v < want {
				t.Errorf("after a restart %d, it was %d", v, want)
			}
		})
	}
}

func TestManyAtOnceAreSyncedTogether(t *testing.T) {
	path := filepath.Join(t.TempDir(), "floor")
	f := open(t, path)
	const many = 500
	var all sync.WaitGroup
	for i := range many {
		all.Go(func() {
			if err := f.Raise(fmt.Sprint("server/", i), 1, sum("x")); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	if f.RaisedVersions != many || f.Syncs >= many {
		t.Errorf("%d raised by %d syncs", f.RaisedVersions, f.Syncs)
	}
	must(t, f.Close())
	if f = open(t, path); f.Len() != many {
		t.Errorf("%d entries", f.Len())
	}
}

func TestConflictsAmongThoseAtOnce(t *testing.T) {
	f := open(t, filepath.Join(t.TempDir(), "floor"))
	var won atomic.Int64
	var all sync.WaitGroup
	for i := range 50 {
		all.Go(func() {
			if f.Raise("k", 7, sum(fmt.Sprint(i))) == nil {
				won.Add(1)
			}
		})
	}
	all.Wait()
	if won.Load() != 1 {
		t.Errorf("version 7 was given to %d contents", won.Load())
	}
}

func TestFileShrinks(t *testing.T) {
	path := filepath.Join(t.TempDir(), "floor")
	f := open(t, path)
	for i := range int64(30_000) {
		f.mu.Lock()
		f.next.buf = mark{i + 1, tufverify.Sum{}}.record(f.next.buf, "k") // as if raised, but synced at once
		f.next.marks["k"] = mark{i + 1, tufverify.Sum{}}
		f.mu.Unlock()
	}
	must(t, f.Raise("other", 1, sum("x")))
	info, err := os.Stat(path)
	must(t, err)
	if f.Rewrites != 2 || info.Size() > 4096 {
		t.Errorf("written anew %d times, %d bytes", f.Rewrites, info.Size())
	}
	must(t, f.Raise("k", 30_001, sum("y")))
	must(t, f.Close())
	if f = open(t, path); f.Len() != 2 {
		t.Errorf("%d entries", f.Len())
	}
	if v, _ := f.Seen("k"); v != 30_001 {
		t.Errorf("version %d", v)
	}
}

// TestAnyOrder: after any sequence of raises, failures and restarts no key falls back.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp("", "floor")
		must(t, err)
		defer func() { _ = os.RemoveAll(dir) }()
		path := filepath.Join(dir, "floor")
		f, err := Open([]string{path}, 4, quiet)
		must(t, err)
		high := map[string]int64{}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0: // killed in the middle of a write
				must(t, f.Close())
				content, err := os.ReadFile(path)
				must(t, err)
				tail := mark{999, tufverify.Sum{}}.record(nil, key)
				content = append(content, tail[:rapid.IntRange(0, len(tail)-1).Draw(rt, "cut")]...)
				must(t, os.WriteFile(path, content, 0o600))
				f, err = Open([]string{path}, 4, quiet)
				must(t, err)
			default:
				v := rapid.Int64Range(1, 20).Draw(rt, "version")
				if err := f.Raise(key, v, sum(fmt.Sprint(v))); err == nil {
					high[key] = max(high[key], v)
				} else if v > high[key] {
					rt.Fatalf("%s %d: %v", key, v, err)
				}
			}
			for k, v := range high {
				if is, _ := f.Seen(k); is != v {
					rt.Fatalf("%s is %d, wanted %d", k, is, v)
				}
			}
		}
		must(t, f.Close())
	})
}

func TestMemory(t *testing.T) {
	f := NewMemoryStore(1, quiet)
	must(t, f.Raise("k", 2, sum("a")))
	must(t, f.Pass(5))
	for want, err := range map[error]error{ErrOlderVersion: f.Raise("k", 1, sum("a")), ErrConflict: f.Raise("k", 2, sum("b")),
		ErrFull: f.Raise("l", 1, sum("a"))} {
		if !errors.Is(err, want) {
			t.Errorf("%v, wanted %v", err, want)
		}
	}
	if v, _ := f.Seen("k"); v != 2 || f.Passed() != 5 || len(f.Entries()) != 1 {
		t.Error("not kept")
	}
}

func TestTimeIsSetBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "floor")
	f := open(t, path)
	must(t, f.Pass(1000))
	must(t, f.ResetTime(10))
	must(t, f.Close())
	if f = open(t, path); f.Passed() != 10 {
		t.Errorf("time %d", f.Passed())
	}
	if _, err := Open([]string{filepath.Join(t.TempDir(), "no", "folder")}, 1, quiet); err == nil ||
		!strings.Contains(err.Error(), "no such file") {
		t.Errorf("%v", err)
	}
}

func FuzzRead(f *testing.F) {
	_, content := filled(f, 3)
	f.Add(content)
	f.Add([]byte(form.Magic))
	f.Fuzz(func(t *testing.T, content []byte) {
		n, err := read(content, func(key string, m mark) {
			if key == "" || len(key) > mostKey {
				t.Errorf("key of %d bytes", len(key))
			}
		}, func(tufverify.Tick) {})
		if n > len(content) || err == nil && n < len(content) && len(content)-n > form.RecordHeaderSize()+markSize+mostKey {
			t.Errorf("%d of %d bytes, %v", n, len(content), err)
		}
	})
}
