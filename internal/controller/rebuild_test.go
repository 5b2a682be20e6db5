package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// serveInventory has a unit answer what it holds.
func (c *testFleet) serveInventory(unit string, h controllerclient.Inventory) {
	n := c.processes[unit]
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/holds", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(h) })
	server := &http.Server{Handler: mux}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(n.network.Listener(peertransport.KindHTTP)) }()
	c.t.Cleanup(func() { _ = server.Close(); <-done })
}

func TestAFleetIsRebuiltAfterAMajorityOfDisksIsLost(t *testing.T) {
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
		t.Errorf("%d %v", n, err)
	}
	if _, err := CheckBackup(bytes.NewReader(backup.Bytes()[:backup.Len()-9])); err == nil {
		t.Error("a cut backup is whole")
	}
	line := a.Lineage()
	c.serveInventory("edge-a", controllerclient.Inventory{Version: 1, Node: "edge-a", Incarnation: 8, Lineage: line, Copies: []replica.CopyStatus{
		{Instance: "camera-7", Epoch: 4, Index: 3, LastEpoch: 4, Checksum: 9, IsPrimary: true}, {Instance: "camera-9", Epoch: 2, Index: 1, LastEpoch: 2, Checksum: 1, IsPrimary: true}}})
	var said []string
	build := func(without ...string) error {
		self := c.processes["keeper-1"]
		var others []peertransport.Peer
		for _, b := range c.names {
			if b != "keeper-1" {
				others = append(others, peertransport.Peer{Name: b, Role: c.processes[b].role, Zone: "north",
					Address: c.linkBetween[[2]string{"keeper-1", b}].Address()})
			}
		}
		net, err := peertransport.Open("vans", peertransport.Peer{Name: self.name, Role: "keeper", Address: "127.0.0.1:0"}, others, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ran := make(chan error, 1)
		go func() { ran <- net.Run(ctx) }()
		defer func() { cancel(); <-ran }()
		client := controllerclient.New(net, c.settings, 1)
		defer client.Close()
		return Rebuild(testContext(t), RebuildOptions{Network: net, DataDir: filepath.Join(c.dir, "keeper-1"), Settings: c.settings, Client: client,
			Backup: bytes.NewReader(backup.Bytes()), AllowSilent: without, Progress: func(s string) { said = append(said, s) }})
	}
	if err := build(); err == nil || !strings.Contains(err.Error(), "nothing is to be rebuilt") {
		t.Errorf("while the keepers lead: %v", err)
	}
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		_ = c.stop(name)
		c.emptyStore(name)
	}
	_ = c.stop("edge-b")
	if err := build(); err == nil || !strings.Contains(err.Error(), "edge-b") {
		t.Errorf("with a silent unit: %v", err)
	}
	if err := build("edge-b"); err != nil {
		t.Fatal(err)
	}
	if text := strings.Join(said, "\n"); !strings.Contains(text, "camera-8: lost: no unit that answered has it") {
		t.Error(text)
	}
	if err := build("edge-b"); err != nil { // again, before any unit heard of it
		t.Fatal(err)
	}
	asks := c.linkBetween[[2]string{"keeper-2", "keeper-1"}]
	asks.Refuse(true) // it answers how it stands, and can't be let in
	c.start("keeper-1", "keeper-2")
	if c.waitForLeader() != "keeper-1" {
		t.Error("it does not lead")
	}
	brief, stop := context.WithTimeout(t.Context(), 3*time.Second)
	if _, _, err := a.RequestLease(brief, controllerclient.LeaseRequest{Node: "edge-a", Incarnation: 8}); err == nil {
		t.Error("a rebuilt keeper that is one of three grants a lease: another one may have been rebuilt, too")
	}
	stop()
	asks.Refuse(false)
	c.start("keeper-3")
	all, err := a.Assignments(testContext(t), 0)
	if err != nil || len(all.Assignments) != 3 || all.Generation != line.Generation+2 || all.OriginID == line.OriginID {
		t.Fatalf("%+v %v", all, err)
	}
	for i, want := range []struct {
		unit  string // that owns it, or holds it where its lease has been over meanwhile
		epoch uint64
	}{{"edge-a", 1004}, {"", 1001}, {"edge-a", 1002}} {
		p := all.Assignments[i]
		has := p.Primary
		if len(p.Replicas) > 0 && has == "" {
			has = p.Replicas[0]
		}
		if has != want.unit || p.Epoch != want.epoch || (p.State == placement.Lost) != (p.Primary == "") {
			t.Errorf("%+v", p)
		}
	}
	c.waitFor("the emptied keepers vote", func() bool { return c.isVoter("keeper-2") && c.isVoter("keeper-3") })
	if err := c.requestLease("edge-a", 7); err == nil {
		t.Error("an old copy has a lease of the rebuilt keepers")
	}
	if err := c.requestLease("edge-a", 8); err != nil {
		t.Error(err)
	}
	if _, err := a.Propose(testContext(t), placement.Operation{Kind: placement.OpReplicaReady, Instance: "camera-7", Epoch: 4, Node: "edge-a", Target: "edge-b"}); !errors.Is(err, placement.ErrStaleEpoch) {
		t.Errorf("a step of before: %v", err)
	}
	// Keepers that were emptied all at once, without a rebuild, are another line, and not believed.
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		_ = c.stop(name)
		c.emptyStore(name)
	}
	c.start("keeper-1", "keeper-2", "keeper-3")
	c.waitForLeader()
	if err := c.requestLease("edge-a", 9); !errors.Is(err, controllerclient.ErrOtherLineage) {
		t.Errorf("keepers that know nothing: %v", err)
	}
}
