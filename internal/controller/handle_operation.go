package controller

import (
	"errors"
	"net/http"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// handleOperation proposes an operation of an edge node or an operator. It refuses the kinds of operations that only the
// planner may propose.
func (c *Controller) handleOperation(req call[placement.Operation]) (placement.Assignment, error) {
	var none placement.Assignment
	op := req.body
	if op.Version != placement.FormatVersion {
		return none, refuse(http.StatusBadRequest, "%v: operation version %d is not supported, only %d is",
			placement.ErrUnsupportedVersion, op.Version, placement.FormatVersion)
	}
	l, _, err := c.requireLeadership()
	if err != nil {
		return none, err
	}
	switch op.Kind {
	case placement.OpReplicaReady, placement.OpDropReplica, placement.OpCutOver, placement.OpCancelCopy, placement.OpMarkServed,
		placement.OpReportIncomplete:
		if op.Node != req.caller {
			return none, refuse(http.StatusBadRequest, "%s: operation %s in the name of %q", req.caller, op.Kind, op.Node)
		}
	case placement.OpCreate, placement.OpRelease:
		if !c.isEdgeNode(op.Target) {
			return none, refuse(http.StatusBadRequest, "%s is not an edge node in the configuration of %s", op.Target, c.name)
		}
	case placement.OpDelete, placement.OpQuarantine:
		return c.stopInstance(l, op)
	default:
		return none, refuse(http.StatusBadRequest, "operations of kind %q are proposed by the leading controller only", op.Kind)
	}
	return operationResponse(c.proposeEntry(logEntry{Operations: []placement.Operation{op}}))
}

// stopInstance proposes to delete or quarantine an instance. It refuses the call while the lease of the instance's primary has
// not expired.
func (c *Controller) stopInstance(l *leadership, op placement.Operation) (placement.Assignment, error) {
	var none placement.Assignment
	current, ok := c.stateMachine.assignment(op.Instance)
	if !ok {
		return none, refuse(http.StatusNotFound, "%v", placement.ErrNotFound)
	}
	if op.Epoch == 0 {
		op.Epoch = current.Epoch
	}
	op.Node = current.Primary
	entry := logEntry{Operations: []placement.Operation{op}}
	if current.Primary != "" {
		c.mu.Lock()
		err := l.blockRenewal(c.Now(), current.Primary)
		c.mu.Unlock()
		if err != nil {
			refusal := refuse(http.StatusConflict, "%s runs on %s: %v", op.Instance, current.Primary, err)
			refusal.Assignment = &current
			return none, refusal
		}
		defer func() {
			c.mu.Lock()
			l.unblockRenewal(current.Primary)
			c.mu.Unlock()
		}()
		entry.Term = l.term
	}
	return operationResponse(c.proposeEntry(entry))
}

// handleDevice proposes to record the zone that an instance's device has entered, and reports the zone to the planner once the
// operation is applied.
func (c *Controller) handleDevice(req call[controllerclient.DeviceRequest]) (placement.Assignment, error) {
	var none placement.Assignment
	if err := checkVersion(req.body.Version); err != nil {
		return none, err
	}
	l, _, err := c.requireLeadership()
	if err != nil {
		return none, err
	}
	current, ok := c.stateMachine.assignment(req.body.Name)
	if !ok {
		return none, refuse(http.StatusNotFound, "%v: %s", placement.ErrNotFound, req.body.Name)
	}
	op := placement.Operation{
		Version:  placement.FormatVersion,
		Kind:     placement.OpMoveDevice,
		Instance: current.Instance,
		Epoch:    current.Epoch,
		Zone:     req.body.Zone,
	}
	response, err := operationResponse(c.proposeEntry(logEntry{Operations: []placement.Operation{op}}))
	if err != nil {
		return none, err
	}
	c.mu.Lock()
	if c.currentLeadership() == l {
		l.planner.OnDeviceMoved(c.Now(), req.body.Name, req.body.Zone)
	}
	c.mu.Unlock()
	c.waker.Wake()
	return response, nil
}

// operationResponse returns the response to a call with one operation: the assignment after the operation, or a refusal. The
// refusal contains the unchanged assignment if the instance has one.
func operationResponse(results []operationResult, err error) (placement.Assignment, error) {
	var none placement.Assignment
	if err != nil {
		return none, err
	}
	if len(results) != 1 {
		return none, raft.ErrRaftShutdown
	}
	result := results[0]
	if result.err == nil {
		return result.assignment, nil
	}
	statusCode := http.StatusConflict
	switch {
	case errors.Is(result.err, placement.ErrNotFound):
		statusCode = http.StatusNotFound
	case errors.Is(result.err, placement.ErrInvalid), errors.Is(result.err, placement.ErrUnsupportedVersion):
		statusCode = http.StatusBadRequest
	}
	refusal := refuse(statusCode, "%v", result.err)
	if result.assignment.Instance != "" {
		refusal.Assignment = &result.assignment
	}
	return none, refusal
}
