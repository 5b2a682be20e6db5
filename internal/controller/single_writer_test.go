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
		each, cancel := context.WithTimeout(ctx, 2*every)
		answer, sent, err := u.client.RequestLease(each, controllerclient.LeaseRequest{Node: u.name, Incarnation: u.incarnation,
			Report: []byte(`{"v":1,"state":"accepts","share":1,"room":5}`)})
		cancel()
		if err == nil {
			u.mu.Lock()
			if now := controllerclient.Now(); now >= u.leaseEnd { // it was over: what it was primary of may be another's
				u.minVersion = answer.AssignmentsVersion
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
		var steps []placement.Operation
		u.mu.Lock()
		u.version = changes.Version
		for _, p := range changes.Assignments {
			if u.assignments[p.Instance] = p; p.Primary != u.name || p.CopyTarget == "" {
				continue
			}
			e := placement.Operation{Kind: placement.OpReplicaReady, Instance: p.Instance, Epoch: p.Epoch, Node: u.name, Target: p.CopyTarget}
			if slices.Contains(p.Replicas, p.CopyTarget) {
				e.Kind, u.stopped[p.Instance] = placement.OpCutOver, p.Epoch
			}
			steps = append(steps, e)
		}
		u.mu.Unlock()
		for _, e := range steps {
			each, cancel := context.WithTimeout(ctx, time.Second)
			_, _ = u.client.Propose(each, e)
			cancel()
		}
	})
}

// servedEpoch is the epoch in which it serves an instance now, 0: it does not.
func (u *fakeEdgeNode) servedEpoch(name string) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.assignments[name]
	if p.Primary != u.name || p.State != placement.Running || u.version < u.minVersion || u.stopped[name] >= p.Epoch ||
		controllerclient.Now() >= u.leaseEnd {
		return 0
	}
	return p.Epoch
}

// TestLease_OneNodeServesUnderFaults cuts, stalls and delays links by seed, and looks at each moment who serves.
func TestLease_OneNodeServesUnderFaults(t *testing.T) {
	other := map[string]string{"edge-a": "edge-b", "edge-b": "edge-a"}
	t.Run("falls alone", func(t *testing.T) {
		testSingleWriter(t, func(h Host, _ map[string]any) Planner {
			return &replicaPlanner{*newFailoverPlanner(h), other}
		})
	})
	t.Run("the planner", func(t *testing.T) {
		testSingleWriter(t, func(h Host, set map[string]any) Planner {
			return migration.NewPlanner(h, controllerclient.Now(), 3, migration.ConfigFrom(set))
		})
	})
}

func testSingleWriter(t *testing.T, plan func(Host, map[string]any) Planner) {
	t.Helper()
	const lease = 300 * time.Millisecond
	c := newTestFleet(t, lease, 3, 2)
	c.settings["fleet.falls"], c.settings["fleet.dwell"] = 1000.0, 0.5
	c.newPlanner = func(h Host) Planner { return plan(h, c.settings) }
	c.start()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var units []*fakeEdgeNode
	for _, name := range []string{"edge-a", "edge-b"} {
		u := &fakeEdgeNode{client: c.processes[name].client, name: name, incarnation: 1, assignments: map[string]placement.Assignment{},
			stopped: map[string]uint64{}}
		units = append(units, u)
		group.Go(func() { u.renew(ctx, lease/4, tick.FromDuration(lease)) })
		group.Go(func() { u.watch(ctx) })
	}
	c.create("edge-a", "camera-7", "edge-a")
	acts := func() (both bool, epochs [2]uint64) {
		epochs = [2]uint64{units[0].servedEpoch("camera-7"), 0}
		epochs[1] = units[1].servedEpoch("camera-7")
		if epochs[0] > 0 && epochs[1] > 0 { // one may have ended between the two looks
			both = units[0].servedEpoch("camera-7") > 0
		}
		return both, epochs
	}
	var broken atomic.Pointer[string]
	var highest atomic.Uint64
	group.Go(func() {
		for ctx.Err() == nil {
			both, epochs := acts()
			if both {
				text := fmt.Sprintf("both act, for epochs %v", epochs)
				broken.CompareAndSwap(nil, &text)
			}
			highest.Store(max(highest.Load(), epochs[0], epochs[1]))
			time.Sleep(200 * time.Microsecond)
		}
	})
	c.waitFor("it acts", func() bool { return highest.Load() > 0 })
	chance := rand.New(rand.NewPCG(29, 2))
	faults := []faultproxy.Fault{{Silent: true}, {Stall: true}, {Delay: lease / 2}, {BreakChance: 0.3}}
	const enough = 4 // epochs: on a busy machine the span may be over before the faults have tried anything
	began := time.Now()
	for broken.Load() == nil && (time.Since(began) < 12*time.Second || highest.Load() < enough && time.Since(began) < time.Minute) {
		who := c.names[chance.IntN(len(c.names))]
		fault, ways := faults[chance.IntN(len(faults))], chance.IntN(3)
		links := c.mesh.LinksOf(who)
		for _, link := range links {
			if (link.From == who) == (ways != 1) || ways == 2 {
				link.Set(faultproxy.Forward, fault)
			}
			if (link.To == who) == (ways != 1) || ways == 2 {
				link.Set(faultproxy.Backward, fault)
			}
		}
		time.Sleep(lease/2 + time.Duration(chance.Float64()*2*float64(lease)))
		for _, link := range links {
			link.SetBoth(faultproxy.Fault{})
		}
		time.Sleep(time.Duration(chance.Float64() * float64(lease)))
	}
	before := highest.Load()
	c.waitFor("it acts after all", func() bool { _, e := acts(); return e[0]+e[1] > 0 })
	cancel()
	group.Wait()
	if text := broken.Load(); text != nil {
		t.Error(*text)
	}
	if before < enough {
		t.Errorf("%d epochs only: the faults try nothing", before)
	}
	t.Logf("%d epochs", before)
}
