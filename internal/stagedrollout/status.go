package stagedrollout

import (
	"slices"
)

// AssignmentStatus explains one server's assignment to people.
type AssignmentStatus struct {
	Assigned        uint16 // version that its metadata name
	Running         uint16 // version by its last report
	Failures        int    // of installations of the newest version
	Excluded        bool   // from the newest version, for good
	NotBefore       Tick   // not assigned the newest version again before
	MayInstallUntil Tick   // after a roll-back
	Rank            int    // in the order, from 0
	Servers         int    // in the order
	MaxAssigned     int    // servers that may be assigned the newest version
	MayInstall      int    // servers that may act on metadata that name it
}

// Explain tells why a server is assigned what it is.
func (r *Rollout) Explain(now Tick, s *Server) AssignmentStatus {
	r.sortServers()
	at := AssignmentStatus{Assigned: s.assigned, Running: s.running, Failures: s.failures, Excluded: s.excluded, NotBefore: s.retryAt,
		MayInstallUntil: s.mayInstallUntil, Rank: slices.Index(r.servers, s), Servers: len(r.servers)}
	counts := r.Count(now)
	at.MayInstall, at.MaxAssigned = counts.MayInstall, r.maxAssigned(counts.Servers)
	return at
}

// Counts are numbers of servers.
type Counts struct {
	Servers    int // listed
	Assigned   int // assigned the newest version, 0 once it is released
	MayInstall int // may act on metadata that name the newest version, 0 once it is released

	pending int // assigned the newest version, and not yet heard to run it
}

// Count counts the servers.
func (r *Rollout) Count(now Tick) Counts {
	var counts Counts
	for _, s := range r.servers {
		if s.listed {
			counts.Servers++
		}
		if r.version == r.releasedVersion {
			continue
		}
		if s.assigned == r.version {
			counts.Assigned++
		}
		if r.mayInstall(now, s) {
			counts.MayInstall++
		}
		if r.pending(s) {
			counts.pending++
		}
	}
	return counts
}
