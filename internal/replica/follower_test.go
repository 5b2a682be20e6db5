package replica_test

import (
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

func TestManager_BacksOffFromReplicaWithoutProgress(t *testing.T) {
	n := primaryWithoutReplicas(1 << 20)
	n.manager.OnAssignment(2, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 2, EverServed: true, Replicas: []string{"b"}})
	n.manager.OnRequest(3, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99})
	n.flushDisk()
	for i := 0; i < len(n.sent); i++ {
		if n.manager.OnMessage(4, "b", replica.Message{Version: 1, Kind: replica.MessageAck, Instance: "x", Epoch: 1, SenderIncarnation: 1}); len(n.sent) > 20 {
			t.Fatalf("%d messages were sent without time passing", len(n.sent))
		}
	}
	before := len(n.sent)
	if n.manager.OnTick(4 + tick.Second/10); len(n.sent) == before {
		t.Error("no message is sent after the resend interval")
	}
}

func TestManager_IgnoresAckOfAnEarlierIncarnation(t *testing.T) {
	n, old := afterTakeover(placement.Assignment{Revision: 2, Replicas: []string{"b"}})
	n.confirm("b", 2, old[0])
	n.confirm("b", 1, old[2])
	n.manager.OnRequest(7, &replica.Request{Instance: "x", ID: "r", Deadline: 99})
	if len(n.responses) != 0 {
		t.Fatalf("%+v", n.responses)
	}
	n.confirm("b", 2, old[2])
	if len(n.responses) != 1 || n.responses[0].Outcome != replica.Succeeded {
		t.Errorf("%+v", n.responses)
	}
}

// TestManager_ResetsReplicaTimesAfterLostLease guards against counting the time without a lease as time in which a
// replica did not confirm. When the leading controller fails, all nodes lose their leases, and a primary without a
// lease sends its replicas nothing. If an entry is unconfirmed at that time, the primary would propose to drop the
// replica as soon as the lease is back. The primary's copy would then be the only one, and acknowledged entries would
// be lost if the primary failed next.
func TestManager_ResetsReplicaTimesAfterLostLease(t *testing.T) {
	n := primaryWithoutReplicas(1 << 20)
	n.manager.OnAssignment(2, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 2, EverServed: true, Replicas: []string{"b"}})
	n.manager.OnRequest(3, &replica.Request{Instance: "x", ID: "w", Write: true, Deadline: 99999})
	n.flushDisk()
	n.manager.OnTick(9500) // the lease ended at tick 9000
	if e := n.events[len(n.events)-1]; e.Kind != "stops" || e.SinceLeaseEnd != 500 {
		t.Errorf("wrong kind or time since the lease's end: %+v", e)
	}
	n.manager.OnLease(9600, 30000, 0)
	n.flushDisk()
	n.manager.OnTick(9610)
	if e := n.proposed(placement.OpDropReplica); e != nil {
		t.Fatalf("the replica is dropped at once: %+v", *e)
	}
	n.manager.OnTick(9600 + tick.Second/3 + 10)
	n.flushDisk()
	if n.proposed(placement.OpDropReplica) == nil {
		t.Error("the replica is not dropped after the confirmation timeout")
	}
}
