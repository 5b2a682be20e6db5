package controller

import (
	"context"
	"errors"
	"math"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/leases"
)

// handleLease grants or renews a lease. The lease's duration counts from the arrival of the request.
func (c *Controller) handleLease(req call[controllerclient.LeaseRequest]) (controllerclient.LeaseResponse, error) {
	received := c.Now()
	request := req.body
	var none controllerclient.LeaseResponse
	if err := c.checkLeaseRequest(req.caller, request); err != nil {
		return none, err
	}
	l, r, err := c.requireLeadership()
	if err != nil {
		return none, err
	}
	if err := c.commitIncarnation(l, request); err != nil {
		return none, err
	}
	if err := c.confirmer.confirm(req.ctx, r, l.term); err != nil {
		return none, err
	}
	if err := c.commitUnverifiedCopies(l, request); err != nil {
		return none, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.awaitRenewalUnblocked(req.ctx, l, request.Node); err != nil {
		return none, err
	}
	now := c.Now()
	leaseEnd, err := l.lessor.Grant(now, received, request.Node, request.Incarnation)
	if err != nil {
		return none, leaseRefusal(request.Node, err)
	}
	response := controllerclient.LeaseResponse{
		Granted:            true,
		Controller:         c.name,
		RecordCount:        l.recordCounts.Report(request.Node, request.RecordCount),
		AcceptedUnverified: len(request.Unverified),
	}
	request.Unverified = nil
	request = l.withVerifiedReport(now, c.zoneOf(request), request)
	// If this leader has no report of the version's rollout state, request.RollingBack stays unchanged. The node repeats in it
	// the value that an earlier leader sent.
	if rollingBack, known := l.rollingBack[request.SoftwareVersion]; known {
		request.RollingBack = rollingBack
	}
	status := c.nodeStatus(request)
	status.LeaseEnd = leaseEnd
	metrics.GetOrCreateCounter("cove_keeper_leases_granted_total").Inc()
	l.planner.OnNodeStatus(now, status)
	before := l.nodes[request.Node]
	l.nodes[request.Node] = &request
	if before == nil || !sameForRouting(nodeFromRequest(request), nodeFromRequest(*before)) {
		l.publishNodes()
	}
	c.waker.Wake()
	response.RollingBack = request.RollingBack
	response.AssignmentsVersion = c.stateMachine.assignmentsVersion()
	response.Lineage = c.stateMachine.lineage()
	return response, nil
}

// checkLeaseRequest refuses a request that no leader may grant: a request in another version of the protocol, for a process
// other than the caller, for a process that is not an edge node, or with values out of range.
func (c *Controller) checkLeaseRequest(caller string, request controllerclient.LeaseRequest) error {
	if err := checkVersion(request.Version); err != nil {
		return err
	}
	switch {
	case request.Node != caller:
		return refuse(http.StatusBadRequest, "%s requests a lease for %s", caller, request.Node)
	case !c.isEdgeNode(request.Node):
		return refuse(http.StatusBadRequest, "%s is not an edge node in the configuration of %s", request.Node, c.name)
	case request.RecordCount > math.MaxInt64:
		return refuse(http.StatusBadRequest, "kept: a record count of %d is out of range", request.RecordCount)
	case request.Incarnation == 0:
		return refuse(http.StatusBadRequest, "run: the incarnation must be above 0")
	}
	return nil
}

// commitIncarnation commits a new incarnation of a node to the log before the incarnation gets its first lease, so that every
// later leader refuses earlier incarnations.
func (c *Controller) commitIncarnation(l *leadership, request controllerclient.LeaseRequest) error {
	c.mu.Lock()
	verdict, err := l.lessor.Request(c.Now(), request.Node, request.Incarnation)
	c.mu.Unlock()
	if err != nil {
		return leaseRefusal(request.Node, err)
	}
	if verdict != leases.ProposeIncarnation {
		return nil
	}
	_, err = c.proposeEntry(logEntry{Term: l.term, EdgeNode: request.Node, Incarnation: request.Incarnation})
	c.mu.Lock()
	switch {
	case err == nil:
		l.lessor.OnIncarnationAgreed(request.Node, request.Incarnation)
	case knownNotAgreed(err), errors.Is(err, errTermEnded), errors.Is(err, leases.ErrStaleIncarnation):
		l.lessor.OnIncarnationDropped(request.Node)
	} // any other error means that this leadership has ended and its lessor is no longer used; the entry may have been agreed
	c.mu.Unlock()
	if errors.Is(err, leases.ErrStaleIncarnation) {
		return refuse(http.StatusConflict, "%s: %v", request.Node, err)
	}
	return err
}

// commitUnverifiedCopies commits the request's unverified copies to the log. A node repeats an unverified copy in its requests
// until a request that contains the copy is granted.
func (c *Controller) commitUnverifiedCopies(l *leadership, request controllerclient.LeaseRequest) error {
	if len(request.Unverified) > controllerclient.MaxUnverified {
		return refuse(http.StatusBadRequest, "%d unverified copies, the limit is %d", len(request.Unverified),
			controllerclient.MaxUnverified)
	}
	if len(request.Unverified) == 0 {
		return nil
	}
	if _, err := c.proposeEntry(logEntry{Term: l.term, Unverified: request.Unverified}); err != nil {
		return err
	}
	for _, unverified := range request.Unverified {
		c.Log.Warn().Str("event", "doubts").Str("instance", unverified.Instance).Uint64("epoch", unverified.Epoch).
			Str("from", request.Node).Str("why", unverified.Reason).Msg("instance served from an unverified copy")
	}
	return nil
}

// awaitRenewalUnblocked waits while an operation that requires the expiry of the node's lease is in progress. It is called with
// mu held, and releases mu while it waits. It fails with raft.ErrLeadershipLost or the context's error.
func (c *Controller) awaitRenewalUnblocked(ctx context.Context, l *leadership, node string) error {
	for c.currentLeadership() == l && l.renewalBlocks[node] > 0 {
		unblocked := l.renewalUnblocked
		c.mu.Unlock()
		select {
		case <-unblocked:
		case <-l.ended:
		case <-ctx.Done():
		}
		c.mu.Lock()
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	if c.currentLeadership() != l {
		return raft.ErrLeadershipLost
	}
	return nil
}

// leaseRefusal returns the response to a refused lease request: 503 if the node should retry at once, or else 409.
func leaseRefusal(node string, err error) error {
	if errors.Is(err, leases.ErrExpired) || errors.Is(err, leases.ErrIncarnationPending) {
		return refuse(http.StatusServiceUnavailable, "%s: %v", node, err)
	}
	return refuse(http.StatusConflict, "%s: %v", node, err)
}
