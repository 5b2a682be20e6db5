package stagedrollout

// Server is one server of the fleet. Its Name is the front's own name for it.
type Server struct {
	Name, Zone, Kind string

	tracked         bool // among the servers of the module
	listed          bool
	assigned        uint16  // the build that its newest metadata name
	released        uint16  // the released build that it goes back to
	assignedAt      Tick    // when it was told
	mayInstallUntil Tick    // told back: until then it may act on what it was told
	running         uint16  // by its last report
	rank            float64 // in the order of the package
	failures        int     // installations of the package that failed
	retryAt         Tick    // not before
	excluded        bool    // of this package, for good
}

// Assigned is the build that a server's metadata name.
func (s *Server) Assigned() uint16 { return s.assigned }
