package fleetsim

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"silvercove/internal/devicehealth"
	"silvercove/internal/leases"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// Why a call to the keepers brings nothing.
var (
	errOver = errors.New("the lead is over")
	errTime = errors.New("no answer in time")
)

// mostSteps is how many of the planner's steps are in one entry of the log, as at a keeper.
const mostSteps = 256

// keeper is one of them.
type keeper struct {
	node   *node
	down   int       // falls under way
	disk   tick.Tick // for one write
	rate   float64
	offset tick.Tick
	later  int // it runs a later program
}

func (k *keeper) at(now tick.Tick) tick.Tick { return k.offset + tick.Tick(float64(now)*k.rate) }

// cluster is the keepers' agreed log: an entry is agreed once a majority has it on disk.
type cluster struct {
	f        *Fleet
	all      []*keeper
	table    *placement.Table
	runs     map[string]uint64
	kept     map[string]uint64 // units' counts, as agreed
	heard    map[string]heard
	term     uint64
	lead     *lead
	inflight []*order
	last     tick.Tick // when the last entry was agreed
	election int       // counts elections, so that an earlier one's end is passed over
	since    tick.Tick // the lead began
	late     tick.Tick // an earlier lead's entries were agreed then
	spans    leases.Timings
	Leads    int
	Orders   int
	Steps    int
	Marks    int  // orders with units' counts
	lit      bool // a later keeper added a field to places
	spoken   bool // a step that only later ones know was agreed
}

// heard is which record of a unit's was the last that a leader heard of, in truth, and the number of its lead.
type heard struct {
	serial uint64
	lead   int
}

// lead is a span of leading, as at a keeper.
type lead struct {
	c       *cluster
	who     *keeper
	term    uint64
	book    *leases.Lessor
	marks   *leases.RecordCounts
	claims  *devicehealth.Verifier
	planner *migration.Planner
	units   map[string]migration.NodeStatus // the last of each
	queue   []queued
	told    map[string]migration.NodeStatus // and what they said
	pending map[string]int
	waits   map[string][]func()
	sending bool
	due     tick.Tick // of the true time, when the next look is; 0 for none
	ringing uint64
}

type queued struct {
	entry placement.Operation
	why   error
}

// order is one entry of the log. done is called once: with what became of it, or that this is not known.
type order struct {
	lead  *lead
	steps []placement.Operation
	unit  string
	run   uint64
	marks map[string]uint64
	notes []replica.UnverifiedCopy
	at    tick.Tick
	done  func(all []result, err error)
	later bool // a keeper of a later program let it in
}

type result struct {
	place placement.Assignment
	err   error
}

func (f *Fleet) addKeepers(table *placement.Table) {
	c := &cluster{f: f, table: table, runs: map[string]uint64{}, kept: map[string]uint64{}, heard: map[string]heard{}, spans: leases.TimingsFor(leases.ConfigFrom(f.set))}
	for i := range f.Keepers {
		c.all = append(c.all, &keeper{node: f.addNode(fmt.Sprintf("keeper-%d", i+1), nil), disk: 2 * milli,
			rate: 1 + (f.rng.Float64()-0.5)*0.01, offset: tick.Tick(f.rng.IntN(int(1000 * tick.Second)))})
	}
	f.keep = c
	c.elected(c.all[0])
}

// reach is after how long a majority has answered a keeper, with or without its disks; false if none does.
func (c *cluster) reach(k *keeper, disks bool) (tick.Tick, bool) {
	if k.down > 0 {
		return 0, false
	}
	var spans []tick.Tick
	for _, o := range c.all {
		if o == k || o.down > 0 || c.f.cut(k.node, o.node) || c.f.cut(o.node, k.node) {
			continue
		}
		span := 2*milli + tick.Tick(c.f.rng.IntN(int(milli)))
		if disks {
			span += o.disk
		}
		spans = append(spans, span)
	}
	need := len(c.all) / 2
	if len(spans) < need {
		return 0, false
	}
	if need == 0 {
		return k.disk, true
	}
	slices.Sort(spans)
	span := spans[need-1]
	if disks {
		span = max(span, k.disk)
	}
	return span, true
}

// look is called when the keepers or their links may have changed: a leader that lost its majority ends, and another
// one is looked for.
func (c *cluster) look() {
	heartbeat := c.spans.HeartbeatTimeout
	if l := c.lead; l != nil {
		if _, ok := c.reach(l.who, false); ok {
			return
		}
		if l.who.down == 0 {
			c.f.in(heartbeat, func() {
				if _, ok := c.reach(l.who, false); c.lead == l && !ok {
					c.ends()
				}
			})
			return
		}
		c.ends()
	}
	c.election++
	mine := c.election
	c.f.in(heartbeat+tick.Tick(c.f.rng.IntN(int(heartbeat))), func() {
		if c.lead != nil || c.election != mine {
			return
		}
		first := c.f.rng.IntN(len(c.all))
		for i := range c.all {
			k := c.all[(first+i)%len(c.all)]
			if span, ok := c.reach(k, true); ok {
				c.f.in(2*span, func() {
					if _, ok := c.reach(k, true); ok && c.lead == nil && c.election == mine {
						c.elected(k)
					} else if c.lead == nil && c.election == mine {
						c.look()
					}
				})
				return
			}
		} // else a change of what stands in the way looks again
	})
}

// changed is called when links have changed: without a leader or with one, it is looked at whether that stands.
func (c *cluster) changed() {
	if l := c.lead; l == nil {
		c.look()
	} else if _, ok := c.reach(l.who, false); !ok {
		c.look()
	}
}

// ends ends the lead. Of what was under way the first entries may be agreed by the next leader, the others are lost.
func (c *cluster) ends() {
	l := c.lead
	c.lead = nil
	c.f.say(testcluster.Event{Node: l.who.node.name, Name: "follows"})
	waits := l.waits
	l.waits = nil
	keep := 0
	if len(c.inflight) > 0 {
		keep = c.f.rng.IntN(len(c.inflight) + 1)
	}
	for _, o := range c.inflight[keep:] {
		o.done(nil, errOver)
	}
	c.inflight = c.inflight[:keep]
	for _, name := range slices.Sorted(maps.Keys(waits)) {
		for _, do := range waits[name] {
			do()
		}
	}
	c.look()
}

// elected begins a lead: all that was agreed before is carried out first.
func (c *cluster) elected(k *keeper) {
	f := c.f
	c.term++
	if len(c.inflight) > 0 {
		c.late = f.now
	}
	for _, o := range c.inflight {
		_, _ = c.apply(o, false)
		o.done(nil, errOver) // whoever asked does not know
	}
	c.inflight = nil
	now := k.at(f.now)
	l := &lead{c: c, who: k, term: c.term, book: leases.New(leases.ConfigFrom(f.set)), units: map[string]migration.NodeStatus{},
		told: map[string]migration.NodeStatus{}, pending: map[string]int{},
		waits: map[string][]func(){}}
	l.claims = devicehealth.NewVerifier()
	l.book.OnElected(now, c.runs)
	l.marks = leases.NewRecordCounts(now, leases.ConfigFrom(f.set), c.kept)
	l.planner = migration.NewPlanner(l, now, uint64(now), migration.ConfigFrom(f.set))
	c.lead, c.since = l, f.now
	c.Leads++
	l.planner.OnElected(now)
	for _, p := range c.table.All() {
		l.expects(now, p)
		l.planner.OnAssignment(now, p)
	}
	f.say(testcluster.Event{Node: k.node.name, Name: "leads", Why: fmt.Sprint(l.term)})
	l.ring()
}

func (l *lead) at() tick.Tick { return l.who.at(l.c.f.now) }

func (l *lead) expects(now tick.Tick, p placement.Assignment) {
	if p.State != placement.Running {
		return
	}
	l.book.ExpectRenewal(now, p.Primary)
	for _, name := range p.Replicas {
		l.book.ExpectRenewal(now, name)
	}
}

// ring has the lead look soon at what time brought.
func (l *lead) ring() { l.wake(1) }

func (l *lead) wake(span tick.Tick) {
	f := l.c.f
	at := f.now + max(1, span)
	if l.due != 0 && l.due <= at {
		return
	}
	l.due = at
	l.ringing++
	mine := l.ringing
	f.in(at-f.now, func() {
		if l.c.lead != l || l.ringing != mine {
			return
		}
		l.due = 0
		now := l.at()
		for _, name := range l.book.Expired(now) {
			f.say(testcluster.Event{Node: l.who.node.name, Name: "lapsed", To: name})
			l.planner.OnLeaseExpired(now, name)
		}
		next := l.planner.OnTick(now)
		if at, found := l.book.NextExpiry(); found && at < next {
			next = at
		}
		for some := l.marks.Due(now); some != nil; some = l.marks.Due(now) {
			l.c.Marks++
			l.c.agree(&order{lead: l, marks: some, done: func([]result, error) {}})
		}
		if at, found := l.marks.NextDue(); found && at < next {
			next = at
		}
		l.wake(next - now)
	})
}

// Propose is the planner's: it is proposed, many at once.
func (l *lead) Propose(e placement.Operation) {
	f := l.c.f
	f.check.stepped(l, e)
	q := queued{entry: e}
	q.entry.Version = placement.FormatVersion
	if lapse(e) {
		q.why = l.rest(e.Node)
	}
	l.queue = append(l.queue, q)
	if !l.sending {
		l.sending = true
		f.in(0, l.propose)
	}
}

// Log is the planner's; its words are in the places' reasons already.
func (l *lead) Log(string) {}

// lapse: the entry rests on the lease of its By being over.
func lapse(e placement.Operation) bool {
	return (e.Kind == placement.OpFailOver || e.Kind == placement.OpQuarantine || e.Kind == placement.OpDelete) &&
		e.Node != ""
}

// rest has a unit's lease stay over until what rests on it is agreed, as at a keeper.
func (l *lead) rest(unit string) error {
	if _, held := l.book.LeaseEnd(l.at(), unit); held && !l.c.f.flaw.noRest {
		if u, known := l.units[unit]; !known || !u.LostCopies {
			return errors.New("its owner's lease is not over: it may still act")
		}
	}
	l.pending[unit]++
	return nil
}

func (l *lead) settle(unit string) {
	if l.pending[unit]--; l.pending[unit] > 0 {
		return
	}
	delete(l.pending, unit)
	waits := l.waits[unit]
	delete(l.waits, unit)
	for _, do := range waits {
		do()
	}
}

// propose has the planner's steps agreed, one entry after the other.
func (l *lead) propose() {
	if l.c.lead != l || len(l.queue) == 0 {
		l.sending = false
		return
	}
	some := slices.Clone(l.queue[:min(mostSteps, len(l.queue))])
	if l.queue = l.queue[len(some):]; len(l.queue) == 0 {
		l.queue = nil
	}
	o := &order{lead: l}
	for _, q := range some {
		if q.why == nil {
			o.steps = append(o.steps, q.entry)
		}
	}
	o.done = func(all []result, err error) {
		if err != nil || l.c.lead != l {
			return // what became of it is not known, and this lead is over
		}
		now := l.at()
		for _, q := range some {
			err := q.why
			if err == nil {
				err, all = all[0].err, all[1:]
				if lapse(q.entry) {
					l.settle(q.entry.Node)
				}
			}
			if err != nil {
				l.planner.OnProposalRefused(now, q.entry, err)
			}
		}
		l.ring()
		l.propose()
	}
	if len(o.steps) == 0 {
		l.c.f.in(0, func() { o.done(nil, nil) })
		return
	}
	l.c.agree(o)
}

// agree puts an entry into the leader's log.
func (c *cluster) agree(o *order) {
	c.inflight = append(c.inflight, o)
	if len(c.inflight) == 1 {
		c.replicate()
	} else {
		c.arrange(o)
	}
}

// arrange says when an entry will be on a majority's disks, if that can be said.
func (c *cluster) arrange(o *order) bool {
	span, ok := c.reach(o.lead.who, true)
	if ok {
		c.last = max(c.last, c.f.now+span)
		o.at = c.last
	}
	return ok
}

// replicate carries out the first entry under way when a majority has it, and then the next.
func (c *cluster) replicate() {
	if len(c.inflight) == 0 || c.lead == nil {
		return
	}
	o, l := c.inflight[0], c.lead
	if (o.at == 0 || o.at < c.f.now) && !c.arrange(o) {
		c.f.in(c.spans.CommitInterval, func() {
			if c.lead == l && len(c.inflight) > 0 && c.inflight[0] == o {
				c.replicate()
			}
		})
		return
	}
	c.f.in(o.at-c.f.now, func() {
		if c.lead != l || len(c.inflight) == 0 || c.inflight[0] != o {
			return
		}
		if _, ok := c.reach(l.who, true); !ok {
			o.at = 0
			c.replicate()
			return
		}
		c.inflight = c.inflight[1:]
		if len(c.inflight) == 0 {
			c.inflight = nil
		}
		all, err := c.apply(o, true)
		o.done(all, err)
		c.replicate()
	})
}

// apply carries an agreed entry out, at every keeper; led: its lead still is, and hears of it.
func (c *cluster) apply(o *order, led bool) (all []result, err error) {
	f := c.f
	c.Orders++
	if o.unit != "" {
		if o.run < c.runs[o.unit] {
			return nil, leases.ErrStaleIncarnation
		}
		c.runs[o.unit] = o.run
	}
	c.Steps += len(o.steps)
	leases.MergeRecordCounts(c.kept, o.marks)
	for _, d := range o.notes {
		c.table.SetUnverified(d.Instance, d.Epoch, d.Reason)
	}
	for _, e := range o.steps {
		before, _ := c.table.Get(e.Instance)
		if placement.CheckSupported(e) != nil {
			c.unknown(o, e)
			all = append(all, result{place: before})
			continue
		}
		p, err := c.table.Apply(e)
		all = append(all, result{p, err})
		if err == nil && (p.Revision != before.Revision || p.Epoch != before.Epoch) {
			f.placed(o.lead.who, e, before, p)
		}
	}
	if l := o.lead; led && c.lead == l {
		now := l.at()
		for _, r := range all {
			if r.err == nil {
				l.expects(now, r.place)
				l.planner.OnAssignment(now, r.place)
			}
		}
		l.ring()
	}
	return all, nil
}

// placed tells everyone whom an agreed change concerns.
func (f *Fleet) placed(k *keeper, e placement.Operation, before, p placement.Assignment) {
	c := f.byCam[p.Instance]
	what := string(e.Kind)
	switch {
	case e.Kind == placement.OpStartCopy && e.CutOver:
		what = "move"
	case e.Kind == placement.OpFailOver && e.Target == "":
		what = "fail-lost"
	}
	f.reached(p.Instance, decision(what), p)
	ev := testcluster.Event{Node: k.node.name, Name: what, Instance: p.Instance, Epoch: p.Epoch, From: e.Node, To: e.Target,
		Why: short(e.Reason)}
	if e.Kind == placement.OpMoveDevice {
		ev.To = e.Zone
	}
	f.say(ev)
	f.check.agreed(e, before, p)
	f.check.placed(before, p)
	if before.Primary != p.Primary || before.Epoch != p.Epoch {
		if n := len(c.owners); n >= 6 {
			copy(c.owners, c.owners[1:])
			c.owners = c.owners[:n-1]
		}
		c.owners = append(c.owners, owned{f.now, p.Primary})
	}
	c.concern(f.byUnit[p.Primary])
	c.concern(f.byUnit[p.CopyTarget])
	for _, h := range p.Replicas {
		c.concern(f.byUnit[h])
	}
	for _, u := range c.knows {
		u.newsOf(p.Instance)
	}
	for _, u := range f.units[f.Units:] { // copies beside
		u.newsOf(p.Instance)
	}
}

// call brings something from a node to the leader, and what it answers back; fail is told where either gets lost.
func (c *cluster) call(from *node, wait tick.Tick, ask func(l *lead, answer func(func())), fail func(error)) {
	f, over := c.f, false
	f.in(wait, func() {
		if !over {
			over = true
			fail(errTime)
		}
	})
	l := c.lead
	if l == nil {
		return
	}
	f.ship(from, l.who.node, 300, func() {
		if c.lead != l {
			return
		}
		ask(l, func(do func()) {
			f.ship(l.who.node, from, 300, func() {
				if !over {
					over = true
					do()
				}
			})
		})
	})
}

// lease is a unit's call for its lease: the order of things is that of a keeper.
func (c *cluster) lease(u *unit, run uint64, ask, said migration.NodeStatus, kept mark, doubts []replica.UnverifiedCopy,
	granted func(version, known uint64)) {

	f := c.f
	c.call(u.node, c.spans.ProposalTimeout, func(l *lead, answer func(func())) {
		came := l.at()
		verdict, err := l.book.Request(came, u.name, run)
		if err != nil {
			f.say(testcluster.Event{Node: l.who.node.name, Name: "refuses", To: u.shown, Why: short(err.Error())})
			return
		}
		confirm := func() {
			span, ok := c.reach(l.who, false)
			if !ok {
				return
			}
			var grant func()
			grant = func() {
				if c.lead != l {
					return
				}
				if l.pending[u.name] > 0 && !f.flaw.noRest {
					l.waits[u.name] = append(l.waits[u.name], grant)
					return
				}
				until, err := l.book.Grant(l.at(), came, u.name, run)
				if err != nil {
					return
				}
				ask.LeaseEnd = until
				if f.Believes {
					r := l.claims.Verify(l.at(), u.name, u.zone.name, u.report)
					r.ApplyTo(&ask)
				}
				l.units[u.name], l.told[u.name] = ask, said
				l.planner.OnNodeStatus(l.at(), ask)
				l.ring()
				version, known := c.table.Version(), l.marks.Report(u.name, kept.n)
				h := heard{kept.serial, c.Leads}
				if was := c.heard[u.name]; was.lead == c.Leads {
					h.serial = max(h.serial, was.serial)
				}
				c.heard[u.name] = h
				answer(func() { granted(version, known) })
			}
			f.in(span, func() {
				if len(doubts) == 0 || c.lead != l {
					grant()
					return
				}
				c.agree(&order{lead: l, notes: doubts, done: func(_ []result, err error) {
					if err == nil {
						grant()
					}
				}})
			})
		}
		if verdict == leases.ProposeIncarnation {
			c.agree(&order{lead: l, unit: u.name, run: run, done: func(_ []result, err error) {
				switch {
				case err == nil:
					l.book.OnIncarnationAgreed(u.name, run)
					confirm()
				case errors.Is(err, leases.ErrStaleIncarnation):
					l.book.OnIncarnationDropped(u.name)
				}
			}})
			return
		}
		confirm()
	}, func(error) {})
}

// step is an owner's entry, or an operator's.
func (c *cluster) step(from *node, e placement.Operation, told func(p placement.Assignment, err error)) {
	c.call(from, tick.Tick(c.f.Lease*float64(tick.Second)), func(l *lead, answer func(func())) {
		if err := l.reads(e); err != nil {
			p, _ := c.table.Get(e.Instance)
			answer(func() { told(p, err) })
			return
		}
		c.agree(&order{lead: l, steps: []placement.Operation{e}, later: l.who.later > 0, done: func(all []result, err error) {
			if err != nil {
				return
			}
			answer(func() { told(all[0].place, all[0].err) })
		}})
	}, func(err error) { told(placement.Assignment{}, err) })
}

// device says where a camera is, again and again until it is agreed.
func (c *cluster) device(cam *camera, z *zone) {
	f := c.f
	p, ok := c.table.Get(cam.name)
	if !ok || cam.zone != z {
		return
	}
	again := func() { f.in(tick.Second, func() { c.device(cam, z) }) }
	l := c.lead
	if l == nil {
		again()
		return
	}
	c.agree(&order{lead: l, steps: []placement.Operation{{Version: placement.FormatVersion, Kind: placement.OpMoveDevice, Instance: p.Instance,
		Epoch: p.Epoch, Zone: z.name}},
		done: func(all []result, err error) {
			if err != nil {
				again()
				return
			}
			if c.lead == l {
				l.planner.OnDeviceMoved(l.at(), cam.name, z.name)
				l.ring()
			}
		}})
}
