package replica

import (
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// nodeLease is the lease of the node. It covers all instances of the node and runs by the node's own clock.
type nodeLease struct {
	until           tick.Tick // end of the lease; 0 if none runs
	previousEnd     tick.Tick
	requiredVersion uint64 // the node serves only after it has seen the assignments up to this version, since these may name another node as primary
	seenVersion     uint64
}

// upToDate reports whether the assignments that the lease requires have been seen.
func (l *nodeLease) upToDate() bool { return l.seenVersion >= l.requiredVersion }

// holds reports whether the node may serve at all: its lease runs, and upToDate holds.
func (l *nodeLease) holds(now tick.Tick) bool { return now < l.until && l.upToDate() }

// expired reports whether the lease has ended and expireLease has not handled its end yet.
func (l *nodeLease) expired(now tick.Tick) bool { return l.until != 0 && now >= l.until }

// lastEnd returns the end of the lease that runs, or of the last one that ran.
func (l *nodeLease) lastEnd() tick.Tick {
	if l.until == 0 {
		return l.previousEnd
	}
	return l.until
}

// reset ends the lease without an event, and sets the required and the seen version to version.
func (l *nodeLease) reset(version uint64) {
	l.until, l.requiredVersion, l.seenVersion = 0, version, version
}

// OnLease records that the node's lease runs until the given time of the node's own clock. version is the version of
// the controllers' assignments when the lease was granted. If the previous lease had ended, the node serves nothing
// until it has seen the assignments up to that version.
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
	m.advanceActive(now) // a renewed lease changes nothing for idle instances, so advanceAll is not needed
}

// expireLease makes the node stop serving every instance if the lease has ended.
func (m *Manager) expireLease(now tick.Tick) {
	if !m.lease.expired(now) {
		return
	}
	m.lease.previousEnd, m.lease.until = m.lease.until, 0
	m.host.Notify(Event{Kind: EventLease, Reason: "lost"})
	m.advanceAll(now)
}

// HoldsLease reports whether the node may serve at all: its lease runs, and it has seen the assignments that the lease
// requires.
func (m *Manager) HoldsLease(now tick.Tick) bool { return m.lease.holds(now) }

// mayServe reports whether the node may serve an instance now: its lease runs, it is the agreed primary, and its copy
// can be trusted.
func (m *Manager) mayServe(now tick.Tick, inst *instance) bool {
	p := &inst.assignment.agreed
	return m.lease.holds(now) && inst.assignment.known() && p.State == placement.Running && p.Primary == m.self && p.EverServed &&
		inst.recovery.trusted(p.Epoch)
}

// updateServing starts or stops serving an instance, and reports whether the node may serve it.
func (m *Manager) updateServing(now tick.Tick, inst *instance) (allowed bool) {
	allowed = m.mayServe(now, inst)
	s := &inst.serving
	switch {
	case !allowed && s.state != stopped:
		m.stopServing(now, inst, "the lease is over, or another one owns it")
	case allowed && s.state == stopped:
		m.beginServing(now, inst)
	}
	switch cuttingOver := inst.assignment.cuttingOver(); {
	case allowed && !cuttingOver && s.state == paused:
		m.host.Notify(Event{Kind: EventServing, Instance: inst.name, Epoch: inst.assignment.agreed.Epoch,
			Reason: inst.assignment.agreed.Reason})
		s.state = leased
	case allowed && cuttingOver && s.state == leased:
		m.notifyStopped(now, inst, "handed over")
		s.state = paused
	}
	return allowed
}

// beginServing prepares the node to serve an instance. The state is paused until updateServing finds that no cut-over
// is under way.
func (m *Manager) beginServing(now tick.Tick, inst *instance) {
	if inst.recovery.unverified {
		m.serveUnverified(inst)
	}
	inst.serving.state = paused
	if !inst.local.present && !inst.local.failed {
		m.resetLog(inst, 0, 0)
	}
	inst.resetProgressTimes(now) // the confirmation timeouts begin now, because followers were sent nothing while the node did not serve
}

// stopServing ends serving an instance. The outcome of pending writes is Indeterminate, since the next primary may keep
// or drop their entries. Pending reads are rejected.
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
