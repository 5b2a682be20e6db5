package replica_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// notes is a host that remembers; the disk is as fast as memory.
type notes struct {
	o     *replica.Manager
	sent  []replica.Message
	steps []placement.Operation
	ends  []replica.Response
	tells []replica.Event
	todo  []func()
}

func (n *notes) Send(_ string, m replica.Message)               { n.sent = append(n.sent, m) }
func (n *notes) Propose(e placement.Operation)                  { n.steps = append(n.steps, e) }
func (n *notes) Respond(_ *replica.Request, a replica.Response) { n.ends = append(n.ends, a) }
func (n *notes) Notify(e replica.Event)                         { n.tells = append(n.tells, e) }
func (n *notes) AppendEntry(name string, e replica.LogEntry)    { n.safe(name, e.Index) }
func (n *notes) TruncateLog(name string, seq uint64)            { n.safe(name, seq) }
func (n *notes) ResetLog(name string, base, _ uint64)           { n.safe(name, base) }
func (n *notes) DeleteLog(name string)                          { n.safe(name, 0) }
func (n *notes) safe(name string, seq uint64) {
	n.todo = append(n.todo, func() { n.o.OnDurable(5, name, seq) })
}
func (n *notes) run() {
	for len(n.todo) > 0 {
		do := n.todo[0]
		n.todo = n.todo[1:]
		do()
	}
}

func (n *notes) last(t testing.TB) replica.Message {
	t.Helper()
	n.run()
	if len(n.sent) == 0 {
		t.Fatal("nothing was sent")
	}
	return n.sent[len(n.sent)-1]
}

// chain are effects from one of a sum on.
func chain(before, sum, epoch uint64, unit string, ids ...string) (all []replica.LogEntry) {
	for i, id := range ids {
		e := replica.LogEntry{Index: before + 1 + uint64(i), Epoch: epoch, Node: unit, RequestID: id}
		e.Checksum = e.ChainChecksum(sum)
		sum = e.Checksum
		all = append(all, e)
	}
	return all
}

func TestWhatWasSentToAnEarlierRunFillsNothing(t *testing.T) {
	place := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 1, Revision: 3, Replicas: []string{"b"}}
	n := &notes{}
	n.o = replica.NewManager(n, 1, "b", 2, nil, nil, []placement.Assignment{place}, 7)
	n.o.OnLease(2, 9000, 7)
	if len(n.steps) != 1 || n.steps[0].Kind != placement.OpReportIncomplete || n.steps[0].Node != "b" || n.steps[0].Revision != 3 {
		t.Fatalf("a holder without its memory says so: %+v", n.steps)
	}
	late := replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 1, Entries: chain(0, 0, 1, "a", "c1"), LastIndex: 1}
	n.o.OnMessage(3, "a", late)
	if m := n.last(t); m.Kind != replica.MessageAck || m.Index != 0 || m.SenderIncarnation != 2 {
		t.Errorf("answered by %+v", m)
	}
	place.Primary, place.Epoch, place.Revision, place.Replicas = "b", 2, 4, nil
	n.o.OnAssignment(4, place)
	n.o.OnRequest(5, &replica.Request{Instance: "x", ID: "r", Deadline: 100})
	if n.run(); len(n.ends) != 1 || n.ends[0].Outcome != replica.Rejected {
		t.Errorf("acts without what it is counted on for: %+v", n.ends)
	}
	n.o.OnTick(6000)
	if e := n.steps[len(n.steps)-1]; e.Kind != placement.OpReportIncomplete || e.Epoch != 2 {
		t.Errorf("%+v", e)
	}

	// What is sent to this run, up to all that the owner has, makes it whole.
	n = &notes{}
	place = placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 1, Revision: 3, Replicas: []string{"b"}}
	n.o = replica.NewManager(n, 1, "b", 2, nil, nil, []placement.Assignment{place}, 7)
	n.o.OnLease(2, 9000, 7)
	late.ReceiverIncarnation = 2
	n.o.OnMessage(3, "a", late)
	if m := n.last(t); m.Index != 1 || n.o.LostAllCopies() {
		t.Errorf("%+v, lacks: %v", m, n.o.LostAllCopies())
	}
}

func TestALateReplacementTakesNothingBack(t *testing.T) {
	n := &notes{}
	old := replica.Log{Instance: "x", Entries: chain(0, 0, 1, "c", "p", "q", "z")}
	place := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 2, Revision: 3, CopyTarget: "b"}
	n.o = replica.NewManager(n, 1, "b", 2, nil, []replica.Log{old}, []placement.Assignment{place}, 7)
	at := old.Entries[0].Checksum
	more := chain(1, at, 2, "a", "q2", "r", "s")
	first := replica.Message{Version: 1, Kind: replica.MessageCatchUp, Instance: "x", Epoch: 2, SenderIncarnation: 1, ReceiverIncarnation: 2, PrevIndex: 1, PrevChecksum: at,
		Entries: more[:1], LastIndex: 3, Truncate: true, ReplacedIndex: 3, ReplacedChecksum: old.Checksum()}
	plain := first
	plain.Truncate = false
	n.o.OnMessage(2, "a", plain)
	if m := n.last(t); m.Index != 3 || len(m.Checksums) != 4 {
		t.Fatalf("what differs is told, not replaced: %+v", m)
	}
	n.o.OnMessage(2, "a", first)
	if m := n.last(t); m.Index != 2 || m.Checksum != more[0].Checksum {
		t.Fatalf("replaced: %+v", m)
	}
	n.o.OnMessage(3, "a", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 2, SenderIncarnation: 1, ReceiverIncarnation: 2, PrevIndex: 2, PrevChecksum: more[0].Checksum, Entries: more[1:], LastIndex: 4})
	if m := n.last(t); m.Index != 4 {
		t.Fatalf("%+v", m)
	}
	begin := replica.Message{Version: 1, Kind: replica.MessageCatchUp, Instance: "x", Epoch: 2, SenderIncarnation: 1, ReceiverIncarnation: 2, Truncate: true, Reset: true, ReplacedIndex: 3, ReplacedChecksum: old.Checksum()}
	only := first
	only.Entries, only.PrevIndex, only.PrevChecksum = nil, 1, at
	for _, m := range []replica.Message{first, begin, only} {
		n.o.OnMessage(4, "a", m)
		if got := n.last(t); got.Index != 4 || got.Checksum != more[2].Checksum {
			t.Errorf("a late %+v leaves %+v", m, got)
		}
	}
	n.o.OnMessage(5, "c", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 2, PrevIndex: 4, PrevChecksum: more[2].Checksum})
	if m := n.last(t); m.Kind != replica.MessageStaleEpoch || m.Epoch != 2 {
		t.Errorf("an older epoch: %+v", m)
	}
}

// alone is a unit that owns x without holders.
func alone(most float64) *notes {
	n := &notes{}
	n.o = replica.NewManager(n, 1, "a", 1, map[string]any{"fleet.state": most}, nil, nil, 0)
	n.o.OnLease(1, 9000, 1)
	n.o.OnAssignment(1, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 1, Revision: 1})
	n.o.OnPlacementVersion(1, 1)
	n.run()
	return n
}

func (n *notes) write(id string, size int) replica.Response {
	n.o.OnRequest(5, &replica.Request{Instance: "x", ID: id, Write: true, Body: make([]byte, size), Deadline: 100})
	n.run()
	return n.ends[len(n.ends)-1]
}

func TestAStateBeyondItsBoundRefusesAndLosesNothing(t *testing.T) {
	n := alone(1000)
	if a := n.write("one", 300); a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Fatalf("%+v", a)
	}
	if a := n.write("two", 700); a.Outcome != replica.TooLarge {
		t.Errorf("%+v", a)
	}
	if a := n.write("one", 300); a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Errorf("again: %+v", a)
	}
	if a := n.write("three", 300); a.Outcome != replica.Succeeded || a.Index != 2 {
		t.Errorf("%+v", a)
	}
}

func TestCommandsAreRememberedForTheLastEffects(t *testing.T) {
	n := alone(1 << 20)
	for i := range replica.LogCapacity + 10 {
		if a := n.write(fmt.Sprint(i), 0); a.Index != uint64(i+1) {
			t.Fatalf("%d: %+v", i, a)
		}
	}
	if a := n.write("10", 0); a.Index != 11 {
		t.Errorf("the earliest that is remembered: %+v", a)
	}
	if a := n.write("9", 0); a.Index != replica.LogCapacity+11 {
		t.Errorf("one that is not: %+v", a)
	}
}

func TestNothingIsAckedOnceTheLeaseIsOver(t *testing.T) {
	n := alone(1 << 20)
	n.o.OnRequest(5, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	n.o.OnTick(9000) // the disk is slow
	if n.run(); len(n.ends) != 1 || n.ends[0].Outcome != replica.Indeterminate {
		t.Fatalf("%+v", n.ends)
	}
	n.o.OnRequest(9001, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	n.o.OnLease(9002, 20000, 5) // the keepers have changed places since
	n.o.OnRequest(9003, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	if len(n.ends) != 3 || n.ends[1].Outcome != replica.Rejected || n.ends[2].Outcome != replica.Rejected {
		t.Fatalf("%+v", n.ends)
	}
	n.o.OnPlacementVersion(9004, 5)
	n.o.OnRequest(9005, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	if a := n.ends[len(n.ends)-1]; a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Errorf("the same command again: %+v", a)
	}
}

func TestWhatIsWrongIsRefusedByWord(t *testing.T) {
	for name, change := range map[string]func(m *replica.Message){
		"message 2, this program reads 1": func(m *replica.Message) { m.Version = 2 },
		"without version or name":         func(m *replica.Message) { m.Version = 0 },
		`message "odd"`:                   func(m *replica.Message) { m.Kind = "odd" },
		"too many effects":                func(m *replica.Message) { m.Checksums = make([]uint64, replica.LogCapacity+2) },
		"effect 1 of a message":           func(m *replica.Message) { m.PrevIndex = 5 },
		"the state would pass":            func(m *replica.Message) { m.Entries[0] = chain(0, 0, 1, "a", "p")[0] },
	} {
		n := &notes{}
		n.o = replica.NewManager(n, 1, "b", 2, map[string]any{"fleet.state": -300000.0}, nil, nil, 0)
		m := replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 2, Entries: chain(0, 0, 1, "a", "p"), LastIndex: 1}
		change(&m)
		n.o.OnMessage(2, "a", m)
		if got := n.last(t); got.Kind != replica.MessageRejected || !strings.Contains(got.Reason, name) {
			t.Errorf("%s: %+v", name, got)
		}
	}
	n := alone(1 << 20)
	for i, c := range []struct {
		ask  replica.Request
		want replica.Outcome
	}{
		{replica.Request{Instance: "x", Deadline: 5}, replica.Rejected}, {replica.Request{Instance: "y", Deadline: 9}, replica.Rejected},
		{replica.Request{Instance: "x", ID: strings.Repeat("i", 257), Write: true, Deadline: 9}, replica.TooLarge},
	} {
		if n.o.OnRequest(5, &c.ask); len(n.ends) != i+1 || n.ends[i].Outcome != c.want {
			t.Errorf("%d: %+v", i, n.ends)
		}
	}
	for i := range 300 { // the disk is slow
		n.o.OnRequest(5, &replica.Request{Instance: "x", ID: fmt.Sprint(i), Write: true, Deadline: 99})
	}
	if len(n.ends) != 3+300-256 {
		t.Errorf("%d of 300 are refused", len(n.ends)-3)
	}
}

func TestARestartedOwnerGivesWayToAHolderThatHasMore(t *testing.T) {
	n := &notes{}
	place := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true, Replicas: []string{"b"}}
	old := replica.Log{Instance: "x", Entries: chain(0, 0, 1, "a", "p")}
	n.o = replica.NewManager(n, 1, "a", 2, nil, []replica.Log{old}, []placement.Assignment{place}, 1)
	n.o.OnLease(2, 9000, 1)
	if a := n.write("w", 0); a.Outcome != replica.Rejected {
		t.Errorf("acts before it has asked: %+v", a)
	}
	n.o.OnMessage(3, "b", replica.Message{Version: 1, Kind: replica.MessageAck, Instance: "x", Epoch: 1, SenderIncarnation: 1, Index: 3, Checksum: 9})
	if e := n.stepped(placement.OpReportIncomplete); e == nil || e.Target != "b" {
		t.Errorf("%+v", n.steps)
	}
	n.o.OnProposalRefused(4, n.steps[0], errors.New("the majority is gone"))
	if n.o.OnTick(4 + 6*tick.Second/10); len(n.steps) < 2 {
		t.Errorf("what was refused is not asked for again: %+v", n.steps)
	}
}

func TestACopyThatDoesNotGetOnIsGivenUpAndOneOfNobodyForgotten(t *testing.T) {
	n, _ := with(placement.Assignment{Revision: 2, CopyTarget: "b"})
	n.o.OnRequest(5, &replica.Request{Instance: "x", ID: "r", Deadline: 99})
	n.o.OnLease(7, 900000, 0)
	if n.o.OnTick(3 * tick.Second); n.stepped(placement.OpCancelCopy) == nil {
		t.Errorf("%+v", n.steps)
	}
	n.o.OnAssignment(9, placement.Assignment{Instance: "x", State: placement.Running, Primary: "c", Epoch: 3, Revision: 3, EverServed: true, Replicas: []string{"d"}})
	n.o.OnTick(10)
	if h := n.o.Copies(10); len(h) != 1 {
		t.Errorf("forgotten at once: %+v", h)
	}
	n.o.OnAssignment(11, placement.Assignment{Instance: "x", State: placement.Running, Primary: "c", Epoch: 2, Revision: 9, EverServed: true}) // late
	n.o.OnTick(9 + 2*tick.Second)
	if n.run(); len(n.o.Copies(12)) != 0 || n.o.Serves(12, "x") {
		t.Errorf("%+v", n.o.Copies(12))
	}
}

func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"v":1,"kind":"effect","name":"x","epoch":2,"own":1,"run":2,"tip":1,"effects":[{"seq":1,"epoch":1,"unit":"a","id":"c"}]}`))
	f.Add([]byte(`{"v":1,"kind":"held","name":"y","epoch":1,"own":1,"seq":3,"sum":9,"base":1,"sums":[1,2,3]}`))
	f.Add([]byte(`{"v":1,"kind":"copy","name":"x","epoch":2,"run":2,"replace":true,"begin":true,"prev":7,"was":2}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var m replica.Message
		if json.Unmarshal(text, &m) != nil {
			return
		}
		n := &notes{}
		mine := replica.Log{Instance: "y", Entries: chain(0, 0, 1, "b", "p", "q", "z")}
		held := replica.Log{Instance: "x", Entries: chain(0, 0, 1, "a", "p", "q")}
		n.o = replica.NewManager(n, 1, "b", 2, nil, []replica.Log{mine, held}, []placement.Assignment{
			{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 2, Revision: 3, Replicas: []string{"b"}},
			{Instance: "y", State: placement.Running, Primary: "b", EverServed: true, Epoch: 1, Revision: 3, Replicas: []string{"a"}, CopyTarget: "c"}}, 7)
		n.o.OnLease(2, 9000, 7)
		for range 2 {
			n.o.OnMessage(3, "a", m)
			n.o.OnMessage(3, "c", m)
			n.run()
			n.o.OnTick(4000)
		}
		n.o.OnRequest(4001, &replica.Request{Instance: "y", ID: "r", Write: true, Deadline: 4100})
		n.run()
		for _, h := range n.o.Copies(4002) {
			if h.Instance == "y" && h.Index < 3 {
				t.Errorf("an owner lost effects: %+v", h)
			}
		}
	})
}

func TestOneThatNeverActedIsBegun(t *testing.T) {
	place := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1}
	n := &notes{}
	n.o = replica.NewManager(n, 1, "a", 2, nil, nil, []placement.Assignment{place}, 7)
	n.o.OnLease(2, 9000, 7)
	if len(n.steps) != 1 || n.steps[0].Kind != placement.OpMarkServed {
		t.Fatalf("%+v", n.steps)
	}
	if a := n.write("w", 0); a.Outcome != replica.Rejected {
		t.Errorf("acts before it is agreed: %+v", a)
	}
	place.EverServed, place.Revision = true, 2
	n.o.OnAssignment(3, place)
	if a := n.write("w", 0); a.Outcome != replica.Succeeded {
		t.Errorf("%+v", a)
	}
	n = &notes{}
	n.o = replica.NewManager(n, 1, "a", 3, nil, nil, []placement.Assignment{place}, 7)
	n.o.OnLease(2, 9000, 7)
	if len(n.steps) != 1 || n.steps[0].Kind != placement.OpReportIncomplete {
		t.Fatalf("without its memory: %+v", n.steps)
	}
}

func TestCopiesOfBeforeAreKeptUntilTheirNameIsGivenAnew(t *testing.T) {
	n := &notes{}
	old := replica.Log{Instance: "x", Entries: chain(0, 0, 1, "c", "p", "q")}
	n.o = replica.NewManager(n, 1, "a", 1, nil, []replica.Log{old}, nil, 0) // keepers that know nothing, or lost all
	n.o.OnLease(1, 9000, 1)
	n.o.OnPlacementVersion(1, 1)
	n.o.OnTick(5000)
	if h := n.o.Copies(5000); len(h) != 1 || h[0].Index != 2 {
		t.Fatalf("%+v", h)
	}
	n.o.OnAssignment(5001, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 2, EverServed: true})
	n.run()
	if a := n.write("w", 0); a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Errorf("the new one goes on from the old: %+v", a)
	}
	n.o.OnInstanceDeleted(5002, "x")
	n.run()
	if h := n.o.Copies(5002); len(h) != 0 {
		t.Errorf("forgotten: %+v", h)
	}
	if a := n.write("w", 0); a.Outcome != replica.Rejected {
		t.Errorf("%+v", a)
	}
}

func TestPlacementThatWasRebuiltCountsAnew(t *testing.T) {
	n := alone(1 << 20)
	n.write("w", 0)
	n.o.OnPlacementRebuilt(10, []placement.Assignment{{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true}}, 1)
	if a := n.write("v", 0); a.Outcome != replica.Rejected {
		t.Errorf("acts on the lease of before: %+v", a)
	}
	n.o.OnLease(11, 20000, 1)
	if a := n.write("w", 0); a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Errorf("%+v", a)
	}
}

func TestAnOwnerThatHearsOfALaterEpochStopsAtOnce(t *testing.T) {
	n := alone(1 << 20)
	n.o.OnAssignment(2, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 2, EverServed: true, Replicas: []string{"b"}})
	n.o.OnRequest(3, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99})
	n.run()
	n.o.OnMessage(4, "b", replica.Message{Version: 1, Kind: replica.MessageStaleEpoch, Instance: "x", Epoch: 2, SenderIncarnation: 1})
	if len(n.ends) != 1 || n.ends[0].Outcome != replica.Indeterminate {
		t.Errorf("what may be kept: %+v", n.ends)
	}
	if a := n.write("v", 0); a.Outcome != replica.Rejected {
		t.Errorf("%+v", a)
	}
}

func TestAFullDiskRefusesAndWhatWasRefusedNeverRan(t *testing.T) {
	n := alone(1 << 20)
	n.write("one", 0)
	for _, id := range []string{"two", "three"} {
		n.o.OnRequest(5, &replica.Request{Instance: "x", ID: id, Write: true, Deadline: 99})
	}
	n.todo = nil
	for range 2 {
		n.o.OnDiskError(6, "x", errors.New("no space left"))
	}
	if len(n.ends) != 3 || n.ends[1].Outcome != replica.Rejected || n.ends[2].Outcome != replica.Rejected {
		t.Fatalf("%+v", n.ends)
	}
	if a := n.write("four", 0); a.Outcome != replica.Rejected {
		t.Errorf("the disk was full just now: %+v", a)
	}
	n.o.OnRequest(20000, &replica.Request{Instance: "x", ID: "r", Deadline: 99999})
	n.o.OnLease(20000, 40000, 1)
	n.o.OnRequest(20001, &replica.Request{Instance: "x", ID: "two", Write: true, Deadline: 99999})
	n.run()
	if a := n.ends[len(n.ends)-1]; a.Outcome != replica.Succeeded || a.Index != 2 {
		t.Errorf("room again: %+v", a)
	}
}

func TestAHolderThatTakesNothingIsNotAskedWithoutEnd(t *testing.T) {
	n := alone(1 << 20)
	n.o.OnAssignment(2, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 2, EverServed: true, Replicas: []string{"b"}})
	n.o.OnRequest(3, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99})
	n.run()
	for i := 0; i < len(n.sent); i++ {
		if n.o.OnMessage(4, "b", replica.Message{Version: 1, Kind: replica.MessageAck, Instance: "x", Epoch: 1, SenderIncarnation: 1}); len(n.sent) > 20 {
			t.Fatalf("%d messages at one moment", len(n.sent))
		}
	}
	before := len(n.sent)
	if n.o.OnTick(4 + tick.Second/10); len(n.sent) == before {
		t.Error("not asked again")
	}
}

// with is a unit that has taken x over, with three effects of "p", "q", "z" that came from the earlier owner.
func with(p placement.Assignment) (*notes, []replica.LogEntry) {
	n := &notes{}
	old := chain(0, 0, 1, "c", "p", "q", "z")
	n.o = replica.NewManager(n, 1, "a", 1, nil, nil, nil, 0)
	n.o.OnMessage(1, "c", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 1, Entries: old, LastIndex: 3})
	n.o.OnLease(1, 90000, 0)
	n.run()
	p.Instance, p.State, p.Primary, p.Epoch, p.EverServed = "x", placement.Running, "a", 2, true
	n.o.OnAssignment(1, p)
	n.run()
	return n, old
}

// holds has another unit answer that it has all up to an effect.
func (n *notes) holds(from string, run uint64, e replica.LogEntry) {
	n.o.OnMessage(6, from, replica.Message{Version: 1, Kind: replica.MessageAck, Instance: "x", Epoch: 2, SenderIncarnation: run, Index: e.Index, Checksum: e.Checksum})
	n.run()
}

func (n *notes) stepped(kind placement.OperationKind) *placement.Operation {
	for i := range n.steps {
		if n.steps[i].Kind == kind {
			return &n.steps[i]
		}
	}
	return nil
}

func TestACopyIsWholeWithEveryAckedEffectAndAcksWaitForItFromThenOn(t *testing.T) {
	n, old := with(placement.Assignment{Revision: 2, CopyTarget: "b"})
	n.holds("b", 1, old[1])
	if n.stepped(placement.OpReplicaReady) != nil {
		t.Fatal("an effect that the earlier owner may have acked is missing")
	}
	if a := n.write("one", 0); a.Outcome != replica.Succeeded || a.Index != 4 {
		t.Fatalf("%+v", a)
	}
	n.holds("b", 1, old[2])
	if n.stepped(placement.OpReplicaReady) != nil {
		t.Fatal("one that this owner acked is missing")
	}
	mine := chain(3, old[2].Checksum, 2, "a", "one", "two")
	n.holds("b", 1, mine[0])
	if e := n.stepped(placement.OpReplicaReady); e == nil || e.Revision != 2 || e.Target != "b" {
		t.Fatalf("%+v", n.steps)
	}
	ends := len(n.ends)
	n.write("two", 0)
	if len(n.ends) != ends {
		t.Fatalf("acked, and the keepers may count on b by now: %+v", n.ends[ends:])
	}
	n.holds("b", 1, mine[1])
	if len(n.ends) != ends+1 || n.ends[ends].Outcome != replica.Succeeded {
		t.Errorf("%+v", n.ends[ends:])
	}
}

func TestNothingIsBegunBetweenStopAndSwitchWhichWaitsForAll(t *testing.T) {
	n, old := with(placement.Assignment{Revision: 2, Replicas: []string{"b", "c"}})
	n.holds("b", 1, old[2])
	n.holds("c", 1, old[2])
	n.o.OnRequest(5, &replica.Request{Instance: "x", ID: "one", Write: true, Deadline: 99})
	n.run()
	n.o.OnAssignment(6, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 2, EverServed: true, Revision: 3,
		Replicas: []string{"b", "c"}, CopyTarget: "b", CutOver: true})
	n.o.OnRequest(6, &replica.Request{Instance: "x", ID: "two", Write: true, Deadline: 99})
	if n.run(); len(n.ends) != 1 || n.ends[0].Outcome != replica.Rejected {
		t.Fatalf("begun after the stop: %+v", n.ends)
	}
	mine := chain(3, old[2].Checksum, 2, "a", "one")
	n.holds("c", 1, mine[0])
	if n.stepped(placement.OpCutOver) != nil {
		t.Fatal("the target has not all")
	}
	n.holds("b", 1, mine[0])
	if e := n.stepped(placement.OpCutOver); e == nil || e.Index != 4 || e.Revision != 3 || len(n.ends) != 2 || n.ends[1].Outcome != replica.Succeeded {
		t.Fatalf("%+v, %+v", n.steps, n.ends)
	}
	n.o.OnAssignment(7, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 2, EverServed: true, Revision: 4, Replicas: []string{"b", "c"}})
	n.o.OnRequest(7, &replica.Request{Instance: "x", ID: "r", Deadline: 99})
	if n.run(); n.ends[len(n.ends)-1].Outcome != replica.Succeeded {
		t.Errorf("given up, and it does not go on: %+v", n.ends)
	}
}

func TestAnAnswerOfAnEarlierRunConfirmsNothing(t *testing.T) {
	n, old := with(placement.Assignment{Revision: 2, Replicas: []string{"b"}})
	n.holds("b", 2, old[0])
	n.holds("b", 1, old[2])
	n.o.OnRequest(7, &replica.Request{Instance: "x", ID: "r", Deadline: 99})
	if len(n.ends) != 0 {
		t.Fatalf("%+v", n.ends)
	}
	n.holds("b", 2, old[2])
	if len(n.ends) != 1 || n.ends[0].Outcome != replica.Succeeded {
		t.Errorf("%+v", n.ends)
	}
}

func TestNothingIsConfirmedOrAckedBeforeTheDiskHasIt(t *testing.T) {
	n := &notes{}
	n.o = replica.NewManager(n, 1, "b", 2, nil, nil, nil, 0)
	n.o.OnAssignment(1, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true, Replicas: []string{"b"}})
	n.o.OnMessage(2, "a", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 2,
		Entries: chain(0, 0, 1, "a", "p"), LastIndex: 1})
	if len(n.sent) != 0 {
		t.Errorf("a holder confirms %+v", n.sent)
	}
	if m := n.last(t); m.Kind != replica.MessageAck || m.Index != 1 {
		t.Errorf("%+v", m)
	}
	n = alone(1 << 20)
	n.o.OnRequest(5, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 100})
	if len(n.ends) != 0 {
		t.Errorf("an owner acks %+v", n.ends)
	}
	if n.run(); len(n.ends) != 1 || n.ends[0].Outcome != replica.Succeeded {
		t.Errorf("%+v", n.ends)
	}
}

func TestAHolderRefusesAnOwnerOfAnEpochBeforeThatItKnows(t *testing.T) {
	n := &notes{}
	n.o = replica.NewManager(n, 1, "b", 2, nil, nil, nil, 0)
	n.o.OnAssignment(1, placement.Assignment{Instance: "x", State: placement.Running, Primary: "c", Epoch: 3, Revision: 9, EverServed: true, CopyTarget: "b"})
	late := replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 2, SenderIncarnation: 1, ReceiverIncarnation: 2, Entries: chain(0, 0, 2, "a", "p"), LastIndex: 1}
	n.o.OnMessage(2, "a", late)
	if m := n.last(t); m.Kind != replica.MessageStaleEpoch || m.Epoch != 3 {
		t.Errorf("%+v", m)
	}
	late.Epoch = 3
	n.o.OnMessage(2, "a", late)
	if m := n.last(t); m.Kind != replica.MessageStaleEpoch {
		t.Errorf("of this epoch, and not its owner: %+v", m)
	}
	late.Entries[0].Checksum++
	n.o.OnMessage(2, "c", late)
	if m := n.last(t); m.Kind != replica.MessageAck || m.Index != 0 {
		t.Errorf("an effect that is not what it was: %+v", m)
	}
}

// TestAHolderHasItsTimeAnewAfterALeaseThatWasLost: an effect that was on its way when the lease ended does not have its
// holder dropped at the moment at which the lease is back: where a keeper fell all units stood still.
func TestAHolderHasItsTimeAnewAfterALeaseThatWasLost(t *testing.T) {
	n := alone(1 << 20)
	n.o.OnAssignment(2, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 2, EverServed: true, Replicas: []string{"b"}})
	n.o.OnRequest(3, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	n.run()
	n.o.OnTick(9500) // the lease was over
	if e := n.tells[len(n.tells)-1]; e.Kind != "stops" || e.SinceLeaseEnd != 500 {
		t.Errorf("it says since when it does not act: %+v", e)
	}
	n.o.OnLease(9600, 30000, 0)
	n.run()
	n.o.OnTick(9610)
	if e := n.stepped(placement.OpDropReplica); e != nil {
		t.Fatalf("dropped at once: %+v", *e)
	}
	n.o.OnTick(9600 + tick.Second/3 + 10)
	n.run()
	if n.stepped(placement.OpDropReplica) == nil {
		t.Error("not dropped when its time is over")
	}
}
