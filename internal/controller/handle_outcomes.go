package controller

import (
	"net/http"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/tick"
)

// maxOutcomeCount limits the number of successes and the number of failures that a report contains for a node. A larger number
// is reduced to maxOutcomeCount.
const maxOutcomeCount = 1 << 20

// handleOutcomes records a relay's counts of successful and failed requests to edge nodes. The leader verifies the nodes' own
// health reports against these counts. The report also contains the rollout state that the relay received from the release API.
func (c *Controller) handleOutcomes(req call[controllerclient.OutcomeReport]) (struct{}, error) {
	var none struct{}
	if err := checkVersion(req.body.Version); err != nil {
		return none, err
	}
	if peer, ok := c.Network.Peer(req.caller); !ok || peer.Role != peertransport.RoleRelay {
		return none, refuse(http.StatusBadRequest, "%s is not a relay in the configuration of %s", req.caller, c.name)
	}
	l, _, err := c.requireLeadership()
	if err != nil {
		return none, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if state := req.body.RolloutState; state != "" {
		rollingBack := state == controllerclient.VersionRollingBack || state == controllerclient.VersionWithdrawn
		c.onRolloutReport(l, now, req.caller, rolloutReport{req.body.SoftwareVersion, rollingBack})
	}
	for _, outcomes := range req.body.Nodes {
		if !c.isEdgeNode(outcomes.Node) || outcomes.Successes < 0 || outcomes.Failures < 0 {
			return none, refuse(http.StatusBadRequest, "invalid outcomes of %.40q: %d successes, %d failures", outcomes.Node,
				outcomes.Successes, outcomes.Failures)
		}
		l.recordOutcomes(now, outcomes)
	}
	return none, nil
}

// recordOutcomes records at most controllerclient.MaxOutcomes outcomes of a node, one by one. If more are reported, it keeps the
// fraction of failures. The failures are spread evenly among the successes. It is called with Controller.mu held.
func (l *leadership) recordOutcomes(now tick.Tick, outcomes controllerclient.NodeOutcomes) {
	successes, failures := min(outcomes.Successes, maxOutcomeCount), min(outcomes.Failures, maxOutcomeCount)
	count := min(successes+failures, controllerclient.MaxOutcomes)
	failed := failures * count / max(1, successes+failures)
	for i := range count {
		succeeded := (i+1)*failed/count == i*failed/count
		l.verifier.RecordOutcome(now, outcomes.Node, succeeded)
	}
}
