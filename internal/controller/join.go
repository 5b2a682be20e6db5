package controller

import (
	"context"
	"slices"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
)

func (c *Controller) requestJoin(ctx context.Context, ready bool) (controllerclient.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*c.timings.ProposalTimeout.Duration())
	defer cancel()
	return c.client.Join(ctx, controllerclient.JoinRequest{Node: c.name, StoreID: c.disk.currentMarker().StoreID, CaughtUp: ready})
}

// catchUpAndJoin has a disk that was let in catch up and get its vote.
func (c *Controller) catchUpAndJoin(ctx context.Context, r *raft.Raft) {
	if c.disk.currentMarker().Founding {
		return
	}
	var need uint64
	for ; ctx.Err() == nil; c.pauseBeforeRetry(ctx) {
		f := r.GetConfiguration()
		m := c.disk.currentMarker()
		if f.Error() == nil && m.Started && slices.ContainsFunc(f.Configuration().Servers, func(s raft.Server) bool {
			return s.ID == raft.ServerID(c.name) && s.Suffrage == raft.Voter
		}) {
			return
		}
		ready := need > 0 && r.AppliedIndex()+maxJoinLag >= need && r.LastIndex() > 0
		if ready && !m.Started { // before it is given a vote: an empty log is a damaged one from now on
			m.Started = true
			if err := c.disk.putMarker(m); err != nil {
				c.noteDiskResult(explainDiskError(err))
				continue
			}
		}
		answer, err := c.requestJoin(ctx, ready)
		if err != nil {
			c.Log.Warn().Err(err).Str("event", "waits").Msg("waits to be given its vote")
			continue
		}
		if answer.Voter && m.Started {
			c.Log.Info().Str("event", "votes").Msg("this disk has caught up and votes")
			return
		}
		need = answer.Index
	}
}

// admitDisk is the leading keeper's part: a former disk of the name is taken out of the voters, the new one follows
// without a vote, and gets it when it has caught up.
func (c *Controller) admitDisk(r *raft.Raft, term uint64, j controllerclient.JoinRequest) (answer controllerclient.JoinResponse, err error) {
	c.joinMutex.Lock()
	defer c.joinMutex.Unlock()
	f := r.GetConfiguration()
	if err := f.Error(); err != nil {
		return answer, err
	}
	var there *raft.Server
	for _, s := range f.Configuration().Servers {
		if s.ID == raft.ServerID(j.Node) {
			there = &s
		}
	}
	id, at, limit := raft.ServerID(j.Node), raft.ServerAddress(j.Node), c.timings.ProposalTimeout.Duration()
	if c.stateMachine.storeIDs()[j.Node] != j.StoreID {
		if there != nil {
			if err := r.RemoveServer(id, 0, limit).Error(); err != nil {
				return answer, err
			}
			there = nil
		}
		if _, err := c.proposeEntry(logEntry{Term: term, Controller: j.Node, StoreID: j.StoreID}); err != nil {
			return answer, err
		}
		c.mu.Lock()
		delete(c.logPositions, j.Node)
		c.mu.Unlock()
		c.Log.Info().Str("event", "disk").Str("keeper", j.Node).Msg("another disk: it follows without a vote until it has caught up")
	}
	switch {
	case there == nil:
		err = r.AddNonvoter(id, at, 0, limit).Error()
	case there.Suffrage == raft.Voter:
		answer.Voter = true
	case j.CaughtUp:
		err = r.AddVoter(id, at, 0, limit).Error()
		answer.Voter = err == nil
	}
	answer.Index, answer.Origin, answer.Term, answer.Generation = r.CommitIndex(), c.disk.currentMarker().Origin, term, c.stateMachine.lineage().Generation
	return answer, err
}
