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

// RebuildOptions is how a keeper's disk is written anew after a majority of them was lost.
type RebuildOptions struct {
	Network     *peertransport.Network // of the keeper that begins; its Run is the caller's
	DataDir     string                 // its folder; what is there is set aside
	Settings    map[string]any
	Client      *controllerclient.Client
	Backup      io.Reader // an earlier state, nil: none
	AllowSilent []string  // units that may be silent
	Progress    func(string)
}

const inventoryParallelism = 64 // units at a time

// termGap is by how much terms are raised with each generation. It guards against a keeper that led before the rebuild and
// was only stopped: its terms are below those of the rebuilt log, so that none of its entries is taken, and the rebuilt
// keepers' word on their term confirms no lease of it. A million elections within one generation would reach it.
const termGap = 1 << 20

var raftTermKey = []byte("CurrentTerm") // raft's own

// Rebuild writes a disk whose log begins with what the edge units have. The generation is one above all that was seen,
// so that no keeper and no owner of before is believed; the other keepers' disks have to be emptied, and are let in by
// this one. It waits for one lease as keepers count it before it asks, so that nobody acts by a word of before.
func Rebuild(ctx context.Context, r RebuildOptions) error {
	self := r.Network.Self().Name
	for _, p := range r.Network.Peers("keeper") {
		each, cancel := context.WithTimeout(ctx, 2*time.Second)
		s, err := r.Client.Status(each, p.Name)
		cancel()
		if err == nil && s.Leader != "" {
			return fmt.Errorf("%s follows %s: the keepers have a majority, and nothing is to be rebuilt", p.Name, s.Leader)
		} else if err == nil && s.Role != "waits" {
			return fmt.Errorf("%s runs on its old disk: stop it, and move its folder away, so that it is let in as an emptied one",
				p.Name)
		}
	}
	h := snapshotHeader{FormatVersion: storeVersion, Generation: 1, Incarnations: map[string]uint64{}}
	var old []placement.Assignment
	if r.Backup != nil {
		was, t, err := readSnapshot(r.Backup)
		if err != nil {
			return fmt.Errorf("the backup: %w", err)
		}
		h.Generation, h.Incarnations, h.RecordCounts, h.unknown, old = was.Generation, was.Incarnations, was.RecordCounts, was.unknown, t.All()
	}
	book := leases.New(leases.ConfigFrom(r.Settings))
	book.ExpectRenewal(0, "any")
	over, _ := book.NextExpiry()
	r.Progress(fmt.Sprintf("waits %s for leases of before to be over", over.Duration()))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(over.Duration()):
	}
	var found []migration.NodeInventory
	var silent []string
	units := r.Network.Peers("edge")
	all, errs := make([]controllerclient.Inventory, len(units)), make([]error, len(units))
	limit := leases.TimingsFor(leases.ConfigFrom(r.Settings)).ProposalTimeout.Duration()
	var group errgroup.Group
	group.SetLimit(inventoryParallelism)
	for i, p := range units {
		group.Go(func() error {
			each, cancel := context.WithTimeout(ctx, min(5*time.Second, limit))
			defer cancel()
			all[i], errs[i] = r.Client.Inventory(each, p.Name)
			return nil
		})
	}
	_ = group.Wait()
	for i, p := range units {
		holds := all[i]
		if err := errs[i]; err != nil {
			silent = append(silent, p.Name)
			r.Progress(fmt.Sprintf("%s is silent: %v", p.Name, err))
			continue
		}
		found = append(found, migration.NodeInventory{Node: p.Name, Zone: p.Zone, Copies: holds.Copies})
		h.Generation = max(h.Generation, holds.Lineage.Generation)
		h.Incarnations[p.Name] = max(h.Incarnations[p.Name], holds.Incarnation)
		r.Progress(fmt.Sprintf("%s has %d instances", p.Name, len(holds.Copies)))
	}
	if more := slices.DeleteFunc(slices.Clone(silent), func(s string) bool { return slices.Contains(r.AllowSilent, s) }); len(more) > 0 {
		return fmt.Errorf("%s: what they alone have would be lost; bring them back, or name them as those to go on without",
			strings.Join(more, ", "))
	}
	places, told := migration.Rebuild(found, silent, old)
	for _, text := range told {
		r.Progress(text)
	}
	table, err := placement.FromAssignments(places)
	if err != nil {
		return err
	}
	d, err := openStoreDir(r.DataDir, r.Network.Fleet(), self)
	if err != nil {
		return err
	}
	h.Generation = max(h.Generation, d.currentMarker().Generation) // it was rebuilt before, and no unit has heard of that
	if err := d.setAside(); err != nil {
		return err
	}
	h.Generation++
	h.Applied = 1
	m := d.currentMarker()
	h.Origin = &controllerclient.LogOrigin{ID: newIdentity(), Stores: map[string]string{self: m.StoreID}}
	h.StoreIDs = h.Origin.Stores
	snaps, err := raft.NewFileSnapshotStoreWithLogger(d.dir, 2, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	term := (h.Generation - 1) * termGap
	sink, err := snaps.Create(1, 1, term, raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(self),
		Address: raft.ServerAddress(self)}}}, 1, addressCodec{})
	if err != nil {
		return err
	}
	if err := (&frozenState{h, table.Freeze()}).Persist(sink); err != nil {
		return err
	}
	store, err := d.openLog()
	if err != nil {
		return err
	}
	if err := errors.Join(store.SetUint64(raftTermKey, term), store.Close()); err != nil {
		return err
	}
	m.Origin, m.Founding, m.Started, m.Generation = h.Origin, true, true, h.Generation
	if err := d.putMarker(m); err != nil {
		return err
	}
	r.Progress(fmt.Sprintf("%d instances of generation %d are in %s: start %s, then the other keepers with emptied folders",
		len(places), h.Generation, r.DataDir, self))
	return nil
}

// addressCodec is a transport of which names alone are wanted.
type addressCodec struct{ raft.Transport }

func (addressCodec) EncodePeer(_ raft.ServerID, a raft.ServerAddress) []byte { return []byte(a) }

// CheckBackup reads a backup whole.
func CheckBackup(from io.Reader) (instances int, err error) {
	_, t, err := readSnapshot(from)
	if err != nil {
		return 0, err
	}
	return t.Len(), nil
}
