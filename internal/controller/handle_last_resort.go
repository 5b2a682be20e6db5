package controller

import (
	"encoding/json"
	"maps"
	"slices"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/placement"
)

// handleLastResort returns a plan for each zone whose nodes are all evacuating. The plan lists the instances that the zone's
// nodes continue to serve, in descending order of their priority weight.
func (c *Controller) handleLastResort(call[struct{}]) (controllerclient.LastResortPlan, error) {
	plan := controllerclient.LastResortPlan{Zones: []controllerclient.LastResortZone{}}
	l, _, err := c.requireLeadership()
	if err != nil {
		return plan, err
	}
	c.mu.Lock()
	zones := c.reportsByZone(l)
	c.mu.Unlock()
	// There may be many assignments. They are read only if all nodes of a zone are evacuating, which is rare.
	var assignments []placement.Assignment
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if !devicehealth.AllEvacuating(zones[zone]) {
			continue
		}
		if assignments == nil {
			assignments = c.stateMachine.assignments()
		}
		plan.Zones = append(plan.Zones, lastResortZone(zone, zones[zone], assignments))
	}
	return plan, nil
}

// reportsByZone returns, by zone and node name, the health reports of all nodes with a lease. It is called with mu held.
func (c *Controller) reportsByZone(l *leadership) map[string]map[string]devicehealth.Report {
	zones := map[string]map[string]devicehealth.Report{}
	for name, request := range l.nodes {
		var report devicehealth.Report
		if _, hasLease := l.lessor.LeaseEnd(c.Now(), name); !hasLease || json.Unmarshal(request.Report, &report) != nil {
			continue
		}
		zone := c.zoneOf(*request)
		if zones[zone] == nil {
			zones[zone] = map[string]devicehealth.Report{}
		}
		zones[zone][name] = report
	}
	return zones
}

// lastResortZone returns the plan of one zone.
func lastResortZone(zone string, reports map[string]devicehealth.Report, assignments []placement.Assignment) controllerclient.LastResortZone {
	var instances []devicehealth.Instance
	for _, a := range assignments {
		if _, inZone := reports[a.Primary]; inZone && a.State == placement.Running {
			instances = append(instances, devicehealth.Instance{Name: a.Instance, Node: a.Primary, PriorityWeight: a.Weight})
		}
	}
	plan := controllerclient.LastResortZone{Zone: zone, Instances: []controllerclient.LastResortInstance{}}
	for _, instance := range devicehealth.LastResort(reports, instances) {
		plan.Instances = append(plan.Instances, controllerclient.LastResortInstance{
			Name:   instance.Name,
			Node:   instance.Node,
			Weight: instance.PriorityWeight,
		})
	}
	return plan
}
