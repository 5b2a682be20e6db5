package replica

import (
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// nodeLease is the node's one lease, by its own clock.
type nodeLease struct {
	until           tick.Tick // its end; 0 while none runs
	previousEnd     tick.Tick
	requiredVersion uint64 // of assignments that has to be seen before anything is served: others may be primary by then
	seenVersion     uint64
}

// upToDate tells whether the assignments that the lease needs have been seen.
func (l *nodeLease) upToDate() bool { return l.seenVersion >= l.requiredVersion }

// holds tells whether the node may serve at all.
func (l *nodeLease) holds(now tick.Tick) bool { return now < l.until && l.upToDate() }

// expired tells whether a lease that ran is over.
func (l *nodeLease) expired(now tick.Tick) bool { return l.until != 0 && now >= l.until }

// lastEnd is the end of the lease that runs, or that ran last.
func (l *nodeLease) lastEnd() tick.Tick {
	if l.until == 0 {
		return l.previousEnd
	}
	return l.until
}

// reset ends the lease without a word, and begins with other versions.
func (l *nodeLease) reset(version uint64) {
	l.until, l.requiredVersion, l.seenVersion = 0, version, version
}

// OnLease tells that the node's lease runs until a moment, by its own clock. version is that of the controllers'
// assignments when it was granted: after a gap nothing is served before news up to it have come.
func (m *Manager) OnLease(now, until tick.Tick, version uint64) {
	if now >= m.lease.until {
		m.expireLease(now)
		m.lease.requiredVersion = version
		if now < until {
			m.host.Notify(Event{Kind: EventLease, Reason: "gained"})
		}
	}
	gained := m.lease.until == 0
	m.lease.until = max(m.lease.until, until)
	if gained {
		m.advanceAll(now)
		return
	}
	m.advanceActive(now) // a lease that goes on changes nothing for the others
}

// expireLease stops everything where the lease is over.
func (m *Manager) expireLease(now tick.Tick) {
	if !m.lease.expired(now) {
		return
	}
	m.lease.previousEnd, m.lease.until = m.lease.until, 0
	m.host.Notify(Event{Kind: EventLease, Reason: "lost"})
	m.advanceAll(now)
}

// HoldsLease tells whether the node may serve at all: its lease runs, and the news that it needs have come.
func (m *Manager) HoldsLease(now tick.Tick) bool { return m.lease.holds(now) }

// mayServe tells whether the node may serve an instance now, as its lease holder.
func (m *Manager) mayServe(now tick.Tick, inst *instance) bool {
	p := &inst.assignment.agreed
	return m.lease.holds(now) && inst.assignment.known() && p.State == placement.Running && p.Primary == m.self && p.EverServed &&
		inst.recovery.trusted(p.Epoch)
}

// updateServing begins or ends to serve an instance, and tells whether the node may.
func (m *Manager) updateServing(now tick.Tick, inst *instance) (may bool) {
	may = m.mayServe(now, inst)
	s := &inst.serving
	switch {
	case !may && s.state != stopped:
		m.stopServing(now, inst, "the lease is over, or another one owns it")
	case may && s.state == stopped:
		m.beginServing(now, inst)
	}
	switch cuttingOver := inst.assignment.cuttingOver(); {
	case may && !cuttingOver && s.state == paused:
		m.host.Notify(Event{Kind: EventServing, Instance: inst.name, Epoch: inst.assignment.agreed.Epoch,
			Reason: inst.assignment.agreed.Reason})
		s.state = leased
	case may && cuttingOver && s.state == leased:
		m.notifyStopped(now, inst, "handed over")
		s.state = paused
	}
	return may
}

// beginServing makes the node ready to serve: paused, until updateServing finds that no cut-over is under way.
func (m *Manager) beginServing(now tick.Tick, inst *instance) {
	if inst.recovery.unverified {
		m.serveUnverified(inst)
	}
	inst.serving.state = paused
	if !inst.local.present && !inst.local.failed {
		m.resetLog(inst, 0, 0)
	}
	inst.resetProgressTimes(now) // while it did not serve it asked them for nothing
}

// abandon ends serving an instance: what is not durable on all replicas may be kept or dropped.
func (m *Manager) stopServing(now tick.Tick, inst *instance, reason string) {
	if inst.serving.state == leased {
		m.notifyStopped(now, inst, reason)
	}
	inst.serving.state = stopped
	for _, w := range inst.serving.pending {
		if w.request.Write {
			m.host.Respond(w.request, Response{Outcome: Indeterminate, LeaseLost: true, Detail: "its effect may be kept or dropped"})
			continue
		}
		m.reject(w.request, notPrimary)
	}
	inst.serving.pending = nil
}

func (m *Manager) notifyStopped(now tick.Tick, inst *instance, reason string) {
	m.host.Notify(Event{Kind: EventStopped, Instance: inst.name, Epoch: inst.assignment.agreed.Epoch, Reason: reason,
		SinceLeaseEnd: max(0, now-m.lease.lastEnd())})
}
