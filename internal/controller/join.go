package controller

import (
	"context"
	"slices"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
)

// maxJoinLag is how many entries of the log a disk that was admitted may lack when it gets its vote.
const maxJoinLag = 64

// requestJoin asks the leader to admit this disk, or to give it its vote once it has caught up.
func (c *Controller) requestJoin(ctx context.Context, caughtUp bool) (controllerclient.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*c.timings.ProposalTimeout.Duration()) // admitDisk proposes up to three times
	defer cancel()
	return c.client.Join(ctx, controllerclient.JoinRequest{Node: c.name, StoreID: c.disk.currentMarker().StoreID, CaughtUp: caughtUp})
}

// catchUpAndJoin asks for this disk's vote until it has it, where the disk was admitted rather than of the log's origin.
func (c *Controller) catchUpAndJoin(ctx context.Context, r *raft.Raft) {
	if c.disk.currentMarker().Founding {
		return
	}
	var needed uint64 // index that the disk needs before it votes, 0: not known yet
	for ; ctx.Err() == nil; c.pauseBeforeRetry(ctx) {
		marker := c.disk.currentMarker()
		if marker.Started && c.isVoter(r) {
			return
		}
		caughtUp := needed > 0 && r.AppliedIndex()+maxJoinLag >= needed && r.LastIndex() > 0
		if caughtUp && !marker.Started { // before it is given a vote: from now on an empty log is a damaged one
			marker.Started = true
			if err := c.disk.putMarker(marker); err != nil {
				c.noteDiskResult(explainDiskError(err))
				continue
			}
		}
		response, err := c.requestJoin(ctx, caughtUp)
		if err != nil {
			c.Log.Warn().Err(err).Str("event", "waits").Str("why", "waits to be given its vote").Msg("join request failed")
			continue
		}
		if response.Voter && marker.Started {
			c.Log.Info().Str("event", "votes").Str("why", "this disk has caught up and votes").Msg("store became a voter")
			return
		}
		needed = response.Index
	}
}

// isVoter reports whether this controller is a voter of the log.
func (c *Controller) isVoter(r *raft.Raft) bool {
	voters, err := c.voters(r)
	return err == nil && slices.Contains(voters, c.name)
}

// admitDisk is the leader's part of a join: a former disk of the name is taken out of the voters, the new one follows without a
// vote, and gets its vote once it has caught up.
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
			Str("why", "another disk: it follows without a vote until it has caught up").Msg("new store admitted without a vote")
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

// findServer is a controller as raft's configuration has it, nil where it is not in it.
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
