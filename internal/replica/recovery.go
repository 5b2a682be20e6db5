package replica

import (
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

// recoveryState says whether an instance's copy may be trusted.
type recoveryState uint8

const (
	current    recoveryState = iota // the copy has all entries that the controllers require
	unverified                      // the copy is from before the process started, and no other node has shown it to be complete
	verifying                       // the node, as primary, waits until each replica has shown that it has no more entries than this copy
	fenced                          // another node has reported a later epoch
	incomplete                      // the copy lacks entries that the controllers require
)

// String returns the name of the state.
func (s recoveryState) String() string {
	return [...]string{"current", "unverified", "verifying", "fenced", "incomplete"}[s]
}

// recovery holds the facts that decide whether a copy may be trusted. They are separate fields because one fact can
// outlive another: a copy that is incomplete and unverified may still be unverified once it is complete. The zero value
// gives the recoveryState current.
type recovery struct {
	// primaryAtStart is set if this node was the primary at its start. OnDiskChecked clears it if the disk was
	// restored, and markComplete clears it if a verified primary has shown the copy to be complete.
	primaryAtStart     bool
	unverified         bool
	confirmedByReplica bool // a replica's log has matched this copy in the current epoch
	incomplete         bool
	awaitedReplicas    []string // replicas that have yet to show that they have no more entries than this copy
	fencedEpoch        uint64   // the latest epoch that another node has reported
	pendingReport      string   // why the copy may lack entries; empty if nothing has to be reported to the controllers
}

// state returns the most severe state that applies to a primary of the given epoch.
func (r *recovery) state(epoch uint64) recoveryState {
	switch {
	case r.incomplete:
		return incomplete
	case r.fencedEpoch > epoch:
		return fenced
	case r.awaitsConfirmation():
		return verifying
	case r.unverified:
		return unverified
	}
	return current
}

// trusted reports whether a primary of the given epoch may serve from the copy.
func (r *recovery) trusted(epoch uint64) bool { return r.state(epoch) <= unverified }

func (r *recovery) awaitsConfirmation() bool { return len(r.awaitedReplicas) > 0 }

// startVerification makes this node wait until each of the replicas has shown that the replica's copy has no more entries
// than this node's copy.
func (r *recovery) startVerification(replicas []string) { r.awaitedReplicas = slices.Clone(replicas) }

// retainAwaited stops waiting for nodes that are no longer among the replicas.
func (r *recovery) retainAwaited(replicas []string) {
	r.awaitedReplicas = slices.DeleteFunc(r.awaitedReplicas, func(name string) bool { return !slices.Contains(replicas, name) })
}

// confirmedBy stops waiting for a replica that has shown that it has no more entries than this copy.
func (r *recovery) confirmedBy(name string) {
	r.awaitedReplicas = slices.DeleteFunc(r.awaitedReplicas, func(n string) bool { return n == name })
}

// markComplete records that a primary has shown all its entries to be in the copy. If the primary's own
// copy is unverified, an unverified copy on this node stays unverified.
func (r *recovery) markComplete(primaryUnverified bool) {
	r.incomplete = false
	r.unverified = r.unverified && primaryUnverified
	r.primaryAtStart = r.primaryAtStart && primaryUnverified
}

// diskState says whether the node's disk was restored from an older image before this start.
type diskState uint8

const (
	diskUnchecked diskState = iota // it is not known yet whether the disk is an older image
	diskCurrent                    // no later state of the disk is known
	diskRestored                   // the disk is an older image
)

// OnDiskChecked records, before the first lease of this incarnation, whether the node's disk was restored from an older
// image. The disk was restored if the controllers know of more records on it than it had at the start. Each copy on a
// restored disk is unverified until a node with a verified copy has shown it to be complete.
//
// Without the check, a node could serve from a restored disk that lacks acknowledged entries, and report nothing. That
// could happen if the disks of the primary and of a replica were restored at once, or if the disk of a primary without
// replicas was restored. Only a node with a later copy can tell which entries are missing. The copies therefore stay
// unverified until such a node has shown them to be complete. If the controllers' record count belongs to another disk,
// complete copies are reported as unverified, which has no other effect.
func (m *Manager) OnDiskChecked(now tick.Tick, restored bool) {
	m.disk = diskCurrent
	if !restored {
		return
	}
	m.disk = diskRestored
	m.host.Notify(Event{Kind: EventDisk, Reason: "it was put back: the keepers have heard of more on it than there is"})
	for _, inst := range m.tracked {
		r := &inst.recovery
		a := &inst.assignment
		r.unverified = r.unverified || r.primaryAtStart && a.agreed.EverServed && a.involves(m.self)
		r.primaryAtStart = false
		if r.unverified && a.agreed.Primary == m.self && inst.serving.state == stopped {
			r.startVerification(a.agreed.Replicas)
		}
	}
}

// UnverifiedCopy is an instance that its primary serves although the primary's copy may lack acknowledged entries.
type UnverifiedCopy struct {
	Instance string `json:"name"`
	Epoch    uint64 `json:"epoch"`
	Index    uint64 `json:"seq"` // index of the last entry in the copy
	Reason   string `json:"why"`
}

// AllVerified reports whether the disk was not restored, or each copy on the restored disk is verified or has been
// reported as unverified. It returns false until OnDiskChecked is called. If it returns true, the caller may call
// ConfirmCurrent of the instance store.
func (m *Manager) AllVerified() bool {
	return m.disk == diskCurrent || m.disk == diskRestored && !slices.ContainsFunc(m.tracked, func(inst *instance) bool {
		return inst.recovery.pendingReport != "" || inst.recovery.unverified && inst.assignment.involves(m.self)
	})
}

// UnverifiedCopies returns the instances that the node serves although their copies may lack entries. It omits the
// instances whose report the controllers have received (see OnUnverifiedReported). It returns at most limit instances,
// sorted by name.
func (m *Manager) UnverifiedCopies(limit int) (copies []UnverifiedCopy) {
	for _, inst := range m.tracked {
		if inst.recovery.pendingReport != "" && len(copies) < limit {
			copies = append(copies, UnverifiedCopy{Instance: inst.name, Epoch: inst.assignment.agreed.Epoch,
				Index: inst.local.log.LastIndex(), Reason: inst.recovery.pendingReport})
		}
	}
	return copies
}

// OnUnverifiedReported records that the controllers have been told of unverified copies.
func (m *Manager) OnUnverifiedReported(now tick.Tick, copies []UnverifiedCopy) {
	for _, c := range copies {
		if inst := m.instances[c.Instance]; inst != nil && inst.recovery.pendingReport == c.Reason {
			inst.recovery.pendingReport = ""
			m.announceLog(now, inst)
		}
	}
}

// serveUnverified lets a primary serve from an unverified copy. Only a node with all entries can tell a disk that was
// restored within an incarnation from a complete one. If no such node can be reached, the primary serves all the same,
// and reports that entries may be missing.
func (m *Manager) serveUnverified(inst *instance) {
	epoch := inst.assignment.agreed.Epoch
	reason := "its copy is of before its restart, and nobody has shown since that it is whole"
	if m.disk == diskRestored {
		reason = "its disk was put back, and nobody has shown that its copy is whole"
	}
	m.host.Notify(Event{Kind: EventUnverified, Instance: inst.name, Epoch: epoch, Reason: reason})
	inst.recovery.unverified = false
	if m.disk != diskUnchecked {
		inst.recovery.pendingReport = fmt.Sprintf("%s went on from effect %d at epoch %d: %s", m.self, inst.local.log.LastIndex(), epoch, reason)
	}
}
