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

// checker checks the numbered rules of the fleet during a run, and ends the run when one is broken. There is no rule 3. Rule 1:
// at most one node serves an instance. Rule 2: the acknowledged effects of requests are neither lost nor applied twice. Rule 4:
// instances go to nodes that accept them, each copy completes or is canceled, and Fleet.Quiet reports true in the end. Rule 5:
// the number of moves is limited, both the moves under way at once (see checkMovesBounded) and the moves of each instance (see
// checkMoveCount). Rule 6: a restored snapshot equals the original, with the fields that a later version added (see
// checkSnapshot), and an operation that the leader does not know changes nothing. A failure without a number is an error
// outside these rules, such as a request with two responses.
type checker struct {
	fleet  *Fleet
	broken string

	serving          map[string][]*edgeNode // by instance: nodes that have reported that they serve it, and have not stopped or crashed since
	unsettled        int                    // number of instances for which isSettled returns false
	lastChange       tick.Tick              // last time at which an assignment changed, or an instance gained its first or lost its last serving node
	movesByNode      map[string]int         // by node: number of moves under way from or to it
	movesUnderway    int
	disturbed        map[string]bool // nodes that faults have affected since the start
	nodeFaults       int             // number of faults so far, counted once per affected node; a poisoned instance counts as 2
	diskReplaced     map[string]bool // nodes whose disk was erased or restored from a backup
	undetectable     map[string]bool // nodes that did not detect their restored disk, because the current leader did not know of the records that the disk lacks
	RestoredDisks    int             // number of restored disks that were detected
	UndetectedDisks  int             // number of restored disks that were not detected
	partitionedZones map[string]bool // zones that faults have cut off, each counted as one fault; used only if the fleet has remote replicas
	UnverifiedCopies int             // number of times that a node reported its own copy of an instance as possibly incomplete; see onUnverified

	Requests, Succeeded, Rejected, Unknown, Shed, Retries, Moves, Crashes, Lost, MostMoves int
	// longestIdle is the longest time for which an instance had no serving node. The time before its first serving node does not
	// count.
	longestIdle tick.Tick
	// idleSince holds the instances that no node serves, with the time since which none does. The value 1 is the start of the
	// simulation.
	idleSince map[string]tick.Tick
}

// requestHistory records the requests of a device, the acknowledged effects on its instance, and the moves of the instance with
// their causes. The checks of rules 2 and 5 use these records.
type requestHistory struct {
	requests        int
	highestIndex    uint64                      // highest log index of an acknowledged write; 0: none since the last reported loss of effects
	byRequest       map[string]replica.Response // by request ID: responses to the last 64 acknowledged writes
	recentRequests  []string
	byIndex         map[uint64]replica.Response
	reportedLosses  int // number of reported losses of effects; each report clears highestIndex, byRequest and byIndex
	moves           []tick.Tick
	zoneChanges     int
	otherMoveCauses int // number of failovers plus number of reports of incomplete copies (see onUnverified); like zoneChanges, this number raises the limit on moves (see checkMoveCount)
}

func (k *checker) start(f *Fleet) {
	*k = checker{fleet: f, serving: map[string][]*edgeNode{}, movesByNode: map[string]int{}, disturbed: map[string]bool{},
		diskReplaced: map[string]bool{}, undetectable: map[string]bool{}, partitionedZones: map[string]bool{},
		idleSince: map[string]tick.Tick{}}
}

// fail records a broken rule and ends the run. Only the first call has an effect.
func (k *checker) fail(form string, args ...any) {
	if k.broken == "" {
		k.broken = fmt.Sprintf(form, args...)
		k.fleet.logEvent(testcluster.Event{Node: "script", Name: "RULE", Why: k.broken})
	}
}

// onServing records that a node has started to serve an instance. It checks rule 1: at any time at most one node serves an
// instance.
func (k *checker) onServing(u *edgeNode, e replica.Event) {
	name := e.Instance
	for _, v := range k.serving[name] {
		if v != u && v.manager != nil && v.manager.HoldsLease(v.now()) {
			k.fail("rule 1: %s and %s act for %s", v.displayName, u.displayName, name)
		}
	}
	if !slices.Contains(k.serving[name], u) {
		k.serving[name] = append(k.serving[name], u)
	}
	u.serving[name] = true
	if since, was := k.idleSince[name]; was {
		if since > 1 { // the value 1 is the start of the simulation: no node has served the instance yet
			k.longestIdle = max(k.longestIdle, k.fleet.now-since)
		}
		delete(k.idleSince, name)
		k.lastChange = k.fleet.now
	}
}

func (k *checker) onStopped(u *edgeNode, e replica.Event) { k.removeServing(u, e.Instance) }

func (k *checker) removeServing(u *edgeNode, name string) {
	delete(u.serving, name)
	if i := slices.Index(k.serving[name], u); i >= 0 {
		k.serving[name] = slices.Delete(k.serving[name], i, i+1)
	}
	if len(k.serving[name]) == 0 {
		if _, was := k.idleSince[name]; !was {
			k.idleSince[name] = k.fleet.now
		}
		k.lastChange = k.fleet.now
	}
}

// onCrash records that the process of a node has ended and no longer serves any instance.
func (k *checker) onCrash(u *edgeNode) {
	k.Crashes++
	k.disturbed[u.name] = true
	if u.manager == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(u.serving)) {
		k.removeServing(u, name)
	}
}

// isSettled reports whether an instance runs with all its replicas, enough of them in other zones, and no copy of the instance
// is under way. A quarantined instance and an empty assignment are settled too.
func (k *checker) isSettled(p placement.Assignment) bool {
	return p.Instance == "" || p.State == placement.Running && p.CopyTarget == "" && len(p.Replicas) >= min(k.fleet.Replicas,
		k.fleet.Nodes-1) && (k.fleet.RemoteReplicas == 0 || k.remoteReplicas(p) >= min(k.fleet.RemoteReplicas, k.fleet.Zones-1)) ||
		p.State == placement.Quarantined
}

// remoteReplicas counts the replicas that are not in the zone of the primary.
func (k *checker) remoteReplicas(p placement.Assignment) (n int) {
	for _, name := range p.Replicas {
		if k.fleet.nodeByName[name].zone != k.fleet.nodeByName[p.Primary].zone {
			n++
		}
	}
	return n
}

// onPlaced updates the counts of unsettled instances, of moves under way and of instances per node.
func (k *checker) onPlaced(before, p placement.Assignment) {
	f := k.fleet
	if !k.isSettled(before) {
		k.unsettled--
	}
	if !k.isSettled(p) {
		k.unsettled++
	}
	k.lastChange = f.now
	count := func(p placement.Assignment, n int) {
		if p.CopyTarget == "" {
			return
		}
		k.movesUnderway += n
		k.movesByNode[p.Primary] += n
		k.movesByNode[p.CopyTarget] += n
	}
	count(before, -1)
	count(p, 1)
	k.MostMoves = max(k.MostMoves, k.movesUnderway)
	if before.Primary != p.Primary {
		if u := f.nodeByName[before.Primary]; u != nil {
			u.instances--
		}
		if u := f.nodeByName[p.Primary]; u != nil {
			u.instances++
		}
	}
}

// onAgreed checks an operation that the controllers agreed on.
func (k *checker) onAgreed(e placement.Operation, before, p placement.Assignment) {
	f, c := k.fleet, k.fleet.deviceByName[p.Instance]
	k.checkMovesBounded(e, p)
	switch e.Kind {
	case placement.OpMoveDevice:
		c.zoneChanges++
	case placement.OpStartCopy:
		k.checkCopyEnds(p)
	case placement.OpCutOver:
		k.Moves++
		c.moves = append(c.moves, f.now)
		k.checkMoveCount(c)
	case placement.OpFailOver, placement.OpReportIncomplete:
		c.otherMoveCauses++
	case placement.OpRestart:
		if !slices.Contains(before.Replicas, e.Target) && before.EverServed {
			k.checkStartedEmpty(c, e, before)
		}
	}
}

// checkMovesBounded checks rule 5 when a copy starts: at most fleet.moves.all moves are under way, and at most 8 of them from
// or to one node. It checks only under the first leader, because a later leader inherits the moves that an earlier one started.
func (k *checker) checkMovesBounded(e placement.Operation, p placement.Assignment) {
	f := k.fleet
	since := f.now - max(f.cluster.leaderSince, f.cluster.inheritedAt)
	if e.Kind != placement.OpStartCopy || f.cluster.Elections != 1 || since <= 0 {
		return
	}
	if most := int(f.settings["fleet.moves.all"].(float64)); k.movesUnderway > most {
		k.fail("rule 5: %d moves under way, the limit is %d", k.movesUnderway, most)
	}
	for _, name := range []string{p.Primary, p.CopyTarget} {
		if k.movesByNode[name] > 8 {
			k.fail("rule 5: %d moves under way at %s", k.movesByNode[name], name)
		}
	}
}

// checkCopyEnds checks rule 4 (see checker): when Size.RestartAfter plus 8 leases have passed since a copy started, the copy has completed or
// been canceled. The check applies only if the leader has not changed, and the last fault ended more than 4 leases ago.
func (k *checker) checkCopyEnds(p placement.Assignment) {
	f := k.fleet
	epoch, change, to, began, elections := p.Epoch, p.Revision, p.CopyTarget, f.now, f.cluster.Elections
	lease := tick.Tick(f.Lease * float64(tick.Second))
	f.after(tick.Tick(f.RestartAfter*float64(tick.Second))+8*lease, func() {
		now, _ := f.cluster.table.Get(p.Instance)
		if now.Epoch == epoch && now.CopyTarget == to && now.Revision == change && f.cluster.leader != nil &&
			f.cluster.Elections == elections &&
			f.faultsUnderway == 0 && f.now-f.lastDisturbance() > 4*lease {
			k.fail("rule 4: the copy of %s to %s started at %d ms and has not ended", p.Instance, to, began/milli)
		}
	})
}

// checkStartedEmpty checks rule 2 (see checker) when an instance restarts on a node that is not one of its replicas. The
// instance then loses the effects of its requests. The rule allows this under two conditions. More than one fault must have
// occurred. Each replica must be unavailable, or have been available for at most two leases.
func (k *checker) checkStartedEmpty(c *device, e placement.Operation, before placement.Assignment) {
	f := k.fleet
	k.Lost++
	f.ReportedLosses = append(f.ReportedLosses, c.name)
	c.reportedLosses++
	c.highestIndex, c.byRequest, c.byIndex = 0, nil, nil
	// A replica is available if its process runs with its data, is not stalled, has no duplicate and holds its lease. The
	// rule is broken only if a controller has led for more than two leases.
	for _, name := range before.Replicas {
		u := f.nodeByName[name]
		span := 2 * tick.Tick(f.Lease*float64(tick.Second))
		if u.manager != nil && u.stalls == 0 && !u.lostDisk && u.manager.HoldsLease(u.now()) && f.now-u.leaseSince > span &&
			f.cluster.leader != nil &&
			f.now-f.cluster.leaderSince > span && u.duplicate == nil {
			k.fail("rule 2: %s restarted from an older copy at %s, and its replica %s has been back since %d ms", c.name,
				e.Target, name, u.leaseSince/milli)
		}
	}
	// A single crash must not lose acknowledged effects. With remote replicas, cutting off one zone for any length of time must
	// not lose them either.
	if k.nodeFaults+len(k.partitionedZones) <= 1 && f.Replicas > 0 {
		k.fail("rule 2: %s restarted from an older copy after %d faults of nodes and %d of zones", c.name,
			k.nodeFaults, len(k.partitionedZones))
	}
}

// checkMoveCount checks rule 5: the number of moves of an instance is bounded. The bound grows with the logarithm of the time,
// because the dwell time doubles with repeated moves.
func (k *checker) checkMoveCount(c *device) {
	f := k.fleet
	span := float64(f.now) / float64(tick.Second)
	most := 4 + 2*int(math.Log2(1+span/max(0.1,
		f.Dwell))) + 2*c.zoneChanges + 2*c.otherMoveCauses + f.cluster.Elections + f.checker.Crashes
	if n := len(c.moves); n > most+2*f.forcedDrains {
		k.fail("rule 5: %s moved %d times in %.0f s", c.name, n, span)
	}
}

// onProposed checks rule 4 for an operation of the planner: no instance goes to a node that is draining, is rolling back or
// does not accept instances.
func (k *checker) onProposed(l *leadership, e placement.Operation) {
	p, _ := k.fleet.cluster.table.Get(e.Instance)
	startsEmpty := e.Kind == placement.OpRestart && p.State == placement.Lost && !slices.Contains(p.Replicas, e.Target)
	if e.Kind != placement.OpStartCopy && !startsEmpty {
		return
	}
	u, known := l.reportedStatus[e.Target]
	if !known || !u.Accepting || u.ListedDraining || u.RollingBack || u.ShuttingDown || u.Evacuating || u.FreeSlots <= 0 {
		k.fail("rule 4: %s of %s to %s, which accepts no instances: %+v", e.Kind, e.Instance, e.Target, u)
	}
}

// onDiskChecked checks rule 2 (see checker) when a node has determined whether its disk was restored from a backup. A node must
// not treat a disk that has all its records as restored. A restored disk may stay undetected only if the current leader does
// not know of the records that the disk lacks. A new leader knows only the record counts that the controllers last agreed on,
// and so does not know of the records written later.
func (k *checker) onDiskChecked(u *edgeNode, restored bool) {
	switch older := u.startRecords.serial < *u.recordsWritten; {
	case restored && !older:
		k.fail("rule 2: %s wrongly treats its disk as restored from a backup", u.displayName)
	case restored:
		k.RestoredDisks++
	case older && !k.fleet.disabled.ignoreRecordCounts:
		k.UndetectedDisks++
		k.undetectable[u.name] = true
		if h := k.fleet.cluster.reportedRecords[u.name]; u.startRecords.serial < h.serial && h.election == k.fleet.cluster.Elections {
			k.fail("rule 2: %s did not detect that its disk was restored from a backup; the leader knew of %d more records",
				u.displayName, h.serial-u.startRecords.serial)
		}
	}
}

// onUnverified checks rule 2 (see checker) when a node reports that its own copy of an instance may lack effects of requests.
// The checker then forgets the acknowledged effects that it has recorded for the instance. A single fault must not lead to such
// a report.
func (k *checker) onUnverified(u *edgeNode, name string) {
	c := k.fleet.deviceByName[name]
	k.UnverifiedCopies++
	c.reportedLosses++
	c.highestIndex, c.byRequest, c.byIndex = 0, nil, nil
	if k.nodeFaults+len(k.partitionedZones) <= 1 && k.fleet.Replicas > 0 {
		k.fail("rule 2: %s reports its copy of %s as unverified after one fault", u.displayName, name)
	}
}

// onResponse checks rule 2 for the response of a primary to a request: an acknowledged effect is never lost or applied twice.
func (k *checker) onResponse(u *edgeNode, m *request, a replica.Response) {
	c := m.device
	if a.Outcome != replica.Succeeded || m.reportedLosses != c.reportedLosses {
		return
	}
	// Effects may be lost without a report if the disks of more than one node were replaced, and a node that is or was in the
	// instance's assignment could not detect its restored disk.
	undetectableLoss := len(k.diskReplaced) > 1 && slices.ContainsFunc(c.interested, func(u *edgeNode) bool { return k.undetectable[u.name] })
	same := func(b replica.Response) bool { return a.Index == b.Index && a.Epoch == b.Epoch && a.Node == b.Node }
	if c.byRequest == nil {
		c.byRequest, c.byIndex = map[string]replica.Response{}, map[uint64]replica.Response{}
	}
	if b, ok := c.byIndex[a.Index]; a.Index > 0 && ok && !same(b) && !undetectableLoss {
		k.fail("rule 2: effect %d of %s was %d of %s, and is %d of %s", a.Index, c.name, b.Epoch, b.Node,
			a.Epoch, a.Node)
	}
	c.byIndex[a.Index] = a
	if !m.write {
		if a.Index < m.minIndex && !undetectableLoss {
			k.fail("rule 2: %s read %d of %s after %d was acked", u.displayName, a.Index, c.name, m.minIndex)
		}
		return
	}
	if b, ok := c.byRequest[m.id]; ok && !same(b) && !undetectableLoss {
		k.fail("rule 2: request %s was applied twice, at index %d and %d", m.id, b.Index, a.Index)
	}
	c.byRequest[m.id] = a
	c.recentRequests = append(c.recentRequests, m.id)
	if len(c.recentRequests) > 64 {
		delete(c.byRequest, c.recentRequests[0])
		c.recentRequests = c.recentRequests[1:]
	}
	if c.highestIndex = max(c.highestIndex, a.Index); c.highestIndex > 128 {
		delete(c.byIndex, c.highestIndex-128)
	}
}

func (k *checker) countOutcome(outcome string) {
	switch outcome {
	case "acked":
		k.Succeeded++
	case "nacked":
		k.Rejected++
	default:
		k.Unknown++
	}
}

// Quiet reports whether every instance that is not quarantined is served by a node and has its replicas, and no move is under
// way. since is the last time at which an assignment or the set of served instances changed.
func (f *Fleet) Quiet() (since tick.Tick, quiet bool) {
	k := &f.checker
	idle := len(k.idleSince)
	for name := range k.idleSince {
		if p, _ := f.cluster.table.Get(name); p.State == placement.Quarantined {
			idle--
		}
	}
	return k.lastChange, k.unsettled == 0 && idle == 0
}

// lastDisturbance returns the time when the last fault ended or the last leader was elected, whichever is later.
func (f *Fleet) lastDisturbance() tick.Tick { return max(f.lastFaultEnd, f.cluster.leaderSince) }
