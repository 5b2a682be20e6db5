package migration_test

import (
	"fmt"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

const second = tick.Second

func TestPlanner_FollowsTheDevice(t *testing.T) {
	sim := newSimulation(t, 1, "north a b; south c d", nil)
	sim.create("cam", "a", "north", 5)
	sim.run(2 * second)
	sim.moveDevice("cam", "south")
	sim.run(2 * second)
	assignment := sim.assignment("cam")
	if z := sim.nodes[assignment.Primary].Zone; z != "south" || assignment.Epoch != 2 || len(assignment.Replicas) != 1 || assignment.CopyTarget != "" {
		t.Errorf("%+v", assignment)
	}
	sim.compareTimeline(t, "device-moves")
}

func TestPlanner_FailsOverToAReplica(t *testing.T) {
	sim := newSimulation(t, 1, "north a b c", nil)
	sim.create("cam", "a", "north", 5)
	sim.run(2 * second)
	successor := sim.assignment("cam").Replicas[0]
	sim.nodes["a"].down = true
	sim.addCell("a", "falls")
	sim.run(5 * second)
	if assignment := sim.assignment("cam"); assignment.Primary != successor || assignment.Failures != 1 || len(assignment.Replicas) != 1 || assignment.MissingEntries != 0 {
		t.Errorf("%+v", assignment)
	}
	sim.compareTimeline(t, "replica-takes-over")
	sim.run(70 * second)
	if assignment := sim.assignment("cam"); assignment.Failures != 0 {
		t.Errorf("failures were not reset: %+v", assignment)
	}
}

func TestPlanner_RetriesWhenTheTargetFails(t *testing.T) {
	sim := newSimulation(t, 1, "north a; south b c", map[string]any{"fleet.copies": 0.0})
	sim.create("cam", "a", "north", 5)
	sim.run(2 * second)
	sim.partitioned = func(from, to string) bool { return true }
	sim.moveDevice("cam", "south")
	sim.run(100 * ms)
	to := sim.assignment("cam").CopyTarget
	if to == "" {
		t.Fatal("no migration began")
	}
	sim.nodes[to].down = true
	sim.addCell(to, "falls")
	sim.partitioned = nil
	sim.run(5 * second)
	if assignment := sim.assignment("cam"); assignment.Primary == "a" || assignment.Primary == to || assignment.Epoch != 2 {
		t.Errorf("%+v", assignment)
	}
	sim.compareTimeline(t, "target-fails")
}

func TestPlanner_CancelsAStuckCopy(t *testing.T) {
	sim := newSimulation(t, 1, "north a; south b c", map[string]any{"fleet.copies": 0.0})
	sim.create("cam", "a", "north", 5)
	sim.run(2 * second)
	stuckTarget := ""
	sim.partitioned = func(from, to string) bool { return to == stuckTarget }
	sim.moveDevice("cam", "south")
	for sim.assignment("cam").CopyTarget == "" {
		sim.run(ms)
	}
	stuckTarget = sim.assignment("cam").CopyTarget
	sim.run(9 * second)
	if sim.assignment("cam").CopyTarget != stuckTarget {
		t.Fatalf("copy cancelled early: %+v", sim.assignment("cam"))
	}
	sim.run(6 * second)
	if assignment := sim.assignment("cam"); assignment.Primary == "a" || assignment.Primary == stuckTarget {
		t.Errorf("%+v", assignment)
	}
	sim.compareTimeline(t, "copy-stuck")
}

func TestPlanner_EvacuatesAZoneInOrderOfRisk(t *testing.T) {
	sim := newSimulation(t, 1, "north a b; south c", map[string]any{"fleet.copies": 0.0, "fleet.moves.link": 1.0})
	sim.nodes["c"].FreeSlots, sim.nodes["c"].Accepting = 2, false
	for i, name := range []string{"n1", "n2", "n3", "n4"} {
		sim.create(name, []string{"a", "b"}[i%2], "north", float64(1+i))
	}
	sim.run(2 * second)
	sim.nodes["b"].Risk = 0.65 // too risky to be a target, although it does not evacuate yet
	sim.run(second)
	for i, name := range []string{"a", "b"} {
		node := sim.nodes[name]
		node.Accepting, node.Evacuating, node.Risk = false, true, 0.7+0.1*float64(i)
		sim.addCell(name, "tired")
		sim.run(second)
	}
	if sim.maxMoves > 0 {
		t.Errorf("an instance moved although no node was a suitable target")
	}
	sim.nodes["c"].Accepting = true
	sim.addCell("c", "accepts two")
	sim.nodes["c"].countInstances()
	sim.run(2 * second)
	// Node b is most at risk, so its instances move first, the heaviest before the others. They take the two free slots of node
	// c, and the instances of node a stay.
	for name, want := range map[string]string{"n1": "a", "n2": "c", "n3": "a", "n4": "c"} {
		if assignment := sim.assignment(name); assignment.Primary != want {
			t.Errorf("%s is at %s, not %s", name, assignment.Primary, want)
		}
	}
	sim.compareTimeline(t, "zone-evacuates")
}

// countInstances updates the node's free slots now and every lease/50. It subtracts the number of instances whose primary is
// this node from the value that FreeSlots had at the call of countInstances.
func (n *simulatedNode) countInstances() {
	slots := n.FreeSlots
	var update func()
	update = func() {
		n.FreeSlots = slots - len(n.simulation.table.ByPrimary(n.Name))
		n.simulation.after(lease/50, update)
	}
	update()
}

func TestPlanner_TwoOverloadedNodesSettle(t *testing.T) {
	sim := newSimulation(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
	for _, name := range []string{"p", "q", "r", "s"} {
		sim.create(name, "a", "north", 5)
	}
	// A node evacuates while it has three or four of the four instances, and accepts instances while it has fewer.
	var updateLoad func()
	updateLoad = func() {
		for _, node := range sim.nodes {
			n := len(sim.table.ByPrimary(node.Name))
			node.Risk = 0.2 + 0.2*float64(n)
			node.Evacuating = n >= 3
			node.Accepting = n < 3
		}
		sim.after(100*ms, updateLoad)
	}
	updateLoad()
	sim.run(600 * second)
	n := 0
	for _, m := range sim.moves {
		n += m
	}
	if n == 0 || n > 8 {
		t.Errorf("%d moves in ten minutes", n)
	}
	// Two nodes at the same risk should not exchange instances. The test does not check this: it does not run the simulation
	// after it sets the risks.
	for _, node := range sim.nodes {
		node.Risk = 0.9
	}
}

func TestPlanner_EvacuatesOnlyToANodeBetterOff(t *testing.T) {
	for _, c := range []struct {
		risk float64
		want string
	}{{0.75, "a"}, {0.5, "a"}, {0.4, "b"}} {
		sim := newSimulation(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
		sim.create("cam", "a", "north", 5)
		sim.run(2 * second)
		a, b := sim.nodes["a"], sim.nodes["b"]
		a.Risk, a.Evacuating, a.Accepting, b.Risk = 0.8, true, false, c.risk
		sim.run(60 * second)
		if assignment := sim.assignment("cam"); assignment.Primary != c.want {
			t.Errorf("with node b at risk %v, the instance is on %s", c.risk, assignment.Primary)
		}
	}
}

func TestPlanner_OscillatingDeviceMovesLessAndLess(t *testing.T) {
	sim := newSimulation(t, 1, "north a; south b", map[string]any{"fleet.copies": 1.0})
	sim.create("cam", "a", "north", 5)
	sim.run(2 * second)
	south := false
	var oscillate func()
	oscillate = func() {
		south = !south
		sim.moveDevice("cam", map[bool]string{true: "south", false: "north"}[south])
		sim.after(3*second, oscillate)
	}
	oscillate()
	sim.run(3600 * second)
	// Each stay is at least twice as long as the one before, up to 1,280 s.
	if n := sim.moves["cam"]; n < 3 || n > 13 {
		t.Errorf("%d moves in an hour", n)
	}
	sim.lines = linesWith(sim.lines, "owns")
	sim.compareTimeline(t, "oscillating-device")
}

func TestPlanner_LostInstanceWaitsForItsReplicas(t *testing.T) {
	for _, back := range []bool{true, false} {
		sim := newSimulation(t, 1, "north a b c d", nil)
		sim.create("cam", "a", "north", 5)
		sim.run(2 * second)
		successor := sim.assignment("cam").Replicas[0]
		sim.nodes["a"].down, sim.nodes[successor].down = true, true
		sim.addCell("a", "falls")
		sim.addCell(successor, "falls")
		sim.run(5 * second)
		if assignment := sim.assignment("cam"); assignment.State != placement.Lost || assignment.Failures != 1 {
			t.Fatalf("%+v", assignment)
		}
		if back {
			sim.nodes[successor].down = false
			sim.addCell(successor, "is back")
			sim.run(2 * second)
			if assignment := sim.assignment("cam"); assignment.Primary != successor || assignment.MissingEntries != 0 {
				t.Errorf("%+v", assignment)
			}
			sim.compareTimeline(t, "replica-returns")
			continue
		}
		sim.run(4 * second)
		if assignment := sim.assignment("cam"); assignment.State != placement.Lost {
			t.Errorf("restarted before restart_after: %+v", assignment)
		}
		sim.run(5 * second)
		if assignment := sim.assignment("cam"); assignment.State != placement.Running || assignment.MissingEntries == 0 {
			t.Errorf("%+v", assignment)
		}
		sim.compareTimeline(t, "restart-without-copy")
	}
}

func TestPlanner_QuarantinesAnInstanceThatFailsItsPrimaries(t *testing.T) {
	sim := newSimulation(t, 1, "north a b c d e f", nil)
	sim.create("bad", "a", "north", 5)
	sim.create("good", "b", "north", 5)
	var failPrimary func()
	failPrimary = func() {
		if assignment := sim.assignment("bad"); assignment.State == placement.Running {
			node := sim.nodes[assignment.Primary]
			if !node.down {
				node.down = true
				sim.addCell(node.Name, "falls")
				sim.after(4*second, func() { node.down = false; sim.addCell(node.Name, "is back") })
			}
		}
		sim.after(3*second, failPrimary)
	}
	sim.run(2 * second)
	failPrimary()
	sim.run(60 * second)
	if assignment := sim.assignment("bad"); assignment.State != placement.Quarantined || assignment.Failures != 3 {
		t.Errorf("%+v", assignment)
	}
	if assignment := sim.assignment("good"); assignment.State != placement.Running {
		t.Errorf("%+v", assignment)
	}
	sim.compareTimeline(t, "instance-fails-its-primaries")
}

// TestPlanner_QuarantinesNoBystanders checks that, of many instances on the failed nodes, only the one that causes the failures
// is quarantined.
func TestPlanner_QuarantinesNoBystanders(t *testing.T) {
	sim := newSimulation(t, 1, "north a b c d e f g h", nil)
	names := []string{"bad"}
	for i := range 12 {
		names = append(names, fmt.Sprintf("good-%d", i))
	}
	for _, name := range names {
		sim.create(name, "a", "north", 5)
	}
	failures := 0
	var failPrimary func()
	failPrimary = func() {
		if assignment := sim.assignment("bad"); assignment.State == placement.Running {
			if node := sim.nodes[assignment.Primary]; !node.down {
				node.down = true
				failures++
				sim.after(4*second, func() { node.down = false })
			}
		}
		sim.after(3*second, failPrimary)
	}
	sim.run(2 * second)
	failPrimary()
	sim.run(90 * second)
	for _, name := range names {
		if assignment := sim.assignment(name); (assignment.State == placement.Quarantined) != (name == "bad") {
			t.Errorf("%+v", assignment)
		}
	}
	if failures < 3 || failures > 6 {
		t.Errorf("%d nodes failed", failures)
	}
}

func TestPlanner_RetargetsWhenTheTargetRollsBack(t *testing.T) {
	sim := newSimulation(t, 1, "north a; south b c", map[string]any{"fleet.copies": 0.0})
	for _, name := range []string{"x", "y"} {
		sim.create(name, "a", "north", 5)
	}
	sim.run(2 * second)
	sim.moveDevice("x", "south")
	sim.moveDevice("y", "south")
	sim.run(20 * ms)
	sim.nodes["b"].RollingBack = true
	sim.addCell("b", "goes back")
	sim.run(5 * second)
	for _, name := range []string{"x", "y"} {
		if assignment := sim.assignment(name); assignment.Primary != "c" {
			t.Errorf("%+v", assignment)
		}
	}
	sim.compareTimeline(t, "version-rolled-back")
}

func TestPlanner_ChangeOfLeaderLosesNothing(t *testing.T) {
	sim := newSimulation(t, 1, "north a b; south c d", nil)
	for _, name := range []string{"x", "y", "z"} {
		sim.create(name, "a", "north", 5)
	}
	sim.run(2 * second)
	for _, name := range []string{"x", "y", "z"} {
		sim.moveDevice(name, "south")
	}
	sim.run(20 * ms)
	sim.electLeader()
	sim.addCell("controllers", "another leads")
	sim.nodes["b"].down = true
	sim.addCell("b", "falls")
	sim.run(12 * second)
	for _, name := range []string{"x", "y", "z"} {
		if assignment := sim.assignment(name); sim.nodes[assignment.Primary].Zone != "south" || assignment.CopyTarget != "" || len(assignment.Replicas) != 1 || sim.nodes[assignment.Replicas[0]].down {
			t.Errorf("%+v", assignment)
		}
	}
	sim.compareTimeline(t, "leader-changes")
}

func TestPlanner_MovesTheLightestOffAnOverfullNode(t *testing.T) {
	sim := newSimulation(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
	for i, name := range []string{"w1", "w2", "w3"} {
		sim.create(name, "a", "north", float64(1+i))
	}
	sim.run(2 * second)
	sim.nodes["a"].Accepting, sim.nodes["a"].FreeSlots = false, -1
	sim.run(400 * ms)
	sim.nodes["a"].FreeSlots = 0
	sim.run(5 * second)
	for name, want := range map[string]string{"w1": "b", "w2": "a", "w3": "a"} {
		if assignment := sim.assignment(name); assignment.Primary != want {
			t.Errorf("%s is at %s", name, assignment.Primary)
		}
	}
}

func TestPlanner_MovesManyInstancesWithinTheBounds(t *testing.T) {
	sim := newSimulation(t, 1, "north a b c d; south e f g h", nil)
	for _, node := range sim.nodes {
		node.FreeSlots = 200
	}
	for i := range 200 {
		sim.create(fmt.Sprint("cam-", i), []string{"a", "b", "c", "d"}[i%4], "north", 5)
	}
	sim.run(15 * second) // long enough for each instance to get its replica
	sim.maxMoves = 0
	for i := range 200 {
		sim.after(tick.Tick(i)*second/100, func() { sim.moveDevice(fmt.Sprint("cam-", i), "south") })
	}
	sim.run(10 * second)
	for i := range 200 {
		if assignment := sim.assignment(fmt.Sprint("cam-", i)); sim.nodes[assignment.Primary].Zone != "south" {
			t.Fatalf("after 10 s: %+v", assignment)
		}
	}
	if sim.maxMoves < 4 || sim.maxMoves > 16 {
		t.Errorf("at most %d copies were in progress at once, with a limit of 4 moves on the link", sim.maxMoves)
	}
	sim.run(20 * second)
	n := 0
	for _, assignment := range sim.table.All() {
		n += len(assignment.Replicas)
	}
	if n != 200 {
		t.Errorf("%d replicas of 200 instances", n)
	}
}

func TestPlanner_KeepsBoundsOnMoves(t *testing.T) {
	for _, settings := range []map[string]any{{"fleet.moves.unit": 1.0}, {"fleet.moves.link": 2.0}, {"fleet.moves.all": 3.0},
		{"fleet.moves.unit": 1.0, "fleet.moves.link": 1.0, "fleet.moves.all": 1.0}} {
		settings["fleet.copies"] = 1.0
		sim := newSimulation(t, 1, "north a b c; south d e f; west g h", settings)
		for i := range 30 {
			sim.create(fmt.Sprint("cam-", i), sim.names[i%6], "north", 5)
		}
		sim.run(2 * second)
		for i := range 30 {
			sim.moveDevice(fmt.Sprint("cam-", i), []string{"north", "south", "west"}[i%3])
		}
		sim.run(60 * second)
		for _, assignment := range sim.table.All() {
			if assignment.CopyTarget != "" || assignment.Zone != sim.nodes[assignment.Primary].Zone || len(assignment.Replicas) != 1 {
				t.Fatalf("%v: %+v", settings, assignment)
			}
		}
	}
}

func TestPlanner_KeepsSlowStartBudgetOfAWarmingNode(t *testing.T) {
	for _, limited := range []bool{false, true} {
		sim := newSimulation(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
		for i := range 12 {
			sim.create(fmt.Sprint("cam-", i), "a", "north", 5)
		}
		sim.run(2 * second)
		sim.nodes["b"].WarmingUp, sim.nodes["b"].FreeSlots, sim.nodes["b"].Limited = true, 2, limited
		sim.run(second)
		sim.nodes["a"].ListedDraining = true
		sim.run(300 * ms) // shorter than lease/3, the interval between two reports of a node
		if n := len(sim.table.ByPrimary("b")); n > 2 || sim.maxMoves > 2 || limited && sim.maxMoves > 1 {
			t.Errorf("limited %v: %d instances are on the warming node, at most %d moves were in progress at once", limited, n, sim.maxMoves)
		}
		sim.nodes["b"].FreeSlots = 0
		sim.run(60 * second)
		if n := len(sim.table.ByPrimary("b")); n != map[bool]int{true: 1, false: 2}[limited] {
			t.Errorf("limited %v: %d instances are on the node without free slots", limited, n)
		}
	}
}

func TestPlanner_PrefersTheHealthierSuccessor(t *testing.T) {
	sim := newSimulation(t, 1, "north a b c", map[string]any{"fleet.copies": 2.0})
	sim.create("cam", "a", "north", 5)
	sim.run(2 * second)
	sim.nodes["b"].Evacuating, sim.nodes["b"].Accepting = true, false
	sim.run(second)
	sim.nodes["a"].down = true
	sim.run(4 * second)
	if assignment := sim.assignment("cam"); assignment.Primary != "c" || assignment.Epoch != 2 {
		t.Errorf("%+v", assignment)
	}
	// Node b evacuates, but is the only live replica with every acknowledged entry, so it takes over.
	sim.nodes["c"].down = true
	sim.run(4 * second)
	if assignment := sim.assignment("cam"); assignment.Primary != "b" {
		t.Errorf("%+v", assignment)
	}
}

// TestPlanner_FailOverPendingUntilItIsDecided checks that a fail-over counts as pending until its result is known. Until then,
// the node must not get a lease: otherwise the operation could be agreed while the node serves again.
func TestPlanner_FailOverPendingUntilItIsDecided(t *testing.T) {
	h := &recordingHost{}
	p := NewPlanner(h, 1, 1, ConfigFrom(nil))
	p.OnElected(1)
	p.OnNodeStatus(1, NodeStatus{Name: "a", Zone: "north", Accepting: true, FreeSlots: 5})
	p.OnAssignment(1, placement.Assignment{Instance: "cam", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, Replicas: []string{"b"}})
	if p.FailOverPending("a") || p.FailOverPending("nobody") {
		t.Error("a fail-over is pending before the lease has expired")
	}
	p.OnLeaseExpired(20000, "a")
	if len(h.proposals) != 1 || h.proposals[0].Kind != placement.OpFailOver || !p.FailOverPending("a") {
		t.Fatalf("%+v", h.proposals)
	}
	for now := tick.Tick(20000); now < 90000; now += 5000 { // no result arrives: the operation is proposed again and stays pending
		p.OnTick(now)
	}
	if len(h.proposals) < 2 || !p.FailOverPending("a") {
		t.Errorf("%+v", h.proposals)
	}
	p.OnProposalRefused(90000, h.proposals[0], placement.ErrWrongState)
	if p.FailOverPending("a") {
		t.Error("the fail-over is still pending after the refusal")
	}
	p.OnTick(300000)
	p.OnAssignment(300000, placement.Assignment{Instance: "cam", State: placement.Lost, Epoch: 1, Revision: 2, Replicas: []string{"a", "b"}, Failures: 1})
	if p.FailOverPending("a") {
		t.Error("the fail-over is still pending after the result")
	}
}

// recordingHost is a Host that records proposals and gives them no result.
type recordingHost struct{ proposals []placement.Operation }

func (h *recordingHost) Propose(op placement.Operation) { h.proposals = append(h.proposals, op) }
func (h *recordingHost) Explain(string)                 {}

func TestPlanner_DeviceMovesDuringAPendingProposal(t *testing.T) {
	h := &recordingHost{}
	p := NewPlanner(h, 1, 1, ConfigFrom(map[string]any{"fleet.copies": 0.0}))
	p.OnElected(1)
	for _, name := range []string{"a", "b"} {
		p.OnNodeStatus(1, NodeStatus{Name: name, Zone: map[string]string{"a": "north", "b": "south"}[name], Accepting: true, FreeSlots: 5})
	}
	assignment := placement.Assignment{Instance: "cam", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, Zone: "north"}
	p.OnAssignment(1, assignment)
	p.OnDeviceMoved(2, "cam", "south")
	p.OnDeviceMoved(3, "cam", "north") // the device returns while the first proposal is pending
	assignment.Zone, assignment.Revision = "south", 2
	p.OnAssignment(4, assignment)
	last := h.proposals[len(h.proposals)-1]
	if last.Kind != placement.OpMoveDevice || last.Zone != "north" {
		t.Errorf("%+v", h.proposals)
	}
	p.OnDeviceMoved(5, "nobody", "north")
}

func TestPlanner_ChooseNodeFindsRoom(t *testing.T) {
	sim := newSimulation(t, 1, "north a b; south c", nil)
	sim.nodes["a"].Accepting = false
	sim.nodes["c"].FreeSlots = 1
	sim.run(second)
	for _, c := range []struct{ zone, want string }{{"north", "b"}, {"south", "c"}, {"south", "b"}, {"nowhere", "b"}} {
		if got := sim.planner.ChooseNode(sim.now, "new", c.zone); got != c.want {
			t.Errorf("a new instance in zone %s starts on %q, not %q", c.zone, got, c.want)
		}
	}
}

// TestPlanner_RestoresManyReplicasWithoutPauses checks that, if all instances of a node lack their replica, one copy starts as
// soon as another ends, without waiting for scheduled reviews.
func TestPlanner_RestoresManyReplicasWithoutPauses(t *testing.T) {
	sim := newSimulation(t, 1, "north a b c d", map[string]any{"fleet.moves.all": 64.0})
	for i := range 40 {
		sim.create(fmt.Sprintf("cam-%02d", i), "a", "north", 5)
	}
	sim.run(second)
	unreplicated := 0
	for _, assignment := range sim.table.All() {
		unreplicated += countIf(len(assignment.Replicas) == 0)
	}
	if unreplicated > 0 {
		t.Errorf("%d of 40 instances have no replica after 1 s", unreplicated)
	}
}

func countIf(b bool) int {
	if b {
		return 1
	}
	return 0
}
