package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// A later incarnation of a node gets no lease before the lease of the earlier incarnation has expired, even if the leader changes.
// An earlier incarnation is refused.
func TestLease_LaterIncarnationWaitsAndEarlierIsRefused(t *testing.T) {
	c := newTestFleet(t, 500*time.Millisecond, 3, 1)
	c.start()
	granted := time.Now()
	if err := c.requestLease("edge-a", 5); err != nil {
		t.Fatal(err)
	}
	first := c.waitForLeader()
	if err := c.requestLease("edge-a", 6); err == nil || !bytes.Contains([]byte(err.Error()), []byte("another run")) {
		t.Errorf("a second incarnation beside the first: %v", err)
	}
	_ = c.stop(first) // the next leader reads the node's incarnation from the log, and treats the node's lease as renewed at the election
	c.waitForLeader(first)
	if err := c.requestLease("edge-a", 4); err == nil || !bytes.Contains([]byte(err.Error()), []byte("old copy")) {
		t.Errorf("an earlier incarnation: %v", err)
	}
	c.waitFor("the later incarnation gets a lease", func() bool { return c.requestLease("edge-a", 6) == nil })
	if d := time.Since(granted); d < 500*time.Millisecond {
		t.Errorf("the later incarnation got a lease after only %v", d)
	}
	if err := c.requestLease("edge-a", 5); err == nil {
		t.Error("the earlier incarnation got a lease beside the later one")
	}
}

// The response to a node whose instance failed over names an assignments version that includes the failover, so that the node
// does not serve the instance because of its earlier assignment.
func TestLease_NamesTheVersionAfterAFailover(t *testing.T) {
	c := newTestFleet(t, 300*time.Millisecond, 1, 2)
	c.start()
	a, b := c.processes["edge-a"].client, c.processes["edge-b"].client
	for _, node := range []string{"edge-b", "edge-a"} {
		if err := c.requestLease(node, 1); err != nil {
			t.Fatal(err)
		}
	}
	ctrl := c.processes["keeper-1"].controller
	// One entry creates the instance and its replica. With separate entries, the lease of edge-a could expire after the instance
	// is created, but before the replica exists.
	c.waitFor("camera-7 has a replica", func() bool {
		_, err := ctrl.proposeEntry(logEntry{Operations: []placement.Operation{{Version: 1, Kind: placement.OpCreate, Instance: "camera-7", Target: "edge-a", Zone: "north", Weight: 3},
			{Version: 1, Kind: placement.OpStartCopy, Instance: "camera-7", Epoch: 1, Target: "edge-b"},
			{Version: 1, Kind: placement.OpReplicaReady, Instance: "camera-7", Epoch: 1, Node: "edge-a", Target: "edge-b"}}})
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failedOver, watched := make(chan uint64, 1), make(chan error, 1)
	go func() {
		watched <- b.Watch(ctx, func(changes controllerclient.AssignmentChanges) {
			for _, assignment := range changes.Assignments {
				if assignment.Epoch < 2 {
					continue
				}
				select {
				// Only the first failover is of interest: edge-b does not renew its lease either, so a second failover follows.
				case failedOver <- changes.Version:
				default:
				}
			}
		})
	}()
	var version uint64
	select {
	case version = <-failedOver:
	case <-time.After(10 * time.Second):
		t.Fatal("no failover within 10 s")
	}
	cancel()
	if err := <-watched; !errors.Is(err, context.Canceled) {
		t.Errorf("the watch ended: %v", err)
	}
	response, _, err := a.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: "edge-a", Incarnation: 1})
	if err != nil || response.AssignmentsVersion < version {
		t.Errorf("the lease names assignments version %d, but the failover has version %d: %v", response.AssignmentsVersion, version, err)
	}
	if assignment, _ := ctrl.stateMachine.assignment("camera-7"); assignment.Epoch != 2 || assignment.Primary != "edge-b" && assignment.State == placement.Running {
		t.Errorf("the assignment after the failover: %+v", assignment)
	}
}

// Within the duration of a lease, the leader commits to the log the record counts that nodes have reported to the leader. The
// next leader then knows the counts. The counts of all nodes together take one log entry per lease duration, and change no assignment. An
// unverified copy is committed before a lease is granted for the request that reports the copy.
func TestLease_AgreesRecordCounts(t *testing.T) {
	const nodes = 20
	c := newTestFleet(t, time.Second, 1, nodes)
	c.newPlanner = func(h Host) Planner {
		return &idlePlanner{*newFailoverPlanner(h)}
	}
	c.start()
	renew := func(node string, count uint64, unverified ...replica.UnverifiedCopy) controllerclient.LeaseResponse {
		t.Helper()
		a, _, err := c.processes[node].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: node, Incarnation: 5, RecordCount: count, Unverified: unverified})
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	assignment := c.create("edge-a", "camera-7", "edge-a")
	renew("edge-b", 1)
	for _, test := range []struct{ count, before uint64 }{{100, 0}, {105, 100}, {90, 105}, {90, 105}, {0, 105}, {7, 0}, {120, 7}} {
		if a := renew("edge-a", test.count); a.RecordCount != test.before {
			t.Errorf("reported %d: the known count is %d, not %d", test.count, a.RecordCount, test.before)
		}
	}
	ctrl := c.processes["keeper-1"].controller
	waitForAgreedCount := func(node string, count uint64) {
		t.Helper()
		c.waitFor(fmt.Sprintf("record count %d of %s is agreed", count, node), func() bool { return ctrl.stateMachine.recordCounts()[node] == count })
	}
	waitForAgreedCount("edge-a", 120)
	// The first request of an incarnation adds a log entry. Each node sends that request before the test begins to count entries.
	for i := range nodes {
		renew(fmt.Sprintf("edge-%c", 'a'+i), 200)
	}
	first := ctrl.raft.Load().LastIndex()
	began := time.Now()
	for n := range 20 {
		for i := range nodes {
			renew(fmt.Sprintf("edge-%c", 'a'+i), uint64(300+n))
		}
	}
	waitForAgreedCount("edge-t", 319)
	maxEntries := uint64(2 + time.Since(began)/time.Second)
	if n := ctrl.raft.Load().LastIndex() - first; n > maxEntries {
		t.Errorf("%d entries, the limit is %d", n, maxEntries)
	}
	if a := renew("edge-a", 400, replica.UnverifiedCopy{Instance: "camera-7", Epoch: 1, Index: 3, Reason: "put back"}); a.AcceptedUnverified != 1 || a.AssignmentsVersion != assignment.Revision {
		t.Errorf("the response to a request with an unverified copy: %+v", a)
	}
	waitForAgreedCount("edge-a", 400)
	if err := ctrl.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	_ = c.stop("keeper-1")
	c.start("keeper-1")
	if a := renew("edge-a", 5); a.RecordCount != 400 {
		t.Errorf("after a restart the known count is %d", a.RecordCount)
	}
	all, err := c.processes["edge-a"].client.Assignments(testContext(t), 0)
	if err != nil || len(all.Assignments) != 1 || !strings.Contains(all.Assignments[0].UnverifiedReason, "put back") || all.Assignments[0].Revision != assignment.Revision {
		t.Errorf("the assignments after a restart: %+v %v", all, err)
	}
	_, _, err = c.processes["edge-a"].client.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: "edge-a", Incarnation: 5,
		Unverified: make([]replica.UnverifiedCopy, controllerclient.MaxUnverified+1)})
	if err == nil {
		t.Error("more than MaxUnverified copies are accepted in one request")
	}
}

// A lease request waits while a failover of the node's instances is in progress. Without the wait, the node would serve these
// instances again because of its earlier assignments.
func TestLease_WaitsForAFailoverUnderWay(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	ctrl := c.processes["keeper-1"].controller
	c.waitForLeader()
	ctrl.mu.Lock()
	l := ctrl.leadership
	if err := l.blockRenewal(ctrl.Now(), "edge-a"); err != nil {
		t.Error(err)
	}
	ctrl.mu.Unlock()
	granted := make(chan error, 1)
	go func() { granted <- c.requestLease("edge-a", 1) }()
	c.waitFor("the incarnation is agreed", func() bool { return ctrl.stateMachine.incarnations()["edge-a"] == 1 })
	select {
	case err := <-granted:
		t.Errorf("answered while the failover is in progress: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	ctrl.mu.Lock()
	l.unblockRenewal("edge-a")
	ctrl.mu.Unlock()
	if err := <-granted; err != nil {
		t.Error(err)
	}
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	if err := l.blockRenewal(ctrl.Now(), "edge-a"); !errors.Is(err, errLeaseRunning) {
		t.Errorf("an operation against a node with a lease: %v", err)
	}
}
