package controller

import (
	"encoding/json"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/migration"
	"silvercove/internal/peertransport"
	"silvercove/internal/tick"
)

// isEdgeNode reports whether a process is an edge node in this controller's file.
func (c *Controller) isEdgeNode(name string) bool {
	peer, ok := c.Network.Peer(name)
	return ok && peer.Role == peertransport.RoleEdge
}

// zoneOf is where a node is: as it says, or else as this controller's file does.
func (c *Controller) zoneOf(request controllerclient.LeaseRequest) string {
	if request.Zone != "" {
		return request.Zone
	}
	peer, _ := c.Network.Peer(request.Node)
	return peer.Zone
}

// withVerifiedReport replaces a node's health report by what the outcomes that relays have seen leave of it. A report that
// can't be read stays: decodeHealthReport says what becomes of it. It is called with Controller.mu.
func (l *leadership) withVerifiedReport(now tick.Tick, zone string, request controllerclient.LeaseRequest) controllerclient.LeaseRequest {
	var report devicehealth.Report
	if json.Unmarshal(request.Report, &report) != nil {
		return request
	}
	if text, err := json.Marshal(l.verifier.Verify(now, request.Node, zone, report)); err == nil {
		request.Report = text
	}
	return request
}

// nodeStatus is a node as the planner takes it, without the end of its lease. One whose report can't be read gets no new
// instance, and keeps what it has.
func (c *Controller) nodeStatus(request controllerclient.LeaseRequest) migration.NodeStatus {
	report := decodeHealthReport(request)
	status := migration.NodeStatus{
		Name:           request.Node,
		Zone:           c.zoneOf(request),
		Incarnation:    request.Incarnation,
		ListedDraining: request.Draining,
		Version:        request.SoftwareVersion,
		RollingBack:    request.RollingBack,
		WarmingUp:      request.WarmingUp,
		LostCopies:     request.LostCopies,
	}
	health := devicehealth.Report{State: devicehealth.State(report.State), Risk: report.Risk, SpareCapacity: report.SpareCapacity}
	health.ApplyTo(&status)
	return status
}

// decodeHealthReport is a node's health report; of one that can't be read, that the node keeps what it has.
func decodeHealthReport(request controllerclient.LeaseRequest) controllerclient.HealthReport {
	var report controllerclient.HealthReport
	if err := json.Unmarshal(request.Report, &report); err != nil {
		return controllerclient.HealthReport{State: controllerclient.StateHolding, Reasons: []string{"its report can't be read"}}
	}
	return report
}

// nodeFromRequest is a node as relays and tools are told of it, without its lease.
func nodeFromRequest(request controllerclient.LeaseRequest) controllerclient.Node {
	report := decodeHealthReport(request)
	return controllerclient.Node{
		Name:            request.Node,
		Zone:            request.Zone,
		Incarnation:     request.Incarnation,
		State:           report.State,
		Accepting:       report.State == controllerclient.StateAccepting || report.State == controllerclient.StateLimited,
		AcceptFraction:  report.AcceptFraction,
		Risk:            report.Risk,
		SpareCapacity:   report.SpareCapacity,
		Reasons:         report.Reasons,
		StartedAtMS:     request.StartedAtMS,
		SoftwareVersion: request.SoftwareVersion,
		RequestAddress:  request.RequestAddress,
		Draining:        request.Draining || request.RollingBack,
	}
}

// sameForRouting reports whether two states of a node are the same to relays.
func sameForRouting(a, b controllerclient.Node) bool {
	return a.Name == b.Name &&
		a.Zone == b.Zone &&
		a.Incarnation == b.Incarnation &&
		a.State == b.State &&
		a.AcceptFraction == b.AcceptFraction &&
		a.SpareCapacity == b.SpareCapacity &&
		a.SoftwareVersion == b.SoftwareVersion &&
		a.RequestAddress == b.RequestAddress &&
		a.Draining == b.Draining &&
		a.StartedAtMS == b.StartedAtMS
}
