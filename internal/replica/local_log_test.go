package replica_test

import (
	"errors"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

func TestManager_FullDiskRejectsRequests(t *testing.T) {
	n := primaryWithoutReplicas(1 << 20)
	n.write("one", 0)
	for _, id := range []string{"two", "three"} {
		n.manager.OnRequest(5, &replica.Request{Instance: "x", ID: id, Write: true, Deadline: 99})
	}
	n.diskQueue = nil
	for range 2 {
		n.manager.OnDiskError(6, "x", errors.New("no space left"))
	}
	if len(n.responses) != 3 || n.responses[1].Outcome != replica.Rejected || n.responses[2].Outcome != replica.Rejected {
		t.Fatalf("%+v", n.responses)
	}
	if a := n.write("four", 0); a.Outcome != replica.Rejected {
		t.Errorf("a write within diskFullPause: %+v", a)
	}
	n.manager.OnRequest(20000, &replica.Request{Instance: "x", ID: "r", Deadline: 99999})
	n.manager.OnLease(20000, 40000, 1)
	n.manager.OnRequest(20001, &replica.Request{Instance: "x", ID: "two", Write: true, Deadline: 99999})
	n.flushDisk()
	if a := n.responses[len(n.responses)-1]; a.Outcome != replica.Succeeded || a.Index != 2 {
		t.Errorf("a write once the disk has space again: %+v", a)
	}
}

func TestManager_ConfirmsNothingBeforeItIsDurable(t *testing.T) {
	n := &recordingHost{}
	n.manager = newManager(n, 1, "b", 2, nil, nil, nil, 0)
	n.manager.OnAssignment(1, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true, Replicas: []string{"b"}})
	n.manager.OnMessage(2, "a", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 2,
		Entries: entriesAfter(0, 0, 1, "a", "p"), LastIndex: 1})
	if len(n.sent) != 0 {
		t.Errorf("a replica confirms before the entry is durable: %+v", n.sent)
	}
	if m := n.lastSent(t); m.Kind != replica.MessageAck || m.Index != 1 {
		t.Errorf("%+v", m)
	}
	n = primaryWithoutReplicas(1 << 20)
	n.manager.OnRequest(5, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 100})
	if len(n.responses) != 0 {
		t.Errorf("a primary acknowledges before the entry is durable: %+v", n.responses)
	}
	if n.flushDisk(); len(n.responses) != 1 || n.responses[0].Outcome != replica.Succeeded {
		t.Errorf("%+v", n.responses)
	}
}
