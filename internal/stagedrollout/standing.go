package stagedrollout

import (
	"math"
	"slices"
)

// Standing is one server as the module sees it, for people.
type Standing struct {
	Assigned, Running uint16
	Failures          int
	Excluded          bool
	NotBefore         Tick
	MayInstallUntil   Tick
	Rank              int // in the order, from 0
	Servers           int
	MaxAssigned       int // servers that may be told
	MayInstall        int // servers that count
}

// Explain tells why a server is told what it is.
func (w *Rollout) Explain(now Tick, s *Server) Standing {
	w.sortServers()
	at := Standing{Assigned: s.assigned, Running: s.running, Failures: s.failures, Excluded: s.excluded, NotBefore: s.retryAt,
		MayInstallUntil: s.mayInstallUntil, Rank: slices.Index(w.servers, s), Servers: len(w.servers)}
	fleet := 0
	for _, o := range w.servers {
		if o.listed {
			fleet++
		}
		if w.version != w.releasedVersion && w.mayInstall(now, o) {
			at.MayInstall++
		}
	}
	switch w.phase {
	case Canary:
		at.MaxAssigned = int(math.Floor(w.exposureCap*float64(fleet) + 1e-9))
	case Released:
		at.MaxAssigned = fleet
	}
	return at
}

// Count tells how many servers of the fleet there are, how many are told the newest package, and how many
// may act on metadata that name it.
func (w *Rollout) Count(now Tick) (fleet, told, counted int) {
	for _, s := range w.servers {
		if s.listed {
			fleet++
		}
		if w.version != w.releasedVersion && s.assigned == w.version {
			told++
		}
		if w.version != w.releasedVersion && w.mayInstall(now, s) {
			counted++
		}
	}
	return fleet, told, counted
}
