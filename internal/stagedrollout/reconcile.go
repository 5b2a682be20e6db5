package stagedrollout

import (
	"math"
	"slices"
)

// rollBack assigns a server the released version again. The server may still install the newest version until the
// metadata that name that version expire or the server has fetched newer metadata.
func (r *Rollout) rollBack(now Tick, s *Server) {
	if s.assigned == s.released {
		return
	}
	s.assigned, s.assignedAt, s.mayInstallUntil = s.released, now, now+r.metadataLifetime
	r.host.Assign(s, s.released)
}

// pending reports whether a server is assigned the newest version and has not reported that it runs it.
func (r *Rollout) pending(s *Server) bool {
	return r.version != r.releasedVersion && s.listed && s.assigned == r.version && s.running != r.version
}

// mayInstall reports whether a server may still install the newest version: the version is assigned to the server, or the
// server was rolled back from it and mayInstallUntil has not passed.
func (r *Rollout) mayInstall(now Tick, s *Server) bool {
	return s.assigned == r.version || now < s.mayInstallUntil
}

// reconcile compares the number of servers that are assigned the newest version with the limit. It rolls back servers
// above the limit, and assigns the version to more servers below the limit.
func (r *Rollout) reconcile(now Tick) {
	if r.version == r.releasedVersion {
		return
	}
	r.sortServers()
	counts := r.Count(now)
	limit := r.maxAssigned(counts.Servers)
	r.rollBackExcess(now, counts.Assigned-limit)
	if limit > 0 && (!r.paused || r.phase != Canary) {
		r.assignMore(now, counts, limit)
	}
	r.scheduleTimer(now)
}

// maxAssigned returns the number of listed servers that may be assigned the newest version in its current phase.
func (r *Rollout) maxAssigned(servers int) int {
	switch r.phase {
	case Canary:
		return int(math.Floor(r.exposureCap*float64(servers) + roundingTolerance))
	case Released:
		return servers
	}
	return 0
}

// rollBackExcess rolls back the given number of the servers that are assigned the newest version, beginning with the
// last one in the order.
func (r *Rollout) rollBackExcess(now Tick, excess int) {
	for i := len(r.servers) - 1; i >= 0 && excess > 0; i-- {
		if s := r.servers[i]; s.assigned == r.version {
			r.rollBack(now, s)
			excess--
		}
	}
}

// assignMore assigns the newest version to servers in the order of r.servers. It stops once maxPending installations are
// pending or, in the phase Canary, once limit servers may install the version.
func (r *Rollout) assignMore(now Tick, counts Counts, limit int) {
	maxPending := r.maxPending(counts.Servers)
	for _, s := range r.servers {
		if counts.pending >= maxPending || r.phase == Canary && counts.MayInstall >= limit {
			return
		}
		if !s.listed || s.assigned == r.version || s.excluded || now < s.retryAt || !r.compatible(s) {
			continue
		}
		if r.phase == Canary && now < s.mayInstallUntil {
			counts.MayInstall-- // the server was rolled back and may still install the version, so MayInstall already includes it; the increment below must not count it twice
		}
		s.assigned, s.assignedAt, s.mayInstallUntil = r.version, now, 0
		r.host.Assign(s, r.version)
		counts.MayInstall++
		counts.pending++
	}
}

// maxPending returns the number of installations that may be pending at once. While most of the recent installations
// have failed, only one may be pending.
func (r *Rollout) maxPending(servers int) int {
	if n := len(r.results); n >= recentResults/2 && sum(r.results) > maxFailedShare*float64(n) {
		return 1
	}
	return max(minPending, int(maxPendingShare*float64(servers)))
}

// compatible reports whether the package of the newest version fits a server's kind of hardware.
func (r *Rollout) compatible(s *Server) bool {
	return len(r.hardwareKinds) == 0 || slices.Contains(r.hardwareKinds, s.Kind)
}

// scheduleTimer sets the timer to the next time at which the passing of time alone can change an assignment.
func (r *Rollout) scheduleTimer(now Tick) {
	next := Tick(math.MaxInt64)
	for _, s := range r.servers {
		if r.pending(s) {
			next = min(next, s.assignedAt+installWindow)
		}
		if s.retryAt > now && !s.excluded {
			next = min(next, s.retryAt)
		}
		if s.mayInstallUntil > now {
			next = min(next, s.mayInstallUntil)
		}
	}
	if next != math.MaxInt64 && (r.timerAt == 0 || next < r.timerAt) {
		r.timerAt = next
		r.host.SetTimer(next)
	}
}

func sum(x []float64) (s float64) {
	for _, v := range x {
		s += v
	}
	return s
}
