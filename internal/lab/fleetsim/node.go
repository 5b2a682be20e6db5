package fleetsim

import (
	"maps"
	"slices"

	"silvercove/internal/devicehealth"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/standin/battery"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// edgeNode is a simulated edge node with its process, if one runs, its disk, its clock and its battery.
type edgeNode struct {
	fleet       *Fleet
	id          int
	name        string
	displayName string // name in the timeline; the name of a duplicate ends with an apostrophe
	endpoint    *endpoint
	zone        *zone
	clockRate   float64
	clockOffset tick.Tick

	manager          *replica.Manager // nil: the process is down
	incarnation      uint64
	lostDisk         bool
	downCount        int      // number of faults under way that keep the process down
	stalls           int      // number of stalls under way
	diskFull         int      // number of faults under way that fill the node's disk
	rollingBack      int      // number of faults under way that roll back the version that the node runs
	draining         int      // number of faults under way that drain the node
	laterVersion     int      // above 0: the node runs a later version
	refusing         int      // above 0: the node refuses connections for requests
	waiting          []func() // calls that deliver holds back until the process resumes from its stall
	logs             map[string]*replica.Log
	backupLogs       map[string]*replica.Log // backup of logs, taken up to 6 s before the fault that restores it
	diskRecords      recordCount             // record count of the disk; the field logs holds the logs on the disk
	backupRecords    recordCount
	recordsWritten   *uint64     // number of records ever written by all processes with this name
	startRecords     recordCount // diskRecords at the start of the process
	diskChecked      bool        // true once the process knows whether its disk was restored from a backup
	countRaised      bool        // whether this incarnation has added countsPerIncarnation to the node's record count
	highestCount     uint64      // highest record count of the node that the controllers have reported to this process
	diskQueue        []func() func()
	placementVersion uint64          // version of the placement that the node has received
	unseen           map[string]bool // set of instances whose changed assignments the node has not received
	unseenOrder      []string        // the keys of unseen in order of change
	watching         bool
	watchNumber      int
	leaseEnd         tick.Tick // end of the last lease, by the node's own clock
	instances        int       // number of instances whose agreed primary is the node
	leaseSince       tick.Tick // simulated time since which the node has held its lease without a gap
	serving          map[string]bool
	duplicate        *edgeNode // second process under the same name; nil: there is none

	monitor     *devicehealth.Monitor
	health      devicehealth.Report
	battery     *battery.Machine
	lastReading tick.Tick // simulated time up to which the battery has been simulated
	extraLoad   float64   // load that faults add to the node, as a fraction of its capacity
	requests    map[*replica.Request]*pendingRequest
}

// recordCount is the record count of a disk. count is the number that instancestore.Store keeps. serial exists only in the
// simulation, and no process knows it. The records that are written under the node's name are numbered, and the disk has all
// records up to the number serial. Once all copies on the disk are verified, records that the disk lacks no longer matter, and
// onLeaseGranted sets serial to the newest number. onLeaseGranted also sets settled, which the next start of the process
// clears. Only while settled is set does each written record raise count.
type recordCount struct {
	count, serial uint64
	settled       bool
}

// countsPerIncarnation is the number that each incarnation adds once to its record count, as instancestore.Store does.
const countsPerIncarnation = 1 << 20

// newNode creates a node process. The caller adds it to the fleet.
func (f *Fleet) newNode(name string, z *zone) *edgeNode {
	u := &edgeNode{fleet: f, id: len(f.nodes), name: name, displayName: name, endpoint: f.endpointByName[name], zone: z,
		clockRate: 1 + (f.rng.Float64()-0.5)*0.02, clockOffset: tick.Tick(1 + f.rng.IntN(int(1000*tick.Second))),
		logs: map[string]*replica.Log{}, unseen: map[string]bool{}, requests: map[*replica.Request]*pendingRequest{},
		serving: map[string]bool{}, diskRecords: recordCount{count: 1, settled: true}, recordsWritten: new(uint64)}
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

// now returns the time of the node's monotonic clock, which jumps of the wall clock do not affect.
func (u *edgeNode) now() tick.Tick {
	return u.clockOffset + tick.Tick(float64(u.fleet.now)*u.clockRate)
}

// activeProcess returns the process that answers at the node's address. If the node's own process is down, this is the
// duplicate, if there is one.
func (u *edgeNode) activeProcess() *edgeNode {
	if u.manager == nil && u.duplicate != nil {
		return u.duplicate
	}
	return u
}

// simulatedSpan converts a span of the node's clock to simulated time.
func (u *edgeNode) simulatedSpan(s tick.Tick) tick.Tick { return tick.Tick(float64(s)/u.clockRate) + 1 }

// deliver calls do in the process with the given incarnation, either now or, if the process is stalled, when it resumes. It
// drops the call if that process no longer runs, or if 1<<14 calls wait already.
func (u *edgeNode) deliver(incarnation uint64, do func()) {
	switch {
	case u.incarnation != incarnation || u.manager == nil:
	case u.stalls > 0:
		if len(u.waiting) < 1<<14 {
			u.waiting = append(u.waiting, do)
		}
	default:
		do()
	}
}

func (u *edgeNode) logEvent(what, instance string, epoch uint64, to, why string) {
	u.fleet.logEvent(testcluster.Event{Node: u.displayName, Name: what, Instance: instance, Epoch: epoch, To: to, Why: reasonTitle(why)})
}

// start starts the process. The process first fetches the assignments that concern the node (see fetchAssignments). Only then
// does it request a lease, by which the controllers learn of the new incarnation.
func (u *edgeNode) start() {
	if u.manager != nil || u.downCount > 0 {
		return
	}
	f := u.fleet
	u.incarnation = max(u.incarnation, uint64(f.now)) + 1
	incarnation := u.incarnation
	u.monitor = devicehealth.NewMonitor(u.now(), f.settings)
	u.lastReading = f.now
	u.fetchAssignments(incarnation)
}

// fetchAssignments asks the controllers for the assignments that concern the node until they answer, and then runs the
// replica manager.
func (u *edgeNode) fetchAssignments(incarnation uint64) {
	f, c := u.fleet, u.fleet.cluster
	if u.incarnation != incarnation || u.manager != nil || u.downCount > 0 {
		return
	}
	lease := tick.Tick(f.Lease * float64(tick.Second))
	c.call(u.endpoint, lease, func(l *leadership, answer func(func())) {
		var assignments []placement.Assignment // assignments of the instances that the node has a log of, or is the primary or a replica of
		assignments = append(assignments, c.table.ByPrimary(u.name)...)
		assignments = append(assignments, c.table.ByReplica(u.name)...)
		for _, name := range slices.Sorted(maps.Keys(u.logs)) {
			if p, ok := c.table.Get(name); ok && !slices.Contains(p.Replicas, u.name) && p.Primary != u.name {
				assignments = append(assignments, p)
			}
		}
		version := c.table.Version()
		u.unseen, u.unseenOrder = map[string]bool{}, nil // assignments that change from now on are sent once the process runs
		answer(func() {
			if u.incarnation != incarnation || u.manager != nil || u.downCount > 0 {
				return
			}
			var records []replica.Log
			for _, name := range slices.Sorted(maps.Keys(u.logs)) {
				records = append(records, *u.logs[name])
				records[len(records)-1].Entries = slices.Clone(u.logs[name].Entries)
			}
			u.placementVersion, u.watching, u.leaseEnd = version, false, 0
			u.watchNumber++
			u.startRecords, u.diskChecked, u.countRaised, u.highestCount = u.diskRecords, false, false, 0
			u.diskRecords.settled = false
			base := f.disabled.baseline(assignments)
			u.manager = replica.NewManager(u, u.now(), replica.ConfigFrom(u.name, incarnation, f.settings),
				replica.InitialState{Logs: records, Assignments: base, Version: version})
			for _, p := range assignments[len(base):] {
				u.manager.OnAssignment(u.now(), p)
			}
			u.lostDisk = u.manager.LostAllCopies()
			u.logEvent("starts", "", 0, "", "")
			u.renewLease(incarnation)
			u.scheduleTick(incarnation)
			if len(u.unseenOrder) > 0 {
				u.watchPlacements()
			}
		})
	}, func(error) {
		if u.incarnation == incarnation && u.manager == nil {
			f.after(lease/4, func() { u.fetchAssignments(incarnation) })
		}
	})
}

// baseline returns the assignments that a node starts with (see replica.InitialState): the controllers made them before this
// incarnation first asked for a lease. With noBaseline, baseline returns none. With trustDisk, it returns the assignments with
// empty replicas and the index 0.
func (w disabledDefences) baseline(assignments []placement.Assignment) []placement.Assignment {
	if w.noBaseline {
		return nil
	}
	if w.trustDisk {
		assignments = slices.Clone(assignments)
		for i := range assignments {
			assignments[i].Replicas, assignments[i].Index = nil, 0
		}
	}
	return assignments
}

func (u *edgeNode) scheduleTick(incarnation uint64) {
	now := u.now()
	next := u.manager.OnTick(now)
	u.fleet.after(u.simulatedSpan(next-now), func() { u.deliver(incarnation, func() { u.scheduleTick(incarnation) }) })
}

// crash ends the process. If wipe is set, it also erases the disk.
func (u *edgeNode) crash(wipe bool) {
	if u.manager != nil {
		u.logEvent("FALLS", "", 0, "", map[bool]string{true: "and loses its disk"}[wipe])
	}
	u.fleet.checker.onCrash(u)
	u.manager, u.waiting, u.diskQueue = nil, nil, nil
	u.incarnation++
	if wipe {
		u.logs, u.diskRecords = map[string]*replica.Log{}, recordCount{count: 1, settled: true}
	}
	clear(u.requests)
}
