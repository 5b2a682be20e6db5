// Package stagedrollout decides which servers of a fleet are assigned a version that is not yet released: in which
// order, how many at once, and what happens to servers whose installation fails or that decline the version.
//
// New makes the Rollout of one fleet. The caller reports each event, with its time, through the method named after it;
// the Rollout acts at once through its Host. How far a version may go is decided elsewhere: OnStage brings the exposure
// cap.
//
// Invariant: whenever one more server is assigned a canary version, the number of servers that may install the version
// does not exceed the exposure cap's share of the listed servers, rounded down. A server may install the version while its newest
// metadata name the version. After a roll-back it may still do so until it has fetched newer metadata, or until the
// metadata that named the version have expired.
//
// The package reads no clock, does no I/O and is not safe for concurrent use.
//
// Kind: decision
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
	maxFailures       = 3             // installations of a version that may fail on a server before the server is excluded
	minRetryDelay     = 60 * Second   // retry delay after the first failed installation; it doubles with each further one
	maxRetryDelay     = 1800 * Second // upper bound of the retry delay
	installWindow     = 300 * Second  // an installation that is not reported within this time counts as failed
	maxPendingShare   = 0.1           // installations that may be pending at once, as a share of the listed servers
	minPending        = 2             // lower bound of the installations that may be pending at once
	maxFailedShare    = 0.5           // if more than this share of the recent installations failed, only one may be pending
	recentResults     = 16            // number of installations that count as recent
	roundingTolerance = 1e-9          // added to cap times servers, so that a rounding error of the product does not lower its floor
)

// Host carries out the decisions of a Rollout. It must not call back into the Rollout.
type Host interface {
	// Assign assigns a version to a server, and has metadata that name the version issued at once.
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

// Rollout is the state of one fleet's servers and of the newest version.
type Rollout struct {
	host             Host
	metadataLifetime Tick // how long metadata that name a version are valid
	servers          []*Server
	version          uint16 // the newest version
	releasedVersion  uint16 // version that all other servers are assigned; equal to version if no newer one is out
	phase            Phase
	exposureCap      float64   // maximum share of the listed servers that may be assigned the newest version
	hardwareKinds    []string  // kinds of hardware that the newest version's package fits; empty means all
	paused           bool      // no further server is assigned the newest version until a later stage
	results          []float64 // results of recent installations of the newest version: 1 if failed or declined, else 0
	ordered          bool      // servers are sorted in the order of the newest version
	timerAt          Tick      // 0 if no timer is set
}

// New makes the Rollout of a fleet. Until the first call of OnStage, every server is assigned the released version; 0
// means that there is none.
func New(host Host, metadataLifetime Tick, released uint16) *Rollout {
	return &Rollout{host: host, metadataLifetime: metadataLifetime, releasedVersion: released, phase: Withdrawn, version: released}
}

// Restore adds a server with its state before a restart: the version that it was assigned, and the time until
// which it may act on metadata that name a later version. Restore must be called before OnStage and OnListed.
func (r *Rollout) Restore(now Tick, s *Server, assigned uint16, mayInstallUntil Tick) {
	s.assigned, s.released, s.mayInstallUntil, s.assignedAt = assigned, r.releasedVersion, mayInstallUntil, now
	r.servers, s.tracked = append(r.servers, s), true
	r.ordered = false
}

// OnListed records whether a server is listed in the fleet. The caller calls OnListComplete after the last
// server of a list or of an update of it.
func (r *Rollout) OnListed(now Tick, s *Server, listed bool) {
	if !s.tracked {
		r.servers, s.tracked = append(r.servers, s), true
		s.assigned, s.released = r.releasedVersion, r.releasedVersion
	}
	if s.listed != listed {
		s.listed, r.ordered = listed, false
	}
}

// OnListComplete records the end of a list. A server that is no longer listed is assigned the released version, in case
// it still fetches metadata. It is dropped once it cannot act on any other version.
func (r *Rollout) OnListComplete(now Tick) {
	for _, s := range r.servers {
		if !s.listed && s.assigned != s.released {
			r.rollBack(now, s)
		}
	}
	r.dropGone(now)
	r.reconcile(now)
}

// dropGone drops the servers that are not listed and cannot act on the newest version any more.
func (r *Rollout) dropGone(now Tick) {
	r.servers = slices.DeleteFunc(r.servers, func(s *Server) bool {
		s.tracked = s.listed || now < s.mayInstallUntil
		return !s.tracked
	})
}

// OnStage records the stage of the newest version: the released version before it, its phase, and the share of the
// fleet that may be assigned it. hardwareKinds are the kinds that its package fits; empty means all.
func (r *Rollout) OnStage(now Tick, version, released uint16, phase Phase, exposureCap float64, hardwareKinds []string) {
	if version != r.version || released != r.releasedVersion {
		for _, s := range r.servers {
			s.failures, s.retryAt, s.excluded = 0, 0, false
			switch {
			case s.assigned == released, s.assigned == r.version && r.phase == Released:
				s.released = s.assigned
			case s.assigned == s.released: // the server was excluded from a released version, and stays on its older version
			case s.assigned != version: // the server is assigned a version that was never released
				s.released = released
				r.rollBack(now, s)
			default:
				s.released = released
			}
		}
		r.results, r.ordered, r.paused = nil, false, false
	}
	if phase == Canary && exposureCap > r.exposureCap && r.phase == Canary {
		r.paused = false // a greater cap ends the pause: the version is promoted in spite of the vote
	}
	r.version, r.releasedVersion, r.phase, r.exposureCap, r.hardwareKinds = version, released, phase, exposureCap, hardwareKinds
	r.reconcile(now)
}

// Pause stops assigning the newest version to further servers until a later stage. The caller calls it for a vote to
// hold or to roll back.
func (r *Rollout) Pause(now Tick) { r.paused = true }

// OnFetched records that a server has fetched metadata that name a version. The server cannot act on earlier metadata
// any more.
func (r *Rollout) OnFetched(now Tick, s *Server, version uint16) {
	if s.assigned == version && version != r.version {
		s.mayInstallUntil = 0
		r.reconcile(now)
	}
}

// OnTimer is called at the time that SetTimer requested. Installations that were not reported in time count as failed,
// servers may retry, and metadata that a roll-back has replaced expire.
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
