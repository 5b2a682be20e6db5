package fleetsim

import (
	"fmt"
	"math"
	"testing"

	"silvercove/internal/membership"
	"silvercove/internal/tick"
)

// Members must detect each change in time. The number of messages per member must not grow with the size of the fleet. The
// limit on the bytes grows with the number of members up to 32. In larger fleets it grows only because each update is sent more
// often (memberGroup.maxTransmissions). The limits follow from the number of pings and packets per silence timeout, which is
// one second, and from the size of the records.
func TestObserveMembers_StatesDetectedInTimeAtBoundedCost(t *testing.T) {
	for _, n := range []int{30, 60} {
		s := ObserveMembers(5, n)
		if s.Fault != "" {
			t.Errorf("%d members: %s", n, s.Fault)
		}
		for name, c := range map[string][2]tick.Tick{"dead": {s.Dead[1], 24 * tick.Second}, "slow": {s.Slow[1], 20 * tick.Second},
			"restarted": {s.Restarted[1], 3 * tick.Second}, "disk erased": {s.Wiped[1], 3 * tick.Second},
			"cut off": {s.Unreachable, 10 * tick.Second}, "superseded": {s.Superseded, 3 * tick.Second}, "zone recovered": {s.ZoneRecovered, 40 * tick.Second}} {
			if c[0] <= 0 || c[0] > c[1] {
				t.Errorf("%d members: %s is detected by all after %d ms", n, name, c[0]/milli)
			}
		}
		// Messages per member and second: there are 8 heartbeats per second. In each of them, a member pings up to 4 members in
		// turn and up to 8 members that missed probes. Each ping has a reply. The silence timeout is one second here, so each
		// member also sends gossipFanOut*gossipsPerTimeout packets of gossip per second. All other messages together are
		// limited to 8 per second.
		maxMessages := 8*2*(4+8) + gossipFanOut*gossipsPerTimeout + 8.0
		passes := 3 * math.Ceil(math.Log10(float64(n+1)))
		// Bytes per member and second: a heartbeat period is 1+n/32 s, so the records of at most 32 members are due per second.
		// Each record has up to 300 bytes. In a heartbeat period, changed payloads cause up to 20 updates of a record. The full
		// states count as one more update of each record. The factor passes is the number of times that a member sends each
		// update.
		maxBytes := passes * (20 + 1) * float64(min(n, 32)) * 300
		for when, l := range map[string]Load{"baseline": s.Baseline, "after a partition": s.AfterPartition} {
			if l.Messages > maxMessages || l.Bytes > maxBytes || l.Bytes > gossipFanOut*gossipsPerTimeout*maxPacketBytes {
				t.Errorf("%d members, %s: %.0f messages and %.0f bytes per member and second, the limits are %.0f and %.0f", n, when, l.Messages, l.Bytes,
					maxMessages, maxBytes)
			}
		}
		if n < 60 || testing.Short() {
			continue
		}
		// A member exchanges full states with members that it considers dead, and membership.SyncCount limits their number.
		// Without this limit, there are up to 4 of them, and the traffic after a partition grows with the square of the fleet's
		// size.
		if unbounded := observeMembers(5, n, disabledDefences{rejoinAll: true}); s.AfterPartition.MaxMemberBytes*3/2 > unbounded.AfterPartition.MaxMemberBytes {
			t.Errorf("after a partition one member sends and receives %d bytes in a second; without the bound of SyncCount %d", s.AfterPartition.MaxMemberBytes, unbounded.AfterPartition.MaxMemberBytes)
		}
	}
}

// A third of the members is cut off again and again for two minutes. The other members must never consider each other dead, and
// each of them must see a bounded number of changes of a flapping member. The traffic stays bounded, and in the end all members
// are alive.
func TestMembers_ThirdFlapsForTwoMinutes(t *testing.T) {
	f := New(7, membersOnly(45))
	c := f.members
	text, flaps := "", map[string]bool{}
	for i := range 15 {
		name := fmt.Sprintf("edge-%d", 2*i+1)
		flaps[name] = true
		for at := 10 + i%7; at < 130; at += 5 + i%4 {
			text += fmt.Sprintf("%d alone %s for %d\n", at*1000, name, 500*(1+(at+i)%7))
		}
	}
	changes := map[string]int{}
	c.onChange = func(m *member, seen membership.Member) {
		if flaps[m.endpoint.name] {
			return
		}
		if flaps[seen.Name] && f.now < 130*tick.Second {
			changes[seen.Name]++
		} else if seen.State == membership.StateDead && !flaps[seen.Name] {
			t.Errorf("%s considers %s dead, which is never cut off", m.endpoint.name, seen.Name)
		}
	}
	f.Play(script(t, text))
	f.Run(10 * tick.Second)
	c.resetCounts()
	f.Run(120 * tick.Second)
	maxChanges := 0
	for _, n := range changes {
		maxChanges = max(maxChanges, n/30)
	}
	bytes := float64(c.Bytes) / 120 / 45
	t.Logf("a member sees at most %d changes of another one, %.0f bytes per member and second", maxChanges, bytes)
	if maxChanges == 0 || maxChanges > 30 || bytes > 200_000 {
		t.Errorf("a member sees %d changes of another one, %.0f bytes per member and second", maxChanges, bytes)
	}
	f.Run(60 * tick.Second)
	for _, m := range c.members {
		for _, o := range c.members {
			if state := c.stateSeen(m, o.endpoint.name); state != membership.StateAlive {
				t.Errorf("%s is %s as seen by %s", o.endpoint.name, state, m.endpoint.name)
			}
		}
	}
}
