package fleetsim

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// checks holds the fleet's rules up to all that happens. The first one broken ends the run.
type checks struct {
	f      *Fleet
	broken string

	actors map[string][]*unit // units that act for an instance, as they told
	open   int                // instances that do not run, are copied or have too few holders
	stirs  tick.Tick          // the last moment at which any was so
	moves  map[string]int     // of each unit, under way
	under  int
	gone   map[string]bool // units that were away since the start
	hits   int             // faults of them
	wiped  map[string]bool // whose disk was lost or put back
	missed map[string]bool // whose disk was put back, and who could not know: no leader had heard of what it had more
	Backs  int             // disks that were put back and found to be
	Unseen int             // and those that were not
	apart  map[string]bool // zones that were cut off, of a fleet with holders away: one of them is one fault
	Doubts int             // copies that a unit began to act on without knowing that they are whole

	Commands, Acked, Nacked, Unknown, Shed, Repeats, Moves, Falls, Lost, MostMoves int
	worst                                                                          tick.Tick // without an actor
	without                                                                        map[string]tick.Tick
}

// history is what is known of one camera's effects by the answers to its commands.
type history struct {
	n     int
	acked uint64                      // the highest effect that was acked
	ids   map[string]replica.Response // acked ones, the last few
	line  []string
	seqs  map[uint64]replica.Response
	lines int // told losses: what was known before is void
	moves []tick.Tick
	cross int
	calls int // what else may move it: units that leave, leads
}

func (k *checks) start(f *Fleet) {
	*k = checks{f: f, actors: map[string][]*unit{}, moves: map[string]int{}, gone: map[string]bool{},
		wiped: map[string]bool{}, missed: map[string]bool{}, apart: map[string]bool{},
		without: map[string]tick.Tick{}}
}

func (k *checks) fail(form string, args ...any) {
	if k.broken == "" {
		k.broken = fmt.Sprintf(form, args...)
		k.f.say(testcluster.Event{Node: "script", Name: "RULE", Why: k.broken})
	}
}

// acts: at most one unit acts for an instance at any moment.
func (k *checks) acts(u *unit, e replica.Event) {
	name := e.Instance
	for _, v := range k.actors[name] {
		if v != u && v.o != nil && v.o.HoldsLease(v.at()) {
			k.fail("rule 1: %s and %s act for %s", v.shown, u.shown, name)
		}
	}
	if !slices.Contains(k.actors[name], u) {
		k.actors[name] = append(k.actors[name], u)
	}
	u.acting[name] = true
	if since, was := k.without[name]; was {
		if since > 1 { // since the beginning of all
			k.worst = max(k.worst, k.f.now-since)
		}
		delete(k.without, name)
		k.stirs = k.f.now
	}
}

func (k *checks) stops(u *unit, e replica.Event) { k.quits(u, e.Instance) }

func (k *checks) quits(u *unit, name string) {
	delete(u.acting, name)
	if i := slices.Index(k.actors[name], u); i >= 0 {
		k.actors[name] = slices.Delete(k.actors[name], i, i+1)
	}
	if len(k.actors[name]) == 0 {
		if _, was := k.without[name]; !was {
			k.without[name] = k.f.now
		}
		k.stirs = k.f.now
	}
}

// fell: a process is gone, and acts for nothing.
func (k *checks) fell(u *unit) {
	k.Falls++
	k.gone[u.name] = true
	if u.o == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(u.acting)) {
		k.quits(u, name)
	}
}

// settled: an instance runs, with all its copies, enough of them in another zone, and no move is under way.
func (k *checks) settled(p placement.Assignment) bool {
	return p.Instance == "" || p.State == placement.Running && p.CopyTarget == "" && len(p.Replicas) >= min(k.f.Copies,
		k.f.Units-1) && (k.f.Away == 0 || k.away(p) >= min(k.f.Away, k.f.Zones-1)) ||
		p.State == placement.Quarantined
}

// away counts holders in another zone than the owner.
func (k *checks) away(p placement.Assignment) (n int) {
	for _, name := range p.Replicas {
		if k.f.byUnit[name].zone != k.f.byUnit[p.Primary].zone {
			n++
		}
	}
	return n
}

// placed counts what is under way.
func (k *checks) placed(before, p placement.Assignment) {
	f := k.f
	if !k.settled(before) {
		k.open--
	}
	if !k.settled(p) {
		k.open++
	}
	k.stirs = f.now
	count := func(p placement.Assignment, n int) {
		if p.CopyTarget == "" {
			return
		}
		k.under += n
		k.moves[p.Primary] += n
		k.moves[p.CopyTarget] += n
	}
	count(before, -1)
	count(p, 1)
	k.MostMoves = max(k.MostMoves, k.under)
	if before.Primary != p.Primary {
		if u := f.byUnit[before.Primary]; u != nil {
			u.owns--
		}
		if u := f.byUnit[p.Primary]; u != nil {
			u.owns++
		}
	}
}

// agreed looks at what the keepers agreed on.
func (k *checks) agreed(e placement.Operation, before, p placement.Assignment) {
	f, c := k.f, k.f.byCam[p.Instance]
	k.movesBounded(e, p)
	switch e.Kind {
	case placement.OpMoveDevice:
		c.cross++
	case placement.OpStartCopy:
		k.copyEnds(p)
	case placement.OpCutOver:
		k.Moves++
		c.moves = append(c.moves, f.now)
		k.pingpong(c)
	case placement.OpFailOver, placement.OpReportIncomplete:
		c.calls++
	case placement.OpRestart:
		if !slices.Contains(before.Replicas, e.Target) && before.EverServed {
			k.startedEmpty(c, e, before)
		}
	}
}

// movesBounded: moves are bounded, but for what an earlier leader had under way.
func (k *checks) movesBounded(e placement.Operation, p placement.Assignment) {
	f := k.f
	since := f.now - max(f.keep.since, f.keep.late)
	if e.Kind != placement.OpStartCopy || f.keep.Leads != 1 || since <= 0 {
		return
	}
	if most := int(f.set["fleet.moves.all"].(float64)); k.under > most {
		k.fail("rule 5: %d moves under way of %d", k.under, most)
	}
	for _, name := range []string{p.Primary, p.CopyTarget} {
		if k.moves[name] > 8 {
			k.fail("rule 5: %d moves under way at %s", k.moves[name], name)
		}
	}
}

// copyEnds: a copy that was begun ends in time, done or given up, where one leader and no fault is there for long enough.
func (k *checks) copyEnds(p placement.Assignment) {
	f := k.f
	epoch, change, to, began, leads := p.Epoch, p.Revision, p.CopyTarget, f.now, f.keep.Leads
	lease := tick.Tick(f.Lease * float64(tick.Second))
	f.in(tick.Tick(f.Restart*float64(tick.Second))+8*lease, func() {
		now, _ := f.keep.table.Get(p.Instance)
		if now.Epoch == epoch && now.CopyTarget == to && now.Revision == change && f.keep.lead != nil &&
			f.keep.Leads == leads &&
			f.faults == 0 && f.now-f.quietSince() > 4*lease {
			k.fail("rule 4: %s is copied to %s since %d ms", p.Instance, to, began/milli)
		}
	})
}

// startedEmpty: an instance is begun anew, which loses effects, only where no holder is back and more than one fault was.
func (k *checks) startedEmpty(c *camera, e placement.Operation, before placement.Assignment) {
	f := k.f
	k.Lost++
	f.Told = append(f.Told, c.name)
	c.lines++
	c.acked, c.ids, c.seqs = 0, nil, nil
	// A holder that is back and well is waited for no longer.
	for _, name := range before.Replicas {
		u := f.byUnit[name]
		span := 2 * tick.Tick(f.Lease*float64(tick.Second))
		if u.o != nil && u.frozen == 0 && !u.fresh && u.o.HoldsLease(u.at()) && f.now-u.gained > span &&
			f.keep.lead != nil &&
			f.now-f.keep.since > span && u.twin == nil {
			k.fail("rule 2: %s was begun anew at %s, and its holder %s is back since %d ms", c.name,
				e.Target, name, u.gained/milli)
		}
	}
	// No one crash loses what was acked; nor, with holders away, a zone that is cut off for however long.
	if k.hits+len(k.apart) <= 1 && f.Copies > 0 {
		k.fail("rule 2: %s was begun anew from an older copy after %d fault of a unit, %d of a zone", c.name,
			k.hits, len(k.apart))
	}
}

// pingpong: dwell times double, so that moves in a row are few.
func (k *checks) pingpong(c *camera) {
	f := k.f
	span := float64(f.now) / float64(tick.Second)
	most := 4 + 2*int(math.Log2(1+span/max(0.1,
		f.Dwell))) + 2*c.cross + 2*c.calls + f.keep.Leads + f.check.Falls
	if n := len(c.moves); n > most+2*f.leaves {
		k.fail("rule 5: %s was handed over %d times in %.0f s", c.name, n, span)
	}
}

// stepped looks at what the planner asks for: nothing is handed to a unit that refuses, drains or goes back.
func (k *checks) stepped(l *lead, e placement.Operation) {
	p, _ := k.f.keep.table.Get(e.Instance)
	startsEmpty := e.Kind == placement.OpRestart && p.State == placement.Lost && !slices.Contains(p.Replicas, e.Target)
	if e.Kind != placement.OpStartCopy && !startsEmpty {
		return
	}
	u, known := l.told[e.Target]
	if !known || !u.Accepting || u.Draining || u.RollingBack || u.ShuttingDown || u.Evacuating || u.FreeSlots <= 0 {
		k.fail("rule 4: %s of %s to %s, which takes nothing: %+v", e.Kind, e.Instance, e.Target, u)
	}
}

// judged: a unit knows whether its disk was put back. One that is the newest must not be doubted. What no leader had heard of
// can't be missed; where the lead goes to another one, that is all since the counts were agreed last.
func (k *checks) judged(u *unit, wasBack bool) {
	switch older := u.began.serial < *u.wrote; {
	case wasBack && !older:
		k.fail("rule 2: %s takes its disk for one that was put back", u.shown)
	case wasBack:
		k.Backs++
	case older && !k.f.flaw.noMarks:
		k.Unseen++
		k.missed[u.name] = true
		if h := k.f.keep.heard[u.name]; u.began.serial < h.serial && h.lead == k.f.keep.Leads {
			k.fail("rule 2: %s is not told that its disk was put back, and the leader had heard of %d records more",
				u.shown, h.serial-u.began.serial)
		}
	}
}

// doubts: a unit told that what it goes on with may lack effects: what was known of them is void. One fault alone must not
// bring that about.
func (k *checks) doubts(u *unit, name string) {
	c := k.f.byCam[name]
	k.Doubts++
	c.lines++
	c.acked, c.ids, c.seqs = 0, nil, nil
	if k.hits+len(k.apart) <= 1 && k.f.Copies > 0 {
		k.fail("rule 2: %s doubts its copy of %s after one fault", u.shown, name)
	}
}

// answered looks at an owner's answer: an acked effect is never lost, nor applied twice.
func (k *checks) answered(u *unit, m *command, a replica.Response) {
	c := m.cam
	if a.Outcome != replica.Succeeded || m.line != c.lines {
		return
	}
	// Disks of two units, and one of them can't know that it was put back: more than one crash may lose, and nobody can tell.
	beyond := len(k.wiped) > 1 && slices.ContainsFunc(c.knows, func(u *unit) bool { return k.missed[u.name] })
	same := func(b replica.Response) bool { return a.Index == b.Index && a.Epoch == b.Epoch && a.Node == b.Node }
	if c.ids == nil {
		c.ids, c.seqs = map[string]replica.Response{}, map[uint64]replica.Response{}
	}
	if b, ok := c.seqs[a.Index]; a.Index > 0 && ok && !same(b) && !beyond {
		k.fail("rule 2: effect %d of %s was %d of %s, and is %d of %s", a.Index, c.name, b.Epoch, b.Node,
			a.Epoch, a.Node)
	}
	c.seqs[a.Index] = a
	if !m.write {
		if a.Index < m.least && !beyond {
			k.fail("rule 2: %s read %d of %s after %d was acked", u.shown, a.Index, c.name, m.least)
		}
		return
	}
	if b, ok := c.ids[m.id]; ok && !same(b) && !beyond {
		k.fail("rule 2: %s was applied twice: as %d and %d", m.id, b.Index, a.Index)
	}
	c.ids[m.id] = a
	c.line = append(c.line, m.id)
	if len(c.line) > 64 {
		delete(c.ids, c.line[0])
		c.line = c.line[1:]
	}
	if c.acked = max(c.acked, a.Index); c.acked > 128 {
		delete(c.seqs, c.acked-128)
	}
}

func (k *checks) ended(how string) {
	switch how {
	case "acked":
		k.Acked++
	case "nacked":
		k.Nacked++
	default:
		k.Unknown++
	}
}

// Quiet tells whether every instance runs where one unit acts for it, with its copies, and nothing is under way; and since
// when.
func (f *Fleet) Quiet() (since tick.Tick, quiet bool) {
	k := &f.check
	idle := len(k.without)
	for name := range k.without {
		if p, _ := f.keep.table.Get(name); p.State == placement.Quarantined {
			idle--
		}
	}
	return k.stirs, k.open == 0 && idle == 0
}

// quietSince is when the last fault ended, or the last lead began.
func (f *Fleet) quietSince() tick.Tick { return max(f.healed, f.keep.since) }
