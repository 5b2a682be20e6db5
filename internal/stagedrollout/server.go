package stagedrollout

// Server is one server of the fleet. The caller sets the exported fields before it passes the server to a Rollout.
type Server struct {
	Name string // name by which the Director knows the server
	Zone string
	Kind string // kind of hardware

	tracked         bool    // whether the server is in Rollout.servers
	listed          bool    // whether the server is in the list of servers
	assigned        uint16  // the version that the newest metadata for the server name; 0 if none
	assignedAt      Tick    // time at which assigned was set
	released        uint16  // the released version that a roll-back assigns to the server; 0 if none
	mayInstallUntil Tick    // after a roll-back: until this time, the server may still install the newest version
	running         uint16  // the version in the server's last report; 0 before the first report
	rank            float64 // position in the order of assignment of the newest version (see sortServers), from 0 (first) to 1
	failures        int     // number of failed installations of the newest version
	retryAt         Tick    // after a failed installation: the server is not assigned the newest version before this time
	excluded        bool    // whether the server declined the newest version or failed to install it too often; the server is never assigned that version again
}

// Assigned returns the version that the server's metadata must name; 0 means that there is none.
func (s *Server) Assigned() uint16 { return s.assigned }
