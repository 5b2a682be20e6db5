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

// fakeEdgeNode stands in for an edge node: it renews its lease, serves what it is primary of while the lease runs, and
// makes replicas as the controllers ask.
type fakeEdgeNode struct {
	client      *controllerclient.Client
	name        string
	incarnation uint64

	mu          sync.Mutex
	leaseEnd    tick.Tick
	version     uint64 // of its assignments
	minVersion  uint64 // before it serves
	assignments map[string]placement.Assignment
	stopped     map[string]uint64 // epochs for which it does not serve any more
}

func (u *fakeEdgeNode) renew(ctx context.Context, every time.Duration, lease tick.Tick) {
	for ctx.Err() == nil {
		callContext, cancel := context.WithTimeout(ctx, 2*every)
		response, sent, err := u.client.RequestLease(callContext, controllerclient.LeaseRequest{Node: u.name, Incarnation: u.incarnation,
			Report: []byte(`{"v":1,"state":"accepts","share":1,"room":5}`)})
		cancel()
		if err == nil {
			u.mu.Lock()
			if now := controllerclient.Now(); now >= u.leaseEnd { // it was over: what it was primary of may be another's
				u.minVersion = response.AssignmentsVersion
			}
			u.leaseEnd = max(u.leaseEnd, sent+lease)
			u.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

func (u *fakeEdgeNode) watch(ctx context.Context) {
	_ = u.client.Watch(ctx, func(changes controllerclient.AssignmentChanges) {
		var ops []placement.Operation
		u.mu.Lock()
		u.version = changes.Version
		for _, a := range changes.Assignments {
			if u.assignments[a.Instance] = a; a.Primary != u.name || a.CopyTarget == "" {
				continue
			}
			op := placement.Operation{Kind: placement.OpReplicaReady, Instance: a.Instance, Epoch: a.Epoch, Node: u.name, Target: a.CopyTarget}
			if slices.Contains(a.Replicas, a.CopyTarget) {
				op.Kind, u.stopped[a.Instance] = placement.OpCutOver, a.Epoch
			}
			ops = append(ops, op)
		}
		u.mu.Unlock()
		for _, op := range ops {
			callContext, cancel := context.WithTimeout(ctx, time.Second)
			_, _ = u.client.Propose(callContext, op)
			cancel()
		}
	})
}

// servedEpoch is the epoch in which it serves an instance now, 0: it does not.
func (u *fakeEdgeNode) servedEpoch(name string) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := u.assignments[name]
	if a.Primary != u.name || a.State != placement.Running || u.version < u.minVersion || u.stopped[name] >= a.Epoch ||
		controllerclient.Now() >= u.leaseEnd {
		return 0
	}
	return a.Epoch
}

// TestLease_OneNodeServesUnderFaults cuts, stalls and delays links by seed, and looks at each moment who serves.
func TestLease_OneNodeServesUnderFaults(t *testing.T) {
	replicaOf := map[string]string{"edge-a": "edge-b", "edge-b": "edge-a"}
	t.Run("falls alone", func(t *testing.T) {
		testSingleWriter(t, func(h Host, _ map[string]any) Planner {
			return &replicaPlanner{*newFailoverPlanner(h), replicaOf}
		})
	})
	t.Run("the planner", func(t *testing.T) {
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
		u := &fakeEdgeNode{client: c.processes[name].client, name: name, incarnation: 1, assignments: map[string]placement.Assignment{},
			stopped: map[string]uint64{}}
		nodes = append(nodes, u)
		group.Go(func() { u.renew(ctx, lease/4, tick.FromDuration(lease)) })
		group.Go(func() { u.watch(ctx) })
	}
	c.create("edge-a", "camera-7", "edge-a")
	servedEpochs := func() (bothServe bool, epochs [2]uint64) {
		epochs = [2]uint64{nodes[0].servedEpoch("camera-7"), 0}
		epochs[1] = nodes[1].servedEpoch("camera-7")
		if epochs[0] > 0 && epochs[1] > 0 { // one may have ended between the two looks
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
				text := fmt.Sprintf("both act, for epochs %v", epochs)
				violation.CompareAndSwap(nil, &text)
			}
			highest.Store(max(highest.Load(), epochs[0], epochs[1]))
			time.Sleep(200 * time.Microsecond)
		}
	})
	c.waitFor("it acts", func() bool { return highest.Load() > 0 })
	random := rand.New(rand.NewPCG(29, 2))
	faults := []faultproxy.Fault{{Silent: true}, {Stall: true}, {Delay: lease / 2}, {BreakChance: 0.3}}
	const minEpochs = 4 // epochs: on a busy machine the span may be over before the faults have tried anything
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
	c.waitFor("it acts after all", func() bool { _, epochs := servedEpochs(); return epochs[0]+epochs[1] > 0 })
	cancel()
	group.Wait()
	if text := violation.Load(); text != nil {
		t.Error(*text)
	}
	if before < minEpochs {
		t.Errorf("%d epochs only: the faults try nothing", before)
	}
	t.Logf("%d epochs", before)
}
