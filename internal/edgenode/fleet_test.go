package edgenode

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"silvercove/internal/controller"
	"silvercove/internal/controllerclient"
	"silvercove/internal/fleet"
	"silvercove/internal/migration"
	"silvercove/internal/peertransport"
	"silvercove/internal/pgwire"
	"silvercove/internal/placement"
	"silvercove/internal/standin/faultproxy"
	"silvercove/internal/tick"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testLease is long enough that a node does not lose its lease on a busy machine. Most tests use failoverPlanner. If a node's
// lease expired, this planner would fail over all instances of the node. The instances without a replica would be lost.
const testLease = time.Second

// logBuffer collects the log of all processes. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// testProcess is one process of a testFleet: the controller, an edge node, or the client of the test. node is nil unless the
// process is an edge node.
type testProcess struct {
	peer      peertransport.Peer
	node      *Node
	terminate context.CancelFunc
	kill      context.CancelFunc
	done      chan error
}

// testFleet is one controller and some edge nodes, connected by proxied links, all within the test process. client is the test's
// own client of the controller. It calls the controller as the process named desk.
type testFleet struct {
	t           testing.TB
	dir         string
	settings    map[string]any
	names       []string
	processes   map[string]*testProcess
	mesh        *faultproxy.Mesh
	log         *logBuffer
	client      *controllerclient.Client
	withDisk    bool
	realPlanner bool // the controller uses migration.Planner instead of failoverPlanner

	mu         sync.Mutex
	operations []placement.Operation // operations that failoverPlanner proposes next
}

// addressesGiven is the number of addresses that freeAddress has returned.
var addressesGiven atomic.Uint32

// freeAddress returns a loopback address that no other test uses, with a port below the range of ephemeral ports.
func freeAddress(testing.TB) string {
	n := addressesGiven.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:7001", 64+os.Getpid()%128, os.Getpid()/128%256^int(n>>8), n%250+1)
}

// newTestFleet starts a fleet of one controller and some edge nodes, with or without disks. Before the start, it calls each
// function of adjust, which may change the fleet's settings.
func newTestFleet(tb testing.TB, edges int, withDisk bool, adjust ...func(*testFleet)) *testFleet {
	tb.Helper()
	c := &testFleet{t: tb, dir: tb.TempDir(), processes: map[string]*testProcess{}, log: &logBuffer{}, withDisk: withDisk,
		settings: map[string]any{"fleet.lease": testLease.Seconds(), "fleet.drift": 0.02, "fleet.state": float64(1 << 20)}}
	for _, f := range adjust {
		f(c)
	}
	c.names = []string{"desk", "keeper-1"}
	for i := range edges {
		c.names = append(c.names, fmt.Sprintf("edge-%c", 'a'+i))
	}
	proxy := faultproxy.New(1, nil)
	var peers []peertransport.Peer
	for _, name := range c.names {
		p := peertransport.Peer{Name: name, Role: peertransport.RoleEdge, Zone: "north", Address: freeAddress(tb)}
		if name > "edge-b" && name < "f" {
			p.Zone = "south"
		}
		switch name {
		case "desk":
			p.Role = peertransport.RoleRelay
		case "keeper-1":
			p.Role = peertransport.RoleController
		default:
			p.RequestAddress = freeAddress(tb)
		}
		c.processes[name] = &testProcess{peer: p}
		peers = append(peers, p)
	}
	var err error
	c.mesh, err = faultproxy.NewMesh(proxy, peers)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		for _, name := range slices.Backward(c.names) {
			c.kill(name)
		}
		proxy.Close()
		if tb.Failed() {
			tb.Log(c.log.String())
		}
	})
	for _, name := range c.names {
		c.start(name)
	}
	return c
}

// start starts a process. The process's done channel receives the error with which the process ends, or nil.
func (c *testFleet) start(name string) {
	c.t.Helper()
	p := c.processes[name]
	peers := c.mesh.PeersOf(name)
	network, err := peertransport.Open("vans", p.peer, peers, zerolog.Nop())
	if err != nil {
		c.t.Fatal(err)
	}
	terminateContext, terminate := context.WithCancel(context.Background())
	killContext, kill := context.WithCancel(context.Background())
	networkContext, stopNetwork := context.WithCancel(context.Background())
	p.terminate, p.done = terminate, make(chan error, 1)
	p.kill = func() {
		kill()
		terminate()
	}
	networkEnded := make(chan error, 1)
	go func() { networkEnded <- network.Run(networkContext) }()
	run := c.open(p, network, peers)
	go func() {
		err := run(terminateContext, killContext)
		stopNetwork()
		err = errors.Join(err, <-networkEnded)
		kill()
		p.done <- err
	}()
}

// open creates the client, controller or node of a process, and returns its Run function.
func (c *testFleet) open(p *testProcess, network *peertransport.Network, peers []peertransport.Peer) func(terminate, kill context.Context) error {
	c.t.Helper()
	log := zerolog.New(c.log).With().Str("node", p.peer.Name).Logger()
	switch p.peer.Role {
	case peertransport.RoleRelay:
		client := controllerclient.New(network, c.settings, 3)
		c.client = client
		return func(terminate, _ context.Context) error {
			<-terminate.Done()
			client.Close()
			return nil
		}
	case peertransport.RoleController:
		opened, err := controller.Open(controller.Options{Network: network, DataDir: filepath.Join(c.dir, p.peer.Name),
			Settings: c.settings, Log: log, Planner: c.newPlanner})
		if err != nil {
			c.t.Fatal(err)
		}
		return func(terminate, _ context.Context) error { return opened.Run(terminate) }
	}
	file := &fleet.File{FleetName: "vans", Self: p.peer, Peers: peers, Settings: c.settings}
	if c.withDisk {
		file.DataDir = filepath.Join(c.dir, p.peer.Name)
	}
	var err error
	p.node, err = Open(Options{File: file, Network: network, Log: log, Seed: 5})
	if err != nil {
		c.t.Fatal(err)
	}
	return p.node.Run
}

// newPlanner returns the planner of the fleet's controller.
func (c *testFleet) newPlanner(host controller.Host, now tick.Tick) controller.Planner {
	if c.realPlanner {
		return migration.NewPlanner(host, now, 7, migration.ConfigFrom(c.settings))
	}
	return &failoverPlanner{c, host, map[string]placement.Assignment{}, map[string]migration.NodeStatus{}}
}

// kill ends a process at once, if it is running, and waits for its end.
func (c *testFleet) kill(name string) {
	c.t.Helper()
	if p := c.processes[name]; p.kill != nil {
		p.kill()
		p.kill = nil
		select {
		case err := <-p.done:
			if err != nil {
				c.t.Errorf("%s: %v", name, err)
			}
		case <-time.After(20 * time.Second):
			c.t.Fatalf("%s does not stop", name)
		}
	}
}

// waitFor waits until ok returns true; the test fails after 40 s.
func (c *testFleet) waitFor(condition string, ok func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(40 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			c.t.Fatalf("not within 40 s: %s", condition)
		}
	}
}

// propose proposes an operation to the controller; the test fails if the operation is not agreed.
func (c *testFleet) propose(op placement.Operation) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := c.client.Propose(ctx, op); err != nil {
		c.t.Fatalf("%v: %v", op, err)
	}
}

// assignment returns the assignment of an instance, or the zero value if there is none.
func (c *testFleet) assignment(instance string) placement.Assignment {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	changes, err := c.client.Assignments(ctx, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, a := range changes.Assignments {
		if a.Instance == instance {
			return a
		}
	}
	return placement.Assignment{}
}

// startCopy makes failoverPlanner propose that an instance is copied to the node target, which becomes the primary if cutOver is
// true. The test cannot propose this operation itself, because the controllers' API does not accept it.
func (c *testFleet) startCopy(instance, target string, cutOver bool) {
	c.t.Helper()
	assignment := c.assignment(instance)
	op := placement.Operation{Kind: placement.OpStartCopy, Instance: instance, Epoch: assignment.Epoch, Target: target, CutOver: cutOver}
	c.mu.Lock()
	c.operations = append(c.operations, op)
	c.mu.Unlock()
}

// newServingFleet starts a fleet with an instance that edge-a serves. The instance has a replica at replicaNode unless
// replicaNode is empty.
func newServingFleet(tb testing.TB, edges int, withDisk bool, replicaNode string) *testFleet {
	tb.Helper()
	c := newTestFleet(tb, edges, withDisk)
	// Without this wait, a slow edge-a might not have a lease yet, and the new instance could fail over.
	c.waitFor("edge-a has a lease", func() bool { return c.processes["edge-a"].node.unreadyReason() == "" })
	c.propose(placement.Operation{Kind: placement.OpCreate, Instance: "camera-7", Target: "edge-a", Zone: "north", Weight: 3})
	client := dialNode(tb, c.processes["edge-a"].peer.RequestAddress)
	c.waitFor("edge-a serves the instance", func() bool {
		_, state := client.write("first", "camera-7", []byte("x"))
		return state == pgwire.StateSuccess
	})
	if replicaNode != "" {
		c.startCopy("camera-7", replicaNode, false)
		c.waitFor(replicaNode+" is a replica", func() bool { return slices.Contains(c.assignment("camera-7").Replicas, replicaNode) })
	}
	return c
}

// primaryOf returns the primary of an instance, or lastPrimary if the controller does not answer or names no primary.
func (c *testFleet) primaryOf(ctx context.Context, instance, lastPrimary string) string {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	changes, err := c.client.Assignments(ctx, 0)
	if err == nil {
		for _, a := range changes.Assignments {
			if a.Instance == instance && a.Primary != "" {
				return a.Primary
			}
		}
	}
	return lastPrimary
}
