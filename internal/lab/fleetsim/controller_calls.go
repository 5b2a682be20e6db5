package fleetsim

import (
	"errors"

	"silvercove/internal/leases"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// call sends a call from a node to the leader, which runs ask. To respond, ask passes a function to its parameter answer, and
// that function runs at the node. If no answer arrives within the time wait, the function fail runs instead.
func (c *cluster) call(from *endpoint, wait tick.Tick, ask func(l *leadership, answer func(func())), fail func(error)) {
	f, finished := c.fleet, false
	f.after(wait, func() {
		if !finished {
			finished = true
			fail(errNoResponse)
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
				if !finished {
					finished = true
					do()
				}
			})
		})
	})
}

// leaseRequest is a node's request for its lease. Its steps run in the same order as at a controller.
type leaseRequest struct {
	node        *edgeNode
	incarnation uint64
	status      migration.NodeStatus // status for the planner; differs from the field reported if the health report is verified or the planner ignores health reports
	reported    migration.NodeStatus // status as the node sent it
	records     recordCount
	unverified  []replica.UnverifiedCopy
	granted     func(version, known uint64)

	leader     *leadership
	receivedAt tick.Tick // time of arrival at the leader, by the leader's clock
	answer     func(func())
}

// requestLease sends a node's request for its lease to the leader.
func (c *cluster) requestLease(r *leaseRequest) {
	c.call(r.node.endpoint, c.timings.ProposalTimeout, func(l *leadership, answer func(func())) {
		r.leader, r.receivedAt, r.answer = l, l.now(), answer
		r.receive()
	}, func(error) {})
}

// receive handles the arrival of the request at the leader. If the node has a new incarnation, the controllers agree on the
// incarnation first.
func (r *leaseRequest) receive() {
	l, u := r.leader, r.node
	verdict, err := l.lessor.Request(r.receivedAt, u.name, r.incarnation)
	if err != nil {
		l.cluster.fleet.logEvent(testcluster.Event{Node: l.controller.endpoint.name, Name: "refuses", To: u.displayName, Why: reasonTitle(err.Error())})
		return
	}
	if verdict != leases.ProposeIncarnation {
		r.confirm()
		return
	}
	l.cluster.appendEntry(&logEntry{leader: l, node: u.name, incarnation: r.incarnation, done: func(_ []proposalResult, err error) {
		switch {
		case err == nil:
			l.lessor.OnIncarnationAgreed(u.name, r.incarnation)
			r.confirm()
		case errors.Is(err, leases.ErrStaleIncarnation):
			l.lessor.OnIncarnationDropped(u.name)
		}
	}})
}

// confirm waits until a majority has confirmed the leader. If the node reports unverified copies, confirm appends this report
// to the log before it grants the lease.
func (r *leaseRequest) confirm() {
	l := r.leader
	c := l.cluster
	span, ok := c.majorityDelay(l.controller, false)
	if !ok {
		return
	}
	c.fleet.after(span, func() {
		if len(r.unverified) == 0 || c.leader != l {
			r.grant()
			return
		}
		c.appendEntry(&logEntry{leader: l, unverified: r.unverified, done: func(_ []proposalResult, err error) {
			if err == nil {
				r.grant()
			}
		}})
	})
}

// grant grants the lease. If an operation under way requires that the node's lease has expired (see blockedGrants), the grant
// waits, and unblockGrants calls grant again.
func (r *leaseRequest) grant() {
	l, u := r.leader, r.node
	c := l.cluster
	f := c.fleet
	if c.leader != l {
		return
	}
	if l.blockedGrants[u.name] > 0 && !f.disabled.grantWhileExpiring {
		l.waitingGrants[u.name] = append(l.waitingGrants[u.name], r.grant)
		return
	}
	until, err := l.lessor.Grant(l.now(), r.receivedAt, u.name, r.incarnation)
	if err != nil {
		return
	}
	r.status.LeaseEnd = until
	if f.VerifyClaims {
		verified := l.verifier.Verify(l.now(), u.name, u.zone.name, u.health)
		verified.ApplyTo(&r.status)
	}
	l.nodeStatus[u.name], l.reportedStatus[u.name] = r.status, r.reported
	l.planner.OnNodeStatus(l.now(), r.status)
	l.wakeSoon()
	version, known := c.table.Version(), l.recordCounts.Report(u.name, r.records.count)
	latest := reportedRecord{r.records.serial, c.Elections}
	if before := c.reportedRecords[u.name]; before.election == c.Elections {
		latest.serial = max(latest.serial, before.serial)
	}
	c.reportedRecords[u.name] = latest
	r.answer(func() { r.granted(version, known) })
}

// proposeOperation proposes an operation of a primary or an operator to the leader and passes the result to done.
func (c *cluster) proposeOperation(from *endpoint, e placement.Operation, done func(p placement.Assignment, err error)) {
	c.call(from, tick.Tick(c.fleet.Lease*float64(tick.Second)), func(l *leadership, answer func(func())) {
		if err := l.checkSupported(e); err != nil {
			p, _ := c.table.Get(e.Instance)
			answer(func() { done(p, err) })
			return
		}
		c.appendEntry(&logEntry{leader: l, operations: []placement.Operation{e}, laterVersion: l.controller.laterVersion > 0, done: func(results []proposalResult, err error) {
			if err != nil {
				return
			}
			answer(func() { done(results[0].assignment, results[0].err) })
		}})
	}, func(err error) { done(placement.Assignment{}, err) })
}

// reportDevice proposes the new zone of a device. It retries every second until the zone is agreed, or until the device moves
// to yet another zone.
func (c *cluster) reportDevice(d *device, z *zone) {
	f := c.fleet
	p, ok := c.table.Get(d.name)
	if !ok || d.zone != z {
		return
	}
	retry := func() { f.after(tick.Second, func() { c.reportDevice(d, z) }) }
	l := c.leader
	if l == nil {
		retry()
		return
	}
	c.appendEntry(&logEntry{leader: l, operations: []placement.Operation{{Version: placement.FormatVersion, Kind: placement.OpMoveDevice, Instance: p.Instance,
		Epoch: p.Epoch, Zone: z.name}},
		done: func(all []proposalResult, err error) {
			if err != nil {
				retry()
				return
			}
			if c.leader == l {
				l.planner.OnDeviceMoved(l.now(), d.name, z.name)
				l.wakeSoon()
			}
		}})
}
