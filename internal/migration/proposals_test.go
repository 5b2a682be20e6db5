package migration_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// newScriptedPlanner returns a planner with a host that records its proposals. A proposal has no result unless the test reports
// one. Nodes without a zone are in the north, except the node s, which is in the south.
func newScriptedPlanner(settings map[string]any, nodes ...NodeStatus) (*recordingHost, *Planner) {
	h := &recordingHost{}
	p := NewPlanner(h, 1, 1, ConfigFrom(settings))
	p.OnElected(1)
	for _, n := range nodes {
		if n.Zone == "" {
			n.Zone = map[bool]string{true: "south", false: "north"}[n.Name == "s"]
		}
		n.Incarnation = max(1, n.Incarnation)
		p.OnNodeStatus(1, n)
	}
	return h, p
}

func healthyNode(name string, risk float64) NodeStatus {
	return NodeStatus{Name: name, Accepting: true, FreeSlots: 9, Risk: risk}
}

func runningAt(name, primary string, replicas ...string) placement.Assignment {
	return placement.Assignment{Instance: name, State: placement.Running, Primary: primary, Epoch: 1, Revision: 1, Replicas: replicas, Zone: "north", Weight: 5}
}

// takeProposals returns a summary of the proposals since the previous call.
func (h *recordingHost) takeProposals() string {
	var all []string
	for _, op := range h.proposals {
		all = append(all, strings.TrimSpace(fmt.Sprintf("%s %s %s", op.Kind, op.Instance, op.Target)))
	}
	h.proposals = nil
	return strings.Join(all, ", ")
}

func expectProposals(t *testing.T, h *recordingHost, want string) {
	t.Helper()
	if got := h.takeProposals(); got != want {
		t.Errorf("proposed %q, not %q", got, want)
	}
}

var noReplicas = map[string]any{"fleet.copies": 0.0}

func TestPlanner_CancelsCopyToIneligibleTarget(t *testing.T) {
	for why, target := range map[string]NodeStatus{"draining": {Accepting: true, ListedDraining: true}, "shutting down": {Accepting: true, ShuttingDown: true},
		"rolled back": {Accepting: true, RollingBack: true}, "not accepting": {}, "evacuating": {Accepting: true, Evacuating: true}} {
		h, p := newScriptedPlanner(noReplicas, healthyNode("a", 0.1), healthyNode("b", 0.1))
		assignment := runningAt("c", "a")
		assignment.CopyTarget, assignment.CutOver = "b", true
		p.OnAssignment(2, assignment)
		expectProposals(t, h, "")
		target.Name, target.Zone, target.Incarnation, target.FreeSlots = "b", "north", 1, 9
		if p.OnNodeStatus(3, target); h.takeProposals() != "back c b" {
			t.Errorf("%s: the copy was not cancelled", why)
		}
	}
}

func TestPlanner_WaitsForSuccessorWithShortLease(t *testing.T) {
	for _, expires := range []bool{true, false} {
		b := healthyNode("b", 0.1)
		b.LeaseEnd = 9000
		h, p := newScriptedPlanner(nil, healthyNode("a", 0.1), b)
		p.OnAssignment(2, runningAt("c", "a", "b"))
		p.OnLeaseExpired(8000, "a")
		expectProposals(t, h, "")
		if expires {
			p.OnLeaseExpired(9000, "b")
			p.OnTick(10000)
			expectProposals(t, h, "fail c")
		} else {
			b.Zone, b.Incarnation, b.LeaseEnd = "north", 1, 19000
			p.OnNodeStatus(8500, b)
			p.OnTick(10000)
			expectProposals(t, h, "fail c b")
		}
	}
}

func TestPlanner_ExpiredReplicaIsNoSuccessor(t *testing.T) {
	b := healthyNode("b", 0.1)
	b.LeaseEnd = 9000
	h, p := newScriptedPlanner(nil, healthyNode("a", 0.1), b)
	p.OnAssignment(2, runningAt("c", "a", "b"))
	p.OnLeaseExpired(8000, "a")
	for now := tick.Tick(8000); now < 16000; now = p.OnTick(now) {
		if now < 12000 {
			expectProposals(t, h, "")
		}
	}
	expectProposals(t, h, "fail c")
}

func TestPlanner_EmptyReplicaIsNoSuccessor(t *testing.T) {
	h, p := newScriptedPlanner(nil, healthyNode("a", 0.1), healthyNode("b", 0.1))
	p.OnAssignment(2, runningAt("c", "a", "b"))
	b := healthyNode("b", 0.1)
	b.Zone, b.Incarnation, b.LostCopies = "north", 2, true
	p.OnNodeStatus(3, b)
	expectProposals(t, h, "drop c b")
	p.OnLeaseExpired(4, "a")
	p.OnProposalRefused(5, placement.Operation{Version: 1, Kind: placement.OpDropReplica, Instance: "c", Epoch: 1, Target: "b"}, errors.New("no majority"))
	p.OnTick(5000)
	expectProposals(t, h, "fail c")
}

func TestPlanner_NodesEvacuatingInTurnSettle(t *testing.T) {
	sim := newSimulation(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
	sim.create("cam", "a", "north", 5)
	aEvacuates := false
	var alternate func()
	alternate = func() {
		aEvacuates = !aEvacuates
		for name, evacuating := range map[string]bool{"a": aEvacuates, "b": !aEvacuates} {
			node := sim.nodes[name]
			node.Evacuating, node.Accepting, node.Risk = evacuating, !evacuating, map[bool]float64{true: 0.9, false: 0.1}[evacuating]
		}
		sim.after(4*second, alternate)
	}
	alternate()
	sim.run(600 * second)
	if n := sim.moves["cam"]; n < 2 || n > 9 {
		t.Errorf("%d moves in ten minutes", n)
	}
}

func TestPlanner_CopiesLeaveRoomForMigrations(t *testing.T) {
	h, p := newScriptedPlanner(map[string]any{"fleet.moves.all": 4.0}, healthyNode("a", 0.1), healthyNode("b", 0.1), healthyNode("s", 0.1))
	for i := range 9 {
		p.OnAssignment(2, runningAt(fmt.Sprint("c", i), "a"))
	}
	expectProposals(t, h, "copy c0 b, copy c1 b, copy c2 b")
	assignment := runningAt("c8", "a")
	assignment.Zone, assignment.Revision = "south", 2
	p.OnAssignment(3, assignment)
	expectProposals(t, h, "copy c8 s")
}

func TestPlanner_AvoidsADroppedReplica(t *testing.T) {
	h, p := newScriptedPlanner(nil, healthyNode("a", 0.1), healthyNode("b", 0.1), healthyNode("d", 0.6))
	p.OnAssignment(2, runningAt("c", "a", "b"))
	assignment := runningAt("c", "a")
	assignment.Revision = 2
	p.OnAssignment(3, assignment)
	expectProposals(t, h, "copy c d")
}

func TestPlanner_ReviewsAnInstanceNotWokenByAFreedLink(t *testing.T) {
	h, p := newScriptedPlanner(map[string]any{"fleet.copies": 0.0, "fleet.moves.link": 1.0}, healthyNode("a", 0.1), healthyNode("s", 0.1))
	w, x, y := runningAt("w", "a"), runningAt("x", "a"), runningAt("y", "a")
	w.Zone, x.Zone, y.Zone, w.Weight, x.Weight = "south", "south", "south", 9, 7
	for _, assignment := range []placement.Assignment{w, x, y} {
		p.OnAssignment(2, assignment)
	}
	expectProposals(t, h, "copy w s")
	s := healthyNode("s", 0.1)
	s.Zone, s.Incarnation, s.Accepting = "south", 1, false
	p.OnNodeStatus(3, s)
	w.Revision, w.Zone = 2, "north" // the device of w is back in the north, and the proposed copy of w is refused
	p.OnProposalRefused(4, placement.Operation{Version: 1, Kind: placement.OpStartCopy, Instance: "w", Epoch: 1, Target: "s"}, placement.ErrWrongState)
	p.OnAssignment(4, w)
	x.Revision, x.Zone = 2, "north"
	p.OnAssignment(5, x)
	s.Accepting = true
	p.OnNodeStatus(6, s)
	for now := tick.Tick(7); now < 60000; now = p.OnTick(now) {
	}
	if got := h.takeProposals(); !strings.Contains(got, "copy y s") {
		t.Errorf("%q", got)
	}
}

func TestPlanner_KeepsReplicasOfAnInstanceThatCannotMove(t *testing.T) {
	sim := newSimulation(t, 1, "north a b c; south d", nil)
	sim.nodes["d"].Accepting = false
	sim.create("cam", "a", "north", 5)
	sim.run(2 * second)
	sim.moveDevice("cam", "south")
	sim.run(2 * second)
	replica := sim.assignment("cam").Replicas[0]
	sim.nodes[replica].down = true
	sim.run(20 * second)
	if assignment := sim.assignment("cam"); assignment.Primary != "a" || len(assignment.Replicas) != 1 || assignment.Replicas[0] == replica {
		t.Errorf("%+v", assignment)
	}
}

func TestPlanner_DropsSurplusReplicasBeforeAMove(t *testing.T) {
	h, p := newScriptedPlanner(nil, healthyNode("a", 0.1), healthyNode("b", 0.1), healthyNode("d", 0.2), healthyNode("e", 0.3), healthyNode("s", 0.1))
	assignment := runningAt("c", "a", "b", "d", "e")
	assignment.Zone = "south"
	p.OnAssignment(2, assignment)
	expectProposals(t, h, "drop c e")
}

func TestPlanner_NodeMostAtRiskGoesFirst(t *testing.T) {
	h, p := newScriptedPlanner(map[string]any{"fleet.copies": 0.0, "fleet.moves.all": 1.0}, NodeStatus{Name: "b"}, NodeStatus{Name: "a"},
		NodeStatus{Name: "e"}, healthyNode("d", 0.1))
	for _, primary := range []string{"a", "b", "e"} {
		p.OnAssignment(2, runningAt("at-"+primary, primary))
	}
	for i, name := range []string{"e", "a", "b"} {
		p.OnNodeStatus(3, NodeStatus{Name: name, Zone: "north", Incarnation: 1, Evacuating: true, Risk: 0.6 + 0.1*float64(i)})
	}
	expectProposals(t, h, "copy at-e d") // node e was the first to report that it evacuates, and fleet.moves.all allows only one move
	p.OnProposalRefused(4, placement.Operation{Version: 1, Kind: placement.OpStartCopy, Instance: "at-e", Epoch: 1, Target: "d"}, placement.ErrWrongState)
	expectProposals(t, h, "copy at-b d")
}

func TestPlanner_IgnoresStaleAssignments(t *testing.T) {
	h, p := newScriptedPlanner(noReplicas, healthyNode("a", 0.1), healthyNode("b", 0.1))
	newer := runningAt("c", "b")
	newer.Epoch, newer.Revision = 2, 4
	p.OnAssignment(2, newer)
	p.OnAssignment(3, runningAt("c", "a"))
	p.OnLeaseExpired(4, "a")
	expectProposals(t, h, "")
	p.OnLeaseExpired(5, "b")
	expectProposals(t, h, "fail c")
}

func TestPlanner_UrgentReasonSkipsBackOff(t *testing.T) {
	h, p := newScriptedPlanner(noReplicas, healthyNode("a", 0.1), healthyNode("b", 0.1))
	assignment := runningAt("c", "a")
	assignment.Zone = "south" // the south has no nodes
	p.OnAssignment(2, assignment)
	now := tick.Tick(3)
	for now < 200000 {
		now = p.OnTick(now)
	}
	a := healthyNode("a", 0.1)
	a.Zone, a.Incarnation, a.ListedDraining = "north", 1, true
	p.OnNodeStatus(200001, a)
	expectProposals(t, h, "copy c b")
}

func TestPlanner_IgnoresInapplicableEvents(t *testing.T) {
	h, p := newScriptedPlanner(nil)
	p.OnProposalRefused(2, placement.Operation{Instance: "nobody", Kind: placement.OpStartCopy}, placement.ErrStaleEpoch)
	p.OnAssignment(2, placement.Assignment{Instance: "c", State: placement.Deleted})
	p.OnLeaseExpired(2, "nobody")
	p.OnDeviceMoved(2, "nobody", "north")
	p.OnAssignment(3, runningAt("c", "a", "b"))
	p.OnAssignment(4, placement.Assignment{Instance: "c", State: placement.Deleted, Epoch: 1, Revision: 2})
	p.OnDeviceMoved(5, "c", "north")
	p.OnNodeStatus(6, healthyNode("a", 0.1))
	p.OnDeposed(7)
	p.OnLeaseExpired(8, "a")
	p.OnTick(100000)
	expectProposals(t, h, "")
}
