package migration_test

import (
	"fmt"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

const second = tick.Second

func TestACameraCrosses(t *testing.T) {
	w := made(t, 1, "north a b; south c d", nil)
	w.create("cam", "a", "north", 5)
	w.run(2 * second)
	w.device("cam", "south")
	w.run(2 * second)
	p := w.place("cam")
	if z := w.edges[p.Primary].Zone; z != "south" || p.Epoch != 2 || len(p.Replicas) != 1 || p.CopyTarget != "" {
		t.Errorf("%+v", p)
	}
	w.picture(t, "a-camera-crosses")
}

func TestAHolderTakesOverFromAFallenOwner(t *testing.T) {
	w := made(t, 1, "north a b c", nil)
	w.create("cam", "a", "north", 5)
	w.run(2 * second)
	held := w.place("cam").Replicas[0]
	w.edges["a"].down = true
	w.cell("a", "falls")
	w.run(5 * second)
	if p := w.place("cam"); p.Primary != held || p.Failures != 1 || len(p.Replicas) != 1 || p.MissingEntries != 0 {
		t.Errorf("%+v", p)
	}
	w.picture(t, "a-holder-takes-over")
	w.run(70 * second)
	if p := w.place("cam"); p.Failures != 0 {
		t.Errorf("a fall counts for ever: %+v", p)
	}
}

func TestATargetThatFallsGivesTheHandoverBack(t *testing.T) {
	w := made(t, 1, "north a; south b c", map[string]any{"fleet.copies": 0.0})
	w.create("cam", "a", "north", 5)
	w.run(2 * second)
	w.cut = func(from, to string) bool { return true }
	w.device("cam", "south")
	w.run(100 * ms)
	to := w.place("cam").CopyTarget
	if to == "" {
		t.Fatal("no handover began")
	}
	w.edges[to].down = true
	w.cell(to, "falls")
	w.cut = nil
	w.run(5 * second)
	if p := w.place("cam"); p.Primary == "a" || p.Primary == to || p.Epoch != 2 {
		t.Errorf("%+v", p)
	}
	w.picture(t, "a-target-falls")
}

func TestACopyThatDoesNotEndIsGivenUpInTime(t *testing.T) {
	w := made(t, 1, "north a; south b c", map[string]any{"fleet.copies": 0.0})
	w.create("cam", "a", "north", 5)
	w.run(2 * second)
	bad := ""
	w.cut = func(from, to string) bool { return to == bad }
	w.device("cam", "south")
	for w.place("cam").CopyTarget == "" {
		w.run(ms)
	}
	bad = w.place("cam").CopyTarget
	w.run(9 * second)
	if w.place("cam").CopyTarget != bad {
		t.Fatalf("given up early: %+v", w.place("cam"))
	}
	w.run(6 * second)
	if p := w.place("cam"); p.Primary == "a" || p.Primary == bad {
		t.Errorf("%+v", p)
	}
	w.picture(t, "a-copy-does-not-end")
}

func TestAllUnitsOfAZoneAreTired(t *testing.T) {
	w := made(t, 1, "north a b; south c", map[string]any{"fleet.copies": 0.0, "fleet.moves.link": 1.0})
	w.edges["c"].FreeSlots, w.edges["c"].Accepting = 2, false
	for i, name := range []string{"n1", "n2", "n3", "n4"} {
		w.create(name, []string{"a", "b"}[i%2], "north", float64(1+i))
	}
	w.run(2 * second)
	w.edges["b"].Risk = 0.65 // not yet tired, and no refuge
	w.run(second)
	for i, name := range []string{"a", "b"} {
		e := w.edges[name]
		e.Accepting, e.Evacuating, e.Risk = false, true, 0.7+0.1*float64(i)
		w.cell(name, "tired")
		w.run(second)
	}
	if w.most > 0 {
		t.Errorf("moved while all were tired")
	}
	w.edges["c"].Accepting = true
	w.cell("c", "accepts two")
	w.edges["c"].renewed()
	w.run(2 * second)
	// The most endangered unit's heaviest go first, as many as there is room for; the others stay where they are.
	for name, want := range map[string]string{"n1": "a", "n2": "c", "n3": "a", "n4": "c"} {
		if p := w.place(name); p.Primary != want {
			t.Errorf("%s is at %s, not %s", name, p.Primary, want)
		}
	}
	w.picture(t, "a-tired-zone")
}

// renewed counts what a unit has as taken from its room, as its reports do.
func (e *edge) renewed() {
	room := e.FreeSlots
	var again func()
	again = func() {
		e.FreeSlots = room - len(e.w.table.ByPrimary(e.Name))
		e.w.after(lease/50, again)
	}
	again()
}

func TestTwoTiredUnitsSettle(t *testing.T) {
	w := made(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
	for _, name := range []string{"p", "q", "r", "s"} {
		w.create(name, "a", "north", 5)
	}
	// Whoever has more is tired, and looks well as soon as it has less.
	var load func()
	load = func() {
		for _, e := range w.edges {
			n := len(w.table.ByPrimary(e.Name))
			e.Risk = 0.2 + 0.2*float64(n)
			e.Evacuating = n >= 3
			e.Accepting = n < 3
		}
		w.after(100*ms, load)
	}
	load()
	w.run(600 * second)
	n := 0
	for _, m := range w.moves {
		n += m
	}
	if n == 0 || n > 8 {
		t.Errorf("%d moves in ten minutes", n)
	}
	// As tired as each other: nothing moves.
	for _, e := range w.edges {
		e.Risk = 0.9
	}
}

func TestATiredUnitHandsNothingToOneThatIsNearlyAsTired(t *testing.T) {
	for _, c := range []struct {
		danger float64
		want   string
	}{{0.75, "a"}, {0.5, "a"}, {0.4, "b"}} {
		w := made(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
		w.create("cam", "a", "north", 5)
		w.run(2 * second)
		a, b := w.edges["a"], w.edges["b"]
		a.Risk, a.Evacuating, a.Accepting, b.Risk = 0.8, true, false, c.danger
		w.run(60 * second)
		if p := w.place("cam"); p.Primary != c.want {
			t.Errorf("beside one in danger %v it is at %s", c.danger, p.Primary)
		}
	}
}

func TestASwingingCameraSettles(t *testing.T) {
	w := made(t, 1, "north a; south b", map[string]any{"fleet.copies": 1.0})
	w.create("cam", "a", "north", 5)
	w.run(2 * second)
	south := false
	var swing func()
	swing = func() {
		south = !south
		w.device("cam", map[bool]string{true: "south", false: "north"}[south])
		w.after(3*second, swing)
	}
	swing()
	w.run(3600 * second)
	// Each stay is at least twice as long as the one before, up to 1,280 s.
	if n := w.moves["cam"]; n < 3 || n > 13 {
		t.Errorf("%d moves in an hour", n)
	}
	w.lines = slicesOf(w.lines, "owns")
	w.picture(t, "a-swinging-camera")
}

func TestALostInstanceWaitsForItsHolders(t *testing.T) {
	for _, back := range []bool{true, false} {
		w := made(t, 1, "north a b c d", nil)
		w.create("cam", "a", "north", 5)
		w.run(2 * second)
		held := w.place("cam").Replicas[0]
		w.edges["a"].down, w.edges[held].down = true, true
		w.cell("a", "falls")
		w.cell(held, "falls")
		w.run(5 * second)
		if p := w.place("cam"); p.State != placement.Lost || p.Failures != 1 {
			t.Fatalf("%+v", p)
		}
		if back {
			w.edges[held].down = false
			w.cell(held, "is back")
			w.run(2 * second)
			if p := w.place("cam"); p.Primary != held || p.MissingEntries != 0 {
				t.Errorf("%+v", p)
			}
			w.picture(t, "a-holder-comes-back")
			continue
		}
		w.run(4 * second)
		if p := w.place("cam"); p.State != placement.Lost {
			t.Errorf("restarted before restart_after: %+v", p)
		}
		w.run(5 * second)
		if p := w.place("cam"); p.State != placement.Running || p.MissingEntries == 0 {
			t.Errorf("%+v", p)
		}
		w.picture(t, "a-restart-from-nothing")
	}
}

func TestAPoisonedInstanceIsQuarantined(t *testing.T) {
	w := made(t, 1, "north a b c d e f", nil)
	w.create("bad", "a", "north", 5)
	w.create("good", "b", "north", 5)
	var fell func()
	fell = func() {
		if p := w.place("bad"); p.State == placement.Running {
			e := w.edges[p.Primary]
			if !e.down {
				e.down = true
				w.cell(e.Name, "falls")
				w.after(4*second, func() { e.down = false; w.cell(e.Name, "is back") })
			}
		}
		w.after(3*second, fell)
	}
	w.run(2 * second)
	fell()
	w.run(60 * second)
	if p := w.place("bad"); p.State != placement.Quarantined || p.Failures != 3 {
		t.Errorf("%+v", p)
	}
	if p := w.place("good"); p.State != placement.Running {
		t.Errorf("%+v", p)
	}
	w.picture(t, "a-poisoned-instance")
}

// Of many instances that fall with one that fells its owners, it alone is quarantined.
func TestAPoisonedInstanceTakesNoOthersWithIt(t *testing.T) {
	w := made(t, 1, "north a b c d e f g h", nil)
	names := []string{"bad"}
	for i := range 12 {
		names = append(names, fmt.Sprintf("good-%d", i))
	}
	for _, name := range names {
		w.create(name, "a", "north", 5)
	}
	falls := 0
	var fell func()
	fell = func() {
		if p := w.place("bad"); p.State == placement.Running {
			if e := w.edges[p.Primary]; !e.down {
				e.down = true
				falls++
				w.after(4*second, func() { e.down = false })
			}
		}
		w.after(3*second, fell)
	}
	w.run(2 * second)
	fell()
	w.run(90 * second)
	for _, name := range names {
		if p := w.place(name); (p.State == placement.Quarantined) != (name == "bad") {
			t.Errorf("%+v", p)
		}
	}
	if falls < 3 || falls > 6 {
		t.Errorf("%d units fell", falls)
	}
}

func TestABuildIsTakenBackWhileItsUnitsReceive(t *testing.T) {
	w := made(t, 1, "north a; south b c", map[string]any{"fleet.copies": 0.0})
	for _, name := range []string{"x", "y"} {
		w.create(name, "a", "north", 5)
	}
	w.run(2 * second)
	w.device("x", "south")
	w.device("y", "south")
	w.run(20 * ms)
	w.edges["b"].RollingBack = true
	w.cell("b", "goes back")
	w.run(5 * second)
	for _, name := range []string{"x", "y"} {
		if p := w.place(name); p.Primary != "c" {
			t.Errorf("%+v", p)
		}
	}
	w.picture(t, "a-build-goes-back")
}

func TestAChangeOfLeaderLosesNothing(t *testing.T) {
	w := made(t, 1, "north a b; south c d", nil)
	for _, name := range []string{"x", "y", "z"} {
		w.create(name, "a", "north", 5)
	}
	w.run(2 * second)
	for _, name := range []string{"x", "y", "z"} {
		w.device(name, "south")
	}
	w.run(20 * ms)
	w.lead()
	w.cell("keepers", "another leads")
	w.edges["b"].down = true
	w.cell("b", "falls")
	w.run(12 * second)
	for _, name := range []string{"x", "y", "z"} {
		if p := w.place(name); w.edges[p.Primary].Zone != "south" || p.CopyTarget != "" || len(p.Replicas) != 1 || w.edges[p.Replicas[0]].down {
			t.Errorf("%+v", p)
		}
	}
	w.picture(t, "a-change-of-leader")
}

func TestAUnitWithTooManyHandsOnItsLightest(t *testing.T) {
	w := made(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
	for i, name := range []string{"w1", "w2", "w3"} {
		w.create(name, "a", "north", float64(1+i))
	}
	w.run(2 * second)
	w.edges["a"].Accepting, w.edges["a"].FreeSlots = false, -1
	w.run(400 * ms)
	w.edges["a"].FreeSlots = 0
	w.run(5 * second)
	for name, want := range map[string]string{"w1": "b", "w2": "a", "w3": "a"} {
		if p := w.place(name); p.Primary != want {
			t.Errorf("%s is at %s", name, p.Primary)
		}
	}
}

func TestTwoHundredCamerasCrossWithinTheBounds(t *testing.T) {
	w := made(t, 1, "north a b c d; south e f g h", nil)
	for _, e := range w.edges {
		e.FreeSlots = 200
	}
	for i := range 200 {
		w.create(fmt.Sprint("cam-", i), []string{"a", "b", "c", "d"}[i%4], "north", 5)
	}
	w.run(15 * second) // each has its copy
	w.most = 0
	for i := range 200 {
		w.after(tick.Tick(i)*second/100, func() { w.device(fmt.Sprint("cam-", i), "south") })
	}
	w.run(10 * second)
	for i := range 200 {
		if p := w.place(fmt.Sprint("cam-", i)); w.edges[p.Primary].Zone != "south" {
			t.Fatalf("after 10 s: %+v", p)
		}
	}
	if w.most < 4 || w.most > 16 {
		t.Errorf("%d copies were under way at most, with 4 handovers on the link", w.most)
	}
	w.run(20 * second)
	n := 0
	for _, p := range w.table.All() {
		n += len(p.Replicas)
	}
	if n != 200 {
		t.Errorf("%d copies of 200", n)
	}
}

func TestTheBoundsHold(t *testing.T) {
	for _, set := range []map[string]any{{"fleet.moves.unit": 1.0}, {"fleet.moves.link": 2.0}, {"fleet.moves.all": 3.0},
		{"fleet.moves.unit": 1.0, "fleet.moves.link": 1.0, "fleet.moves.all": 1.0}} {
		set["fleet.copies"] = 1.0
		w := made(t, 1, "north a b c; south d e f; west g h", set)
		for i := range 30 {
			w.create(fmt.Sprint("cam-", i), w.names[i%6], "north", 5)
		}
		w.run(2 * second)
		for i := range 30 {
			w.device(fmt.Sprint("cam-", i), []string{"north", "south", "west"}[i%3])
		}
		w.run(60 * second)
		for _, p := range w.table.All() {
			if p.CopyTarget != "" || p.Zone != w.edges[p.Primary].Zone || len(p.Replicas) != 1 {
				t.Fatalf("%v: %+v", set, p)
			}
		}
	}
}

func TestAColdUnitIsHandedNoMoreThanItsRoom(t *testing.T) {
	for _, trickle := range []bool{false, true} {
		w := made(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
		for i := range 12 {
			w.create(fmt.Sprint("cam-", i), "a", "north", 5)
		}
		w.run(2 * second)
		w.edges["b"].WarmingUp, w.edges["b"].FreeSlots, w.edges["b"].Limited = true, 2, trickle
		w.run(second)
		w.edges["a"].Draining = true
		w.run(300 * ms) // its next report has not come
		if n := len(w.table.ByPrimary("b")); n > 2 || w.most > 2 || trickle && w.most > 1 {
			t.Errorf("trickle %v: %d are at a cold unit, %d under way", trickle, n, w.most)
		}
		w.edges["b"].FreeSlots = 0
		w.run(60 * second)
		if n := len(w.table.ByPrimary("b")); n != map[bool]int{true: 1, false: 2}[trickle] {
			t.Errorf("trickle %v: %d are at a unit without room", trickle, n)
		}
	}
}

func TestTheBetterHolderTakesOver(t *testing.T) {
	w := made(t, 1, "north a b c", map[string]any{"fleet.copies": 2.0})
	w.create("cam", "a", "north", 5)
	w.run(2 * second)
	w.edges["b"].Evacuating, w.edges["b"].Accepting = true, false
	w.run(second)
	w.edges["a"].down = true
	w.run(4 * second)
	if p := w.place("cam"); p.Primary != "c" || p.Epoch != 2 {
		t.Errorf("%+v", p)
	}
	// And the tired one rather than none: it has every acked effect.
	w.edges["c"].down = true
	w.run(4 * second)
	if p := w.place("cam"); p.Primary != "b" {
		t.Errorf("%+v", p)
	}
}

// TestAUnitWhoseFallIsOnItsWayHasNoLease: the entry could be agreed while it acts again.
func TestAUnitWhoseFallIsOnItsWayHasNoLease(t *testing.T) {
	h := &holding{}
	p := NewPlanner(h, 1, 1, nil)
	p.OnElected(1)
	p.OnNodeStatus(1, NodeStatus{Name: "a", Zone: "north", Accepting: true, FreeSlots: 5})
	p.OnAssignment(1, placement.Assignment{Instance: "cam", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, Replicas: []string{"b"}})
	if p.FailOverPending("a") || p.FailOverPending("nobody") {
		t.Error("fails before it fell")
	}
	p.OnLeaseExpired(20000, "a")
	if len(h.steps) != 1 || h.steps[0].Kind != placement.OpFailOver || !p.FailOverPending("a") {
		t.Fatalf("%+v", h.steps)
	}
	for now := tick.Tick(20000); now < 90000; now += 5000 { // its answer is lost: it is asked again, and still on its way
		p.OnTick(now)
	}
	if len(h.steps) < 2 || !p.FailOverPending("a") {
		t.Errorf("%+v", h.steps)
	}
	p.OnProposalRefused(90000, h.steps[0], placement.ErrWrongState)
	if p.FailOverPending("a") {
		t.Error("fails for ever")
	}
	p.OnTick(300000)
	p.OnAssignment(300000, placement.Assignment{Instance: "cam", State: placement.Lost, Epoch: 1, Revision: 2, Replicas: []string{"a", "b"}, Failures: 1})
	if p.FailOverPending("a") {
		t.Error("fails after it was agreed")
	}
}

// holding keeps the steps and answers none.
type holding struct{ steps []placement.Operation }

func (h *holding) Propose(e placement.Operation) { h.steps = append(h.steps, e) }
func (h *holding) Log(string)                    {}

func TestADeviceThatCrossesWhileAStepIsOnItsWayIsNotForgotten(t *testing.T) {
	h := &holding{}
	p := NewPlanner(h, 1, 1, map[string]any{"fleet.copies": 0.0})
	p.OnElected(1)
	for _, name := range []string{"a", "b"} {
		p.OnNodeStatus(1, NodeStatus{Name: name, Zone: map[string]string{"a": "north", "b": "south"}[name], Accepting: true, FreeSlots: 5})
	}
	at := placement.Assignment{Instance: "cam", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, Zone: "north"}
	p.OnAssignment(1, at)
	p.OnDeviceMoved(2, "cam", "south")
	p.OnDeviceMoved(3, "cam", "north") // back while the first is on its way
	at.Zone, at.Revision = "south", 2
	p.OnAssignment(4, at)
	last := h.steps[len(h.steps)-1]
	if last.Kind != placement.OpMoveDevice || last.Zone != "north" {
		t.Errorf("%+v", h.steps)
	}
	p.OnDeviceMoved(5, "nobody", "north")
}

func TestANewInstanceBeginsWhereThereIsRoom(t *testing.T) {
	w := made(t, 1, "north a b; south c", nil)
	w.edges["a"].Accepting = false
	w.edges["c"].FreeSlots = 1
	w.run(second)
	for _, c := range []struct{ zone, want string }{{"north", "b"}, {"south", "c"}, {"south", "b"}, {"nowhere", "b"}} {
		if u := w.plan.ChooseNode(w.now, "new", c.zone); u != c.want {
			t.Errorf("in %s: %q, not %q", c.zone, u, c.want)
		}
	}
}

// A unit whose instances all lost their holder has them copied one after the other as places come free.
func TestManyThinInstancesAreCopiedWithoutAPause(t *testing.T) {
	w := made(t, 1, "north a b c d", map[string]any{"fleet.moves.all": 64.0})
	for i := range 40 {
		w.create(fmt.Sprintf("cam-%02d", i), "a", "north", 5)
	}
	w.run(second)
	thin := 0
	for _, p := range w.table.All() {
		thin += b2i(len(p.Replicas) == 0)
	}
	if thin > 0 {
		t.Errorf("%d of 40 have no copy after 1 s", thin)
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
