package migration_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/tick"
)

// asked is a planner whose steps are answered by the test alone. Units a and b are in north, s in south.
func asked(set map[string]any, units ...Unit) (*holding, *Planner) {
	h := &holding{}
	p := NewPlanner(h, 1, 1, set)
	p.Led(1)
	for _, u := range units {
		if u.Zone == "" {
			u.Zone = map[bool]string{true: "south", false: "north"}[u.Name == "s"]
		}
		u.Run = max(1, u.Run)
		p.Unit(1, u)
	}
	return h, p
}

func well(name string, danger float64) Unit {
	return Unit{Name: name, Accepts: true, Room: 9, Danger: danger}
}

func at(name, owner string, holders ...string) Place {
	return Place{Name: name, State: Runs, Owner: owner, Epoch: 1, Change: 1, Holders: holders, Zone: "north", Weight: 5}
}

// sent is what was asked for since it was read last, in short.
func (h *holding) sent() string {
	var all []string
	for _, e := range h.steps {
		all = append(all, strings.TrimSpace(fmt.Sprintf("%s %s %s", e.Kind, e.Name, e.To)))
	}
	h.steps = nil
	return strings.Join(all, ", ")
}

func expect(t *testing.T, h *holding, want string) {
	t.Helper()
	if got := h.sent(); got != want {
		t.Errorf("asked for %q, not %q", got, want)
	}
}

var noCopies = map[string]any{"fleet.copies": 0.0}

func TestACopyIsGivenUpWhereItsTargetMayNotBeHandedOneAnyMore(t *testing.T) {
	for why, bad := range map[string]Unit{"drains": {Accepts: true, Draining: true}, "leaves": {Accepts: true, Leaves: true},
		"goes back": {Accepts: true, GoingBack: true}, "refuses": {}, "hands on": {Accepts: true, HandsOn: true}} {
		h, p := asked(noCopies, well("a", 0.1), well("b", 0.1))
		place := at("c", "a")
		place.To, place.Switch = "b", true
		p.Placed(2, place)
		expect(t, h, "")
		bad.Name, bad.Zone, bad.Run, bad.Room = "b", "north", 1, 9
		if p.Unit(3, bad); h.sent() != "back c b" {
			t.Errorf("%s: the copy goes on", why)
		}
	}
}

func TestAHolderWithLittleLeaseLeftIsWaitedFor(t *testing.T) {
	for _, falls := range []bool{true, false} {
		b := well("b", 0.1)
		b.Until = 9000
		h, p := asked(nil, well("a", 0.1), b)
		p.Placed(2, at("c", "a", "b"))
		p.LeaseOver(8000, "a")
		expect(t, h, "")
		if falls {
			p.LeaseOver(9000, "b")
			p.Alarm(10000)
			expect(t, h, "fail c")
		} else {
			b.Zone, b.Run, b.Until = "north", 1, 19000
			p.Unit(8500, b)
			p.Alarm(10000)
			expect(t, h, "fail c b")
		}
	}
}

func TestAHolderWhoseLeaseHasRunOutIsNoHeir(t *testing.T) {
	b := well("b", 0.1)
	b.Until = 9000
	h, p := asked(nil, well("a", 0.1), b)
	p.Placed(2, at("c", "a", "b"))
	p.LeaseOver(8000, "a")
	for now := tick.Tick(8000); now < 16000; now = p.Alarm(now) {
		if now < 12000 {
			expect(t, h, "")
		}
	}
	expect(t, h, "fail c")
}

func TestAHolderWithoutMemoryIsNoHeir(t *testing.T) {
	h, p := asked(nil, well("a", 0.1), well("b", 0.1))
	p.Placed(2, at("c", "a", "b"))
	b := well("b", 0.1)
	b.Zone, b.Run, b.Fresh = "north", 2, true
	p.Unit(3, b)
	expect(t, h, "drop c b")
	p.LeaseOver(4, "a")
	p.Refused(5, Entry{V: 1, Kind: Drop, Name: "c", Epoch: 1, To: "b"}, errors.New("the majority is gone"))
	p.Alarm(5000)
	expect(t, h, "fail c")
}

func TestTwoUnitsThatTireInTurnSettle(t *testing.T) {
	w := made(t, 1, "north a b", map[string]any{"fleet.copies": 0.0})
	w.create("cam", "a", "north", 5)
	turn := false
	var swing func()
	swing = func() {
		turn = !turn
		for name, tired := range map[string]bool{"a": turn, "b": !turn} {
			e := w.edges[name]
			e.HandsOn, e.Accepts, e.Danger = tired, !tired, map[bool]float64{true: 0.9, false: 0.1}[tired]
		}
		w.after(4*second, swing)
	}
	swing()
	w.run(600 * second)
	if n := w.moves["cam"]; n < 2 || n > 9 {
		t.Errorf("%d moves in ten minutes", n)
	}
}

func TestCopiesLeaveRoomForHandovers(t *testing.T) {
	h, p := asked(map[string]any{"fleet.moves.all": 4.0}, well("a", 0.1), well("b", 0.1), well("s", 0.1))
	for i := range 9 {
		p.Placed(2, at(fmt.Sprint("c", i), "a"))
	}
	expect(t, h, "copy c0 b, copy c1 b, copy c2 b")
	place := at("c8", "a")
	place.Zone, place.Change = "south", 2
	p.Placed(3, place)
	expect(t, h, "copy c8 s")
}

func TestAHolderThatItsOwnerDroppedIsNotChosenAtOnce(t *testing.T) {
	h, p := asked(nil, well("a", 0.1), well("b", 0.1), well("d", 0.6))
	p.Placed(2, at("c", "a", "b"))
	place := at("c", "a")
	place.Change = 2
	p.Placed(3, place)
	expect(t, h, "copy c d")
}

func TestAnInstanceThatNoFreedLinkWokeIsLookedAtAgain(t *testing.T) {
	h, p := asked(map[string]any{"fleet.copies": 0.0, "fleet.moves.link": 1.0}, well("a", 0.1), well("s", 0.1))
	w, x, y := at("w", "a"), at("x", "a"), at("y", "a")
	w.Zone, x.Zone, y.Zone, w.Weight, x.Weight = "south", "south", "south", 9, 7
	for _, place := range []Place{w, x, y} {
		p.Placed(2, place)
	}
	expect(t, h, "copy w s")
	s := well("s", 0.1)
	s.Zone, s.Run, s.Accepts = "south", 1, false
	p.Unit(3, s)
	w.Change, w.Zone = 2, "north" // the copy was given up; w and x go home
	p.Refused(4, Entry{V: 1, Kind: Copy, Name: "w", Epoch: 1, To: "s"}, ErrState)
	p.Placed(4, w)
	x.Change, x.Zone = 2, "north"
	p.Placed(5, x)
	s.Accepts = true
	p.Unit(6, s)
	for now := tick.Tick(7); now < 60000; now = p.Alarm(now) {
	}
	if got := h.sent(); !strings.Contains(got, "copy y s") {
		t.Errorf("%q", got)
	}
}

func TestAnInstanceThatCannotFollowKeepsItsCopies(t *testing.T) {
	w := made(t, 1, "north a b c; south d", nil)
	w.edges["d"].Accepts = false
	w.create("cam", "a", "north", 5)
	w.run(2 * second)
	w.device("cam", "south")
	w.run(2 * second)
	held := w.place("cam").Holders[0]
	w.edges[held].down = true
	w.run(20 * second)
	if p := w.place("cam"); p.Owner != "a" || len(p.Holders) != 1 || p.Holders[0] == held {
		t.Errorf("%+v", p)
	}
}

func TestCopiesTooManyGoBeforeTheNextMove(t *testing.T) {
	h, p := asked(nil, well("a", 0.1), well("b", 0.1), well("d", 0.2), well("e", 0.3), well("s", 0.1))
	place := at("c", "a", "b", "d", "e")
	place.Zone = "south"
	p.Placed(2, place)
	expect(t, h, "drop c e")
}

func TestTheMostEndangeredUnitGoesFirst(t *testing.T) {
	h, p := asked(map[string]any{"fleet.copies": 0.0, "fleet.moves.all": 1.0}, Unit{Name: "b"}, Unit{Name: "a"},
		Unit{Name: "e"}, well("d", 0.1))
	for _, owner := range []string{"a", "b", "e"} {
		p.Placed(2, at("at-"+owner, owner))
	}
	for i, name := range []string{"e", "a", "b"} {
		p.Unit(3, Unit{Name: name, Zone: "north", Run: 1, HandsOn: true, Danger: 0.6 + 0.1*float64(i)})
	}
	expect(t, h, "copy at-e d") // the first to be told
	p.Refused(4, Entry{V: 1, Kind: Copy, Name: "at-e", Epoch: 1, To: "d"}, ErrState)
	expect(t, h, "copy at-b d")
}

func TestAPlaceThatWasOvertakenIsPassedOver(t *testing.T) {
	h, p := asked(noCopies, well("a", 0.1), well("b", 0.1))
	now := at("c", "b")
	now.Epoch, now.Change = 2, 4
	p.Placed(2, now)
	p.Placed(3, at("c", "a"))
	p.LeaseOver(4, "a")
	expect(t, h, "")
	p.LeaseOver(5, "b")
	expect(t, h, "fail c")
}

func TestAMorePressingReasonDoesNotWaitForALesserOne(t *testing.T) {
	h, p := asked(noCopies, well("a", 0.1), well("b", 0.1))
	place := at("c", "a")
	place.Zone = "south" // where there is no unit
	p.Placed(2, place)
	now := tick.Tick(3)
	for now < 200000 {
		now = p.Alarm(now)
	}
	a := well("a", 0.1)
	a.Zone, a.Run, a.Draining = "north", 1, true
	p.Unit(200001, a)
	expect(t, h, "copy c b")
}

func TestBelatedAndOddFactsDoNoHarm(t *testing.T) {
	h, p := asked(nil)
	p.Refused(2, Entry{Name: "nobody", Kind: Copy}, ErrOld)
	p.Placed(2, Place{Name: "c", State: Gone})
	p.LeaseOver(2, "nobody")
	p.Device(2, "nobody", "north")
	p.Placed(3, at("c", "a", "b"))
	p.Placed(4, Place{Name: "c", State: Gone, Epoch: 1, Change: 2})
	p.Device(5, "c", "north")
	p.Unit(6, well("a", 0.1))
	p.Follows(7)
	p.LeaseOver(8, "a")
	p.Alarm(100000)
	expect(t, h, "")
}
