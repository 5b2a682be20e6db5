package fleetsim

import (
	"fmt"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// playUntilQuiet runs a script in a fleet for the number of seconds in the parameter until. The run then continues until
// Fleet.Quiet reports true, for at most the number of seconds in the parameter quiet. The test fails if Fleet.Quiet reports
// false at the end, or if a rule is broken.
func playUntilQuiet(t *testing.T, s Size, text string, until, quiet int) *Fleet {
	t.Helper()
	f := New(11, s)
	f.Play(script(t, text))
	f.Run(tick.Tick(until) * tick.Second)
	end := f.now
	since, ok := f.Quiet()
	for !ok && f.Broken() == "" && f.now < end+tick.Tick(quiet)*tick.Second {
		f.Run(tick.Second)
		since, ok = f.Quiet()
	}
	k := &f.checker
	t.Logf("quiet %.1f s after %d s; %d moves, %d at once, %d crashes, longest time without a primary %.1f s; %d requests, %d succeeded, %d rejected, %d unknown; %d lost",
		max(0, float64(since-end)/float64(tick.Second)), until, k.Moves, k.MostMoves, k.Crashes, float64(k.longestIdle)/float64(tick.Second), k.Requests,
		k.Succeeded, k.Rejected, k.Unknown, k.Lost)
	if f.Broken() != "" || !ok {
		text := f.Timeline()
		t.Errorf("%s %s\n%s", f.Broken(), f.describeUnsettled(), text[max(0, len(text)-4000):])
	}
	return f
}

// fleetOf returns the size of a fleet with 5 controllers and the given numbers of nodes, zones and instances. Its lease is 2 s,
// and its dwell time and restart_after are 10 s. Each of these times is longer than in Small and shorter than in Large.
func fleetOf(nodes, zones, instances int) Size {
	s := Large(nodes)
	s.Zones, s.Instances, s.Lease, s.Dwell, s.RestartAfter, s.Controllers = zones, instances, 2, 10, 10, 5
	return s
}

// All 5,000 devices of a zone move into a zone whose batteries are low while its uplink degrades. No instance may
// lose acknowledged effects of requests.
func TestFleet_5000DevicesMoveToZoneWithLowBatteriesAndSlowUplink(t *testing.T) {
	s := fleetOf(200, 4, 20000)
	if testing.Short() {
		s = fleetOf(20, 4, 2000)
	}
	f := playUntilQuiet(t, s, "10000 swarm zone-1 zone-2 for 60000 by 1\n10000 radio zone-2 for 60000 by 0.01\n9000 tiredzone zone-2 for 50000", 75, 900)
	if f.checker.Lost > 0 {
		t.Errorf("%d instances lost effects", f.checker.Lost)
	}
}

// The clocks of all relays jump forward by one hour. At most 2 percent of the requests may fail, and at least 90 percent must succeed.
func TestFleet_RelayClocksJumpByOneHour(t *testing.T) {
	f := playUntilQuiet(t, fleetOf(20, 4, 400), "20000 clock all by 1", 40, 60)
	if k := &f.checker; k.Rejected+k.Unknown > k.Requests/50 || k.Succeeded < k.Requests*9/10 {
		t.Errorf("of %d requests %d succeeded, %d rejected, %d unknown", k.Requests, k.Succeeded, k.Rejected, k.Unknown)
	}
}

// A third of the nodes is cut off from all other processes again and again for ten minutes. No effects may be lost, and at most
// 64 moves may be under way at once.
func TestFleet_ThirdOfNodesFlapsForTenMinutes(t *testing.T) {
	text := ""
	for i := range 10 {
		for at := 10 + i; at < 610; at += 7 + i {
			text += fmt.Sprintf("%d alone edge-%d for %d\n", at*1000, 3*i+1, 500*(1+(at+i)%9))
		}
	}
	f := playUntilQuiet(t, fleetOf(30, 5, 300), text, 615, 120)
	if k := &f.checker; k.Lost > 0 || k.MostMoves > 64 {
		t.Errorf("%d instances lost effects, %d moves at once", k.Lost, k.MostMoves)
	}
}

// One controller has a slow disk. If that controller is a follower, the longest time without a primary must be at most 0.5 s
// more than with fast disks. If it is the leader, the longest time must be at most 3 s.
func TestFleet_OneSlowControllerDisk(t *testing.T) {
	swarm := "\n12000 swarm zone-1 zone-2 for 20000 by 0.5"
	worst := map[string]tick.Tick{}
	for _, slowDisk := range []string{"keeper-1", "keeper-2", ""} { // in this order: the leader has the slow disk, a follower has it, no controller has it
		text := swarm
		if slowDisk != "" {
			text = fmt.Sprintf("5000 slowdisk %s for 60000 by 0.5", slowDisk) + swarm
		}
		f := playUntilQuiet(t, fleetOf(20, 4, 400), text, 70, 60)
		worst[slowDisk] = f.checker.longestIdle
	}
	if worst["keeper-2"] > worst[""]+tick.Second/2 {
		t.Errorf("with a follower's slow disk an instance was without a primary for %d ms, with fast disks for %d ms",
			worst["keeper-2"]/milli, worst[""]/milli)
	}
	if worst["keeper-1"] > 3*tick.Second {
		t.Errorf("with the leader's slow disk an instance was without a primary for %d ms", worst["keeper-1"]/milli)
	}
}

// An instance that crashes each node that serves it must be quarantined, and all other instances must run.
func TestFleet_PoisonedInstanceIsQuarantined(t *testing.T) {
	f := playUntilQuiet(t, fleetOf(20, 4, 400), "10000 poison cam-1 for 120000", 130, 120)
	p, _ := f.cluster.table.Get("cam-1")
	if p.State != placement.Quarantined || f.checker.Crashes > 7 { // at most 7 crashes: twice the default of fleet.falls, which is 3, plus the crash that the fault itself causes
		t.Errorf("instance is %s after %d crashes of nodes", p.State, f.checker.Crashes)
	}
	for _, c := range f.devices[1:] {
		if p, _ := f.cluster.table.Get(c.name); p.State != placement.Running {
			t.Errorf("%s: %s", c.name, p.State)
		}
	}
}

// Two more processes run under the name of a node from images of its disk. No effects may be lost.
func TestFleet_NodeRestoredFromImageTwiceUnderOneName(t *testing.T) {
	f := playUntilQuiet(t, fleetOf(20, 4, 400), "10000 twin edge-1 for 60000\n11000 twin edge-1 for 50000\n30000 crash edge-1 for 10000", 75, 60)
	if f.checker.Lost > 0 {
		t.Errorf("%d instances lost effects", f.checker.Lost)
	}
}

// A zone of a large fleet is cut off for 30 s. When the partition ends, all delayed changes of assignments arrive at once. No
// effects may be lost.
func TestFleet_ZonePartitionHeals(t *testing.T) {
	s := fleetOf(100, 5, 10000)
	if testing.Short() {
		s = fleetOf(20, 4, 1000)
	}
	s.RestartAfter = 60 // longer than the partition; otherwise the zone's instances restart elsewhere without their data
	f := playUntilQuiet(t, s, "10000 split zone-1 for 30000", 40, 300)
	if f.checker.Lost > 0 {
		t.Errorf("%d instances lost effects", f.checker.Lost)
	}
}
