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
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// Errors of calls to the controllers.
var (
	errLeadershipLost = errors.New("the leadership has ended")
	errNoResponse     = errors.New("no answer in time")
)

// controller is a simulated controller process with its disk and clock.
type controller struct {
	endpoint     *endpoint
	downCount    int       // number of faults under way that stop the controller
	diskDelay    tick.Tick // duration of one write to the disk
	clockRate    float64
	clockOffset  tick.Tick
	laterVersion int // above 0: the controller runs a later version
}

func (k *controller) clock(now tick.Tick) tick.Tick {
	return k.clockOffset + tick.Tick(float64(now)*k.clockRate)
}

// cluster is the group of controllers with their agreed log. An entry is agreed once a majority has it on disk.
type cluster struct {
	fleet                *Fleet
	controllers          []*controller
	table                *placement.Table
	incarnations         map[string]uint64
	recordCounts         map[string]uint64 // by node: agreed record count of the node's disk (see recordCount)
	reportedRecords      map[string]reportedRecord
	term                 uint64
	leader               *leadership
	inFlight             []*logEntry
	lastCommitAt         tick.Tick // time at which the last of the entries scheduled so far is agreed; a new entry is agreed no earlier
	election             int       // number of the latest attempt to elect a leader; a timer of an earlier attempt does nothing
	leaderSince          tick.Tick // time when the current leader was elected
	inheritedAt          tick.Tick // last time at which a new leader took over entries of an earlier leader
	timings              leases.Timings
	Elections            int
	Entries              int
	Operations           int
	CountEntries         int  // number of entries that hold record counts
	fieldAdded           bool // whether a controller of a later version added a field to the assignments
	laterOperationAgreed bool // whether an operation was agreed that only later versions know
}

// reportedRecord identifies the last record on a node's disk that a leader knows of. serial is the number of this record (see
// recordCount). election is the value of cluster.Elections while this leader leads.
type reportedRecord struct {
	serial   uint64
	election int
}

func (f *Fleet) addControllers(table *placement.Table) {
	c := &cluster{fleet: f, table: table, incarnations: map[string]uint64{}, recordCounts: map[string]uint64{}, reportedRecords: map[string]reportedRecord{}, timings: leases.TimingsFor(leases.ConfigFrom(f.settings))}
	for i := range f.Controllers {
		c.controllers = append(c.controllers, &controller{endpoint: f.addEndpoint(fmt.Sprintf("keeper-%d", i+1), nil), diskDelay: 2 * milli,
			clockRate: 1 + (f.rng.Float64()-0.5)*0.01, clockOffset: tick.Tick(f.rng.IntN(int(1000 * tick.Second)))})
	}
	f.cluster = c
	c.becomeLeader(c.controllers[0])
}

// majorityDelay returns the time until a majority has answered a controller. If disks is set, the time includes a write to the
// disks of this majority. The bool result reports whether a majority answers.
func (c *cluster) majorityDelay(k *controller, disks bool) (tick.Tick, bool) {
	if k.downCount > 0 {
		return 0, false
	}
	var spans []tick.Tick
	for _, o := range c.controllers {
		if o == k || o.downCount > 0 || c.fleet.isCut(k.endpoint, o.endpoint) || c.fleet.isCut(o.endpoint, k.endpoint) {
			continue
		}
		span := 2*milli + tick.Tick(c.fleet.rng.IntN(int(milli)))
		if disks {
			span += o.diskDelay
		}
		spans = append(spans, span)
	}
	need := len(c.controllers) / 2
	if len(spans) < need {
		return 0, false
	}
	if need == 0 {
		return k.diskDelay, true
	}
	slices.Sort(spans)
	span := spans[need-1]
	if disks {
		span = max(span, k.diskDelay)
	}
	return span, true
}

// checkLeader makes a leader that has lost its majority step down, and starts an election if there is no leader. It is called
// when the controllers or their links may have changed.
func (c *cluster) checkLeader() {
	heartbeat := c.timings.HeartbeatTimeout
	if l := c.leader; l != nil {
		if _, ok := c.majorityDelay(l.controller, false); ok {
			return
		}
		if l.controller.downCount == 0 {
			c.fleet.after(heartbeat, func() {
				if _, ok := c.majorityDelay(l.controller, false); c.leader == l && !ok {
					c.stepDown()
				}
			})
			return
		}
		c.stepDown()
	}
	c.election++
	number := c.election
	c.fleet.after(heartbeat+tick.Tick(c.fleet.rng.IntN(int(heartbeat))), func() {
		if c.leader != nil || c.election != number {
			return
		}
		first := c.fleet.rng.IntN(len(c.controllers))
		for i := range c.controllers {
			k := c.controllers[(first+i)%len(c.controllers)]
			if span, ok := c.majorityDelay(k, true); ok {
				c.fleet.after(2*span, func() {
					if _, ok := c.majorityDelay(k, true); ok && c.leader == nil && c.election == number {
						c.becomeLeader(k)
					} else if c.leader == nil && c.election == number {
						c.checkLeader()
					}
				})
				return
			}
		} // if no controller reaches a majority, the next change of the controllers or links starts a new attempt
	})
}

// onLinksChanged is called when links have changed. It calls checkLeader if there is no leader or the leader has lost its
// majority.
func (c *cluster) onLinksChanged() {
	if l := c.leader; l == nil {
		c.checkLeader()
	} else if _, ok := c.majorityDelay(l.controller, false); !ok {
		c.checkLeader()
	}
}

// stepDown ends the leadership. The next leader takes over the first entries under way, a random number of them. The other
// entries under way are lost.
func (c *cluster) stepDown() {
	l := c.leader
	c.leader = nil
	c.fleet.logEvent(testcluster.Event{Node: l.controller.endpoint.name, Name: "follows"})
	waits := l.waitingGrants
	l.waitingGrants = nil
	keep := 0
	if len(c.inFlight) > 0 {
		keep = c.fleet.rng.IntN(len(c.inFlight) + 1)
	}
	for _, o := range c.inFlight[keep:] {
		o.done(nil, errLeadershipLost)
	}
	c.inFlight = c.inFlight[:keep]
	for _, name := range slices.Sorted(maps.Keys(waits)) {
		for _, do := range waits[name] {
			do()
		}
	}
	c.checkLeader()
}

// becomeLeader makes a controller the leader, after it applies the entries that the earlier leader left.
func (c *cluster) becomeLeader(k *controller) {
	f := c.fleet
	c.term++
	if len(c.inFlight) > 0 {
		c.inheritedAt = f.now
	}
	for _, o := range c.inFlight {
		_, _ = c.apply(o, false)
		o.done(nil, errLeadershipLost) // the proposer does not learn the result
	}
	c.inFlight = nil
	now := k.clock(f.now)
	l := &leadership{cluster: c, controller: k, term: c.term, lessor: leases.New(leases.ConfigFrom(f.settings)), nodeStatus: map[string]migration.NodeStatus{},
		reportedStatus: map[string]migration.NodeStatus{}, blockedGrants: map[string]int{},
		waitingGrants: map[string][]func(){}}
	l.verifier = devicehealth.NewVerifier()
	l.lessor.OnElected(now, c.incarnations)
	l.recordCounts = leases.NewRecordCounts(now, leases.ConfigFrom(f.settings), c.recordCounts)
	l.planner = migration.NewPlanner(l, now, uint64(now), migration.ConfigFrom(f.settings))
	c.leader, c.leaderSince = l, f.now
	c.Elections++
	l.planner.OnElected(now)
	for _, p := range c.table.All() {
		l.expectRenewals(now, p)
		l.planner.OnAssignment(now, p)
	}
	f.logEvent(testcluster.Event{Node: k.endpoint.name, Name: "leads", Why: fmt.Sprint(l.term)})
	l.wakeSoon()
}
