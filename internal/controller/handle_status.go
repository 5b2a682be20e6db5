package controller

import (
	"net/http"
	"slices"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
)

// handleStatus says how this keeper stands, whatever it does.
func (c *Controller) handleStatus(call[struct{}]) (any, error) {
	m := c.disk.currentMarker()
	s := controllerclient.Status{Version: controllerclient.Version, Node: c.name, Role: "waits", Origin: m.Origin, StoreID: m.StoreID,
		Controllers: append([]string{c.name}, c.peers...), LogPositions: map[string]controllerclient.LogPosition{},
		Generation: max(m.Generation, c.stateMachine.lineage().Generation), StoreIDs: c.stateMachine.storeIDs()}
	slices.Sort(s.Controllers)
	if r := c.raft.Load(); r != nil {
		_, leader := r.LeaderWithID()
		s.Role, s.Leader, s.Term, s.Applied, s.Last = map[raft.RaftState]string{raft.Follower: "follower",
			raft.Candidate: "candidate", raft.Leader: "leader", raft.Shutdown: "ends"}[r.State()], string(leader),
			r.CurrentTerm(), r.AppliedIndex(), c.store.lastPosition()
	}
	for _, p := range c.stateMachine.assignments() {
		s.Assignments++
		if p.CutOver {
			s.Migrations++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, mark := range c.logPositions {
		s.LogPositions[name] = mark
	}
	if c.diskSpace.Total > 0 {
		d := c.diskSpace
		s.Disk = &d
	}
	if s.Reason = c.diskFault; s.Reason == "" {
		s.Reason = c.waitReason
	}
	if l := c.leadership; l != nil {
		s.Reasons = slices.Clone(l.decisions)
	}
	return s, nil
}

// handleJoin lets a keeper's disk in.
func (c *Controller) handleJoin(req call[controllerclient.JoinRequest]) (any, error) {
	if err := checkVersion(req.body.Version); err != nil {
		return nil, err
	}
	l, r, err := c.requireLeadership()
	if err != nil {
		return nil, err
	}
	if req.body.Node != req.caller || !slices.Contains(c.peers, req.caller) || req.body.StoreID == "" {
		return nil, refuse(http.StatusBadRequest, "%s is no keeper in the file of %s, or speaks for another", req.caller, c.name)
	}
	return c.admitDisk(r, l.term, req.body)
}

// handleConfirm says in which term this keeper is.
func (c *Controller) handleConfirm(req call[controllerclient.ConfirmRequest]) (any, error) {
	if err := checkVersion(req.body.Version); err != nil {
		return nil, err
	}
	r := c.raft.Load()
	if r == nil {
		return nil, refuse(http.StatusServiceUnavailable, "%s waits", c.name)
	}
	return controllerclient.ConfirmRequest{Version: controllerclient.Version, Term: r.CurrentTerm()}, nil
}

// handleBackup writes a snapshot of what is agreed.
func (c *Controller) handleBackup(w http.ResponseWriter, r *http.Request) {
	if _, _, err := c.requireLeadership(); err != nil {
		handle(func(call[struct{}]) (any, error) { return nil, err })(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = c.stateMachine.freeze().WriteTo(w) // a caller that went away needs nothing
}
