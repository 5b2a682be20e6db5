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

// fakeEdgeNode stands in for an edge unit: it renews its lease, acts for what it owns while that holds, and makes its holder
// anew as the keepers ask.
type fakeEdgeNode struct {
	client      *controllerclient.Client
	name        string
	incarnation uint64

	mu          sync.Mutex
	leaseEnd    tick.Tick
	version     uint64 // of its places
	minVersion  uint64 // before it acts
	assignments map[string]placement.Assignment
	stopped     map[string]uint64 // epochs for which it does not act any more
}

func (u *fakeEdgeNode) renew(ctx context.Context, every time.Duration, lease tick.Tick) {
	for ctx.Err() == nil {
		each, cancel := context.WithTimeout(ctx, 2*every)
		answer, sent, err := u.client.RequestLease(each, controllerclient.LeaseRequest{Node: u.name, Incarnation: u.incarnation,
			Report: []byte(`{"v":1,"state":"accepts","share":1,"room":5}`)})
		cancel()
		if err == nil {
			u.mu.Lock()
			if now := controllerclient.Now(); now >= u.leaseEnd { // it was over: what it owned may be another's
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
	_ = u.client.Watch(ctx, func(version uint64, places []placement.Assignment, gone []string, whole bool) {
		var steps []placement.Operation
		u.mu.Lock()
		u.version = version
		for _, p := range places {
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

// servedEpoch says for which epoch it acts now, 0: it does not.
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

// replicaPlanner plans as falls, and makes the other unit a holder wherever there is none.
type replicaPlanner struct {
	failoverPlanner
	replicaOf map[string]string
}

func (h *replicaPlanner) OnAssignment(now tick.Tick, p placement.Assignment) {
	h.failoverPlanner.OnAssignment(now, p)
	if p.State == placement.Running && len(p.Replicas) == 0 && p.CopyTarget == "" {
		h.host.Propose(placement.Operation{Kind: placement.OpStartCopy, Instance: p.Instance, Epoch: p.Epoch, Target: h.replicaOf[p.Primary]})
	}
}

// TestAtMostOneUnitActsUnderFaults cuts, stalls and delays links by seed, and looks at each moment who acts.
func TestAtMostOneUnitActsUnderFaults(t *testing.T) {
	other := map[string]string{"edge-a": "edge-b", "edge-b": "edge-a"}
	t.Run("falls alone", func(t *testing.T) {
		testSingleWriter(t, func(h Host, _ map[string]any) Planner {
			return &replicaPlanner{failoverPlanner{h, map[string]placement.Assignment{}, map[string]migration.NodeStatus{}}, other}
		})
	})
	t.Run("the planner", func(t *testing.T) {
		testSingleWriter(t, func(h Host, set map[string]any) Planner {
			return migration.NewPlanner(h, controllerclient.Now(), 3, migration.ConfigFrom(set))
		})
	})
}

func testSingleWriter(t *testing.T, plan func(Host, map[string]any) Planner) {
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
	faults := []faultproxy.Fault{{Silent: true}, {Stall: true}, {Delay: lease / 2}, {Drop: 0.3}}
	const enough = 4 // epochs: on a busy machine the span may be over before the faults have tried anything
	began := time.Now()
	for broken.Load() == nil && (time.Since(began) < 12*time.Second || highest.Load() < enough && time.Since(began) < time.Minute) {
		var set []*faultproxy.Link
		who := c.names[chance.IntN(len(c.names))]
		fault, ways := faults[chance.IntN(len(faults))], chance.IntN(3)
		for pair, l := range c.linkBetween {
			if pair[0] == who || pair[1] == who {
				if (pair[0] == who) == (ways != 1) || ways == 2 {
					l.Set(faultproxy.Forth, fault)
				}
				if (pair[1] == who) == (ways != 1) || ways == 2 {
					l.Set(faultproxy.Back, fault)
				}
				set = append(set, l)
			}
		}
		time.Sleep(lease/2 + time.Duration(chance.Float64()*2*float64(lease)))
		for _, l := range set {
			l.Set(faultproxy.Forth, faultproxy.Fault{})
			l.Set(faultproxy.Back, faultproxy.Fault{})
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

// TestALeadIsConfirmedByWordsOfNowAlone: raft's own check counts answers to messages from before the question.
func TestALeadIsConfirmedByWordsOfNowAlone(t *testing.T) {
	c := newTestFleet(t, 2*time.Second, 3, 0)
	c.start()
	first := c.waitForLeader()
	k := c.processes[first].controller
	r := k.raft.Load()
	term := r.CurrentTerm()
	if err := k.confirmer.confirm(testContext(t), r, term); err != nil {
		t.Errorf("a majority is there: %v", err)
	}
	var others []string
	for _, name := range c.names {
		if name != first {
			others = append(others, name)
		}
	}
	// The answers that are under way count for raft, whoever was elected meanwhile; here the followers' word is held back.
	for _, name := range others {
		k.confirmer.mu.Lock()
		k.confirmer.confirmations[name] = confirmation{question: k.confirmer.lastQuestion, term: term} // of a moment ago
		k.confirmer.mu.Unlock()
	}
	c.partition(true, first)
	if err := k.confirmer.confirm(testContext(t), r, term); err == nil {
		t.Error("confirmed by words of before")
	}
	c.waitForLeader(first)
	c.partition(false, first)
	if err := k.confirmer.confirm(testContext(t), r, term); err == nil {
		t.Error("confirmed for an earlier term")
	}
}

// TestAStepThatRestsOnALapseIsFencedByItsTerm: the lead was lost and won again, and the unit may have renewed meanwhile.
func TestAStepThatRestsOnALapseIsFencedByItsTerm(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	c.create("edge-a", "camera-7", "edge-a")
	k := c.processes["keeper-1"].controller
	term := k.raft.Load().CurrentTerm()
	fail := []placement.Operation{{Version: 1, Kind: placement.OpFailOver, Instance: "camera-7", Epoch: 1, Node: "edge-a"}}
	if _, err := k.proposeEntry(logEntry{Term: term - 1, Operations: fail}); err != errTermEnded {
		t.Errorf("of an earlier term: %v", err)
	}
	if p, _ := k.stateMachine.assignment("camera-7"); p.State != placement.Running {
		t.Errorf("%+v", p)
	}
	if _, err := k.proposeEntry(logEntry{Term: term, Operations: fail}); err != nil {
		t.Errorf("of this term: %v", err)
	}
}

// TestALeaseIsHeldBackWhileAFallIsAgreed: else the owner would act again by places of before.
func TestALeaseIsHeldBackWhileAFallIsAgreed(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	k := c.processes["keeper-1"].controller
	c.waitForLeader()
	k.mu.Lock()
	l := k.leadership
	if err := l.holdExpiry(k.Now(), "edge-a"); err != nil {
		t.Error(err)
	}
	k.mu.Unlock()
	granted := make(chan error, 1)
	go func() { granted <- c.requestLease("edge-a", 1) }()
	c.waitFor("its run is agreed", func() bool { return k.stateMachine.incarnations()["edge-a"] == 1 })
	select {
	case err := <-granted:
		t.Errorf("granted while its fall is under way: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	k.mu.Lock()
	l.releaseExpiry("edge-a")
	k.mu.Unlock()
	if err := <-granted; err != nil {
		t.Error(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := l.holdExpiry(k.Now(), "edge-a"); err != errLeaseRunning {
		t.Errorf("a step against a unit that holds its lease: %v", err)
	}
}

func benchmarkControllers(b *testing.B, count int, f func(c *testFleet, i int)) {
	c := newTestFleet(b, 10*time.Second, count, 8)
	c.start()
	for i := range 8 {
		if err := c.requestLease(fmt.Sprintf("edge-%c", 'a'+i), 1); err != nil {
			b.Fatal(err)
		}
	}
	var next atomic.Int64
	b.SetParallelism(32)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			f(c, int(next.Add(1)))
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "a_second")
}

func BenchmarkLeases(b *testing.B) {
	for _, count := range []int{1, 3} {
		b.Run(fmt.Sprint("keepers=", count), func(b *testing.B) {
			benchmarkControllers(b, count, func(c *testFleet, i int) {
				unit := fmt.Sprintf("edge-%c", 'a'+i%8)
				_, _, err := c.processes[unit].client.RequestLease(testContext(b), controllerclient.LeaseRequest{Node: unit, Incarnation: 1, RecordCount: uint64(i)})
				if err != nil {
					b.Error(err)
				}
			})
		})
	}
}

func BenchmarkSteps(b *testing.B) {
	for _, count := range []int{1, 3} {
		b.Run(fmt.Sprint("keepers=", count), func(b *testing.B) {
			benchmarkControllers(b, count, func(c *testFleet, i int) {
				c.create(fmt.Sprintf("edge-%c", 'a'+i%8), fmt.Sprint("camera-", b.N, "-", i), "edge-a")
			})
		})
	}
}
