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

// Sizes of the log where the disk has space.
const (
	snapshotEntries  = 8192 // a snapshot is taken after so many entries
	trailingEntries  = 2048 // and so many are left in the log for controllers that lag
	snapshotInterval = 30 * time.Second
)

// maxIdleRaftConns is how many idle connections raft keeps to each other controller.
const maxIdleRaftConns = 3

// openedStore is the log on a disk that was found intact.
type openedStore struct {
	log       Store
	snapshots raft.SnapshotStore
	last      controllerclient.LogPosition // the last entry that the disk has
}

// runConsensus waits until this disk may take part in the log, and runs raft until the context ends. A disk that must not
// take part is set aside, and the controller asks to be admitted with an empty one.
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
			c.Log.Warn().Str("event", "aside").Str("why", "an old disk: other keepers have seen a later one, or more on it").
				Msg("outdated store set aside")
		case errors.Is(err, ErrCorrupt) && len(c.peers) > 0:
			// What it has confirmed is lost, so it counts as emptied: the others have to admit it again.
			c.Log.Error().Err(err).Str("event", "aside").Str("why", "the folder's log is set aside").
				Msg("damaged store set aside")
		default:
			return err
		}
		if err := c.disk.archive(); err != nil {
			return err
		}
	}
}

// openStore opens the log and the snapshots and checks them. With an error the log that it returns, if any, is to be
// closed.
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

// runRaft runs raft on a disk that may take part, until the context ends, and all goroutines that workContext with it. It owns
// them: they have ended when it returns.
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

// raftConfig is raft's configuration by the lease's timings.
func (c *Controller) raftConfig(logger hclog.Logger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(c.name)
	config.Logger = logger
	config.HeartbeatTimeout = c.timings.HeartbeatTimeout.Duration()
	config.ElectionTimeout = c.timings.HeartbeatTimeout.Duration()
	config.LeaderLeaseTimeout = c.timings.HeartbeatTimeout.Duration()
	config.CommitTimeout = c.timings.CommitInterval.Duration()
	config.MaxAppendEntries = maxEntryOperations // BatchApplyCh stays off: what is in that queue at the end is never answered
	config.SnapshotThreshold = c.spacePolicy.snapshotEntries
	config.SnapshotInterval = snapshotInterval
	config.TrailingLogs = c.spacePolicy.TrailingEntries()
	config.NoLegacyTelemetry = true
	return config
}

// startRaft begins the log on a disk that the log was founded on, and starts raft.
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
	// Guards against a disk that was emptied, is in no term and so follows whichever controller is the first to send entries,
	// such as one that led before a rebuild and has just been resumed; holds because raft refuses entries of earlier terms.
	if term, err := c.store.GetUint64(raftTermKey); c.minTerm > 0 && (err != nil || term < c.minTerm) {
		if err := c.store.SetUint64(raftTermKey, c.minTerm); err != nil {
			return nil, err
		}
	}
	return raft.NewRaft(config, c.stateMachine, c.store, c.store, opened.snapshots, transport)
}

// watchLeadership begins and ends spans of leadership until the context ends.
func (c *Controller) watchLeadership(ctx context.Context, r *raft.Raft) {
	for {
		select {
		case <-ctx.Done():
			return
		case leads := <-r.LeaderCh(): // a leadership that ended and began again shows as another beginning
			c.stopLeading()
			if leads {
				c.startLeading(r)
			}
		}
	}
}

// noteDiskResult notes the result of a write to the log for the status call, and logs a change.
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
		c.Log.Info().Str("event", "disk").Str("why", "the disk takes entries again").Msg("write to the log store succeeded again")
	}
}
