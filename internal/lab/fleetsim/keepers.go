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
	errLeadOver = errors.New("the lead is over")
	errNoAnswer = errors.New("no answer in time")
)

// maxOperations is how many of the planner's steps are in one entry of the log, as at a keeper.
const maxOperations = 256

// controller is one of them.
type controller struct {
	endpoint     *endpoint
	downCount    int       // falls under way
	diskDelay    tick.Tick // for one write
	clockRate    float64
	clockOffset  tick.Tick
	laterVersion int // it runs a later program
}

func (k *controller) clock(now tick.Tick) tick.Tick {
	return k.clockOffset + tick.Tick(float64(now)*k.clockRate)
}

// cluster is the keepers' agreed log: an entry is agreed once a majority has it on disk.
type cluster struct {
	fleet           *Fleet
	controllers     []*controller
	table           *placement.Table
	incarnations    map[string]uint64
	recordCounts    map[string]uint64 // units' counts, as agreed
	heardRecords    map[string]heardRecord
	term            uint64
	leader          *leadership
	inFlight        []*logEntry
	lastAgreed      tick.Tick // when the last entry was agreed
	election        int       // counts elections, so that an earlier one's end is passed over
	leaderSince     tick.Tick // the lead began
	inheritedAt     tick.Tick // an earlier lead's entries were agreed then
	timings         leases.Timings
	Elections       int
	Entries         int
	Steps           int
	CountEntries    int  // orders with units' counts
	fieldAdded      bool // a later keeper added a field to places
	laterStepAgreed bool // a step that only later ones know was agreed
}

// heardRecord is which record of a unit's was the last that a leader heard of, in truth, and the number of its lead.
type heardRecord struct {
	serial   uint64
	election int
}

// leadership is a span of leading, as at a keeper.
type leadership struct {
	cluster        *cluster
	controller     *controller
	term           uint64
	lessor         *leases.Lessor
	recordCounts   *leases.RecordCounts
	verifier       *devicehealth.Verifier
	planner        *migration.Planner
	nodeStatus     map[string]migration.NodeStatus // the last of each
	proposals      []queuedProposal
	reportedStatus map[string]migration.NodeStatus // and what they said
	expiredPending map[string]int
	waitingGrants  map[string][]func()
	proposing      bool
	wakeAt         tick.Tick // of the true time, when the next look is; 0 for none
	wakeNumber     uint64
}

type queuedProposal struct {
	operation placement.Operation
	err       error
}

// logEntry is one entry of the log. done is called once: with what became of it, or that this is not known.
type logEntry struct {
	leader       *leadership
	operations   []placement.Operation
	node         string
	incarnation  uint64
	recordCounts map[string]uint64
	unverified   []replica.UnverifiedCopy
	commitAt     tick.Tick
	done         func(all []proposalResult, err error)
	laterVersion bool // a keeper of a later program let it in
}

type proposalResult struct {
	assignment placement.Assignment
	err        error
}

func (f *Fleet) addControllers(table *placement.Table) {
	c := &cluster{fleet: f, table: table, incarnations: map[string]uint64{}, recordCounts: map[string]uint64{}, heardRecords: map[string]heardRecord{}, timings: leases.TimingsFor(leases.ConfigFrom(f.settings))}
	for i := range f.Controllers {
		c.controllers = append(c.controllers, &controller{endpoint: f.addEndpoint(fmt.Sprintf("keeper-%d", i+1), nil), diskDelay: 2 * milli,
			clockRate: 1 + (f.rng.Float64()-0.5)*0.01, clockOffset: tick.Tick(f.rng.IntN(int(1000 * tick.Second)))})
	}
	f.cluster = c
	c.becomeLeader(c.controllers[0])
}

// majorityDelay is after how long a majority has answered a keeper, with or without its disks; false if none does.
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

// checkLeader is called when the keepers or their links may have changed: a leader that lost its majority ends, and another
// one is looked for.
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
	mine := c.election
	c.fleet.after(heartbeat+tick.Tick(c.fleet.rng.IntN(int(heartbeat))), func() {
		if c.leader != nil || c.election != mine {
			return
		}
		first := c.fleet.rng.IntN(len(c.controllers))
		for i := range c.controllers {
			k := c.controllers[(first+i)%len(c.controllers)]
			if span, ok := c.majorityDelay(k, true); ok {
				c.fleet.after(2*span, func() {
					if _, ok := c.majorityDelay(k, true); ok && c.leader == nil && c.election == mine {
						c.becomeLeader(k)
					} else if c.leader == nil && c.election == mine {
						c.checkLeader()
					}
				})
				return
			}
		} // else a change of what stands in the way looks again
	})
}

// onLinksChanged is called when links have changed: without a leader or with one, it is looked at whether that stands.
func (c *cluster) onLinksChanged() {
	if l := c.leader; l == nil {
		c.checkLeader()
	} else if _, ok := c.majorityDelay(l.controller, false); !ok {
		c.checkLeader()
	}
}

// stepDown ends the lead. Of what was under way the first entries may be agreed by the next leader, the others are lost.
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
		o.done(nil, errLeadOver)
	}
	c.inFlight = c.inFlight[:keep]
	for _, name := range slices.Sorted(maps.Keys(waits)) {
		for _, do := range waits[name] {
			do()
		}
	}
	c.checkLeader()
}

// becomeLeader begins a lead: all that was agreed before is carried out first.
func (c *cluster) becomeLeader(k *controller) {
	f := c.fleet
	c.term++
	if len(c.inFlight) > 0 {
		c.inheritedAt = f.now
	}
	for _, o := range c.inFlight {
		_, _ = c.apply(o, false)
		o.done(nil, errLeadOver) // whoever asked does not know
	}
	c.inFlight = nil
	now := k.clock(f.now)
	l := &leadership{cluster: c, controller: k, term: c.term, lessor: leases.New(leases.ConfigFrom(f.settings)), nodeStatus: map[string]migration.NodeStatus{},
		reportedStatus: map[string]migration.NodeStatus{}, expiredPending: map[string]int{},
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

func (l *leadership) now() tick.Tick { return l.controller.clock(l.cluster.fleet.now) }

func (l *leadership) expectRenewals(now tick.Tick, p placement.Assignment) {
	if p.State != placement.Running {
		return
	}
	l.lessor.ExpectRenewal(now, p.Primary)
	for _, name := range p.Replicas {
		l.lessor.ExpectRenewal(now, name)
	}
}

// wakeSoon has the lead look soon at what time brought.
func (l *leadership) wakeSoon() { l.wakeAfter(1) }

func (l *leadership) wakeAfter(span tick.Tick) {
	f := l.cluster.fleet
	at := f.now + max(1, span)
	if l.wakeAt != 0 && l.wakeAt <= at {
		return
	}
	l.wakeAt = at
	l.wakeNumber++
	mine := l.wakeNumber
	f.after(at-f.now, func() {
		if l.cluster.leader != l || l.wakeNumber != mine {
			return
		}
		l.wakeAt = 0
		now := l.now()
		for _, name := range l.lessor.Expired(now) {
			f.logEvent(testcluster.Event{Node: l.controller.endpoint.name, Name: "lapsed", To: name})
			l.planner.OnLeaseExpired(now, name)
		}
		next := l.planner.OnTick(now)
		if at, found := l.lessor.NextExpiry(); found && at < next {
			next = at
		}
		for some := l.recordCounts.Due(now); some != nil; some = l.recordCounts.Due(now) {
			l.cluster.CountEntries++
			l.cluster.appendEntry(&logEntry{leader: l, recordCounts: some, done: func([]proposalResult, error) {}})
		}
		if at, found := l.recordCounts.NextDue(); found && at < next {
			next = at
		}
		l.wakeAfter(next - now)
	})
}

// Propose is the planner's: it is proposed, many at once.
func (l *leadership) Propose(e placement.Operation) {
	f := l.cluster.fleet
	f.checker.onProposed(l, e)
	q := queuedProposal{operation: e}
	q.operation.Version = placement.FormatVersion
	if restsOnExpiry(e) {
		q.err = l.holdLease(e.Node)
	}
	l.proposals = append(l.proposals, q)
	if !l.proposing {
		l.proposing = true
		f.after(0, l.proposeNext)
	}
}

// Log is the planner's; its words are in the places' reasons already.
func (l *leadership) Log(string) {}

// restsOnExpiry: the entry rests on the lease of its By being over.
func restsOnExpiry(e placement.Operation) bool {
	return (e.Kind == placement.OpFailOver || e.Kind == placement.OpQuarantine || e.Kind == placement.OpDelete) &&
		e.Node != ""
}

// holdLease has a unit's lease stay over until what rests on it is agreed, as at a keeper.
func (l *leadership) holdLease(unit string) error {
	if _, held := l.lessor.LeaseEnd(l.now(), unit); held && !l.cluster.fleet.disabled.grantWhileExpiring {
		if u, known := l.nodeStatus[unit]; !known || !u.LostCopies {
			return errors.New("its owner's lease is not over: it may still act")
		}
	}
	l.expiredPending[unit]++
	return nil
}

func (l *leadership) releaseLease(unit string) {
	if l.expiredPending[unit]--; l.expiredPending[unit] > 0 {
		return
	}
	delete(l.expiredPending, unit)
	waits := l.waitingGrants[unit]
	delete(l.waitingGrants, unit)
	for _, do := range waits {
		do()
	}
}

// proposeNext has the planner's steps agreed, one entry after the other.
func (l *leadership) proposeNext() {
	if l.cluster.leader != l || len(l.proposals) == 0 {
		l.proposing = false
		return
	}
	some := slices.Clone(l.proposals[:min(maxOperations, len(l.proposals))])
	if l.proposals = l.proposals[len(some):]; len(l.proposals) == 0 {
		l.proposals = nil
	}
	o := &logEntry{leader: l}
	for _, q := range some {
		if q.err == nil {
			o.operations = append(o.operations, q.operation)
		}
	}
	o.done = func(all []proposalResult, err error) {
		if err != nil || l.cluster.leader != l {
			return // what became of it is not known, and this lead is over
		}
		now := l.now()
		for _, q := range some {
			err := q.err
			if err == nil {
				err, all = all[0].err, all[1:]
				if restsOnExpiry(q.operation) {
					l.releaseLease(q.operation.Node)
				}
			}
			if err != nil {
				l.planner.OnProposalRefused(now, q.operation, err)
			}
		}
		l.wakeSoon()
		l.proposeNext()
	}
	if len(o.operations) == 0 {
		l.cluster.fleet.after(0, func() { o.done(nil, nil) })
		return
	}
	l.cluster.appendEntry(o)
}

// appendEntry puts an entry into the leader's log.
func (c *cluster) appendEntry(o *logEntry) {
	c.inFlight = append(c.inFlight, o)
	if len(c.inFlight) == 1 {
		c.commitNext()
	} else {
		c.scheduleCommit(o)
	}
}

// scheduleCommit says when an entry will be on a majority's disks, if that can be said.
func (c *cluster) scheduleCommit(o *logEntry) bool {
	span, ok := c.majorityDelay(o.leader.controller, true)
	if ok {
		c.lastAgreed = max(c.lastAgreed, c.fleet.now+span)
		o.commitAt = c.lastAgreed
	}
	return ok
}

// commitNext carries out the first entry under way when a majority has it, and then the next.
func (c *cluster) commitNext() {
	if len(c.inFlight) == 0 || c.leader == nil {
		return
	}
	o, l := c.inFlight[0], c.leader
	if (o.commitAt == 0 || o.commitAt < c.fleet.now) && !c.scheduleCommit(o) {
		c.fleet.after(c.timings.CommitInterval, func() {
			if c.leader == l && len(c.inFlight) > 0 && c.inFlight[0] == o {
				c.commitNext()
			}
		})
		return
	}
	c.fleet.after(o.commitAt-c.fleet.now, func() {
		if c.leader != l || len(c.inFlight) == 0 || c.inFlight[0] != o {
			return
		}
		if _, ok := c.majorityDelay(l.controller, true); !ok {
			o.commitAt = 0
			c.commitNext()
			return
		}
		c.inFlight = c.inFlight[1:]
		if len(c.inFlight) == 0 {
			c.inFlight = nil
		}
		all, err := c.apply(o, true)
		o.done(all, err)
		c.commitNext()
	})
}

// apply carries an agreed entry out, at every keeper; led: its lead still is, and hears of it.
func (c *cluster) apply(o *logEntry, led bool) (all []proposalResult, err error) {
	f := c.fleet
	c.Entries++
	if o.node != "" {
		if o.incarnation < c.incarnations[o.node] {
			return nil, leases.ErrStaleIncarnation
		}
		c.incarnations[o.node] = o.incarnation
	}
	c.Steps += len(o.operations)
	leases.MergeRecordCounts(c.recordCounts, o.recordCounts)
	for _, d := range o.unverified {
		c.table.SetUnverified(d.Instance, d.Epoch, d.Reason)
	}
	for _, e := range o.operations {
		before, _ := c.table.Get(e.Instance)
		if placement.CheckSupported(e) != nil {
			c.onUnknownStep(o, e)
			all = append(all, proposalResult{assignment: before})
			continue
		}
		p, err := c.table.Apply(e)
		all = append(all, proposalResult{p, err})
		if err == nil && (p.Revision != before.Revision || p.Epoch != before.Epoch) {
			f.onPlaced(o.leader.controller, e, before, p)
		}
	}
	if l := o.leader; led && c.leader == l {
		now := l.now()
		for _, r := range all {
			if r.err == nil {
				l.expectRenewals(now, r.assignment)
				l.planner.OnAssignment(now, r.assignment)
			}
		}
		l.wakeSoon()
	}
	return all, nil
}

// onPlaced tells everyone whom an agreed change concerns.
func (f *Fleet) onPlaced(k *controller, e placement.Operation, before, p placement.Assignment) {
	c := f.deviceByName[p.Instance]
	what := string(e.Kind)
	switch {
	case e.Kind == placement.OpStartCopy && e.CutOver:
		what = "move"
	case e.Kind == placement.OpFailOver && e.Target == "":
		what = "fail-lost"
	}
	f.recordDecision(p.Instance, decision(what), p)
	ev := testcluster.Event{Node: k.endpoint.name, Name: what, Instance: p.Instance, Epoch: p.Epoch, From: e.Node, To: e.Target,
		Why: firstWords(e.Reason)}
	if e.Kind == placement.OpMoveDevice {
		ev.To = e.Zone
	}
	f.logEvent(ev)
	f.checker.onAgreed(e, before, p)
	f.checker.onPlaced(before, p)
	if before.Primary != p.Primary || before.Epoch != p.Epoch {
		if n := len(c.owners); n >= 6 {
			copy(c.owners, c.owners[1:])
			c.owners = c.owners[:n-1]
		}
		c.owners = append(c.owners, ownership{f.now, p.Primary})
	}
	c.addInterested(f.nodeByName[p.Primary])
	c.addInterested(f.nodeByName[p.CopyTarget])
	for _, h := range p.Replicas {
		c.addInterested(f.nodeByName[h])
	}
	for _, u := range c.interested {
		u.placementChanged(p.Instance)
	}
	for _, u := range f.nodes[f.Nodes:] { // copies beside
		u.placementChanged(p.Instance)
	}
}

// call brings something from a node to the leader, and what it answers back; fail is told where either gets lost.
func (c *cluster) call(from *endpoint, wait tick.Tick, ask func(l *leadership, answer func(func())), fail func(error)) {
	f, over := c.fleet, false
	f.after(wait, func() {
		if !over {
			over = true
			fail(errNoAnswer)
		}
	})
	l := c.leader
	if l == nil {
		return
	}
	f.send(from, l.controller.endpoint, 300, func() {
		if c.leader != l {
			return
		}
		ask(l, func(do func()) {
			f.send(l.controller.endpoint, from, 300, func() {
				if !over {
					over = true
					do()
				}
			})
		})
	})
}

// requestLease is a unit's call for its lease: the order of things is that of a keeper.
func (c *cluster) requestLease(u *edgeNode, run uint64, ask, said migration.NodeStatus, kept recordCount, doubts []replica.UnverifiedCopy,
	granted func(version, known uint64)) {

	f := c.fleet
	c.call(u.endpoint, c.timings.ProposalTimeout, func(l *leadership, answer func(func())) {
		came := l.now()
		verdict, err := l.lessor.Request(came, u.name, run)
		if err != nil {
			f.logEvent(testcluster.Event{Node: l.controller.endpoint.name, Name: "refuses", To: u.displayName, Why: firstWords(err.Error())})
			return
		}
		confirm := func() {
			span, ok := c.majorityDelay(l.controller, false)
			if !ok {
				return
			}
			var grant func()
			grant = func() {
				if c.leader != l {
					return
				}
				if l.expiredPending[u.name] > 0 && !f.disabled.grantWhileExpiring {
					l.waitingGrants[u.name] = append(l.waitingGrants[u.name], grant)
					return
				}
				until, err := l.lessor.Grant(l.now(), came, u.name, run)
				if err != nil {
					return
				}
				ask.LeaseEnd = until
				if f.VerifyClaims {
					r := l.verifier.Verify(l.now(), u.name, u.zone.name, u.health)
					r.ApplyTo(&ask)
				}
				l.nodeStatus[u.name], l.reportedStatus[u.name] = ask, said
				l.planner.OnNodeStatus(l.now(), ask)
				l.wakeSoon()
				version, known := c.table.Version(), l.recordCounts.Report(u.name, kept.count)
				h := heardRecord{kept.serial, c.Elections}
				if was := c.heardRecords[u.name]; was.election == c.Elections {
					h.serial = max(h.serial, was.serial)
				}
				c.heardRecords[u.name] = h
				answer(func() { granted(version, known) })
			}
			f.after(span, func() {
				if len(doubts) == 0 || c.leader != l {
					grant()
					return
				}
				c.appendEntry(&logEntry{leader: l, unverified: doubts, done: func(_ []proposalResult, err error) {
					if err == nil {
						grant()
					}
				}})
			})
		}
		if verdict == leases.ProposeIncarnation {
			c.appendEntry(&logEntry{leader: l, node: u.name, incarnation: run, done: func(_ []proposalResult, err error) {
				switch {
				case err == nil:
					l.lessor.OnIncarnationAgreed(u.name, run)
					confirm()
				case errors.Is(err, leases.ErrStaleIncarnation):
					l.lessor.OnIncarnationDropped(u.name)
				}
			}})
			return
		}
		confirm()
	}, func(error) {})
}

// proposeStep is an owner's entry, or an operator's.
func (c *cluster) proposeStep(from *endpoint, e placement.Operation, told func(p placement.Assignment, err error)) {
	c.call(from, tick.Tick(c.fleet.Lease*float64(tick.Second)), func(l *leadership, answer func(func())) {
		if err := l.checkSupported(e); err != nil {
			p, _ := c.table.Get(e.Instance)
			answer(func() { told(p, err) })
			return
		}
		c.appendEntry(&logEntry{leader: l, operations: []placement.Operation{e}, laterVersion: l.controller.laterVersion > 0, done: func(all []proposalResult, err error) {
			if err != nil {
				return
			}
			answer(func() { told(all[0].assignment, all[0].err) })
		}})
	}, func(err error) { told(placement.Assignment{}, err) })
}

// reportDevice says where a camera is, again and again until it is agreed.
func (c *cluster) reportDevice(cam *device, z *zone) {
	f := c.fleet
	p, ok := c.table.Get(cam.name)
	if !ok || cam.zone != z {
		return
	}
	again := func() { f.after(tick.Second, func() { c.reportDevice(cam, z) }) }
	l := c.leader
	if l == nil {
		again()
		return
	}
	c.appendEntry(&logEntry{leader: l, operations: []placement.Operation{{Version: placement.FormatVersion, Kind: placement.OpMoveDevice, Instance: p.Instance,
		Epoch: p.Epoch, Zone: z.name}},
		done: func(all []proposalResult, err error) {
			if err != nil {
				again()
				return
			}
			if c.leader == l {
				l.planner.OnDeviceMoved(l.now(), cam.name, z.name)
				l.wakeSoon()
			}
		}})
}
