package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/controllerclient"
)

// Parameters of the log compaction while the disk is not low on space. While it is, spacePolicy divides the two numbers of
// entries by lowSpaceCompactionFactor.
const (
	snapshotEntries  = 8192 // number of entries since the last snapshot after which the next one is taken
	trailingEntries  = 2048 // number of entries that stay in the log for followers that lag
	snapshotInterval = 30 * time.Second
)

// maxIdleRaftConns is the number of idle connections that raft keeps to each other controller.
const maxIdleRaftConns = 3

// openedStore is the opened log and snapshots of a disk that passed its checks.
type openedStore struct {
	log       Store
	snapshots raft.SnapshotStore
	last      controllerclient.LogPosition // position of the last entry on the disk
}

// runConsensus waits until this disk may take part in the log (awaitStart), and then runs raft on the disk until the context
// ends. If the disk is outdated, or if its log is damaged and there are other controllers, runConsensus sets the log and the
// snapshots aside. It then starts again with an empty disk, which the leader has to admit.
func (c *Controller) runConsensus(ctx context.Context) error {
	logger := newRaftLogger(c.Log)
	for {
		opened, err := c.openStore(logger)
		outdated := false
		if err == nil {
			outdated, err = c.awaitStart(ctx, opened.last)
		}
		if err == nil && !outdated {
			return c.runRaft(ctx, opened, logger)
		}
		if opened.log != nil {
			err = errors.Join(err, opened.log.Close())
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case outdated:
			c.Log.Warn().Str("event", "aside").
				Str("why", "the disk is outdated: other controllers know a later disk of this one, or later entries on it").
				Msg("outdated store set aside")
		case errors.Is(err, ErrCorrupt) && len(c.peers) > 0:
			// Entries that this disk acknowledged are lost. The log is therefore set aside, and the controller starts again
			// with an empty disk, which the leader has to admit.
			c.Log.Error().Err(err).Str("event", "aside").Str("why", "the directory's log is damaged and is set aside").
				Msg("damaged store set aside")
		default:
			return err
		}
		if err := c.disk.archive(); err != nil {
			return err
		}
	}
}

// openStore opens and checks the log and the snapshots. If it fails, the caller has to close opened.log unless it is nil.
func (c *Controller) openStore(logger hclog.Logger) (opened openedStore, err error) {
	opened.log, err = c.disk.openLog()
	if err != nil {
		return opened, err
	}
	if c.WrapStore != nil {
		opened.log = c.WrapStore(opened.log)
	}
	opened.snapshots, opened.last, err = c.disk.openSnapshots(opened.log, logger)
	if err != nil {
		return opened, err
	}
	if c.disk.currentMarker().Started && opened.last.Index == 0 {
		return opened, fmt.Errorf("%w: %s is empty", ErrCorrupt, c.disk.path(logFile))
	}
	return opened, nil
}

// runRaft runs raft and all goroutines that use raft until the context ends. It is called once raft may run on this disk
// (see awaitStart). The goroutines have ended when runRaft returns.
func (c *Controller) runRaft(ctx context.Context, opened openedStore, logger hclog.Logger) error {
	c.store = &guardedStore{
		Store:             opened.log,
		lastApplied:       c.stateMachine.lastApplied,
		fatal:             c.fatal,
		onDiskResult:      c.noteDiskResult,
		termRetryInterval: c.timings.ConfirmTimeout.Duration(),
		last:              opened.last,
		closed:            make(chan struct{}),
	}
	transport := positionTransport{
		NetworkTransport: raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
			Stream:          streamLayer{c},
			MaxPool:         maxIdleRaftConns,
			MaxRPCsInFlight: 1,
			Timeout:         c.timings.ProposalTimeout.Duration(),
			Logger:          logger,
		}),
		controller: c,
	}
	r, err := c.startRaft(c.raftConfig(logger), transport, opened)
	if err != nil {
		return errors.Join(err, transport.Close(), opened.log.Close())
	}
	c.raft.Store(r)
	workContext, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return c.waker.Run(workContext, c.runTimers) })
	group.Go(func() error { c.runProposer(workContext); return nil })
	group.Go(func() error { c.confirmer.run(workContext); return nil })
	group.Go(func() error { c.catchUpAndJoin(workContext, r); return nil })
	group.Go(func() error { c.watchDisk(workContext, r); return nil })
	group.Go(func() error { c.watchLeadership(workContext, r); return nil })
	<-ctx.Done()
	if r.State() == raft.Leader && len(c.peers) > 0 {
		if err := r.LeadershipTransfer().Error(); err != nil {
			c.Log.Warn().Err(err).Msg("leadership transfer failed at shutdown")
		}
	}
	c.stopLeading()
	shutdown := r.Shutdown()
	err = transport.Close()
	close(c.store.closed)
	err = errors.Join(err, shutdown.Error())
	stopWork()
	return errors.Join(err, group.Wait(), opened.log.Close())
}

// raftConfig returns raft's configuration, with timeouts derived from the lease duration.
func (c *Controller) raftConfig(logger hclog.Logger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(c.name)
	config.Logger = logger
	config.HeartbeatTimeout = c.timings.HeartbeatTimeout.Duration()
	config.ElectionTimeout = c.timings.HeartbeatTimeout.Duration()
	config.LeaderLeaseTimeout = c.timings.HeartbeatTimeout.Duration()
	config.CommitTimeout = c.timings.CommitInterval.Duration()
	// BatchApplyCh stays false. If it were set, raft would queue proposed entries, and a proposal still in the queue at
	// shutdown would never get a result.
	config.MaxAppendEntries = maxEntryOperations
	config.SnapshotThreshold = c.spacePolicy.snapshotEntries
	config.SnapshotInterval = snapshotInterval
	config.TrailingLogs = c.spacePolicy.TrailingEntries()
	config.NoLegacyTelemetry = true
	return config
}

// startRaft starts raft. It first creates the log on this disk if the disk is one of those on which the log begins
// (storeMarker.Founding) and has no stored entries yet (storeMarker.Started).
func (c *Controller) startRaft(config *raft.Config, transport positionTransport, opened openedStore) (*raft.Raft, error) {
	if marker := c.disk.currentMarker(); marker.Founding && !marker.Started {
		if opened.last.Index == 0 {
			var founders raft.Configuration
			for _, name := range slices.Sorted(maps.Keys(marker.Origin.Stores)) {
				founders.Servers = append(founders.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
			}
			if err := raft.BootstrapCluster(config, c.store, c.store, opened.snapshots, transport, founders); err != nil {
				return nil, err
			}
		}
		marker.Started = true
		if err := c.disk.putMarker(marker); err != nil {
			return nil, err
		}
	}
	// Setting the term guards against an emptied disk that follows an outdated leader. An emptied disk has no stored term and
	// would follow the first controller that sends entries to it. That controller may have led before a rebuild and have been
	// paused since. With minTerm stored, the disk begins in the term in which it was admitted, and raft refuses entries of
	// earlier terms.
	if term, err := c.store.GetUint64(raftTermKey); c.minTerm > 0 && (err != nil || term < c.minTerm) {
		if err := c.store.SetUint64(raftTermKey, c.minTerm); err != nil {
			return nil, err
		}
	}
	return raft.NewRaft(config, c.stateMachine, c.store, c.store, opened.snapshots, transport)
}

// watchLeadership calls startLeading and stopLeading when raft gains or loses the leadership, until the context ends.
func (c *Controller) watchLeadership(ctx context.Context, r *raft.Raft) {
	for {
		select {
		case <-ctx.Done():
			return
		case leads := <-r.LeaderCh(): // the value true can come twice in a row if the leadership was lost and regained
			c.stopLeading()
			if leads {
				c.startLeading(r)
			}
		}
	}
}

// noteDiskResult records the result of a write to the log for the status call. It logs the result if it has changed.
func (c *Controller) noteDiskResult(err error) {
	fault := ""
	if err != nil {
		fault = err.Error()
	}
	c.mu.Lock()
	before := c.diskFault
	c.diskFault = fault
	c.mu.Unlock()
	switch {
	case fault == before:
	case fault != "":
		c.Log.Error().Str("event", "disk").Str("why", fault).Msg("write to the log store failed")
	default:
		c.Log.Info().Str("event", "disk").Str("why", "the disk accepts entries again").Msg("write to the log store succeeded again")
	}
}
