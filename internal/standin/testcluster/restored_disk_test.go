package testcluster

import (
	"strings"
	"testing"
	"time"

	"silvercove/internal/placement"
)

// Disks are replaced by an older copy from the same run, which lacks some effects. If another node can prove which effects the
// disk held, no effect may be lost. Otherwise, the node that serves the instance next must log that effects may be missing
// before any client can notice the loss. The assignment that the controllers return must then state the reason in
// UnverifiedReason.
func TestRestoredDisk_IsDetected(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name          string
		copies        string
		restoredNodes string // names of the nodes whose disk is replaced, separated by commas
		doubts        bool
	}{
		{"primary and replica", "1", "edge-a,edge-b", true},
		{"primary without replicas", "0", "edge-a", true},
		{"the primary", "1", "edge-a", false},
		{"the replica", "1", "edge-b", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() {
				t.Skip("real processes")
			}
			// The lease is long enough that no replica is dropped on a busy machine.
			c := New(t, 80, []string{"lease 4s", "silence 2s", "dwell 0s", "restart_after 4s",
				"copies " + tc.copies}, Node{Name: "keeper-1", Role: "keeper", Zone: "north"},
				Node{Name: "edge-a", Role: "edge", Zone: "north"}, Node{Name: "edge-b", Role: "edge", Zone: "north"})
			c.Start()
			c.Wait(0, "edge-a lease gained")
			c.Wait(0, "edge-b lease gained")
			if err := c.createInstance(t.Context(), "cam-1", "edge-a", "north"); err != nil {
				t.Fatal(err)
			}
			c.Wait(0, "edge-a acts cam-1@1")
			if tc.copies != "0" {
				c.waitForReplica(t, "cam-1")
			}
			var last Request
			// A node requests a lease each third of the lease duration, and reports its record count in the request. The
			// writes last longer than that, so at least one such request is sent during the writes.
			write := func() {
				for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
					last = c.writeUntilAcknowledged(t, "cam-1", "edge-a", "edge-b")
				}
			}
			write()
			saved := last
			c.playScript(t, "save "+tc.restoredNodes)
			write()
			c.playScript(t, "kill "+tc.restoredNodes)
			from := len(c.Events())
			c.playScript(t, "restore "+tc.restoredNodes+"\nstart "+tc.restoredNodes)
			next := c.writeUntilAcknowledged(t, "cam-1", "edge-a", "edge-b")
			doubts := ""
			for _, e := range c.Events()[from:] {
				if e.Is("* doubts cam-1") && e.Node != "keeper-1" && !e.At.After(next.End) {
					doubts = e.Why
				}
			}
			if !tc.doubts {
				if next.Seq != last.Seq+1 || doubts != "" {
					t.Errorf("next write %+v after %+v; doubts: %q", next, last, doubts)
				}
				c.checkRun(t)
				return
			}
			if !strings.Contains(doubts, "put back") || next.Seq > last.Seq || next.Seq < saved.Seq {
				t.Errorf("next write %+v after %+v, saved at %d; doubts: %q", next, last, saved.Seq, doubts)
			}
			c.Wait(from, "keeper-1 doubts cam-1")
			c.waitForAssignment(t, "cam-1", func(p placement.Assignment) bool { return strings.Contains(p.UnverifiedReason, "put back") })
			if shown, err := c.runControlProgram(t, "show", "edge-a"); err != nil || !strings.Contains(shown, "went on from effect") {
				t.Errorf("show: %v %s", err, shown)
			}
			// Missing effects must be reported only after the restart with the replaced disks. After a second restart with the
			// same disks, no node may report missing effects again.
			for node := range strings.SplitSeq(tc.restoredNodes, ",") {
				c.Wait(from, node+" disk all copies are verified")
			}
			write()
			at := len(c.Events())
			c.playScript(t, "kill "+tc.restoredNodes+"\nstart "+tc.restoredNodes)
			if again := c.writeUntilAcknowledged(t, "cam-1", "edge-a", "edge-b"); again.Seq != last.Seq+1 {
				t.Errorf("write after the restart: %+v after %+v", again, last)
			}
			for _, e := range c.Events()[at:] {
				if strings.Contains(e.Why, "put back") {
					t.Errorf("the instance is doubted again: %s %s", e.Node, e.Text())
				}
			}
		})
	}
}
