package membership

import (
	"maps"
	"slices"

	"silvercove/internal/tick"
)

const (
	probesPerSilence         = 8   // turns of probing within a silence
	largeFleet               = 32  // members; of more, records are sent as many times less often as they are more
	maxTargets               = 4   // members probed in turn, in one turn of probing
	maxMissedTargets         = 8   // members that do not answer, probed again in one turn
	payloadSendsPerHeartbeat = 20  // times that changed payloads may be sent within a heartbeat period
	fleetSyncs               = 8.0 // exchanges of whole states within a silence, by all that live together
	maxSyncs                 = 4.0 // by one
)

// ProbeTargets are the members to probe now, and is called each ProbeInterval: those that have not answered, and some
// others in turn, each within four silences, or of more than 96 within as many more as they are more, so that it costs no
// more.
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

// ProbeInterval is how often ProbeTargets, Reassess and Heartbeat are due.
func (t *Table) ProbeInterval() tick.Tick { return max(1, t.silence/probesPerSilence) }

// heartbeatPeriod is how often a member's record is sent at least: the more members, the less often.
func (t *Table) heartbeatPeriod() tick.Tick { return t.silence * tick.Tick(1+len(t.byName)/largeFleet) }

// Heartbeat reports whether the own record is to be sent again: a heartbeat period after it was sent last, so that others
// know that this process lives, or with changed payloads a part of that. Guards against payloads that change each time
// that a relay looks, which every member passes on: in a large fleet they would fill the links between members.
func (t *Table) Heartbeat(now tick.Tick) bool {
	changed := len(t.unsent) > 0 && now >= t.lastSentAt+t.heartbeatPeriod()/payloadSendsPerHeartbeat
	if now < t.heartbeatDue && !changed {
		return false
	}
	t.renewOwnRecord(now)
	return true
}

// Leave has the own record say that this process ends on purpose.
func (t *Table) Leave() {
	t.self.Left = true
	t.renewOwnRecord(t.lastSentAt)
}

// renewOwnRecord has the own record hold what was published, under a new sequence.
func (t *Table) renewOwnRecord(now tick.Tick) {
	maps.Copy(t.self.Payloads, t.unsent)
	clear(t.unsent)
	t.self.Sequence++
	t.lastSentAt, t.heartbeatDue = now, now+t.heartbeatPeriod()
}

// SyncCount is with how many of those that are held to be gone a process exchanges whole states within a silence; it
// lives itself, and so many do as it sees it. random is from 0 to 1. All that live together do it fleetSyncs times: a
// split that heals is over by one that gets through, and whole states of large fleets are large. Guards against every
// member of one side asking every one of the other when a zone is back; hurts where links lose most of what is sent, as
// few try.
func SyncCount(alive, gone int, random float64) int {
	each := min(maxSyncs, fleetSyncs/float64(max(1, alive)))
	return min(gone, int(each+random))
}
