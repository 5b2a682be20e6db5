package replica

import (
	"cmp"
	"maps"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Manager decides what one edge node may do at each moment with the instances that it is primary of, replicates or
// receives a copy of. The package documentation explains how a caller uses a Manager.
type Manager struct {
	host          Host
	self          string
	incarnation   uint64
	maxStateBytes int // largest size of one instance's kept entries, in bytes
	leaseDuration tick.Tick
	lease         nodeLease
	instances     map[string]*instance
	tracked       []*instance // the instances with a copy on this node or an assignment that involves it, sorted by name
	active        []*instance // the tracked instances that OnTick processes, because the passing of time may change them, sorted by name
	disk          diskState
	diskFullUntil tick.Tick // after a failed write: nothing is written before this time
}

// instance is the state of one instance at this node.
type instance struct {
	name        string
	assignment  assignment
	local       localLog
	recovery    recovery
	serving     serving
	followers   map[string]*followerProgress // progress of the followers, by node name; used by a primary
	catchUp     catchUp                      // progress of the copy target; used by a primary
	proposal    proposal
	pendingAcks []pendingAck
	lastUsed    tick.Tick // when the last assignment, or the last message from a primary, was received
	tracked     bool      // whether the instance is in Manager.tracked
	scheduled   bool      // whether the instance is in Manager.active
	idle        bool      // result of isIdle in the last call of advance
}

// NewManager returns the manager of a node whose process starts at now.
func NewManager(host Host, now tick.Tick, config Config, initial InitialState) *Manager {
	m := &Manager{
		host:          host,
		self:          config.Node,
		incarnation:   config.Incarnation,
		maxStateBytes: config.MaxStateBytes,
		leaseDuration: config.Lease,
		lease:         nodeLease{seenVersion: initial.Version},
		instances:     map[string]*instance{},
	}
	for _, log := range initial.Logs {
		m.restoreLog(log)
	}
	assignments := slices.SortedFunc(slices.Values(initial.Assignments), func(a, b placement.Assignment) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	for _, p := range assignments {
		if m.instances[p.Instance] != nil || m.involvesSelf(p) {
			m.restoreAssignment(now, p)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.instances)) {
		m.updateTracking(m.instances[name])
	}
	return m
}

// restoreLog adds an instance in the state orphaned with a log that was on the disk at the start.
func (m *Manager) restoreLog(log Log) {
	inst := m.ensureInstance(log.Instance)
	inst.local.restore(log)
	inst.serving.acknowledged = log.LastIndex()
	inst.assignment.state = orphaned
}

// restoreAssignment sets an assignment from before this incarnation, and the recovery state of the instance's copy.
func (m *Manager) restoreAssignment(now tick.Tick, p placement.Assignment) {
	inst := m.ensureInstance(p.Instance)
	inst.assignment.set(p)
	inst.lastUsed = now
	inst.catchUp.progressAt = now
	isPrimary := p.Primary == m.self
	isReplica := slices.Contains(p.Replicas, m.self)
	if (isPrimary || isReplica) && p.EverServed && !inst.local.reaches(p.Index) {
		inst.recovery.incomplete = true
		m.host.Notify(Event{Kind: EventIncomplete, Instance: p.Instance, Epoch: p.Epoch, Reason: "no complete copy survived the restart"})
	}
	if isPrimary {
		inst.recovery.startVerification(p.Replicas)
	}
	inst.recovery.primaryAtStart = isPrimary
	inst.recovery.unverified = !isPrimary && p.EverServed && isReplica
}

// involvesSelf reports whether an assignment names this node.
func (m *Manager) involvesSelf(p placement.Assignment) bool {
	return p.Primary == m.self || p.CopyTarget == m.self || slices.Contains(p.Replicas, m.self)
}

// ensureInstance returns the instance with the given name, and creates it if there is none.
func (m *Manager) ensureInstance(name string) *instance {
	inst := m.instances[name]
	if inst == nil {
		inst = &instance{name: name, local: localLog{log: Log{Instance: name}}}
		m.instances[name] = inst
	}
	return inst
}

// updateTracking adds an instance to Manager.tracked if it has a copy here or its assignment involves this node, and
// removes it otherwise. An instance that is removed from Manager.tracked loses its followers and request IDs, but stays in
// Manager.instances with its assignment. An instance with neither assignment nor copy is released.
func (m *Manager) updateTracking(inst *instance) {
	if !inst.assignment.known() && inst.local.isAbsent() && m.instances[inst.name] == inst {
		delete(m.instances, inst.name)
	}
	tracked := !inst.local.isAbsent() || inst.assignment.involves(m.self)
	if tracked == inst.tracked {
		return
	}
	inst.tracked = tracked
	at, _ := slices.BinarySearchFunc(m.tracked, inst.name, compareName)
	if tracked {
		m.tracked = slices.Insert(m.tracked, at, inst)
		return
	}
	m.tracked = slices.Delete(m.tracked, at, at+1)
	inst.local.requests = nil
	inst.followers = nil
}

func compareName(inst *instance, name string) int { return cmp.Compare(inst.name, name) }

// OnTick handles timeouts and the end of the lease. It must be called again no later than at next.
func (m *Manager) OnTick(now tick.Tick) (next tick.Tick) {
	m.expireLease(now)
	m.advanceActive(now)
	next = now + m.leaseDuration/ticksPerLease
	if m.lease.until > now {
		next = min(next, m.lease.until)
	}
	return max(next, now+1)
}

// advanceAll calls advance for every tracked instance.
func (m *Manager) advanceAll(now tick.Tick) {
	for _, inst := range m.tracked {
		m.advance(now, inst)
	}
}

// advanceActive calls advance for the instances in Manager.active. It skips idle instances, so its cost does not depend
// on their number.
func (m *Manager) advanceActive(now tick.Tick) {
	due := m.active
	m.active = nil
	for _, inst := range due {
		inst.scheduled = false
	}
	for _, inst := range due {
		if inst.tracked {
			m.advance(now, inst)
		}
	}
}

// advance runs advanceOnce for one instance. It adds the instance to Manager.active if the passing of time alone may
// require further actions.
func (m *Manager) advance(now tick.Tick, inst *instance) {
	if inst.idle { // the replicas of an idle instance had nothing to confirm, so their confirmation timeouts begin now
		inst.resetProgressTimes(now)
	}
	m.advanceOnce(now, inst)
	inst.idle = m.isIdle(now, inst)
	if inst.tracked && !inst.idle && !inst.scheduled {
		inst.scheduled = true
		at, _ := slices.BinarySearchFunc(m.active, inst.name, compareName)
		m.active = slices.Insert(m.active, at, inst)
	}
}

// advanceOnce makes one pass over an instance. It first handles the copy, and then decides whether the node may serve
// the instance. On a primary it then handles replicas, requests and proposals, in that order.
func (m *Manager) advanceOnce(now tick.Tick, inst *instance) {
	m.deleteUnusedCopy(now, inst)
	if m.proposeReportIncomplete(now, inst) || m.proposeMarkServed(now, inst) {
		return
	}
	mayServe := m.updateServing(now, inst)
	if inst.assignment.agreed.Primary != m.self {
		m.sendPendingAcks(inst)
		return
	}
	if awaiting := inst.recovery.awaitsConfirmation() && m.HoldsLease(now); !mayServe && !awaiting {
		return
	}
	m.replicate(now, inst)
	m.completeRequests(now, inst)
	m.proposeNext(now, inst)
}

// isIdle reports whether nothing is left to do for an instance until a method is called for this instance or the lease
// ends.
func (m *Manager) isIdle(now tick.Tick, inst *instance) bool {
	if inst.hasPendingWork() {
		return false
	}
	p := &inst.assignment.agreed
	if !inst.assignment.involves(m.self) {
		// The instance is idle if deleteUnusedCopy will not delete its copy. Otherwise deleteUnusedCopy deletes the copy
		// after unusedCopyLeases lease durations without use.
		return !inst.local.present || !inst.assignment.known() || p.State != placement.Running || len(p.Replicas) == 0 ||
			inst.assignment.hasStaleCopyOn(m.self)
	}
	if p.Primary != m.self {
		return true
	}
	started := inst.serving.state != stopped
	executing := inst.serving.state == leased
	if p.State != placement.Running || !p.EverServed || p.CopyTarget != "" || started != executing || started != m.mayServe(now, inst) {
		return false
	}
	for _, name := range p.Replicas {
		if f := inst.followers[name]; f == nil || !f.isIdle(inst.local.durable) {
			return false
		}
	}
	return true
}

// hasPendingWork reports whether a write to the disk, a request, an answer to a primary or a proposal is pending, or
// the copy cannot be trusted.
func (inst *instance) hasPendingWork() bool {
	return len(inst.local.pending) > 0 || inst.local.failed || len(inst.serving.pending) > 0 || len(inst.pendingAcks) > 0 ||
		inst.proposal.inProgress() || !inst.recovery.trusted(inst.assignment.agreed.Epoch)
}

// deleteUnusedCopy deletes a copy that has not been used for unusedCopyLeases lease durations. It keeps the copy unless
// the instance runs with at least one replica. It also keeps the copy if the assignment involves this node or lists the
// copy as stale.
func (m *Manager) deleteUnusedCopy(now tick.Tick, inst *instance) {
	p := &inst.assignment.agreed
	if !inst.assignment.known() || p.State != placement.Running || len(p.Replicas) == 0 || inst.assignment.involves(m.self) ||
		inst.assignment.hasStaleCopyOn(m.self) {
		return
	}
	if inst.local.present && !inst.local.failed && now-inst.lastUsed >= unusedCopyLeases*m.leaseDuration {
		m.deleteLog(inst)
	}
}
