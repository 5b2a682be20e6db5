package replica_test

import (
	"errors"
	"slices"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

func TestManager_RestartedPrimaryYieldsToReplicaWithMoreEntries(t *testing.T) {
	n := &recordingHost{}
	assignment := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true, Replicas: []string{"b"}}
	old := replica.Log{Instance: "x", Entries: entriesAfter(0, 0, 1, "a", "p")}
	n.manager = newManager(n, 1, "a", 2, nil, []replica.Log{old}, []placement.Assignment{assignment}, 1)
	n.manager.OnLease(2, 9000, 1)
	if a := n.write("w", 0); a.Outcome != replica.Rejected {
		t.Errorf("served before the replica has answered: %+v", a)
	}
	n.manager.OnMessage(3, "b", replica.Message{Version: 1, Kind: replica.MessageAck, Instance: "x", Epoch: 1, SenderIncarnation: 1, Index: 3, Checksum: 9})
	if e := n.proposed(placement.OpReportIncomplete); e == nil || e.Target != "b" {
		t.Errorf("%+v", n.proposals)
	}
	n.manager.OnProposalRefused(4, n.proposals[0], errors.New("no majority"))
	if n.manager.OnTick(4 + 6*tick.Second/10); len(n.proposals) < 2 {
		t.Errorf("the refused operation is not proposed again: %+v", n.proposals)
	}
}

// twoEntries returns the log of an instance c with two entries of node a, and the entry that follows them.
func twoEntries() (log replica.Log, third replica.LogEntry) {
	entries := entriesAfter(0, 0, 1, "a", "0", "1", "2")
	return replica.Log{Instance: "c", Entries: entries[:2:2]}, entries[2]
}

// ackOf returns a replica's answer that it has the entries up to last.
func ackOf(last replica.LogEntry, unverified bool) replica.Message {
	return replica.Message{Version: 1, Kind: replica.MessageAck, Instance: "c", Epoch: 1, SenderIncarnation: 7, Index: last.Index,
		Checksum: last.Checksum, Unverified: unverified}
}

// TestManager_PrimaryOnRestoredDisk checks what a primary does whose disk may have been restored, so that its copy may
// lack acknowledged entries. The primary serves without a report if a replica with a verified copy shows that the
// primary's copy is complete. It yields to a replica with more entries. Otherwise it serves and reports that entries
// may be missing. Until the controllers have received this report, the primary's messages are marked as unverified.
func TestManager_PrimaryOnRestoredDisk(t *testing.T) {
	log, third := twoEntries()
	second := log.Entries[1]
	for _, c := range []struct {
		name     string
		restored bool
		alone    bool // the primary has no replica
		answer   replica.Message
		serves   bool
		reports  bool // the primary reports its copy as unverified
		yields   bool
		verified bool
	}{
		{name: "a complete replica", restored: true, answer: ackOf(second, false), serves: true, verified: true},
		{name: "an unverified replica", restored: true, answer: ackOf(second, true), serves: true, reports: true},
		{name: "a replica with more", restored: true, answer: ackOf(third, true), yields: true},
		{name: "no replica", restored: true, alone: true, serves: true, reports: true},
		{name: "an unverified replica of a disk that was not restored", answer: ackOf(second, true), serves: true, verified: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := placement.Assignment{Instance: "c", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true}
			if !c.alone {
				p.Replicas = []string{"b"}
			}
			h := &sendingHost{}
			copied := log
			copied.Entries = slices.Clone(log.Entries)
			m := newManager(h, 1, "a", 2, nil, []replica.Log{copied}, []placement.Assignment{p}, 1)
			m.OnDiskChecked(1, c.restored)
			m.OnLease(1, tick.Second, 1)
			if !c.alone {
				if firstMessage := h.last(); firstMessage.Kind != replica.MessageAppend || firstMessage.Unverified != c.restored || m.Serves(2, "c") {
					t.Errorf("the first message is %+v", firstMessage)
				}
				m.OnMessage(2, "b", c.answer)
			}
			copies := m.UnverifiedCopies(9)
			if m.Serves(3, "c") != c.serves || slices.Contains(h.kinds, replica.EventUnverified) != c.reports || (len(copies) == 1) != c.reports ||
				m.AllVerified() != c.verified || h.yieldedTo("b") != c.yields {
				t.Errorf("%v, unverified %v, proposals %v, verified %v", h.kinds, copies, h.proposals, m.AllVerified())
			}
			if !c.reports {
				return
			}
			m.OnUnverifiedReported(3, copies)
			if len(m.UnverifiedCopies(9)) != 0 || !m.AllVerified() {
				t.Error("the copy is still to be reported")
			}
			if c.alone {
				return
			}
			for range 3 { // the replica answers the messages in flight before the primary announces its log
				m.OnMessage(4, "b", c.answer)
			}
			if announcement := h.last(); announcement.Unverified || announcement.ReceiverIncarnation != 7 {
				t.Errorf("the announcement is %+v", announcement)
			}
		})
	}
}

// yieldedTo reports whether the only proposal asks the controllers to make node the primary, because node has more
// entries.
func (h *sendingHost) yieldedTo(node string) bool {
	return len(h.proposals) == 1 && h.proposals[0].Kind == placement.OpReportIncomplete && h.proposals[0].Target == node
}

// TestManager_CopyIsUnverifiedBeforeTheDiskIsChecked checks that a node that was primary at its start marks its answers
// to the next primary as unverified until it knows whether its own disk was restored.
func TestManager_CopyIsUnverifiedBeforeTheDiskIsChecked(t *testing.T) {
	log, _ := twoEntries()
	for _, checked := range []bool{false, true} {
		h := &sendingHost{}
		copied := log
		copied.Entries = slices.Clone(log.Entries)
		p := placement.Assignment{Instance: "c", State: placement.Running, Primary: "b", Epoch: 1, Revision: 1, EverServed: true}
		m := newManager(h, 1, "b", 2, nil, []replica.Log{copied}, []placement.Assignment{p}, 1)
		p.Primary, p.Epoch, p.Revision, p.Replicas = "a", 2, 3, []string{"b"}
		m.OnAssignment(1, p)
		if checked {
			m.OnDiskChecked(1, false)
		}
		m.OnMessage(2, "a", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "c", Epoch: 2, SenderIncarnation: 5,
			PrevIndex: 2, PrevChecksum: log.Checksum(), LastIndex: 2, ReplyTo: 1})
		if ack := h.last(); ack.Kind != replica.MessageAck || ack.Unverified == checked {
			t.Errorf("disk checked: %v; the answer is %+v", checked, ack)
		}
	}
}

// TestManager_ReplicaOnRestoredDiskTrustsVerifiedPrimary checks that a replica on a restored disk considers its copy
// complete only if a primary with a verified copy has shown that the copy is complete.
func TestManager_ReplicaOnRestoredDiskTrustsVerifiedPrimary(t *testing.T) {
	log, _ := twoEntries()
	for _, unverified := range []bool{true, false} {
		h := &sendingHost{}
		copied := log
		copied.Entries = slices.Clone(log.Entries)
		p := placement.Assignment{Instance: "c", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true,
			Replicas: []string{"b"}}
		m := newManager(h, 1, "b", 2, nil, []replica.Log{copied}, []placement.Assignment{p}, 1)
		m.OnDiskChecked(1, true)
		m.OnMessage(2, "a", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "c", Epoch: 1, SenderIncarnation: 5,
			ReceiverIncarnation: 2, PrevIndex: 2, PrevChecksum: log.Checksum(), LastIndex: 2, Unverified: unverified, ReplyTo: 1})
		if h.last().Unverified != unverified || m.AllVerified() == unverified {
			t.Errorf("the primary is unverified: %v; the answer is %+v", unverified, h.last())
		}
	}
}
