package replica_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

func TestManager_RestartedPrimaryYieldsToReplicaWithMore(t *testing.T) {
	n := &recordingHost{}
	place := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true, Replicas: []string{"b"}}
	old := replica.Log{Instance: "x", Entries: entriesAfter(0, 0, 1, "a", "p")}
	n.manager = replica.NewManager(n, 1, "a", 2, nil, []replica.Log{old}, []placement.Assignment{place}, 1)
	n.manager.OnLease(2, 9000, 1)
	if a := n.write("w", 0); a.Outcome != replica.Rejected {
		t.Errorf("acts before it has asked: %+v", a)
	}
	n.manager.OnMessage(3, "b", replica.Message{Version: 1, Kind: replica.MessageAck, Instance: "x", Epoch: 1, SenderIncarnation: 1, Index: 3, Checksum: 9})
	if e := n.proposed(placement.OpReportIncomplete); e == nil || e.Target != "b" {
		t.Errorf("%+v", n.proposals)
	}
	n.manager.OnProposalRefused(4, n.proposals[0], errors.New("the majority is gone"))
	if n.manager.OnTick(4 + 6*tick.Second/10); len(n.proposals) < 2 {
		t.Errorf("what was refused is not asked for again: %+v", n.proposals)
	}
}

// A unit whose disk was put back goes on as an owner where one that does not doubt its own copy shows it to be whole, gives
// way to one with more, and else says that effects may be missing; until the keepers know that it vouches for nobody's copy.
func TestManager_RestoredDisk(t *testing.T) {
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
		h := &sendingHost{}
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
			o.Verified() != x.settle || (len(h.proposals) == 1 && h.proposals[0].Kind == placement.OpReportIncomplete && h.proposals[0].Target == "b") != x.gives {
			t.Errorf("%s: %v, doubts %v, steps %v, settled %v", x.what, h.told, doubts, h.proposals, o.Verified())
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
		h := &sendingHost{}
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
		h := &sendingHost{}
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
