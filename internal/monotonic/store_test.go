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

func TestRecord_VersionOrder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "versions")
	store := openStore(t, path)
	if !store.Created {
		t.Error("Created is false for a new store")
	}
	for _, c := range []struct {
		name    string
		version int64
		content string
		want    error
	}{
		{"first version", 5, "a", nil}, {"same version and content", 5, "a", nil}, {"different content", 5, "b", ErrConflict},
		{"older version", 4, "a", ErrOlderVersion}, {"newer version", 6, "b", nil}, {"former version", 5, "a", ErrOlderVersion},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := store.Record("k", c.version, sum(c.content)); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
	if err := store.Record("", 1, sum("")); err == nil {
		t.Error("an empty key is accepted")
	}
	if _, err := Open([]string{path}, 10, discardLogs); !errors.Is(err, ErrInUse) {
		t.Errorf("second Open: %v, want ErrInUse", err)
	}
	must(t, store.AdvanceTime(7))
	must(t, store.AdvanceTime(3))
	must(t, store.Close())
	if err := store.Record("k", 9, sum("")); err == nil {
		t.Error("a closed store accepts a version")
	}
	store = openStore(t, path)
	if v, s := store.Recorded("k"); v != 6 || s != sum("b") || store.TrustedTime() != 7 || store.Created {
		t.Errorf("after a restart: version %d, time %d, created %v", v, store.TrustedTime(), store.Created)
	}
	_ = store.Close()
	if _, err := Open([]string{path}, 0, discardLogs); !errors.Is(err, ErrFull) {
		t.Errorf("open with a limit of 0 entries: %v, want ErrFull", err)
	}
}

// TestOpen_FileCutAtEveryByte truncates a file at every byte and checks that all complete records before the cut are
// recovered, and that the store accepts further records.
func TestOpen_FileCutAtEveryByte(t *testing.T) {
	content := encodedStore(t, 6)
	path := filepath.Join(t.TempDir(), "versions")
	previous := map[string]int64{}
	for cut := range content {
		must(t, os.WriteFile(path, content[:cut], 0o600))
		complete := map[string]int64{}
		decoded, n, err := decode(content[:cut])
		for key, e := range decoded.entries {
			complete[key] = e.version
		}
		if err != nil || n > cut {
			t.Fatalf("cut at %d: %d complete bytes, error %v", cut, n, err)
		}
		for key, v := range previous {
			if complete[key] < v {
				t.Fatalf("cut at %d: %s decreased from version %d to %d", cut, key, v, complete[key])
			}
		}
		previous = complete
		store, err := Open([]string{path}, 100, discardLogs)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if store.TruncatedBytes != cut-n {
			t.Fatalf("cut at %d: TruncatedBytes is %d, want %d", cut, store.TruncatedBytes, cut-n)
		}
		for key, v := range complete {
			if got, _ := store.Recorded(key); got != v {
				t.Fatalf("cut at %d: %s has version %d, want %d", cut, key, got, v)
			}
		}
		must(t, store.Record("more", 1, sum("x")))
		must(t, store.Close())
		if store = openStore(t, path); store.Len() != len(complete)+1 || store.TruncatedBytes != 0 {
			t.Fatalf("cut at %d: after another restart %d entries, %d bytes truncated", cut, store.Len(), store.TruncatedBytes)
		}
		must(t, store.Close())
	}
}

// TestOpen_FlippedBits checks that Open rejects a file in which any single bit is flipped, and does not modify the
// rejected file. If Open accepted such a file, an older version could become the latest one. The length of a record has
// a checksum of its own, because a flipped bit in the length of the last record would otherwise look like an incomplete
// record.
func TestOpen_FlippedBits(t *testing.T) {
	content := encodedStore(t, 4)
	path := filepath.Join(t.TempDir(), "versions")
	for i := range content {
		for bit := range 8 {
			corrupted := append([]byte(nil), content...)
			corrupted[i] ^= 1 << bit
			must(t, os.WriteFile(path, corrupted, 0o600))
			store, err := Open([]string{path}, 100, discardLogs)
			if err == nil {
				t.Errorf("byte %d, bit %d: the file is accepted, with %d entries", i, bit, store.Len())
				_ = store.Close()
			} else if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNewerVersion) {
				t.Errorf("byte %d, bit %d: error %v, want ErrCorrupt or ErrNewerVersion", i, bit, err)
			}
			got, _ := os.ReadFile(path)
			if string(got) != string(corrupted) {
				t.Fatalf("byte %d, bit %d: the rejected file was modified", i, bit)
			}
		}
	}
}

// TestOpen_CopyRestoredFromBackup checks that a copy restored from a backup is repaired from the other copy, that a
// missing copy is no error, and that copies of different stores are rejected. The store cannot detect that both copies
// were restored from a backup, so the test does not cover that case.
func TestOpen_CopyRestoredFromBackup(t *testing.T) {
	dir := t.TempDir()
	paths := []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}
	store := openStore(t, paths...)
	must(t, store.Record("k", 5, sum("5")))
	must(t, store.Close())
	old, err := os.ReadFile(paths[0])
	must(t, err)
	store = openStore(t, paths...)
	must(t, store.Record("k", 6, sum("6")))
	must(t, store.Close())
	for i, path := range paths {
		must(t, os.WriteFile(path, old, 0o600))
		var messages []string
		store, err := Open(paths, 10, func(_ slog.Level, message string, _ ...slog.Attr) { messages = append(messages, message) })
		must(t, err)
		if v, _ := store.Recorded("k"); v != 6 || store.RepairedCopies != 1 || len(messages) != 1 {
			t.Errorf("copy %d restored: version %d, log messages %v", i, v, messages)
		}
		must(t, store.Close())
	}
	must(t, os.Remove(paths[0])) // as if the disk had been replaced
	store = openStore(t, paths...)
	if v, _ := store.Recorded("k"); v != 6 || store.Created {
		t.Errorf("one copy missing: version %d", v)
	}
	must(t, store.Close())
	conflicting := openStore(t, filepath.Join(dir, "c"))
	must(t, conflicting.Record("k", 6, sum("another 6")))
	must(t, conflicting.Close())
	if _, err := Open([]string{paths[0], filepath.Join(dir, "c")}, 10, discardLogs); !errors.Is(err, ErrCorrupt) {
		t.Errorf("copies with different content for a version: %v, want ErrCorrupt", err)
	}
}

// TestRecord_NeverDecreases checks that no key's version decreases in any sequence of recorded versions, writes
// interrupted by a crash, and restarts.
func TestRecord_NeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp("", "versions")
		must(t, err)
		defer func() { _ = os.RemoveAll(dir) }()
		path := filepath.Join(dir, "versions")
		store, err := Open([]string{path}, 4, discardLogs)
		must(t, err)
		highest := map[string]int64{}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0: // the process is killed during a write
				must(t, store.Close())
				content, err := os.ReadFile(path)
				must(t, err)
				tail := appendEntry(nil, key, entry{999, tufverify.Digest{}})
				content = append(content, tail[:rapid.IntRange(0, len(tail)-1).Draw(rt, "cut")]...)
				must(t, os.WriteFile(path, content, 0o600))
				store, err = Open([]string{path}, 4, discardLogs)
				must(t, err)
			default:
				v := rapid.Int64Range(1, 20).Draw(rt, "version")
				if err := store.Record(key, v, sum(fmt.Sprint(v))); err == nil {
					highest[key] = max(highest[key], v)
				} else if v > highest[key] {
					rt.Fatalf("%s version %d: %v", key, v, err)
				}
			}
			for k, v := range highest {
				if got, _ := store.Recorded(k); got != v {
					rt.Fatalf("%s has version %d, want %d", k, got, v)
				}
			}
		}
		must(t, store.Close())
	})
}

func TestResetTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "versions")
	store := openStore(t, path)
	must(t, store.AdvanceTime(1000))
	must(t, store.ResetTime(10))
	must(t, store.Close())
	if store = openStore(t, path); store.TrustedTime() != 10 {
		t.Errorf("time %d after a restart, want 10", store.TrustedTime())
	}
	if _, err := Open([]string{filepath.Join(t.TempDir(), "no", "folder")}, 1, discardLogs); err == nil ||
		!strings.Contains(err.Error(), "no such file") {
		t.Errorf("open in a missing directory: %v", err)
	}
}
