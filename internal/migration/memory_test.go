package migration_test

import (
	"fmt"
	"slices"
	"testing"

	"silvercove/internal/migration"
	"silvercove/internal/tick"
)

// still is an owner's host that does nothing.
type still struct{}

func (still) Send(string, migration.Message)          {}
func (still) Step(migration.Entry)                    {}
func (still) Answer(*migration.Ask, migration.Answer) {}
func (still) Keep(string, migration.Effect)           {}
func (still) Cut(string, uint64)                      {}
func (still) Begin(string, uint64, uint64)            {}
func (still) Forget(string)                           {}
func (still) Tell(migration.Event)                    {}

// A unit keeps nothing of instances that are others' alone, told at its start or later, and all of its own.
func TestPlacesOfOthersAreNotKept(t *testing.T) {
	const n = 10000
	others := func(change uint64) (all []migration.Place) {
		for i := range n {
			all = append(all, migration.Place{Name: fmt.Sprintf("cam-%05d", i), State: migration.Runs, Owner: "edge-b",
				Holders: []string{"edge-c"}, Epoch: 1, Change: change, Begun: true})
		}
		return all
	}
	o := migration.NewOwner(still{}, 1, "edge-a", 1, map[string]any{"fleet.lease": 1.0}, nil, others(1), n)
	o.Leased(2, 2+tick.Second, n)
	for _, p := range others(2) {
		o.Placed(3, p)
	}
	if known := o.Known(); len(known) != 0 {
		t.Fatalf("%d rows for %d places of others, first %s", len(known), n, known[0])
	}
	p := others(3)[7]
	p.To = "edge-a"
	o.Placed(4, p)
	if known := o.Known(); len(known) != 1 || known[0] != p.Name {
		t.Fatalf("%v is known once %s is copied here", known, p.Name)
	}
	p.Owner, p.To, p.Epoch = "edge-c", "", 2
	o.Placed(5, p) // and what has concerned it goes on to be followed
	if h := o.Holdings(6); len(h) != 0 {
		t.Fatalf("it has %+v", h)
	}
}

// resting is a unit with n instances at rest.
func resting(n int) *migration.Owner {
	var places []migration.Place
	var records []migration.Record
	for i := range n {
		name := fmt.Sprintf("cam-%05d", i)
		places = append(places, migration.Place{Name: name, State: migration.Runs, Owner: "edge-a", Epoch: 1, Change: 1, Begun: true})
		records = append(records, migration.Record{Name: name})
	}
	o := migration.NewOwner(still{}, 1, "edge-a", 1, map[string]any{"fleet.lease": 1.0}, records, places, 1)
	o.Leased(2, 2+tick.Second, 1)
	return o
}

// An alarm looks at instances with something under way, not at those at rest.
func TestAlarmLeavesWhatRests(t *testing.T) {
	o := resting(200)
	for _, h := range o.Holdings(3) {
		if !h.Acts {
			t.Fatalf("it does not act: %+v", h)
		}
	}
	o.Alarm(3)
	if n := o.Busy(); n != 0 {
		t.Fatalf("%d instances at rest are looked at", n)
	}
	o.Asked(4, &migration.Ask{ID: "1", Name: "cam-00007", Write: true, NotAfter: tick.Second})
	o.Placed(4, migration.Place{Name: "cam-00009", State: migration.Runs, Owner: "edge-a", Epoch: 1, Change: 2, Begun: true, To: "edge-b"})
	if n := o.Busy(); n != 2 {
		t.Fatalf("%d instances are looked at, with an effect on its way to the disk and a copy under way", n)
	}
	o.Kept(5, "cam-00007", 1)
	o.Placed(5, migration.Place{Name: "cam-00009", State: migration.Runs, Owner: "edge-a", Epoch: 1, Change: 3, Begun: true})
	o.Alarm(6)
	if n := o.Busy(); n != 0 {
		t.Fatalf("%d instances are looked at after it", n)
	}
}

func BenchmarkAlarmAtRest(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := resting(n)
			for b.Loop() {
				o.Alarm(3)
			}
		})
	}
}

// heard is a host that notes what an owner sends, asks the keepers for and tells.
type heard struct {
	still
	sent  []migration.Message
	steps []migration.Entry
	told  []string
}

func (h *heard) Send(_ string, m migration.Message) { h.sent = append(h.sent, m) }
func (h *heard) Step(e migration.Entry)             { h.steps = append(h.steps, e) }
func (h *heard) Tell(e migration.Event)             { h.told = append(h.told, e.What) }

func (h *heard) last() migration.Message {
	if len(h.sent) == 0 {
		return migration.Message{}
	}
	return h.sent[len(h.sent)-1]
}

// A unit whose disk was put back goes on as an owner where one that does not doubt its own copy shows it to be whole, gives
// way to one with more, and else says that effects may be missing; until the keepers know that it vouches for nobody's copy.
func TestAnOwnerWhoseDiskWasPutBack(t *testing.T) {
	rec := migration.Record{Name: "c"}
	var more migration.Effect
	for i := range uint64(3) {
		e := migration.Effect{Seq: i + 1, Epoch: 1, Unit: "a", ID: fmt.Sprint(i)}
		e.Sum = e.Chain(rec.Sum())
		if more = e; i < 2 {
			rec.Add(e)
		}
	}
	for _, x := range []struct {
		what          string
		back, alone   bool
		answer        migration.Message // of the holder
		acts, doubts  bool
		gives, settle bool
	}{
		{what: "a whole holder", back: true, answer: migration.Message{Seq: 2, Sum: rec.Sum()}, acts: true, settle: true},
		{what: "one that doubts", back: true, answer: migration.Message{Seq: 2, Sum: rec.Sum(), Doubt: true}, acts: true, doubts: true},
		{what: "one with more", back: true, answer: migration.Message{Seq: 3, Sum: more.Sum, Doubt: true}, gives: true},
		{what: "none", back: true, alone: true, acts: true, doubts: true},
		{what: "one that doubts, of a unit that was not put back", answer: migration.Message{Seq: 2, Sum: rec.Sum(), Doubt: true},
			acts: true, settle: true},
	} {
		p := migration.Place{Name: "c", State: migration.Runs, Owner: "a", Epoch: 1, Change: 1, Begun: true}
		if !x.alone {
			p.Holders = []string{"b"}
		}
		h := &heard{}
		r := rec
		r.Effects = slices.Clone(rec.Effects)
		o := migration.NewOwner(h, 1, "a", 2, nil, []migration.Record{r}, []migration.Place{p}, 1)
		o.Disk(1, x.back)
		o.Leased(1, tick.Second, 1)
		if !x.alone {
			if asked := h.last(); asked.Kind != migration.Tail || asked.Doubt != x.back || o.Acts(2, "c") {
				t.Errorf("%s: it asks %+v", x.what, asked)
			}
			m := x.answer
			m.V, m.Kind, m.Name, m.Epoch, m.Own = 1, migration.Held, "c", 1, 7
			o.Heard(2, "b", m)
		}
		doubts := o.Doubts(9)
		if o.Acts(3, "c") != x.acts || slices.Contains(h.told, "doubts") != x.doubts || (len(doubts) == 1) != x.doubts ||
			o.Settled() != x.settle || (len(h.steps) == 1 && h.steps[0].Kind == migration.Lacks && h.steps[0].To == "b") != x.gives {
			t.Errorf("%s: %v, doubts %v, steps %v, settled %v", x.what, h.told, doubts, h.steps, o.Settled())
		}
		if !x.doubts {
			continue
		}
		if o.Doubted(3, doubts); len(o.Doubts(9)) != 0 || !o.Settled() {
			t.Errorf("%s: it tells again", x.what)
		}
		for n := 0; n < 3 && !x.alone; n++ { // what was under way is answered, then it shows the holder what there is
			m := x.answer
			m.V, m.Kind, m.Name, m.Epoch, m.Own = 1, migration.Held, "c", 1, 7
			o.Heard(4, "b", m)
		}
		if shows := h.last(); !x.alone && (shows.Doubt || shows.Run != 7) {
			t.Errorf("%s: it vouches by %+v", x.what, shows)
		}
	}
	// One that was its owner at the start proves nothing to the next owner before it knows of its own disk.
	for _, judged := range []bool{false, true} {
		h := &heard{}
		r := rec
		r.Effects = slices.Clone(rec.Effects)
		p := migration.Place{Name: "c", State: migration.Runs, Owner: "b", Epoch: 1, Change: 1, Begun: true}
		o := migration.NewOwner(h, 1, "b", 2, nil, []migration.Record{r}, []migration.Place{p}, 1)
		p.Owner, p.Epoch, p.Change, p.Holders = "a", 2, 3, []string{"b"}
		o.Placed(1, p)
		if judged {
			o.Disk(1, false)
		}
		o.Heard(2, "a", migration.Message{V: 1, Kind: migration.Tail, Name: "c", Epoch: 2, Own: 5, Prev: 2, PrevSum: rec.Sum(), Tip: 2, Re: 1})
		if m := h.last(); m.Kind != migration.Held || m.Doubt == judged {
			t.Errorf("judged: %v; it answers %+v", judged, m)
		}
	}
	// A holder believes an owner that does not doubt.
	for _, doubt := range []bool{true, false} {
		h := &heard{}
		r := rec
		r.Effects = slices.Clone(rec.Effects)
		o := migration.NewOwner(h, 1, "b", 2, nil, []migration.Record{r}, []migration.Place{{Name: "c", State: migration.Runs, Owner: "a",
			Epoch: 1, Change: 1, Begun: true, Holders: []string{"b"}}}, 1)
		o.Disk(1, true)
		o.Heard(2, "a", migration.Message{V: 1, Kind: migration.Tail, Name: "c", Epoch: 1, Own: 5, Run: 2, Prev: 2, PrevSum: rec.Sum(),
			Tip: 2, Doubt: doubt, Re: 1})
		if h.last().Doubt != doubt || o.Settled() == doubt {
			t.Errorf("shown by an owner that doubts: %v; it answers %+v", doubt, h.last())
		}
	}
}
