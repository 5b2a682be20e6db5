package monotonic

import (
	"os"
	"path/filepath"
	"testing"

	"silvercove/internal/standin/golden"
	"silvercove/internal/tufverify"
)

// storedVersions are the versions in testdata/stored/versions.floor, which an earlier version of the program wrote.
var storedVersions = []struct {
	key     string
	version int64
	content string
}{
	{"image/root", 3, "root 3"},
	{"image/timestamp", 41, "timestamp 41"},
	{"issued/server-1", 7, "issue 7"},
}

// storedTime is the latest time in testdata/stored/versions.floor.
const storedTime = tufverify.Tick(987654321)

// TestOpen_StoredFileIsReadAndContinued opens a file that an earlier version of the program wrote, records more, and
// checks that the earlier content is still there after a restart.
func TestOpen_StoredFileIsReadAndContinued(t *testing.T) {
	stored := filepath.Join("testdata", "stored", "versions.floor")
	if golden.Updating() {
		writeStored(t, stored)
	}
	content, err := os.ReadFile(stored)
	must(t, err)
	path := filepath.Join(t.TempDir(), "versions")
	must(t, os.WriteFile(path, content, 0o600))
	store := openStore(t, path)
	if store.Created || store.TruncatedBytes != 0 {
		t.Errorf("created %v, %d bytes truncated; want an existing file without truncation", store.Created, store.TruncatedBytes)
	}
	checkStored(t, store, len(storedVersions))
	must(t, store.Record("image/timestamp", 42, sum("timestamp 42")))
	must(t, store.Record("new", 1, sum("new 1")))
	must(t, store.AdvanceTime(storedTime+1))
	must(t, store.Close())

	reopened := openStore(t, path)
	checkStored(t, reopened, len(storedVersions)+1)
	if version, s := reopened.Recorded("image/timestamp"); version != 42 || s != sum("timestamp 42") {
		t.Errorf("image/timestamp has version %d, want 42", version)
	}
	if reopened.TrustedTime() != storedTime+1 {
		t.Errorf("the time is %d, want the one recorded last", reopened.TrustedTime())
	}
}

// checkStored checks that the store has the given number of entries, and that each of storedVersions and storedTime is
// present or replaced by a newer one.
func checkStored(t *testing.T, store *Store, entries int) {
	t.Helper()
	if store.Len() != entries || store.TrustedTime() < storedTime {
		t.Errorf("%d entries and the time %d, want %d and at least %d", store.Len(), store.TrustedTime(), entries, storedTime)
	}
	for _, s := range storedVersions {
		version, content := store.Recorded(s.key)
		if version < s.version || version == s.version && content != sum(s.content) {
			t.Errorf("%s has version %d, want at least %d with the stored content", s.key, version, s.version)
		}
	}
}

// writeStored writes a new file at the path stored. The file is not compacted: it also contains an obsolete version and
// an obsolete time, each followed by a newer one.
func writeStored(t *testing.T, stored string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "versions")
	store := openStore(t, path)
	must(t, store.Record("image/root", 2, sum("root 2")))
	must(t, store.AdvanceTime(storedTime-1))
	for _, s := range storedVersions {
		must(t, store.Record(s.key, s.version, sum(s.content)))
	}
	must(t, store.AdvanceTime(storedTime))
	must(t, store.Close())
	content, err := os.ReadFile(path)
	must(t, err)
	must(t, os.MkdirAll(filepath.Dir(stored), 0o755))
	must(t, os.WriteFile(stored, content, 0o644))
}
