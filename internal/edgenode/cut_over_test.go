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
	at, value, last, earlier := a, "", "w7", "9 1 edge-a" // the last one of the earlier primary: older ones may be forgotten
	for i := 0; ; i++ {
		id := fmt.Sprint("m", i)
		v, state := at.write(id, "camera-7", []byte("x"))
		if state == pgwire.StateTooManyConnections { // never ran: the relay goes where it runs now
			if at = a; c.assignment("camera-7").Primary == "edge-b" {
				at = b
			}
			i--
			continue
		}
		if state != pgwire.StateSuccess {
			t.Fatalf("%s %s", v, state)
		}
		if want := fmt.Sprintf("%d ", 10+i); !strings.HasPrefix(v, want) {
			t.Fatalf("%s, not %s", v, want)
		}
		if value = v; strings.HasSuffix(v, "edge-b") {
			break
		}
		last, earlier = id, v
	}
	if !strings.HasSuffix(value, " 2 edge-b") {
		t.Error(value)
	}
	if v, _ := b.write(last, "camera-7", nil); v != earlier {
		t.Errorf("one of the earlier owner's asked for again: %s", v)
	}
	if _, state := a.read(); state != pgwire.StateTooManyConnections {
		t.Errorf("the earlier owner answers %s", state)
	}
}

func TestPlanner_MovesAndRepairsAnInstanceInUse(t *testing.T) {
	c := newTestFleet(t, 4, true, func(c *testFleet) {
		c.realPlanner = true
		for name, v := range map[string]float64{"copies": 1, "dwell": 0.2, "restart_after": 2, "silence": 1, "moves.unit": 8,
			"moves.link": 4, "moves.all": 64, "falls": 5, "edges": 4, "keepers": 1} {
			c.settings["fleet."+name] = v
		}
	})
	c.propose(placement.Operation{Kind: placement.OpCreate, Instance: "camera-7", Target: "edge-a", Zone: "north", Weight: 3})
	u := newWorkload(c)
	u.write()
	c.waitFor("a copy", func() bool { return len(c.assignment("camera-7").Replicas) > 0 })
	for range 50 {
		u.write()
	}
	if _, err := c.client.MoveDevice(t.Context(), "camera-7", "south"); err != nil {
		t.Fatal(err)
	}
	in := func(zone string) bool {
		owner := c.processes[c.assignment("camera-7").Primary]
		return owner != nil && owner.peer.Zone == zone
	}
	c.waitFor("it follows its device", func() bool { u.write(); return in("south") })
	c.waitFor("a copy", func() bool {
		u.write()
		p := c.assignment("camera-7")
		return len(p.Replicas) > 0 && p.CopyTarget == ""
	})
	u.check()
	first := c.assignment("camera-7")
	c.kill(first.Primary)
	v := u.write()
	if p := c.assignment("camera-7"); p.Epoch <= first.Epoch || p.MissingEntries > 0 || strings.HasSuffix(v, first.Primary) {
		t.Errorf("%+v after %+v, %s", p, first, v)
	}
	u.check()
	c.start(first.Primary)
	c.waitFor("a copy again", func() bool {
		u.write()
		p := c.assignment("camera-7")
		return len(p.Replicas) > 0 && p.CopyTarget == ""
	})
	u.check()
	second := c.assignment("camera-7") // primary and replicas at once, their disks kept
	all := append([]string{second.Primary}, second.Replicas...)
	for _, name := range all {
		c.kill(name)
	}
	for _, name := range all {
		c.start(name)
	}
	u.write()
	if p := c.assignment("camera-7"); p.MissingEntries > 0 {
		t.Errorf("%+v", p)
	}
	u.check()
}
