package stagedrollout

import (
	"math"
	"slices"
)

// rollBack tells a server the released build that it comes from.
func (w *Rollout) rollBack(now Tick, s *Server) {
	if s.assigned == s.released {
		return
	}
	s.assigned, s.assignedAt, s.mayInstallUntil = s.released, now, now+w.metadataLifetime
	w.host.Assign(s, s.released)
}

// pending: told the package and not yet heard to run it.
func (w *Rollout) pending(s *Server) bool {
	return w.version != w.releasedVersion && s.listed && s.assigned == w.version && s.running != w.version
}

// mayInstall: it may act on metadata that name the package.
func (w *Rollout) mayInstall(now Tick, s *Server) bool {
	return s.assigned == w.version || now < s.mayInstallUntil
}

// reconcile is the ordinary path: who is told back, who is told next.
func (w *Rollout) reconcile(now Tick) {
	if w.version == w.releasedVersion {
		return
	}
	w.sortServers()
	fleet, told, counted, pending := 0, 0, 0, 0
	for _, s := range w.servers {
		if s.listed {
			fleet++
		}
		if s.assigned == w.version {
			told++
		}
		if w.mayInstall(now, s) {
			counted++
		}
		if w.pending(s) {
			pending++
		}
	}
	most := fleet
	switch w.phase {
	case Canary:
		most = int(math.Floor(w.exposureCap*float64(fleet) + 1e-9))
	case RollingBack, Withdrawn:
		most = 0
	}
	for i := len(w.servers) - 1; i >= 0 && told > most; i-- { // the last of the order first
		if s := w.servers[i]; s.assigned == w.version {
			w.rollBack(now, s)
			told--
		}
	}
	if most == 0 || w.paused && w.phase == Canary {
		w.scheduleTimer(now)
		return
	}
	once := max(minPending, int(maxPendingShare*float64(fleet)))
	if n := len(w.results); n >= recentResults/2 && sum(w.results) > maxFailedShare*float64(n) {
		once = 1 // most of the last ended badly: one after the other, until some go well
	}
	for _, s := range w.servers {
		if pending >= once || w.phase == Canary && counted >= most {
			break
		}
		if !s.listed || s.assigned == w.version || s.excluded || now < s.retryAt || !w.compatible(s) {
			continue
		}
		if w.phase == Canary && now < s.mayInstallUntil {
			counted-- // it counts already
		}
		s.assigned, s.assignedAt, s.mayInstallUntil = w.version, now, 0
		w.host.Assign(s, w.version)
		counted++
		pending++
	}
	w.scheduleTimer(now)
}

func (w *Rollout) compatible(s *Server) bool {
	return len(w.hardwareKinds) == 0 || slices.Contains(w.hardwareKinds, s.Kind)
}

// scheduleTimer asks for the next alarm that can change anything.
func (w *Rollout) scheduleTimer(now Tick) {
	next := Tick(math.MaxInt64)
	for _, s := range w.servers {
		if w.pending(s) {
			next = min(next, s.assignedAt+installWindow)
		}
		if s.retryAt > now && !s.excluded {
			next = min(next, s.retryAt)
		}
		if s.mayInstallUntil > now {
			next = min(next, s.mayInstallUntil)
		}
	}
	if next != math.MaxInt64 && (w.timerAt == 0 || next < w.timerAt) {
		w.timerAt = next
		w.host.SetTimer(next)
	}
}

func sum(x []float64) (s float64) {
	for _, v := range x {
		s += v
	}
	return s
}
