package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"silvercove/internal/placement"
)

// A keeper that meets a step that it does not know ends before anything of the entry is carried out: to refuse it and go
// on would leave its table behind those of later keepers, unseen.
func TestAStepOfALaterVersionIsNotRefusedAndSteppedOver(t *testing.T) {
	first := placement.Operation{Version: 1, Kind: placement.OpCreate, Instance: "camera-0", Target: "edge-a", Weight: 1}
	for name, e := range map[string]placement.Operation{
		"version": {Version: 2, Kind: placement.OpMoveDevice, Instance: "camera-0", Epoch: 1, Zone: "south"},
		"kind":    {Version: 1, Kind: "merge", Instance: "camera-0", Epoch: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var ended error
			told := 0
			m := newStateMachine(func([]placement.Operation, []operationResult) { told++ }, func(err error) { ended = err })
			text, _ := json.Marshal(logEntry{FormatVersion: entryVersion, Operations: []placement.Operation{first, e}})
			m.Apply(&raft.Log{Index: 2, Term: 1, Data: text})
			if !errors.Is(ended, ErrNewerVersion) || told > 0 || m.assignmentsVersion() != 0 || m.lastApplied() != 0 {
				t.Errorf("%v; told %d, version %d, applied %d", ended, told, m.assignmentsVersion(), m.lastApplied())
			}
			text, _ = json.Marshal(logEntry{FormatVersion: entryVersion, Operations: []placement.Operation{first}})
			if m.Apply(&raft.Log{Index: 3, Term: 1, Data: text}); m.assignmentsVersion() != 0 {
				t.Error("it steps on")
			}
			if _, err := m.Snapshot(); err == nil && m.lastApplied() > 0 {
				t.Error("it writes a snapshot")
			}
		})
	}
}

// rewriteSnapshot has the newest snapshot of a stopped keeper replaced by one with another text.
func (c *testFleet) rewriteSnapshot(name string, change func([]byte) []byte) {
	c.t.Helper()
	snaps, err := raft.NewFileSnapshotStoreWithLogger(filepath.Join(c.dir, name), 2, hclog.NewNullLogger())
	if err != nil {
		c.t.Fatal(err)
	}
	list, err := snaps.List()
	if err != nil || len(list) == 0 {
		c.t.Fatalf("%v %v", list, err)
	}
	m, r, err := snaps.Open(list[0].ID)
	if err != nil {
		c.t.Fatal(err)
	}
	text, err := io.ReadAll(r)
	_ = r.Close()
	if err != nil {
		c.t.Fatal(err)
	}
	changed := change(text)
	if bytes.Equal(changed, text) {
		c.t.Fatalf("nothing was changed in %s", text)
	}
	time.Sleep(2 * time.Millisecond) // a snapshot's name has its millisecond
	sink, err := snaps.Create(m.Version, m.Index, m.Term, m.Configuration, m.ConfigurationIndex, addressCodec{})
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := sink.Write(changed); err != nil {
		c.t.Fatal(err)
	}
	if err := sink.Close(); err != nil {
		c.t.Fatal(err)
	}
}

// fleetWithSnapshots is one keeper with an instance, which wrote two snapshots and is stopped.
func fleetWithSnapshots(t *testing.T) *testFleet {
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

// Places of a later version are refused before the log is opened to others: raft would go on from an earlier snapshot.
func TestASnapshotWithPlacesOfALaterVersionIsRefused(t *testing.T) {
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
			t.Errorf("%v; it took part: %v", err, c.processes["keeper-1"].controller.raft.Load() != nil)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("it goes on")
	}
	if after := strings.Join(files(), " "); after != before {
		t.Errorf("%s, and were %s", after, before)
	}
}

// What a later program of the same version adds to the keeper's files is there again when it comes back.
func TestWhatALaterProgramAddedIsKept(t *testing.T) {
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
	k := c.processes["keeper-1"].controller
	if err := k.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	var backup bytes.Buffer
	if err := c.processes["edge-a"].client.Backup(testContext(t), &backup); err != nil || !strings.Contains(backup.String(), added) {
		t.Errorf("%v: %s", err, backup.String())
	}
	if err := k.disk.putMarker(k.disk.currentMarker()); err != nil {
		t.Fatal(err)
	}
	_ = c.stop("keeper-1")
	if text, err := os.ReadFile(path); err != nil || !bytes.Contains(text, []byte(added)) {
		t.Errorf("%s %v", text, err)
	}
	c.rewriteSnapshot("keeper-1", func(text []byte) []byte {
		if !bytes.Contains(text, []byte(added)) || !bytes.Contains(text, []byte("camera-2")) {
			t.Errorf("%s", text)
		}
		return append(text, ' ')
	})
}

// termRecorder notes the term that raft begins in.
type termRecorder struct {
	Store
	term *atomic.Uint64
}

func (s termRecorder) GetUint64(key []byte) (uint64, error) {
	v, err := s.Store.GetUint64(key)
	if bytes.Equal(key, raftTermKey) {
		s.term.Store(v)
	}
	return v, err
}

// A disk that is let in begins in the term of the keeper that let it in, so that it takes nothing from one that led before.
func TestAnEmptiedDiskTakesNothingOfATermBeforeItWasLetIn(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	c.start()
	name, begun := c.follower(), new(atomic.Uint64)
	c.waitFor("all take part", func() bool { return c.processes[name].controller.raft.Load() != nil })
	term := c.processes[c.waitForLeader()].controller.raft.Load().CurrentTerm()
	_ = c.stop(name)
	c.emptyStore(name)
	c.wrapStore[name] = func(s Store) Store { return termRecorder{s, begun} }
	c.start(name)
	c.waitFor("it takes part", func() bool { return c.processes[name].controller.raft.Load() != nil })
	if begun.Load() < term {
		t.Errorf("it begins in term %d, and was let in in %d", begun.Load(), term)
	}
}

// A call of a later version, or a step of a kind that is not known, is refused before anything has moved.
func TestCallsOfALaterVersionMoveNothing(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	if err := c.requestLease("edge-a", 5); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-7", "edge-a")
	k := c.processes["keeper-1"].controller
	before, client := k.raft.Load().LastIndex(), c.processes["edge-a"].network.Client()
	defer client.CloseIdleConnections()
	for path, body := range map[string]string{
		"lease":    `{"v":2,"unit":"edge-a","run":6}`,
		"device":   `{"v":2,"name":"camera-7","zone":"south"}`,
		"outcomes": `{"v":2,"units":[]}`,
		"join":     `{"v":2,"node":"keeper-1","store":"x"}`,
		"confirm":  `{"v":2,"term":1}`,
		"step":     `{"v":2,"kind":"drop","name":"camera-7","epoch":1,"by":"edge-a","to":"edge-b"}`,
		"step?1":   `{"v":1,"kind":"merge","name":"camera-7","epoch":1,"by":"edge-a"}`,
		"step?2":   `{"v":1,"kind":"fail","name":"camera-7","epoch":1,"by":"edge-a"}`,
	} {
		answer, err := client.Post("http://keeper-1/v1/"+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		said, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusBadRequest {
			t.Errorf("%s %s: %d %s", path, body, answer.StatusCode, said)
		}
	}
	if after := k.raft.Load().LastIndex(); after != before {
		t.Errorf("the agreed log goes on from %d to %d", before, after)
	}
	if p, ok := k.stateMachine.assignment("camera-7"); !ok || p.Revision != 1 {
		t.Errorf("%+v", p)
	}
}
