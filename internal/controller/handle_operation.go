package controller

import (
	"errors"
	"net/http"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// operationResponse is what became of a step that was agreed on.
func operationResponse(answer any, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	all, _ := answer.([]operationResult)
	if len(all) != 1 {
		return nil, raft.ErrRaftShutdown
	}
	r := all[0]
	if r.err == nil {
		return r.assignment, nil
	}
	code := http.StatusConflict
	switch {
	case errors.Is(r.err, placement.ErrNotFound):
		code = http.StatusNotFound
	case errors.Is(r.err, placement.ErrInvalid), errors.Is(r.err, placement.ErrUnsupportedVersion):
		code = http.StatusBadRequest
	}
	f := refuse(code, "%v", r.err)
	if r.assignment.Instance != "" {
		f.Assignment = &r.assignment
	}
	return nil, f
}

// handleOperation has an owner's or an operator's entry agreed. The planner's own kinds are not taken from outside.
func (c *Controller) handleOperation(req call[placement.Operation]) (any, error) {
	e := req.body
	if e.Version != placement.FormatVersion {
		return nil, refuse(http.StatusBadRequest, "%v: version %d of the entry is not known here, %d is", placement.ErrUnsupportedVersion, e.Version,
			placement.FormatVersion)
	}
	l, _, err := c.requireLeadership()
	if err != nil {
		return nil, err
	}
	o := logEntry{Operations: []placement.Operation{e}}
	switch e.Kind {
	case placement.OpReplicaReady, placement.OpDropReplica, placement.OpCutOver, placement.OpCancelCopy, placement.OpMarkServed,
		placement.OpReportIncomplete:
		if e.Node != req.caller {
			return nil, refuse(http.StatusBadRequest, "%s: a step of %s that is by %q", req.caller, e.Kind, e.Node)
		}
	case placement.OpCreate, placement.OpRelease:
		if !c.isEdgeNode(e.Target) {
			return nil, refuse(http.StatusBadRequest, "%s is no edge unit in the file of %s", e.Target, c.name)
		}
	case placement.OpDelete, placement.OpQuarantine:
		p, ok := c.stateMachine.assignment(e.Instance)
		if !ok {
			return nil, refuse(http.StatusNotFound, "%v", placement.ErrNotFound)
		}
		if e.Epoch == 0 {
			e.Epoch = p.Epoch
		}
		if e.Node = p.Primary; p.Primary != "" { // its owner must not act any more
			c.mu.Lock()
			err := l.holdExpiry(c.Now(), p.Primary)
			c.mu.Unlock()
			if err != nil {
				f := refuse(http.StatusConflict, "%s runs at %s: %v", e.Instance, p.Primary, err)
				f.Assignment = &p
				return nil, f
			}
			defer func() {
				c.mu.Lock()
				l.releaseExpiry(p.Primary)
				c.mu.Unlock()
			}()
			o.Term = l.term
		}
		o.Operations[0] = e
	default:
		return nil, refuse(http.StatusBadRequest, "steps of kind %q are made by the leading keeper alone", e.Kind)
	}
	return operationResponse(c.proposeEntry(o))
}

// handleDevice says where an instance's device is.
func (c *Controller) handleDevice(req call[controllerclient.DeviceRequest]) (any, error) {
	if err := checkVersion(req.body.Version); err != nil {
		return nil, err
	}
	l, _, err := c.requireLeadership()
	if err != nil {
		return nil, err
	}
	p, ok := c.stateMachine.assignment(req.body.Name)
	if !ok {
		return nil, refuse(http.StatusNotFound, "%v: %s", placement.ErrNotFound, req.body.Name)
	}
	answer, err := operationResponse(c.proposeEntry(logEntry{Operations: []placement.Operation{{Version: placement.FormatVersion, Kind: placement.OpMoveDevice, Instance: p.Instance,
		Epoch: p.Epoch, Zone: req.body.Zone}}}))
	if err == nil {
		c.mu.Lock()
		if c.currentLeadership() == l {
			l.planner.OnDeviceMoved(c.Now(), req.body.Name, req.body.Zone)
		}
		c.mu.Unlock()
		c.waker.Wake()
	}
	return answer, err
}
