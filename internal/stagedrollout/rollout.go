// Package stagedrollout decides which servers of a fleet are assigned a version that is not released yet: which, in what
// order, how many at once, and what becomes of those whose installation fails or that decline it.
//
// New makes the Rollout of one fleet. The caller calls the method that names what has happened, with the time; the Rollout
// acts at once through its Host. How far a version goes is not decided here: the exposure cap comes with OnStage.
//
// Invariant: the number of servers that may install a canary version never exceeds the exposure cap's share of the listed
// servers, rounded down, when one more is assigned. A server may install it while its newest metadata name the version, and
// after a roll-back until it has fetched newer metadata or those that named the version have expired.
//
// It reads no clock, does no I/O and is not safe for concurrent use.
//
// Kind: decision
package stagedrollout

import (
	"log/slog"
	"slices"
)

// Tick is a moment or a span in whole tenths of a millisecond.
type Tick = int64

// Second is one second in ticks.
const Second Tick = 10000

const (
	maxFailures       = 3             // installations of a version that a server may fail before it is excluded
	minRetryDelay     = 60 * Second   // after the first failed installation; it doubles
	maxRetryDelay     = 1800 * Second // of that
	installWindow     = 300 * Second  // an installation that is not reported in this time counts as failed
	maxPendingShare   = 0.1           // of the listed servers: installations pending at once
	minPending        = 2             // and at least so many
	maxFailedShare    = 0.5           // of the recent installations: above it, one is pending at a time
	recentResults     = 16            // installations that are recent
	roundingTolerance = 1e-9          // added to cap times servers, so that a product of floats is not rounded down by error
)

// Host carries out what a Rollout decides. It must not call back into the Rollout.
type Host interface {
	// Assign has a server's metadata name a version, at once.
	Assign(s *Server, version uint16)
	// SetTimer asks for OnTimer at a time, or after it.
	SetTimer(at Tick)
	// Log writes a log line: a constant message with typed fields.
	Log(level slog.Level, message string, fields ...slog.Attr)
}

// Phase is how far the newest version is.
type Phase uint8

// The phases of a version.
const (
	Canary      Phase = iota // it goes to servers up to the exposure cap
	RollingBack              // it is taken back from all servers
	Released                 // it goes to all servers
	Withdrawn                // it was taken back
)

// Rollout is the state of one fleet's servers and its newest version.
type Rollout struct {
	host             Host
	metadataLifetime Tick // how long metadata that name a version last
	servers          []*Server
	version          uint16 // the newest version
	releasedVersion  uint16 // what all other servers run; the newest version itself once nothing newer is out
	phase            Phase
	exposureCap      float64   // share of the listed servers
	hardwareKinds    []string  // that the newest version's package fits, all of them if none is named
	paused           bool      // no further server is assigned it until a later stage
	results          []float64 // of recent installations of the newest version: 1 for one that failed or was declined
	ordered          bool      // servers are in the order of the newest version
	timerAt          Tick      // 0 for none
}

// New makes the Rollout of a fleet. Until OnStage every server is assigned the released version, 0 for none.
func New(host Host, metadataLifetime Tick, released uint16) *Rollout {
	return &Rollout{host: host, metadataLifetime: metadataLifetime, releasedVersion: released, phase: Withdrawn, version: released}
}

// Restore adds a server as it was known before a restart: the version it was assigned, and until when it may act on metadata
// that name a later one. Call it before OnStage and OnListed only.
func (r *Rollout) Restore(now Tick, s *Server, assigned uint16, mayInstallUntil Tick) {
	s.assigned, s.released, s.mayInstallUntil, s.assignedAt = assigned, r.releasedVersion, mayInstallUntil, now
	r.servers, s.tracked = append(r.servers, s), true
	r.ordered = false
}

// OnListed records that a server is in the fleet, or no longer. OnListComplete ends a list, or its changes.
func (r *Rollout) OnListed(now Tick, s *Server, listed bool) {
	if !s.tracked {
		r.servers, s.tracked = append(r.servers, s), true
		s.assigned, s.released = r.releasedVersion, r.releasedVersion
	}
	if s.listed != listed {
		s.listed, r.ordered = listed, false
	}
}

// OnListComplete records the end of a list. A server that is gone is assigned the released version, should it still ask, and
// dropped once it can't act on anything else.
func (r *Rollout) OnListComplete(now Tick) {
	for _, s := range r.servers {
		if !s.listed && s.assigned != s.released {
			r.rollBack(now, s)
		}
	}
	r.dropGone(now)
	r.reconcile(now)
}

// dropGone drops the servers that are not listed and can't act on the newest version any more.
func (r *Rollout) dropGone(now Tick) {
	r.servers = slices.DeleteFunc(r.servers, func(s *Server) bool {
		s.tracked = s.listed || now < s.mayInstallUntil
		return !s.tracked
	})
}

// OnStage records the stage of the newest version: the released version before it, its phase, and the share of the fleet that
// may be assigned it. hardwareKinds are those that its package fits, all of them if there are none.
func (r *Rollout) OnStage(now Tick, version, released uint16, phase Phase, exposureCap float64, hardwareKinds []string) {
	if version != r.version || released != r.releasedVersion {
		for _, s := range r.servers {
			s.failures, s.retryAt, s.excluded = 0, 0, false
			switch {
			case s.assigned == released, s.assigned == r.version && r.phase == Released:
				s.released = s.assigned
			case s.assigned == s.released: // excluded from a version that was released: it stays where it is
			case s.assigned != version: // a version that was never released
				s.released = released
				r.rollBack(now, s)
			default:
				s.released = released
			}
		}
		r.results, r.ordered, r.paused = nil, false, false
	}
	if phase == Canary && exposureCap > r.exposureCap && r.phase == Canary {
		r.paused = false // it is promoted in spite of the vote
	}
	r.version, r.releasedVersion, r.phase, r.exposureCap, r.hardwareKinds = version, released, phase, exposureCap, hardwareKinds
	r.reconcile(now)
}

// Pause stops assigning the newest version to further servers, as a vote to hold or roll back asks, until a later stage.
func (r *Rollout) Pause(now Tick) { r.paused = true }

// OnFetched records that a server has fetched metadata that name a version: it can't act on earlier ones any more.
func (r *Rollout) OnFetched(now Tick, s *Server, version uint16) {
	if s.assigned == version && version != r.version {
		s.mayInstallUntil = 0
		r.reconcile(now)
	}
}

// OnTimer is called at the time of SetTimer: installations that were not reported count as failed, servers may retry, and
// metadata that a roll-back replaced expire.
func (r *Rollout) OnTimer(now Tick) {
	r.timerAt = 0
	for _, s := range r.servers {
		if r.pending(s) && now >= s.assignedAt+installWindow {
			r.log("installation not reported in time", s, slog.Duration("wait_ms", installTimeout))
			r.recordFailure(now, s)
		}
	}
	r.dropGone(now)
	r.reconcile(now)
}
