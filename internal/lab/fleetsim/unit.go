package fleetsim

import (
	"errors"
	"maps"
	"slices"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/standin/battery"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// unit is one edge unit: its process, where one runs, its disk, its clock and its van.
type unit struct {
	f      *Fleet
	id     int
	name   string
	shown  string // in the timeline: copies beside another one are told apart
	node   *node
	zone   *zone
	rate   float64
	offset tick.Tick

	o       *replica.Manager // nil: it is down
	run     uint64
	fresh   bool
	down    int // falls under way
	frozen  int // stalls under way
	full    int // spans of a full disk
	bad     int // its build is on its way back
	drains  int // it ends
	later   int // it runs a later program
	sick    int // it refuses connections for commands
	waiting []func()
	disk    map[string]*replica.Log
	old     map[string]*replica.Log // a disk of some time ago
	mark    mark                    // of disk
	oldMark mark
	wrote   *uint64 // records that all processes of the name ever wrote
	began   mark    // mark at the start of the run
	judged  bool    // whether its disk was put back is known to it
	settled bool
	most    uint64
	todo    []func() func()
	version uint64          // news seen
	dirty   map[string]bool // news that it has not seen
	order   []string        // of them
	asking  bool
	turn    int
	until   tick.Tick // the last lease, by its own clock
	owns    int       // instances, as agreed
	gained  tick.Tick // its lease runs since
	acting  map[string]bool
	twin    *unit // a copy that runs beside it

	strong *devicehealth.Monitor
	report devicehealth.Report
	van    *battery.Van
	read   tick.Tick // when the van was last stepped
	hard   float64   // more load, of a crowd
	asks   map[*replica.Request]*asked
}

// mark is a disk's count of records as instances.Store keeps it; serial is the truth, which no process knows: the last
// record written under the unit's name up to which this disk has all, or has settled what it lacks.
type mark struct {
	n, serial uint64
	on        bool
}

// perRun is that of instances.Store.
const perRun = 1 << 20

// bareUnit is a unit that is in no list yet.
func (f *Fleet) bareUnit(name string, z *zone) *unit {
	u := &unit{f: f, id: len(f.units), name: name, shown: name, node: f.byName[name], zone: z,
		rate: 1 + (f.rng.Float64()-0.5)*0.02, offset: tick.Tick(1 + f.rng.IntN(int(1000*tick.Second))),
		disk: map[string]*replica.Log{}, dirty: map[string]bool{}, asks: map[*replica.Request]*asked{},
		acting: map[string]bool{}, mark: mark{n: 1, on: true}, wrote: new(uint64)}
	u.van, _ = battery.New(f.seed+uint64(u.id), "")
	u.van.Charge = 0.6 + 0.4*f.rng.Float64()
	u.van.Mains = f.rng.IntN(4) == 0
	return u
}

func (f *Fleet) addUnit(name string, z *zone) {
	f.addNode(name, z)
	u := f.bareUnit(name, z)
	f.units, f.byUnit[name] = append(f.units, u), u
	z.units = append(z.units, u)
}

// at is the unit's own clock, of which none is set back by the wall clock's jumps.
func (u *unit) at() tick.Tick { return u.offset + tick.Tick(float64(u.f.now)*u.rate) }

// process is the one that answers at the unit's address: a copy beside it where it is down.
func (u *unit) process() *unit {
	if u.o == nil && u.twin != nil {
		return u.twin
	}
	return u
}

// span is a span of the unit's clock.
func (u *unit) span(s tick.Tick) tick.Tick { return tick.Tick(float64(s)/u.rate) + 1 }

// does has a run of the unit do something now, or when it is woken.
func (u *unit) does(run uint64, do func()) {
	switch {
	case u.run != run || u.o == nil:
	case u.frozen > 0:
		if len(u.waiting) < 1<<14 {
			u.waiting = append(u.waiting, do)
		}
	default:
		do()
	}
}

func (u *unit) say(what, instance string, epoch uint64, to, why string) {
	u.f.say(testcluster.Event{Node: u.shown, Name: what, Instance: instance, Epoch: epoch, To: to, Why: short(why)})
}

// start is a process's beginning: it learns what the keepers count on it for before they know of its run.
func (u *unit) start() {
	if u.o != nil || u.down > 0 {
		return
	}
	f := u.f
	u.run = max(u.run, uint64(f.now)) + 1
	run := u.run
	u.strong = devicehealth.NewMonitor(u.at(), f.set)
	u.read = f.now
	u.begin(run)
}

// begin asks the keepers for all places until they answer.
func (u *unit) begin(run uint64) {
	f, c := u.f, u.f.keep
	if u.run != run || u.o != nil || u.down > 0 {
		return
	}
	lease := tick.Tick(f.Lease * float64(tick.Second))
	c.call(u.node, lease, func(l *lead, answer func(func())) {
		var places []placement.Assignment // those that concern it; of the others it keeps nothing
		places = append(places, c.table.ByPrimary(u.name)...)
		places = append(places, c.table.ByReplica(u.name)...)
		for _, name := range slices.Sorted(maps.Keys(u.disk)) {
			if p, ok := c.table.Get(name); ok && !slices.Contains(p.Replicas, u.name) && p.Primary != u.name {
				places = append(places, p)
			}
		}
		version := c.table.Version()
		u.dirty, u.order = map[string]bool{}, nil // what changes from now on is told after the start
		answer(func() {
			if u.run != run || u.o != nil || u.down > 0 {
				return
			}
			var records []replica.Log
			for _, name := range slices.Sorted(maps.Keys(u.disk)) {
				records = append(records, *u.disk[name])
				records[len(records)-1].Entries = slices.Clone(u.disk[name].Entries)
			}
			u.version, u.asking, u.until = version, false, 0
			u.turn++
			u.began, u.judged, u.settled, u.most = u.mark, false, false, 0
			u.mark.on = false
			base := f.flaw.counted(places)
			u.o = replica.NewManager(u, u.at(), replica.ConfigFrom(u.name, run, f.set),
				replica.Start{Logs: records, Assignments: base, Version: version})
			for _, p := range places[len(base):] {
				u.o.OnAssignment(u.at(), p)
			}
			u.fresh = u.o.LostAllCopies()
			u.say("starts", "", 0, "", "")
			u.renew(run)
			u.alarm(run)
			if len(u.order) > 0 {
				u.watch()
			}
		})
	}, func(error) {
		if u.run == run && u.o == nil {
			f.in(lease/4, func() { u.begin(run) })
		}
	})
}

// counted is what a unit is told at its start of what is counted on it for.
func (w flaws) counted(places []placement.Assignment) []placement.Assignment {
	if w.noBaseline {
		return nil
	}
	if w.noProof {
		places = slices.Clone(places)
		for i := range places {
			places[i].Replicas, places[i].Index = nil, 0
		}
	}
	return places
}

func (u *unit) alarm(run uint64) {
	now := u.at()
	next := u.o.OnTick(now)
	u.f.in(u.span(next-now), func() { u.does(run, func() { u.alarm(run) }) })
}

// renew asks for the lease, each third of it, with a report of its strength.
func (u *unit) renew(run uint64) {
	f := u.f
	lease := tick.Tick(f.Lease * float64(tick.Second))
	if u.report.State == "" || f.now-u.read >= f.Reads {
		u.strength()
	}
	sent := u.at()
	ask := migration.NodeStatus{Name: u.name, Zone: u.zone.name, Incarnation: run, RollingBack: u.bad > 0,
		Draining: u.drains > 0, LostCopies: u.fresh}
	u.report.ApplyTo(&ask)
	said := ask
	if f.flaw.deafPlanner {
		ask = migration.NodeStatus{Name: u.name, Zone: u.zone.name, Incarnation: run, Accepting: true, FreeSlots: 100}
	}
	kept, doubts := u.began, u.o.UnverifiedCopies(controllerclient.MaxUnverified)
	if u.mark.on {
		kept = u.mark
	}
	f.keep.lease(u, run, ask, said, kept, doubts, func(version, known uint64) {
		u.does(run, func() {
			u.judge(run, known, doubts)
			now, until := u.at(), sent+lease
			if f.flaw.longLease {
				until += 4 * lease
			}
			gap := now >= u.until
			if gap {
				u.gained = f.now
			}
			u.until = max(u.until, until)
			if f.flaw.stalePlaces {
				version = 0
			}
			u.o.OnLease(now, until, version)
			if gap && u.version < version {
				u.watch()
			}
		})
	})
	f.in(u.span(lease/3), func() { u.does(run, func() { u.renew(run) }) })
}

// judge takes in what a lease says of the disk, as a unit's process does.
func (u *unit) judge(run, known uint64, told []replica.UnverifiedCopy) {
	if !u.judged {
		u.judged = true
		wasBack := u.began.n < known && !u.f.flaw.noMarks
		u.f.check.judged(u, wasBack)
		u.o.OnDiskChecked(u.at(), wasBack)
	}
	u.o.OnUnverifiedReported(u.at(), told)
	if u.most = max(u.most, known); u.settled || !u.o.Verified() {
		return
	}
	u.settled = true
	u.todo = append(u.todo, func() func() {
		if u.full > 0 {
			return func() { u.settled = false }
		}
		*u.wrote++
		u.mark = mark{n: max(u.mark.n, u.most) + perRun, serial: *u.wrote, on: true}
		return func() {}
	})
	if len(u.todo) == 1 {
		u.write(run)
	}
}

// strength reads the van and works the report out.
func (u *unit) strength() {
	f := u.f
	if u.strong == nil {
		return
	}
	room := max(8, 2*f.Instances/f.Units)
	load := min(1, u.hard+0.6*float64(u.owns)/float64(room))
	u.van.Load, u.van.Sun = load, u.zone.sun
	for left := (f.now - u.read).Duration(); left > 0; {
		step := min(left, 2*1e9)
		u.van.Step(step)
		left -= step
	}
	u.read = f.now
	drawn, gained := u.van.Watts()
	now := u.at()
	mains := 0.0
	if u.van.Mains {
		mains = 1
		drawn = 0
	}
	for _, r := range [...]devicehealth.Reading{
		{Name: "BAT0", Kind: devicehealth.KindCharge, Value: u.van.Charge},
		{Name: "BAT0", Kind: devicehealth.KindFullCharge, Value: battery.FullJoules},
		{Name: "BAT0", Kind: devicehealth.KindDraw, Value: drawn - gained},
		{Name: "AC", Kind: devicehealth.KindMains, Value: mains},
		{Name: "thermal_zone0", Kind: devicehealth.KindTemperature, Value: u.van.Temp, Limit: battery.Critical},
	} {
		r.OK = true
		u.strong.AddReading(now, r)
	}
	u.strong.SetInstances(now, u.owns, u.owns<<14)
	u.strong.SetLoad(now, load, load)
	was := u.report.State
	u.report = u.strong.Assess(now)
	if u.report.State != was {
		why := ""
		if len(u.report.Reasons) > 0 {
			why = u.report.Reasons[0]
		}
		if was != "" {
			u.f.say(testcluster.Event{Node: u.shown, Name: "strength", State: string(u.report.State), Why: short(why)})
		}
	}
}

// newsOf notes that a place has changed that the unit is to be told.
func (u *unit) newsOf(name string) {
	if !u.dirty[name] {
		u.dirty[name] = true
		u.order = append(u.order, name)
	}
	u.watch()
}

// watch brings the news: what is asked for while nothing is new waits at the keepers.
func (u *unit) watch() {
	if u.asking || u.o == nil {
		return
	}
	u.asking = true
	u.turn++
	f, c, run, mine := u.f, u.f.keep, u.run, u.turn
	names, l, came := u.order, c.lead, false
	if l != nil && !f.cut(u.node, l.who.node) {
		u.order, u.dirty = nil, map[string]bool{}
		version := c.table.Version()
		var places []placement.Assignment
		for _, name := range names {
			if p, ok := c.table.Get(name); ok {
				places = append(places, p)
			}
		}
		f.ship(l.who.node, u.node, 200*(1+len(names)), func() {
			if u.run != run || u.turn != mine {
				return
			}
			came, u.asking = true, false
			u.does(run, func() {
				now := u.at()
				for _, p := range places {
					u.o.OnAssignment(now, p)
				}
				u.version = version
				u.o.OnPlacementVersion(now, version)
			})
			if len(u.order) > 0 {
				u.watch()
			}
		})
	} else {
		names = nil
	}
	f.in(tick.Tick(f.Lease*float64(tick.Second)/4), func() {
		if came || u.run != run || u.turn != mine {
			return
		}
		for _, name := range names {
			if !u.dirty[name] {
				u.dirty[name] = true
				u.order = append(u.order, name)
			}
		}
		u.asking = false
		u.watch()
	})
}

// falls ends the process; wipe: with its disk.
func (u *unit) falls(wipe bool) {
	if u.o != nil {
		u.say("FALLS", "", 0, "", map[bool]string{true: "and loses its disk"}[wipe])
	}
	u.f.check.fell(u)
	u.o, u.waiting, u.todo = nil, nil, nil
	u.run++
	if wipe {
		u.disk, u.mark = map[string]*replica.Log{}, mark{n: 1, on: true}
	}
	clear(u.asks)
}

func cloned(disk map[string]*replica.Log) map[string]*replica.Log {
	other := map[string]*replica.Log{}
	for name, rec := range disk {
		r := *rec
		r.Entries = slices.Clone(r.Entries)
		other[name] = &r
	}
	return other
}

// Send is the owner's, as are those after it.
func (u *unit) Send(to string, m replica.Message) {
	f, from := u.f, u
	v := f.byUnit[to]
	if m.ReplyTo != 0 { // an answer goes to the process that asked
		v, m.ReplyTo = f.units[m.ReplyTo-1], 0
	} else if m.Kind == replica.MessageCatchUp || m.Kind == replica.MessageAppend || m.Kind == replica.MessageFinalAppend {
		m.ReplyTo = uint64(u.id) + 1
	}
	if v == nil {
		return
	}
	if f.flaw.ackAlone && m.ReplyTo == uint64(u.id)+1 {
		end, sum, run := m.PrevIndex, m.PrevChecksum, u.run
		if n := len(m.Entries); n > 0 {
			end, sum = m.Entries[n-1].Index, m.Entries[n-1].Checksum
		}
		f.in(0, func() {
			u.does(run, func() {
				u.o.OnMessage(u.at(), to, replica.Message{Version: 1, Kind: replica.MessageAck, Instance: m.Instance,
					Epoch: m.Epoch, SenderIncarnation: 1 << 60, Index: end, Checksum: sum})
			})
		})
	}
	if u.later > 0 && v.later == 0 {
		m.Version++
	}
	size := 200 + 100*len(m.Entries)
	run := v.run
	bring := func() {
		v := v
		got := m
		got.Entries = slices.Clone(m.Entries)
		if m.Kind == replica.MessageCatchUp || m.Kind == replica.MessageAppend || m.Kind == replica.MessageFinalAppend {
			v = v.process()
			run = v.run
		}
		v.does(run, func() { v.o.OnMessage(v.at(), from.name, got) })
	}
	f.ship(u.node, v.node, size, bring)
	if u.node.loss > 0 && f.rng.IntN(8) == 0 { // and again
		f.ship(u.node, v.node, size, bring)
	}
}

func (u *unit) Propose(e placement.Operation) {
	run := u.run
	u.f.keep.step(u.node, e, func(p placement.Assignment, err error) {
		u.does(run, func() {
			if p.Instance != "" {
				u.o.OnAssignment(u.at(), p)
			}
			if err != nil {
				u.o.OnProposalRefused(u.at(), e, err)
			}
		})
	})
}

func (u *unit) Respond(c *replica.Request, a replica.Response) {
	s := u.asks[c]
	if s == nil {
		u.f.check.fail("a command at %s was answered twice: %+v", u.shown, a)
		return
	}
	delete(u.asks, c)
	s.end(a)
}

func (u *unit) Notify(e replica.Event) {
	f := u.f
	if i := slices.Index(decisions, e.Kind); i > 0 && e.Instance != "" {
		p, _ := f.keep.table.Get(e.Instance)
		f.reached(e.Instance, uint8(i), p)
	}
	if e.Kind != "refused" {
		u.say(e.Kind, e.Instance, e.Epoch, e.To, e.Reason)
	}
	switch e.Kind {
	case "acts":
		f.check.acts(u, e)
		if c := f.byCam[e.Instance]; c.poison && u.o != nil {
			run := u.run
			f.in(tick.Second/2, func() {
				if u.run == run && c.poison {
					u.down++
					u.falls(false)
					f.in(tick.Second, func() { u.down--; u.start() })
				}
			})
		}
	case "stops":
		f.check.stops(u, e)
	case "doubts":
		f.check.doubts(u, e.Instance)
	}
}

var errFull = errors.New("no space left")

// op asks the disk for something; it is done in order, a while later.
func (u *unit) op(name string, seq uint64, do func(rec *replica.Log) bool) {
	run := u.run
	u.todo = append(u.todo, func() func() {
		ok := u.full == 0 && do(u.disk[name])
		if ok {
			if *u.wrote++; u.mark.serial == *u.wrote-1 {
				u.mark.serial++ // else it still lacks what it lacked
			}
			if u.mark.on {
				u.mark.n++
			}
		}
		return func() {
			if ok {
				u.o.OnDurable(u.at(), name, seq)
				return
			}
			u.o.OnDiskError(u.at(), name, errFull)
		}
	})
	if len(u.todo) == 1 {
		u.write(run)
	}
}

// write does what was asked of the disk meanwhile, all with one sync.
func (u *unit) write(run uint64) {
	u.f.in(milli/2+tick.Tick(u.f.rng.IntN(int(2*milli))), func() {
		if u.run != run || u.o == nil {
			return
		}
		var tell []func()
		n := min(len(u.todo), 64)
		for _, do := range u.todo[:n] {
			tell = append(tell, do())
		}
		if u.todo = u.todo[n:]; len(u.todo) > 0 {
			u.write(run)
		} else {
			u.todo = nil
		}
		u.does(run, func() {
			for _, do := range tell {
				if u.o != nil && u.run == run {
					do()
				}
			}
		})
	})
}

func (u *unit) AppendEntry(name string, e replica.LogEntry) {
	u.op(name, e.Index, func(rec *replica.Log) bool {
		if rec == nil || !rec.Continues(e) {
			return false
		}
		rec.Append(e)
		return true
	})
}

func (u *unit) TruncateLog(name string, seq uint64) {
	u.op(name, seq, func(rec *replica.Log) bool {
		if rec == nil {
			return false
		}
		rec.Truncate(seq)
		return true
	})
}

func (u *unit) ResetLog(name string, base, sum uint64) {
	u.op(name, base, func(*replica.Log) bool {
		u.disk[name] = &replica.Log{Instance: name, BaseIndex: base, BaseChecksum: sum}
		return true
	})
}

func (u *unit) DeleteLog(name string) {
	u.op(name, 0, func(*replica.Log) bool { delete(u.disk, name); return true })
}
