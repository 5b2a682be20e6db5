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
	"cmp"
	"hash/fnv"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"
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

// installTimeout is installing as a duration.
const installTimeout = time.Duration(installWindow) * (time.Second / time.Duration(Second))

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

// OnReport takes a server's report: what it runs, and how an installation of a build went, if one ended.
func (w *Rollout) OnReport(now Tick, s *Server, running, tried uint16, ended InstallResult) {
	s.running = running
	if tried == w.version && s.assigned == w.version && ended != InstallPending && w.version != w.releasedVersion {
		bad := 1.0
		if ended == InstallSucceeded {
			bad = 0
		}
		w.results = append(w.results, bad)
		w.results = w.results[max(0, len(w.results)-recentResults):]
		switch ended {
		case InstallFailed:
			w.recordFailure(now, s)
		case InstallDeclined:
			s.excluded = true
			w.log("server declined the version and is excluded", s)
			w.rollBack(now, s)
		}
	}
	w.reconcile(now)
}

// log writes a warning about a server and the newest build.
func (w *Rollout) log(message string, s *Server, fields ...slog.Attr) {
	all := []slog.Attr{slog.String("server", s.Name), slog.Int("version", int(w.version))}
	w.host.Log(slog.LevelWarn, message, append(all, fields...)...)
}

// InstallResult tells how an installation ended.
type InstallResult uint8

// The endings of an installation.
const (
	InstallPending InstallResult = iota
	InstallSucceeded
	InstallFailed
	InstallDeclined
)

// recordFailure puts a server off: for longer each time, and for good after some. Its place goes to another.
func (w *Rollout) recordFailure(now Tick, s *Server) {
	s.failures++
	if s.failures >= maxFailures {
		s.excluded = true
		w.log("server failed too many installations and is excluded", s, slog.Int("failures", s.failures))
	}
	s.retryAt = now + min(maxRetryDelay, minRetryDelay<<(s.failures-1))
	w.rollBack(now, s)
}

// rollBack tells a server the released build that it comes from.
func (w *Rollout) rollBack(now Tick, s *Server) {
	if s.assigned == s.released {
		return
	}
	s.assigned, s.assignedAt, s.mayInstallUntil = s.released, now, now+w.metadataLifetime
	w.host.Assign(s, s.released)
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

// pending: told the package and not yet heard to run it.
func (w *Rollout) pending(s *Server) bool {
	return w.version != w.releasedVersion && s.listed && s.assigned == w.version && s.running != w.version
}

// mayInstall: it may act on metadata that name the package.
func (w *Rollout) mayInstall(now Tick, s *Server) bool {
	return s.assigned == w.version || now < s.mayInstallUntil
}

// reconcile is the ordinary path: who is told back, who is told next.
func (w *Rollout) reconcile(now Tick) {
	if w.version == w.releasedVersion {
		return
	}
	w.sortServers()
	fleet, told, counted, pending := 0, 0, 0, 0
	for _, s := range w.servers {
		if s.listed {
			fleet++
		}
		if s.assigned == w.version {
			told++
		}
		if w.mayInstall(now, s) {
			counted++
		}
		if w.pending(s) {
			pending++
		}
	}
	most := fleet
	switch w.phase {
	case Canary:
		most = int(math.Floor(w.exposureCap*float64(fleet) + 1e-9))
	case RollingBack, Withdrawn:
		most = 0
	}
	for i := len(w.servers) - 1; i >= 0 && told > most; i-- { // the last of the order first
		if s := w.servers[i]; s.assigned == w.version {
			w.rollBack(now, s)
			told--
		}
	}
	if most == 0 || w.paused && w.phase == Canary {
		w.scheduleTimer(now)
		return
	}
	once := max(minPending, int(maxPendingShare*float64(fleet)))
	if n := len(w.results); n >= recentResults/2 && sum(w.results) > maxFailedShare*float64(n) {
		once = 1 // most of the last ended badly: one after the other, until some go well
	}
	for _, s := range w.servers {
		if pending >= once || w.phase == Canary && counted >= most {
			break
		}
		if !s.listed || s.assigned == w.version || s.excluded || now < s.retryAt || !w.compatible(s) {
			continue
		}
		if w.phase == Canary && now < s.mayInstallUntil {
			counted-- // it counts already
		}
		s.assigned, s.assignedAt, s.mayInstallUntil = w.version, now, 0
		w.host.Assign(s, w.version)
		counted++
		pending++
	}
	w.scheduleTimer(now)
}

func (w *Rollout) compatible(s *Server) bool {
	return len(w.hardwareKinds) == 0 || slices.Contains(w.hardwareKinds, s.Kind)
}

// scheduleTimer asks for the next alarm that can change anything.
func (w *Rollout) scheduleTimer(now Tick) {
	next := Tick(math.MaxInt64)
	for _, s := range w.servers {
		if w.pending(s) {
			next = min(next, s.assignedAt+installWindow)
		}
		if s.retryAt > now && !s.excluded {
			next = min(next, s.retryAt)
		}
		if s.mayInstallUntil > now {
			next = min(next, s.mayInstallUntil)
		}
	}
	if next != math.MaxInt64 && (w.timerAt == 0 || next < w.timerAt) {
		w.timerAt = next
		w.host.SetTimer(next)
	}
}

// sortServers sorts the fleet by the order of the package: drawn for each package anew, the same at every start,
// and spread evenly over zones and kinds, so that the first tenth has a tenth of each. Servers that
// were told stay told whatever comes in before them.
func (w *Rollout) sortServers() {
	if w.ordered {
		return
	}
	w.ordered = true
	groups := map[[2]string][]*Server{}
	drawn := make(map[*Server]uint64, len(w.servers))
	for _, s := range w.servers {
		h := fnv.New64a()
		h.Write([]byte(strconv.Itoa(int(w.version)) + "/" + s.Name))
		drawn[s] = mixBits(h.Sum64())
		groups[[2]string{s.Zone, s.Kind}] = append(groups[[2]string{s.Zone, s.Kind}], s)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(drawn[a], drawn[b]), cmp.Compare(a.Name, b.Name))
		})
		start := float64(mixBits(drawn[g[0]])%1024) / 1024 // groups of one do not all come at once
		for i, s := range g {
			s.rank = (float64(i) + start) / float64(len(g))
		}
	}
	slices.SortFunc(w.servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(drawn[a], drawn[b]), cmp.Compare(a.Name, b.Name))
	})
}

// mixBits spreads the bits of a hash (the finalizer of MurmurHash3).
func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func sum(x []float64) (s float64) {
	for _, v := range x {
		s += v
	}
	return s
}

// Standing is one server as the module sees it, for people.
type Standing struct {
	Assigned, Running uint16
	Failures          int
	Excluded          bool
	NotBefore         Tick
	MayInstallUntil   Tick
	Rank              int // in the order, from 0
	Servers           int
	MaxAssigned       int // servers that may be told
	MayInstall        int // servers that count
}

// Explain tells why a server is told what it is.
func (w *Rollout) Explain(now Tick, s *Server) Standing {
	w.sortServers()
	at := Standing{Assigned: s.assigned, Running: s.running, Failures: s.failures, Excluded: s.excluded, NotBefore: s.retryAt,
		MayInstallUntil: s.mayInstallUntil, Rank: slices.Index(w.servers, s), Servers: len(w.servers)}
	fleet := 0
	for _, o := range w.servers {
		if o.listed {
			fleet++
		}
		if w.version != w.releasedVersion && w.mayInstall(now, o) {
			at.MayInstall++
		}
	}
	switch w.phase {
	case Canary:
		at.MaxAssigned = int(math.Floor(w.exposureCap*float64(fleet) + 1e-9))
	case Released:
		at.MaxAssigned = fleet
	}
	return at
}

// Count tells how many servers of the fleet there are, how many are told the newest package, and how many
// may act on metadata that name it.
func (w *Rollout) Count(now Tick) (fleet, told, counted int) {
	for _, s := range w.servers {
		if s.listed {
			fleet++
		}
		if w.version != w.releasedVersion && s.assigned == w.version {
			told++
		}
		if w.version != w.releasedVersion && w.mayInstall(now, s) {
			counted++
		}
	}
	return fleet, told, counted
}
