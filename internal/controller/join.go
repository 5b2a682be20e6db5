package controller

import (
	"context"
	"slices"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
)

// maxJoinLag is the maximum number of log entries that an admitted disk may still lack when it becomes a voter.
const maxJoinLag = 64

// requestJoin asks the leader to admit this disk or, if caughtUp is set, to make it a voter.
func (c *Controller) requestJoin(ctx context.Context, caughtUp bool) (controllerclient.JoinResponse, error) {
	// admitDisk commits at most three entries. The timeout has one ProposalTimeout for each of them,
	// and one more as a margin.
	ctx, cancel := context.WithTimeout(ctx, 4*c.timings.ProposalTimeout.Duration())
	defer cancel()
	return c.client.Join(ctx, controllerclient.JoinRequest{Node: c.name, StoreID: c.disk.currentMarker().StoreID, CaughtUp: caughtUp})
}

// catchUpAndJoin sends join requests until this disk is a voter. It does nothing for a disk on which the log was created
// (storeMarker.Founding), because such a disk is a voter from the start.
func (c *Controller) catchUpAndJoin(ctx context.Context, r *raft.Raft) {
	if c.disk.currentMarker().Founding {
		return
	}
	// needed is the log index that this disk must reach, to within maxJoinLag entries, before it becomes a voter. It is 0 until
	// the leader has answered.
	var needed uint64
	for ; ctx.Err() == nil; c.pauseBeforeRetry(ctx) {
		marker := c.disk.currentMarker()
		if marker.Started && c.isVoter(r) {
			return
		}
		caughtUp := needed > 0 && r.AppliedIndex()+maxJoinLag >= needed && r.LastIndex() > 0
		if caughtUp && !marker.Started {
			// Started is set before the disk becomes a voter. If the log is empty at a later start, the voter has lost its
			// entries. openStore then reports the log as damaged, because Started is set.
			marker.Started = true
			if err := c.disk.putMarker(marker); err != nil {
				c.noteDiskResult(explainDiskError(err))
				continue
			}
		}
		response, err := c.requestJoin(ctx, caughtUp)
		if err != nil {
			c.Log.Warn().Err(err).Str("event", "waits").Str("why", "waiting to become a voter").Msg("join request failed")
			continue
		}
		if response.Voter && marker.Started {
			c.Log.Info().Str("event", "votes").Str("why", "this disk has caught up").Msg("store became a voter")
			return
		}
		needed = response.Index
	}
}

// isVoter reports whether this controller is a voter in raft's configuration.
func (c *Controller) isVoter(r *raft.Raft) bool {
	voters, err := c.voters(r)
	return err == nil && slices.Contains(voters, c.name)
}

// admitDisk handles a join request at the leader. If the identity of the controller's disk is not agreed yet, it removes the
// controller's former disk from raft's configuration and adds the new disk as a nonvoter. A later request with CaughtUp set
// makes the disk a voter.
func (c *Controller) admitDisk(r *raft.Raft, term uint64, join controllerclient.JoinRequest) (response controllerclient.JoinResponse, err error) {
	c.joinMutex.Lock()
	defer c.joinMutex.Unlock()
	current, err := findServer(r, join.Node)
	if err != nil {
		return response, err
	}
	id, address := raft.ServerID(join.Node), raft.ServerAddress(join.Node)
	timeout := c.timings.ProposalTimeout.Duration()
	if c.stateMachine.storeIDs()[join.Node] != join.StoreID {
		if current != nil {
			if err := r.RemoveServer(id, 0, timeout).Error(); err != nil {
				return response, err
			}
			current = nil
		}
		if _, err := c.proposeEntry(logEntry{Term: term, Controller: join.Node, StoreID: join.StoreID}); err != nil {
			return response, err
		}
		c.mu.Lock()
		delete(c.logPositions, join.Node)
		c.mu.Unlock()
		c.Log.Info().Str("event", "disk").Str("controller", join.Node).
			Str("why", "the controller has another disk, which has no vote until it has caught up").Msg("new store admitted without a vote")
	}
	switch {
	case current == nil:
		err = r.AddNonvoter(id, address, 0, timeout).Error()
	case current.Suffrage == raft.Voter:
		response.Voter = true
	case join.CaughtUp:
		err = r.AddVoter(id, address, 0, timeout).Error()
		response.Voter = err == nil
	}
	response.Index = r.CommitIndex()
	response.Origin = c.disk.currentMarker().Origin
	response.Term = term
	response.Generation = c.stateMachine.lineage().Generation
	return response, err
}

// findServer returns a controller's entry in raft's configuration, or nil if it has none.
func findServer(r *raft.Raft, name string) (*raft.Server, error) {
	future := r.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	for _, server := range future.Configuration().Servers {
		if server.ID == raft.ServerID(name) {
			return &server, nil
		}
	}
	return nil, nil
}
