package controller

import (
	"encoding/json"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/migration"
	"silvercove/internal/peertransport"
	"silvercove/internal/tick"
)

// isEdgeNode reports whether a process is an edge node in this controller's configuration file.
func (c *Controller) isEdgeNode(name string) bool {
	peer, ok := c.Network.Peer(name)
	return ok && peer.Role == peertransport.RoleEdge
}

// zoneOf returns a node's zone: the zone in the request or, if that is empty, the zone in this controller's configuration file.
func (c *Controller) zoneOf(request controllerclient.LeaseRequest) string {
	if request.Zone != "" {
		return request.Zone
	}
	peer, _ := c.Network.Peer(request.Node)
	return peer.Zone
}

// withVerifiedReport returns the request with its health report corrected by the outcomes that relays have reported. A report
// that can't be decoded stays as it is; decodeHealthReport handles it. It is called with Controller.mu held.
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

// nodeStatus returns a node's status for the planner, without the end of its lease. If the health report can't be decoded, the
// node gets no new instances and keeps those that it has.
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

// decodeHealthReport returns a node's health report. If the report can't be decoded, the result has StateHolding, with which
// the node gets no new instances and keeps those that it has.
func decodeHealthReport(request controllerclient.LeaseRequest) controllerclient.HealthReport {
	var report controllerclient.HealthReport
	if err := json.Unmarshal(request.Report, &report); err != nil {
		return controllerclient.HealthReport{State: controllerclient.StateHolding, Reasons: []string{"its health report can't be decoded"}}
	}
	return report
}

// nodeFromRequest returns a node as it is published to relays and tools, without the state of its lease.
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

// sameForRouting reports whether two published states of a node agree in all fields by which relays route requests.
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
