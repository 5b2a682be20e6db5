package replica_test

import (
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

func TestManager_CancelsStalledCopyAndDeletesUnusedOne(t *testing.T) {
	n, _ := afterTakeover(placement.Assignment{Revision: 2, CopyTarget: "b"})
	n.manager.OnRequest(5, &replica.Request{Instance: "x", ID: "r", Deadline: 99})
	n.manager.OnLease(7, 900000, 0)
	if n.manager.OnTick(3 * tick.Second); n.proposed(placement.OpCancelCopy) == nil {
		t.Errorf("%+v", n.proposals)
	}
	n.manager.OnAssignment(9, placement.Assignment{Instance: "x", State: placement.Running, Primary: "c", Epoch: 3, Revision: 3, EverServed: true, Replicas: []string{"d"}})
	n.manager.OnTick(10)
	if h := n.manager.Copies(10); len(h) != 1 {
		t.Errorf("the unused copy is deleted at once: %+v", h)
	}
	n.manager.OnAssignment(11, placement.Assignment{Instance: "x", State: placement.Running, Primary: "c", Epoch: 2, Revision: 9, EverServed: true}) // ignored: its epoch is earlier than the known one
	n.manager.OnTick(9 + 2*tick.Second)
	if n.flushDisk(); len(n.manager.Copies(12)) != 0 || n.manager.Serves(12, "x") {
		t.Errorf("%+v", n.manager.Copies(12))
	}
}

func TestManager_ProposesMarkServedBeforeFirstServing(t *testing.T) {
	assignment := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1}
	n := &recordingHost{}
	n.manager = newManager(n, 1, "a", 2, nil, nil, []placement.Assignment{assignment}, 7)
	n.manager.OnLease(2, 9000, 7)
	if len(n.proposals) != 1 || n.proposals[0].Kind != placement.OpMarkServed {
		t.Fatalf("%+v", n.proposals)
	}
	if a := n.write("w", 0); a.Outcome != replica.Rejected {
		t.Errorf("served before the operation is agreed: %+v", a)
	}
	assignment.EverServed, assignment.Revision = true, 2
	n.manager.OnAssignment(3, assignment)
	if a := n.write("w", 0); a.Outcome != replica.Succeeded {
		t.Errorf("%+v", a)
	}
	n = &recordingHost{}
	n.manager = newManager(n, 1, "a", 3, nil, nil, []placement.Assignment{assignment}, 7)
	n.manager.OnLease(2, 9000, 7)
	if len(n.proposals) != 1 || n.proposals[0].Kind != placement.OpReportIncomplete {
		t.Fatalf("restarted without its log: %+v", n.proposals)
	}
}

func TestManager_CopyCatchesUpBeforeItBecomesReplica(t *testing.T) {
	n, old := afterTakeover(placement.Assignment{Revision: 2, CopyTarget: "b"})
	n.confirm("b", 1, old[1])
	if n.proposed(placement.OpReplicaReady) != nil {
		t.Fatal("proposed, and an entry that the previous primary may have acknowledged is missing")
	}
	if a := n.write("one", 0); a.Outcome != replica.Succeeded || a.Index != 4 {
		t.Fatalf("%+v", a)
	}
	n.confirm("b", 1, old[2])
	if n.proposed(placement.OpReplicaReady) != nil {
		t.Fatal("proposed, and an entry that this primary acknowledged is missing")
	}
	newEntries := entriesAfter(3, old[2].Checksum, 2, "a", "one", "two")
	n.confirm("b", 1, newEntries[0])
	if e := n.proposed(placement.OpReplicaReady); e == nil || e.Revision != 2 || e.Target != "b" {
		t.Fatalf("%+v", n.proposals)
	}
	answered := len(n.responses)
	n.write("two", 0)
	if len(n.responses) != answered {
		t.Fatalf("acknowledged without b, which may be a replica by now: %+v", n.responses[answered:])
	}
	n.confirm("b", 1, newEntries[1])
	if len(n.responses) != answered+1 || n.responses[answered].Outcome != replica.Succeeded {
		t.Errorf("%+v", n.responses[answered:])
	}
}
