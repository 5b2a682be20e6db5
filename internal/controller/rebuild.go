package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/controllerclient"
	"silvercove/internal/leases"
	"silvercove/internal/migration"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
)

// RebuildOptions are how a controller's disk is written anew after a majority of them was lost. All but Backup and AllowUnreachable
// are required.
type RebuildOptions struct {
	Network          *peertransport.Network // of the controller that begins; the caller runs it
	DataDir          string                 // its folder; what is there is set aside
	Settings         map[string]any         // by their names in the operator's file
	Client           *controllerclient.Client
	Backup           io.Reader // an earlier snapshot, nil: none
	AllowUnreachable []string  // edge nodes that need not answer
	Progress         func(string)
}

const (
	// inventoryParallelism is how many edge nodes are asked at once.
	inventoryParallelism = 64

	statusTimeout       = 2 * time.Second // for each controller
	maxInventoryTimeout = 5 * time.Second // for each edge node

	// termsPerGeneration is by how much terms are raised with each generation.
	//
	// Guards against a controller that led before the rebuild and was only stopped. Holds because its terms are below those of
	// the rebuilt log: none of its entries is taken, and the rebuilt controllers' terms confirm no lease of it. A million
	// elections within one generation would reach it.
	termsPerGeneration = 1 << 20
)

// raftTermKey is the key under which raft stores its term.
var raftTermKey = []byte("CurrentTerm")

// Rebuild writes a data directory whose log begins with what the edge nodes hold. The generation is one above all that was
// seen, so that no controller and no primary of before is believed; the other controllers' disks have to be emptied, and are
// admitted by this controller. Rebuild waits for one lease before it asks, so that nobody serves by an earlier grant. Before it
// touches the folder it fails while the controllers have a majority, and where an edge node that is not in AllowUnreachable does not
// answer.
func Rebuild(ctx context.Context, o RebuildOptions) error {
	if err := checkControllersStopped(ctx, o); err != nil {
		return err
	}
	header := snapshotHeader{FormatVersion: storeVersion, Generation: 1, Incarnations: map[string]uint64{}}
	var backupAssignments []placement.Assignment
	if o.Backup != nil {
		backup, table, err := readSnapshot(o.Backup)
		if err != nil {
			return fmt.Errorf("the backup: %w", err)
		}
		header.Generation = backup.Generation
		header.Incarnations = backup.Incarnations
		header.RecordCounts = backup.RecordCounts
		header.unknown = backup.unknown
		backupAssignments = table.All()
	}
	if err := awaitLeaseEnd(ctx, o); err != nil {
		return err
	}
	found, unreachable := collectInventories(ctx, o, &header)
	required := slices.DeleteFunc(slices.Clone(unreachable), func(node string) bool { return slices.Contains(o.AllowUnreachable, node) })
	if len(required) > 0 {
		return fmt.Errorf("%s: what they alone have would be lost; bring them back, or name them as those to go on without",
			strings.Join(required, ", "))
	}
	assignments, notes := migration.Rebuild(found, unreachable, backupAssignments)
	for _, note := range notes {
		o.Progress(note)
	}
	table, err := placement.FromAssignments(assignments)
	if err != nil {
		return err
	}
	generation, err := writeRebuiltStore(o, header, table)
	if err != nil {
		return err
	}
	o.Progress(fmt.Sprintf("%d instances of generation %d are in %s: start %s, then the other keepers with emptied folders",
		len(assignments), generation, o.DataDir, o.Network.Self().Name))
	return nil
}

// checkControllersStopped fails where another controller has a leader, or runs on a disk of before. Those that are silent count
// as stopped.
func checkControllersStopped(ctx context.Context, o RebuildOptions) error {
	for _, peer := range o.Network.Peers(peertransport.RoleController) {
		statusContext, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := o.Client.Status(statusContext, peer.Name)
		cancel()
		switch {
		case err != nil:
		case status.Leader != "":
			return fmt.Errorf("%s follows %s: the keepers have a majority, and nothing is to be rebuilt", peer.Name, status.Leader)
		case status.Role != controllerclient.RoleWaiting:
			return fmt.Errorf("%s runs on its old disk: stop it, and move its folder away, so that it is let in as an emptied one",
				peer.Name)
		}
	}
	return nil
}

// awaitLeaseEnd waits until all leases of before are over, as controllers count them.
func awaitLeaseEnd(ctx context.Context, o RebuildOptions) error {
	lessor := leases.New(leases.ConfigFrom(o.Settings))
	lessor.ExpectRenewal(0, "any")
	end, _ := lessor.NextExpiry()
	o.Progress(fmt.Sprintf("waits %s for leases of before to be over", end.Duration()))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(end.Duration()):
		return nil
	}
}

// collectInventories asks all edge nodes what they hold, and raises the header's generation and incarnations to what they
// tell. silent are the names of those that did not answer.
func collectInventories(ctx context.Context, o RebuildOptions, header *snapshotHeader) (found []migration.NodeInventory, unreachable []string) {
	nodes := o.Network.Peers(peertransport.RoleEdge)
	inventories := make([]controllerclient.Inventory, len(nodes))
	errs := make([]error, len(nodes))
	timeout := leases.TimingsFor(leases.ConfigFrom(o.Settings)).ProposalTimeout.Duration()
	var group errgroup.Group
	group.SetLimit(inventoryParallelism)
	for i, node := range nodes {
		group.Go(func() error {
			inventoryContext, cancel := context.WithTimeout(ctx, min(maxInventoryTimeout, timeout))
			defer cancel()
			inventories[i], errs[i] = o.Client.Inventory(inventoryContext, node.Name)
			return nil
		})
	}
	_ = group.Wait() // each node's error is in errs
	for i, node := range nodes {
		if err := errs[i]; err != nil {
			unreachable = append(unreachable, node.Name)
			o.Progress(fmt.Sprintf("%s is silent: %v", node.Name, err))
			continue
		}
		inventory := inventories[i]
		found = append(found, migration.NodeInventory{Node: node.Name, Zone: node.Zone, Copies: inventory.Copies})
		header.Generation = max(header.Generation, inventory.Lineage.Generation)
		header.Incarnations[node.Name] = max(header.Incarnations[node.Name], inventory.Incarnation)
		o.Progress(fmt.Sprintf("%s has %d instances", node.Name, len(inventory.Copies)))
	}
	return found, unreachable
}

// writeRebuiltStore sets the folder's log aside and writes one that begins with the table, in the next generation, which it
// returns.
func writeRebuiltStore(o RebuildOptions, header snapshotHeader, table *placement.Table) (generation uint64, err error) {
	self := o.Network.Self().Name
	dir, err := openStoreDir(o.DataDir, o.Network.Fleet(), self)
	if err != nil {
		return 0, err
	}
	header.Generation = max(header.Generation, dir.currentMarker().Generation) // it was rebuilt before, and no node has heard of that
	if err := dir.archive(); err != nil {
		return 0, err
	}
	header.Generation++
	header.Applied = 1
	marker := dir.currentMarker()
	header.Origin = &controllerclient.LogOrigin{ID: newIdentity(), Stores: map[string]string{self: marker.StoreID}}
	header.StoreIDs = header.Origin.Stores
	term := (header.Generation - 1) * termsPerGeneration
	if err := writeFirstSnapshot(dir, self, term, &frozenState{header, table.Freeze()}); err != nil {
		return 0, err
	}
	log, err := dir.openLog()
	if err != nil {
		return 0, err
	}
	if err := errors.Join(log.SetUint64(raftTermKey, term), log.Close()); err != nil {
		return 0, err
	}
	marker.Origin = header.Origin
	marker.Founding = true
	marker.Started = true
	marker.Generation = header.Generation
	return header.Generation, dir.putMarker(marker)
}

// writeFirstSnapshot writes a state as the snapshot that a log of one controller begins with.
func writeFirstSnapshot(dir *storeDir, self string, term uint64, state *frozenState) error {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir.folder, retainedSnapshots, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	configuration := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(self), Address: raft.ServerAddress(self)}}}
	sink, err := snapshots.Create(raft.SnapshotVersionMax, 1, term, configuration, 1, addressCodec{})
	if err != nil {
		return err
	}
	return state.Persist(sink)
}

// addressCodec is a transport of which only the encoding of addresses is used.
type addressCodec struct{ raft.Transport }

// EncodePeer encodes an address as it is.
func (addressCodec) EncodePeer(_ raft.ServerID, address raft.ServerAddress) []byte {
	return []byte(address)
}

// CheckBackup reads a backup whole and counts its instances.
func CheckBackup(from io.Reader) (instances int, err error) {
	_, table, err := readSnapshot(from)
	if err != nil {
		return 0, err
	}
	return table.Len(), nil
}
