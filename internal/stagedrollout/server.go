package stagedrollout

// Server is one server of the fleet. The caller sets the exported fields before the first call with it.
type Server struct {
	Name string // the name that the Director uses
	Zone string
	Kind string // kind of hardware

	tracked         bool    // the server is in Rollout.servers
	listed          bool    // the server is in the list of servers
	assigned        uint16  // the version that its newest metadata name
	assignedAt      Tick    // time at which assigned was set
	released        uint16  // the version that a roll-back assigns
	mayInstallUntil Tick    // after a roll-back: the server may act on the newest version until this time
	running         uint16  // the version in its last report
	rank            float64 // position in the order of the newest version, from 0 to 1
	failures        int     // failed installations of the newest version
	retryAt         Tick    // after a failed installation: the server is not assigned the newest version before this time
	excluded        bool    // permanently excluded from the newest version: the server declined the version or failed too often
}

// Assigned is the version that the server's metadata must name; 0 means none.
func (s *Server) Assigned() uint16 { return s.assigned }
