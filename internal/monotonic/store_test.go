package monotonic

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/tufverify"
)

func TestStore_Raise(t *testing.T) {
	path := filepath.Join(t.TempDir(), "versions")
	f := openStore(t, path)
	if !f.Created {
		t.Error("it was not created")
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
			if err := f.Record("k", c.version, sum(c.content)); !errors.Is(err, c.want) {
				t.Errorf("%v, wanted %v", err, c.want)
			}
		})
	}
	if err := f.Record("", 1, sum("")); err == nil {
		t.Error("an empty key is taken")
	}
	if _, err := Open([]string{path}, 10, quiet); !errors.Is(err, ErrInUse) {
		t.Errorf("a second one has it open: %v", err)
	}
	must(t, f.AdvanceTime(7))
	must(t, f.AdvanceTime(3))
	must(t, f.Close())
	if err := f.Record("k", 9, sum("")); err == nil {
		t.Error("a closed one takes more")
	}
	f = openStore(t, path)
	if v, s := f.Recorded("k"); v != 6 || s != sum("b") || f.TrustedTime() != 7 || f.Created {
		t.Errorf("after a restart: %d, time %d, fresh %v", v, f.TrustedTime(), f.Created)
	}
	_ = f.Close()
	if _, err := Open([]string{path}, 0, quiet); !errors.Is(err, ErrFull) {
		t.Errorf("%v", err)
	}
}

// TestOpen_FileCutAtEveryByte: whatever was acknowledged before the record that was cut is there.
func TestOpen_FileCutAtEveryByte(t *testing.T) {
	content := filled(t, 6)
	path := filepath.Join(t.TempDir(), "versions")
	before := map[string]int64{}
	for cut := range content {
		must(t, os.WriteFile(path, content[:cut], 0o600))
		whole := map[string]int64{}
		decoded, n, err := decode(content[:cut])
		for key, e := range decoded.entries {
			whole[key] = e.version
		}
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
			if is, _ := f.Recorded(key); is != v {
				t.Fatalf("cut at %d: %s is %d, wanted %d", cut, key, is, v)
			}
		}
		must(t, f.Record("more", 1, sum("x")))
		must(t, f.Close())
		if f = openStore(t, path); f.Len() != len(whole)+1 || f.TruncatedBytes != 0 {
			t.Fatalf("cut at %d: after another restart %d entries, %d bytes cut", cut, f.Len(), f.TruncatedBytes)
		}
		must(t, f.Close())
	}
}

// TestOpen_FlippedBits: no flipped bit lets an older version in: the file is refused, or says what it said. A bit in
// the length of the very last record is told from a record cut short by the length's own checksum.
func TestOpen_FlippedBits(t *testing.T) {
	content := filled(t, 4)
	path := filepath.Join(t.TempDir(), "versions")
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

// TestOpen_CopyThatWasPutBack: a copy that was put back from yesterday is repaired by the other; both put back are not
// noticed.
func TestOpen_CopyThatWasPutBack(t *testing.T) {
	dir := t.TempDir()
	paths := []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}
	f := openStore(t, paths...)
	must(t, f.Record("k", 5, sum("5")))
	must(t, f.Close())
	old, err := os.ReadFile(paths[0])
	must(t, err)
	f = openStore(t, paths...)
	must(t, f.Record("k", 6, sum("6")))
	must(t, f.Close())
	for i, path := range paths {
		must(t, os.WriteFile(path, old, 0o600))
		var lines []string
		f, err := Open(paths, 10, func(_ slog.Level, message string, _ ...slog.Attr) { lines = append(lines, message) })
		must(t, err)
		if v, _ := f.Recorded("k"); v != 6 || f.RepairedCopies != 1 || len(lines) != 1 {
			t.Errorf("copy %d put back: %d, %v", i, v, lines)
		}
		must(t, f.Close())
	}
	must(t, os.Remove(paths[0])) // a new disk
	f = openStore(t, paths...)
	if v, _ := f.Recorded("k"); v != 6 || f.Created {
		t.Errorf("one copy gone: %d", v)
	}
	must(t, f.Close())
	other := openStore(t, filepath.Join(dir, "c"))
	must(t, other.Record("k", 6, sum("another 6")))
	must(t, other.Close())
	if _, err := Open([]string{paths[0], filepath.Join(dir, "c")}, 10, quiet); !errors.Is(err, ErrCorrupt) {
		t.Errorf("copies of two stores: %v", err)
	}
}

// TestRaise_NeverFallsBack: after any sequence of raises, failures and restarts no key falls back.
func TestRaise_NeverFallsBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp("", "versions")
		must(t, err)
		defer func() { _ = os.RemoveAll(dir) }()
		path := filepath.Join(dir, "versions")
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
				tail := appendEntry(nil, key, entry{999, tufverify.Digest{}})
				content = append(content, tail[:rapid.IntRange(0, len(tail)-1).Draw(rt, "cut")]...)
				must(t, os.WriteFile(path, content, 0o600))
				f, err = Open([]string{path}, 4, quiet)
				must(t, err)
			default:
				v := rapid.Int64Range(1, 20).Draw(rt, "version")
				if err := f.Record(key, v, sum(fmt.Sprint(v))); err == nil {
					high[key] = max(high[key], v)
				} else if v > high[key] {
					rt.Fatalf("%s %d: %v", key, v, err)
				}
			}
			for k, v := range high {
				if is, _ := f.Recorded(k); is != v {
					rt.Fatalf("%s is %d, wanted %d", k, is, v)
				}
			}
		}
		must(t, f.Close())
	})
}

func TestResetTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "versions")
	f := openStore(t, path)
	must(t, f.AdvanceTime(1000))
	must(t, f.ResetTime(10))
	must(t, f.Close())
	if f = openStore(t, path); f.TrustedTime() != 10 {
		t.Errorf("time %d", f.TrustedTime())
	}
	if _, err := Open([]string{filepath.Join(t.TempDir(), "no", "folder")}, 1, quiet); err == nil ||
		!strings.Contains(err.Error(), "no such file") {
		t.Errorf("%v", err)
	}
}
