package controller

import (
	"fmt"
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// maxTrackedVersions is how many software versions are known at once.
const maxTrackedVersions = 64

// rolloutReport is what a relay was told by the release API of a software version.
type rolloutReport struct {
	version     uint16
	rollingBack bool // it is being rolled back, or was withdrawn
}

// onRolloutReport takes a relay's report. Nodes that run a version that is rolled back are known as such from then on, not
// from their next lease: a third of a lease is long enough to move many instances to them. One relay's report is enough for
// that, and the last of those who reported it ends it: a relay that is cut off from the release API goes on reporting what
// it heard last. It is called with mu.
func (c *Controller) onRolloutReport(l *leadership, now tick.Tick, relay string, report rolloutReport) {
	before := l.rollingBack[report.version]
	if !l.noteRolloutReport(relay, report) {
		return
	}
	if report.rollingBack != before {
		state := "stays"
		if report.rollingBack {
			state = "back"
		}
		c.Log.Info().Str("event", "build").Str("state", state).Uint16("version", report.version).
			Str("why", fmt.Sprintf("build %d, say the relays", report.version)).Msg("rollout state of a version changed")
	}
	c.updateRollingBack(l, now, report)
	c.waker.Wake()
}

// noteRolloutReport notes a report and returns whether it changes what is known of the version.
func (l *leadership) noteRolloutReport(relay string, report rolloutReport) (changed bool) {
	l.rolloutReports[relay] = report
	if !report.rollingBack {
		for _, other := range l.rolloutReports {
			if other == (rolloutReport{report.version, true}) {
				return false
			}
		}
	}
	before, known := l.rollingBack[report.version]
	if known && before == report.rollingBack {
		return false
	}
	if !known && !l.evictVersion() {
		return false
	}
	l.rollingBack[report.version] = report.rollingBack
	return true
}

// evictVersion forgets the lowest version that is not rolled back, where as many are known as may be. It returns
// whether another one can be noted.
func (l *leadership) evictVersion() bool {
	if len(l.rollingBack) < maxTrackedVersions {
		return true
	}
	for _, version := range slices.Sorted(maps.Keys(l.rollingBack)) {
		if !l.rollingBack[version] {
			delete(l.rollingBack, version)
			return true
		}
	}
	return false
}

// updateRollingBack tells the planner of the nodes that run the version and whose leases run. It is called with mu.
func (c *Controller) updateRollingBack(l *leadership, now tick.Tick, report rolloutReport) {
	changed := false
	for _, name := range slices.Sorted(maps.Keys(l.nodes)) {
		request := *l.nodes[name]
		leaseEnd, hasLease := l.lessor.LeaseEnd(now, name)
		if request.SoftwareVersion != report.version || request.RollingBack == report.rollingBack || !hasLease {
			continue
		}
		request.RollingBack = report.rollingBack
		changed = true
		l.nodes[name] = &request
		status := c.nodeStatus(request)
		status.LeaseEnd = leaseEnd
		l.planner.OnNodeStatus(now, status)
	}
	if changed {
		l.publishNodes()
	}
}
