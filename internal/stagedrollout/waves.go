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
	mostTries  = 3           // installations that a server may fail before it is left out
	firstWait  = 60 * Second // after the first that failed; it doubles
	mostWait   = 1800 * Second
	installing = 300 * Second // without a report an installation counts as failed
	atOnce     = 0.1          // of the fleet: told and not yet heard to run it
	leastOnce  = 2
	failedPart = 0.5 // of the last ended installations: none is begun but one at a time
	kept       = 16
)

// installTimeout is installing as a duration.
const installTimeout = time.Duration(installing) * (time.Second / time.Duration(Second))

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

	kept    bool // among the servers of the module
	listed  bool
	told    uint16  // the build that its newest metadata name
	base    uint16  // the released build that it goes back to
	since   Tick    // when it was told
	holds   Tick    // told back: until then it may act on what it was told
	running uint16  // by its last report
	place   float64 // in the order of the package
	tries   int     // installations of the package that failed
	again   Tick    // not before
	out     bool    // of this package, for good
}

// Assigned is the build that a server's metadata name.
func (s *Server) Assigned() uint16 { return s.told }

// Rollout decides for one fleet.
type Rollout struct {
	host    Host
	last    Tick // how long metadata that name a package last
	servers []*Server
	build   uint16 // the newest package
	earlier uint16 // what all others run
	phase   Phase
	share   float64
	kinds   []string // that the package fits, all of them if none is named
	stopped bool     // the module has voted back: nobody new is told
	ends    []float64
	sorted  bool
	wakeAt  Tick
}

// New makes the module of a fleet whose metadata last so long. Before any news every server is told the
// earlier build, 0 for none.
func New(host Host, last Tick, earlier uint16) *Rollout {
	return &Rollout{host: host, last: last, earlier: earlier, phase: Withdrawn, build: earlier}
}

// Restore puts a server in as it was known before a restart: what it was told, and until when it may hold
// metadata that name that. Before the first Stage and Listed only.
func (w *Rollout) Restore(now Tick, s *Server, told uint16, holds Tick) {
	s.told, s.base, s.holds, s.since = told, w.earlier, holds, now
	w.servers, s.kept = append(w.servers, s), true
	w.sorted = false
}

// OnListed takes that a server is in the fleet, or no longer. Settled ends a piece of such news.
func (w *Rollout) OnListed(now Tick, s *Server, here bool) {
	if !s.kept {
		w.servers, s.kept = append(w.servers, s), true
		s.told, s.base = w.earlier, w.earlier
	}
	if s.listed != here {
		s.listed, w.sorted = here, false
	}
}

// OnListComplete takes the end of news of the list. A server that is gone is told the earlier build, should it
// come back unlisted, and forgotten once it can't hold anything else.
func (w *Rollout) OnListComplete(now Tick) {
	for _, s := range w.servers {
		if !s.listed && s.told != s.base {
			w.back(now, s)
		}
	}
	w.forget(now)
	w.settle(now)
}

// forget drops servers that are gone and can't act on anything any more.
func (w *Rollout) forget(now Tick) {
	w.servers = slices.DeleteFunc(w.servers, func(s *Server) bool {
		s.kept = s.listed || now < s.holds
		return !s.kept
	})
}

// OnStage takes news of the newest package: the build before it, where it stands, and the share of the fleet
// that may be told of it. kinds are those that it fits; none: all.
func (w *Rollout) OnStage(now Tick, build, earlier uint16, phase Phase, share float64, kinds []string) {
	if build != w.build || earlier != w.earlier {
		for _, s := range w.servers {
			s.tries, s.again, s.out = 0, 0, false
			switch {
			case s.told == earlier, s.told == w.build && w.phase == Released:
				s.base = s.told
			case s.told == s.base: // left out of a package that was released: it stays where it is
			case s.told != build: // of a package that was never released
				s.base = earlier
				w.back(now, s)
			default:
				s.base = earlier
			}
		}
		w.ends, w.sorted, w.stopped = nil, false, false
	}
	if phase == Canary && share > w.share && w.phase == Canary {
		w.stopped = false // it went on in spite of the vote
	}
	w.build, w.earlier, w.phase, w.share, w.kinds = build, earlier, phase, share, kinds
	w.settle(now)
}

// Pause takes that the module has voted to go back, or to hold: nobody new is told until a later stage.
func (w *Rollout) Pause(now Tick) { w.stopped = true }

// OnFetched takes that a server has got metadata that name a build: it holds no others any more.
func (w *Rollout) OnFetched(now Tick, s *Server, build uint16) {
	if s.told == build && build != w.build {
		s.holds = 0
		w.settle(now)
	}
}

// OnReport takes a server's report: what it runs, and how an installation of a build went, if one ended.
func (w *Rollout) OnReport(now Tick, s *Server, running, tried uint16, ended InstallResult) {
	s.running = running
	if tried == w.build && s.told == w.build && ended != InstallPending && w.build != w.earlier {
		bad := 1.0
		if ended == InstallSucceeded {
			bad = 0
		}
		w.ends = append(w.ends, bad)
		w.ends = w.ends[max(0, len(w.ends)-kept):]
		switch ended {
		case InstallFailed:
			w.failed(now, s)
		case InstallDeclined:
			s.out = true
			w.log("server declined the version and is excluded", s)
			w.back(now, s)
		}
	}
	w.settle(now)
}

// log writes a warning about a server and the newest build.
func (w *Rollout) log(message string, s *Server, fields ...slog.Attr) {
	all := []slog.Attr{slog.String("server", s.Name), slog.Int("version", int(w.build))}
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

// failed puts a server off: for longer each time, and for good after some. Its place goes to another.
func (w *Rollout) failed(now Tick, s *Server) {
	s.tries++
	if s.tries >= mostTries {
		s.out = true
		w.log("server failed too many installations and is excluded", s, slog.Int("failures", s.tries))
	}
	s.again = now + min(mostWait, firstWait<<(s.tries-1))
	w.back(now, s)
}

// back tells a server the released build that it comes from.
func (w *Rollout) back(now Tick, s *Server) {
	if s.told == s.base {
		return
	}
	s.told, s.since, s.holds = s.base, now, now+w.last
	w.host.Assign(s, s.base)
}

// OnTimer lets time go on: installations that were not heard of end, servers that were put off may try again,
// and metadata that were told back expire.
func (w *Rollout) OnTimer(now Tick) {
	w.wakeAt = 0
	for _, s := range w.servers {
		if w.pending(s) && now >= s.since+installing {
			w.log("installation not reported in time", s, slog.Duration("wait_ms", installTimeout))
			w.failed(now, s)
		}
	}
	w.forget(now)
	w.settle(now)
}

// pending: told the package and not yet heard to run it.
func (w *Rollout) pending(s *Server) bool {
	return w.build != w.earlier && s.listed && s.told == w.build && s.running != w.build
}

// counts: it may act on metadata that name the package.
func (w *Rollout) counts(now Tick, s *Server) bool { return s.told == w.build || now < s.holds }

// settle is the ordinary path: who is told back, who is told next.
func (w *Rollout) settle(now Tick) {
	if w.build == w.earlier {
		return
	}
	w.order()
	fleet, told, counted, pending := 0, 0, 0, 0
	for _, s := range w.servers {
		if s.listed {
			fleet++
		}
		if s.told == w.build {
			told++
		}
		if w.counts(now, s) {
			counted++
		}
		if w.pending(s) {
			pending++
		}
	}
	most := fleet
	switch w.phase {
	case Canary:
		most = int(math.Floor(w.share*float64(fleet) + 1e-9))
	case RollingBack, Withdrawn:
		most = 0
	}
	for i := len(w.servers) - 1; i >= 0 && told > most; i-- { // the last of the order first
		if s := w.servers[i]; s.told == w.build {
			w.back(now, s)
			told--
		}
	}
	if most == 0 || w.stopped && w.phase == Canary {
		w.wake(now)
		return
	}
	once := max(leastOnce, int(atOnce*float64(fleet)))
	if n := len(w.ends); n >= kept/2 && sum(w.ends) > failedPart*float64(n) {
		once = 1 // most of the last ended badly: one after the other, until some go well
	}
	for _, s := range w.servers {
		if pending >= once || w.phase == Canary && counted >= most {
			break
		}
		if !s.listed || s.told == w.build || s.out || now < s.again || !w.fits(s) {
			continue
		}
		if w.phase == Canary && now < s.holds {
			counted-- // it counts already
		}
		s.told, s.since, s.holds = w.build, now, 0
		w.host.Assign(s, w.build)
		counted++
		pending++
	}
	w.wake(now)
}

func (w *Rollout) fits(s *Server) bool { return len(w.kinds) == 0 || slices.Contains(w.kinds, s.Kind) }

// wake asks for the next alarm that can change anything.
func (w *Rollout) wake(now Tick) {
	next := Tick(math.MaxInt64)
	for _, s := range w.servers {
		if w.pending(s) {
			next = min(next, s.since+installing)
		}
		if s.again > now && !s.out {
			next = min(next, s.again)
		}
		if s.holds > now {
			next = min(next, s.holds)
		}
	}
	if next != math.MaxInt64 && (w.wakeAt == 0 || next < w.wakeAt) {
		w.wakeAt = next
		w.host.SetTimer(next)
	}
}

// order sorts the fleet by the order of the package: drawn for each package anew, the same at every start,
// and spread evenly over zones and kinds, so that the first tenth has a tenth of each. Servers that
// were told stay told whatever comes in before them.
func (w *Rollout) order() {
	if w.sorted {
		return
	}
	w.sorted = true
	groups := map[[2]string][]*Server{}
	drawn := make(map[*Server]uint64, len(w.servers))
	for _, s := range w.servers {
		h := fnv.New64a()
		h.Write([]byte(strconv.Itoa(int(w.build)) + "/" + s.Name))
		drawn[s] = scatter(h.Sum64())
		groups[[2]string{s.Zone, s.Kind}] = append(groups[[2]string{s.Zone, s.Kind}], s)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(drawn[a], drawn[b]), cmp.Compare(a.Name, b.Name))
		})
		start := float64(scatter(drawn[g[0]])%1024) / 1024 // groups of one do not all come at once
		for i, s := range g {
			s.place = (float64(i) + start) / float64(len(g))
		}
	}
	slices.SortFunc(w.servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(drawn[a], drawn[b]), cmp.Compare(a.Name, b.Name))
	})
}

// scatter spreads the bits of a hash (the finalizer of MurmurHash3).
func scatter(h uint64) uint64 {
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
	Told, Running uint16
	Tries         int
	LeftOut       bool
	NotBefore     Tick
	Holds         Tick
	Place         int // in the order, from 0
	Of            int
	Most          int // servers that may be told
	Count         int // servers that count
}

// Explain tells why a server is told what it is.
func (w *Rollout) Explain(now Tick, s *Server) Standing {
	w.order()
	at := Standing{Told: s.told, Running: s.running, Tries: s.tries, LeftOut: s.out, NotBefore: s.again,
		Holds: s.holds, Place: slices.Index(w.servers, s), Of: len(w.servers)}
	fleet := 0
	for _, o := range w.servers {
		if o.listed {
			fleet++
		}
		if w.build != w.earlier && w.counts(now, o) {
			at.Count++
		}
	}
	switch w.phase {
	case Canary:
		at.Most = int(math.Floor(w.share*float64(fleet) + 1e-9))
	case Released:
		at.Most = fleet
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
		if w.build != w.earlier && s.told == w.build {
			told++
		}
		if w.build != w.earlier && w.counts(now, s) {
			counted++
		}
	}
	return fleet, told, counted
}
