package monotonic

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"silvercove/internal/tufverify"
)

// faultyFile is a file whose operations fail as configured by its fields.
type faultyFile struct {
	File
	writeLimit   *atomic.Int64 // a write of more bytes than this stores only this number of bytes and fails; negative means no limit
	failSync     *atomic.Bool
	failTruncate *atomic.Bool
}

func (d *faultyFile) Write(p []byte) (int, error) {
	if limit := d.writeLimit.Load(); limit >= 0 && int64(len(p)) > limit {
		n, _ := d.File.Write(p[:limit])
		return n, syscall.ENOSPC
	}
	return d.File.Write(p)
}

func (d *faultyFile) Sync() error {
	if d.failSync.Load() {
		return syscall.EIO
	}
	return d.File.Sync()
}

func (d *faultyFile) Truncate(size int64) error {
	if d.failTruncate.Load() {
		return syscall.EIO
	}
	return d.File.Truncate(size)
}

func TestRecord_FailingDisk(t *testing.T) {
	for _, c := range []struct {
		name                      string
		writeLimit                int64
		failSync, failTruncate    bool
		wantRecovery, wantNoSpace bool
	}{
		{"disk full", 10, false, false, true, true},
		{"disk full, and truncation fails", 10, false, true, false, true},
		{"sync fails", -1, true, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "versions")
			store := openStore(t, path)
			must(t, store.Record("k", 1, sum("1")))
			d := &faultyFile{writeLimit: &atomic.Int64{}, failSync: &atomic.Bool{}, failTruncate: &atomic.Bool{}}
			d.writeLimit.Store(c.writeLimit)
			d.failSync.Store(c.failSync)
			d.failTruncate.Store(c.failTruncate)
			store.WrapFiles(func(file File) File { d.File = file; return d })
			err := store.Record("k", 2, sum("2"))
			if err == nil || c.wantNoSpace && !errors.Is(err, syscall.ENOSPC) {
				t.Errorf("write to the failing disk: %v", err)
			}
			if v, _ := store.Recorded("k"); v != 1 {
				t.Errorf("version %d is returned, but it is not durable", v)
			}
			d.writeLimit.Store(-1)
			d.failSync.Store(false)
			err = store.Record("k", 3, sum("3"))
			if (err == nil) != c.wantRecovery || !c.wantRecovery && !errors.Is(err, ErrWriteFailed) {
				t.Errorf("write after the disk has recovered: %v", err)
			}
			want, _ := store.Recorded("k")
			must(t, store.Close())
			store = openStore(t, path)
			if v, _ := store.Recorded("k"); v < want {
				t.Errorf("version %d after a restart, want at least %d", v, want)
			}
		})
	}
}

func TestRecord_GroupCommit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "versions")
	store := openStore(t, path)
	const callers = 500
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			if err := store.Record(fmt.Sprint("server/", i), 1, sum("x")); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if store.RecordedVersions != callers || store.Commits >= callers {
		t.Errorf("%d versions recorded by %d commits", store.RecordedVersions, store.Commits)
	}
	must(t, store.Close())
	if store = openStore(t, path); store.Len() != callers {
		t.Errorf("%d entries", store.Len())
	}
}

func TestRecord_ConflictsWithinBatch(t *testing.T) {
	store := openStore(t, filepath.Join(t.TempDir(), "versions"))
	var accepted atomic.Int64
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			if store.Record("k", 7, sum(fmt.Sprint(i))) == nil {
				accepted.Add(1)
			}
		})
	}
	wg.Wait()
	if accepted.Load() != 1 {
		t.Errorf("version 7 was recorded with %d different contents", accepted.Load())
	}
}

func TestRecord_CompactsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "versions")
	store := openStore(t, path)
	for i := range int64(30_000) {
		store.mu.Lock()
		e := entry{i + 1, tufverify.Digest{}}
		store.next.records = appendEntry(store.next.records, "k", e) // queues a record as Record does, but does not commit it: the call of Record below syncs all records at once
		store.next.entries["k"] = e
		store.mu.Unlock()
	}
	must(t, store.Record("other", 1, sum("x")))
	info, err := os.Stat(path)
	must(t, err)
	if store.Rewrites != 2 || info.Size() > 4096 {
		t.Errorf("%d rewrites, %d bytes; want 2 rewrites", store.Rewrites, info.Size())
	}
	must(t, store.Record("k", 30_001, sum("y")))
	must(t, store.Close())
	if store = openStore(t, path); store.Len() != 2 {
		t.Errorf("%d entries", store.Len())
	}
	if v, _ := store.Recorded("k"); v != 30_001 {
		t.Errorf("version %d, want 30001", v)
	}
}
