package controller

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"
)

func TestJoin_EmptiedStoreVotesOnceCaughtUp(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	c.start()
	for i := range 20 {
		c.create("edge-a", fmt.Sprint("camera-", i), "edge-a")
	}
	name := c.follower()
	before := c.processes[name].controller.disk.currentMarker()
	_ = c.stop(name)
	c.emptyStore(name)
	c.start(name)
	c.waitForInstance(name, "camera-19")
	c.waitFor("it votes again", func() bool { return c.isVoter(name) && c.processes[name].controller.disk.currentMarker().Started })
	if after := c.processes[name].controller.disk.currentMarker(); after.StoreID == before.StoreID || after.Founding || after.Origin.ID != before.Origin.ID {
		t.Errorf("%+v, before %+v", after, before)
	}
	other := c.follower()
	if other == name {
		other = c.waitForLeader()
	}
	_ = c.stop(other) // the one that was admitted makes the majority now
	c.waitForLeader(other)
	c.create("edge-a", "camera-20", "edge-a")
	_ = c.stop(name)
	c.start(name, other) // and starts as any other
	c.waitForInstance(name, "camera-20")
}

func TestJoin_DamagedStoreIsAdmittedAgain(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	name := c.follower()
	_ = c.stop(name)
	if err := os.Truncate(filepath.Join(c.dir, name, logFile), 0); err != nil {
		t.Fatal(err)
	}
	c.start(name)
	c.waitForInstance(name, "camera-0")
	c.waitFor("it votes again", func() bool { return c.isVoter(name) })
}

// termRecorder notes the term that raft begins in.
type termRecorder struct {
	Store
	term *atomic.Uint64
}

func (s termRecorder) GetUint64(key []byte) (uint64, error) {
	value, err := s.Store.GetUint64(key)
	if bytes.Equal(key, raftTermKey) {
		s.term.Store(value)
	}
	return value, err
}

// TestJoin_BeginsInTheAdmittingTerm: a disk begins in the term of the controller that admitted it, so that it takes nothing from
// one that led before.
func TestJoin_BeginsInTheAdmittingTerm(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	c.start()
	name, startTerm := c.follower(), new(atomic.Uint64)
	c.waitFor("all take part", func() bool { return c.processes[name].controller.raft.Load() != nil })
	term := c.processes[c.waitForLeader()].controller.raft.Load().CurrentTerm()
	_ = c.stop(name)
	c.emptyStore(name)
	c.wrapStore[name] = func(s Store) Store { return termRecorder{s, startTerm} }
	c.start(name)
	c.waitFor("it takes part", func() bool { return c.processes[name].controller.raft.Load() != nil })
	if startTerm.Load() < term {
		t.Errorf("it begins in term %d, and was let in in %d", startTerm.Load(), term)
	}
}
