package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

func TestController_KeepsAgreedStateOverARestart(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 2)
	c.start()
	if err := c.requestLease("edge-a", 5); err != nil {
		t.Fatal(err)
	}
	p := c.create("edge-a", "camera-7", "edge-a")
	if p.Epoch != 1 || p.Primary != "edge-a" {
		t.Errorf("the assignment after the creation: %+v", p)
	}
	a := c.processes["edge-a"].client
	if p, err := a.MoveDevice(testContext(t), "camera-7", "south"); err != nil || p.Zone != "south" {
		t.Errorf("the assignment after the device has moved: %+v %v", p, err)
	}
	if _, err := a.MoveDevice(testContext(t), "camera-8", "south"); !errors.Is(err, placement.ErrNotFound) {
		t.Errorf("the device of an unknown instance: %v", err)
	}
	if err := c.stop("keeper-1"); err != nil {
		t.Fatal(err)
	}
	c.start("keeper-1")
	all, err := a.Assignments(testContext(t), 0)
	if err != nil || len(all.Assignments) != 1 || all.Assignments[0].Zone != "south" || !all.Complete {
		t.Errorf("the assignments after a restart: %+v %v", all, err)
	}
	if err := c.requestLease("edge-a", 4); err == nil || err.Error() != "edge-a: an old copy: a later run of this name has had a lease" {
		t.Errorf("an earlier incarnation after a restart of the controller: %v", err)
	}
}

func TestController_RefusesInvalidCalls(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 2)
	c.newPlanner = func(h Host) Planner {
		return &idlePlanner{*newFailoverPlanner(h)}
	}
	c.start()
	a := c.processes["edge-a"].client
	if err := c.requestLease("edge-a", 5); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-7", "edge-a")
	for _, test := range []struct {
		name string
		op   placement.Operation
		want string
	}{
		{"of another node", placement.Operation{Kind: placement.OpReplicaReady, Instance: "camera-7", Epoch: 1, Node: "edge-b", Target: "edge-b"}, "in the name of"},
		{"of a kind of the planner", placement.Operation{Kind: placement.OpFailOver, Instance: "camera-7", Epoch: 1, Node: "edge-a"}, "leading controller only"},
		{"at an unknown node", placement.Operation{Kind: placement.OpCreate, Instance: "x", Target: "edge-z"}, "not an edge node"},
		{"of an existing instance", placement.Operation{Kind: placement.OpCreate, Instance: "camera-7", Target: "edge-a"}, "there already"},
		{"of an earlier epoch", placement.Operation{Kind: placement.OpDropReplica, Instance: "camera-7", Node: "edge-a", Target: "edge-b"}, "older epoch"},
		{"a deletion while the primary has a lease", placement.Operation{Kind: placement.OpDelete, Instance: "camera-7", Node: "edge-b"}, "may still serve"},
	} {
		client := a
		if test.name == "a deletion while the primary has a lease" {
			client = c.processes["edge-b"].client
		}
		if _, err := client.Propose(testContext(t), test.op); err == nil || !bytes.Contains([]byte(err.Error()), []byte(test.want)) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	if _, _, err := a.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: "edge-b", Incarnation: 9}); err == nil {
		t.Error("a lease was granted for another node")
	}
	if _, err := a.Propose(testContext(t), placement.Operation{Kind: placement.OpCreate, Instance: "y", Target: "edge-a",
		Reason: string(make([]byte, 2*controllerclient.MaxBodyBytes))}); err == nil {
		t.Error("an oversized call is accepted")
	}
	if all, err := a.Assignments(testContext(t), 0); err != nil || len(all.Assignments) != 1 || all.Assignments[0].Primary != "edge-a" {
		t.Errorf("the assignments after refused calls: %+v %v", all, err)
	}
}

func TestController_LosesNothingOverAFailedLeader(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 2)
	c.start()
	a := c.processes["edge-a"].client
	if err := c.requestLease("edge-a", 1); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		c.create("edge-a", fmt.Sprint("camera-", i), "edge-a")
	}
	first := c.waitForLeader()
	c.partition(true, first)
	second := c.waitForLeader(first)
	c.create("edge-a", "camera-5", "edge-a")
	all, err := a.Assignments(testContext(t), 0)
	if err != nil || len(all.Assignments) != 6 {
		t.Errorf("%d assignments: %v", len(all.Assignments), err)
	}
	c.partition(false, first)
	c.waitForInstance(first, "camera-5")
	if err := c.stop(second); err != nil {
		t.Error(err)
	}
	c.waitForLeader(second)
	c.create("edge-a", "camera-6", "edge-a")
}

func TestController_ChangesNothingWithoutAMajority(t *testing.T) {
	c := newTestFleet(t, 400*time.Millisecond, 3, 1)
	c.start()
	if err := c.requestLease("edge-a", 1); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-0", "edge-a")
	leader := c.waitForLeader()
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		if name != leader {
			c.partition(true, name)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := c.processes["edge-a"].client.Propose(ctx, placement.Operation{Kind: placement.OpCreate, Instance: "camera-1", Target: "edge-a"}); !errors.Is(err, controllerclient.ErrNoController) {
		t.Errorf("an operation without a majority: %v", err)
	}
	short, stop := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer stop()
	if _, _, err := c.processes["edge-a"].client.RequestLease(short, controllerclient.LeaseRequest{Node: "edge-a", Incarnation: 1}); err == nil {
		t.Error("a lease was granted without a majority")
	}
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		c.partition(false, name)
	}
	if err := c.requestLease("edge-a", 1); err != nil {
		t.Error(err)
	}
	c.create("edge-a", "camera-2", "edge-a")
}
