package fleetsim

import (
	"silvercove/internal/leases"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// maxOperations is the maximum number of operations of the planner in one entry of the log. A controller has the same limit.
const maxOperations = 256

// logEntry is one entry of the agreed log. done is called once, with the results, or with an error if the results are unknown.
type logEntry struct {
	leader       *leadership
	operations   []placement.Operation
	node         string
	incarnation  uint64
	recordCounts map[string]uint64
	unverified   []replica.UnverifiedCopy
	commitAt     tick.Tick
	done         func(all []proposalResult, err error)
	laterVersion bool // the leader that accepted the entry runs a later version
}

// proposalResult is the result of one operation of an entry.
type proposalResult struct {
	assignment placement.Assignment
	err        error
}

// appendEntry appends an entry to the log of the leader.
func (c *cluster) appendEntry(o *logEntry) {
	c.inFlight = append(c.inFlight, o)
	if len(c.inFlight) == 1 {
		c.commitNext()
	} else {
		c.scheduleCommit(o)
	}
}

// scheduleCommit sets the time at which an entry will be on the disks of a majority. It reports whether a majority is
// reachable.
func (c *cluster) scheduleCommit(o *logEntry) bool {
	span, ok := c.majorityDelay(o.leader.controller, true)
	if ok {
		c.lastCommitAt = max(c.lastCommitAt, c.fleet.now+span)
		o.commitAt = c.lastCommitAt
	}
	return ok
}

// commitNext applies the first entry under way once it is on the disks of a majority, and then goes on to the next entry.
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
		results, err := c.apply(o, true)
		o.done(results, err)
		c.commitNext()
	})
}

// apply applies an agreed entry. The parameter led is false if a new leader applies an entry of the earlier leader. If led is
// true and the leader that appended the entry still leads, apply informs the planner of this leader of the results.
func (c *cluster) apply(o *logEntry, led bool) (results []proposalResult, err error) {
	f := c.fleet
	c.Entries++
	if o.node != "" {
		if o.incarnation < c.incarnations[o.node] {
			return nil, leases.ErrStaleIncarnation
		}
		c.incarnations[o.node] = o.incarnation
	}
	c.Operations += len(o.operations)
	leases.MergeRecordCounts(c.recordCounts, o.recordCounts)
	for _, d := range o.unverified {
		c.table.SetUnverified(d.Instance, d.Epoch, d.Reason)
	}
	for _, e := range o.operations {
		before, _ := c.table.Get(e.Instance)
		if placement.CheckSupported(e) != nil {
			c.onUnknownOperation(o, e)
			results = append(results, proposalResult{assignment: before})
			continue
		}
		p, err := c.table.Apply(e)
		results = append(results, proposalResult{p, err})
		if err == nil && (p.Revision != before.Revision || p.Epoch != before.Epoch) {
			f.onPlaced(o.leader.controller, e, before, p)
		}
	}
	if l := o.leader; led && c.leader == l {
		now := l.now()
		for _, r := range results {
			if r.err == nil {
				l.expectRenewals(now, r.assignment)
				l.planner.OnAssignment(now, r.assignment)
			}
		}
		l.wakeSoon()
	}
	return results, nil
}

// onPlaced passes an agreed change of an assignment to the checker, and to each node that is or was the primary, the copy
// target or a replica of the instance.
func (f *Fleet) onPlaced(k *controller, e placement.Operation, before, p placement.Assignment) {
	c := f.deviceByName[p.Instance]
	eventName := string(e.Kind)
	switch {
	case e.Kind == placement.OpStartCopy && e.CutOver:
		eventName = "move"
	case e.Kind == placement.OpFailOver && e.Target == "":
		eventName = "fail-lost"
	}
	f.recordDecision(p.Instance, decision(eventName), p)
	ev := testcluster.Event{Node: k.endpoint.name, Name: eventName, Instance: p.Instance, Epoch: p.Epoch, From: e.Node, To: e.Target,
		Why: reasonTitle(e.Reason)}
	if e.Kind == placement.OpMoveDevice {
		ev.To = e.Zone
	}
	f.logEvent(ev)
	f.checker.onAgreed(e, before, p)
	f.checker.onPlaced(before, p)
	if before.Primary != p.Primary || before.Epoch != p.Epoch {
		if n := len(c.primaries); n >= 6 {
			copy(c.primaries, c.primaries[1:])
			c.primaries = c.primaries[:n-1]
		}
		c.primaries = append(c.primaries, ownership{f.now, p.Primary})
	}
	c.addInterested(f.nodeByName[p.Primary])
	c.addInterested(f.nodeByName[p.CopyTarget])
	for _, h := range p.Replicas {
		c.addInterested(f.nodeByName[h])
	}
	for _, u := range c.interested {
		u.placementChanged(p.Instance)
	}
	for _, u := range f.nodes[f.Nodes:] { // the entries after the first Size.Nodes are duplicates of nodes (see edgeNode.duplicate)
		u.placementChanged(p.Instance)
	}
}
