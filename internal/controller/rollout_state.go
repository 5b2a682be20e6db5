package controller

import (
	"fmt"
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// maxTrackedVersions is the maximum number of software versions whose rollout state a leader tracks.
const maxTrackedVersions = 64

// rolloutReport is the state of a software version that a relay received from the release API.
type rolloutReport struct {
	version     uint16
	rollingBack bool // the version is being rolled back or was withdrawn
}

// onRolloutReport handles a relay's report of a version's rollout state. It publishes the new state of the nodes that run the
// version at once, and does not wait for their next lease requests. Such a request may come a third of a lease later, and until
// then many instances could be moved to nodes that are being rolled back. A version counts as being rolled back as soon as one
// relay reports it. The rollback ends when a relay reports the end and no relay's last report still says that the version is
// rolled back. Therefore, a relay that is partitioned from the release API, and repeats the last state that it received, can't
// end a rollback that other relays report. onRolloutReport is called with mu held.
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
			Str("why", fmt.Sprintf("build %d, as reported by relays", report.version)).Msg("rollout state of a version changed")
	}
	c.updateRollingBack(l, now, report)
	c.waker.Wake()
}

// noteRolloutReport records a relay's report. changed is true if the version's rollout state was unknown before or has changed.
func (l *leadership) noteRolloutReport(relay string, report rolloutReport) (changed bool) {
	l.rolloutReports[relay] = report
	if !report.rollingBack {
		for _, lastReport := range l.rolloutReports {
			if lastReport == (rolloutReport{report.version, true}) {
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

// evictVersion makes room for another tracked version: at maxTrackedVersions, it drops the lowest version that is not rolled
// back. It reports whether there is room now.
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

// updateRollingBack sets RollingBack for the nodes that run the report's version and have a lease. It reports the changed nodes
// to the planner and publishes them. It is called with mu held.
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
