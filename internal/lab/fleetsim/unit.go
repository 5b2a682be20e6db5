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

// edgeNode is one edge unit: its process, where one runs, its disk, its clock and its van.
type edgeNode struct {
	fleet       *Fleet
	id          int
	name        string
	displayName string // in the timeline: copies beside another one are told apart
	endpoint    *endpoint
	zone        *zone
	clockRate   float64
	clockOffset tick.Tick

	manager          *replica.Manager // nil: it is down
	incarnation      uint64
	lostDisk         bool
	downCount        int // falls under way
	stalls           int // stalls under way
	diskFull         int // spans of a full disk
	rollingBack      int // its build is on its way back
	draining         int // it ends
	laterVersion     int // it runs a later program
	refusing         int // it refuses connections for commands
	waiting          []func()
	logs             map[string]*replica.Log
	backupLogs       map[string]*replica.Log // a disk of some time ago
	mark             recordCount             // of disk
	backupMark       recordCount
	recordsWritten   *uint64     // records that all processes of the name ever wrote
	startMark        recordCount // mark at the start of the run
	diskChecked      bool        // whether its disk was put back is known to it
	countRaised      bool
	highestCount     uint64
	diskQueue        []func() func()
	placementVersion uint64          // news seen
	unseen           map[string]bool // news that it has not seen
	unseenOrder      []string        // of them
	watching         bool
	watchNumber      int
	leaseEnd         tick.Tick // the last lease, by its own clock
	instances        int       // instances, as agreed
	leaseSince       tick.Tick // its lease runs since
	serving          map[string]bool
	duplicate        *edgeNode // a copy that runs beside it

	monitor     *devicehealth.Monitor
	health      devicehealth.Report
	battery     *battery.Van
	lastReading tick.Tick // when the van was last stepped
	extraLoad   float64   // more load, of a crowd
	requests    map[*replica.Request]*pendingRequest
}

// recordCount is a disk's count of records as instances.Store keeps it; serial is the truth, which no process knows: the last
// record written under the unit's name up to which this disk has all, or has settled what it lacks.
type recordCount struct {
	count, serial uint64
	settled       bool
}

// countsPerIncarnation is that of instances.Store.
const countsPerIncarnation = 1 << 20

// newNode is a unit that is in no list yet.
func (f *Fleet) newNode(name string, z *zone) *edgeNode {
	u := &edgeNode{fleet: f, id: len(f.nodes), name: name, displayName: name, endpoint: f.endpointByName[name], zone: z,
		clockRate: 1 + (f.rng.Float64()-0.5)*0.02, clockOffset: tick.Tick(1 + f.rng.IntN(int(1000*tick.Second))),
		logs: map[string]*replica.Log{}, unseen: map[string]bool{}, requests: map[*replica.Request]*pendingRequest{},
		serving: map[string]bool{}, mark: recordCount{count: 1, settled: true}, recordsWritten: new(uint64)}
	u.battery, _ = battery.New(f.seed+uint64(u.id), "")
	u.battery.Charge = 0.6 + 0.4*f.rng.Float64()
	u.battery.Mains = f.rng.IntN(4) == 0
	return u
}

func (f *Fleet) addNode(name string, z *zone) {
	f.addEndpoint(name, z)
	u := f.newNode(name, z)
	f.nodes, f.nodeByName[name] = append(f.nodes, u), u
	z.nodes = append(z.nodes, u)
}

// now is the unit's own clock, of which none is set back by the wall clock's jumps.
func (u *edgeNode) now() tick.Tick {
	return u.clockOffset + tick.Tick(float64(u.fleet.now)*u.clockRate)
}

// answering is the one that answers at the unit's address: a copy beside it where it is down.
func (u *edgeNode) answering() *edgeNode {
	if u.manager == nil && u.duplicate != nil {
		return u.duplicate
	}
	return u
}

// realSpan is a span of the unit's clock.
func (u *edgeNode) realSpan(s tick.Tick) tick.Tick { return tick.Tick(float64(s)/u.clockRate) + 1 }

// deliver has a run of the unit do something now, or when it is woken.
func (u *edgeNode) deliver(run uint64, do func()) {
	switch {
	case u.incarnation != run || u.manager == nil:
	case u.stalls > 0:
		if len(u.waiting) < 1<<14 {
			u.waiting = append(u.waiting, do)
		}
	default:
		do()
	}
}

func (u *edgeNode) logEvent(what, instance string, epoch uint64, to, why string) {
	u.fleet.logEvent(testcluster.Event{Node: u.displayName, Name: what, Instance: instance, Epoch: epoch, To: to, Why: firstWords(why)})
}

// start is a process's beginning: it learns what the keepers count on it for before they know of its run.
func (u *edgeNode) start() {
	if u.manager != nil || u.downCount > 0 {
		return
	}
	f := u.fleet
	u.incarnation = max(u.incarnation, uint64(f.now)) + 1
	run := u.incarnation
	u.monitor = devicehealth.NewMonitor(u.now(), f.settings)
	u.lastReading = f.now
	u.fetchAssignments(run)
}

// fetchAssignments asks the keepers for all places until they answer.
func (u *edgeNode) fetchAssignments(run uint64) {
	f, c := u.fleet, u.fleet.cluster
	if u.incarnation != run || u.manager != nil || u.downCount > 0 {
		return
	}
	lease := tick.Tick(f.Lease * float64(tick.Second))
	c.call(u.endpoint, lease, func(l *leadership, answer func(func())) {
		var places []placement.Assignment // those that concern it; of the others it keeps nothing
		places = append(places, c.table.ByPrimary(u.name)...)
		places = append(places, c.table.ByReplica(u.name)...)
		for _, name := range slices.Sorted(maps.Keys(u.logs)) {
			if p, ok := c.table.Get(name); ok && !slices.Contains(p.Replicas, u.name) && p.Primary != u.name {
				places = append(places, p)
			}
		}
		version := c.table.Version()
		u.unseen, u.unseenOrder = map[string]bool{}, nil // what changes from now on is told after the start
		answer(func() {
			if u.incarnation != run || u.manager != nil || u.downCount > 0 {
				return
			}
			var records []replica.Log
			for _, name := range slices.Sorted(maps.Keys(u.logs)) {
				records = append(records, *u.logs[name])
				records[len(records)-1].Entries = slices.Clone(u.logs[name].Entries)
			}
			u.placementVersion, u.watching, u.leaseEnd = version, false, 0
			u.watchNumber++
			u.startMark, u.diskChecked, u.countRaised, u.highestCount = u.mark, false, false, 0
			u.mark.settled = false
			base := f.disabled.counted(places)
			u.manager = replica.NewManager(u, u.now(), replica.ConfigFrom(u.name, run, f.settings),
				replica.Start{Logs: records, Assignments: base, Version: version})
			for _, p := range places[len(base):] {
				u.manager.OnAssignment(u.now(), p)
			}
			u.lostDisk = u.manager.LostAllCopies()
			u.logEvent("starts", "", 0, "", "")
			u.renewLease(run)
			u.scheduleTick(run)
			if len(u.unseenOrder) > 0 {
				u.watchPlacements()
			}
		})
	}, func(error) {
		if u.incarnation == run && u.manager == nil {
			f.after(lease/4, func() { u.fetchAssignments(run) })
		}
	})
}

// counted is what a unit is told at its start of what is counted on it for.
func (w disabledDefences) counted(places []placement.Assignment) []placement.Assignment {
	if w.noBaseline {
		return nil
	}
	if w.trustDisk {
		places = slices.Clone(places)
		for i := range places {
			places[i].Replicas, places[i].Index = nil, 0
		}
	}
	return places
}

func (u *edgeNode) scheduleTick(run uint64) {
	now := u.now()
	next := u.manager.OnTick(now)
	u.fleet.after(u.realSpan(next-now), func() { u.deliver(run, func() { u.scheduleTick(run) }) })
}

// renewLease asks for the lease, each third of it, with a report of its strength.
func (u *edgeNode) renewLease(run uint64) {
	f := u.fleet
	lease := tick.Tick(f.Lease * float64(tick.Second))
	if u.health.State == "" || f.now-u.lastReading >= f.PowerReadInterval {
		u.updateHealth()
	}
	sent := u.now()
	ask := migration.NodeStatus{Name: u.name, Zone: u.zone.name, Incarnation: run, RollingBack: u.rollingBack > 0,
		Draining: u.draining > 0, LostCopies: u.lostDisk}
	u.health.ApplyTo(&ask)
	said := ask
	if f.disabled.blindPlanner {
		ask = migration.NodeStatus{Name: u.name, Zone: u.zone.name, Incarnation: run, Accepting: true, FreeSlots: 100}
	}
	kept, doubts := u.startMark, u.manager.UnverifiedCopies(controllerclient.MaxUnverified)
	if u.mark.settled {
		kept = u.mark
	}
	f.cluster.requestLease(u, run, ask, said, kept, doubts, func(version, known uint64) {
		u.deliver(run, func() {
			u.onLeaseGranted(run, known, doubts)
			now, until := u.now(), sent+lease
			if f.disabled.longLease {
				until += 4 * lease
			}
			gap := now >= u.leaseEnd
			if gap {
				u.leaseSince = f.now
			}
			u.leaseEnd = max(u.leaseEnd, until)
			if f.disabled.staleAssignments {
				version = 0
			}
			u.manager.OnLease(now, until, version)
			if gap && u.placementVersion < version {
				u.watchPlacements()
			}
		})
	})
	f.after(u.realSpan(lease/3), func() { u.deliver(run, func() { u.renewLease(run) }) })
}

// onLeaseGranted takes in what a lease says of the disk, as a unit's process does.
func (u *edgeNode) onLeaseGranted(run, known uint64, told []replica.UnverifiedCopy) {
	if !u.diskChecked {
		u.diskChecked = true
		wasBack := u.startMark.count < known && !u.fleet.disabled.ignoreRecordCounts
		u.fleet.checker.onDiskChecked(u, wasBack)
		u.manager.OnDiskChecked(u.now(), wasBack)
	}
	u.manager.OnUnverifiedReported(u.now(), told)
	if u.highestCount = max(u.highestCount, known); u.countRaised || !u.manager.Verified() {
		return
	}
	u.countRaised = true
	u.diskQueue = append(u.diskQueue, func() func() {
		if u.diskFull > 0 {
			return func() { u.countRaised = false }
		}
		*u.recordsWritten++
		u.mark = recordCount{count: max(u.mark.count, u.highestCount) + countsPerIncarnation, serial: *u.recordsWritten, settled: true}
		return func() {}
	})
	if len(u.diskQueue) == 1 {
		u.flushDisk(run)
	}
}

// updateHealth reads the van and works the report out.
func (u *edgeNode) updateHealth() {
	f := u.fleet
	if u.monitor == nil {
		return
	}
	room := max(8, 2*f.Instances/f.Nodes)
	load := min(1, u.extraLoad+0.6*float64(u.instances)/float64(room))
	u.battery.Load, u.battery.Sun = load, u.zone.sunshine
	for left := (f.now - u.lastReading).Duration(); left > 0; {
		step := min(left, 2*1e9)
		u.battery.Step(step)
		left -= step
	}
	u.lastReading = f.now
	drawn, gained := u.battery.Watts()
	now := u.now()
	mains := 0.0
	if u.battery.Mains {
		mains = 1
		drawn = 0
	}
	for _, r := range [...]devicehealth.Reading{
		{Name: "BAT0", Kind: devicehealth.KindCharge, Value: u.battery.Charge},
		{Name: "BAT0", Kind: devicehealth.KindFullCharge, Value: battery.FullJoules},
		{Name: "BAT0", Kind: devicehealth.KindDraw, Value: drawn - gained},
		{Name: "AC", Kind: devicehealth.KindMains, Value: mains},
		{Name: "thermal_zone0", Kind: devicehealth.KindTemperature, Value: u.battery.Temp, Limit: battery.Critical},
	} {
		r.OK = true
		u.monitor.AddReading(now, r)
	}
	u.monitor.SetInstances(now, u.instances, u.instances<<14)
	u.monitor.SetLoad(now, load, load)
	was := u.health.State
	u.health = u.monitor.Assess(now)
	if u.health.State != was {
		why := ""
		if len(u.health.Reasons) > 0 {
			why = u.health.Reasons[0]
		}
		if was != "" {
			u.fleet.logEvent(testcluster.Event{Node: u.displayName, Name: "strength", State: string(u.health.State), Why: firstWords(why)})
		}
	}
}

// placementChanged notes that a place has changed that the unit is to be told.
func (u *edgeNode) placementChanged(name string) {
	if !u.unseen[name] {
		u.unseen[name] = true
		u.unseenOrder = append(u.unseenOrder, name)
	}
	u.watchPlacements()
}

// watchPlacements brings the news: what is asked for while nothing is new waits at the keepers.
func (u *edgeNode) watchPlacements() {
	if u.watching || u.manager == nil {
		return
	}
	u.watching = true
	u.watchNumber++
	f, c, run, mine := u.fleet, u.fleet.cluster, u.incarnation, u.watchNumber
	names, l, came := u.unseenOrder, c.leader, false
	if l != nil && !f.isCut(u.endpoint, l.controller.endpoint) {
		u.unseenOrder, u.unseen = nil, map[string]bool{}
		version := c.table.Version()
		var places []placement.Assignment
		for _, name := range names {
			if p, ok := c.table.Get(name); ok {
				places = append(places, p)
			}
		}
		f.send(l.controller.endpoint, u.endpoint, 200*(1+len(names)), func() {
			if u.incarnation != run || u.watchNumber != mine {
				return
			}
			came, u.watching = true, false
			u.deliver(run, func() {
				now := u.now()
				for _, p := range places {
					u.manager.OnAssignment(now, p)
				}
				u.placementVersion = version
				u.manager.OnPlacementVersion(now, version)
			})
			if len(u.unseenOrder) > 0 {
				u.watchPlacements()
			}
		})
	} else {
		names = nil
	}
	f.after(tick.Tick(f.Lease*float64(tick.Second)/4), func() {
		if came || u.incarnation != run || u.watchNumber != mine {
			return
		}
		for _, name := range names {
			if !u.unseen[name] {
				u.unseen[name] = true
				u.unseenOrder = append(u.unseenOrder, name)
			}
		}
		u.watching = false
		u.watchPlacements()
	})
}

// crash ends the process; wipe: with its disk.
func (u *edgeNode) crash(wipe bool) {
	if u.manager != nil {
		u.logEvent("FALLS", "", 0, "", map[bool]string{true: "and loses its disk"}[wipe])
	}
	u.fleet.checker.onCrash(u)
	u.manager, u.waiting, u.diskQueue = nil, nil, nil
	u.incarnation++
	if wipe {
		u.logs, u.mark = map[string]*replica.Log{}, recordCount{count: 1, settled: true}
	}
	clear(u.requests)
}

func cloneLogs(disk map[string]*replica.Log) map[string]*replica.Log {
	other := map[string]*replica.Log{}
	for name, rec := range disk {
		r := *rec
		r.Entries = slices.Clone(r.Entries)
		other[name] = &r
	}
	return other
}

// Send is the owner's, as are those after it.
func (u *edgeNode) Send(to string, m replica.Message) {
	f, from := u.fleet, u
	v := f.nodeByName[to]
	if m.ReplyTo != 0 { // an answer goes to the process that asked
		v, m.ReplyTo = f.nodes[m.ReplyTo-1], 0
	} else if m.Kind == replica.MessageCatchUp || m.Kind == replica.MessageAppend || m.Kind == replica.MessageFinalAppend {
		m.ReplyTo = uint64(u.id) + 1
	}
	if v == nil {
		return
	}
	if f.disabled.ackWithoutReplicas && m.ReplyTo == uint64(u.id)+1 {
		end, sum, run := m.PrevIndex, m.PrevChecksum, u.incarnation
		if n := len(m.Entries); n > 0 {
			end, sum = m.Entries[n-1].Index, m.Entries[n-1].Checksum
		}
		f.after(0, func() {
			u.deliver(run, func() {
				u.manager.OnMessage(u.now(), to, replica.Message{Version: 1, Kind: replica.MessageAck, Instance: m.Instance,
					Epoch: m.Epoch, SenderIncarnation: 1 << 60, Index: end, Checksum: sum})
			})
		})
	}
	if u.laterVersion > 0 && v.laterVersion == 0 {
		m.Version++
	}
	size := 200 + 100*len(m.Entries)
	run := v.incarnation
	bring := func() {
		v := v
		got := m
		got.Entries = slices.Clone(m.Entries)
		if m.Kind == replica.MessageCatchUp || m.Kind == replica.MessageAppend || m.Kind == replica.MessageFinalAppend {
			v = v.answering()
			run = v.incarnation
		}
		v.deliver(run, func() { v.manager.OnMessage(v.now(), from.name, got) })
	}
	f.send(u.endpoint, v.endpoint, size, bring)
	if u.endpoint.lossRate > 0 && f.rng.IntN(8) == 0 { // and again
		f.send(u.endpoint, v.endpoint, size, bring)
	}
}

func (u *edgeNode) Propose(e placement.Operation) {
	run := u.incarnation
	u.fleet.cluster.proposeStep(u.endpoint, e, func(p placement.Assignment, err error) {
		u.deliver(run, func() {
			if p.Instance != "" {
				u.manager.OnAssignment(u.now(), p)
			}
			if err != nil {
				u.manager.OnProposalRefused(u.now(), e, err)
			}
		})
	})
}

func (u *edgeNode) Respond(c *replica.Request, a replica.Response) {
	s := u.requests[c]
	if s == nil {
		u.fleet.checker.fail("a command at %s was answered twice: %+v", u.displayName, a)
		return
	}
	delete(u.requests, c)
	s.respond(a)
}

func (u *edgeNode) Notify(e replica.Event) {
	f := u.fleet
	if i := slices.Index(decisions, e.Kind); i > 0 && e.Instance != "" {
		p, _ := f.cluster.table.Get(e.Instance)
		f.recordDecision(e.Instance, uint8(i), p)
	}
	if e.Kind != "refused" {
		u.logEvent(e.Kind, e.Instance, e.Epoch, e.To, e.Reason)
	}
	switch e.Kind {
	case "acts":
		f.checker.onServing(u, e)
		if c := f.deviceByName[e.Instance]; c.poisoned && u.manager != nil {
			run := u.incarnation
			f.after(tick.Second/2, func() {
				if u.incarnation == run && c.poisoned {
					u.downCount++
					u.crash(false)
					f.after(tick.Second, func() { u.downCount--; u.start() })
				}
			})
		}
	case "stops":
		f.checker.onStopped(u, e)
	case "doubts":
		f.checker.onUnverified(u, e.Instance)
	}
}

var errFull = errors.New("no space left")

// queueWrite asks the disk for something; it is done in order, a while later.
func (u *edgeNode) queueWrite(name string, seq uint64, do func(rec *replica.Log) bool) {
	run := u.incarnation
	u.diskQueue = append(u.diskQueue, func() func() {
		ok := u.diskFull == 0 && do(u.logs[name])
		if ok {
			if *u.recordsWritten++; u.mark.serial == *u.recordsWritten-1 {
				u.mark.serial++ // else it still lacks what it lacked
			}
			if u.mark.settled {
				u.mark.count++
			}
		}
		return func() {
			if ok {
				u.manager.OnDurable(u.now(), name, seq)
				return
			}
			u.manager.OnDiskError(u.now(), name, errFull)
		}
	})
	if len(u.diskQueue) == 1 {
		u.flushDisk(run)
	}
}

// flushDisk does what was asked of the disk meanwhile, all with one sync.
func (u *edgeNode) flushDisk(run uint64) {
	u.fleet.after(milli/2+tick.Tick(u.fleet.rng.IntN(int(2*milli))), func() {
		if u.incarnation != run || u.manager == nil {
			return
		}
		var tell []func()
		n := min(len(u.diskQueue), 64)
		for _, do := range u.diskQueue[:n] {
			tell = append(tell, do())
		}
		if u.diskQueue = u.diskQueue[n:]; len(u.diskQueue) > 0 {
			u.flushDisk(run)
		} else {
			u.diskQueue = nil
		}
		u.deliver(run, func() {
			for _, do := range tell {
				if u.manager != nil && u.incarnation == run {
					do()
				}
			}
		})
	})
}

func (u *edgeNode) AppendEntry(name string, e replica.LogEntry) {
	u.queueWrite(name, e.Index, func(rec *replica.Log) bool {
		if rec == nil || !rec.Continues(e) {
			return false
		}
		rec.Append(e)
		return true
	})
}

func (u *edgeNode) TruncateLog(name string, seq uint64) {
	u.queueWrite(name, seq, func(rec *replica.Log) bool {
		if rec == nil {
			return false
		}
		rec.Truncate(seq)
		return true
	})
}

func (u *edgeNode) ResetLog(name string, base, sum uint64) {
	u.queueWrite(name, base, func(*replica.Log) bool {
		u.logs[name] = &replica.Log{Instance: name, BaseIndex: base, BaseChecksum: sum}
		return true
	})
}

func (u *edgeNode) DeleteLog(name string) {
	u.queueWrite(name, 0, func(*replica.Log) bool { delete(u.logs, name); return true })
}
