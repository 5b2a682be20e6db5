package controller

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var updateStored = flag.Bool("update", false, "rewrite testdata/stored")

// storedEntries are the log entries that precede raft's snapshot in testdata/stored. storedLaterEntries are the
// log entries that follow the snapshot. The two lists together contain every kind of entry and operation.
var (
	storedEntries = []string{
		`{"v":1,"unit":"edge-a","run":5}`,
		`{"v":1,"unit":"edge-b","run":8}`,
		`{"v":1,"kept":{"edge-a":77,"edge-b":12}}`,
		`{"v":1,"steps":[{"v":1,"kind":"create","name":"camera-1","to":"edge-a","zone":"north","weight":3,"size":10,"seq":2},` +
			`{"v":1,"kind":"create","name":"camera-2","to":"edge-a","zone":"north","weight":5},` +
			`{"v":1,"kind":"create","name":"camera-3","to":"edge-b"},{"v":1,"kind":"create","name":"camera-4","to":"edge-b"},` +
			`{"v":1,"kind":"create","name":"camera-5","to":"edge-b"}]}`,
		`{"v":1,"steps":[{"v":1,"kind":"begin","name":"camera-1","epoch":1,"by":"edge-a"},` +
			`{"v":1,"kind":"copy","name":"camera-1","epoch":1,"change":2,"to":"edge-b","switch":true,"reason":"its device is in south"},` +
			`{"v":1,"kind":"synced","name":"camera-1","epoch":1,"by":"edge-a","to":"edge-b","seq":6,"size":1234},` +
			`{"v":1,"kind":"switch","name":"camera-1","epoch":1,"by":"edge-a","to":"edge-b","seq":7}]}`,
		`{"v":1,"steps":[{"v":1,"kind":"copy","name":"camera-2","epoch":1,"to":"edge-b"},` +
			`{"v":1,"kind":"synced","name":"camera-2","epoch":1,"by":"edge-a","to":"edge-b","seq":4},` +
			`{"v":1,"kind":"fail","name":"camera-2","epoch":1,"by":"edge-a","to":"edge-b","reason":"edge-a fell"},` +
			`{"v":1,"kind":"forget","name":"camera-5","epoch":1,"by":"edge-b"}]}`,
		`{"v":1,"doubts":[{"name":"camera-2","epoch":2,"seq":4,"why":"its disk may be behind"}]}`,
	}
	storedLaterEntries = []string{
		`{"v":1,"unit":"edge-b","run":9}`,
		`{"v":1,"kept":{"edge-a":80,"edge-b":0}}`,
		`{"v":1,"steps":[{"v":1,"kind":"cross","name":"camera-1","zone":"west"},` +
			`{"v":1,"kind":"drop","name":"camera-1","epoch":2,"by":"edge-b","to":"edge-a","seq":9},` +
			`{"v":1,"kind":"copy","name":"camera-1","epoch":2,"to":"edge-a","switch":true}]}`,
		`{"v":1,"steps":[{"v":1,"kind":"copy","name":"camera-2","epoch":2,"to":"edge-a"},` +
			`{"v":1,"kind":"back","name":"camera-2","epoch":2,"to":"edge-a"},` +
			`{"v":1,"kind":"steady","name":"camera-2","epoch":2}]}`,
		`{"v":1,"steps":[{"v":1,"kind":"fail","name":"camera-3","epoch":1,"by":"edge-b"},` +
			`{"v":1,"kind":"restart","name":"camera-3","epoch":1,"to":"edge-a","seq":0},` +
			`{"v":1,"kind":"copy","name":"camera-3","epoch":2,"to":"edge-b"},` +
			`{"v":1,"kind":"synced","name":"camera-3","epoch":2,"by":"edge-a","to":"edge-b"},` +
			`{"v":1,"kind":"lacks","name":"camera-3","epoch":2,"by":"edge-a","to":"edge-b"},` +
			`{"v":1,"kind":"quarantine","name":"camera-4","epoch":1,"by":"edge-b"},` +
			`{"v":1,"kind":"release","name":"camera-4","epoch":1,"to":"edge-b"},` +
			`{"v":1,"kind":"quarantine","name":"camera-4","epoch":2,"by":"edge-b"}]}`,
		`{"v":1,"doubts":[{"name":"camera-3","epoch":3,"seq":0,"why":"another doubt"}]}`,
	}
)

// A controller can read the snapshot and the log of a data directory that an earlier version of the program wrote, and can
// continue the log.
func TestStoredFolder_IsReadAndContinued(t *testing.T) {
	stored := filepath.Join("testdata", "stored")
	if *updateStored {
		writeStoredFolder(t, stored)
	}
	want, err := os.ReadFile(filepath.Join(stored, "agreed.snapshot"))
	if err != nil {
		t.Fatal(err)
	}
	c := newStoredFleet(t)
	if err := os.CopyFS(filepath.Join(c.dir, "keeper-1"), os.DirFS(filepath.Join(stored, "keeper-1"))); err != nil {
		t.Fatal(err)
	}
	c.start()
	c.waitForLeader()
	if got := snapshotBytes(t, c); !bytes.Equal(got, want) {
		t.Errorf("the state is read as\n%s\nwant\n%s", got, want)
	}
	marker, err := os.ReadFile(filepath.Join(stored, "keeper-1", markerFile))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(filepath.Join(c.dir, "keeper-1", markerFile)); err != nil || !bytes.Equal(got, marker) {
		t.Errorf("%v: the marker file is %s, was %s", err, got, marker)
	}
	current := c.processes["keeper-1"].controller.disk.currentMarker()
	if len(current.unknown) > 0 {
		t.Errorf("unknown fields in the marker: %v", current.unknown)
	}
	if got, err := json.Marshal(current); err != nil || !bytes.Equal(got, marker) {
		t.Errorf("%v: the marker is read as %s, was %s", err, got, marker)
	}
	c.create("edge-a", "camera-9", "edge-a")
	if err := c.processes["keeper-1"].controller.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-10", "edge-a")
	if err := c.stop("keeper-1"); err != nil {
		t.Fatal(err)
	}
	c.start("keeper-1")
	c.waitForInstance("keeper-1", "camera-9")
	c.waitForInstance("keeper-1", "camera-10")
	before := assignmentLines(t, want)
	after := assignmentLines(t, snapshotBytes(t, c))
	for name, assignment := range before {
		if after[name] != assignment {
			t.Errorf("the assignment of %s was\n%s\nand is\n%s", name, assignment, after[name])
		}
	}
	if len(after) != len(before)+2 {
		t.Errorf("%d instances after the restart, want %d and two new ones", len(after), len(before))
	}
}

// newStoredFleet returns a fleet with one controller whose planner proposes nothing.
func newStoredFleet(t *testing.T) *testFleet {
	t.Helper()
	c := newTestFleet(t, time.Second, 1, 2)
	c.newPlanner = func(h Host) Planner {
		return &idlePlanner{*newFailoverPlanner(h)}
	}
	return c
}

// snapshotBytes returns the controller's state in the snapshot format, with 0 as the index of the last applied entry, because
// each start increases that index.
func snapshotBytes(t *testing.T, c *testFleet) []byte {
	t.Helper()
	var buf bytes.Buffer
	frozen := c.processes["keeper-1"].controller.stateMachine.freeze()
	frozen.header.Applied = 0
	if _, err := frozen.WriteTo(&buf); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// assignmentLines returns, by instance, the line of the instance's assignment in a snapshot.
func assignmentLines(t *testing.T, snapshot []byte) map[string]string {
	t.Helper()
	byName := map[string]string{}
	lines := strings.Split(strings.TrimSpace(string(snapshot)), "\n")
	for _, line := range lines[2:] { // the first two lines are the headers of the snapshot and of the table
		var assignment struct{ Name string }
		if err := json.Unmarshal([]byte(line), &assignment); err != nil {
			t.Fatal(err)
		}
		byName[assignment.Name] = line
	}
	return byName
}

// writeStoredFolder replaces the stored data directory with the directory of a controller that has applied storedEntries,
// written a snapshot and then applied storedLaterEntries.
func writeStoredFolder(t *testing.T, stored string) {
	t.Helper()
	c := newStoredFleet(t)
	c.start()
	c.waitForLeader()
	apply := func(entries []string) {
		t.Helper()
		for _, text := range entries {
			future := c.processes["keeper-1"].controller.raft.Load().Apply([]byte(text), 10*time.Second)
			if err := future.Error(); err != nil {
				t.Fatalf("%s: %v", text, err)
			}
			switch response := future.Response().(type) {
			case error:
				t.Fatalf("%s: %v", text, response)
			case []operationResult:
				for i, r := range response {
					if r.err != nil {
						t.Fatalf("%s: operation %d: %v", text, i, r.err)
					}
				}
			}
		}
	}
	apply(storedEntries)
	if err := c.processes["keeper-1"].controller.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	apply(storedLaterEntries)
	state := snapshotBytes(t, c)
	if err := c.stop("keeper-1"); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(stored); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(stored, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(stored, "agreed.snapshot"), state, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(stored, "keeper-1"), os.DirFS(filepath.Join(c.dir, "keeper-1"))); err != nil {
		t.Fatal(err)
	}
}
