// Package stagedrollout decides which servers of a fleet are assigned a version that is not yet released: in which
// order, how many at once, and what happens to servers whose installation fails or that decline the version.
//
// New makes the Rollout of one fleet. The caller reports each event, with its time, by the method named after the
// event; the Rollout acts at once through its Host. The Rollout does not decide how many servers may get a version: the
// caller gives the exposure cap to OnStage.
//
// Invariant: whenever one more server is assigned a canary version, the number of servers that may install the version
// does not exceed the exposure cap's share of the listed servers, rounded down. A server may install the version while
// its newest metadata name the version. After a roll-back the server may still install the version until it has fetched
// newer metadata, or until the metadata that named the version have expired.
//
// The package reads no clock, does no I/O and is not safe for concurrent use.
//
// Kind: decision (see docs/architecture.md)
package stagedrollout

import (
	"log/slog"
	"slices"
)

// Tick is a time or a duration in units of 0.1 ms (a tenth of a millisecond).
type Tick = int64

// Second is one second in ticks.
const Second Tick = 10000

const (
	maxFailures       = 3             // number of failed installations of a version after which a server is excluded
	minRetryDelay     = 60 * Second   // retry delay after the first failed installation; each further failure doubles it
	maxRetryDelay     = 1800 * Second // maximum retry delay
	installWindow     = 300 * Second  // an installation whose result is not reported within this time counts as failed
	maxPendingShare   = 0.1           // maximum number of installations that may be pending at once, as a share of the listed servers
	minPending        = 2             // number of installations that may be pending at once in a small fleet, where maxPendingShare allows fewer
	maxFailedShare    = 0.5           // if more than this share of the recent installations failed, only one installation may be pending
	recentResults     = 16            // maximum number of installations that count as recent
	roundingTolerance = 1e-9          // added to exposureCap times the number of servers before rounding down, so that a rounding error does not cost one server
)

// Host carries out the decisions of a Rollout. It must not call back into the Rollout.
type Host interface {
	// Assign assigns a version to a server. It causes metadata that name the version to be issued for the server at
	// once.
	Assign(s *Server, version uint16)
	// SetTimer requests a call of OnTimer at the given time or later.
	SetTimer(at Tick)
	// Log writes a log line: a constant message with typed fields.
	Log(level slog.Level, message string, fields ...slog.Attr)
}

// Phase is the phase of the newest version.
type Phase uint8

// The phases of a version.
const (
	Canary      Phase = iota // the version goes to servers up to the exposure cap
	RollingBack              // the version is being rolled back on all servers
	Released                 // the version goes to all servers
	Withdrawn                // the version has been rolled back
)

// Rollout holds the state of the servers of one fleet and of the newest version.
type Rollout struct {
	host             Host
	metadataLifetime Tick // how long metadata are valid after they are issued
	servers          []*Server
	version          uint16 // the newest version
	releasedVersion  uint16 // last released version; equal to the field version if no newer version is being rolled out
	phase            Phase
	exposureCap      float64   // maximum share of the listed servers that may be assigned the newest version
	hardwareKinds    []string  // kinds of hardware that the newest version's package fits; empty means all
	paused           bool      // whether assignments have been paused by Pause and not been allowed again by OnStage
	results          []float64 // result of each recent installation of the newest version: 1 if it failed or was declined, 0 if it succeeded
	ordered          bool      // whether the servers are sorted in the order of the newest version
	timerAt          Tick      // time of the timer that was last requested; 0 if no timer is set
}

// New makes the Rollout of a fleet. Until the first call of OnStage, every server is assigned the released version;
// released is 0 if there is no such version.
func New(host Host, metadataLifetime Tick, released uint16) *Rollout {
	return &Rollout{host: host, metadataLifetime: metadataLifetime, releasedVersion: released, phase: Withdrawn, version: released}
}

// Restore adds a server with its state before a restart. assigned is the version that the server was assigned, and
// mayInstallUntil is the time until which it may still install a later version. Restore must be called before OnStage
// and OnListed.
func (r *Rollout) Restore(now Tick, s *Server, assigned uint16, mayInstallUntil Tick) {
	s.assigned, s.released, s.mayInstallUntil, s.assignedAt = assigned, r.releasedVersion, mayInstallUntil, now
	r.servers, s.tracked = append(r.servers, s), true
	r.ordered = false
}

// OnListed records whether a server is listed in the fleet. After OnListed has been called for each server of a list,
// or of an update of the list, the caller must call OnListComplete.
func (r *Rollout) OnListed(now Tick, s *Server, listed bool) {
	if !s.tracked {
		r.servers, s.tracked = append(r.servers, s), true
		s.assigned, s.released = r.releasedVersion, r.releasedVersion
	}
	if s.listed != listed {
		s.listed, r.ordered = listed, false
	}
}

// OnListComplete records the end of a list or of an update of the list. A server that is no longer listed is assigned
// the released version, because the server may still fetch metadata. The server is dropped once it can no
// longer install another version.
func (r *Rollout) OnListComplete(now Tick) {
	for _, s := range r.servers {
		if !s.listed && s.assigned != s.released {
			r.rollBack(now, s)
		}
	}
	r.dropUnlisted(now)
	r.reconcile(now)
}

// dropUnlisted drops the servers that are not listed and whose mayInstallUntil has passed.
func (r *Rollout) dropUnlisted(now Tick) {
	r.servers = slices.DeleteFunc(r.servers, func(s *Server) bool {
		s.tracked = s.listed || now < s.mayInstallUntil
		return !s.tracked
	})
}

// OnStage records the stage of the newest version. released is the last released version; phase is the phase of the
// newest version; exposureCap is the share of the fleet that may be assigned the newest version; hardwareKinds are the
// kinds of hardware that its package fits, and empty means all.
func (r *Rollout) OnStage(now Tick, version, released uint16, phase Phase, exposureCap float64, hardwareKinds []string) {
	if version != r.version || released != r.releasedVersion {
		for _, s := range r.servers {
			s.failures, s.retryAt, s.excluded = 0, 0, false
			switch {
			case s.assigned == released, s.assigned == r.version && r.phase == Released:
				s.released = s.assigned
			case s.assigned == s.released: // the server was excluded from a version that has been released, and stays on its older version
			case s.assigned != version: // the assigned version was never released, because the cases above cover released versions
				s.released = released
				r.rollBack(now, s)
			default:
				s.released = released
			}
		}
		r.results, r.ordered, r.paused = nil, false, false
	}
	if phase == Canary && exposureCap > r.exposureCap && r.phase == Canary {
		r.paused = false // a greater cap ends the pause: the version is promoted in spite of the vote that caused the pause
	}
	r.version, r.releasedVersion, r.phase, r.exposureCap, r.hardwareKinds = version, released, phase, exposureCap, hardwareKinds
	r.reconcile(now)
}

// Pause stops the assignment of the newest version to further servers. In the phase Canary, no further server is
// assigned the version until OnStage raises the exposure cap or names another version. In other phases, the pause has
// no effect. The caller calls Pause for a vote to hold or to roll back.
func (r *Rollout) Pause(now Tick) { r.paused = true }

// OnFetched records that a server has fetched metadata that name a version. From then on, the server can no longer
// install a version that only earlier metadata name.
func (r *Rollout) OnFetched(now Tick, s *Server, version uint16) {
	if s.assigned == version && version != r.version {
		s.mayInstallUntil = 0
		r.reconcile(now)
	}
}

// OnTimer must be called at the time that SetTimer requested. It records installations that were not reported in time as
// failed. It also applies what the time allows: a retry after retryAt, or the end of mayInstallUntil.
func (r *Rollout) OnTimer(now Tick) {
	r.timerAt = 0
	for _, s := range r.servers {
		if r.pending(s) && now >= s.assignedAt+installWindow {
			r.log("installation not reported in time", s, slog.Duration("wait_ms", installTimeout))
			r.recordFailure(now, s)
		}
	}
	r.dropUnlisted(now)
	r.reconcile(now)
}
