package edgenode

import (
	"fmt"
	"strings"
	"testing"

	"silvercove/internal/pgwire"
	"silvercove/internal/placement"
)

func TestCutOver_WhileInUse(t *testing.T) {
	c := newServingFleet(t, 2, true, "")
	a, b := dialNode(t, c.processes["edge-a"].peer.RequestAddress), dialNode(t, c.processes["edge-b"].peer.RequestAddress)
	for i := range 8 {
		if _, state := a.write(fmt.Sprint("w", i), "camera-7", make([]byte, 8<<10)); state != pgwire.StateSuccess {
			t.Fatal(state)
		}
	}
	c.startCopy("camera-7", "edge-b", true)
	// lastID is the ID of the last write that the former primary answered. At the end, the test repeats only this write, because an
	// instance may forget its answers to older writes.
	client, movedValue, lastID, lastValue := a, "", "w7", "9 1 edge-a"
	for i := 0; ; i++ {
		id := fmt.Sprint("m", i)
		v, state := client.write(id, "camera-7", []byte("x"))
		// The write was rejected and had no effect. The client sends it to the current primary, as a relay does.
		if state == pgwire.StateTooManyConnections {
			if client = a; c.assignment("camera-7").Primary == "edge-b" {
				client = b
			}
			i--
			continue
		}
		if state != pgwire.StateSuccess {
			t.Fatalf("write during the move: value %s, state %s", v, state)
		}
		if want := fmt.Sprintf("%d ", 10+i); !strings.HasPrefix(v, want) {
			t.Fatalf("write during the move: value %s, want the prefix %s", v, want)
		}
		if movedValue = v; strings.HasSuffix(v, "edge-b") {
			break
		}
		lastID, lastValue = id, v
	}
	if !strings.HasSuffix(movedValue, " 2 edge-b") {
		t.Error(movedValue)
	}
	if v, _ := b.write(lastID, "camera-7", nil); v != lastValue {
		t.Errorf("repeated write of the former primary: %s", v)
	}
	if _, state := a.read(); state != pgwire.StateTooManyConnections {
		t.Errorf("the former primary answers %s", state)
	}
}

func TestPlanner_MovesAndRepairsInstanceInUse(t *testing.T) {
	c := newTestFleet(t, 4, true, func(c *testFleet) {
		c.realPlanner = true
		for name, v := range map[string]float64{"copies": 1, "dwell": 0.2, "restart_after": 2, "silence": 1, "moves.unit": 8,
			"moves.link": 4, "moves.all": 64, "falls": 5, "edges": 4, "keepers": 1} {
			c.settings["fleet."+name] = v
		}
	})
	c.propose(placement.Operation{Kind: placement.OpCreate, Instance: "camera-7", Target: "edge-a", Zone: "north", Weight: 3})
	load := newWorkload(c)
	load.write()
	c.waitFor("a replica", func() bool { return len(c.assignment("camera-7").Replicas) > 0 })
	for range 50 {
		load.write()
	}
	if _, err := c.client.MoveDevice(t.Context(), "camera-7", "south"); err != nil {
		t.Fatal(err)
	}
	runsIn := func(zone string) bool {
		primary := c.processes[c.assignment("camera-7").Primary]
		return primary != nil && primary.peer.Zone == zone
	}
	c.waitFor("the instance runs in the zone of its device", func() bool { load.write(); return runsIn("south") })
	c.waitFor("a replica", func() bool {
		load.write()
		a := c.assignment("camera-7")
		return len(a.Replicas) > 0 && a.CopyTarget == ""
	})
	load.check()
	first := c.assignment("camera-7")
	c.kill(first.Primary)
	v := load.write()
	if a := c.assignment("camera-7"); a.Epoch <= first.Epoch || a.MissingEntries > 0 || strings.HasSuffix(v, first.Primary) {
		t.Errorf("after the failover: assignment %+v, before %+v; write: %s", a, first, v)
	}
	load.check()
	c.start(first.Primary)
	c.waitFor("a replica again", func() bool {
		load.write()
		a := c.assignment("camera-7")
		return len(a.Replicas) > 0 && a.CopyTarget == ""
	})
	load.check()
	// The primary and all replicas are killed together and started again with their disks.
	second := c.assignment("camera-7")
	holders := append([]string{second.Primary}, second.Replicas...)
	for _, name := range holders {
		c.kill(name)
	}
	for _, name := range holders {
		c.start(name)
	}
	load.write()
	if a := c.assignment("camera-7"); a.MissingEntries > 0 {
		t.Errorf("%+v", a)
	}
	load.check()
}
