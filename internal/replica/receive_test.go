package replica_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

func TestManager_IgnoresEntriesSentToAnEarlierIncarnation(t *testing.T) {
	assignment := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 1, Revision: 3, Replicas: []string{"b"}}
	n := &recordingHost{}
	n.manager = newManager(n, 1, "b", 2, nil, nil, []placement.Assignment{assignment}, 7)
	n.manager.OnLease(2, 9000, 7)
	if len(n.proposals) != 1 || n.proposals[0].Kind != placement.OpReportIncomplete || n.proposals[0].Node != "b" || n.proposals[0].Revision != 3 {
		t.Fatalf("a replica without its log does not report it: %+v", n.proposals)
	}
	late := replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 1, Entries: entriesAfter(0, 0, 1, "a", "c1"), LastIndex: 1}
	n.manager.OnMessage(3, "a", late)
	if m := n.lastSent(t); m.Kind != replica.MessageAck || m.Index != 0 || m.SenderIncarnation != 2 {
		t.Errorf("the answer is %+v", m)
	}
	assignment.Primary, assignment.Epoch, assignment.Revision, assignment.Replicas = "b", 2, 4, nil
	n.manager.OnAssignment(4, assignment)
	n.manager.OnRequest(5, &replica.Request{Instance: "x", ID: "r", Deadline: 100})
	if n.flushDisk(); len(n.responses) != 1 || n.responses[0].Outcome != replica.Rejected {
		t.Errorf("served from an incomplete copy: %+v", n.responses)
	}
	n.manager.OnTick(6000)
	if e := n.proposals[len(n.proposals)-1]; e.Kind != placement.OpReportIncomplete || e.Epoch != 2 {
		t.Errorf("%+v", e)
	}

	// The primary sends its entries to this incarnation. With the primary's last entry, the copy is complete.
	n = &recordingHost{}
	assignment = placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 1, Revision: 3, Replicas: []string{"b"}}
	n.manager = newManager(n, 1, "b", 2, nil, nil, []placement.Assignment{assignment}, 7)
	n.manager.OnLease(2, 9000, 7)
	late.ReceiverIncarnation = 2
	n.manager.OnMessage(3, "a", late)
	if m := n.lastSent(t); m.Index != 1 || n.manager.LostAllCopies() {
		t.Errorf("%+v, lost all copies: %v", m, n.manager.LostAllCopies())
	}
}

func TestManager_LateTruncationRemovesNoNewerEntries(t *testing.T) {
	n := &recordingHost{}
	old := replica.Log{Instance: "x", Entries: entriesAfter(0, 0, 1, "c", "p", "q", "z")}
	assignment := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 2, Revision: 3, CopyTarget: "b"}
	n.manager = newManager(n, 1, "b", 2, nil, []replica.Log{old}, []placement.Assignment{assignment}, 7)
	sharedChecksum := old.Entries[0].Checksum
	newEntries := entriesAfter(1, sharedChecksum, 2, "a", "q2", "r", "s")
	truncation := replica.Message{Version: 1, Kind: replica.MessageCatchUp, Instance: "x", Epoch: 2, SenderIncarnation: 1, ReceiverIncarnation: 2, PrevIndex: 1, PrevChecksum: sharedChecksum,
		Entries: newEntries[:1], LastIndex: 3, Truncate: true, ReplacedIndex: 3, ReplacedChecksum: old.Checksum()}
	withoutTruncate := truncation
	withoutTruncate.Truncate = false
	n.manager.OnMessage(2, "a", withoutTruncate)
	if m := n.lastSent(t); m.Index != 3 || len(m.Checksums) != 4 {
		t.Fatalf("a differing log must be reported and not replaced: %+v", m)
	}
	n.manager.OnMessage(2, "a", truncation)
	if m := n.lastSent(t); m.Index != 2 || m.Checksum != newEntries[0].Checksum {
		t.Fatalf("after the truncation: %+v", m)
	}
	n.manager.OnMessage(3, "a", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 2, SenderIncarnation: 1, ReceiverIncarnation: 2, PrevIndex: 2, PrevChecksum: newEntries[0].Checksum, Entries: newEntries[1:], LastIndex: 4})
	if m := n.lastSent(t); m.Index != 4 {
		t.Fatalf("%+v", m)
	}
	reset := replica.Message{Version: 1, Kind: replica.MessageCatchUp, Instance: "x", Epoch: 2, SenderIncarnation: 1, ReceiverIncarnation: 2, Truncate: true, Reset: true, ReplacedIndex: 3, ReplacedChecksum: old.Checksum()}
	withoutEntries := truncation
	withoutEntries.Entries, withoutEntries.PrevIndex, withoutEntries.PrevChecksum = nil, 1, sharedChecksum
	for _, m := range []replica.Message{truncation, reset, withoutEntries} {
		n.manager.OnMessage(4, "a", m)
		if got := n.lastSent(t); got.Index != 4 || got.Checksum != newEntries[2].Checksum {
			t.Errorf("after a late %+v the log is %+v", m, got)
		}
	}
	n.manager.OnMessage(5, "c", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 2, PrevIndex: 4, PrevChecksum: newEntries[2].Checksum})
	if m := n.lastSent(t); m.Kind != replica.MessageStaleEpoch || m.Epoch != 2 {
		t.Errorf("a message of an older epoch: %+v", m)
	}
}

func TestManager_RejectsMalformedMessagesAndRequests(t *testing.T) {
	for name, change := range map[string]func(m *replica.Message){
		"message 2, this program reads 1": func(m *replica.Message) { m.Version = 2 },
		"message without version or name": func(m *replica.Message) { m.Version = 0 },
		`message "odd"`:                   func(m *replica.Message) { m.Kind = "odd" },
		"message with too many entries":   func(m *replica.Message) { m.Checksums = make([]uint64, replica.LogCapacity+2) },
		"entry 1 is invalid in a message": func(m *replica.Message) { m.PrevIndex = 5 },
		"the state would pass":            func(m *replica.Message) { m.Entries[0] = entriesAfter(0, 0, 1, "a", "p")[0] },
	} {
		n := &recordingHost{}
		n.manager = newManager(n, 1, "b", 2, map[string]any{"fleet.state": -300000.0}, nil, nil, 0)
		m := replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 2, Entries: entriesAfter(0, 0, 1, "a", "p"), LastIndex: 1}
		change(&m)
		n.manager.OnMessage(2, "a", m)
		if got := n.lastSent(t); got.Kind != replica.MessageRejected || !strings.Contains(got.Reason, name) {
			t.Errorf("%s: %+v", name, got)
		}
	}
	n := primaryWithoutReplicas(1 << 20)
	for i, c := range []struct {
		request replica.Request
		want    replica.Outcome
	}{
		{replica.Request{Instance: "x", Deadline: 5}, replica.Rejected}, {replica.Request{Instance: "y", Deadline: 9}, replica.Rejected},
		{replica.Request{Instance: "x", ID: strings.Repeat("i", 257), Write: true, Deadline: 9}, replica.TooLarge},
	} {
		if n.manager.OnRequest(5, &c.request); len(n.responses) != i+1 || n.responses[i].Outcome != c.want {
			t.Errorf("%d: %+v", i, n.responses)
		}
	}
	for i := range 300 { // no write to the disk completes, so all requests stay pending
		n.manager.OnRequest(5, &replica.Request{Instance: "x", ID: fmt.Sprint(i), Write: true, Deadline: 99})
	}
	if len(n.responses) != 3+300-256 {
		t.Errorf("%d of 300 requests are rejected", len(n.responses)-3)
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
		n := &recordingHost{}
		ownLog := replica.Log{Instance: "y", Entries: entriesAfter(0, 0, 1, "b", "p", "q", "z")}
		replicaLog := replica.Log{Instance: "x", Entries: entriesAfter(0, 0, 1, "a", "p", "q")}
		n.manager = newManager(n, 1, "b", 2, nil, []replica.Log{ownLog, replicaLog}, []placement.Assignment{
			{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 2, Revision: 3, Replicas: []string{"b"}},
			{Instance: "y", State: placement.Running, Primary: "b", EverServed: true, Epoch: 1, Revision: 3, Replicas: []string{"a"}, CopyTarget: "c"}}, 7)
		n.manager.OnLease(2, 9000, 7)
		for range 2 {
			n.manager.OnMessage(3, "a", m)
			n.manager.OnMessage(3, "c", m)
			n.flushDisk()
			n.manager.OnTick(4000)
		}
		n.manager.OnRequest(4001, &replica.Request{Instance: "y", ID: "r", Write: true, Deadline: 4100})
		n.flushDisk()
		for _, h := range n.manager.Copies(4002) {
			if h.Instance == "y" && h.Index < 3 {
				t.Errorf("the primary lost entries: %+v", h)
			}
		}
	})
}

func TestManager_RejectsStaleEpoch(t *testing.T) {
	n := &recordingHost{}
	n.manager = newManager(n, 1, "b", 2, nil, nil, nil, 0)
	n.manager.OnAssignment(1, placement.Assignment{Instance: "x", State: placement.Running, Primary: "c", Epoch: 3, Revision: 9, EverServed: true, CopyTarget: "b"})
	late := replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 2, SenderIncarnation: 1, ReceiverIncarnation: 2, Entries: entriesAfter(0, 0, 2, "a", "p"), LastIndex: 1}
	n.manager.OnMessage(2, "a", late)
	if m := n.lastSent(t); m.Kind != replica.MessageStaleEpoch || m.Epoch != 3 {
		t.Errorf("%+v", m)
	}
	late.Epoch = 3
	n.manager.OnMessage(2, "a", late)
	if m := n.lastSent(t); m.Kind != replica.MessageStaleEpoch {
		t.Errorf("a sender that is not the primary of this epoch: %+v", m)
	}
	late.Entries[0].Checksum++
	n.manager.OnMessage(2, "c", late)
	if m := n.lastSent(t); m.Kind != replica.MessageAck || m.Index != 0 {
		t.Errorf("an entry with a wrong checksum: %+v", m)
	}
}
