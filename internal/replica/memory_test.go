package replica_test

import (
	"fmt"
	"slices"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// still is an owner's host that does nothing.
type still struct{}

func (still) Send(string, replica.Message)               {}
func (still) Propose(placement.Operation)                {}
func (still) Respond(*replica.Request, replica.Response) {}
func (still) AppendEntry(string, replica.LogEntry)       {}
func (still) TruncateLog(string, uint64)                 {}
func (still) ResetLog(string, uint64, uint64)            {}
func (still) DeleteLog(string)                           {}
func (still) Notify(replica.Event)                       {}

// A unit keeps nothing of instances that are others' alone, told at its start or later, and all of its own.
func TestPlacesOfOthersAreNotKept(t *testing.T) {
	const n = 10000
	others := func(change uint64) (all []placement.Assignment) {
		for i := range n {
			all = append(all, placement.Assignment{Instance: fmt.Sprintf("cam-%05d", i), State: placement.Running, Primary: "edge-b",
				Replicas: []string{"edge-c"}, Epoch: 1, Revision: change, EverServed: true})
		}
		return all
	}
	o := replica.NewManager(still{}, 1, "edge-a", 1, map[string]any{"fleet.lease": 1.0}, nil, others(1), n)
	o.OnLease(2, 2+tick.Second, n)
	for _, p := range others(2) {
		o.OnAssignment(3, p)
	}
	if known := o.KnownInstances(); len(known) != 0 {
		t.Fatalf("%d rows for %d places of others, first %s", len(known), n, known[0])
	}
	p := others(3)[7]
	p.CopyTarget = "edge-a"
	o.OnAssignment(4, p)
	if known := o.KnownInstances(); len(known) != 1 || known[0] != p.Instance {
		t.Fatalf("%v is known once %s is copied here", known, p.Instance)
	}
	p.Primary, p.CopyTarget, p.Epoch = "edge-c", "", 2
	o.OnAssignment(5, p) // and what has concerned it goes on to be followed
	if h := o.Copies(6); len(h) != 0 {
		t.Fatalf("it has %+v", h)
	}
}

// resting is a unit with n instances at rest.
func resting(n int) *replica.Manager {
	var places []placement.Assignment
	var records []replica.Log
	for i := range n {
		name := fmt.Sprintf("cam-%05d", i)
		places = append(places, placement.Assignment{Instance: name, State: placement.Running, Primary: "edge-a", Epoch: 1, Revision: 1, EverServed: true})
		records = append(records, replica.Log{Instance: name})
	}
	o := replica.NewManager(still{}, 1, "edge-a", 1, map[string]any{"fleet.lease": 1.0}, records, places, 1)
	o.OnLease(2, 2+tick.Second, 1)
	return o
}

// An alarm looks at instances with something under way, not at those at rest.
func TestAlarmLeavesWhatRests(t *testing.T) {
	o := resting(200)
	for _, h := range o.Copies(3) {
		if !h.Serving {
			t.Fatalf("it does not act: %+v", h)
		}
	}
	o.OnTick(3)
	if n := o.Busy(); n != 0 {
		t.Fatalf("%d instances at rest are looked at", n)
	}
	o.OnRequest(4, &replica.Request{ID: "1", Instance: "cam-00007", Write: true, Deadline: tick.Second})
	o.OnAssignment(4, placement.Assignment{Instance: "cam-00009", State: placement.Running, Primary: "edge-a", Epoch: 1, Revision: 2, EverServed: true, CopyTarget: "edge-b"})
	if n := o.Busy(); n != 2 {
		t.Fatalf("%d instances are looked at, with an effect on its way to the disk and a copy under way", n)
	}
	o.OnDurable(5, "cam-00007", 1)
	o.OnAssignment(5, placement.Assignment{Instance: "cam-00009", State: placement.Running, Primary: "edge-a", Epoch: 1, Revision: 3, EverServed: true})
	o.OnTick(6)
	if n := o.Busy(); n != 0 {
		t.Fatalf("%d instances are looked at after it", n)
	}
}

func BenchmarkAlarmAtRest(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := resting(n)
			for b.Loop() {
				o.OnTick(3)
			}
		})
	}
}

// heard is a host that notes what an owner sends, asks the keepers for and tells.
type heard struct {
	still
	sent  []replica.Message
	steps []placement.Operation
	told  []string
}

func (h *heard) Send(_ string, m replica.Message) { h.sent = append(h.sent, m) }
func (h *heard) Propose(e placement.Operation)    { h.steps = append(h.steps, e) }
func (h *heard) Notify(e replica.Event)           { h.told = append(h.told, e.Kind) }

func (h *heard) last() replica.Message {
	if len(h.sent) == 0 {
		return replica.Message{}
	}
	return h.sent[len(h.sent)-1]
}

// A unit whose disk was put back goes on as an owner where one that does not doubt its own copy shows it to be whole, gives
// way to one with more, and else says that effects may be missing; until the keepers know that it vouches for nobody's copy.
func TestAnOwnerWhoseDiskWasPutBack(t *testing.T) {
	rec := replica.Log{Instance: "c"}
	var more replica.LogEntry
	for i := range uint64(3) {
		e := replica.LogEntry{Index: i + 1, Epoch: 1, Node: "a", RequestID: fmt.Sprint(i)}
		e.Checksum = e.ChainChecksum(rec.Checksum())
		if more = e; i < 2 {
			rec.Append(e)
		}
	}
	for _, x := range []struct {
		what          string
		back, alone   bool
		answer        replica.Message // of the holder
		acts, doubts  bool
		gives, settle bool
	}{
		{what: "a whole holder", back: true, answer: replica.Message{Index: 2, Checksum: rec.Checksum()}, acts: true, settle: true},
		{what: "one that doubts", back: true, answer: replica.Message{Index: 2, Checksum: rec.Checksum(), Unverified: true}, acts: true, doubts: true},
		{what: "one with more", back: true, answer: replica.Message{Index: 3, Checksum: more.Checksum, Unverified: true}, gives: true},
		{what: "none", back: true, alone: true, acts: true, doubts: true},
		{what: "one that doubts, of a unit that was not put back", answer: replica.Message{Index: 2, Checksum: rec.Checksum(), Unverified: true},
			acts: true, settle: true},
	} {
		p := placement.Assignment{Instance: "c", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true}
		if !x.alone {
			p.Replicas = []string{"b"}
		}
		h := &heard{}
		r := rec
		r.Entries = slices.Clone(rec.Entries)
		o := replica.NewManager(h, 1, "a", 2, nil, []replica.Log{r}, []placement.Assignment{p}, 1)
		o.OnDiskChecked(1, x.back)
		o.OnLease(1, tick.Second, 1)
		if !x.alone {
			if asked := h.last(); asked.Kind != replica.MessageAppend || asked.Unverified != x.back || o.Serves(2, "c") {
				t.Errorf("%s: it asks %+v", x.what, asked)
			}
			m := x.answer
			m.Version, m.Kind, m.Instance, m.Epoch, m.SenderIncarnation = 1, replica.MessageAck, "c", 1, 7
			o.OnMessage(2, "b", m)
		}
		doubts := o.UnverifiedCopies(9)
		if o.Serves(3, "c") != x.acts || slices.Contains(h.told, "doubts") != x.doubts || (len(doubts) == 1) != x.doubts ||
			o.Verified() != x.settle || (len(h.steps) == 1 && h.steps[0].Kind == placement.OpReportIncomplete && h.steps[0].Target == "b") != x.gives {
			t.Errorf("%s: %v, doubts %v, steps %v, settled %v", x.what, h.told, doubts, h.steps, o.Verified())
		}
		if !x.doubts {
			continue
		}
		if o.OnUnverifiedReported(3, doubts); len(o.UnverifiedCopies(9)) != 0 || !o.Verified() {
			t.Errorf("%s: it tells again", x.what)
		}
		for n := 0; n < 3 && !x.alone; n++ { // what was under way is answered, then it shows the holder what there is
			m := x.answer
			m.Version, m.Kind, m.Instance, m.Epoch, m.SenderIncarnation = 1, replica.MessageAck, "c", 1, 7
			o.OnMessage(4, "b", m)
		}
		if shows := h.last(); !x.alone && (shows.Unverified || shows.ReceiverIncarnation != 7) {
			t.Errorf("%s: it vouches by %+v", x.what, shows)
		}
	}
	// One that was its owner at the start proves nothing to the next owner before it knows of its own disk.
	for _, judged := range []bool{false, true} {
		h := &heard{}
		r := rec
		r.Entries = slices.Clone(rec.Entries)
		p := placement.Assignment{Instance: "c", State: placement.Running, Primary: "b", Epoch: 1, Revision: 1, EverServed: true}
		o := replica.NewManager(h, 1, "b", 2, nil, []replica.Log{r}, []placement.Assignment{p}, 1)
		p.Primary, p.Epoch, p.Revision, p.Replicas = "a", 2, 3, []string{"b"}
		o.OnAssignment(1, p)
		if judged {
			o.OnDiskChecked(1, false)
		}
		o.OnMessage(2, "a", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "c", Epoch: 2, SenderIncarnation: 5, PrevIndex: 2, PrevChecksum: rec.Checksum(), LastIndex: 2, ReplyTo: 1})
		if m := h.last(); m.Kind != replica.MessageAck || m.Unverified == judged {
			t.Errorf("judged: %v; it answers %+v", judged, m)
		}
	}
	// A holder believes an owner that does not doubt.
	for _, doubt := range []bool{true, false} {
		h := &heard{}
		r := rec
		r.Entries = slices.Clone(rec.Entries)
		o := replica.NewManager(h, 1, "b", 2, nil, []replica.Log{r}, []placement.Assignment{{Instance: "c", State: placement.Running, Primary: "a",
			Epoch: 1, Revision: 1, EverServed: true, Replicas: []string{"b"}}}, 1)
		o.OnDiskChecked(1, true)
		o.OnMessage(2, "a", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "c", Epoch: 1, SenderIncarnation: 5, ReceiverIncarnation: 2, PrevIndex: 2, PrevChecksum: rec.Checksum(),
			LastIndex: 2, Unverified: doubt, ReplyTo: 1})
		if h.last().Unverified != doubt || o.Verified() == doubt {
			t.Errorf("shown by an owner that doubts: %v; it answers %+v", doubt, h.last())
		}
	}
}
