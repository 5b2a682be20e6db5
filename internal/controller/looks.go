package controller

import (
	"context"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sys/unix"

	"silvercove/internal/controllerclient"
)

// freeOf is the room of the disk that has a folder, in bytes, as any user may have it.
func freeOf(dir string) (free, total uint64, err error) {
	var s unix.Statfs_t
	if err := unix.Statfs(dir, &s); err != nil {
		return 0, 0, err
	}
	size := uint64(s.Bsize)
	return s.Bavail * size, (s.Blocks - s.Bfree + s.Bavail) * size, nil
}

// looks has room decide by looks at the disk and the log until the context ends.
func (k *Controller) looks(ctx context.Context, r *raft.Raft) {
	timer := time.NewTicker(min(k.spans.ConfirmTimeout, roomEvery).Duration())
	defer timer.Stop()
	for failed := ""; ; {
		free, total, err := k.Free(k.Data)
		if err != nil && err.Error() != failed {
			k.Log.Warn().Str("event", "disk").Err(err).Msg("the disk's room is not known")
		}
		if failed = ""; err != nil {
			free, total, failed = 0, 0, err.Error()
		}
		k.looked(r, free, total)
		k.cuts(r)
		if r.State() == raft.Leader && k.room.Asks(k.Now()) {
			k.handsOn(ctx, r)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

// looked takes the disk's room over.
func (k *Controller) looked(r *raft.Raft, free, total uint64) {
	changed := k.room.Looked(free, total)
	d := k.room.disk
	k.mu.Lock()
	k.space = d
	k.mu.Unlock()
	if !changed {
		return
	}
	set := r.ReloadableConfig()
	set.TrailingLogs = k.room.Leaves()
	if err := r.ReloadConfig(set); err != nil {
		k.Log.Error().Str("event", "disk").Err(err).Send()
	}
	if line := k.Log.Info(); !d.LowOnSpace {
		line.Str("event", "disk").Str("free", d.String()).Msg("there is room again")
	} else {
		k.Log.Warn().Str("event", "disk").Str("free", d.String()).
			Msg("short of room: the log is cut sooner, and the lead goes to a keeper with room")
	}
}

// cuts cuts the log by a snapshot. raft's own look comes twice a minute at most, and a log may grow by a
// hundred thousand entries until then.
func (k *Controller) cuts(r *raft.Raft) {
	first, err := k.store.FirstIndex()
	if err != nil || first == 0 {
		return
	}
	last, err := k.store.LastIndex()
	if err != nil || last < first || !k.room.Cuts(k.Now(), last+1-first) {
		return
	}
	err = r.Snapshot().Error()
	if k.room.Cut(k.Now(), err); err != nil {
		k.Log.Warn().Str("event", "disk").Err(err).Msg("the log could not be cut")
	}
}

// handsOn hands the lead to a keeper with room.
func (k *Controller) handsOn(ctx context.Context, r *raft.Raft) {
	others, _ := k.ask(ctx)
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
	to := k.room.Hands(k.Now(), r.CurrentTerm(), voters)
	if to == "" {
		return
	}
	err := r.LeadershipTransferToServer(raft.ServerID(to), raft.ServerAddress(to)).Error()
	k.Log.Info().Str("event", "disk").Str("to", to).Err(err).Str("free", k.room.disk.String()).
		Msg("hands the lead on")
}
