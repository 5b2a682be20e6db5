package controller

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"silvercove/internal/controllerclient"
)

// openedPosition opens a data directory as a controller does, and returns the position of its last entry.
func openedPosition(dir string) (controllerclient.LogPosition, error) {
	d, err := openStoreDir(dir, "vans", "keeper-1")
	if err != nil {
		return controllerclient.LogPosition{}, err
	}
	log, err := d.openLog()
	if err != nil {
		return controllerclient.LogPosition{}, err
	}
	_, last, err := d.openSnapshots(log, hclog.NewNullLogger())
	if err == nil && last.Index == 0 {
		err = ErrCorrupt // openStore reports this error for an empty log if the marker has Started set
	}
	return last, errors.Join(err, log.Close())
}

// storedFiles returns the paths of all files in the data directory dir except the marker (markerFile). The paths are relative
// to dir.
func storedFiles(t *testing.T, dir string) (files []string) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Base(path) == markerFile {
			return err
		}
		relative, err := filepath.Rel(dir, path)
		files = append(files, relative)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// A truncated file must either leave the last entry unchanged or be reported as corrupt. A shorter log must never be accepted.
func TestStoreDir_TruncatedFileIsWholeOrCorrupt(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	for i := range 50 {
		c.create("edge-a", fmt.Sprint("camera-", i), "edge-a")
	}
	ctrl := c.processes["keeper-1"].controller
	if err := ctrl.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		c.create("edge-a", fmt.Sprint("more-", i), "edge-a")
	}
	want := ctrl.store.lastPosition()
	_ = c.stop("keeper-1")
	dir := filepath.Join(c.dir, "keeper-1")
	if last, err := openedPosition(dir); err != nil || last != want {
		t.Fatalf("before truncation: %+v %v, want %+v", last, err, want)
	}
	random := rand.New(rand.NewPCG(4, 4))
	damaged, intact := 0, 0
	for _, file := range storedFiles(t, dir) {
		text, err := os.ReadFile(filepath.Join(dir, file))
		if err != nil {
			t.Fatal(err)
		}
		cuts := []int{0, 1, len(text) - 1}
		for range 25 {
			cuts = append(cuts, random.IntN(len(text)))
		}
		for i := 4096; i < len(text) && i < 20*4096; i += 4096 {
			cuts = append(cuts, i)
		}
		for _, size := range cuts {
			copied := t.TempDir()
			if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
				t.Fatal(err)
			}
			if err := os.Truncate(filepath.Join(copied, file), int64(size)); err != nil {
				t.Fatal(err)
			}
			switch last, err := openedPosition(copied); {
			case err == nil && last == want:
				intact++
			case errors.Is(err, ErrCorrupt):
				damaged++
			default:
				t.Errorf("%s truncated to %d of %d bytes: %+v %v", file, size, len(text), last, err)
			}
		}
	}
	if damaged == 0 || intact == 0 {
		t.Errorf("%d damaged, %d intact: the truncations do not cover both cases", damaged, intact)
	}
	t.Logf("%d damaged, %d intact", damaged, intact)
	if err := os.Truncate(filepath.Join(dir, logFile), 5000); err != nil {
		t.Fatal(err)
	}
	c.start("keeper-1") // the only controller of a fleet can't get the log from another controller
	if err := <-c.processes["keeper-1"].done; !errors.Is(err, ErrCorrupt) {
		t.Errorf("a truncated log of a single controller: %v", err)
	}
	c.processes["keeper-1"].cancel()
	c.processes["keeper-1"].cancel = nil
}

func TestStoreDir_NewerVersionIsRefused(t *testing.T) {
	for _, file := range []string{"marker", "snapshot", "entry"} {
		t.Run(file, func(t *testing.T) {
			c := newTestFleet(t, time.Second, 1, 1)
			c.start()
			c.create("edge-a", "camera-0", "edge-a")
			ctrl := c.processes["keeper-1"].controller
			dir := filepath.Join(c.dir, "keeper-1")
			waitForEnd := func() error {
				select {
				case err := <-c.processes["keeper-1"].done:
					c.processes["keeper-1"].cancel()
					c.processes["keeper-1"].cancel = nil
					return err
				case <-time.After(20 * time.Second):
					t.Fatal("the controller does not stop")
					return nil
				}
			}
			switch file {
			case "marker":
				_ = c.stop("keeper-1")
				marker := ctrl.disk.currentMarker()
				marker.FormatVersion = 2
				_ = ctrl.disk.putMarker(marker)
				c.start("keeper-1")
			case "snapshot":
				ctrl.stateMachine.mu.Lock()
				ctrl.stateMachine.header.FormatVersion = 2
				ctrl.stateMachine.mu.Unlock()
				if err := ctrl.raft.Load().Snapshot().Error(); err != nil {
					t.Fatal(err)
				}
				_ = c.stop("keeper-1")
				c.start("keeper-1")
			case "entry":
				if err := ctrl.raft.Load().Apply([]byte(`{"v":2,"steps":"of another kind"}`), time.Second).Error(); err != nil {
					t.Fatal(err)
				}
				if err := waitForEnd(); !errors.Is(err, ErrNewerVersion) {
					t.Errorf("when the entry is applied: %v", err)
				}
				c.start("keeper-1") // at this start, the controller reads the entry again from its log
			}
			if err := waitForEnd(); !errors.Is(err, ErrNewerVersion) {
				t.Errorf("Run ended with %v", err)
			}
			if files, _ := filepath.Glob(filepath.Join(dir, "*aside*")); len(files) > 0 {
				t.Errorf("files were set aside: %v", files)
			}
		})
	}
}
