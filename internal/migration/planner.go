package migration

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Tuned values of the planner. Spans that an operator sets are in its file.
const (
	tiredMargin  = 0.2  // of danger: a tired unit's instance goes only to one that is so much better off
	spareMargin  = 0.1  // the same for a unit that has more than its room
	mostEach     = 0.1  // of danger that one instance is held to bring at the most
	mostDanger   = 0.7  // an instance that could as well stay goes only below it
	sampleSome   = 4    // units of a zone that are weighed beside as many of its strongest
	sampleZones  = 3    // zones that are weighed where neither the device's nor the owner's has room
	mostSwings   = 8    // doublings of the dwell
	steadySpan   = 60   // seconds without a fall: an instance's falls count anew
	doubtful     = 3    // a part of the lease: a holder with less of it left is waited for
	oftenCopies  = 0.75 // of the bounds on moves: copies that restore holders keep below it
	oftenNear    = 0.5  // the same for copies to another zone of what has its holders
	crowded      = 0.5  // of a score: a holder in another zone that holds as many as the owner owns
	patience     = 2    // leases that an instance without any holder waits for one in another zone
	rarely       = 4    // leases, at least, between two tries to get a holder in another zone
	mostWork     = 1024 // looks and steps an alarm
	factWork     = 64   // the same at any other fact
	mostSuspect  = 2    // times fleet.falls: no more, with whatever others an instance falls
	mostTries    = 10   // doublings of the wait of an instance that found no place
	shareTrickle = 1    // instances on their way to a unit that takes a trickle
)

// PlannerHost is what a planner acts through.
type PlannerHost interface {
	Propose(e placement.Operation) // to the agreed log; its result comes back by Placed or Refused, at once or later
	Log(text string)
}

// class says why an instance is to go somewhere, the most pressing first.
type class int

const (
	leaves class = iota // its owner ends, drains, or runs a build on its way back
	tired               // its owner hands on
	spare               // its owner has more than its room
	thin                // too few holders
	follow              // its device is in another zone
	near                // enough holders, and too few of them in another zone than its owner
	none
)

var classText = map[class]string{leaves: "its owner goes", tired: "its owner is tired", spare: "its owner has too many",
	thin: "too few copies", follow: "its device is in another zone", near: "too few copies in another zone"}

// copies tells whether an instance is only copied for it, and stays.
func (c class) copies() bool { return c == thin || c == near }

// parked are instances that wait for a part of a bound on moves.
type parked struct {
	thins, nears []*row
}

// unit is an edge unit as the planner knows it.
type unit struct {
	NodeStatus
	known    bool // it was heard of since this planner leads
	over     bool // its lease is over for sure
	zone     *zone
	owned    map[*row]struct{}
	held     map[*row]struct{}
	moves    int // under way, from it and to it
	coming   map[*row]struct{}
	taken    int    // of its Room since it told it
	came     [2]int // handed to it in this lease's span and in the one before
	went     [2]int // and by it
	turned   tick.Tick
	suspects int // instances with it, when it fell, that may have felled it and the owners before it
	fails    int // entries on their way that say that its lease is over
	wants    queue
	waits    parked // for a part of its moves
	able     bool   // may be handed an instance: it is in its zone's able
	at       int    // in busy, -1 for not
	spared   tick.Tick
}

// zone is where units and devices are.
type zone struct {
	name string
	able []*unit // those that may be handed an instance, the strongest first
	all  map[*unit]struct{}

	wants queue // instances that would go here, and found no place
}

// link is between two zones, for both directions.
type link struct {
	moves int
	wants queue // instances for which it is full
}

// row is an instance as the planner knows it.
type row struct {
	placement.Assignment
	there   bool // false: no Placed yet
	owner   *unit
	holders []*unit
	seen    tick.Tick // the owner came, or was lost
	moved   tick.Tick // it was handed over last, 0 for never
	swings  int       // moves in a row, each soon after the one before
	lonely  tick.Tick // until: a holder in another zone was not reached, none is tried
	losses  int       // of those in a row
	bare    []*unit   // holders that began anew without it
	copying tick.Tick // a copy was begun
	device  string    // where its device is, while the table says otherwise
	orphan  bool      // its owner began anew without it
	shed    bool      // one of the lightest of a unit that has too many

	sent     placement.Operation // a step on its way; Kind "" for none
	sentAt   tick.Tick
	failing  *unit
	tries    int       // without a place, or refused, in a row
	not      tick.Tick // no move before, unless for a more pressing reason than notFor
	notFor   class
	avoid    *unit // until avoided: it did not take it, or was not reached
	avoided  tick.Tick
	due      tick.Tick // the next look by itself, 0 for none
	duePos   int
	why      class
	thin     bool    // it is short of copies as well
	near     bool    // and of those in another zone
	danger   float64 // of its owner when it began to wait for a link
	in       *queue
	pos      int
	looking  bool
	parked   bool  // in waits of its owner or of all
	from, to *unit // a move under way, or asked for
	over     *link
}

// Planner decides at the leading keeper when an instance is handed to another unit, whither and how.
//
// How to call it: NewPlanner, then Led once this keeper leads, Placed for each place of the table and Unit for each unit
// that renews its lease, and from then on the one method that names what has happened. It steps at once where it can;
// Alarm does what is left and says when it wants to be called next. What it needs is rebuilt from Placed and Unit alone, so
// a change of leader loses nothing but how long an instance has stayed, which counts from Led anew.
//
// LeaseOver has to be called for each owner that was not heard of for a lease after Led, too.
type Planner struct {
	host  PlannerHost
	seed  uint64
	led   bool
	units map[string]*unit
	zones map[string]*zone
	open  []*zone // zones with an able unit, by name
	links map[[2]string]*link
	rows  map[string]*row
	under int   // moves
	wants queue // instances that would go anywhere, and found no place
	nears queue // the same that would have a holder in another zone
	waits parked
	looks []*row
	due   dues
	busy  units
	runs  bool
	now   tick.Tick

	lease, dwell, restart tick.Tick
	copies, away, falls   int
	most                  struct{ unit, link, all int }
}

// NewPlanner makes a planner that does not lead yet. The settings are those of the block fleet; an absent one is that
// block's default.
func NewPlanner(host PlannerHost, now tick.Tick, seed uint64, set map[string]any) *Planner {
	num := func(name string, usual float64) float64 {
		if v, ok := set["fleet."+name].(float64); ok {
			return v
		}
		return usual
	}
	span := func(name string, usual float64) tick.Tick { return tick.Tick(num(name, usual) * float64(tick.Second)) }
	p := &Planner{host: host, seed: seed, now: now, units: map[string]*unit{}, zones: map[string]*zone{},
		links: map[[2]string]*link{}, rows: map[string]*row{}, lease: max(1, span("lease", 1)), dwell: span("dwell", 5),
		restart: span("restart_after", 10), copies: int(num("copies", 1)), falls: int(num("falls", 3))}
	p.away = min(p.copies, int(num("away", 0)))
	p.most.unit, p.most.link, p.most.all = int(num("moves.unit", 8)), int(num("moves.link", 4)), int(num("moves.all", 64))
	return p
}

// OnElected says that this keeper leads from now on: what was on its way is not waited for, every instance counts as come now,
// and every unit's lease as unknown.
func (p *Planner) OnElected(now tick.Tick) {
	p.now, p.led = now, true
	for _, u := range p.units {
		u.known, u.over, u.fails = false, false, 0
		p.ability(u)
	}
	for _, r := range byWeight(maps.Values(p.rows)) {
		r.sent, r.failing, r.seen, r.copying, r.tries, r.not, r.avoid = placement.Operation{}, nil, now, now, 0, 0, nil
		r.moved = moved(r.Assignment, now)
		p.account(r)
		p.look(r)
	}
	p.work(factWork)
}

// OnDeposed says that this keeper no longer leads. The planner goes on to learn and steps nothing.
func (p *Planner) OnDeposed(now tick.Tick) { p.now, p.led = now, false }

// FailOverPending tells whether an entry is on its way that says that a unit's lease is over. The unit may not have a lease until
// it has come back: an entry that is agreed late would give what it owns to another one while it acts.
func (p *Planner) FailOverPending(name string) bool {
	return p.units[name] != nil && p.units[name].fails > 0
}

// OnNodeStatus tells what the keepers know of an edge unit that has just renewed its lease.
func (p *Planner) OnNodeStatus(now tick.Tick, n NodeStatus) {
	p.now = now
	u := p.unit(n.Name)
	old, was := u.NodeStatus, u.known
	if was && n.LeaseEnd < old.LeaseEnd && n.Incarnation == old.Incarnation {
		n.LeaseEnd = old.LeaseEnd // overtaken
	}
	back, fresh := u.over || old.LeaseEnd != 0 && old.LeaseEnd <= now, n.LostCopies && was && n.Incarnation != old.Incarnation
	if u.zone == nil || u.zone.name != n.Zone {
		if u.zone != nil {
			p.unable(u)
			delete(u.zone.all, u)
		}
		u.zone = p.zone(n.Zone)
		u.zone.all[u] = struct{}{}
	}
	p.unable(u)
	u.NodeStatus, u.known, u.over = n, true, false
	u.taken = len(u.coming)
	if now-u.turned >= p.lease {
		u.came, u.went, u.turned = [2]int{0, u.came[0]}, [2]int{0, u.went[0]}, now
	}
	p.urgent(u)
	p.ability(u)
	if fresh {
		// It has lost its memory: what it owned may only go on at a holder, and it holds nothing.
		p.suspect(u)
		for r := range u.owned {
			r.orphan = true
		}
		for r := range u.held {
			if !slices.Contains(r.bare, u) {
				r.bare = append(r.bare, u)
			}
		}
	}
	if n.FreeSlots < 0 && now >= u.spared {
		u.spared = now + p.lease
		p.shed(u)
	}
	if !was || back || fresh || old.Evacuating != n.Evacuating || old.ShuttingDown != n.ShuttingDown || old.Draining != n.Draining ||
		old.RollingBack != n.RollingBack || old.Accepting != n.Accepting || old.Zone != n.Zone || (old.FreeSlots < 0) != (n.FreeSlots < 0) {
		p.lookAll(u)
	}
	p.work(factWork)
}

// OnLeaseExpired says that a unit's lease is over for sure, by every clock: it does not act.
func (p *Planner) OnLeaseExpired(now tick.Tick, name string) {
	p.now = now
	u := p.unit(name)
	u.over = true
	p.suspect(u)
	p.ability(u)
	p.lookAll(u)
	p.work(factWork)
}

// OnAssignment tells a place as it was agreed: each change, and after Led all of them. An older one is passed over.
func (p *Planner) OnAssignment(now tick.Tick, n placement.Assignment) {
	p.now = now
	r := p.rows[n.Instance]
	if r == nil {
		if n.State == placement.Deleted {
			return
		}
		r = &row{duePos: -1, seen: now, moved: moved(n, now)}
		p.rows[n.Instance] = r
	}
	if r.there && (n.Epoch < r.Epoch || n.Epoch == r.Epoch && n.Revision <= r.Revision) {
		return
	}
	old := r.Assignment
	p.unqueue(r)
	if r.owner != nil {
		delete(r.owner.owned, r)
	}
	for _, u := range r.holders {
		delete(u.held, r)
	}
	if r.Assignment, r.owner, r.holders = n, nil, r.holders[:0]; n.State != placement.Deleted {
		if n.Primary != "" {
			r.owner = p.unit(n.Primary)
			r.owner.owned[r] = struct{}{}
		}
		for _, name := range n.Replicas {
			u := p.unit(name)
			u.held[r] = struct{}{}
			r.holders = append(r.holders, u)
		}
	}
	if r.there && n.Epoch != old.Epoch || n.State != old.State {
		if old.CutOver && n.Epoch == old.Epoch+1 && n.Failures == old.Failures { // it was handed over
			if r.moved != 0 && now-r.moved <= 2*p.dwell<<r.swings {
				r.swings = min(r.swings+1, mostSwings)
			} else {
				r.swings = 0
			}
			r.moved = max(1, now)
			p.unit(old.Primary).went[0]++
			p.unit(n.Primary).came[0]++
		}
		r.seen, r.orphan, r.shed, r.tries, r.not, r.lonely, r.losses = now, false, false, 0, 0, 0, 0
	}
	if n.CopyTarget != old.CopyTarget {
		r.copying = now
		if old.CopyTarget != "" && slices.Contains(n.Replicas, old.CopyTarget) {
			r.tries, r.not = 0, 0
		}
	}
	r.there = true
	if r.sent.Kind != "" && done(r.sent, n) {
		r.sent = placement.Operation{}
	}
	if f := r.failing; f != nil && (n.Primary != f.Name || n.Epoch != old.Epoch) {
		f.fails--
		r.failing = nil
	}
	if r.device == n.Zone {
		r.device = ""
	}
	if r.sent.Kind != placement.OpDropReplica && n.Epoch == old.Epoch {
		for _, name := range old.Replicas { // its owner can't reach it
			if !slices.Contains(n.Replicas, name) {
				r.avoid, r.avoided = p.unit(name), now+2*p.lease
				p.stray(r, r.avoid)
			}
		}
	}
	r.bare = slices.DeleteFunc(r.bare, func(u *unit) bool { return !slices.Contains(r.holders, u) })
	p.account(r)
	if n.State == placement.Deleted {
		p.setDue(r, 0)
		delete(p.rows, n.Instance)
		return
	}
	p.look(r)
	p.work(factWork)
}

// OnProposalRefused says that a step was refused or was not agreed, and why. It is tried again where it is still called for.
func (p *Planner) OnProposalRefused(now tick.Tick, e placement.Operation, why error) {
	p.now = now
	r := p.rows[e.Instance]
	if r == nil {
		return
	}
	if r.failing != nil && (e.Kind == placement.OpFailOver || e.Kind == placement.OpQuarantine) && e.Node == r.failing.Name {
		r.failing.fails--
		r.failing = nil
	}
	if r.sent.Kind != e.Kind || r.sent.Epoch != e.Epoch || r.sent.Target != e.Target {
		return
	}
	p.host.Log(fmt.Sprintf("%s: %s to %q refused: %v", e.Instance, e.Kind, e.Target, why))
	r.sent = placement.Operation{}
	p.account(r)
	p.later(r)
	p.work(factWork)
}

// OnDeviceMoved says in which zone an instance's device is.
func (p *Planner) OnDeviceMoved(now tick.Tick, name, zone string) {
	p.now = now
	r := p.rows[name]
	if r == nil {
		p.host.Log(fmt.Sprintf("%s: a device without an instance is in %s", name, zone))
		return
	}
	if r.device = zone; zone == r.Zone && r.sent.Kind != placement.OpMoveDevice {
		r.device = ""
	}
	p.look(r)
	p.work(factWork)
}

// OnTick does what is left of earlier facts, a bounded part of it, and what has fallen due. It returns when to call it next.
func (p *Planner) OnTick(now tick.Tick) (next tick.Tick) {
	p.now = now
	if !p.work(mostWork) {
		return now + 1
	}
	if len(p.due) > 0 {
		return max(now+1, p.due[0].due)
	}
	return now + p.lease
}

// ChooseNode is the unit at which a new instance should begin, "" where none has room.
func (p *Planner) ChooseNode(now tick.Tick, name, zone string) string {
	p.now = now
	if u, _ := p.pick(&row{Assignment: placement.Assignment{Instance: name, Zone: zone}}, leaves); u != nil {
		u.taken++
		p.ability(u)
		return u.Name
	}
	return ""
}

// work does looks, what has fallen due and the most pressing moves, and tells whether all was done.
func (p *Planner) work(most int) bool {
	if !p.led || p.runs {
		return true // a step that was agreed at once told so: the work that called it goes on
	}
	p.runs = true
	defer func() { p.runs = false }()
	for ; most > 0; most-- {
		switch {
		case len(p.looks) > 0:
			r := p.looks[0]
			if p.looks = p.looks[1:]; len(p.looks) == 0 {
				p.looks = nil
			}
			if r.looking = false; p.rows[r.Instance] == r {
				p.judge(r)
			}
		case len(p.due) > 0 && p.due[0].due <= p.now:
			r := p.due[0]
			p.setDue(r, 0)
			p.judge(r)
		case len(p.busy) > 0 && p.under < p.most.all:
			p.begin(p.busy[0].wants[0])
		default:
			return true
		}
	}
	return false
}

// judge says what one instance needs now, and does it or puts it where it waits.
func (p *Planner) judge(r *row) {
	p.unqueue(r)
	p.setDue(r, 0)
	if r.sent.Kind != "" {
		if until := r.sentAt + 2*p.lease; p.now < until {
			p.setDue(r, until)
			return
		}
		r.sent = placement.Operation{} // its result was lost
		if r.device == r.Zone {
			r.device = ""
		}
		p.account(r)
	}
	switch {
	case r.device != "" && r.device != r.Zone:
		p.step(r, placement.Operation{Kind: placement.OpMoveDevice, Zone: r.device, Reason: "its device is in " + r.device})
	case r.State == placement.Lost:
		p.revive(r)
	case r.State != placement.Running:
	case r.owner.over || r.orphan:
		p.fail(r)
	case len(r.bare) > 0 && !(r.CutOver && r.CopyTarget == r.bare[0].Name):
		p.step(r, placement.Operation{Kind: placement.OpDropReplica, Target: r.bare[0].Name, Reason: r.bare[0].Name + " began without its copies"})
	case r.CopyTarget != "":
		p.watch(r)
	default:
		p.want(r)
	}
}

// fail lets a holder take over from an owner that does not act any more. A fall is no handing over: the holder has every
// acked effect, and to lose one would be worse than to serve on at a unit that is tired, drains or goes back; it hands on
// at once then. But the better off come first.
func (p *Planner) fail(r *row) {
	if r.Failures+1 >= p.falls && (r.owner.suspects <= 1 || r.Failures+1 >= mostSuspect*p.falls) {
		// Guards against an instance that fells each owner. Units that fell for another reason look the same where one
		// instance was at all of them; it hurts then: an operator has to release it. Where several that may be it fell with
		// one unit, they go on, each with a holder of its own, until one falls alone; that costs a unit's fall or two more.
		p.step(r, placement.Operation{Kind: placement.OpQuarantine, Node: r.Primary, Reason: fmt.Sprintf("fell %d owners in a row", r.Failures+1)})
		return
	}
	best := p.heir(r)
	if best != nil && best.LeaseEnd != 0 && best.LeaseEnd-p.now < p.lease/doubtful {
		// Guards against handing all to a holder that fell in the same moment, which counts a fall more and another lease
		// without an owner. A slow one looks the same; it costs it the rest of its lease.
		p.setDue(r, p.now+max(1, p.lease/6))
		return
	}
	e := placement.Operation{Kind: placement.OpFailOver, Node: r.Primary, Reason: r.Primary + " fell"}
	if best != nil {
		e.Target = best.Name
	}
	p.step(r, e)
}

// suspect counts the instances that were at a unit that fell and are at their last fall.
func (p *Planner) suspect(u *unit) {
	u.suspects = 0
	for r := range u.owned {
		u.suspects += b2i(r.Failures+1 >= p.falls)
	}
}

// heir is the best living holder, nil for none: of those that are as well one that is surely there, then one where the
// device is.
func (p *Planner) heir(r *row) *unit {
	var best *unit
	rank := func(u *unit) int {
		switch {
		case u.able:
			return 0
		case !u.Draining && !u.RollingBack && !u.ShuttingDown && !u.Evacuating:
			return 1
		case !u.Draining && !u.RollingBack && !u.ShuttingDown:
			return 2
		}
		return 3
	}
	// Where a zone is cut off, its holders' leases run out beside its owners', and one elsewhere need not wait for that.
	doubts := func(u *unit) int { return b2i(u.LeaseEnd != 0 && u.LeaseEnd-p.now < p.lease/doubtful) }
	for _, u := range r.holders {
		if !u.known || u.over || slices.Contains(r.bare, u) || u.LeaseEnd != 0 && u.LeaseEnd+p.lease/doubtful <= p.now {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(rank(u), rank(best)), cmp.Compare(doubts(u), doubts(best)),
			cmp.Compare(b2i(u.Zone != r.Zone), b2i(best.Zone != r.Zone)), cmp.Compare(u.Risk, best.Risk)) < 0 {
			best = u
		}
	}
	return best
}

// revive lets a lost instance go on: at once where a holder is back, else after restart_after from the best older copy.
func (p *Planner) revive(r *row) {
	if u := p.heir(r); u != nil {
		p.step(r, placement.Operation{Kind: placement.OpRestart, Target: u.Name, Index: r.Index, Reason: u.Name + " holds all of it and is back"})
		return
	}
	if at := r.seen + p.restart; p.now < at {
		p.setDue(r, at)
		return
	}
	if p.now < r.not {
		p.setDue(r, r.not)
		return
	}
	var best *unit
	var seq uint64
	for _, k := range r.StaleCopies {
		if u := p.unit(k.Node); u.able && (best == nil || k.Index > seq) {
			best, seq = u, k.Index
		}
	}
	if best == nil {
		best, _ = p.pick(r, leaves)
	}
	if best == nil {
		p.later(r)
		return
	}
	best.taken++
	p.ability(best)
	p.step(r, placement.Operation{Kind: placement.OpRestart, Target: best.Name, Index: seq, Reason: "no holder came back"})
}

const slow = "did not have it in time"

// watch gives up a copy that does not end in time, or whose target may not be handed an instance any more.
func (p *Planner) watch(r *row) {
	u := p.unit(r.CopyTarget)
	why := ""
	switch {
	case u.over, slices.Contains(r.bare, u):
		why = "fell"
	case !u.known:
	case u.ShuttingDown, u.Draining:
		why = "drains"
	case u.RollingBack:
		why = "runs a build on its way back"
	case u.Evacuating, !u.Accepting:
		why = "refuses"
	}
	end := r.copying + p.restart
	if o := r.owner; p.away > 0 && !r.CutOver && o.zone != nil && p.far(u, o) && len(o.zone.able) > b2i(o.able) && p.lone(r) {
		// Guards against effects that rest on the owner alone for as long as another zone is not reached. A large state on
		// a slow link looks the same; it costs it a copy in its own zone first.
		end = min(end, r.copying+patience*p.lease)
	}
	if why == "" && p.now < end {
		p.setDue(r, end)
		return
	} else if why == "" {
		why = slow
	}
	r.tries = min(r.tries+1, mostTries)
	r.not, r.notFor = p.now+min(p.lease<<r.tries/4, max(p.lease, p.restart)), leaves
	r.avoid, r.avoided = u, r.not+p.lease
	if why == slow {
		p.stray(r, u)
	}
	p.step(r, placement.Operation{Kind: placement.OpCancelCopy, Target: r.CopyTarget, Reason: r.CopyTarget + " " + why})
}

// want puts an instance that runs into the queue of what it needs, or does what takes no move.
func (p *Planner) want(r *row) {
	o := r.owner
	why, from, stay := none, tick.Tick(0), tick.Tick(0)
	if r.moved != 0 {
		stay = r.moved + p.dwell<<r.swings
	}
	switch {
	case !o.known:
	case o.ShuttingDown, o.Draining, o.RollingBack:
		why = leaves
	case o.Evacuating:
		// Two tired units would hand it to and fro: each time in a row it stays twice as long.
		if why = tired; r.swings > 0 {
			from = stay
		}
	case r.shed && o.FreeSlots < 0:
		why, from = spare, stay
	case r.Zone != "" && r.Zone != o.Zone:
		why, from = follow, stay
	}
	good, far, sure := 0, 0, true
	for _, u := range r.holders {
		if !p.poor(u) {
			good++
			far += b2i(p.far(u, o))
			sure = sure && u.known
		}
	}
	var worst *unit
	for _, u := range r.holders {
		if far <= p.away && p.far(u, o) && !p.poor(u) { // a near one goes for it
			continue
		}
		if worst == nil || p.worse(r, u, worst) {
			worst = u
		}
	}
	r.thin = good < p.copies && o.known && !p.poor(o)
	r.near = far < p.away && o.known && !p.poor(o)
	over := len(r.holders) - p.copies
	if over > 0 && (worst == nil || good-b2i(!p.poor(worst)) < p.copies) {
		over = 0
	}
	switch {
	case why != none && p.now >= from && over < 2:
	case r.thin:
		why = thin
	case over > 0 && (sure || p.away == 0): // whose zones are known
		p.step(r, placement.Operation{Kind: placement.OpDropReplica, Target: worst.Name, Reason: "a copy too many"})
		return
	default:
		if why != none {
			p.setDue(r, from)
		}
		if why = none; r.near && over <= 0 {
			if why = near; p.now < r.lonely {
				p.setDue(r, sooner(r.due, r.lonely))
				why = none
			}
		}
	}
	if at := r.seen + steadySpan*tick.Second; r.Failures > 0 {
		if p.now >= at {
			p.step(r, placement.Operation{Kind: placement.OpResetFailures, Reason: "no fall for long"})
			return
		}
		p.setDue(r, sooner(r.due, at))
	}
	if why == none {
		return
	}
	if p.now < r.not && why >= r.notFor {
		p.setDue(r, sooner(r.due, r.not))
		return
	}
	r.why = why
	p.enqueue(&o.wants, r, 0)
	p.urgent(o)
}

// poor tells whether a holder, or an owner, is not counted upon to keep a copy.
func (p *Planner) poor(u *unit) bool {
	return u.over || u.known && (u.ShuttingDown || u.Draining || u.RollingBack)
}

// far tells whether a holder is in another zone than an owner. One whose zone is not known is taken for it.
func (p *Planner) far(u, owner *unit) bool { return u.Zone != owner.Zone }

// stray notes that a holder in another zone was not reached, or did not come to be one in time.
//
// Guards against a link that is too slow or lossy for acks, over which copies would go for ever while effects rest on the
// owner alone in between: none is tried for four leases, twice as long each time in a row. A short cut of the zones looks
// the same; it hurts then, as the holder stays in the zone for so long.
func (p *Planner) stray(r *row, u *unit) {
	if r.owner == nil || !p.far(u, r.owner) {
		return
	}
	span := func() tick.Tick { return rarely * p.lease << r.losses }
	if r.lonely != 0 && p.now < r.lonely+span() {
		r.losses = min(r.losses+1, mostSwings)
	} else {
		r.losses = 0
	}
	r.lonely = p.now + span()
}

// lone tells whether no holder is counted upon.
func (p *Planner) lone(r *row) bool {
	return !slices.ContainsFunc(r.holders, func(u *unit) bool { return !p.poor(u) })
}

// worse tells whether a holder is let go before another one.
func (p *Planner) worse(r *row, a, b *unit) bool {
	x := func(u *unit) int {
		return 8*b2i(p.poor(u)) + 4*b2i(u.Evacuating) + 2*b2i(u.Zone != r.owner.Zone) + b2i(u.Zone != r.Zone)
	}
	return cmp.Or(cmp.Compare(x(b), x(a)), cmp.Compare(b.Risk, a.Risk), cmp.Compare(b.Name, a.Name)) < 0
}

// begin begins the move of an instance at the head of its unit's queue, or puts it where it waits.
func (p *Planner) begin(r *row) {
	p.unqueue(r)
	if full := p.part(r.why, p.under, p.most.all); r.why.copies() && (full || p.part(r.why, r.owner.moves, p.most.unit)) {
		if full {
			p.park(&p.waits, r)
		} else {
			p.park(&r.owner.waits, r)
		}
		span := p.lease / 4 // where a place that came free was not taken by the one it woke
		if r.why == near {
			span = rarely * p.lease
		}
		p.setDue(r, sooner(r.due, p.now+span))
		return
	}
	u, full := p.pick(r, r.why)
	if u == nil && r.thin && r.why != thin && !p.part(thin, p.under, p.most.all) {
		if u, _ = p.pick(r, thin); u != nil { // it can't go, and is not to be without a copy meanwhile
			r.why = thin
		}
	}
	switch {
	case u == nil && full != nil:
		p.enqueue(&full.wants, r, r.owner.Risk)
		p.setDue(r, sooner(r.due, p.now+4*p.lease)) // where a place that came free was not taken by the one it woke
		return
	case u == nil && r.why == near:
		// One zone only, or all of the others tired or without room: it is looked at when a zone or a place comes free.
		p.enqueue(&p.nears, r, r.owner.Risk)
		p.setDue(r, sooner(r.due, p.now+rarely*(p.lease+p.restart)))
		return
	case u == nil:
		p.later(r)
		q := &p.wants
		if r.why == follow {
			q = &p.zone(r.Zone).wants
		}
		p.enqueue(q, r, r.owner.Risk)
		return
	}
	e := placement.Operation{Kind: placement.OpStartCopy, Target: u.Name, CutOver: !r.why.copies(), Reason: classText[r.why]}
	if r.why == follow {
		e.Reason = "its device is in " + r.Zone
	}
	p.step(r, e)
}

// park puts an instance where it waits for a part of a bound.
func (p *Planner) park(w *parked, r *row) {
	q := &w.thins
	if r.why == near {
		q = &w.nears
	}
	if !r.parked {
		r.parked = true
		*q = append(*q, r)
	}
}

// unpark looks again at the first instance that waited for a part of a bound: a unit whose instances all lost a holder
// has them copied one after the other, and not a few each quarter of a lease. Those that lack a holder come first.
func (p *Planner) unpark(w *parked) {
	for len(w.thins)+len(w.nears) > 0 {
		q := &w.thins
		if len(*q) == 0 {
			q = &w.nears
		}
		r := (*q)[0]
		if *q = (*q)[1:]; len(*q) == 0 {
			*q = nil
		}
		if r.parked = false; p.rows[r.Instance] == r && (r.thin || r.near) {
			p.look(r)
			return
		}
	}
}

// part tells whether copies have their part of a bound.
func (p *Planner) part(why class, n, most int) bool {
	often := oftenCopies
	if why == near {
		often = oftenNear
	}
	return float64(n) >= max(1, often*float64(most))
}

// pick chooses whither: a unit of the device's zone, else of the owner's, else of a few others; for a copy in another zone
// of the device's, else of a few others than the owner's. Each zone's strongest and a sample of it are weighed, never all.
// Where a link is full it tells so.
func (p *Planner) pick(r *row, why class) (best *unit, full *link) {
	var score float64
	h := xxhash.Sum64String(r.Instance) ^ p.seed
	tries := uint64(r.tries)
	if why == near {
		tries = uint64(p.now) // other zones each time
	}
	chance := rand.New(rand.NewPCG(h, tries))
	away := r.near && (why == near || why == thin && p.now >= r.lonely)
	weigh := func(u *unit) {
		if !p.suits(r, u, why) {
			return
		}
		if l := p.linkOf(r.owner, u); l != nil && (l.moves >= p.most.link || why.copies() && p.part(why, l.moves, p.most.link)) {
			full = l
			return
		}
		// Strength first, then room and moves under way; a holder has the state already, the more so the larger it is.
		s := -2*u.Risk + 0.5*min(1, float64(u.FreeSlots-u.taken)/16) - 0.5*float64(u.moves)/float64(p.most.unit)
		if slices.Contains(r.holders, u) {
			s += 0.5 + min(1, float64(r.Size)/(1<<20))
		}
		if u.Limited {
			s -= 0.5
		}
		if away { // guards against the strongest few that hold for the whole fleet
			s -= crowded * float64(len(u.held)) / float64(1+len(r.owner.owned))
		}
		if r.Failures > 0 { // those that fell with one unit are not to fall together again: one of them may have felled it
			m := (h ^ xxhash.Sum64String(u.Name) + uint64(r.Failures)) * 0x9e3779b97f4a7c15
			s += float64((m^m>>29)*0xbf58476d1ce4e5b9>>40) / (1 << 24)
		} else {
			s += 0.1 * float64((h^xxhash.Sum64String(u.Name))>>40) / (1 << 24)
		}
		if best == nil || s > score {
			best, score = u, s
		}
	}
	from := func(z *zone) {
		for _, u := range r.holders {
			if u.zone == z {
				weigh(u)
			}
		}
		if n := len(z.able); n <= 2*sampleSome {
			for _, u := range z.able {
				weigh(u)
			}
		} else {
			for i := range sampleSome {
				weigh(z.able[i])
				weigh(z.able[sampleSome+chance.IntN(n-sampleSome)])
			}
		}
	}
	device := p.zones[r.Zone]
	own := (*zone)(nil)
	if r.owner != nil {
		own = r.owner.zone
	}
	others := func() {
		n := len(p.open)
		if n == 0 {
			return
		}
		for i, first := 0, chance.IntN(n); i < min(n, sampleZones+2); i++ {
			if z := p.open[(first+i)%n]; z != device && z != own {
				from(z)
			}
		}
	}
	if away {
		if device != nil && device != own {
			from(device)
		}
		if best == nil {
			others()
		}
		if best != nil || why == near {
			return best, full
		}
	}
	if device != nil {
		from(device)
	}
	apart := why == thin && r.Failures > 0 && r.Failures+1 >= p.falls // anywhere, so that no two suspects meet
	if best != nil && !apart || why == follow {
		return best, full
	}
	if own != nil && own != device {
		from(own)
	}
	if n := len(p.open); (best == nil || apart) && n > 0 {
		others()
		for _, u := range r.holders {
			weigh(u)
		}
	}
	return best, full
}

// suits tells whether a unit may be handed an instance. That it accepts, has room, and neither drains nor goes back is
// already so for all that are able.
func (p *Planner) suits(r *row, u *unit, why class) bool {
	holds := slices.Contains(r.holders, u)
	switch {
	case !u.able, u == r.owner, u.moves >= p.most.unit, u == r.avoid && p.now < r.avoided:
		return false
	case u.Limited && len(u.coming) >= shareTrickle:
		return false
	case why.copies():
		return !holds && u.Risk < mostDanger && !p.part(why, u.moves, p.most.unit)
	case why == tired:
		// Guards against two tired units that hand all to each other: what is on its way, and what was in the
		// last lease or two, counts at both ends, at the owner's danger an instance, as reports lag behind, and the target has to be better off by a margin then. Danger from an empty battery looks the
		// same and does not go down with each that goes; it hurts then: they go in several rounds, one each report.
		o := r.owner
		each := min(mostEach, o.Risk/float64(max(1, len(o.owned))))
		more := float64(len(u.coming) + u.came[0] + u.came[1] + 1)
		less := float64(o.moves - len(o.coming) + o.went[0] + o.went[1] + 1)
		return u.Risk+each*more <= o.Risk-each*less-tiredMargin
	case why == spare:
		return u.Risk <= r.owner.Risk+spareMargin && u.FreeSlots-u.taken > 1
	case why == follow:
		return u.Risk < mostDanger || u.Risk <= r.owner.Risk
	}
	return true
}

// linkOf is the link that a move from one unit to another takes, nil within a zone.
func (p *Planner) linkOf(from, to *unit) *link {
	if from == nil || from.Zone == to.Zone || from.Zone == "" || to.Zone == "" {
		return nil
	}
	key := [2]string{min(from.Zone, to.Zone), max(from.Zone, to.Zone)}
	if p.links[key] == nil {
		p.links[key] = &link{}
	}
	return p.links[key]
}

// shed marks the lightest instances of a unit that has more than its room.
func (p *Planner) shed(u *unit) {
	rows := byWeight(maps.Keys(u.owned))
	for i, r := range rows {
		if on := i >= len(rows)+u.FreeSlots; on != r.shed {
			r.shed = on
			p.look(r)
		}
	}
}

// step sends an entry for an instance, at most one at a time.
func (p *Planner) step(r *row, e placement.Operation) {
	e.Version, e.Instance, e.Epoch = placement.FormatVersion, r.Instance, r.Epoch
	if r.sent.Kind != "" || !p.led {
		return
	}
	if (e.Kind == placement.OpFailOver || e.Kind == placement.OpQuarantine) && r.failing == nil {
		r.failing = r.owner
		r.owner.fails++
	}
	r.sent, r.sentAt = e, p.now
	p.setDue(r, p.now+2*p.lease)
	if e.Kind == placement.OpStartCopy {
		p.unit(e.Target).taken++
	}
	p.account(r)
	p.host.Propose(e)
}

// done tells whether a place shows what an entry was to bring.
func done(e placement.Operation, n placement.Assignment) bool {
	switch {
	case e.Kind == placement.OpMoveDevice:
		return n.Zone == e.Zone
	case n.Epoch > e.Epoch:
		return true
	case e.Kind == placement.OpStartCopy:
		return n.CopyTarget == e.Target || !e.CutOver && slices.Contains(n.Replicas, e.Target)
	case e.Kind == placement.OpCancelCopy:
		return n.CopyTarget != e.Target
	case e.Kind == placement.OpDropReplica:
		return !slices.Contains(n.Replicas, e.Target)
	case e.Kind == placement.OpResetFailures:
		return n.Failures == 0
	case e.Kind == placement.OpFailOver, e.Kind == placement.OpQuarantine:
		return n.State != placement.Running
	}
	return false
}

// later puts a look off, each time in a row twice as long.
func (p *Planner) later(r *row) {
	r.tries = min(r.tries+1, mostTries)
	r.not, r.notFor = max(r.not, p.now+min(p.lease<<r.tries/8, max(p.lease, p.restart/2))), r.why
	p.setDue(r, sooner(r.due, r.not))
}

// account brings up what a move under way or asked for takes of the bounds.
func (p *Planner) account(r *row) {
	var from, to *unit
	switch {
	case r.State != placement.Running:
	case r.CopyTarget != "":
		from, to = r.owner, p.unit(r.CopyTarget)
	case r.sent.Kind == placement.OpStartCopy && r.owner != nil:
		from, to = r.owner, p.unit(r.sent.Target)
	}
	if from == r.from && to == r.to {
		return
	}
	count := func(n int) {
		p.under += n
		r.from.moves += n
		r.to.moves += n
		if r.over != nil {
			r.over.moves += n
		}
	}
	if r.to != nil {
		count(-1)
		delete(r.to.coming, r)
		if r.over != nil && len(r.over.wants) > 0 {
			next := r.over.wants[0]
			p.unqueue(next)
			p.look(next)
		}
		p.ability(r.to)
		p.urgent(r.from)
		p.urgent(r.to)
		p.unpark(&r.from.waits)
		p.unpark(&p.waits)
		p.wake(&p.nears, 1)
	}
	if r.from, r.to, r.over = from, to, nil; to != nil {
		r.over = p.linkOf(from, to)
		count(1)
		to.coming[r] = struct{}{}
		p.ability(to)
		p.urgent(from)
		p.urgent(to)
	}
}

func (p *Planner) unit(name string) *unit {
	u := p.units[name]
	if u == nil {
		u = &unit{NodeStatus: NodeStatus{Name: name}, owned: map[*row]struct{}{}, held: map[*row]struct{}{},
			coming: map[*row]struct{}{}, at: -1}
		p.units[name] = u
	}
	return u
}

func (p *Planner) zone(name string) *zone {
	if p.zones[name] == nil {
		p.zones[name] = &zone{name: name, all: map[*unit]struct{}{}}
	}
	return p.zones[name]
}

// stronger orders the able units of a zone.
func stronger(a, b *unit) int {
	return cmp.Or(cmp.Compare(a.Risk, b.Risk), cmp.Compare(a.Name, b.Name))
}

// ability brings up whether a unit may be handed an instance.
func (p *Planner) ability(u *unit) {
	able := u.known && !u.over && u.Accepting && !u.Evacuating && !u.ShuttingDown && !u.Draining && !u.RollingBack && u.FreeSlots-u.taken > 0
	switch {
	case able && !u.able:
		z := u.zone
		if len(z.able) == 0 {
			at, _ := slices.BinarySearchFunc(p.open, z, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
			p.open = slices.Insert(p.open, at, z)
		}
		at, _ := slices.BinarySearchFunc(z.able, u, stronger)
		z.able = slices.Insert(z.able, at, u)
		u.able = true
		p.wake(&z.wants, u.FreeSlots-u.taken)
		p.wake(&p.wants, u.FreeSlots-u.taken)
		p.wake(&p.nears, u.FreeSlots-u.taken)
	case !able:
		p.unable(u)
	}
}

// wake looks again at so many instances that found no place, the most pressing and endangered first: those that look by
// themselves would come in any order.
func (p *Planner) wake(q *queue, n int) {
	for range min(n, p.most.unit, len(*q)) {
		r := (*q)[0]
		p.unqueue(r)
		r.not = 0
		p.look(r)
	}
}

// unable takes a unit out of its zone's able ones; its danger and zone may be changed then.
func (p *Planner) unable(u *unit) {
	if !u.able {
		return
	}
	z := u.zone
	at, _ := slices.BinarySearchFunc(z.able, u, stronger)
	z.able = slices.Delete(z.able, at, at+1)
	if u.able = false; len(z.able) == 0 {
		at := slices.Index(p.open, z)
		p.open = slices.Delete(p.open, at, at+1)
	}
}

// look puts an instance among those that are judged next.
func (p *Planner) look(r *row) {
	if !r.looking {
		r.looking = true
		p.looks = append(p.looks, r)
	}
}

// lookAll looks at all that a unit has to do with, the heaviest first.
func (p *Planner) lookAll(u *unit) {
	for _, set := range []map[*row]struct{}{u.owned, u.held, u.coming} {
		for _, r := range byWeight(maps.Keys(set)) {
			p.look(r)
		}
	}
}

func byWeight(all iter.Seq[*row]) []*row { return slices.SortedFunc(all, heavier) }

func heavier(a, b *row) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Instance, b.Instance))
}

// moved is when an instance may have been handed over last, as far as its place tells.
func moved(n placement.Assignment, now tick.Tick) tick.Tick {
	if n.Epoch > 1 {
		return max(1, now)
	}
	return 0
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sooner is the earlier of two moments, of which 0 is none.
func sooner(a, b tick.Tick) tick.Tick {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
