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

// A controller that restarts with an empty disk is admitted with a new identity, votes after it has caught up, and then counts
// towards a majority and restarts like any other controller.
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
	c.waitFor("the emptied store votes again", func() bool { return c.isVoter(name) && c.processes[name].controller.disk.currentMarker().Started })
	if after := c.processes[name].controller.disk.currentMarker(); after.StoreID == before.StoreID || after.Founding || after.Origin.ID != before.Origin.ID {
		t.Errorf("%+v, before %+v", after, before)
	}
	stopped := c.follower()
	if stopped == name {
		stopped = c.waitForLeader()
	}
	_ = c.stop(stopped) // with this controller stopped, a majority needs the admitted controller
	c.waitForLeader(stopped)
	c.create("edge-a", "camera-20", "edge-a")
	_ = c.stop(name)
	c.start(name, stopped) // the admitted controller restarts like any other
	c.waitForInstance(name, "camera-20")
}

// A controller whose log is damaged sets the log aside and is admitted again with an empty store.
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
	c.waitFor("the damaged store votes again", func() bool { return c.isVoter(name) })
}

// termRecorder records the last term that raft has read from the store, which is the term in which raft starts.
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

// An admitted disk begins in the term of the leader that admitted it, so that it refuses entries of an earlier leader.
func TestJoin_BeginsInTheAdmittingTerm(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	c.start()
	name, startTerm := c.follower(), new(atomic.Uint64)
	c.waitFor("the controller takes part in the log", func() bool { return c.processes[name].controller.raft.Load() != nil })
	term := c.processes[c.waitForLeader()].controller.raft.Load().CurrentTerm()
	_ = c.stop(name)
	c.emptyStore(name)
	c.wrapStore[name] = func(s Store) Store { return termRecorder{s, startTerm} }
	c.start(name)
	c.waitFor("the emptied controller takes part in the log", func() bool { return c.processes[name].controller.raft.Load() != nil })
	if startTerm.Load() < term {
		t.Errorf("the disk begins in term %d, but was admitted in term %d", startTerm.Load(), term)
	}
}
