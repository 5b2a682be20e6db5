package edgenode

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvercove/internal/instancestore"
	"silvercove/internal/pgwire"
)

func TestNode_TerminationHandsOverInstances(t *testing.T) {
	c := newServingFleet(t, 2, true, "edge-b")
	p := c.processes["edge-a"]
	p.terminate()
	select {
	case err := <-p.done:
		if p.kill = nil; err != nil {
			t.Error(err)
		}
	case <-time.After(maxTerminationLeases*testLease + 5*time.Second):
		t.Fatal("the node does not stop")
	}
	if a := c.assignment("camera-7"); a.Primary != "edge-b" || a.Epoch != 2 {
		t.Errorf("%+v", a)
	}
	if !strings.Contains(c.log.String(), `"why":"handed over"`) {
		t.Error("failover instead of a handover")
	}
}

func TestNode_DuplicateNameDoesNotServe(t *testing.T) {
	c := newServingFleet(t, 2, false, "")
	first := c.processes["edge-a"]
	duplicate := *first
	duplicate.peer.Address, duplicate.peer.RequestAddress = freeAddress(t), freeAddress(t)
	c.processes["edge-a"] = &duplicate
	c.start("edge-a")
	client := dialNode(t, duplicate.peer.RequestAddress)
	c.waitFor("the duplicate is refused", func() bool { return strings.Contains(c.log.String(), "not renewed") })
	if _, state := client.read(); state != pgwire.StateTooManyConnections {
		t.Errorf("the duplicate answers %s", state)
	}
	if v, _ := dialNode(t, first.peer.RequestAddress).read(); v != "1 1 edge-a" {
		t.Errorf("the first one answers %s", v)
	}
	c.kill("edge-a")
	c.processes["edge-a"] = first
}

// TestNote_KeepsUnknownFields guards against a loss of fields in the node's note (see type note). A later program may add
// fields without a new format version. This program must keep them in the note, so that the later program finds them when it
// runs again.
func TestNote_KeepsUnknownFields(t *testing.T) {
	c := newServingFleet(t, 2, true, "edge-b")
	dir := filepath.Join(c.dir, "edge-b")
	editNote := func(change func(string) string) (text string) {
		store, _, note, err := instancestore.Open(dir, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		if text = string(note); change != nil {
			store.SetNote([]byte(change(text)), nil)
		}
		stop := make(chan struct{})
		close(stop)
		store.Run(stop)
		return text
	}
	c.kill("edge-b")
	const added = `,"shards":{"of":3}}`
	before := editNote(func(text string) string { return strings.TrimSuffix(text, "}") + added })
	c.start("edge-b")
	c.waitFor("edge-b has written its note", func() bool {
		return c.processes["edge-b"].node.unreadyReason() == ""
	})
	c.kill("edge-b")
	if after := editNote(nil); after == before || !strings.HasSuffix(after, added) {
		t.Errorf("the note is %s, and was %s", after, before)
	}
}
