package replica_test

import (
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

func TestManager_AcknowledgesNothingOnceTheLeaseIsOver(t *testing.T) {
	n := primaryWithoutReplicas(1 << 20)
	n.manager.OnRequest(5, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	n.manager.OnTick(9000) // the lease ends at tick 9000, before the entry is durable
	if n.flushDisk(); len(n.responses) != 1 || n.responses[0].Outcome != replica.Indeterminate {
		t.Fatalf("%+v", n.responses)
	}
	n.manager.OnRequest(9001, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	// The controllers have changed the assignments between the two leases. The new lease requires version 5 of the
	// assignments, which the node has not seen.
	n.manager.OnLease(9002, 20000, 5)
	n.manager.OnRequest(9003, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	if len(n.responses) != 3 || n.responses[1].Outcome != replica.Rejected || n.responses[2].Outcome != replica.Rejected {
		t.Fatalf("%+v", n.responses)
	}
	n.manager.OnPlacementVersion(9004, 5)
	n.manager.OnRequest(9005, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	if a := n.responses[len(n.responses)-1]; a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Errorf("the repeated request: %+v", a)
	}
}

func TestManager_StopsAtOnceOnLaterEpoch(t *testing.T) {
	n := primaryWithoutReplicas(1 << 20)
	n.manager.OnAssignment(2, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 2, EverServed: true, Replicas: []string{"b"}})
	n.manager.OnRequest(3, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99})
	n.flushDisk()
	n.manager.OnMessage(4, "b", replica.Message{Version: 1, Kind: replica.MessageStaleEpoch, Instance: "x", Epoch: 2, SenderIncarnation: 1})
	if len(n.responses) != 1 || n.responses[0].Outcome != replica.Indeterminate {
		t.Errorf("a write that may be kept: %+v", n.responses)
	}
	if a := n.write("v", 0); a.Outcome != replica.Rejected {
		t.Errorf("%+v", a)
	}
}
