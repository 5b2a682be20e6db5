package controller

import (
	"errors"
	"net/http"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// handleOperation has an operation of an edge node or an operator agreed. The planner's own kinds are refused.
func (c *Controller) handleOperation(req call[placement.Operation]) (placement.Assignment, error) {
	var none placement.Assignment
	op := req.body
	if op.Version != placement.FormatVersion {
		return none, refuse(http.StatusBadRequest, "%v: version %d of the entry is not known here, %d is",
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
			return none, refuse(http.StatusBadRequest, "%s: a step of %s that is by %q", req.caller, op.Kind, op.Node)
		}
	case placement.OpCreate, placement.OpRelease:
		if !c.isEdgeNode(op.Target) {
			return none, refuse(http.StatusBadRequest, "%s is no edge unit in the file of %s", op.Target, c.name)
		}
	case placement.OpDelete, placement.OpQuarantine:
		return c.stopInstance(l, op)
	default:
		return none, refuse(http.StatusBadRequest, "steps of kind %q are made by the leading keeper alone", op.Kind)
	}
	return operationResponse(c.proposeEntry(logEntry{Operations: []placement.Operation{op}}))
}

// stopInstance has an instance deleted or quarantined, which is refused while the lease of its primary runs.
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
			refusal := refuse(http.StatusConflict, "%s runs at %s: %v", op.Instance, current.Primary, err)
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

// handleDevice notes in which zone an instance's device is.
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

// operationResponse is the answer to a call by the result of its one operation: the assignment after it, or a refusal with
// the one that stands.
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
