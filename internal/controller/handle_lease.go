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

// handleLease grants a lease, or renews it. The lease counts from the moment at which the request came.
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
	if rollingBack, known := l.rollingBack[request.SoftwareVersion]; known { // else the node says what an earlier leader told it
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

// checkLeaseRequest refuses a request that no leader may grant.
func (c *Controller) checkLeaseRequest(caller string, request controllerclient.LeaseRequest) error {
	if err := checkVersion(request.Version); err != nil {
		return err
	}
	switch {
	case request.Node != caller:
		return refuse(http.StatusBadRequest, "%s asks for a lease of %s", caller, request.Node)
	case !c.isEdgeNode(request.Node):
		return refuse(http.StatusBadRequest, "%s is no edge unit in the file of %s", request.Node, c.name)
	case request.RecordCount > math.MaxInt64:
		return refuse(http.StatusBadRequest, "kept: %d is beyond any count", request.RecordCount)
	case request.Incarnation == 0:
		return refuse(http.StatusBadRequest, "run: the number of the process's start, above 0")
	}
	return nil
}

// commitIncarnation has a new incarnation of a node agreed before it gets its first lease, so that every later leader refuses
// the ones before.
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
	} // else it is not known, and the leadership is over
	c.mu.Unlock()
	if errors.Is(err, leases.ErrStaleIncarnation) {
		return refuse(http.StatusConflict, "%s: %v", request.Node, err)
	}
	return err
}

// commitUnverifiedCopies has the node's unverified copies agreed. A node tells each of them until a lease is granted with it.
func (c *Controller) commitUnverifiedCopies(l *leadership, request controllerclient.LeaseRequest) error {
	if len(request.Unverified) > controllerclient.MaxUnverified {
		return refuse(http.StatusBadRequest, "%d doubts, allowed are %d", len(request.Unverified), controllerclient.MaxUnverified)
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

// awaitRenewalUnblocked waits until no operation is under way that rests on the end of a node's lease. It is called with mu, which
// it gives back while it waits. It fails with raft.ErrLeadershipLost, or the context's error.
func (c *Controller) awaitRenewalUnblocked(ctx context.Context, l *leadership, node string) error {
	for c.currentLeadership() == l && l.renewalBlocks[node] > 0 {
		settled := l.renewalUnblocked
		c.mu.Unlock()
		select {
		case <-settled:
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

// leaseRefusal refuses a lease: for good, or with 503 so that the node asks again at once.
func leaseRefusal(node string, err error) error {
	if errors.Is(err, leases.ErrExpired) || errors.Is(err, leases.ErrIncarnationPending) {
		return refuse(http.StatusServiceUnavailable, "%s: %v", node, err)
	}
	return refuse(http.StatusConflict, "%s: %v", node, err)
}
