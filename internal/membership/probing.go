package membership

import (
	"maps"
	"slices"

	"silvercove/internal/tick"
)

const (
	probesPerSilence         = 8   // rounds of probing within a silence timeout
	membersPerSilence        = 32  // the heartbeat period grows by one silence timeout for each membersPerSilence members
	maxTargets               = 4   // maximum number of members that one round probes because it is their turn (see ProbeTargets)
	maxMissedTargets         = 8   // maximum number of members with missed probes that one round probes again
	payloadSendsPerHeartbeat = 20  // maximum number of times that one member sends changed payloads within a heartbeat period
	fleetSyncs               = 8.0 // target for the mean number of exchanges of whole states within a silence timeout, by all live members on one side of a split together (see SyncCount)
	maxSyncs                 = 4.0 // maximum number of exchanges of whole states within a silence timeout, by one member
)

// ProbeTargets returns the members to probe now. It is called every ProbeInterval. The targets are members that have
// missed probes, and some of the other members in turn. With up to 128 members, each has its turn within four silence
// timeouts. From 96 members on, maxTargets members have their turn in each round. The time between two turns of a
// member then grows in proportion to the number of members.
func (t *Table) ProbeTargets() []string {
	var names []string
	for _, e := range t.byName {
		if e.missedProbes > 0 && e.State != StateDead && !e.left && len(names) < maxMissedTargets {
			names = append(names, e.Name)
		}
	}
	for range min(1+len(t.byName)/(4*probesPerSilence), maxTargets, len(t.byName)) {
		e := t.byName[t.nextTarget%len(t.byName)]
		t.nextTarget++
		if e.Name != t.self.Name && !slices.Contains(names, e.Name) {
			names = append(names, e.Name)
		}
	}
	return names
}

// ProbeInterval returns the time between two rounds of ProbeTargets, Reassess and Heartbeat.
func (t *Table) ProbeInterval() tick.Tick { return max(1, t.silence/probesPerSilence) }

// heartbeatPeriod is the longest time between two sends of a member's record. It grows with the number of members.
func (t *Table) heartbeatPeriod() tick.Tick {
	return t.silence * tick.Tick(1+len(t.byName)/membersPerSilence)
}

// Heartbeat reports whether this process's record must be sent again, and if so renews the record. The record is due
// one heartbeat period after it was last sent, so that other members know that this process is alive. Changed payloads
// are sent sooner, but at most payloadSendsPerHeartbeat times within a heartbeat period. A relay's load report is a
// payload that changes with each measurement, and every member passes it on. Without the maximum, the load reports
// would fill the links between members of a large fleet.
func (t *Table) Heartbeat(now tick.Tick) bool {
	changed := len(t.unsent) > 0 && now >= t.lastSentAt+t.heartbeatPeriod()/payloadSendsPerHeartbeat
	if now < t.heartbeatDue && !changed {
		return false
	}
	t.renewOwnRecord(now)
	return true
}

// Leave renews this process's record and marks it as the record of a member that leaves on purpose.
func (t *Table) Leave() {
	t.self.Left = true
	t.renewOwnRecord(t.lastSentAt)
}

// renewOwnRecord puts the published payloads into this process's record, and gives the record a new sequence.
func (t *Table) renewOwnRecord(now tick.Tick) {
	maps.Copy(t.self.Payloads, t.unsent)
	clear(t.unsent)
	t.self.Sequence++
	t.lastSentAt, t.heartbeatDue = now, now+t.heartbeatPeriod()
}

// SyncCount returns the number of members with which a process exchanges whole states within a silence timeout. The
// parameter alive is the number of members that the process considers alive, itself included. The parameter gone is the
// number of the other members. The parameter random is a random number from 0 to 1. All live members together make about
// fleetSyncs exchanges within a silence timeout.
//
// A low fleetSyncs is enough, because the first exchange that succeeds after the links are back ends a split. It limits
// the load: otherwise every member on one side of a split would send its whole state, which is large in a large fleet, to
// every member on the other side. If links lose most packets, the low number delays the end of a split.
func SyncCount(alive, gone int, random float64) int {
	each := min(maxSyncs, fleetSyncs/float64(max(1, alive)))
	return min(gone, int(each+random))
}
