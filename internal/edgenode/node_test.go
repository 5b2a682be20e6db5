package edgenode

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvercove/internal/instancestore"
	"silvercove/internal/pgwire"
)

func TestNode_HandsItsInstancesOnAtTermination(t *testing.T) {
	c := newServingFleet(t, 2, true, "edge-b")
	n := c.processes["edge-a"]
	n.terminate()
	select {
	case err := <-n.done:
		if n.kill = nil; err != nil {
			t.Error(err)
		}
	case <-time.After(maxTerminationLeases*testLease + 5*time.Second):
		t.Fatal("it does not end")
	}
	if p := c.assignment("camera-7"); p.Primary != "edge-b" || p.Epoch != 2 {
		t.Errorf("%+v", p)
	}
	if !strings.Contains(c.log.String(), `"why":"handed over"`) {
		t.Error("no handover, but a fall")
	}
}

func TestNode_TwoOfOneNameDoNotBothServe(t *testing.T) {
	c := newServingFleet(t, 2, false, "")
	n := c.processes["edge-a"]
	twin := *n
	twin.peer.Address, twin.peer.RequestAddress = freeAddress(t), freeAddress(t)
	c.processes["edge-a"] = &twin
	c.start("edge-a")
	k := dialNode(t, twin.peer.RequestAddress)
	c.waitFor("the twin is refused", func() bool { return strings.Contains(c.log.String(), "not renewed") })
	if _, state := k.read(); state != pgwire.StateTooManyConnections {
		t.Errorf("the twin answers %s", state)
	}
	if v, _ := dialNode(t, n.peer.RequestAddress).read(); v != "1 1 edge-a" {
		t.Errorf("the first one answers %s", v)
	}
	c.kill("edge-a")
	c.processes["edge-a"] = n
}

// TestNote_KeepsUnknownFields: what a later program of the same version adds to the node's note is there again when it comes back.
func TestNote_KeepsUnknownFields(t *testing.T) {
	c := newServingFleet(t, 2, true, "edge-b")
	folder := filepath.Join(c.dir, "edge-b")
	noted := func(change func(string) string) (text string) {
		s, _, b, err := instancestore.Open(folder, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		if text = string(b); change != nil {
			s.SetNote([]byte(change(text)), nil)
		}
		stop := make(chan struct{})
		close(stop)
		s.Run(stop)
		return text
	}
	c.kill("edge-b")
	const added = `,"shards":{"of":3}}`
	before := noted(func(text string) string { return strings.TrimSuffix(text, "}") + added })
	c.start("edge-b")
	c.waitFor("edge-b has noted its start", func() bool {
		return c.processes["edge-b"].node.unreadyReason() == ""
	})
	c.kill("edge-b")
	if after := noted(nil); after == before || !strings.HasSuffix(after, added) {
		t.Errorf("%s, and was %s", after, before)
	}
}
