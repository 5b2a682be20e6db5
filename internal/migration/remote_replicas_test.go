package migration_test

import (
	"fmt"
	"strings"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

func inZone(zone string, n NodeStatus) NodeStatus {
	n.Zone = zone
	return n
}

// TestPlanner_PlacesRemoteReplicas checks the proposals for an instance in the north that should have one replica, in another
// zone. Nodes n1 and n2 are in the north, s1 and s2 in the south.
func TestPlanner_PlacesRemoteReplicas(t *testing.T) {
	oneRemote := map[string]any{"fleet.away": 1.0}
	evacuating := NodeStatus{Name: "s1", Evacuating: true, Risk: 0.6}
	for _, c := range []struct {
		name     string
		settings map[string]any
		nodes    []NodeStatus
		replicas []string
		want     string
	}{
		{"without fleet.away a copy stays in the zone", nil,
			[]NodeStatus{inZone("north", healthyNode("n2", 0.3)), inZone("south", healthyNode("s1", 0.1))}, nil, "copy cam n2"},
		{"the first copy goes to another zone", oneRemote,
			[]NodeStatus{inZone("north", healthyNode("n2", 0.1)), inZone("south", healthyNode("s1", 0.3))}, nil, "copy cam s1"},
		{"a replica in the zone is not enough", oneRemote,
			[]NodeStatus{inZone("north", healthyNode("n2", 0.1)), inZone("south", healthyNode("s1", 0.3))}, []string{"n2"}, "copy cam s1"},
		{"the local replica is dropped once the remote one is ready", oneRemote,
			[]NodeStatus{inZone("north", healthyNode("n2", 0.1)), inZone("south", evacuating)}, []string{"n2", "s1"}, "drop cam n2"},
		{"one of two remote replicas is dropped", oneRemote,
			[]NodeStatus{inZone("south", healthyNode("s1", 0.1)), inZone("west", healthyNode("w1", 0.3))}, []string{"s1", "w1"}, "drop cam w1"},
		{"one remote replica is enough", oneRemote, []NodeStatus{inZone("north", healthyNode("n2", 0.1)), inZone("south", evacuating)}, []string{"s1"}, ""},
		{"single zone: a copy in it", oneRemote, []NodeStatus{inZone("north", healthyNode("n2", 0.1))}, nil, "copy cam n2"},
		{"single zone: a replica in it is enough", oneRemote, []NodeStatus{inZone("north", healthyNode("n2", 0.1))}, []string{"n2"}, ""},
		{"all remote nodes evacuating: a copy in the zone", oneRemote, []NodeStatus{inZone("north", healthyNode("n2", 0.1)), inZone("south", evacuating)}, nil, "copy cam n2"},
		{"all remote nodes evacuating: the local replica stays", oneRemote, []NodeStatus{inZone("north", healthyNode("n2", 0.1)), inZone("south", evacuating)}, []string{"n2"}, ""},
		{"a draining remote replica does not count", oneRemote,
			[]NodeStatus{inZone("north", healthyNode("n2", 0.1)), inZone("south", NodeStatus{Name: "s1", ListedDraining: true}), inZone("south", healthyNode("s2", 0.3))},
			[]string{"s1"}, "copy cam s2"},
		{"a draining remote replica is dropped first", oneRemote,
			[]NodeStatus{inZone("north", healthyNode("n2", 0.1)), inZone("south", NodeStatus{Name: "s1", ListedDraining: true}), inZone("south", healthyNode("s2", 0.3))},
			[]string{"s1", "s2"}, "drop cam s1"},
		{"no local replica is dropped while a zone is unknown", oneRemote, []NodeStatus{inZone("north", healthyNode("n2", 0.1))}, []string{"n2", "x"}, ""},
		{"of two replicas one is local, one remote", map[string]any{"fleet.copies": 2.0, "fleet.away": 1.0},
			[]NodeStatus{inZone("north", healthyNode("n2", 0.1)), inZone("south", healthyNode("s1", 0.3)), inZone("south", healthyNode("s2", 0.3))},
			[]string{"s1"}, "copy cam n2"},
		{"a second remote replica is dropped before the local one", map[string]any{"fleet.copies": 2.0, "fleet.away": 1.0},
			[]NodeStatus{inZone("north", healthyNode("n2", 0.6)), inZone("south", healthyNode("s1", 0.1)), inZone("south", healthyNode("s2", 0.3))},
			[]string{"n2", "s1", "s2"}, "drop cam s2"},
		{"fleet.away is capped at fleet.copies", map[string]any{"fleet.away": 4.0},
			[]NodeStatus{inZone("south", healthyNode("s1", 0.1)), inZone("west", healthyNode("w1", 0.3))}, []string{"s1"}, ""},
	} {
		h, p := newScriptedPlanner(c.settings, append(c.nodes, inZone("north", healthyNode("n1", 0.1)))...)
		assignment := runningAt("cam", "n1", c.replicas...)
		p.OnAssignment(2, assignment)
		if got := h.takeProposals(); got != c.want {
			t.Errorf("%s: proposed %q, not %q", c.name, got, c.want)
		}
		ticks := 0
		for now := tick.Tick(3); now < 600*second; now = p.OnTick(now) {
			if len(c.want) == 0 {
				ticks++
			}
		}
		if ticks > 1200 || c.want == "" && h.takeProposals() != "" {
			t.Errorf("%s: %d calls of OnTick in 600 s, proposals %v", c.name, ticks, h.proposals)
		}
	}
}

// TestPlanner_UsesAZoneThatBecomesAvailable checks that, once the nodes of another zone begin to accept instances, all
// instances get a replica in that zone, one after the other.
func TestPlanner_UsesAZoneThatBecomesAvailable(t *testing.T) {
	sim := newSimulation(t, 1, "north a b c; south d e f", map[string]any{"fleet.away": 1.0})
	for i, name := range []string{"d", "e", "f"} {
		sim.nodes[name].Accepting, sim.nodes[name].Risk = false, 0.1+0.05*float64(i)
	}
	for _, node := range sim.nodes {
		node.FreeSlots = 200
	}
	for i := range 120 {
		sim.create(fmt.Sprint("cam-", i), sim.names[i%3], "north", 5)
	}
	sim.run(30 * second)
	for _, assignment := range sim.table.All() {
		if len(assignment.Replicas) != 1 || sim.nodes[assignment.Replicas[0]].Zone != "north" {
			t.Fatalf("%+v", assignment)
		}
	}
	proposals := sim.proposals
	sim.run(70 * second) // longer than 44 s, the interval between scheduled reviews; the reviews must propose nothing
	if sim.proposals > proposals {
		t.Errorf("%d proposals while no zone has room", sim.proposals-proposals)
	}
	for _, name := range []string{"d", "e", "f"} {
		sim.nodes[name].Accepting = true
	}
	sim.run(20 * second)
	replicasByNode := map[string]int{}
	for _, assignment := range sim.table.All() {
		if len(assignment.Replicas) != 1 || sim.nodes[assignment.Replicas[0]].Zone != "south" || assignment.CopyTarget != "" {
			t.Fatalf("%+v", assignment)
		}
		replicasByNode[assignment.Replicas[0]]++
	}
	for name, n := range replicasByNode {
		if n > 80 || len(replicasByNode) < 3 {
			t.Errorf("%s has %d of 120 replicas: %v", name, n, replicasByNode)
		}
	}
	if n := sim.proposals - proposals; n > 3*120 {
		t.Errorf("%d proposals for 120 copies and as many drops", n)
	}
}

// TestPlanner_FailsOverAPartitionedZone checks that the instances of a partitioned zone continue in another zone with all their
// entries, that they return once the zone is back, and that no instance is copied repeatedly.
func TestPlanner_FailsOverAPartitionedZone(t *testing.T) {
	for _, copies := range []float64{1, 2} {
		sim := newSimulation(t, 1, "north a b; south c d; west e f", map[string]any{"fleet.away": 1.0, "fleet.copies": copies})
		for i := range 20 {
			sim.create(fmt.Sprint("cam-", i), []string{"a", "b"}[i%2], "north", 5)
		}
		sim.run(5 * second)
		north := func(name string) bool { return sim.nodes[name].Zone == "north" }
		sim.partitioned = func(from, to string) bool { return north(from) != north(to) }
		sim.nodes["a"].disconnected, sim.nodes["b"].disconnected = true, true
		sim.run(60 * second)
		for _, assignment := range sim.table.All() {
			if assignment.State != placement.Running || assignment.MissingEntries > 0 || north(assignment.Primary) || assignment.Failures != 1 && assignment.Failures != 0 || len(assignment.Replicas) != int(copies) {
				t.Fatalf("%+v", assignment)
			}
		}
		sim.nodes["a"].disconnected, sim.nodes["b"].disconnected, sim.partitioned = false, false, nil
		sim.run(60 * second)
		for _, assignment := range sim.table.All() {
			remote := 0
			for _, name := range assignment.Replicas {
				remote += countIf(!north(name))
			}
			if !north(assignment.Primary) || len(assignment.Replicas) != int(copies) || remote < 1 || assignment.CopyTarget != "" {
				t.Fatalf("%+v", assignment)
			}
		}
		proposals := sim.proposals
		sim.run(600 * second)
		if sim.proposals > proposals+20 { // allowed: one proposal per instance to reset its failure count, for 20 instances
			t.Errorf("%d proposals in a fleet at rest", sim.proposals-proposals)
		}
	}
}

// TestPlanner_BacksOffFromUnreachableRemoteReplicas simulates links between zones that are too slow for acknowledgements, so
// that primaries drop each remote replica soon after it is ready. It checks that copies to other zones become rarer and rarer,
// and that between them the replica is in the primary's zone.
func TestPlanner_BacksOffFromUnreachableRemoteReplicas(t *testing.T) {
	for _, copies := range []float64{1, 2} {
		sim := newSimulation(t, 1, "north a b c; south d e; west f", map[string]any{"fleet.away": 1.0, "fleet.copies": copies})
		sim.create("cam", "a", "north", 5)
		sim.partitioned = func(from, to string) bool { // copies succeed, acknowledgements do not
			return sim.assignment("cam").CopyTarget == "" && sim.nodes[from].Zone != sim.nodes[to].Zone
		}
		unreplicated, n := tick.Tick(0), 0
		for sim.now < 3600*second {
			sim.run(100 * ms)
			if assignment := sim.assignment("cam"); len(assignment.Replicas) == 0 {
				unreplicated += 100 * ms
			}
		}
		for _, line := range sim.lines {
			n += countIf(contains(line, "copy cam"))
		}
		if n > 30 || unreplicated > 2*second {
			t.Errorf("%v replicas: %d copies in an hour, and %d s without a replica", copies, n, unreplicated/second)
		}
	}
}

// TestPlanner_OscillatingDeviceWithRemoteReplica checks that an instance whose device oscillates between zones is copied no more
// often with a remote replica than without, because the previous primary stays as the replica.
func TestPlanner_OscillatingDeviceWithRemoteReplica(t *testing.T) {
	countMovesAndCopies := func(remoteReplicas float64, zones string) (copyCount, moves int) {
		sim := newSimulation(t, 1, zones, map[string]any{"fleet.away": remoteReplicas})
		sim.create("cam", "a", "north", 5)
		sim.run(2 * second)
		moveCount := 0
		var oscillate func()
		oscillate = func() {
			moveCount++
			sim.moveDevice("cam", []string{"north", "south", "west"}[moveCount%len(strings.Split(zones, ";"))])
			sim.after(3*second, oscillate)
		}
		oscillate()
		sim.run(3600 * second)
		for _, line := range sim.lines {
			copyCount += countIf(contains(line, "copy cam"))
		}
		return copyCount, sim.moves["cam"]
	}
	for _, zones := range []string{"north a b; south c d", "north a b; south c d; west e f", "north a; south b; west c"} {
		copies, moves := countMovesAndCopies(1, zones)
		baseCopies, baseMoves := countMovesAndCopies(0, zones)
		t.Logf("%s: %d copies and %d moves in an hour, without fleet.away %d and %d", zones, copies, moves, baseCopies, baseMoves)
		if moves > 13 || copies > baseCopies+2 {
			t.Errorf("%s: %d copies and %d moves in an hour, without fleet.away %d and %d", zones, copies, moves, baseCopies, baseMoves)
		}
	}
}

// TestPlanner_PrefersSuccessorInTheDevicesZone checks that, of two replicas, the one in the device's zone takes over, unless
// that replica's lease is about to end.
func TestPlanner_PrefersSuccessorInTheDevicesZone(t *testing.T) {
	for remaining, want := range map[tick.Tick]string{lease: "fail cam n2", lease / 5: "fail cam s1"} {
		n2, s1 := inZone("north", healthyNode("n2", 0.3)), inZone("south", healthyNode("s1", 0.1))
		n2.LeaseEnd, s1.LeaseEnd = 8000+remaining, 8000+lease
		h, p := newScriptedPlanner(map[string]any{"fleet.copies": 2.0, "fleet.away": 1.0}, inZone("north", healthyNode("n1", 0.1)), n2, s1)
		p.OnAssignment(2, runningAt("cam", "n1", "n2", "s1"))
		p.OnLeaseExpired(8000, "n1")
		expectProposals(t, h, want)
	}
}

// TestPlanner_CancelsSlowRemoteCopyOfAnUnreplicatedInstance checks that an instance without any replica waits less than
// restart_after for a copy to an unreachable zone, and that an instance with a replica waits for restart_after.
func TestPlanner_CancelsSlowRemoteCopyOfAnUnreplicatedInstance(t *testing.T) {
	for _, c := range []struct {
		replicas []string
		timeout  tick.Tick
	}{{nil, 2 * lease}, {[]string{"n2"}, 10 * lease}} {
		h, p := newScriptedPlanner(map[string]any{"fleet.away": 1.0}, inZone("north", healthyNode("n1", 0.1)), inZone("north", healthyNode("n2", 0.3)),
			inZone("south", healthyNode("s1", 0.1)))
		p.OnAssignment(2, runningAt("cam", "n1", c.replicas...))
		expectProposals(t, h, "copy cam s1")
		assignment := runningAt("cam", "n1", c.replicas...)
		assignment.Revision, assignment.CopyTarget = 2, "s1"
		p.OnAssignment(3, assignment)
		now := tick.Tick(4)
		for next := now; len(h.proposals) == 0 && now < 60*lease; {
			now = next
			next = p.OnTick(now)
		}
		if at := now / lease; h.takeProposals() != "back cam s1" || at < c.timeout/lease || at > c.timeout/lease+1 {
			t.Errorf("with replicas %v, cancelled after %d leases", c.replicas, at)
		}
		assignment.Revision, assignment.CopyTarget = 3, ""
		p.OnAssignment(now, assignment)
		for end := now + 2*lease; now < end; now = p.OnTick(now) {
		}
		expectProposals(t, h, map[bool]string{true: "copy cam n2"}[c.replicas == nil])
	}
}

// TestPlanner_RemoteCopiesLeaveRoomForOthers checks that copies to other zones leave room for copies of instances that have no
// replica.
func TestPlanner_RemoteCopiesLeaveRoomForOthers(t *testing.T) {
	h, p := newScriptedPlanner(map[string]any{"fleet.away": 1.0, "fleet.moves.all": 8.0, "fleet.moves.link": 8.0}, inZone("north", healthyNode("n1", 0.1)),
		inZone("north", healthyNode("n2", 0.3)), inZone("south", healthyNode("s1", 0.1)))
	for i := range 9 {
		p.OnAssignment(2, runningAt(fmt.Sprint("near", i), "n1", "n2"))
	}
	expectProposals(t, h, "copy near0 s1, copy near1 s1, copy near2 s1, copy near3 s1")
	for i := range 3 {
		p.OnAssignment(2, runningAt(fmt.Sprint("none", i), "n1"))
	}
	expectProposals(t, h, "copy none0 s1, copy none1 s1")
	done := runningAt("near0", "n1", "n2", "s1")
	done.Revision = 2
	p.OnAssignment(3, done)
	expectProposals(t, h, "drop near0 n2, copy none2 s1")
}
