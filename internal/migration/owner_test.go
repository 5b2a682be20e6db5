package migration_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"silvercove/internal/migration"
	"silvercove/internal/tick"
)

// notes is a host that remembers; the disk is as fast as memory.
type notes struct {
	o     *migration.Owner
	sent  []migration.Message
	steps []migration.Entry
	ends  []migration.Answer
	tells []migration.Event
	todo  []func()
}

func (n *notes) Send(_ string, m migration.Message)          { n.sent = append(n.sent, m) }
func (n *notes) Step(e migration.Entry)                      { n.steps = append(n.steps, e) }
func (n *notes) Answer(_ *migration.Ask, a migration.Answer) { n.ends = append(n.ends, a) }
func (n *notes) Tell(e migration.Event)                      { n.tells = append(n.tells, e) }
func (n *notes) Keep(name string, e migration.Effect)        { n.safe(name, e.Seq) }
func (n *notes) Cut(name string, seq uint64)                 { n.safe(name, seq) }
func (n *notes) Begin(name string, base, _ uint64)           { n.safe(name, base) }
func (n *notes) Forget(name string)                          { n.safe(name, 0) }
func (n *notes) safe(name string, seq uint64) {
	n.todo = append(n.todo, func() { n.o.Kept(5, name, seq) })
}
func (n *notes) run() {
	for len(n.todo) > 0 {
		do := n.todo[0]
		n.todo = n.todo[1:]
		do()
	}
}

func (n *notes) last(t testing.TB) migration.Message {
	t.Helper()
	n.run()
	if len(n.sent) == 0 {
		t.Fatal("nothing was sent")
	}
	return n.sent[len(n.sent)-1]
}

// chain are effects from one of a sum on.
func chain(before, sum, epoch uint64, unit string, ids ...string) (all []migration.Effect) {
	for i, id := range ids {
		e := migration.Effect{Seq: before + 1 + uint64(i), Epoch: epoch, Unit: unit, ID: id}
		e.Sum = e.Chain(sum)
		sum = e.Sum
		all = append(all, e)
	}
	return all
}

func TestWhatWasSentToAnEarlierRunFillsNothing(t *testing.T) {
	place := migration.Place{Name: "x", State: migration.Runs, Owner: "a", Begun: true, Epoch: 1, Change: 3, Holders: []string{"b"}}
	n := &notes{}
	n.o = migration.NewOwner(n, 1, "b", 2, nil, nil, []migration.Place{place}, 7)
	n.o.Leased(2, 9000, 7)
	if len(n.steps) != 1 || n.steps[0].Kind != migration.Lacks || n.steps[0].By != "b" || n.steps[0].Change != 3 {
		t.Fatalf("a holder without its memory says so: %+v", n.steps)
	}
	late := migration.Message{V: 1, Kind: migration.Tail, Name: "x", Epoch: 1, Own: 1, Run: 1, Effects: chain(0, 0, 1, "a", "c1"), Tip: 1}
	n.o.Heard(3, "a", late)
	if m := n.last(t); m.Kind != migration.Held || m.Seq != 0 || m.Own != 2 {
		t.Errorf("answered by %+v", m)
	}
	place.Owner, place.Epoch, place.Change, place.Holders = "b", 2, 4, nil
	n.o.Placed(4, place)
	n.o.Asked(5, &migration.Ask{Name: "x", ID: "r", NotAfter: 100})
	if n.run(); len(n.ends) != 1 || n.ends[0].Outcome != migration.NeverRan {
		t.Errorf("acts without what it is counted on for: %+v", n.ends)
	}
	n.o.Alarm(6000)
	if e := n.steps[len(n.steps)-1]; e.Kind != migration.Lacks || e.Epoch != 2 {
		t.Errorf("%+v", e)
	}

	// What is sent to this run, up to all that the owner has, makes it whole.
	n = &notes{}
	place = migration.Place{Name: "x", State: migration.Runs, Owner: "a", Begun: true, Epoch: 1, Change: 3, Holders: []string{"b"}}
	n.o = migration.NewOwner(n, 1, "b", 2, nil, nil, []migration.Place{place}, 7)
	n.o.Leased(2, 9000, 7)
	late.Run = 2
	n.o.Heard(3, "a", late)
	if m := n.last(t); m.Seq != 1 || n.o.Fresh() {
		t.Errorf("%+v, lacks: %v", m, n.o.Fresh())
	}
}

func TestALateReplacementTakesNothingBack(t *testing.T) {
	n := &notes{}
	old := migration.Record{Name: "x", Effects: chain(0, 0, 1, "c", "p", "q", "z")}
	place := migration.Place{Name: "x", State: migration.Runs, Owner: "a", Begun: true, Epoch: 2, Change: 3, To: "b"}
	n.o = migration.NewOwner(n, 1, "b", 2, nil, []migration.Record{old}, []migration.Place{place}, 7)
	at := old.Effects[0].Sum
	more := chain(1, at, 2, "a", "q2", "r", "s")
	first := migration.Message{V: 1, Kind: migration.Chunk, Name: "x", Epoch: 2, Own: 1, Run: 2, Prev: 1, PrevSum: at,
		Effects: more[:1], Tip: 3, Replace: true, Was: 3, WasSum: old.Sum()}
	plain := first
	plain.Replace = false
	n.o.Heard(2, "a", plain)
	if m := n.last(t); m.Seq != 3 || len(m.Sums) != 4 {
		t.Fatalf("what differs is told, not replaced: %+v", m)
	}
	n.o.Heard(2, "a", first)
	if m := n.last(t); m.Seq != 2 || m.Sum != more[0].Sum {
		t.Fatalf("replaced: %+v", m)
	}
	n.o.Heard(3, "a", migration.Message{V: 1, Kind: migration.Tail, Name: "x", Epoch: 2, Own: 1, Run: 2, Prev: 2, PrevSum: more[0].Sum, Effects: more[1:], Tip: 4})
	if m := n.last(t); m.Seq != 4 {
		t.Fatalf("%+v", m)
	}
	begin := migration.Message{V: 1, Kind: migration.Chunk, Name: "x", Epoch: 2, Own: 1, Run: 2, Replace: true, Begin: true, Was: 3, WasSum: old.Sum()}
	only := first
	only.Effects, only.Prev, only.PrevSum = nil, 1, at
	for _, m := range []migration.Message{first, begin, only} {
		n.o.Heard(4, "a", m)
		if got := n.last(t); got.Seq != 4 || got.Sum != more[2].Sum {
			t.Errorf("a late %+v leaves %+v", m, got)
		}
	}
	n.o.Heard(5, "c", migration.Message{V: 1, Kind: migration.Tail, Name: "x", Epoch: 1, Own: 1, Run: 2, Prev: 4, PrevSum: more[2].Sum})
	if m := n.last(t); m.Kind != migration.Older || m.Epoch != 2 {
		t.Errorf("an older epoch: %+v", m)
	}
}

// alone is a unit that owns x without holders.
func alone(most float64) *notes {
	n := &notes{}
	n.o = migration.NewOwner(n, 1, "a", 1, map[string]any{"fleet.state": most}, nil, nil, 0)
	n.o.Leased(1, 9000, 1)
	n.o.Placed(1, migration.Place{Name: "x", State: migration.Runs, Owner: "a", Begun: true, Epoch: 1, Change: 1})
	n.o.Seen(1, 1)
	n.run()
	return n
}

func (n *notes) write(id string, size int) migration.Answer {
	n.o.Asked(5, &migration.Ask{Name: "x", ID: id, Write: true, Body: make([]byte, size), NotAfter: 100})
	n.run()
	return n.ends[len(n.ends)-1]
}

func TestAStateBeyondItsBoundRefusesAndLosesNothing(t *testing.T) {
	n := alone(1000)
	if a := n.write("one", 300); a.Outcome != migration.Acked || a.Seq != 1 {
		t.Fatalf("%+v", a)
	}
	if a := n.write("two", 700); a.Outcome != migration.Oversize {
		t.Errorf("%+v", a)
	}
	if a := n.write("one", 300); a.Outcome != migration.Acked || a.Seq != 1 {
		t.Errorf("again: %+v", a)
	}
	if a := n.write("three", 300); a.Outcome != migration.Acked || a.Seq != 2 {
		t.Errorf("%+v", a)
	}
}

func TestCommandsAreRememberedForTheLastEffects(t *testing.T) {
	n := alone(1 << 20)
	for i := range migration.Remembered + 10 {
		if a := n.write(fmt.Sprint(i), 0); a.Seq != uint64(i+1) {
			t.Fatalf("%d: %+v", i, a)
		}
	}
	if a := n.write("10", 0); a.Seq != 11 {
		t.Errorf("the earliest that is remembered: %+v", a)
	}
	if a := n.write("9", 0); a.Seq != migration.Remembered+11 {
		t.Errorf("one that is not: %+v", a)
	}
}

func TestNothingIsAckedOnceTheLeaseIsOver(t *testing.T) {
	n := alone(1 << 20)
	n.o.Asked(5, &migration.Ask{Name: "x", ID: "w", Write: true, NotAfter: 99999})
	n.o.Alarm(9000) // the disk is slow
	if n.run(); len(n.ends) != 1 || n.ends[0].Outcome != migration.Unknown {
		t.Fatalf("%+v", n.ends)
	}
	n.o.Asked(9001, &migration.Ask{Name: "x", ID: "w", Write: true, NotAfter: 99999})
	n.o.Leased(9002, 20000, 5) // the keepers have changed places since
	n.o.Asked(9003, &migration.Ask{Name: "x", ID: "w", Write: true, NotAfter: 99999})
	if len(n.ends) != 3 || n.ends[1].Outcome != migration.NeverRan || n.ends[2].Outcome != migration.NeverRan {
		t.Fatalf("%+v", n.ends)
	}
	n.o.Seen(9004, 5)
	n.o.Asked(9005, &migration.Ask{Name: "x", ID: "w", Write: true, NotAfter: 99999})
	if a := n.ends[len(n.ends)-1]; a.Outcome != migration.Acked || a.Seq != 1 {
		t.Errorf("the same command again: %+v", a)
	}
}

func TestWhatIsWrongIsRefusedByWord(t *testing.T) {
	for name, change := range map[string]func(m *migration.Message){
		"message 2, this program reads 1": func(m *migration.Message) { m.V = 2 },
		"without version or name":         func(m *migration.Message) { m.V = 0 },
		`message "odd"`:                   func(m *migration.Message) { m.Kind = "odd" },
		"too many effects":                func(m *migration.Message) { m.Sums = make([]uint64, migration.Remembered+2) },
		"effect 1 of a message":           func(m *migration.Message) { m.Prev = 5 },
		"the state would pass":            func(m *migration.Message) { m.Effects[0] = chain(0, 0, 1, "a", "p")[0] },
	} {
		n := &notes{}
		n.o = migration.NewOwner(n, 1, "b", 2, map[string]any{"fleet.state": -300000.0}, nil, nil, 0)
		m := migration.Message{V: 1, Kind: migration.Tail, Name: "x", Epoch: 1, Own: 1, Run: 2, Effects: chain(0, 0, 1, "a", "p"), Tip: 1}
		change(&m)
		n.o.Heard(2, "a", m)
		if got := n.last(t); got.Kind != migration.Unfit || !strings.Contains(got.Why, name) {
			t.Errorf("%s: %+v", name, got)
		}
	}
	n := alone(1 << 20)
	for i, c := range []struct {
		ask  migration.Ask
		want migration.Outcome
	}{
		{migration.Ask{Name: "x", NotAfter: 5}, migration.NeverRan}, {migration.Ask{Name: "y", NotAfter: 9}, migration.NeverRan},
		{migration.Ask{Name: "x", ID: strings.Repeat("i", 257), Write: true, NotAfter: 9}, migration.Oversize},
	} {
		if n.o.Asked(5, &c.ask); len(n.ends) != i+1 || n.ends[i].Outcome != c.want {
			t.Errorf("%d: %+v", i, n.ends)
		}
	}
	for i := range 300 { // the disk is slow
		n.o.Asked(5, &migration.Ask{Name: "x", ID: fmt.Sprint(i), Write: true, NotAfter: 99})
	}
	if len(n.ends) != 3+300-256 {
		t.Errorf("%d of 300 are refused", len(n.ends)-3)
	}
}

func TestARestartedOwnerGivesWayToAHolderThatHasMore(t *testing.T) {
	n := &notes{}
	place := migration.Place{Name: "x", State: migration.Runs, Owner: "a", Epoch: 1, Change: 1, Begun: true, Holders: []string{"b"}}
	old := migration.Record{Name: "x", Effects: chain(0, 0, 1, "a", "p")}
	n.o = migration.NewOwner(n, 1, "a", 2, nil, []migration.Record{old}, []migration.Place{place}, 1)
	n.o.Leased(2, 9000, 1)
	if a := n.write("w", 0); a.Outcome != migration.NeverRan {
		t.Errorf("acts before it has asked: %+v", a)
	}
	n.o.Heard(3, "b", migration.Message{V: 1, Kind: migration.Held, Name: "x", Epoch: 1, Own: 1, Seq: 3, Sum: 9})
	if e := n.stepped(migration.Lacks); e == nil || e.To != "b" {
		t.Errorf("%+v", n.steps)
	}
	n.o.Refused(4, n.steps[0], errors.New("the majority is gone"))
	if n.o.Alarm(4 + 6*tick.Second/10); len(n.steps) < 2 {
		t.Errorf("what was refused is not asked for again: %+v", n.steps)
	}
}

func TestACopyThatDoesNotGetOnIsGivenUpAndOneOfNobodyForgotten(t *testing.T) {
	n, _ := with(migration.Place{Change: 2, To: "b"})
	n.o.Asked(5, &migration.Ask{Name: "x", ID: "r", NotAfter: 99})
	n.o.Leased(7, 900000, 0)
	if n.o.Alarm(3 * tick.Second); n.stepped(migration.Back) == nil {
		t.Errorf("%+v", n.steps)
	}
	n.o.Placed(9, migration.Place{Name: "x", State: migration.Runs, Owner: "c", Epoch: 3, Change: 3, Begun: true, Holders: []string{"d"}})
	n.o.Alarm(10)
	if h := n.o.Holdings(10); len(h) != 1 {
		t.Errorf("forgotten at once: %+v", h)
	}
	n.o.Placed(11, migration.Place{Name: "x", State: migration.Runs, Owner: "c", Epoch: 2, Change: 9, Begun: true}) // late
	n.o.Alarm(9 + 2*tick.Second)
	if n.run(); len(n.o.Holdings(12)) != 0 || n.o.Acts(12, "x") {
		t.Errorf("%+v", n.o.Holdings(12))
	}
}

func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"v":1,"kind":"effect","name":"x","epoch":2,"own":1,"run":2,"tip":1,"effects":[{"seq":1,"epoch":1,"unit":"a","id":"c"}]}`))
	f.Add([]byte(`{"v":1,"kind":"held","name":"y","epoch":1,"own":1,"seq":3,"sum":9,"base":1,"sums":[1,2,3]}`))
	f.Add([]byte(`{"v":1,"kind":"copy","name":"x","epoch":2,"run":2,"replace":true,"begin":true,"prev":7,"was":2}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var m migration.Message
		if json.Unmarshal(text, &m) != nil {
			return
		}
		n := &notes{}
		mine := migration.Record{Name: "y", Effects: chain(0, 0, 1, "b", "p", "q", "z")}
		held := migration.Record{Name: "x", Effects: chain(0, 0, 1, "a", "p", "q")}
		n.o = migration.NewOwner(n, 1, "b", 2, nil, []migration.Record{mine, held}, []migration.Place{
			{Name: "x", State: migration.Runs, Owner: "a", Begun: true, Epoch: 2, Change: 3, Holders: []string{"b"}},
			{Name: "y", State: migration.Runs, Owner: "b", Begun: true, Epoch: 1, Change: 3, Holders: []string{"a"}, To: "c"}}, 7)
		n.o.Leased(2, 9000, 7)
		for range 2 {
			n.o.Heard(3, "a", m)
			n.o.Heard(3, "c", m)
			n.run()
			n.o.Alarm(4000)
		}
		n.o.Asked(4001, &migration.Ask{Name: "y", ID: "r", Write: true, NotAfter: 4100})
		n.run()
		for _, h := range n.o.Holdings(4002) {
			if h.Name == "y" && h.Seq < 3 {
				t.Errorf("an owner lost effects: %+v", h)
			}
		}
	})
}

func TestOneThatNeverActedIsBegun(t *testing.T) {
	place := migration.Place{Name: "x", State: migration.Runs, Owner: "a", Epoch: 1, Change: 1}
	n := &notes{}
	n.o = migration.NewOwner(n, 1, "a", 2, nil, nil, []migration.Place{place}, 7)
	n.o.Leased(2, 9000, 7)
	if len(n.steps) != 1 || n.steps[0].Kind != migration.Begin {
		t.Fatalf("%+v", n.steps)
	}
	if a := n.write("w", 0); a.Outcome != migration.NeverRan {
		t.Errorf("acts before it is agreed: %+v", a)
	}
	place.Begun, place.Change = true, 2
	n.o.Placed(3, place)
	if a := n.write("w", 0); a.Outcome != migration.Acked {
		t.Errorf("%+v", a)
	}
	n = &notes{}
	n.o = migration.NewOwner(n, 1, "a", 3, nil, nil, []migration.Place{place}, 7)
	n.o.Leased(2, 9000, 7)
	if len(n.steps) != 1 || n.steps[0].Kind != migration.Lacks {
		t.Fatalf("without its memory: %+v", n.steps)
	}
}

func TestCopiesOfBeforeAreKeptUntilTheirNameIsGivenAnew(t *testing.T) {
	n := &notes{}
	old := migration.Record{Name: "x", Effects: chain(0, 0, 1, "c", "p", "q")}
	n.o = migration.NewOwner(n, 1, "a", 1, nil, []migration.Record{old}, nil, 0) // keepers that know nothing, or lost all
	n.o.Leased(1, 9000, 1)
	n.o.Seen(1, 1)
	n.o.Alarm(5000)
	if h := n.o.Holdings(5000); len(h) != 1 || h[0].Seq != 2 {
		t.Fatalf("%+v", h)
	}
	n.o.Placed(5001, migration.Place{Name: "x", State: migration.Runs, Owner: "a", Epoch: 1, Change: 2, Begun: true})
	n.run()
	if a := n.write("w", 0); a.Outcome != migration.Acked || a.Seq != 1 {
		t.Errorf("the new one goes on from the old: %+v", a)
	}
	n.o.Gone(5002, "x")
	n.run()
	if h := n.o.Holdings(5002); len(h) != 0 {
		t.Errorf("forgotten: %+v", h)
	}
	if a := n.write("w", 0); a.Outcome != migration.NeverRan {
		t.Errorf("%+v", a)
	}
}

func TestPlacementThatWasRebuiltCountsAnew(t *testing.T) {
	n := alone(1 << 20)
	n.write("w", 0)
	n.o.Rebuilt(10, []migration.Place{{Name: "x", State: migration.Runs, Owner: "a", Epoch: 1, Change: 1, Begun: true}}, 1)
	if a := n.write("v", 0); a.Outcome != migration.NeverRan {
		t.Errorf("acts on the lease of before: %+v", a)
	}
	n.o.Leased(11, 20000, 1)
	if a := n.write("w", 0); a.Outcome != migration.Acked || a.Seq != 1 {
		t.Errorf("%+v", a)
	}
}

func TestAnOwnerThatHearsOfALaterEpochStopsAtOnce(t *testing.T) {
	n := alone(1 << 20)
	n.o.Placed(2, migration.Place{Name: "x", State: migration.Runs, Owner: "a", Epoch: 1, Change: 2, Begun: true, Holders: []string{"b"}})
	n.o.Asked(3, &migration.Ask{Name: "x", ID: "w", Write: true, NotAfter: 99})
	n.run()
	n.o.Heard(4, "b", migration.Message{V: 1, Kind: migration.Older, Name: "x", Epoch: 2, Own: 1})
	if len(n.ends) != 1 || n.ends[0].Outcome != migration.Unknown {
		t.Errorf("what may be kept: %+v", n.ends)
	}
	if a := n.write("v", 0); a.Outcome != migration.NeverRan {
		t.Errorf("%+v", a)
	}
}

func TestAFullDiskRefusesAndWhatWasRefusedNeverRan(t *testing.T) {
	n := alone(1 << 20)
	n.write("one", 0)
	for _, id := range []string{"two", "three"} {
		n.o.Asked(5, &migration.Ask{Name: "x", ID: id, Write: true, NotAfter: 99})
	}
	n.todo = nil
	for range 2 {
		n.o.Unkept(6, "x", errors.New("no space left"))
	}
	if len(n.ends) != 3 || n.ends[1].Outcome != migration.NeverRan || n.ends[2].Outcome != migration.NeverRan {
		t.Fatalf("%+v", n.ends)
	}
	if a := n.write("four", 0); a.Outcome != migration.NeverRan {
		t.Errorf("the disk was full just now: %+v", a)
	}
	n.o.Asked(20000, &migration.Ask{Name: "x", ID: "r", NotAfter: 99999})
	n.o.Leased(20000, 40000, 1)
	n.o.Asked(20001, &migration.Ask{Name: "x", ID: "two", Write: true, NotAfter: 99999})
	n.run()
	if a := n.ends[len(n.ends)-1]; a.Outcome != migration.Acked || a.Seq != 2 {
		t.Errorf("room again: %+v", a)
	}
}

func TestAHolderThatTakesNothingIsNotAskedWithoutEnd(t *testing.T) {
	n := alone(1 << 20)
	n.o.Placed(2, migration.Place{Name: "x", State: migration.Runs, Owner: "a", Epoch: 1, Change: 2, Begun: true, Holders: []string{"b"}})
	n.o.Asked(3, &migration.Ask{Name: "x", ID: "w", Write: true, NotAfter: 99})
	n.run()
	for i := 0; i < len(n.sent); i++ {
		if n.o.Heard(4, "b", migration.Message{V: 1, Kind: migration.Held, Name: "x", Epoch: 1, Own: 1}); len(n.sent) > 20 {
			t.Fatalf("%d messages at one moment", len(n.sent))
		}
	}
	before := len(n.sent)
	if n.o.Alarm(4 + tick.Second/10); len(n.sent) == before {
		t.Error("not asked again")
	}
}

// with is a unit that has taken x over, with three effects of "p", "q", "z" that came from the earlier owner.
func with(p migration.Place) (*notes, []migration.Effect) {
	n := &notes{}
	old := chain(0, 0, 1, "c", "p", "q", "z")
	n.o = migration.NewOwner(n, 1, "a", 1, nil, nil, nil, 0)
	n.o.Heard(1, "c", migration.Message{V: 1, Kind: migration.Tail, Name: "x", Epoch: 1, Own: 1, Run: 1, Effects: old, Tip: 3})
	n.o.Leased(1, 90000, 0)
	n.run()
	p.Name, p.State, p.Owner, p.Epoch, p.Begun = "x", migration.Runs, "a", 2, true
	n.o.Placed(1, p)
	n.run()
	return n, old
}

// holds has another unit answer that it has all up to an effect.
func (n *notes) holds(from string, run uint64, e migration.Effect) {
	n.o.Heard(6, from, migration.Message{V: 1, Kind: migration.Held, Name: "x", Epoch: 2, Own: run, Seq: e.Seq, Sum: e.Sum})
	n.run()
}

func (n *notes) stepped(kind migration.Kind) *migration.Entry {
	for i := range n.steps {
		if n.steps[i].Kind == kind {
			return &n.steps[i]
		}
	}
	return nil
}

func TestACopyIsWholeWithEveryAckedEffectAndAcksWaitForItFromThenOn(t *testing.T) {
	n, old := with(migration.Place{Change: 2, To: "b"})
	n.holds("b", 1, old[1])
	if n.stepped(migration.Synced) != nil {
		t.Fatal("an effect that the earlier owner may have acked is missing")
	}
	if a := n.write("one", 0); a.Outcome != migration.Acked || a.Seq != 4 {
		t.Fatalf("%+v", a)
	}
	n.holds("b", 1, old[2])
	if n.stepped(migration.Synced) != nil {
		t.Fatal("one that this owner acked is missing")
	}
	mine := chain(3, old[2].Sum, 2, "a", "one", "two")
	n.holds("b", 1, mine[0])
	if e := n.stepped(migration.Synced); e == nil || e.Change != 2 || e.To != "b" {
		t.Fatalf("%+v", n.steps)
	}
	ends := len(n.ends)
	n.write("two", 0)
	if len(n.ends) != ends {
		t.Fatalf("acked, and the keepers may count on b by now: %+v", n.ends[ends:])
	}
	n.holds("b", 1, mine[1])
	if len(n.ends) != ends+1 || n.ends[ends].Outcome != migration.Acked {
		t.Errorf("%+v", n.ends[ends:])
	}
}

func TestNothingIsBegunBetweenStopAndSwitchWhichWaitsForAll(t *testing.T) {
	n, old := with(migration.Place{Change: 2, Holders: []string{"b", "c"}})
	n.holds("b", 1, old[2])
	n.holds("c", 1, old[2])
	n.o.Asked(5, &migration.Ask{Name: "x", ID: "one", Write: true, NotAfter: 99})
	n.run()
	n.o.Placed(6, migration.Place{Name: "x", State: migration.Runs, Owner: "a", Epoch: 2, Begun: true, Change: 3,
		Holders: []string{"b", "c"}, To: "b", Switch: true})
	n.o.Asked(6, &migration.Ask{Name: "x", ID: "two", Write: true, NotAfter: 99})
	if n.run(); len(n.ends) != 1 || n.ends[0].Outcome != migration.NeverRan {
		t.Fatalf("begun after the stop: %+v", n.ends)
	}
	mine := chain(3, old[2].Sum, 2, "a", "one")
	n.holds("c", 1, mine[0])
	if n.stepped(migration.Switch) != nil {
		t.Fatal("the target has not all")
	}
	n.holds("b", 1, mine[0])
	if e := n.stepped(migration.Switch); e == nil || e.Seq != 4 || e.Change != 3 || len(n.ends) != 2 || n.ends[1].Outcome != migration.Acked {
		t.Fatalf("%+v, %+v", n.steps, n.ends)
	}
	n.o.Placed(7, migration.Place{Name: "x", State: migration.Runs, Owner: "a", Epoch: 2, Begun: true, Change: 4, Holders: []string{"b", "c"}})
	n.o.Asked(7, &migration.Ask{Name: "x", ID: "r", NotAfter: 99})
	if n.run(); n.ends[len(n.ends)-1].Outcome != migration.Acked {
		t.Errorf("given up, and it does not go on: %+v", n.ends)
	}
}

func TestAnAnswerOfAnEarlierRunConfirmsNothing(t *testing.T) {
	n, old := with(migration.Place{Change: 2, Holders: []string{"b"}})
	n.holds("b", 2, old[0])
	n.holds("b", 1, old[2])
	n.o.Asked(7, &migration.Ask{Name: "x", ID: "r", NotAfter: 99})
	if len(n.ends) != 0 {
		t.Fatalf("%+v", n.ends)
	}
	n.holds("b", 2, old[2])
	if len(n.ends) != 1 || n.ends[0].Outcome != migration.Acked {
		t.Errorf("%+v", n.ends)
	}
}

func TestNothingIsConfirmedOrAckedBeforeTheDiskHasIt(t *testing.T) {
	n := &notes{}
	n.o = migration.NewOwner(n, 1, "b", 2, nil, nil, nil, 0)
	n.o.Placed(1, migration.Place{Name: "x", State: migration.Runs, Owner: "a", Epoch: 1, Change: 1, Begun: true, Holders: []string{"b"}})
	n.o.Heard(2, "a", migration.Message{V: 1, Kind: migration.Tail, Name: "x", Epoch: 1, Own: 1, Run: 2,
		Effects: chain(0, 0, 1, "a", "p"), Tip: 1})
	if len(n.sent) != 0 {
		t.Errorf("a holder confirms %+v", n.sent)
	}
	if m := n.last(t); m.Kind != migration.Held || m.Seq != 1 {
		t.Errorf("%+v", m)
	}
	n = alone(1 << 20)
	n.o.Asked(5, &migration.Ask{Name: "x", ID: "w", Write: true, NotAfter: 100})
	if len(n.ends) != 0 {
		t.Errorf("an owner acks %+v", n.ends)
	}
	if n.run(); len(n.ends) != 1 || n.ends[0].Outcome != migration.Acked {
		t.Errorf("%+v", n.ends)
	}
}

func TestAHolderRefusesAnOwnerOfAnEpochBeforeThatItKnows(t *testing.T) {
	n := &notes{}
	n.o = migration.NewOwner(n, 1, "b", 2, nil, nil, nil, 0)
	n.o.Placed(1, migration.Place{Name: "x", State: migration.Runs, Owner: "c", Epoch: 3, Change: 9, Begun: true, To: "b"})
	late := migration.Message{V: 1, Kind: migration.Tail, Name: "x", Epoch: 2, Own: 1, Run: 2, Effects: chain(0, 0, 2, "a", "p"), Tip: 1}
	n.o.Heard(2, "a", late)
	if m := n.last(t); m.Kind != migration.Older || m.Epoch != 3 {
		t.Errorf("%+v", m)
	}
	late.Epoch = 3
	n.o.Heard(2, "a", late)
	if m := n.last(t); m.Kind != migration.Older {
		t.Errorf("of this epoch, and not its owner: %+v", m)
	}
	late.Effects[0].Sum++
	n.o.Heard(2, "c", late)
	if m := n.last(t); m.Kind != migration.Held || m.Seq != 0 {
		t.Errorf("an effect that is not what it was: %+v", m)
	}
}

// TestAHolderHasItsTimeAnewAfterALeaseThatWasLost: an effect that was on its way when the lease ended does not have its
// holder dropped at the moment at which the lease is back: where a keeper fell all units stood still.
func TestAHolderHasItsTimeAnewAfterALeaseThatWasLost(t *testing.T) {
	n := alone(1 << 20)
	n.o.Placed(2, migration.Place{Name: "x", State: migration.Runs, Owner: "a", Epoch: 1, Change: 2, Begun: true, Holders: []string{"b"}})
	n.o.Asked(3, &migration.Ask{Name: "x", ID: "w", Write: true, NotAfter: 99999})
	n.run()
	n.o.Alarm(9500) // the lease was over
	if e := n.tells[len(n.tells)-1]; e.What != "stops" || e.Late != 500 {
		t.Errorf("it says since when it does not act: %+v", e)
	}
	n.o.Leased(9600, 30000, 0)
	n.run()
	n.o.Alarm(9610)
	if e := n.stepped(migration.Drop); e != nil {
		t.Fatalf("dropped at once: %+v", *e)
	}
	n.o.Alarm(9600 + tick.Second/3 + 10)
	n.run()
	if n.stepped(migration.Drop) == nil {
		t.Error("not dropped when its time is over")
	}
}
