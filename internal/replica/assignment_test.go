package replica_test

import (
	"fmt"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

func TestManager_KeepsOrphanedLogUntilItsNameIsAssigned(t *testing.T) {
	n := &recordingHost{}
	old := replica.Log{Instance: "x", Entries: entriesAfter(0, 0, 1, "c", "p", "q")}
	n.manager = newManager(n, 1, "a", 1, nil, []replica.Log{old}, nil, 0) // without assignments: the controllers know no instance, or have lost their log
	n.manager.OnLease(1, 9000, 1)
	n.manager.OnPlacementVersion(1, 1)
	n.manager.OnTick(5000)
	if h := n.manager.Copies(5000); len(h) != 1 || h[0].Index != 2 {
		t.Fatalf("%+v", h)
	}
	n.manager.OnAssignment(5001, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 2, EverServed: true})
	n.flushDisk()
	if a := n.write("w", 0); a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Errorf("the new instance continues the old log: %+v", a)
	}
	n.manager.OnInstanceDeleted(5002, "x")
	n.flushDisk()
	if h := n.manager.Copies(5002); len(h) != 0 {
		t.Errorf("the deleted instance still has a copy: %+v", h)
	}
	if a := n.write("w", 0); a.Outcome != replica.Rejected {
		t.Errorf("%+v", a)
	}
}

func TestManager_FollowsRebuiltPlacement(t *testing.T) {
	n := primaryWithoutReplicas(1 << 20)
	n.write("w", 0)
	n.manager.OnPlacementRebuilt(10, []placement.Assignment{{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true}}, 1)
	if a := n.write("v", 0); a.Outcome != replica.Rejected {
		t.Errorf("served under the lease from before the rebuild: %+v", a)
	}
	n.manager.OnLease(11, 20000, 1)
	if a := n.write("w", 0); a.Outcome != replica.Succeeded || a.Index != 1 {
		t.Errorf("%+v", a)
	}
}

// TestManager_IgnoresAssignmentsOfOtherNodes checks that a node stores no assignment that involves only other nodes,
// whether the assignment comes at the node's start or later. It also checks that a node stores an assignment that
// involves it.
func TestManager_IgnoresAssignmentsOfOtherNodes(t *testing.T) {
	const n = 10000
	assignmentsOfOtherNodes := func(revision uint64) (all []placement.Assignment) {
		for i := range n {
			all = append(all, placement.Assignment{Instance: fmt.Sprintf("cam-%05d", i), State: placement.Running, Primary: "edge-b",
				Replicas: []string{"edge-c"}, Epoch: 1, Revision: revision, EverServed: true})
		}
		return all
	}
	o := newManager(discardingHost{}, 1, "edge-a", 1, map[string]any{"fleet.lease": 1.0}, nil, assignmentsOfOtherNodes(1), n)
	o.OnLease(2, 2+tick.Second, n)
	for _, p := range assignmentsOfOtherNodes(2) {
		o.OnAssignment(3, p)
	}
	if known := o.KnownInstances(); len(known) != 0 {
		t.Fatalf("%d of %d assignments of other nodes are stored, first %s", len(known), n, known[0])
	}
	p := assignmentsOfOtherNodes(3)[7]
	p.CopyTarget = "edge-a"
	o.OnAssignment(4, p)
	if known := o.KnownInstances(); len(known) != 1 || known[0] != p.Instance {
		t.Fatalf("known instances are %v once %s is copied to this node", known, p.Instance)
	}
	p.Primary, p.CopyTarget, p.Epoch = "edge-c", "", 2
	o.OnAssignment(5, p) // the instance is known here, so its assignment is stored although it no longer involves this node
	if h := o.Copies(6); len(h) != 0 {
		t.Fatalf("the node has copies %+v", h)
	}
}
