package edgenode

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/pgwire"
	"silvercove/internal/standin/faultproxy"
)

func TestFailover_ReplicaTakesOverAndFormerPrimaryReturns(t *testing.T) {
	for _, withDisk := range []bool{true, false} {
		t.Run(fmt.Sprint("disk ", withDisk), func(t *testing.T) {
			c := newServingFleet(t, 2, withDisk, "edge-b")
			a := dialNode(t, c.processes["edge-a"].peer.RequestAddress)
			if v, _ := a.write("acked", "camera-7", []byte("x")); v != "2 1 edge-a" {
				t.Fatal(v)
			}
			c.kill("edge-a")
			b := dialNode(t, c.processes["edge-b"].peer.RequestAddress)
			c.waitFor("edge-b serves the instance", func() bool { v, _ := b.read(); return v == "2 1 edge-a" })
			if v, _ := b.write("acked", "camera-7", nil); v != "2 1 edge-a" {
				t.Errorf("repeated write that succeeded before the failover: %s", v)
			}
			if v, _ := b.write("next", "camera-7", nil); v != "3 2 edge-b" {
				t.Error(v)
			}
			c.start("edge-a")
			a = dialNode(t, c.processes["edge-a"].peer.RequestAddress)
			c.waitFor("edge-a has a lease", func() bool {
				_, state, _ := a.exchange(pgwire.SimpleQuery("SELECT 1"))
				return state == pgwire.StateSuccess
			})
			if v, state := a.read(); state != pgwire.StateTooManyConnections {
				t.Errorf("read at the former primary: value %s, state %s", v, state)
			}
		})
	}
}

func TestReplica_PartitionedIsDroppedBeforeWritesSucceed(t *testing.T) {
	c := newServingFleet(t, 2, false, "edge-b")
	c.mesh.Link("edge-a", "edge-b").SetBoth(faultproxy.Fault{Silent: true})
	c.mesh.Link("edge-b", "edge-a").SetBoth(faultproxy.Fault{Silent: true})
	a := dialNode(t, c.processes["edge-a"].peer.RequestAddress)
	v, state := a.write("cut", "camera-7", nil)
	if state != pgwire.StateSuccess || v != "2 1 edge-a" {
		t.Fatalf("write during the partition: value %s, state %s", v, state)
	}
	if assignment := c.assignment("camera-7"); len(assignment.Replicas) != 0 {
		t.Errorf("write succeeded while %v were still replicas", assignment.Replicas)
	}
}

// TestNode_PartitionedFromControllersStopsServing checks that a node that loses its lease stops serving. Requests that waited for a
// replica end as indeterminate, and must not count against the node's health.
func TestNode_PartitionedFromControllersStopsServing(t *testing.T) {
	c := newServingFleet(t, 2, false, "edge-b")
	a := dialNode(t, c.processes["edge-a"].peer.RequestAddress)
	links := []*faultproxy.Link{c.mesh.Link("edge-a", "keeper-1"), c.mesh.Link("edge-a", "edge-b")}
	for _, link := range links {
		link.SetBoth(faultproxy.Fault{Silent: true})
	}
	var writers sync.WaitGroup
	for i := range 24 {
		client := dialNode(t, c.processes["edge-a"].peer.RequestAddress)
		writers.Go(func() {
			if _, state := client.write(fmt.Sprint("waits", i), "camera-7", nil); state != pgwire.StateInternalError && state != pgwire.StateTooManyConnections {
				t.Errorf("a request that waited for a replica: %s", state)
			}
		})
	}
	writers.Wait()
	b := dialNode(t, c.processes["edge-b"].peer.RequestAddress)
	c.waitFor("edge-b serves the instance", func() bool { _, state := b.read(); return state == pgwire.StateSuccess })
	if _, state := a.read(); state != pgwire.StateTooManyConnections {
		t.Errorf("former primary still answers: %s", state)
	}
	for _, link := range links {
		link.SetBoth(faultproxy.Fault{})
	}
	if report := c.processes["edge-a"].node.assessHealth(&loadMeter{since: time.Now()}); report.State != controllerclient.StateAccepting {
		t.Errorf("unhealthy because the controllers were unreachable: %+v", report)
	}
	c.waitFor("edge-a has a lease", func() bool {
		_, state, _ := a.exchange(pgwire.SimpleQuery("SELECT 1"))
		return state == pgwire.StateSuccess
	})
	if _, state := a.read(); state != pgwire.StateTooManyConnections {
		t.Errorf("former primary answers: %s", state)
	}
}

func TestReplica_LostCopyIsReported(t *testing.T) {
	c := newServingFleet(t, 2, false, "edge-b")
	c.kill("edge-b")
	c.start("edge-b")
	c.waitFor("edge-b is no replica any more", func() bool { return len(c.assignment("camera-7").Replicas) == 0 })
	if !strings.Contains(c.log.String(), `"event":"lacks"`) {
		t.Error("event lacks was not logged")
	}
}
