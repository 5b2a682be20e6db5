package fleetsim

import (
	"fmt"
	"io"
	"slices"

	"silvercove/internal/membership"
	"silvercove/internal/tick"
)

// membersOnly returns the size of a fleet of n members without instances. A fifth of them are relays, whose load reports change at
// each report interval.
func membersOnly(n int) Size {
	return Size{Relays: n / 5, Nodes: n - n/5 - 5, Zones: max(2, n/50), Controllers: 5, Lease: 5, Dwell: 30, RestartAfter: 30, Replicas: 1,
		ReportInterval: tick.Second / 10, UplinkRate: 1e9, MembershipTimeout: 1}
}

// Load is the gossip traffic per member and second. Messages and Bytes are either averages over a span, or each the maximum
// over the seconds of a span.
type Load struct {
	Messages, Bytes float64 // number of messages and bytes per member and second
	MaxMemberBytes  int     // maximum of the bytes that one member sent and received in one second
}

// MembershipViews describes how the members of a fleet detect changes of some members, and how much traffic this costs. The
// silence timeout is one second.
type MembershipViews struct {
	Members                  int
	Baseline, AfterPartition Load
	ZoneRecovered            tick.Tick // time from the end of a zone's partition until all members see the true states of each other
	// Dead, Slow, Restarted and Wiped each hold two times. The first is the time from the change until half of the running
	// members see it. The second is the time from the change until all of them see it.
	Dead, Slow, Restarted, Wiped [2]tick.Tick
	Unreachable                  tick.Tick // time until two members that are cut off from each other both see each other as unreachable; they must not see each other as dead
	Superseded                   tick.Tick // time until an earlier incarnation that runs again detects that it is superseded
	Fault                        string    // description of a wrong view of a member or of a broken rule; "" if there is neither
}

// Names of the members that a memberObservation changes.
const (
	deadMember      = "edge-1" // crashes and stays down
	cutMember       = "edge-2" // is cut off from cutPeer
	cutPeer         = "edge-3"
	slowMember      = "edge-4" // replies late to pings
	restartedMember = "edge-5" // restarts with its disk
	wipedMember     = "edge-6" // restarts with an erased disk
)

// cutZone is the index of the zone that a partition cuts off.
const cutZone = 1

// ObserveMembers simulates the membership of a fleet of n members while faults occur. One member crashes and stays down, two
// are cut off from each other, and one is slow. One restarts with its disk, and one with an erased disk. An earlier incarnation
// of a member runs again, and a zone is cut off for 20 s.
func ObserveMembers(seed uint64, n int) MembershipViews {
	return observeMembers(seed, n, disabledDefences{})
}

// memberObservation is the state of one run of observeMembers. observeMembers calls measureBaseline, playMembers, playOldCopy,
// playZone and summarize once each, in this order.
type memberObservation struct {
	fleet         *Fleet
	group         *memberGroup
	result        MembershipViews
	detectedAt    map[string][]tick.Tick // by name of the changed member: times at which other members detected the change
	restartSeenAt map[string][]tick.Tick // by name of the restarted member: times at which another member was found to know of its second incarnation
}

func observeMembers(seed uint64, n int, disabled disabledDefences) MembershipViews {
	f := New(seed, membersOnly(n))
	f.disabled = disabled
	s := &memberObservation{fleet: f, group: f.members, detectedAt: map[string][]tick.Tick{}, restartSeenAt: map[string][]tick.Tick{}}
	s.result.Members = len(s.group.members)
	s.group.onChange = s.onMemberChange
	s.measureBaseline()
	begin := f.now
	s.playMembers()
	s.playOldCopy()
	s.playZone()
	for f.now < begin+300*tick.Second && (len(s.detectedAt[slowMember]) < len(s.group.members)-2 || len(s.detectedAt[deadMember]) < len(s.group.members)-1) {
		f.Run(2 * tick.Second)
	}
	s.summarize(begin)
	return s.result
}

// onMemberChange records a change of the state in which member m sees another member.
func (s *memberObservation) onMemberChange(m *member, changed membership.Member) {
	record := func(name string) { s.detectedAt[name] = append(s.detectedAt[name], s.fleet.now) }
	switch pair := changed.Name == cutMember && m.endpoint.name == cutPeer || changed.Name == cutPeer && m.endpoint.name == cutMember; {
	case changed.Name == deadMember && changed.State == membership.StateDead:
		record(deadMember)
	case pair && changed.State == membership.StateUnreachable:
		record(cutMember)
	case pair && changed.State == membership.StateDead && s.fleet.zones[cutZone].partitions == 0:
		s.result.Fault = "a member that is cut off from one other member is considered dead"
	case changed.Name == slowMember && changed.State == membership.StateSlow:
		record(slowMember)
	}
}

// measureBaseline measures the traffic of members while nothing changes.
func (s *memberObservation) measureBaseline() {
	const span = 10 * tick.Second
	s.fleet.Run(20 * tick.Second)
	s.group.resetCounts()
	s.fleet.Run(span)
	memberSeconds := float64(len(s.group.members)) * seconds(span)
	s.result.Baseline = Load{Messages: float64(s.group.Messages) / memberSeconds, Bytes: float64(s.group.Bytes) / memberSeconds, MaxMemberBytes: s.group.WorstOne}
}

// playMembers crashes, cuts off, slows and restarts single members (see deadMember and the constants after it). It records
// when other members learn of the second incarnations of restartedMember and wipedMember.
func (s *memberObservation) playMembers() {
	f := s.fleet
	f.Play(mustScript("30100 crash edge-1 for 9000000\n30100 part edge-2 edge-3 for 9000000\n30100 crash edge-5 for 2000\n30100 wipe edge-6 for 2000"))
	s.group.byName[slowMember].replyDelay = 300 * milli
	for range 40 * 4 {
		f.Run(tick.Second / 4)
		for _, name := range []string{restartedMember, wipedMember} {
			n := 0
			for _, m := range s.group.members {
				if seen, _ := m.table.Member(name); seen.Incarnation == 2 && seen.StartedEmpty == (name == wipedMember) {
					n++
				}
			}
			for len(s.restartSeenAt[name]) < n {
				s.restartSeenAt[name] = append(s.restartSeenAt[name], f.now)
			}
		}
	}
}

// playOldCopy runs the first incarnation of a restarted member beside the second one.
func (s *memberObservation) playOldCopy() {
	f := s.fleet
	old := s.group.startOldCopy(s.group.byName[restartedMember], 1)
	from := f.now
	for f.now < from+30*tick.Second && !old.table.Superseded() {
		f.Run(tick.Second / 10)
	}
	s.result.Superseded = f.now - from
	old.stopped = true
	if !old.table.Superseded() {
		s.result.Fault = "an earlier incarnation does not detect that it is superseded"
	}
}

// playZone cuts a zone off for 20 s and measures the time and the traffic after the partition ends.
func (s *memberObservation) playZone() {
	f, c := s.fleet, s.group
	f.Play(mustScript(fmt.Sprintf("%d split %s for 20000", f.now/milli+1, f.zones[cutZone].name)))
	f.Run(20*tick.Second + 2*milli)
	heal := f.now
	c.resetCounts()
	for f.now < heal+120*tick.Second && !s.allConverged() {
		f.Run(tick.Second / 2)
	}
	s.result.ZoneRecovered = f.now - heal
	if !s.allConverged() {
		s.result.Fault = "not all members see the zone after its partition ended"
	}
	f.Run(max(0, heal+10*tick.Second-f.now))
	members := float64(len(c.members))
	s.result.AfterPartition = Load{Messages: float64(c.WorstMessages) / members, Bytes: float64(c.WorstBytes) / members, MaxMemberBytes: c.WorstOne}
}

// allConverged reports whether each member sees every other member as alive or slow. It skips the dead member's own view, the
// states in which other members see the dead and the slow member, and the states in which cutMember and cutPeer see each other.
func (s *memberObservation) allConverged() bool {
	at := func(name string) *member { return s.group.byName[name] }
	for _, m := range s.group.members {
		for _, o := range s.group.members {
			state := s.group.stateSeen(m, o.endpoint.name)
			excluded := o == at(deadMember) || m == at(deadMember) || o == at(slowMember) ||
				o == at(cutMember) && m == at(cutPeer) || o == at(cutPeer) && m == at(cutMember)
			if !excluded && state != membership.StateAlive && state != membership.StateSlow {
				return false
			}
		}
	}
	return true
}

// summarize computes, for each change, the times until half of the members and until all of them saw it.
func (s *memberObservation) summarize(begin tick.Tick) {
	halfAndAll := func(detected []tick.Tick, from tick.Tick, want int) (times [2]tick.Tick) {
		slices.Sort(detected)
		if len(detected) < want {
			s.result.Fault = fmt.Sprintf("%d of %d members detected a change", len(detected), want)
			return times
		}
		return [2]tick.Tick{detected[want/2] - from, detected[want-1] - from}
	}
	others := len(s.group.members) - 1
	s.result.Dead = halfAndAll(s.detectedAt[deadMember], begin, others)
	s.result.Slow = halfAndAll(s.detectedAt[slowMember], begin, others-1) // -1: the dead member detects nothing
	s.result.Restarted = halfAndAll(s.restartSeenAt[restartedMember], begin+2*tick.Second, others)
	s.result.Wiped = halfAndAll(s.restartSeenAt[wipedMember], begin+2*tick.Second, others)
	s.result.Unreachable = halfAndAll(s.detectedAt[cutMember], begin, 2)[1]
	for _, m := range s.group.members {
		if seen, _ := m.table.Member(restartedMember); seen.Incarnation < 2 && m != s.group.byName[deadMember] {
			s.result.Fault = "a member accepts an earlier incarnation"
		}
	}
	if s.fleet.Broken() != "" {
		s.result.Fault = s.fleet.Broken()
	}
}

// mustScript parses a script that is part of the program.
func mustScript(text string) Script {
	s, err := ParseScript(text)
	if err != nil {
		panic(err)
	}
	return s
}

// MembershipTable writes a Markdown table of the results of ObserveMembers for fleets of several sizes.
func MembershipTable(w io.Writer, seed uint64, sizes []int) {
	_, _ = fmt.Fprintln(w, "| members | baseline: messages, bytes per member and second | worst second after a partition | most bytes of one member in a second | dead: half, all, s | slow | restarted | disk erased | cut off | superseded | zone seen by all again |")
	_, _ = fmt.Fprintln(w, "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	formatTimes := func(t [2]tick.Tick) string { return fmt.Sprintf("%.1f, %.1f", seconds(t[0]), seconds(t[1])) }
	for _, n := range sizes {
		s := ObserveMembers(seed, n)
		_, _ = fmt.Fprintf(w, "| %d | %.0f, %.0f | %.0f, %.0f | %d | %s | %s | %s | %s | %.1f | %.1f | %.1f |", s.Members, s.Baseline.Messages, s.Baseline.Bytes,
			s.AfterPartition.Messages, s.AfterPartition.Bytes, s.AfterPartition.MaxMemberBytes, formatTimes(s.Dead), formatTimes(s.Slow), formatTimes(s.Restarted), formatTimes(s.Wiped), seconds(s.Unreachable), seconds(s.Superseded),
			seconds(s.ZoneRecovered))
		if s.Fault != "" {
			_, _ = fmt.Fprintf(w, " %s", s.Fault)
		}
		_, _ = fmt.Fprintln(w)
	}
}
