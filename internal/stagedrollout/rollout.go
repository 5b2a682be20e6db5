// Package stagedrollout decides which servers are told to run an unreleased package while it goes out in waves:
// which, in what order, how many at once, and what becomes of those that fail or draw back.
//
// How to call it: New makes the Waves of one fleet. Call the one method that names what has happened, with
// the time; it acts at once through the Host. How far a package goes is not decided here: the cap comes with
// Stage, and the number of servers that are told never exceeds the cap's share of the fleet, rounded down.
//
// A server counts against the cap while its newest metadata name the package, and after it was told back
// until it has fetched newer metadata or those that named the package have expired: until then it may
// still act on them.
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
	maxFailures     = 3           // installations that a server may fail before it is left out
	minRetryDelay   = 60 * Second // after the first that failed; it doubles
	maxRetryDelay   = 1800 * Second
	installWindow   = 300 * Second // without a report an installation counts as failed
	maxPendingShare = 0.1          // of the fleet: told and not yet heard to run it
	minPending      = 2
	maxFailedShare  = 0.5 // of the last ended installations: none is begun but one at a time
	recentResults   = 16
)

// Host is what the module acts through.
type Host interface {
	Assign(s *Server, build uint16) // its metadata are to name this build, at once
	SetTimer(at Tick)               // Alarm at or after the time
	Log(level slog.Level, message string, fields ...slog.Attr)
}

// Phase is where a package stands.
type Phase uint8

// The phases of a package.
const (
	Canary Phase = iota
	RollingBack
	Released
	Withdrawn
)

// Rollout decides for one fleet.
type Rollout struct {
	host             Host
	metadataLifetime Tick // how long metadata that name a package last
	servers          []*Server
	version          uint16 // the newest package
	releasedVersion  uint16 // what all others run
	phase            Phase
	exposureCap      float64
	hardwareKinds    []string // that the package fits, all of them if none is named
	paused           bool     // the module has voted back: nobody new is told
	results          []float64
	ordered          bool
	timerAt          Tick
}

// New makes the module of a fleet whose metadata last so long. Before any news every server is told the
// earlier build, 0 for none.
func New(host Host, last Tick, earlier uint16) *Rollout {
	return &Rollout{host: host, metadataLifetime: last, releasedVersion: earlier, phase: Withdrawn, version: earlier}
}

// Restore puts a server in as it was known before a restart: what it was told, and until when it may hold
// metadata that name that. Before the first Stage and Listed only.
func (w *Rollout) Restore(now Tick, s *Server, told uint16, holds Tick) {
	s.assigned, s.released, s.mayInstallUntil, s.assignedAt = told, w.releasedVersion, holds, now
	w.servers, s.tracked = append(w.servers, s), true
	w.ordered = false
}

// OnListed takes that a server is in the fleet, or no longer. Settled ends a piece of such news.
func (w *Rollout) OnListed(now Tick, s *Server, here bool) {
	if !s.tracked {
		w.servers, s.tracked = append(w.servers, s), true
		s.assigned, s.released = w.releasedVersion, w.releasedVersion
	}
	if s.listed != here {
		s.listed, w.ordered = here, false
	}
}

// OnListComplete takes the end of news of the list. A server that is gone is told the earlier build, should it
// come back unlisted, and forgotten once it can't hold anything else.
func (w *Rollout) OnListComplete(now Tick) {
	for _, s := range w.servers {
		if !s.listed && s.assigned != s.released {
			w.rollBack(now, s)
		}
	}
	w.dropGone(now)
	w.reconcile(now)
}

// dropGone drops servers that are gone and can't act on anything any more.
func (w *Rollout) dropGone(now Tick) {
	w.servers = slices.DeleteFunc(w.servers, func(s *Server) bool {
		s.tracked = s.listed || now < s.mayInstallUntil
		return !s.tracked
	})
}

// OnStage takes news of the newest package: the build before it, where it stands, and the share of the fleet
// that may be told of it. kinds are those that it fits; none: all.
func (w *Rollout) OnStage(now Tick, build, earlier uint16, phase Phase, share float64, kinds []string) {
	if build != w.version || earlier != w.releasedVersion {
		for _, s := range w.servers {
			s.failures, s.retryAt, s.excluded = 0, 0, false
			switch {
			case s.assigned == earlier, s.assigned == w.version && w.phase == Released:
				s.released = s.assigned
			case s.assigned == s.released: // left out of a package that was released: it stays where it is
			case s.assigned != build: // of a package that was never released
				s.released = earlier
				w.rollBack(now, s)
			default:
				s.released = earlier
			}
		}
		w.results, w.ordered, w.paused = nil, false, false
	}
	if phase == Canary && share > w.exposureCap && w.phase == Canary {
		w.paused = false // it went on in spite of the vote
	}
	w.version, w.releasedVersion, w.phase, w.exposureCap, w.hardwareKinds = build, earlier, phase, share, kinds
	w.reconcile(now)
}

// Pause takes that the module has voted to go back, or to hold: nobody new is told until a later stage.
func (w *Rollout) Pause(now Tick) { w.paused = true }

// OnFetched takes that a server has got metadata that name a build: it holds no others any more.
func (w *Rollout) OnFetched(now Tick, s *Server, build uint16) {
	if s.assigned == build && build != w.version {
		s.mayInstallUntil = 0
		w.reconcile(now)
	}
}

// OnTimer lets time go on: installations that were not heard of end, servers that were put off may try again,
// and metadata that were told back expire.
func (w *Rollout) OnTimer(now Tick) {
	w.timerAt = 0
	for _, s := range w.servers {
		if w.pending(s) && now >= s.assignedAt+installWindow {
			w.log("installation not reported in time", s, slog.Duration("wait_ms", installTimeout))
			w.recordFailure(now, s)
		}
	}
	w.dropGone(now)
	w.reconcile(now)
}
