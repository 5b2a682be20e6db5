package controller

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// TestProposals_SurviveAFailedLeadershipTransfer: the leadership is about to be handed to a controller that does not answer, and
// goes on. What was proposed meanwhile is refused as not agreed, and keeps no node from its lease.
func TestProposals_SurviveAFailedLeadershipTransfer(t *testing.T) {
	c := newTestFleet(t, 2*time.Second, 3, 3)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	if err := c.requestLease("edge-c", 1); err != nil {
		t.Fatal(err)
	}
	first, other := c.waitForLeader(), c.follower()
	ctrl := c.processes[first].controller
	term := c.status(first).Term
	c.partition(true, other)
	r := ctrl.raft.Load()
	transferred := make(chan error, 1)
	go func() {
		transferred <- r.LeadershipTransferToServer(raft.ServerID(other), raft.ServerAddress(other)).Error()
	}()
	c.waitFor("it is about to be handed on", func() bool {
		_, err := ctrl.proposeEntry(logEntry{})
		return errors.Is(err, raft.ErrLeadershipTransferInProgress)
	})
	leaseRequest := func(node string) call[controllerclient.LeaseRequest] {
		return call[controllerclient.LeaseRequest]{ctx: testContext(t), caller: node, body: controllerclient.LeaseRequest{Version: controllerclient.Version, Node: node, Incarnation: 1}}
	}
	firstRequest, renewal := leaseRequest("edge-a"), leaseRequest("edge-c")
	if _, err := ctrl.handleLease(firstRequest); !errors.Is(err, raft.ErrLeadershipTransferInProgress) {
		t.Fatalf("%v", err)
	}
	if _, err := ctrl.handleLease(renewal); err != nil {
		t.Errorf("a renewal meanwhile: %v", err)
	}
	if _, err := ctrl.proposeEntry(logEntry{}); !errors.Is(err, raft.ErrLeadershipTransferInProgress) {
		t.Fatalf("it is over already: %v", err)
	}
	ctrl.mu.Lock()
	l := ctrl.leadership
	plannerHost{ctrl, l}.Propose(placement.Operation{Kind: placement.OpFailOver, Instance: "camera-0", Epoch: 1, Node: "edge-b"})
	blocks := l.renewalBlocks["edge-b"]
	ctrl.mu.Unlock()
	if blocks != 1 {
		t.Fatalf("%d steps rest on edge-b", blocks)
	}
	c.waitFor("nothing rests on edge-b", func() bool {
		ctrl.mu.Lock()
		defer ctrl.mu.Unlock()
		return l.renewalBlocks["edge-b"] == 0
	})
	if err := <-transferred; err == nil {
		t.Fatal("the lead was handed to a silent keeper")
	}
	c.waitFor("a lease is granted in the same lead", func() bool {
		_, err := ctrl.handleLease(firstRequest)
		return err == nil
	})
	if s := c.status(first); s.Term != term || s.Role != "leader" {
		t.Errorf("another lead: %+v", s)
	}
}

// TestProposal_IsFencedByItsTerm: the leadership was lost and won again, and the node may have renewed meanwhile.
func TestProposal_IsFencedByItsTerm(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	c.create("edge-a", "camera-7", "edge-a")
	ctrl := c.processes["keeper-1"].controller
	term := ctrl.raft.Load().CurrentTerm()
	failOver := []placement.Operation{{Version: 1, Kind: placement.OpFailOver, Instance: "camera-7", Epoch: 1, Node: "edge-a"}}
	if _, err := ctrl.proposeEntry(logEntry{Term: term - 1, Operations: failOver}); !errors.Is(err, errTermEnded) {
		t.Errorf("of an earlier term: %v", err)
	}
	if assignment, _ := ctrl.stateMachine.assignment("camera-7"); assignment.State != placement.Running {
		t.Errorf("%+v", assignment)
	}
	if _, err := ctrl.proposeEntry(logEntry{Term: term, Operations: failOver}); err != nil {
		t.Errorf("of this term: %v", err)
	}
}
