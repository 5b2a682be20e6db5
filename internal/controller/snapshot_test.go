package controller

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// fleetWithSnapshots returns a fleet whose only controller has two instances, has written two snapshots and is stopped.
func fleetWithSnapshots(t *testing.T) *testFleet {
	t.Helper()
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	for _, name := range []string{"camera-0", "camera-1"} {
		c.create("edge-a", name, "edge-a")
		if err := c.processes["keeper-1"].controller.raft.Load().Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.stop("keeper-1")
	return c
}

// A snapshot with assignments of a later version is refused before raft starts. Otherwise raft would skip the snapshot and
// start from an earlier one.
func TestSnapshot_NewerTableVersionIsRefused(t *testing.T) {
	c := fleetWithSnapshots(t)
	c.rewriteSnapshot("keeper-1", func(text []byte) []byte {
		return bytes.Replace(text, []byte("\n"+`{"v":1,`), []byte("\n"+`{"v":2,`), 1)
	})
	files := func() (all []string) {
		all, _ = filepath.Glob(filepath.Join(c.dir, "keeper-1", "snapshots", "*"))
		return all
	}
	before := strings.Join(files(), " ")
	c.start("keeper-1")
	select {
	case err := <-c.processes["keeper-1"].done:
		c.processes["keeper-1"].cancel()
		c.processes["keeper-1"].cancel = nil
		if !errors.Is(err, ErrNewerVersion) || c.processes["keeper-1"].controller.raft.Load() != nil {
			t.Errorf("Run ended with %v; raft was started: %v", err, c.processes["keeper-1"].controller.raft.Load() != nil)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the controller does not stop")
	}
	if after := strings.Join(files(), " "); after != before {
		t.Errorf("the snapshots are %s, and were %s", after, before)
	}
}

// Fields that a later program adds to the controller's files without a change of their format version are kept when an earlier
// program rewrites the files.
func TestUnknownFields_AreKept(t *testing.T) {
	c := fleetWithSnapshots(t)
	const added = `"shards":{"of":3}`
	c.rewriteSnapshot("keeper-1", func(text []byte) []byte {
		return bytes.Replace(text, []byte(`{"v":1,`), []byte(`{"v":1,`+added+`,`), 1)
	})
	path := filepath.Join(c.dir, "keeper-1", markerFile)
	text, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, bytes.Replace(text, []byte(`{"v":1,`), []byte(`{"v":1,`+added+`,`), 1), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	c.start("keeper-1")
	c.waitForInstance("keeper-1", "camera-1")
	c.create("edge-a", "camera-2", "edge-a")
	ctrl := c.processes["keeper-1"].controller
	if err := ctrl.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	var backup bytes.Buffer
	if err := c.processes["edge-a"].client.Backup(testContext(t), &backup); err != nil || !strings.Contains(backup.String(), added) {
		t.Errorf("%v: %s", err, backup.String())
	}
	if err := ctrl.disk.putMarker(ctrl.disk.currentMarker()); err != nil {
		t.Fatal(err)
	}
	_ = c.stop("keeper-1")
	if text, err := os.ReadFile(path); err != nil || !bytes.Contains(text, []byte(added)) {
		t.Errorf("the marker without the added field: %s %v", text, err)
	}
	c.rewriteSnapshot("keeper-1", func(text []byte) []byte {
		if !bytes.Contains(text, []byte(added)) || !bytes.Contains(text, []byte("camera-2")) {
			t.Errorf("the snapshot without the added field or the new instance: %s", text)
		}
		return append(text, ' ')
	})
}
