package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/standin/faultproxy"
	"silvercove/internal/tick"
)

// fakeEdgeNode simulates an edge node. It renews its lease, and confirms replicas and cut-overs that the controllers request.
// While the lease runs, it serves the instances of which it is the primary.
type fakeEdgeNode struct {
	client      *controllerclient.Client
	name        string
	incarnation uint64

	mu          sync.Mutex
	leaseEnd    tick.Tick
	version     uint64 // version of the assignments that the node has
	minVersion  uint64 // the node does not serve while version is lower than minVersion
	assignments map[string]placement.Assignment
	stopped     map[string]uint64 // by instance: last epoch in which the node has stopped serving the instance
}

func (n *fakeEdgeNode) renew(ctx context.Context, every time.Duration, lease tick.Tick) {
	for ctx.Err() == nil {
		callContext, cancel := context.WithTimeout(ctx, 2*every)
		response, sent, err := n.client.RequestLease(callContext, controllerclient.LeaseRequest{Node: n.name, Incarnation: n.incarnation,
			Report: []byte(`{"v":1,"state":"accepts","share":1,"room":5}`)})
		cancel()
		if err == nil {
			n.mu.Lock()
			// If the previous lease had expired, another node may have become primary of this node's instances. The node
			// therefore does not serve before it has the assignments of the response's version.
			if now := controllerclient.Now(); now >= n.leaseEnd {
				n.minVersion = response.AssignmentsVersion
			}
			n.leaseEnd = max(n.leaseEnd, sent+lease)
			n.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

func (n *fakeEdgeNode) watch(ctx context.Context) {
	_ = n.client.Watch(ctx, func(changes controllerclient.AssignmentChanges) {
		var ops []placement.Operation
		n.mu.Lock()
		n.version = changes.Version
		for _, a := range changes.Assignments {
			if n.assignments[a.Instance] = a; a.Primary != n.name || a.CopyTarget == "" {
				continue
			}
			op := placement.Operation{Kind: placement.OpReplicaReady, Instance: a.Instance, Epoch: a.Epoch, Node: n.name, Target: a.CopyTarget}
			if slices.Contains(a.Replicas, a.CopyTarget) {
				op.Kind, n.stopped[a.Instance] = placement.OpCutOver, a.Epoch
			}
			ops = append(ops, op)
		}
		n.mu.Unlock()
		for _, op := range ops {
			callContext, cancel := context.WithTimeout(ctx, time.Second)
			_, _ = n.client.Propose(callContext, op)
			cancel()
		}
	})
}

// servedEpoch returns the epoch in which the node serves an instance now, or 0 if the node does not serve the instance.
func (n *fakeEdgeNode) servedEpoch(name string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.assignments[name]
	if a.Primary != n.name || a.State != placement.Running || n.version < n.minVersion || n.stopped[name] >= a.Epoch ||
		controllerclient.Now() >= n.leaseEnd {
		return 0
	}
	return a.Epoch
}

// At most one node serves an instance at any time while links are silent, stall, delay traffic or break. A random generator
// with a fixed seed selects the faults.
func TestLease_OneNodeServesUnderFaults(t *testing.T) {
	replicaOf := map[string]string{"edge-a": "edge-b", "edge-b": "edge-a"}
	t.Run("failover planner", func(t *testing.T) {
		testSingleWriter(t, func(h Host, _ map[string]any) Planner {
			return &replicaPlanner{*newFailoverPlanner(h), replicaOf}
		})
	})
	t.Run("migration planner", func(t *testing.T) {
		testSingleWriter(t, func(h Host, settings map[string]any) Planner {
			return migration.NewPlanner(h, controllerclient.Now(), 3, migration.ConfigFrom(settings))
		})
	})
}

func testSingleWriter(t *testing.T, newPlanner func(Host, map[string]any) Planner) {
	t.Helper()
	const lease = 300 * time.Millisecond
	c := newTestFleet(t, lease, 3, 2)
	c.settings["fleet.falls"], c.settings["fleet.dwell"] = 1000.0, 0.5
	c.newPlanner = func(h Host) Planner { return newPlanner(h, c.settings) }
	c.start()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var nodes []*fakeEdgeNode
	for _, name := range []string{"edge-a", "edge-b"} {
		node := &fakeEdgeNode{client: c.processes[name].client, name: name, incarnation: 1, assignments: map[string]placement.Assignment{},
			stopped: map[string]uint64{}}
		nodes = append(nodes, node)
		group.Go(func() { node.renew(ctx, lease/4, tick.FromDuration(lease)) })
		group.Go(func() { node.watch(ctx) })
	}
	c.create("edge-a", "camera-7", "edge-a")
	servedEpochs := func() (bothServe bool, epochs [2]uint64) {
		epochs = [2]uint64{nodes[0].servedEpoch("camera-7"), 0}
		epochs[1] = nodes[1].servedEpoch("camera-7")
		// The first node may have stopped serving between the two calls of servedEpoch, so it is asked again.
		if epochs[0] > 0 && epochs[1] > 0 {
			bothServe = nodes[0].servedEpoch("camera-7") > 0
		}
		return bothServe, epochs
	}
	var violation atomic.Pointer[string]
	var highest atomic.Uint64
	group.Go(func() {
		for ctx.Err() == nil {
			bothServe, epochs := servedEpochs()
			if bothServe {
				text := fmt.Sprintf("both nodes serve, in epochs %v", epochs)
				violation.CompareAndSwap(nil, &text)
			}
			highest.Store(max(highest.Load(), epochs[0], epochs[1]))
			time.Sleep(200 * time.Microsecond)
		}
	})
	c.waitFor("a node serves", func() bool { return highest.Load() > 0 })
	random := rand.New(rand.NewPCG(29, 2))
	faults := []faultproxy.Fault{{Silent: true}, {Stall: true}, {Delay: lease / 2}, {BreakChance: 0.3}}
	// minEpochs is the minimum epoch that the instance has to reach, so that the faults have changed its primary several
	// times. Faults are injected for at least 12 seconds. On a busy machine, they continue until minEpochs is reached, but for
	// at most a minute.
	const minEpochs = 4
	began := time.Now()
	for violation.Load() == nil && (time.Since(began) < 12*time.Second || highest.Load() < minEpochs && time.Since(began) < time.Minute) {
		process := c.names[random.IntN(len(c.names))]
		fault, direction := faults[random.IntN(len(faults))], random.IntN(3)
		links := c.mesh.LinksOf(process)
		for _, link := range links {
			if (link.From == process) == (direction != 1) || direction == 2 {
				link.Set(faultproxy.Forward, fault)
			}
			if (link.To == process) == (direction != 1) || direction == 2 {
				link.Set(faultproxy.Backward, fault)
			}
		}
		time.Sleep(lease/2 + time.Duration(random.Float64()*2*float64(lease)))
		for _, link := range links {
			link.SetBoth(faultproxy.Fault{})
		}
		time.Sleep(time.Duration(random.Float64() * float64(lease)))
	}
	before := highest.Load()
	c.waitFor("a node serves after the faults", func() bool { _, epochs := servedEpochs(); return epochs[0]+epochs[1] > 0 })
	cancel()
	group.Wait()
	if text := violation.Load(); text != nil {
		t.Error(*text)
	}
	if before < minEpochs {
		t.Errorf("only %d epochs: the faults caused too few changes", before)
	}
	t.Logf("%d epochs", before)
}
