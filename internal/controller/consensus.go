package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/controllerclient"
)

// Of the log: a snapshot after so many entries, and at most so many are left for those that lag.
const (
	snapshotEntries, snapshotInterval = 8192, 30 * time.Second
	trailingEntries                   = 2048
)

// runConsensus takes part in the agreed log: it waits until this disk may, runs raft, and leads while raft says so.
func (c *Controller) runConsensus(ctx context.Context) error {
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: raftLogWriter{c.Log}, DisableTime: true})
	if c.Log.GetLevel() <= zerolog.DebugLevel {
		logger.SetLevel(hclog.Debug)
	}
	for {
		store, err := c.disk.openLog()
		if err == nil && c.WrapStore != nil {
			store = c.WrapStore(store)
		}
		var snaps raft.SnapshotStore
		var last controllerclient.LogPosition
		if err == nil {
			snaps, last, err = c.disk.openSnapshots(store, logger)
		}
		if err == nil && c.disk.currentMarker().Started && last.Index == 0 {
			err = fmt.Errorf("%w: %s is empty", ErrCorrupt, c.disk.path(logFile))
		}
		old := false
		if err == nil {
			old, err = c.awaitStart(ctx, last)
		}
		if err == nil && !old {
			return c.runRaft(ctx, store, snaps, last, logger)
		}
		if store != nil {
			err = errors.Join(err, store.Close())
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case old:
			c.Log.Warn().Str("event", "aside").Msg("an old disk: other keepers have seen a later one, or more on it")
		case errors.Is(err, ErrCorrupt) && len(c.peers) > 0:
			// What it has confirmed is lost, so it counts as emptied: the others have to let it in again.
			c.Log.Error().Err(err).Str("event", "aside").Msg("the folder's log is set aside")
		default:
			return err
		}
		if err := c.disk.setAside(); err != nil {
			return err
		}
	}
}

// runRaft runs raft on a disk that may take part, until the context ends.
func (c *Controller) runRaft(ctx context.Context, store Store, snaps raft.SnapshotStore, last controllerclient.LogPosition, logger hclog.Logger) error {
	c.store = &guardedStore{Store: store, lastApplied: c.stateMachine.lastApplied, fatal: c.fatal, pause: c.timings.ConfirmTimeout.Duration(), last: last,
		closed: make(chan struct{}), onDiskResult: c.noteDiskResult}
	trans := positionTransport{raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: streamLayer{c}, MaxPool: 3,
		MaxRPCsInFlight: 1, Timeout: c.timings.ProposalTimeout.Duration(), Logger: logger}), c}
	set := raft.DefaultConfig()
	set.LocalID, set.Logger = raft.ServerID(c.name), logger
	set.HeartbeatTimeout, set.ElectionTimeout = c.timings.HeartbeatTimeout.Duration(), c.timings.HeartbeatTimeout.Duration()
	set.LeaderLeaseTimeout, set.CommitTimeout = c.timings.HeartbeatTimeout.Duration(), c.timings.CommitInterval.Duration()
	set.MaxAppendEntries = maxEntryOperations // BatchApplyCh stays off: what is in that queue at the end is never answered
	set.SnapshotThreshold, set.SnapshotInterval, set.TrailingLogs = c.spacePolicy.snapshotEntries, snapshotInterval, c.spacePolicy.TrailingEntries()
	set.NoLegacyTelemetry = true
	r, err := c.startRaft(set, trans, snaps, last)
	if err != nil {
		return errors.Join(err, trans.Close(), store.Close())
	}
	c.raft.Store(r)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return c.waker.Run(work, c.runTimers) })
	group.Go(func() error { c.runProposer(work); return nil })
	group.Go(func() error { c.confirmer.run(work); return nil })
	group.Go(func() error { c.catchUpAndJoin(work, r); return nil })
	group.Go(func() error { c.watchDisk(work, r); return nil })
	group.Go(func() error {
		for {
			select {
			case <-work.Done():
				return nil
			case leads := <-r.LeaderCh(): // a lead that ended and began again shows as another begin
				if c.stopLeading(); leads {
					c.startLeading(r)
				}
			}
		}
	})
	<-ctx.Done()
	if r.State() == raft.Leader && len(c.peers) > 0 {
		if err := r.LeadershipTransfer().Error(); err != nil {
			c.Log.Warn().Err(err).Msg("the lead could not be handed over")
		}
	}
	c.stopLeading()
	down := r.Shutdown()
	err = trans.Close()
	close(c.store.closed)
	err = errors.Join(err, down.Error())
	stop()
	return errors.Join(err, group.Wait(), store.Close())
}

// startRaft begins the log on a disk of the birth, and starts raft.
func (c *Controller) startRaft(set *raft.Config, trans positionTransport, snaps raft.SnapshotStore, last controllerclient.LogPosition) (*raft.Raft, error) {
	if m := c.disk.currentMarker(); m.Founding && !m.Started {
		if last.Index == 0 {
			var first raft.Configuration
			for _, name := range slices.Sorted(maps.Keys(m.Origin.Stores)) {
				first.Servers = append(first.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
			}
			if err := raft.BootstrapCluster(set, c.store, c.store, snaps, trans, first); err != nil {
				return nil, err
			}
		}
		m.Started = true
		if err := c.disk.putMarker(m); err != nil {
			return nil, err
		}
	}
	// An emptied disk is in no term: without this it would follow whichever keeper is the first to send entries, such as
	// one that led before a rebuild and has just been woken.
	if term, err := c.store.GetUint64(raftTermKey); c.minTerm > 0 && (err != nil || term < c.minTerm) {
		if err := c.store.SetUint64(raftTermKey, c.minTerm); err != nil {
			return nil, err
		}
	}
	return raft.NewRaft(set, c.stateMachine, c.store, c.store, snaps, trans)
}

// noteDiskResult notes what the disk says.
func (c *Controller) noteDiskResult(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	c.mu.Lock()
	was := c.diskFault
	c.diskFault = text
	c.mu.Unlock()
	switch {
	case text == was:
	case text != "":
		c.Log.Error().Str("event", "disk").Msg(text)
	default:
		c.Log.Info().Str("event", "disk").Msg("the disk takes entries again")
	}
}

// raftLogWriter hands raft's own log lines on.
type raftLogWriter struct{ logger zerolog.Logger }

// Write is one line.
func (l raftLogWriter) Write(text []byte) (int, error) {
	level, line := zerolog.DebugLevel, strings.TrimSpace(string(text))
	for prefix, is := range map[string]zerolog.Level{"[WARN] ": zerolog.WarnLevel, "[ERROR]": zerolog.WarnLevel} {
		if strings.HasPrefix(line, prefix) { // what raft calls an error is mostly a silent keeper
			level = is
		}
	}
	l.logger.WithLevel(level).Str("event", "raft").Msg(line)
	return len(text), nil
}
