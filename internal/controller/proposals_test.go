package controller

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// A leadership transfer to a controller that does not answer fails, and the leadership continues. Operations that are proposed
// during the transfer fail with an error that proves that they were not agreed (knownNotAgreed). After the failure, these
// operations no longer block the renewal of any node's lease.
func TestProposals_SurviveAFailedLeadershipTransfer(t *testing.T) {
	c := newTestFleet(t, 2*time.Second, 3, 3)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	if err := c.requestLease("edge-c", 1); err != nil {
		t.Fatal(err)
	}
	first, target := c.waitForLeader(), c.follower()
	ctrl := c.processes[first].controller
	term := c.status(first).Term
	c.partition(true, target)
	r := ctrl.raft.Load()
	transferred := make(chan error, 1)
	go func() {
		transferred <- r.LeadershipTransferToServer(raft.ServerID(target), raft.ServerAddress(target)).Error()
	}()
	c.waitFor("the leadership transfer is in progress", func() bool {
		_, err := ctrl.proposeEntry(logEntry{})
		return errors.Is(err, raft.ErrLeadershipTransferInProgress)
	})
	leaseRequest := func(node string) call[controllerclient.LeaseRequest] {
		return call[controllerclient.LeaseRequest]{ctx: testContext(t), caller: node, body: controllerclient.LeaseRequest{Version: controllerclient.Version, Node: node, Incarnation: 1}}
	}
	firstRequest, renewal := leaseRequest("edge-a"), leaseRequest("edge-c")
	if _, err := ctrl.handleLease(firstRequest); !errors.Is(err, raft.ErrLeadershipTransferInProgress) {
		t.Fatalf("a first lease during the transfer: %v", err)
	}
	if _, err := ctrl.handleLease(renewal); err != nil {
		t.Errorf("a renewal during the transfer: %v", err)
	}
	if _, err := ctrl.proposeEntry(logEntry{}); !errors.Is(err, raft.ErrLeadershipTransferInProgress) {
		t.Fatalf("the transfer has ended too early: %v", err)
	}
	ctrl.mu.Lock()
	l := ctrl.leadership
	plannerHost{ctrl, l}.Propose(placement.Operation{Kind: placement.OpFailOver, Instance: "camera-0", Epoch: 1, Node: "edge-b"})
	blocks := l.renewalBlocks["edge-b"]
	ctrl.mu.Unlock()
	if blocks != 1 {
		t.Fatalf("%d operations block the renewal of edge-b", blocks)
	}
	c.waitFor("no operation blocks the renewal of edge-b", func() bool {
		ctrl.mu.Lock()
		defer ctrl.mu.Unlock()
		return l.renewalBlocks["edge-b"] == 0
	})
	if err := <-transferred; err == nil {
		t.Fatal("the leadership was transferred to an unreachable controller")
	}
	c.waitFor("a lease is granted in the same term", func() bool {
		_, err := ctrl.handleLease(firstRequest)
		return err == nil
	})
	if s := c.status(first); s.Term != term || s.Role != "leader" {
		t.Errorf("the leadership has changed: %+v", s)
	}
}

// An entry that was proposed in an earlier term is refused. Since the proposal, this controller may have lost and regained the
// leadership, and the primary may have renewed its lease. A failover is safe only while that lease has expired.
func TestProposal_IsFencedByItsTerm(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	c.create("edge-a", "camera-7", "edge-a")
	ctrl := c.processes["keeper-1"].controller
	term := ctrl.raft.Load().CurrentTerm()
	failOver := []placement.Operation{{Version: 1, Kind: placement.OpFailOver, Instance: "camera-7", Epoch: 1, Node: "edge-a"}}
	if _, err := ctrl.proposeEntry(logEntry{Term: term - 1, Operations: failOver}); !errors.Is(err, errTermEnded) {
		t.Errorf("an entry of an earlier term: %v", err)
	}
	if assignment, _ := ctrl.stateMachine.assignment("camera-7"); assignment.State != placement.Running {
		t.Errorf("the assignment after the refused entry: %+v", assignment)
	}
	if _, err := ctrl.proposeEntry(logEntry{Term: term, Operations: failOver}); err != nil {
		t.Errorf("an entry of this term: %v", err)
	}
}
