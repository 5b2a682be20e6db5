package controller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/leases"
	"silvercove/internal/migration"
	"silvercove/internal/tick"
)

// handleLease grants a lease, or renews it.
func (c *Controller) handleLease(req call[controllerclient.LeaseRequest]) (any, error) {
	came, a := c.Now(), req.body
	if err := checkVersion(a.Version); err != nil {
		return nil, err
	}
	switch {
	case a.Node != req.caller:
		return nil, refuse(http.StatusBadRequest, "%s asks for a lease of %s", req.caller, a.Node)
	case !c.isEdgeNode(a.Node):
		return nil, refuse(http.StatusBadRequest, "%s is no edge unit in the file of %s", a.Node, c.name)
	case a.RecordCount > math.MaxInt64:
		return nil, refuse(http.StatusBadRequest, "kept: %d is beyond any count", a.RecordCount)
	case a.Incarnation == 0:
		return nil, refuse(http.StatusBadRequest, "run: the number of the process's start, above 0")
	}
	l, r, err := c.requireLeadership()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	verdict, err := l.lessor.Request(c.Now(), a.Node, a.Incarnation)
	c.mu.Unlock()
	if err != nil {
		return nil, leaseRefusal(a.Node, err)
	}
	if verdict == leases.ProposeIncarnation {
		_, err := c.proposeEntry(logEntry{Term: l.term, EdgeNode: a.Node, Incarnation: a.Incarnation})
		c.mu.Lock()
		switch {
		case err == nil:
			l.lessor.OnIncarnationAgreed(a.Node, a.Incarnation)
		case knownNotAgreed(err), errors.Is(err, errTermEnded), errors.Is(err, leases.ErrStaleIncarnation):
			l.lessor.OnIncarnationDropped(a.Node)
		} // else it is not known, and the lead is over
		c.mu.Unlock()
		if errors.Is(err, leases.ErrStaleIncarnation) {
			return nil, refuse(http.StatusConflict, "%s: %v", a.Node, err)
		} else if err != nil {
			return nil, err
		}
	}
	if err := c.confirmer.confirm(req.ctx, r, l.term); err != nil {
		return nil, err
	}
	if len(a.Unverified) > controllerclient.MaxUnverified {
		return nil, refuse(http.StatusBadRequest, "%d doubts, allowed are %d", len(a.Unverified), controllerclient.MaxUnverified)
	}
	if len(a.Unverified) > 0 { // a unit tells each until its lease is granted with it
		if _, err := c.proposeEntry(logEntry{Term: l.term, Unverified: a.Unverified}); err != nil {
			return nil, err
		}
		for _, d := range a.Unverified {
			c.Log.Warn().Str("event", "doubts").Str("instance", d.Instance).Uint64("epoch", d.Epoch).Str("from", a.Node).
				Str("why", d.Reason).Send()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.currentLeadership() == l && l.expiryDependents[a.Node] > 0 {
		settled := l.dependentsSettled
		c.mu.Unlock()
		select {
		case <-settled:
		case <-l.ended:
		case <-req.ctx.Done():
		}
		c.mu.Lock()
		if err := req.ctx.Err(); err != nil {
			return nil, err
		}
	}
	if c.currentLeadership() != l {
		return nil, raft.ErrLeadershipLost
	}
	now := c.Now()
	until, err := l.lessor.Grant(now, came, a.Node, a.Incarnation)
	if err != nil {
		return nil, leaseRefusal(a.Node, err)
	}
	kept, doubts := l.recordCounts.Report(a.Node, a.RecordCount), len(a.Unverified)
	a.Unverified = nil
	a = l.withVerifiedReport(now, c.zoneOf(a), a)
	if back, known := l.rollingBack[a.SoftwareVersion]; known { // else the unit says what an earlier leader told it
		a.RollingBack = back
	}
	u := c.nodeStatus(a)
	u.LeaseEnd = until
	metrics.GetOrCreateCounter("cove_keeper_leases_granted_total").Inc()
	l.planner.OnNodeStatus(now, u)
	before := l.nodes[a.Node]
	if l.nodes[a.Node] = &a; before == nil || !sameForRouting(nodeFromRequest(a), nodeFromRequest(*before)) {
		l.publishNodes()
	}
	c.waker.Wake()
	return controllerclient.LeaseResponse{Granted: true, Controller: c.name, AssignmentsVersion: c.stateMachine.assignmentsVersion(), RecordCount: kept, AcceptedUnverified: doubts,
		Lineage: c.stateMachine.lineage(), RollingBack: a.RollingBack}, nil
}

// leaseRefusal refuses a lease: for good, or so that the unit asks again at once.
func leaseRefusal(unit string, err error) error {
	if errors.Is(err, leases.ErrExpired) || errors.Is(err, leases.ErrIncarnationPending) {
		return refuse(http.StatusServiceUnavailable, "%s: %v", unit, err)
	}
	return refuse(http.StatusConflict, "%s: %v", unit, err)
}

// zoneOf is where a unit is: as it says, or else as this keeper's file does.
func (c *Controller) zoneOf(a controllerclient.LeaseRequest) string {
	if a.Zone != "" {
		return a.Zone
	}
	p, _ := c.Network.Peer(a.Node)
	return p.Zone
}

// withVerifiedReport puts what counts of a unit's report in the place of what it says.
func (l *leadership) withVerifiedReport(now tick.Tick, zone string, a controllerclient.LeaseRequest) controllerclient.LeaseRequest {
	var r devicehealth.Report
	if json.Unmarshal(a.Report, &r) != nil {
		return a // read says what becomes of that
	}
	if text, err := json.Marshal(l.verifier.Verify(now, a.Node, zone, r)); err == nil {
		a.Report = text
	}
	return a
}

// nodeStatus is a unit in the planner's words. One whose report can't be read takes nothing new, and keeps what it has.
func (c *Controller) nodeStatus(a controllerclient.LeaseRequest) migration.NodeStatus {
	r := decodeHealthReport(a)
	u := migration.NodeStatus{Name: a.Node, Incarnation: a.Incarnation, Risk: r.Risk, FreeSlots: r.SpareCapacity, Draining: a.Draining,
		Version: a.SoftwareVersion, RollingBack: a.RollingBack, WarmingUp: a.WarmingUp, LostCopies: a.LostCopies}
	u.Zone = c.zoneOf(a)
	u.Accepting, u.Limited = r.State == controllerclient.StateAccepting || r.State == controllerclient.StateLimited, r.State == controllerclient.StateLimited
	u.Evacuating, u.ShuttingDown = r.State == controllerclient.StateDraining || r.State == controllerclient.StateLeaving, r.State == controllerclient.StateLeaving
	return u
}

func decodeHealthReport(a controllerclient.LeaseRequest) controllerclient.HealthReport {
	var r controllerclient.HealthReport
	if err := json.Unmarshal(a.Report, &r); err != nil {
		return controllerclient.HealthReport{State: controllerclient.StateHolding, Reasons: []string{"its report can't be read"}}
	}
	return r
}

// nodeFromRequest is a unit as it is told.
func nodeFromRequest(a controllerclient.LeaseRequest) controllerclient.Node {
	r := decodeHealthReport(a)
	return controllerclient.Node{Name: a.Node, Zone: a.Zone, Incarnation: a.Incarnation, State: r.State, AcceptFraction: r.AcceptFraction, Risk: r.Risk, SpareCapacity: r.SpareCapacity,
		Reasons: r.Reasons, StartedAtMS: a.StartedAtMS, SoftwareVersion: a.SoftwareVersion, Commands: a.Commands, Draining: a.Draining || a.RollingBack,
		Accepting: r.State == controllerclient.StateAccepting || r.State == controllerclient.StateLimited}
}

// sameForRouting tells whether what relays go by is the same.
func sameForRouting(a, b controllerclient.Node) bool {
	a.Reasons, b.Reasons, a.Risk, b.Risk = nil, nil, 0, 0
	return a.Name == b.Name && a.Zone == b.Zone && a.Incarnation == b.Incarnation && a.State == b.State && a.AcceptFraction == b.AcceptFraction &&
		a.SpareCapacity == b.SpareCapacity && a.SoftwareVersion == b.SoftwareVersion && a.Commands == b.Commands && a.Draining == b.Draining && a.StartedAtMS == b.StartedAtMS
}
