package controller

import (
	"context"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sys/unix"

	"silvercove/internal/controllerclient"
)

// diskFree returns the free and total bytes that an unprivileged user can use on the file system that contains dir.
func diskFree(dir string) (free, total uint64, err error) {
	var stat unix.Statfs_t
	if err := unix.Statfs(dir, &stat); err != nil {
		return 0, 0, err
	}
	blockBytes := uint64(stat.Bsize)
	return stat.Bavail * blockBytes, (stat.Blocks - stat.Bfree + stat.Bavail) * blockBytes, nil
}

// watchDisk checks the free disk space and the log's length until the context ends, and carries out the decisions of the
// spacePolicy.
func (c *Controller) watchDisk(ctx context.Context, r *raft.Raft) {
	ticker := time.NewTicker(min(c.timings.ConfirmTimeout, maxDiskCheckInterval).Duration())
	defer ticker.Stop()
	lastLogged := "" // error of the previous check, which is not logged again; "" if there was none
	for {
		free, total, err := c.DiskFree(c.DataDir)
		if err != nil {
			if err.Error() != lastLogged {
				c.Log.Warn().Str("event", "disk").Err(err).
					Str("why", "the free space of the disk is not known").Msg("free disk space unknown")
			}
			free, total, lastLogged = 0, 0, err.Error()
		} else {
			lastLogged = ""
		}
		c.onDiskSpace(r, free, total)
		c.compactLog(r)
		if r.State() == raft.Leader && c.spacePolicy.TransferDue(c.Now()) {
			c.transferLeadership(ctx, r)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// onDiskSpace updates the spacePolicy and the status call with the disk's free and total bytes. If the disk has become low on
// space or has recovered, onDiskSpace reconfigures raft and logs the change.
func (c *Controller) onDiskSpace(r *raft.Raft, free, total uint64) {
	changed := c.spacePolicy.OnDiskSpace(free, total)
	space := c.spacePolicy.space
	c.mu.Lock()
	c.diskSpace = space
	c.mu.Unlock()
	if !changed {
		return
	}
	config := r.ReloadableConfig()
	config.TrailingLogs = c.spacePolicy.TrailingEntries()
	if err := r.ReloadConfig(config); err != nil {
		c.Log.Error().Str("event", "disk").Err(err).Msg("raft configuration reload failed")
	}
	if space.LowOnSpace {
		c.Log.Warn().Str("event", "disk").Uint64("free_bytes", space.Free).Uint64("total_bytes", space.Total).
			Str("why", "low on space: the log is compacted sooner, and the leadership goes to a controller with free space").
			Msg("disk low on space")
		return
	}
	c.Log.Info().Str("event", "disk").Uint64("free_bytes", space.Free).Uint64("total_bytes", space.Total).
		Str("why", "the disk has enough free space again").Msg("disk no longer low on space")
}

// compactLog takes a snapshot if the log is too long. raft's own check is not enough: it runs at most twice a minute, and the
// log may grow by a hundred thousand entries between two of these checks.
func (c *Controller) compactLog(r *raft.Raft) {
	first, err := c.store.FirstIndex()
	if err != nil || first == 0 {
		return
	}
	last, err := c.store.LastIndex()
	if err != nil || last < first || !c.spacePolicy.CompactionDue(c.Now(), last+1-first) {
		return
	}
	err = r.Snapshot().Error()
	c.spacePolicy.OnCompaction(c.Now(), err)
	if err != nil {
		c.Log.Warn().Str("event", "disk").Err(err).Str("why", "the log could not be compacted").Msg("log compaction failed")
	}
}

// transferLeadership transfers the leadership to a voter whose disk has enough free space (spacePolicy.TransferTarget), if
// there is one.
func (c *Controller) transferLeadership(ctx context.Context, r *raft.Raft) {
	statuses, _ := c.peerStatuses(ctx)
	future := r.GetConfiguration()
	if future.Error() != nil {
		return
	}
	var voters []controllerclient.Status
	for _, server := range future.Configuration().Servers {
		for _, status := range statuses {
			if string(server.ID) == status.Node && server.Suffrage == raft.Voter {
				voters = append(voters, status)
			}
		}
	}
	target := c.spacePolicy.TransferTarget(c.Now(), r.CurrentTerm(), voters)
	if target == "" {
		return
	}
	err := r.LeadershipTransferToServer(raft.ServerID(target), raft.ServerAddress(target)).Error()
	c.Log.Info().Str("event", "disk").Str("to", target).Err(err).Uint64("free_bytes", c.spacePolicy.space.Free).
		Uint64("total_bytes", c.spacePolicy.space.Total).
		Str("why", "the leadership is transferred to a controller with free space").Msg("leadership transfer for disk space")
}
