package replica_test

import (
	"fmt"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

func TestManager_RejectsRequestBeyondMaxState(t *testing.T) {
	n := primaryWithoutReplicas(1000)
	if a := n.write("one", 300); a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Fatalf("%+v", a)
	}
	if a := n.write("two", 700); a.Outcome != replica.TooLarge {
		t.Errorf("%+v", a)
	}
	if a := n.write("one", 300); a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Errorf("the repeated request: %+v", a)
	}
	if a := n.write("three", 300); a.Outcome != replica.Succeeded || a.Index != 2 {
		t.Errorf("%+v", a)
	}
}

func TestManager_RepeatedRequestIsAnsweredFromKeptEntry(t *testing.T) {
	n := primaryWithoutReplicas(1 << 20)
	for i := range replica.LogCapacity + 10 {
		if a := n.write(fmt.Sprint(i), 0); a.Index != uint64(i+1) {
			t.Fatalf("%d: %+v", i, a)
		}
	}
	if a := n.write("10", 0); a.Index != 11 {
		t.Errorf("the earliest request that is kept: %+v", a)
	}
	if a := n.write("9", 0); a.Index != replica.LogCapacity+11 {
		t.Errorf("a request that is no longer kept: %+v", a)
	}
}

func TestManager_CutOverWaitsForAllEntriesAndStartsNoRequest(t *testing.T) {
	n, old := afterTakeover(placement.Assignment{Revision: 2, Replicas: []string{"b", "c"}})
	n.confirm("b", 1, old[2])
	n.confirm("c", 1, old[2])
	n.manager.OnRequest(5, &replica.Request{Instance: "x", ID: "one", Write: true, Deadline: 99})
	n.flushDisk()
	n.manager.OnAssignment(6, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 2, EverServed: true, Revision: 3,
		Replicas: []string{"b", "c"}, CopyTarget: "b", CutOver: true})
	n.manager.OnRequest(6, &replica.Request{Instance: "x", ID: "two", Write: true, Deadline: 99})
	if n.flushDisk(); len(n.responses) != 1 || n.responses[0].Outcome != replica.Rejected {
		t.Fatalf("a request was started during the cut-over: %+v", n.responses)
	}
	newEntries := entriesAfter(3, old[2].Checksum, 2, "a", "one")
	n.confirm("c", 1, newEntries[0])
	if n.proposed(placement.OpCutOver) != nil {
		t.Fatal("proposed before the target has all entries")
	}
	n.confirm("b", 1, newEntries[0])
	if e := n.proposed(placement.OpCutOver); e == nil || e.Index != 4 || e.Revision != 3 || len(n.responses) != 2 || n.responses[1].Outcome != replica.Succeeded {
		t.Fatalf("%+v, %+v", n.proposals, n.responses)
	}
	n.manager.OnAssignment(7, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 2, EverServed: true, Revision: 4, Replicas: []string{"b", "c"}})
	n.manager.OnRequest(7, &replica.Request{Instance: "x", ID: "r", Deadline: 99})
	if n.flushDisk(); n.responses[len(n.responses)-1].Outcome != replica.Succeeded {
		t.Errorf("not served after the cut-over was cancelled: %+v", n.responses)
	}
}
