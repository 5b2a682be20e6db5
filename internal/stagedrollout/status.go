package stagedrollout

import (
	"slices"
)

// AssignmentStatus explains the assignment of one server to an operator.
type AssignmentStatus struct {
	Assigned        uint16 // the version that the server's metadata must name; 0 if none
	Running         uint16 // the version in the server's last report; 0 before the first report
	Failures        int    // number of failed installations of the newest version
	Excluded        bool   // whether the server is permanently excluded from the newest version
	NotBefore       Tick   // the server is not assigned the newest version again before this time; 0 if no installation has failed
	MayInstallUntil Tick   // after a roll-back: until this time, the server may still install the newest version from metadata that it already has
	Rank            int    // index of the server, from 0, in the order of assignment (sortServers)
	Servers         int    // number of servers in the order of assignment, including servers that are no longer listed but still kept
	MaxAssigned     int    // number of servers that may be assigned the newest version
	MayInstall      int    // number of servers that may still install the newest version, including servers rolled back from it (see MayInstallUntil)
}

// Explain returns the state that determines the assignment of a server.
func (r *Rollout) Explain(now Tick, s *Server) AssignmentStatus {
	r.sortServers()
	status := AssignmentStatus{Assigned: s.assigned, Running: s.running, Failures: s.failures, Excluded: s.excluded, NotBefore: s.retryAt,
		MayInstallUntil: s.mayInstallUntil, Rank: slices.Index(r.servers, s), Servers: len(r.servers)}
	counts := r.Count(now)
	status.MayInstall, status.MaxAssigned = counts.MayInstall, r.maxAssigned(counts.Servers)
	return status
}

// Counts holds numbers of servers.
type Counts struct {
	Servers    int // listed servers
	Assigned   int // servers that are assigned the newest version; 0 once that version is released
	MayInstall int // assigned servers, and rolled-back servers before their MayInstallUntil; 0 once the newest version is released

	pending int // servers that are assigned the newest version and have not reported that they run it
}

// Count counts the servers of the fleet by their state at the given time.
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
