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

// disk is a file that fails as its fields say.
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

func TestRaise_FailingDisk(t *testing.T) {
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
			path := filepath.Join(t.TempDir(), "versions")
			f := openStore(t, path)
			must(t, f.Record("k", 1, sum("1")))
			d := &disk{room: &atomic.Int64{}, sync: &atomic.Bool{}, fixed: &atomic.Bool{}}
			d.room.Store(c.room)
			d.sync.Store(c.sync)
			d.fixed.Store(c.fixed)
			f.WrapFiles(func(file File) File { d.File = file; return d })
			err := f.Record("k", 2, sum("2"))
			if err == nil || c.full && !errors.Is(err, syscall.ENOSPC) {
				t.Errorf("%v", err)
			}
			if v, _ := f.Recorded("k"); v != 1 {
				t.Errorf("%d is seen, though it is not durable", v)
			}
			d.room.Store(-1)
			d.sync.Store(false)
			err = f.Record("k", 3, sum("3"))
			if (err == nil) != c.goesOn || !c.goesOn && !errors.Is(err, ErrWriteFailed) {
				t.Errorf("afterwards: %v", err)
			}
			want, _ := f.Recorded("k")
			must(t, f.Close())
			f = openStore(t, path)
			if v, _ := f.Recorded("k"); v < want {
				t.Errorf("after a restart %d, it was %d", v, want)
			}
		})
	}
}

func TestRaise_GroupCommit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "versions")
	f := openStore(t, path)
	const many = 500
	var all sync.WaitGroup
	for i := range many {
		all.Go(func() {
			if err := f.Record(fmt.Sprint("server/", i), 1, sum("x")); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	if f.RaisedVersions != many || f.Syncs >= many {
		t.Errorf("%d raised by %d syncs", f.RaisedVersions, f.Syncs)
	}
	must(t, f.Close())
	if f = openStore(t, path); f.Len() != many {
		t.Errorf("%d entries", f.Len())
	}
}

func TestRaise_ConflictsWithinGroup(t *testing.T) {
	f := openStore(t, filepath.Join(t.TempDir(), "versions"))
	var won atomic.Int64
	var all sync.WaitGroup
	for i := range 50 {
		all.Go(func() {
			if f.Record("k", 7, sum(fmt.Sprint(i))) == nil {
				won.Add(1)
			}
		})
	}
	all.Wait()
	if won.Load() != 1 {
		t.Errorf("version 7 was given to %d contents", won.Load())
	}
}

func TestRaise_CompactsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "versions")
	f := openStore(t, path)
	for i := range int64(30_000) {
		f.mu.Lock()
		e := entry{i + 1, tufverify.Digest{}}
		f.next.records = appendEntry(f.next.records, "k", e) // as if raised, but synced at once
		f.next.entries["k"] = e
		f.mu.Unlock()
	}
	must(t, f.Record("other", 1, sum("x")))
	info, err := os.Stat(path)
	must(t, err)
	if f.Rewrites != 2 || info.Size() > 4096 {
		t.Errorf("written anew %d times, %d bytes", f.Rewrites, info.Size())
	}
	must(t, f.Record("k", 30_001, sum("y")))
	must(t, f.Close())
	if f = openStore(t, path); f.Len() != 2 {
		t.Errorf("%d entries", f.Len())
	}
	if v, _ := f.Recorded("k"); v != 30_001 {
		t.Errorf("version %d", v)
	}
}
