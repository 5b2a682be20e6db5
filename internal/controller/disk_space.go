package controller

import (
	"context"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sys/unix"

	"silvercove/internal/controllerclient"
)

// diskFree is the room of the disk that has a folder, in bytes, as any user may have it.
func diskFree(dir string) (free, total uint64, err error) {
	var s unix.Statfs_t
	if err := unix.Statfs(dir, &s); err != nil {
		return 0, 0, err
	}
	size := uint64(s.Bsize)
	return s.Bavail * size, (s.Blocks - s.Bfree + s.Bavail) * size, nil
}

// watchDisk has room decide by looks at the disk and the log until the context ends.
func (c *Controller) watchDisk(ctx context.Context, r *raft.Raft) {
	timer := time.NewTicker(min(c.timings.ConfirmTimeout, maxDiskCheckInterval).Duration())
	defer timer.Stop()
	for failed := ""; ; {
		free, total, err := c.DiskFree(c.DataDir)
		if err != nil && err.Error() != failed {
			c.Log.Warn().Str("event", "disk").Err(err).Msg("the disk's room is not known")
		}
		if failed = ""; err != nil {
			free, total, failed = 0, 0, err.Error()
		}
		c.onDiskSpace(r, free, total)
		c.compactLog(r)
		if r.State() == raft.Leader && c.spacePolicy.TransferDue(c.Now()) {
			c.transferLeadership(ctx, r)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

// onDiskSpace takes the disk's room over.
func (c *Controller) onDiskSpace(r *raft.Raft, free, total uint64) {
	changed := c.spacePolicy.OnDiskSpace(free, total)
	d := c.spacePolicy.disk
	c.mu.Lock()
	c.diskSpace = d
	c.mu.Unlock()
	if !changed {
		return
	}
	set := r.ReloadableConfig()
	set.TrailingLogs = c.spacePolicy.TrailingEntries()
	if err := r.ReloadConfig(set); err != nil {
		c.Log.Error().Str("event", "disk").Err(err).Send()
	}
	if line := c.Log.Info(); !d.LowOnSpace {
		line.Str("event", "disk").Str("free", d.String()).Msg("there is room again")
	} else {
		c.Log.Warn().Str("event", "disk").Str("free", d.String()).
			Msg("short of room: the log is cut sooner, and the lead goes to a keeper with room")
	}
}

// compactLog cuts the log by a snapshot. raft's own look comes twice a minute at most, and a log may grow by a
// hundred thousand entries until then.
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
	if c.spacePolicy.OnCompaction(c.Now(), err); err != nil {
		c.Log.Warn().Str("event", "disk").Err(err).Msg("the log could not be cut")
	}
}

// transferLeadership hands the lead to a keeper with room.
func (c *Controller) transferLeadership(ctx context.Context, r *raft.Raft) {
	others, _ := c.peerStatuses(ctx)
	f := r.GetConfiguration()
	if f.Error() != nil {
		return
	}
	var voters []controllerclient.Status
	for _, s := range f.Configuration().Servers {
		for _, o := range others {
			if string(s.ID) == o.Node && s.Suffrage == raft.Voter {
				voters = append(voters, o)
			}
		}
	}
	to := c.spacePolicy.TransferTarget(c.Now(), r.CurrentTerm(), voters)
	if to == "" {
		return
	}
	err := r.LeadershipTransferToServer(raft.ServerID(to), raft.ServerAddress(to)).Error()
	c.Log.Info().Str("event", "disk").Str("to", to).Err(err).Str("free", c.spacePolicy.disk.String()).
		Msg("hands the lead on")
}
