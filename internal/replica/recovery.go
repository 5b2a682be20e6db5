package replica

import (
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

// recoveryState says whether an instance's copy may be trusted.
type recoveryState uint8

const (
	current    recoveryState = iota // all that the controllers count on is there
	unverified                      // it is from before the start, and no other node has shown since that it is complete
	verifying                       // a restarted primary's: replicas are to show first that none of them has more
	fenced                          // another node has told of a later epoch
	incomplete                      // the controllers count on entries that are not there
)

// String is the state in a word.
func (s recoveryState) String() string {
	return [...]string{"current", "unverified", "verifying", "fenced", "incomplete"}[s]
}

// recovery is what is known of whether a copy may be trusted. Its facts are kept apart, as one outlives the other: a
// copy that is both incomplete and unverified is unverified once it is complete. The zero value is current.
type recovery struct {
	primaryAtStart     bool // this node was its primary at the start: before OnDiskChecked nobody knows whether it is complete
	unverified         bool
	confirmedByReplica bool // a replica of this epoch has shown what it has
	incomplete         bool
	awaitedReplicas    []string // replicas that have yet to show that they have nothing more
	fencedEpoch        uint64   // the latest epoch that another node told of
	pendingReport      string   // why the copy may lack entries, while the controllers are to be told
}

// state is the most severe of what holds at an epoch.
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

// trusted tells whether a primary of an epoch may serve from the copy.
func (r *recovery) trusted(epoch uint64) bool { return r.state(epoch) <= unverified }

func (r *recovery) awaitsConfirmation() bool { return len(r.awaitedReplicas) > 0 }

// verify has all replicas show what they have.
func (r *recovery) startVerification(replicas []string) { r.awaitedReplicas = slices.Clone(replicas) }

// keepConfirmers waits no longer for nodes that are no replicas.
func (r *recovery) retainAwaited(replicas []string) {
	r.awaitedReplicas = slices.DeleteFunc(r.awaitedReplicas, func(name string) bool { return !slices.Contains(replicas, name) })
}

// confirmedBy waits no longer for a replica that has shown that it has nothing more.
func (r *recovery) confirmedBy(name string) {
	r.awaitedReplicas = slices.DeleteFunc(r.awaitedReplicas, func(n string) bool { return n == name })
}

// completed takes in that a primary has shown all that it has to be there; its own copy may be unverified.
func (r *recovery) markComplete(primaryUnverified bool) {
	r.incomplete = false
	r.unverified = r.unverified && primaryUnverified
	r.primaryAtStart = r.primaryAtStart && primaryUnverified
}

// diskState is what is known of the node's disk.
type diskState uint8

const (
	diskUnchecked diskState = iota // whether it was restored before this start
	diskCurrent                    // no later state of it is known
	diskRestored                   // it is an older image
)

// OnDiskChecked tells, before the first lease of this incarnation, whether the node's disk was restored from an older
// image: the controllers have heard of more on it than there was at the start. What there is of each instance is
// unverified then until a node that does not doubt its own has shown it to be complete.
//
// Guards against serving without acknowledged entries: seen as a disk with fewer records than the controllers have heard
// of, of primary and replica at once, or of a primary without replicas; holds because only a node with a later copy can
// tell. A count that is not of this disk has copies told as unverified for nothing.
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

// UnverifiedCopy is an instance that its primary goes on with though it may lack entries that were acknowledged.
type UnverifiedCopy struct {
	Instance string `json:"name"`
	Epoch    uint64 `json:"epoch"`
	Index    uint64 `json:"seq"` // of the last entry that there is
	Reason   string `json:"why"`
}

// AllVerified tells whether no copy on this disk is unverified any more, nor to be told: what is written from now on counts.
func (m *Manager) AllVerified() bool {
	return m.disk == diskCurrent || m.disk == diskRestored && !slices.ContainsFunc(m.tracked, func(inst *instance) bool {
		return inst.recovery.pendingReport != "" || inst.recovery.unverified && inst.assignment.involves(m.self)
	})
}

// UnverifiedCopies are the instances that the node goes on with though they may lack entries, at most so many, by name:
// the controllers are to be told. OnUnverifiedReported says that they were.
func (m *Manager) UnverifiedCopies(limit int) (copies []UnverifiedCopy) {
	for _, inst := range m.tracked {
		if inst.recovery.pendingReport != "" && len(copies) < limit {
			copies = append(copies, UnverifiedCopy{Instance: inst.name, Epoch: inst.assignment.agreed.Epoch,
				Index: inst.local.log.LastIndex(), Reason: inst.recovery.pendingReport})
		}
	}
	return copies
}

// OnUnverifiedReported tells that the controllers have been told of unverified copies.
func (m *Manager) OnUnverifiedReported(now tick.Tick, copies []UnverifiedCopy) {
	for _, c := range copies {
		if inst := m.instances[c.Instance]; inst != nil && inst.recovery.pendingReport == c.Reason {
			inst.recovery.pendingReport = ""
			m.announceLog(now, inst)
		}
	}
}

// proceedUnverified has a primary serve from an unverified copy. A disk that was restored within an incarnation is told
// from one that is complete by a node that has all, and by nothing else: where none can be reached the primary goes on,
// as after a mere restart, and tells that entries may be missing.
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
