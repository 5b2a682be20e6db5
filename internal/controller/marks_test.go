package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// idlePlanner plans nothing: a lease that a busy machine loses changes no place.
type idlePlanner struct{ failoverPlanner }

func (*idlePlanner) OnLeaseExpired(tick.Tick, string) {}

// What a unit counts of its disk is known to the next leader a lease later, costs an entry a lease for all units, and is no
// change of any place; a doubt is agreed before the lease that told it is granted.
func TestTheCountOfAUnitsDiskIsKept(t *testing.T) {
	const units = 20
	c := newTestFleet(t, time.Second, 1, units)
	c.newPlanner = func(h Host) Planner {
		return &idlePlanner{failoverPlanner{h, map[string]placement.Assignment{}, map[string]migration.NodeStatus{}}}
	}
	c.start()
	ask := func(unit string, kept uint64, doubts ...replica.UnverifiedCopy) controllerclient.LeaseResponse {
		t.Helper()
		a, _, err := c.processes[unit].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: unit, Incarnation: 5, RecordCount: kept, Unverified: doubts})
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	p := c.create("edge-a", "camera-7", "edge-a")
	ask("edge-b", 1)
	for _, x := range []struct{ kept, before uint64 }{{100, 0}, {105, 100}, {90, 105}, {90, 105}, {0, 105}, {7, 0}, {120, 7}} {
		if a := ask("edge-a", x.kept); a.RecordCount != x.before {
			t.Errorf("%d was told, and %d was known, not %d", x.kept, a.RecordCount, x.before)
		}
	}
	k := c.processes["keeper-1"].controller
	agreed := func(unit string, kept uint64) {
		t.Helper()
		c.waitFor(fmt.Sprintf("%d of %s is agreed", kept, unit), func() bool { return k.stateMachine.recordCounts()[unit] == kept })
	}
	agreed("edge-a", 120)
	for i := range units {
		ask(fmt.Sprintf("edge-%c", 'a'+i), 200) // the first ask of a run is an entry of its own
	}
	first := k.raft.Load().LastIndex()
	began := time.Now()
	for n := range 20 {
		for i := range units {
			ask(fmt.Sprintf("edge-%c", 'a'+i), uint64(300+n))
		}
	}
	agreed("edge-t", 319)
	most := uint64(2 + time.Since(began)/time.Second)
	if n := k.raft.Load().LastIndex() - first; n > most {
		t.Errorf("%d entries, most are %d", n, most)
	}
	if a := ask("edge-a", 400, replica.UnverifiedCopy{Instance: "camera-7", Epoch: 1, Index: 3, Reason: "put back"}); a.AcceptedUnverified != 1 || a.AssignmentsVersion != p.Revision {
		t.Errorf("%+v", a)
	}
	agreed("edge-a", 400)
	if err := k.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	_ = c.stop("keeper-1")
	c.start("keeper-1")
	if a := ask("edge-a", 5); a.RecordCount != 400 {
		t.Errorf("after a restart %d is known", a.RecordCount)
	}
	all, err := c.processes["edge-a"].client.Assignments(testContext(t), 0)
	if err != nil || len(all.Assignments) != 1 || !strings.Contains(all.Assignments[0].UnverifiedReason, "put back") || all.Assignments[0].Revision != p.Revision {
		t.Errorf("%+v %v", all, err)
	}
	_, _, err = c.processes["edge-a"].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: "edge-a", Incarnation: 5,
		Unverified: make([]replica.UnverifiedCopy, controllerclient.MaxUnverified+1)})
	if err == nil {
		t.Error("as many doubts as anybody likes are taken at once")
	}
}
