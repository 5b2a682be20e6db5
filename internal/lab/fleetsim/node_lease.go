package fleetsim

import (
	"silvercove/internal/controllerclient"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// renewLease asks for the lease, each third of it, with a report of its strength.
func (u *edgeNode) renewLease(run uint64) {
	f := u.fleet
	lease := tick.Tick(f.Lease * float64(tick.Second))
	if u.health.State == "" || f.now-u.lastReading >= f.PowerReadInterval {
		u.updateHealth()
	}
	sent := u.now()
	ask := migration.NodeStatus{Name: u.name, Zone: u.zone.name, Incarnation: run, RollingBack: u.rollingBack > 0,
		ListedDraining: u.draining > 0, LostCopies: u.lostDisk}
	u.health.ApplyTo(&ask)
	said := ask
	if f.disabled.blindPlanner {
		ask = migration.NodeStatus{Name: u.name, Zone: u.zone.name, Incarnation: run, Accepting: true, FreeSlots: 100}
	}
	kept, doubts := u.startMark, u.manager.UnverifiedCopies(controllerclient.MaxUnverified)
	if u.mark.settled {
		kept = u.mark
	}
	granted := func(version, known uint64) {
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
	}
	f.cluster.requestLease(&leaseRequest{node: u, incarnation: run, status: ask, reported: said, records: kept, unverified: doubts,
		granted: granted})
	f.after(u.realSpan(lease/3), func() { u.deliver(run, func() { u.renewLease(run) }) })
}

// onLeaseGranted takes in what a lease says of the disk, as a node's process does.
func (u *edgeNode) onLeaseGranted(run, known uint64, told []replica.UnverifiedCopy) {
	if !u.diskChecked {
		u.diskChecked = true
		wasBack := u.startMark.count < known && !u.fleet.disabled.ignoreRecordCounts
		u.fleet.checker.onDiskChecked(u, wasBack)
		u.manager.OnDiskChecked(u.now(), wasBack)
	}
	u.manager.OnUnverifiedReported(u.now(), told)
	if u.highestCount = max(u.highestCount, known); u.countRaised || !u.manager.AllVerified() {
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

// placementChanged notes that an assignment has changed of which the node is to be notified.
func (u *edgeNode) placementChanged(name string) {
	if !u.unseen[name] {
		u.unseen[name] = true
		u.unseenOrder = append(u.unseenOrder, name)
	}
	u.watchPlacements()
}

// watchPlacements brings changed assignments: a watch waits at the controllers while nothing has changed.
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
