package controller

import (
	"net/http"
	"slices"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
)

// handleStatus returns this controller's status. It also answers before raft runs on the controller's disk (see awaitStart).
func (c *Controller) handleStatus(call[struct{}]) (controllerclient.Status, error) {
	marker := c.disk.currentMarker()
	status := controllerclient.Status{
		Version:      controllerclient.Version,
		Node:         c.name,
		Role:         controllerclient.RoleWaiting,
		Origin:       marker.Origin,
		StoreID:      marker.StoreID,
		Controllers:  append([]string{c.name}, c.peers...),
		LogPositions: map[string]controllerclient.LogPosition{},
		Generation:   max(marker.Generation, c.stateMachine.lineage().Generation),
		StoreIDs:     c.stateMachine.storeIDs(),
	}
	slices.Sort(status.Controllers)
	if r := c.raft.Load(); r != nil {
		_, leader := r.LeaderWithID()
		status.Role = roleOf(r.State())
		status.Leader = string(leader)
		status.Term = r.CurrentTerm()
		status.Applied = r.AppliedIndex()
		status.Last = c.store.lastPosition()
	}
	for _, a := range c.stateMachine.assignments() {
		status.Assignments++
		if a.CutOver {
			status.Migrations++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, position := range c.logPositions {
		status.LogPositions[name] = position
	}
	if c.diskSpace.Total > 0 {
		space := c.diskSpace
		status.Disk = &space
	}
	status.Reason = c.diskFault
	if status.Reason == "" {
		status.Reason = c.waitReason
	}
	if l := c.leadership; l != nil {
		status.Reasons = slices.Clone(l.decisions)
	}
	return status, nil
}

// roleOf returns the value of Status.Role for a state of raft.
func roleOf(state raft.RaftState) string {
	switch state {
	case raft.Follower:
		return controllerclient.RoleFollower
	case raft.Candidate:
		return controllerclient.RoleCandidate
	case raft.Leader:
		return controllerclient.RoleLeader
	case raft.Shutdown:
		return controllerclient.RoleStopping
	}
	return ""
}

// handleJoin admits the disk of another controller to the log.
func (c *Controller) handleJoin(req call[controllerclient.JoinRequest]) (controllerclient.JoinResponse, error) {
	var none controllerclient.JoinResponse
	if err := checkVersion(req.body.Version); err != nil {
		return none, err
	}
	l, r, err := c.requireLeadership()
	if err != nil {
		return none, err
	}
	if req.body.Node != req.caller || !slices.Contains(c.peers, req.caller) || req.body.StoreID == "" {
		return none, refuse(http.StatusBadRequest, "%s is not a controller in the configuration of %s, or names another controller",
			req.caller, c.name)
	}
	return c.admitDisk(r, l.term, req.body)
}

// handleConfirm returns this controller's term to a leader that asks for a confirmation of its leadership.
func (c *Controller) handleConfirm(req call[controllerclient.ConfirmRequest]) (controllerclient.ConfirmRequest, error) {
	if err := checkVersion(req.body.Version); err != nil {
		return controllerclient.ConfirmRequest{}, err
	}
	r := c.raft.Load()
	if r == nil {
		return controllerclient.ConfirmRequest{}, refuse(http.StatusServiceUnavailable, "%s is waiting to start", c.name)
	}
	return controllerclient.ConfirmRequest{Version: controllerclient.Version, Term: r.CurrentTerm()}, nil
}

// handleBackup writes a snapshot of the agreed state. A write error is ignored: it means that the caller has closed the
// connection.
func (c *Controller) handleBackup(w http.ResponseWriter, _ *http.Request) {
	if _, _, err := c.requireLeadership(); err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = c.stateMachine.freeze().WriteTo(w)
}
