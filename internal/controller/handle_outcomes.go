package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

const (
	maxOutcomeCount = 1 << 20 // of outcomes that are told at once
	maxRollingBack  = 64      // that are taken back at once
)

// handleOutcomes takes how commands at units ended, as a relay saw them. What a unit says of itself is judged by it.
func (c *Controller) handleOutcomes(req call[controllerclient.OutcomeReport]) (any, error) {
	if err := checkVersion(req.body.Version); err != nil {
		return nil, err
	}
	if p, ok := c.Network.Peer(req.caller); !ok || p.Role != "relay" {
		return nil, refuse(http.StatusBadRequest, "%s is no relay in the file of %s", req.caller, c.name)
	}
	l, _, err := c.requireLeadership()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if s := req.body.RolloutState; s != "" {
		c.onRolloutReport(l, now, req.caller, req.body.SoftwareVersion, s == controllerclient.VersionRollingBack || s == controllerclient.VersionWithdrawn)
	}
	for _, o := range req.body.Nodes {
		if !c.isEdgeNode(o.Node) || o.Successes < 0 || o.Failures < 0 {
			return nil, refuse(http.StatusBadRequest, "outcomes of %.40q: %d good, %d bad", o.Node, o.Successes, o.Failures)
		}
		total := min(o.Successes, maxOutcomeCount) + min(o.Failures, maxOutcomeCount)
		n := min(total, controllerclient.MaxOutcomes)
		bad := min(o.Failures, maxOutcomeCount) * n / max(1, total)
		for i := range n { // spread evenly
			l.verifier.RecordOutcome(now, o.Node, (i+1)*bad/n == i*bad/n)
		}
	}
	return struct{}{}, nil
}

// onRolloutReport takes whether a build is on its way back. Units that run it are known as such from then on, not from their next
// lease: a third of a lease is long enough to hand them much. One relay's word is enough for that, and the last of those who
// said so ends it: a relay that is cut off from the platform goes on telling what it heard last.
func (c *Controller) onRolloutReport(l *leadership, now tick.Tick, relay string, build uint16, back bool) {
	l.rolloutReports[relay] = rolloutReport{build, back}
	if !back {
		for _, s := range l.rolloutReports {
			if s == (rolloutReport{build, true}) {
				return
			}
		}
	}
	was, known := l.rollingBack[build]
	if known && was == back {
		return
	}
	if !known && len(l.rollingBack) == maxRollingBack {
		for _, b := range slices.Sorted(maps.Keys(l.rollingBack)) {
			if !l.rollingBack[b] {
				delete(l.rollingBack, b)
				break
			}
		}
		if len(l.rollingBack) == maxRollingBack {
			return
		}
	}
	if l.rollingBack[build] = back; back != was {
		c.Log.Info().Str("event", "build").Str("state", map[bool]string{true: "back", false: "stays"}[back]).
			Str("why", fmt.Sprintf("build %d, say the relays", build)).Send()
	}
	changed := false
	for _, name := range slices.Sorted(maps.Keys(l.nodes)) {
		a := *l.nodes[name]
		until, held := l.lessor.LeaseEnd(now, name)
		if a.SoftwareVersion != build || a.RollingBack == back || !held {
			continue
		}
		a.RollingBack, changed = back, true
		l.nodes[name] = &a
		u := c.nodeStatus(a)
		u.LeaseEnd = until
		l.planner.OnNodeStatus(now, u)
	}
	if changed {
		l.publishNodes()
	}
	c.waker.Wake()
}

// handleLastResort tells for each zone whose units are all tired what is served on there, the most important first.
func (c *Controller) handleLastResort(req call[struct{}]) (any, error) {
	l, _, err := c.requireLeadership()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	zones := map[string]map[string]devicehealth.Report{}
	for name, a := range l.nodes {
		var r devicehealth.Report
		if _, held := l.lessor.LeaseEnd(c.Now(), name); !held || json.Unmarshal(a.Report, &r) != nil {
			continue
		}
		z := c.zoneOf(*a)
		if zones[z] == nil {
			zones[z] = map[string]devicehealth.Report{}
		}
		zones[z][name] = r
	}
	c.mu.Unlock()
	out := controllerclient.LastResortPlan{Zones: []controllerclient.LastResortZone{}}
	var all []placement.Assignment
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		if !devicehealth.AllDraining(zones[z]) {
			continue
		}
		if all == nil {
			all = c.stateMachine.assignments()
		}
		var there []devicehealth.Instance
		for _, p := range all {
			if _, ours := zones[z][p.Primary]; ours && p.State == placement.Running {
				there = append(there, devicehealth.Instance{Name: p.Instance, Node: p.Primary, PriorityWeight: p.Weight})
			}
		}
		one := controllerclient.LastResortZone{Zone: z, Instances: []controllerclient.LastResortInstance{}}
		for _, s := range devicehealth.LastResort(zones[z], there) {
			one.Instances = append(one.Instances, controllerclient.LastResortInstance{Name: s.Name, Node: s.Node, Weight: s.PriorityWeight})
		}
		out.Zones = append(out.Zones, one)
	}
	return out, nil
}
