package fleetsim

import (
	"silvercove/internal/controllerclient"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// renewLease requests the lease and reports the health of the node. It repeats this after each third of the lease.
func (u *edgeNode) renewLease(incarnation uint64) {
	f := u.fleet
	lease := tick.Tick(f.Lease * float64(tick.Second))
	if u.health.State == "" || f.now-u.lastReading >= f.PowerReadInterval {
		u.updateHealth()
	}
	sent := u.now()
	status := migration.NodeStatus{Name: u.name, Zone: u.zone.name, Incarnation: incarnation, RollingBack: u.rollingBack > 0,
		ListedDraining: u.draining > 0, LostCopies: u.lostDisk}
	u.health.ApplyTo(&status)
	reported := status
	if f.disabled.ignoreNodeStatus {
		status = migration.NodeStatus{Name: u.name, Zone: u.zone.name, Incarnation: incarnation, Accepting: true, FreeSlots: 100}
	}
	records, unverified := u.startRecords, u.manager.UnverifiedCopies(controllerclient.MaxUnverified)
	if u.diskRecords.settled {
		records = u.diskRecords
	}
	granted := func(version, known uint64) {
		u.deliver(incarnation, func() {
			u.onLeaseGranted(incarnation, known, unverified)
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
	f.cluster.requestLease(&leaseRequest{node: u, incarnation: incarnation, status: status, reported: reported, records: records, unverified: unverified,
		granted: granted})
	f.after(u.simulatedSpan(lease/3), func() { u.deliver(incarnation, func() { u.renewLease(incarnation) }) })
}

// onLeaseGranted handles the record count that the controllers send with a lease, as a real node process does. The parameter
// known is the highest record count of the node that the controllers know of. If the process started with a lower count, its
// disk was restored from a backup. Once all copies are verified, onLeaseGranted raises the disk's record count by
// countsPerIncarnation, once per incarnation.
func (u *edgeNode) onLeaseGranted(incarnation, known uint64, reported []replica.UnverifiedCopy) {
	if !u.diskChecked {
		u.diskChecked = true
		restored := u.startRecords.count < known && !u.fleet.disabled.ignoreRecordCounts
		u.fleet.checker.onDiskChecked(u, restored)
		u.manager.OnDiskChecked(u.now(), restored)
	}
	u.manager.OnUnverifiedReported(u.now(), reported)
	if u.highestCount = max(u.highestCount, known); u.countRaised || !u.manager.AllVerified() {
		return
	}
	u.countRaised = true
	u.diskQueue = append(u.diskQueue, func() func() {
		if u.diskFull > 0 {
			return func() { u.countRaised = false }
		}
		*u.recordsWritten++
		u.diskRecords = recordCount{count: max(u.diskRecords.count, u.highestCount) + countsPerIncarnation, serial: *u.recordsWritten, settled: true}
		return func() {}
	})
	if len(u.diskQueue) == 1 {
		u.flushDisk(incarnation)
	}
}

// placementChanged records that an assignment changed, and starts to send it to the node if nothing is being sent yet.
func (u *edgeNode) placementChanged(name string) {
	if !u.unseen[name] {
		u.unseen[name] = true
		u.unseenOrder = append(u.unseenOrder, name)
	}
	u.watchPlacements()
}

// watchPlacements fetches the changed assignments, as a long poll at the controllers does. If the answer does not arrive within
// a quarter of the lease, watchPlacements tries again.
func (u *edgeNode) watchPlacements() {
	if u.watching || u.manager == nil {
		return
	}
	u.watching = true
	u.watchNumber++
	f, c, incarnation, number := u.fleet, u.fleet.cluster, u.incarnation, u.watchNumber
	names, l, received := u.unseenOrder, c.leader, false
	if l != nil && !f.isCut(u.endpoint, l.controller.endpoint) {
		u.unseenOrder, u.unseen = nil, map[string]bool{}
		version := c.table.Version()
		var assignments []placement.Assignment
		for _, name := range names {
			if p, ok := c.table.Get(name); ok {
				assignments = append(assignments, p)
			}
		}
		f.send(l.controller.endpoint, u.endpoint, 200*(1+len(names)), func() {
			if u.incarnation != incarnation || u.watchNumber != number {
				return
			}
			received, u.watching = true, false
			u.deliver(incarnation, func() {
				now := u.now()
				for _, p := range assignments {
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
		if received || u.incarnation != incarnation || u.watchNumber != number {
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
