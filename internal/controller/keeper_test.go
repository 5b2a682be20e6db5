package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"silvercove/internal/controllerclient"
	"silvercove/internal/migration"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/standin/faultproxy"
	"silvercove/internal/tick"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait")) // half a second, by itself
}

// failoverPlanner plans no more than that a holder takes over from an owner whose lease is over.
type failoverPlanner struct {
	host        Host
	assignments map[string]placement.Assignment
	nodes       map[string]migration.NodeStatus
}

func (f *failoverPlanner) OnElected(tick.Tick)                              {}
func (f *failoverPlanner) OnNodeStatus(_ tick.Tick, u migration.NodeStatus) { f.nodes[u.Name] = u }
func (f *failoverPlanner) OnAssignment(_ tick.Tick, p placement.Assignment) {
	f.assignments[p.Instance] = p
}
func (f *failoverPlanner) OnProposalRefused(tick.Tick, placement.Operation, error) {}
func (f *failoverPlanner) OnDeviceMoved(tick.Tick, string, string)                 {}
func (f *failoverPlanner) OnTick(now tick.Tick) tick.Tick                          { return now + tick.Second }
func (f *failoverPlanner) OnLeaseExpired(_ tick.Tick, name string) {
	for _, p := range f.assignments {
		if p.Primary == name {
			e := placement.Operation{Kind: placement.OpFailOver, Instance: p.Instance, Epoch: p.Epoch, Node: name, Reason: "its lease is over"}
			if len(p.Replicas) > 0 {
				e.Target = p.Replicas[0]
			}
			f.host.Propose(e)
		}
	}
}

// testProcess is a process of the fleet: a keeper, or an edge unit with a client alone.
type testProcess struct {
	name, role   string
	address      string
	reservedPort net.Listener // until the first start, so that nobody else gets its port
	network      *peertransport.Network
	controller   *Controller
	cancel       context.CancelFunc
	done         chan error
	client       *controllerclient.Client
}

// testFleet is a fleet over links between any two.
type testFleet struct {
	t             testing.TB
	settings      map[string]any
	links         *faultproxy.Net
	processes     map[string]*testProcess
	names         []string
	linkBetween   map[[2]string]*faultproxy.Link
	dir           string
	wrapStore     map[string]func(Store) Store
	log           *logBuffer
	newPlanner    func(Host) Planner
	adjustOptions func(name string, o *Options) // nil: as begin has it
}

type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (t *logBuffer) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.Write(b)
}

func (t *logBuffer) contains(text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bytes.Contains(t.buf.Bytes(), []byte(text))
}

// newTestFleet makes a fleet of so many keepers and edge units; keepers are started by start.
func newTestFleet(tb testing.TB, lease time.Duration, keeperCount, edges int) *testFleet {
	c := &testFleet{t: tb, settings: map[string]any{"fleet.lease": lease.Seconds(), "fleet.drift": 0.02}, processes: map[string]*testProcess{},
		linkBetween: map[[2]string]*faultproxy.Link{}, dir: tb.TempDir(), wrapStore: map[string]func(Store) Store{}, log: &logBuffer{},
		links: faultproxy.New(1, func(faultproxy.Event) {})}
	for i := range keeperCount {
		c.names = append(c.names, fmt.Sprintf("keeper-%d", i+1))
	}
	for i := range edges {
		c.names = append(c.names, fmt.Sprintf("edge-%c", 'a'+i))
	}
	c.names = append(c.names, "relay-1")
	for _, name := range c.names {
		role, _, _ := strings.Cut(name, "-")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		c.processes[name] = &testProcess{name: name, role: role, address: l.Addr().String(), reservedPort: l}
	}
	for _, a := range c.names {
		for _, b := range c.names {
			if a != b {
				l, err := c.links.Add(a, b, c.processes[b].address)
				if err != nil {
					tb.Fatal(err)
				}
				c.linkBetween[[2]string{a, b}] = l
			}
		}
	}
	tb.Cleanup(func() {
		for _, name := range c.names {
			_ = c.stop(name)
		}
		c.links.Close()
		if tb.Failed() && os.Getenv("KEEPER_LOG") != "" {
			tb.Log(c.log.buf.String())
		}
	})
	return c
}

// start starts processes by name, all without.
func (c *testFleet) start(names ...string) {
	c.t.Helper()
	if len(names) == 0 {
		names = c.names
	}
	for _, name := range names {
		n := c.processes[name]
		var others []peertransport.Peer
		for _, b := range c.names {
			if b != name {
				others = append(others, peertransport.Peer{Name: b, Role: c.processes[b].role, Zone: "north",
					Address: c.linkBetween[[2]string{name, b}].Address()})
			}
		}
		_ = n.reservedPort.Close()
		var err error
		c.waitFor("its port is free", func() bool { // a link's connection may have it for a moment
			n.network, err = peertransport.Open("vans", peertransport.Peer{Name: name, Role: n.role, Zone: "north", Address: n.address}, others,
				func(string) {})
			return err == nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		nets, stopNet := context.WithCancel(context.Background())
		n.cancel, n.done = cancel, make(chan error, 1)
		n.client = controllerclient.New(n.network, c.settings, 7)
		if n.role != "keeper" {
			go func() {
				<-ctx.Done()
				stopNet()
			}()
			go func() { n.done <- n.network.Run(nets) }()
			continue
		}
		o := Options{Network: n.network, DataDir: filepath.Join(c.dir, name), Settings: c.settings, WrapStore: c.wrapStore[name],
			Log: zerolog.New(c.log).With().Str("node", name).Timestamp().Logger(),
			Planner: func(h Host, _ tick.Tick) Planner {
				if c.newPlanner != nil {
					return c.newPlanner(h)
				}
				return &failoverPlanner{h, map[string]placement.Assignment{}, map[string]migration.NodeStatus{}}
			}}
		if c.adjustOptions != nil {
			c.adjustOptions(name, &o)
		}
		n.controller, err = Open(o)
		if err != nil {
			cancel()
			network := n.network
			go func() { _ = network.Run(nets) }()
			stopNet()
			n.done <- err
			n.controller = nil
			continue
		}
		ran := make(chan error, 1)
		go func() { ran <- n.network.Run(nets) }()
		go func() {
			err := n.controller.Run(ctx)
			stopNet()
			<-ran
			n.done <- err
		}()
	}
}

// stop ends a process in order. kill is not to be had within one process; cut its links first.
func (c *testFleet) stop(name string) error {
	n := c.processes[name]
	if n.cancel == nil {
		return nil
	}
	n.cancel()
	n.cancel = nil
	n.client.Close()
	select {
	case err := <-n.done:
		n.controller = nil
		return err
	case <-time.After(20 * time.Second):
		c.t.Errorf("%s does not end", name)
		return nil
	}
}

// partition silences the links between a process and others, both ways; heal undoes it.
func (c *testFleet) partition(on bool, name string, others ...string) {
	if len(others) == 0 {
		others = c.names
	}
	for _, b := range others {
		if b == name {
			continue
		}
		for _, l := range []*faultproxy.Link{c.linkBetween[[2]string{name, b}], c.linkBetween[[2]string{b, name}]} {
			l.Set(faultproxy.Forth, faultproxy.Fault{Silent: on})
			l.Set(faultproxy.Back, faultproxy.Fault{Silent: on})
		}
	}
}

// waitFor waits for a condition.
func (c *testFleet) waitFor(what string, ok func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			if os.Getenv("KEEPER_LOG") != "" {
				c.t.Log(c.log.buf.String())
			}
			c.t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// waitForLeader waits for a keeper that leads and is not one of those named.
func (c *testFleet) waitForLeader(not ...string) (name string) {
	c.t.Helper()
	c.waitFor("a leader", func() bool {
		for _, n := range c.names {
			k := c.processes[n].controller
			if k == nil || c.processes[n].cancel == nil || slices.Contains(not, n) {
				continue
			}
			k.mu.Lock()
			leads := k.currentLeadership() != nil
			k.mu.Unlock()
			if leads {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func testContext(tb testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	tb.Cleanup(cancel)
	return ctx
}

// create makes an instance, and fails the test where that is refused.
func (c *testFleet) create(by, name, unit string) placement.Assignment {
	c.t.Helper()
	p, err := c.processes[by].client.Propose(testContext(c.t), placement.Operation{Kind: placement.OpCreate, Instance: name, Target: unit, Zone: "north",
		Weight: 3})
	if err != nil && !errors.Is(err, placement.ErrExists) {
		c.t.Fatal(err)
	}
	return p
}

func (c *testFleet) requestLease(unit string, run uint64) error {
	_, _, err := c.processes[unit].client.RequestLease(testContext(c.t), controllerclient.LeaseRequest{Node: unit, Incarnation: run})
	return err
}

// waitForInstance waits until a keeper's own table has an instance.
func (c *testFleet) waitForInstance(keeper, name string) {
	c.t.Helper()
	c.waitFor(keeper+" has "+name, func() bool {
		_, ok := c.processes[keeper].controller.stateMachine.assignment(name)
		return ok
	})
}

func TestOneKeeperServesAndKeepsWhatItAgreed(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 2)
	c.start()
	if err := c.requestLease("edge-a", 5); err != nil {
		t.Fatal(err)
	}
	p := c.create("edge-a", "camera-7", "edge-a")
	if p.Epoch != 1 || p.Primary != "edge-a" {
		t.Errorf("%+v", p)
	}
	a := c.processes["edge-a"].client
	if p, err := a.MoveDevice(testContext(t), "camera-7", "south"); err != nil || p.Zone != "south" {
		t.Errorf("%+v %v", p, err)
	}
	if _, err := a.MoveDevice(testContext(t), "camera-8", "south"); !errors.Is(err, placement.ErrNotFound) {
		t.Errorf("an unknown instance: %v", err)
	}
	if err := c.stop("keeper-1"); err != nil {
		t.Fatal(err)
	}
	c.start("keeper-1")
	all, err := a.Assignments(testContext(t), 0)
	if err != nil || len(all.Assignments) != 1 || all.Assignments[0].Zone != "south" || !all.Complete {
		t.Errorf("%+v %v", all, err)
	}
	if err := c.requestLease("edge-a", 4); err == nil || err.Error() != "edge-a: an old copy: a later run of this name has had a lease" {
		t.Errorf("an old copy after a restart of the keeper: %v", err)
	}
}

func TestBadCallsAreRefusedAndLoseNothing(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 2)
	c.newPlanner = func(h Host) Planner {
		return &idlePlanner{failoverPlanner{h, map[string]placement.Assignment{}, map[string]migration.NodeStatus{}}}
	}
	c.start()
	a := c.processes["edge-a"].client
	if err := c.requestLease("edge-a", 5); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-7", "edge-a")
	for _, s := range []struct {
		name string
		e    placement.Operation
		want string
	}{
		{"for another unit", placement.Operation{Kind: placement.OpReplicaReady, Instance: "camera-7", Epoch: 1, Node: "edge-b", Target: "edge-b"}, "that is by"},
		{"the planner's own", placement.Operation{Kind: placement.OpFailOver, Instance: "camera-7", Epoch: 1, Node: "edge-a"}, "leading keeper alone"},
		{"at no unit", placement.Operation{Kind: placement.OpCreate, Instance: "x", Target: "edge-z"}, "no edge unit"},
		{"there already", placement.Operation{Kind: placement.OpCreate, Instance: "camera-7", Target: "edge-a"}, "there already"},
		{"of an old epoch", placement.Operation{Kind: placement.OpDropReplica, Instance: "camera-7", Node: "edge-a", Target: "edge-b"}, "older epoch"},
		{"forgotten while it may act", placement.Operation{Kind: placement.OpDelete, Instance: "camera-7", Node: "edge-b"}, "may still act"},
	} {
		by := a
		if s.name == "forgotten while it may act" {
			by = c.processes["edge-b"].client
		}
		if _, err := by.Propose(testContext(t), s.e); err == nil || !bytes.Contains([]byte(err.Error()), []byte(s.want)) {
			t.Errorf("%s: %v", s.name, err)
		}
	}
	if _, _, err := a.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: "edge-b", Incarnation: 9}); err == nil {
		t.Error("a lease of another unit's")
	}
	if _, err := a.Propose(testContext(t), placement.Operation{Kind: placement.OpCreate, Instance: "y", Target: "edge-a",
		Reason: string(make([]byte, 2*controllerclient.MaxBody))}); err == nil {
		t.Error("an oversized call is taken")
	}
	if all, err := a.Assignments(testContext(t), 0); err != nil || len(all.Assignments) != 1 || all.Assignments[0].Primary != "edge-a" {
		t.Errorf("%+v %v", all, err)
	}
}

func TestAnotherRunWaitsForTheLeaseAndAnOldCopyForEver(t *testing.T) {
	c := newTestFleet(t, 500*time.Millisecond, 3, 1)
	c.start()
	granted := time.Now()
	if err := c.requestLease("edge-a", 5); err != nil {
		t.Fatal(err)
	}
	first := c.waitForLeader()
	if err := c.requestLease("edge-a", 6); err == nil || !bytes.Contains([]byte(err.Error()), []byte("another run")) {
		t.Errorf("a second run beside the first: %v", err)
	}
	_ = c.stop(first) // the next leader knows the run by the log, and counts its lease as renewed
	c.waitForLeader(first)
	if err := c.requestLease("edge-a", 4); err == nil || !bytes.Contains([]byte(err.Error()), []byte("old copy")) {
		t.Errorf("an old copy: %v", err)
	}
	c.waitFor("the later run is let in", func() bool { return c.requestLease("edge-a", 6) == nil })
	if d := time.Since(granted); d < 500*time.Millisecond {
		t.Errorf("the other run was let in after %v", d)
	}
	if err := c.requestLease("edge-a", 5); err == nil {
		t.Error("the earlier run is granted beside the later")
	}
}

func TestALeaderThatFallsIsFollowedAndNothingIsLost(t *testing.T) {
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
		t.Errorf("%d places: %v", len(all.Assignments), err)
	}
	c.partition(false, first)
	c.waitForInstance(first, "camera-5")
	if err := c.stop(second); err != nil {
		t.Error(err)
	}
	c.waitForLeader(second)
	c.create("edge-a", "camera-6", "edge-a")
}

func TestNothingChangesWhileTheMajorityIsGone(t *testing.T) {
	c := newTestFleet(t, 400*time.Millisecond, 3, 1)
	c.start()
	if err := c.requestLease("edge-a", 1); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-0", "edge-a")
	left := c.waitForLeader()
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		if name != left {
			c.partition(true, name)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := c.processes["edge-a"].client.Propose(ctx, placement.Operation{Kind: placement.OpCreate, Instance: "camera-1", Target: "edge-a"}); !errors.Is(err, controllerclient.ErrNoController) {
		t.Errorf("a step without a majority: %v", err)
	}
	short, stop := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer stop()
	if _, _, err := c.processes["edge-a"].client.RequestLease(short, controllerclient.LeaseRequest{Node: "edge-a", Incarnation: 1}); err == nil {
		t.Error("a lease without a majority")
	}
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		c.partition(false, name)
	}
	if err := c.requestLease("edge-a", 1); err != nil {
		t.Error(err)
	}
	c.create("edge-a", "camera-2", "edge-a")
}

func TestAFallIsPlacedAnewAndTheOwnerLearnsItBeforeItActsAgain(t *testing.T) {
	c := newTestFleet(t, 300*time.Millisecond, 1, 2)
	c.start()
	a, b := c.processes["edge-a"].client, c.processes["edge-b"].client
	for _, unit := range []string{"edge-b", "edge-a"} {
		if err := c.requestLease(unit, 1); err != nil {
			t.Fatal(err)
		}
	}
	k := c.processes["keeper-1"].controller
	c.waitFor("it is placed with a holder", func() bool { // at once: edge-a may be late with its next lease at any moment
		_, err := k.proposeEntry(logEntry{Operations: []placement.Operation{{Version: 1, Kind: placement.OpCreate, Instance: "camera-7", Target: "edge-a", Zone: "north", Weight: 3},
			{Version: 1, Kind: placement.OpStartCopy, Instance: "camera-7", Epoch: 1, Target: "edge-b"},
			{Version: 1, Kind: placement.OpReplicaReady, Instance: "camera-7", Epoch: 1, Node: "edge-a", Target: "edge-b"}}})
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	moved, watched := make(chan uint64, 1), make(chan error, 1)
	go func() {
		watched <- b.Watch(ctx, func(version uint64, places []placement.Assignment, _ []string, _ bool) {
			for _, p := range places {
				if p.Epoch < 2 {
					continue
				}
				select {
				case moved <- version: // later ones are edge-b's own fall, as it does not renew either
				default:
				}
			}
		})
	}()
	var version uint64
	select {
	case version = <-moved:
	case <-time.After(10 * time.Second):
		t.Fatal("nobody takes over")
	}
	cancel()
	<-watched
	answer, _, err := a.RequestLease(testContext(t), controllerclient.LeaseRequest{Node: "edge-a", Incarnation: 1})
	if err != nil || answer.AssignmentsVersion < version {
		t.Errorf("the lease names version %d, and its place changed at %d: %v", answer.AssignmentsVersion, version, err)
	}
	if p, _ := k.stateMachine.assignment("camera-7"); p.Epoch != 2 || p.Primary != "edge-b" && p.State == placement.Running {
		t.Errorf("%+v", p)
	}
}

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
