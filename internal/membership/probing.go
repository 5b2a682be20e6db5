package membership

import (
	"maps"
	"slices"

	"silvercove/internal/tick"
)

const (
	probesPerSilence         = 8   // rounds of probing within a silence timeout
	largeFleet               = 32  // members; each such number of members adds one silence timeout to the heartbeat period
	maxTargets               = 4   // members probed in turn in one round
	maxMissedTargets         = 8   // members with missed probes that are probed again in one round
	payloadSendsPerHeartbeat = 20  // times that changed payloads may be sent within a heartbeat period
	fleetSyncs               = 8.0 // exchanges of whole states within a silence timeout, by all live members of one side together
	maxSyncs                 = 4.0 // exchanges of whole states within a silence timeout, by one member
)

// ProbeTargets returns the members to probe now. It is called every ProbeInterval. The targets are members that have
// missed probes, and some others in turn. With up to 128 members, each has its turn within four silence timeouts. From
// 96 members on, a round has no more targets in turn, so the time between two turns grows in proportion to the number of
// members.
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

// ProbeInterval is the time between two rounds of ProbeTargets, Reassess and Heartbeat.
func (t *Table) ProbeInterval() tick.Tick { return max(1, t.silence/probesPerSilence) }

// heartbeatPeriod is the longest time between two sends of a member's record. It grows with the number of members.
func (t *Table) heartbeatPeriod() tick.Tick { return t.silence * tick.Tick(1+len(t.byName)/largeFleet) }

// Heartbeat reports whether the own record must be sent again. The record is due one heartbeat period after it was last
// sent, so that others know that this process is alive. Changed payloads are sent sooner, up to payloadSendsPerHeartbeat
// times within a heartbeat period. That bound guards against payloads that change with each measurement of a relay:
// every member passes them on, so in a large fleet they would fill the links between members.
func (t *Table) Heartbeat(now tick.Tick) bool {
	changed := len(t.unsent) > 0 && now >= t.lastSentAt+t.heartbeatPeriod()/payloadSendsPerHeartbeat
	if now < t.heartbeatDue && !changed {
		return false
	}
	t.renewOwnRecord(now)
	return true
}

// Leave marks the own record as that of a member that leaves on purpose.
func (t *Table) Leave() {
	t.self.Left = true
	t.renewOwnRecord(t.lastSentAt)
}

// renewOwnRecord puts the published payloads into the own record, under a new sequence.
func (t *Table) renewOwnRecord(now tick.Tick) {
	maps.Copy(t.self.Payloads, t.unsent)
	clear(t.unsent)
	t.self.Sequence++
	t.lastSentAt, t.heartbeatDue = now, now+t.heartbeatPeriod()
}

// SyncCount is the number of members considered gone with which a process exchanges whole states within a silence
// timeout. alive is the number of live members as the process sees them, itself included; random is drawn from 0 to 1.
// All live members together make about fleetSyncs exchanges. So few are enough, because the first exchange that succeeds
// after the links are back ends a split. Whole states of a large fleet are large, and without the bound every member of
// one side would contact every member of the other when a zone comes back. If links lose most packets, the bound delays
// the end of a split, as few members try.
func SyncCount(alive, gone int, random float64) int {
	each := min(maxSyncs, fleetSyncs/float64(max(1, alive)))
	return min(gone, int(each+random))
}
