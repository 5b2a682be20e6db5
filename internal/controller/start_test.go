package controller

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// If two of three controllers restart with empty disks, they do not form a majority but wait, and the third controller, whose
// disk is intact, does not lead alone.
func TestStart_TwoEmptiedStoresAreNoMajority(t *testing.T) {
	c := newTestFleet(t, 500*time.Millisecond, 3, 1)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	intact := c.follower()
	c.waitForInstance(intact, "camera-0")
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		_ = c.stop(name)
		if name != intact {
			c.emptyStore(name)
		}
	}
	c.start("keeper-1", "keeper-2", "keeper-3")
	c.waitFor("the controller with its log runs raft", func() bool { return c.processes[intact].controller.raft.Load() != nil })
	c.waitFor("the emptied controllers know that the fleet's log exists", func() bool {
		waiting := 0
		for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
			s, _ := c.processes[name].controller.handleStatus(call[struct{}]{})
			if strings.Contains(s.Reason, "the fleet's log exists") {
				waiting++
			}
		}
		return waiting == 2
	})
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		if role := c.role(name); role == "leader" || name != intact && role != "waits" {
			t.Errorf("%s has role %s", name, role)
		}
	}
	if _, ok := c.processes[intact].controller.stateMachine.assignment("camera-0"); ok && c.role(intact) == "leader" {
		t.Error("the controller with its log leads alone")
	}
}

// A controller whose data directory was restored from an earlier copy lacks entries that it had acknowledged. It sets the
// outdated log aside and is admitted with a new identity.
func TestStart_OutdatedStoreIsArchived(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	name := c.follower()
	c.waitForInstance(name, "camera-0")
	_ = c.stop(name)
	restore := c.copyStore(name)
	c.start(name)
	c.create("edge-a", "camera-1", "edge-a")
	// The controller has acknowledged the entry of camera-1, and the leader may have counted the controller among the
	// majority that stores the entry.
	c.waitForInstance(name, "camera-1")
	store := c.processes[name].controller.disk.currentMarker().StoreID
	_ = c.stop(name)
	restore()
	c.start(name)
	c.waitForInstance(name, "camera-1")
	c.waitFor("the controller votes again", func() bool { return c.isVoter(name) })
	if c.processes[name].controller.disk.currentMarker().StoreID == store || !c.log.contains("the disk is outdated") {
		t.Error("the outdated store was used")
	}
	aside, _ := filepath.Glob(filepath.Join(c.dir, name, logFile+".aside-*"))
	if len(aside) != 1 {
		t.Errorf("set aside: %v", aside)
	}
}
