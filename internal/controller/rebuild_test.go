package controller

import (
	"bytes"
	"context"
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// After all controllers' disks are lost, a rebuild from the edge nodes and a backup begins a new generation. The other
// controllers join the rebuilt controller with empty disks. Operations and incarnations from before the rebuild are refused.
func TestRebuild_AfterAMajorityOfDisksIsLost(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 2)
	c.start()
	a := c.processes["edge-a"].client
	if err := c.requestLease("edge-a", 8); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-7", "edge-a")
	c.create("edge-a", "camera-8", "edge-b")
	var backup bytes.Buffer
	if err := a.Backup(testContext(t), &backup); err != nil {
		t.Fatal(err)
	}
	if n, err := CheckBackup(bytes.NewReader(backup.Bytes())); n != 2 || err != nil {
		t.Errorf("the backup has %d instances: %v", n, err)
	}
	if _, err := CheckBackup(bytes.NewReader(backup.Bytes()[:backup.Len()-9])); err == nil {
		t.Error("a truncated backup passes the check")
	}
	lineage := a.Lineage()
	c.serveInventory("edge-a", controllerclient.Inventory{Version: 1, Node: "edge-a", Incarnation: 8, Lineage: lineage, Copies: []replica.CopyStatus{
		{Instance: "camera-7", Epoch: 4, Index: 3, LastEpoch: 4, Checksum: 9, IsPrimary: true}, {Instance: "camera-9", Epoch: 2, Index: 1, LastEpoch: 2, Checksum: 1, IsPrimary: true}}})
	var notes []string
	rebuild := func(allowUnreachable ...string) error {
		t.Helper()
		return c.rebuild("keeper-1", backup.Bytes(), allowUnreachable, func(note string) { notes = append(notes, note) })
	}
	if err := rebuild(); err == nil || !strings.Contains(err.Error(), "no rebuild is needed") {
		t.Errorf("while the controllers have a majority: %v", err)
	}
	for _, name := range controllerNames {
		_ = c.stop(name)
		c.emptyStore(name)
	}
	_ = c.stop("edge-b")
	if err := rebuild(); err == nil || !strings.Contains(err.Error(), "edge-b") {
		t.Errorf("with an unreachable edge node: %v", err)
	}
	if err := rebuild("edge-b"); err != nil {
		t.Fatal(err)
	}
	if text := strings.Join(notes, "\n"); !strings.Contains(text, "camera-8: lost: no unit that answered has it") {
		t.Error(text)
	}
	// This is a second rebuild, before any node has learned of the first rebuild's generation.
	if err := rebuild("edge-b"); err != nil {
		t.Fatal(err)
	}
	link := c.mesh.Link("keeper-2", "keeper-1")
	link.Refuse(true) // keeper-2 answers status queries but can't join
	c.start("keeper-1", "keeper-2")
	if c.waitForLeader() != "keeper-1" {
		t.Error("the rebuilt controller does not lead")
	}
	shortContext, stop := context.WithTimeout(t.Context(), 3*time.Second)
	if _, _, err := a.RequestLease(shortContext, controllerclient.LeaseRequest{Node: "edge-a", Incarnation: 8}); err == nil {
		t.Error("a rebuilt controller without a majority of the three grants a lease: another one may have been rebuilt, too")
	}
	stop()
	link.Refuse(false)
	c.start("keeper-3")
	all, err := a.Assignments(testContext(t), 0)
	if err != nil || len(all.Assignments) != 3 || all.Generation != lineage.Generation+2 || all.OriginID == lineage.OriginID {
		t.Fatalf("the assignments after the rebuild: %+v %v", all, err)
	}
	checkRebuiltAssignments(t, all.Assignments)
	c.waitFor("the emptied controllers vote", func() bool { return c.isVoter("keeper-2") && c.isVoter("keeper-3") })
	if err := c.requestLease("edge-a", 7); err == nil {
		t.Error("the rebuilt controllers grant an earlier incarnation a lease")
	}
	if err := c.requestLease("edge-a", 8); err != nil {
		t.Error(err)
	}
	if _, err := a.Propose(testContext(t), placement.Operation{Kind: placement.OpReplicaReady, Instance: "camera-7", Epoch: 4, Node: "edge-a", Target: "edge-b"}); !errors.Is(err, placement.ErrStaleEpoch) {
		t.Errorf("an operation from before the rebuild: %v", err)
	}
	checkEmptiedControllersRefused(t, c)
}

// checkEmptiedControllersRefused checks that a node refuses a lease after all controllers have restarted with empty disks and
// without a rebuild. Their new log has another origin than the log that the node accepted before (controllerclient.Lineage).
func checkEmptiedControllersRefused(t *testing.T, c *testFleet) {
	t.Helper()
	for _, name := range controllerNames {
		_ = c.stop(name)
		c.emptyStore(name)
	}
	c.start(controllerNames...)
	c.waitForLeader()
	if err := c.requestLease("edge-a", 9); !errors.Is(err, controllerclient.ErrOtherLineage) {
		t.Errorf("a lease of controllers with empty disks: %v", err)
	}
}

// controllerNames lists the names of the controllers in a fleet with three controllers.
var controllerNames = []string{"keeper-1", "keeper-2", "keeper-3"}

// checkRebuiltAssignments checks the assignments after the rebuild.
func checkRebuiltAssignments(t *testing.T, assignments []placement.Assignment) {
	t.Helper()
	for i, want := range []struct {
		// node is the primary. If there is no primary because the former primary's lease has expired, node is the first
		// replica, or "" if there is no replica.
		node  string
		epoch uint64
	}{{"edge-a", 1004}, {"", 1001}, {"edge-a", 1002}} {
		a := assignments[i]
		node := a.Primary
		if len(a.Replicas) > 0 && node == "" {
			node = a.Replicas[0]
		}
		if node != want.node || a.Epoch != want.epoch || (a.State == placement.Lost) != (a.Primary == "") {
			t.Errorf("a rebuilt assignment: %+v", a)
		}
	}
}

// rebuild runs Rebuild for a stopped controller, with a network and a client of its own, as a separate process has.
func (c *testFleet) rebuild(name string, backup []byte, allowUnreachable []string, progress func(string)) error {
	c.t.Helper()
	self := peertransport.Peer{Name: name, Role: peertransport.RoleController, Address: "127.0.0.1:0"}
	network, err := peertransport.Open("vans", self, c.mesh.PeersOf(name), zerolog.Nop())
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- network.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			c.t.Error(err)
		}
	}()
	client := controllerclient.New(network, c.settings, 1)
	defer client.Close()
	return Rebuild(testContext(c.t), RebuildOptions{
		Network:          network,
		DataDir:          filepath.Join(c.dir, name),
		Settings:         c.settings,
		Client:           client,
		Backup:           bytes.NewReader(backup),
		AllowUnreachable: allowUnreachable,
		Progress:         progress,
	})
}
