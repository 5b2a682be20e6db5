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

// requestLease is a node's call for its lease: the order of things is that of a controller.
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

// proposeStep is a primary's entry, or an operator's.
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

// reportDevice says where a device is, again and again until it is agreed.
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
