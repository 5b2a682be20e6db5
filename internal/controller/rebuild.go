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

// RebuildOptions configures Rebuild. All fields except Backup and AllowUnreachable are required.
type RebuildOptions struct {
	Network          *peertransport.Network // network of the controller that is rebuilt; the caller runs it
	DataDir          string                 // data directory of the rebuilt controller; a log in it is set aside
	Settings         map[string]any         // settings by their names, as in fleet.File.Settings
	Client           *controllerclient.Client
	Backup           io.Reader // agreed state from before the disks were lost, as Client.Backup writes it; nil if there is none
	AllowUnreachable []string  // names of edge nodes that need not answer
	Progress         func(string)
}

const (
	// inventoryParallelism is the number of edge nodes that are queried at the same time.
	inventoryParallelism = 64

	statusTimeout       = 2 * time.Second // time limit for the status query of one controller
	maxInventoryTimeout = 5 * time.Second // greatest time limit for the inventory query of one edge node

	// termsPerGeneration is the number of raft terms that are reserved for each generation of the log.
	//
	// The separate ranges guard against a controller that led before the rebuild and was only paused during the rebuild. That
	// controller's terms are lower than those of the rebuilt log. The rebuilt controllers therefore refuse its entries and do
	// not confirm its leadership, so it grants no leases. Only a million elections within one generation would exhaust a range.
	termsPerGeneration = 1 << 20
)

// raftTermKey is the key under which raft stores its term.
var raftTermKey = []byte("CurrentTerm")

// Rebuild writes a new data directory after a majority of the controllers' disks was lost. The directory's log begins with
// assignments that are derived from the copies on the edge nodes. The log's generation is one above the highest that Rebuild
// finds, so that every node ignores controllers and primaries from before the rebuild. The other controllers have to start with
// empty disks, which the rebuilt controller admits.
//
// Rebuild waits for the duration of a lease before it queries the edge nodes, so that no node still serves under a lease from
// before the rebuild. It fails, without a change to the directory, if the controllers have a majority or if an edge node that
// is not in AllowUnreachable does not answer.
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
	inventories, unreachable := collectInventories(ctx, o, &header)
	missing := slices.DeleteFunc(slices.Clone(unreachable), func(node string) bool { return slices.Contains(o.AllowUnreachable, node) })
	if len(missing) > 0 {
		return fmt.Errorf("%s: what they alone have would be lost; bring them back, or name them as nodes to rebuild without",
			strings.Join(missing, ", "))
	}
	assignments, notes := migration.Rebuild(inventories, unreachable, backupAssignments)
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
	o.Progress(fmt.Sprintf("%d instances of generation %d are in %s: start %s, then the other controllers with empty directories",
		len(assignments), generation, o.DataDir, o.Network.Self().Name))
	return nil
}

// checkControllersStopped fails if another controller knows a leader, or runs raft on its disk from before the rebuild. It
// treats a controller that does not answer as stopped.
func checkControllersStopped(ctx context.Context, o RebuildOptions) error {
	for _, peer := range o.Network.Peers(peertransport.RoleController) {
		statusContext, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := o.Client.Status(statusContext, peer.Name)
		cancel()
		switch {
		case err != nil:
		case status.Leader != "":
			return fmt.Errorf("%s follows %s: the controllers have a majority, so no rebuild is needed", peer.Name, status.Leader)
		case status.Role != controllerclient.RoleWaiting:
			return fmt.Errorf("%s runs on its old disk: stop it and move its directory away, so that it is admitted with an empty one",
				peer.Name)
		}
	}
	return nil
}

// awaitLeaseEnd waits until all leases that were granted before the call have expired. It computes the end of the leases with a
// leases.Lessor, as a controller does.
func awaitLeaseEnd(ctx context.Context, o RebuildOptions) error {
	lessor := leases.New(leases.ConfigFrom(o.Settings))
	lessor.ExpectRenewal(0, "any")
	end, _ := lessor.NextExpiry()
	o.Progress(fmt.Sprintf("waiting %s for earlier leases to expire", end.Duration()))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(end.Duration()):
		return nil
	}
}

// collectInventories asks all edge nodes for the copies that they hold. It raises the generation and the incarnations in header
// to the highest that the nodes report. unreachable lists the names of the nodes that did not answer.
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
	_ = group.Wait() // Wait returns nil: each node's error is in errs
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

// writeRebuiltStore sets the log in the data directory aside, if there is one, and writes a log that begins with the given
// table. It returns the generation of the new log.
func writeRebuiltStore(o RebuildOptions, header snapshotHeader, table *placement.Table) (generation uint64, err error) {
	self := o.Network.Self().Name
	dir, err := openStoreDir(o.DataDir, o.Network.Fleet(), self)
	if err != nil {
		return 0, err
	}
	// The marker's generation may be higher than any that the nodes report: an earlier rebuild may have written the marker
	// before any node learned of that rebuild's generation.
	header.Generation = max(header.Generation, dir.currentMarker().Generation)
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

// writeFirstSnapshot writes a state as the first snapshot of a log whose only voter is the controller named self.
func writeFirstSnapshot(dir *storeDir, self string, term uint64, state *frozenState) error {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir.dirPath, retainedSnapshots, hclog.NewNullLogger())
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

// addressCodec is a raft.Transport that implements only EncodePeer. A snapshot store calls no other method.
type addressCodec struct{ raft.Transport }

// EncodePeer returns the bytes of an address unchanged.
func (addressCodec) EncodePeer(_ raft.ServerID, address raft.ServerAddress) []byte {
	return []byte(address)
}

// CheckBackup reads a whole backup and returns the number of its instances.
func CheckBackup(from io.Reader) (instances int, err error) {
	_, table, err := readSnapshot(from)
	if err != nil {
		return 0, err
	}
	return table.Len(), nil
}
