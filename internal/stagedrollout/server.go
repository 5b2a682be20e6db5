package stagedrollout

// Server is one server of the fleet. The caller sets the exported fields before the first call with it.
type Server struct {
	Name string // the Director's name for it
	Zone string
	Kind string // of hardware

	tracked         bool    // in Rollout.servers
	listed          bool    // in the list of servers
	assigned        uint16  // the version that its newest metadata name
	assignedAt      Tick    // when it was assigned that
	released        uint16  // the version that it is rolled back to
	mayInstallUntil Tick    // after a roll-back: until then it may act on the newest version
	running         uint16  // the version by its last report
	rank            float64 // in the order of the newest version, from 0 to 1
	failures        int     // failed installations of the newest version
	retryAt         Tick    // after a failure: not assigned the newest version before
	excluded        bool    // from the newest version, for good
}

// Assigned is the version that a server's metadata are to name, 0 for none.
func (s *Server) Assigned() uint16 { return s.assigned }
