package edgenode

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"silvercove/internal/controller"
	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
)

func TestRebuild_FromInventories(t *testing.T) {
	c := newServingFleet(t, 2, true, "edge-b")
	load := newWorkload(c)
	load.writes = 1 // newServingFleet has sent one write
	load.write()
	c.kill("keeper-1")
	c.kill("edge-b")
	c.start("edge-b") // edge-b has its disk, but no controller can be reached
	dir := filepath.Join(c.dir, "keeper-1")
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	network, err := peertransport.Open("vans", c.processes["keeper-1"].peer, c.mesh.PeersOf("keeper-1"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	networkContext, stopNetwork := context.WithCancel(t.Context())
	networkEnded := make(chan error, 1)
	go func() { networkEnded <- network.Run(networkContext) }()
	client := controllerclient.New(network, c.settings, 3)
	var progress []string
	err = controller.Rebuild(t.Context(), controller.RebuildOptions{Network: network, DataDir: dir, Settings: c.settings, Client: client,
		Progress: func(text string) { progress = append(progress, text) }})
	client.Close()
	stopNetwork()
	if err := <-networkEnded; err != nil {
		t.Error(err)
	}
	if err != nil || !slices.Contains(progress, "edge-b has 1 instances") {
		t.Fatalf("rebuild: %v, progress %q", err, progress)
	}
	c.start("keeper-1")
	if v := load.write(); !strings.HasSuffix(v, " edge-a") || strings.HasPrefix(v, "3 1 ") {
		t.Errorf("%s: not of a higher epoch", v)
	}
	load.check()
	sql := dialNode(t, c.processes["edge-a"].peer.RequestAddress)
	if v, _ := sql.write("first", "camera-7", nil); v != "1 1 edge-a" {
		t.Errorf("repeated write that succeeded before the rebuild: %s", v)
	}
}
