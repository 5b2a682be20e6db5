package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/standin/faultproxy"
	"silvercove/internal/tick"
)

func TestMain(m *testing.M) {
	// This goroutine of net/http ends by itself half a second after it begins to close a connection.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// testProcess is a process of the test fleet. A controller is a real Controller; an edge node or a relay has only a client of
// the controllers.
type testProcess struct {
	name, role   string
	address      string
	reservedPort net.Listener // reserves the port until the first start
	network      *peertransport.Network
	controller   *Controller
	cancel       context.CancelFunc
	done         chan error
	client       *controllerclient.Client
}

// testFleet is a fleet whose processes are connected by links into which tests inject faults.
type testFleet struct {
	t             testing.TB
	settings      map[string]any
	links         *faultproxy.Network
	processes     map[string]*testProcess
	names         []string
	mesh          *faultproxy.Mesh
	dir           string
	wrapStore     map[string]func(Store) Store
	log           *logBuffer
	newPlanner    func(Host) Planner
	adjustOptions func(name string, o *Options) // changes a controller's options; nil changes nothing
}

// newTestFleet returns a fleet with the given numbers of controllers and edge nodes, and one relay. Its processes do not run
// before start is called.
func newTestFleet(tb testing.TB, lease time.Duration, controllers, edges int) *testFleet {
	tb.Helper()
	c := &testFleet{t: tb, settings: map[string]any{"fleet.lease": lease.Seconds(), "fleet.drift": 0.02}, processes: map[string]*testProcess{},
		dir: tb.TempDir(), wrapStore: map[string]func(Store) Store{}, log: &logBuffer{},
		links: faultproxy.New(1, func(faultproxy.Event) {})}
	for i := range controllers {
		c.names = append(c.names, fmt.Sprintf("keeper-%d", i+1))
	}
	for i := range edges {
		c.names = append(c.names, fmt.Sprintf("edge-%c", 'a'+i))
	}
	c.names = append(c.names, "relay-1")
	var peers []peertransport.Peer
	for _, name := range c.names {
		role, _, _ := strings.Cut(name, "-")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		c.processes[name] = &testProcess{name: name, role: role, address: l.Addr().String(), reservedPort: l}
		peers = append(peers, peertransport.Peer{Name: name, Role: role, Zone: "north", Address: l.Addr().String()})
	}
	var err error
	c.mesh, err = faultproxy.NewMesh(c.links, peers)
	if err != nil {
		tb.Fatal(err)
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

// start starts the named processes, or all processes if none is named.
func (c *testFleet) start(names ...string) {
	c.t.Helper()
	if len(names) == 0 {
		names = c.names
	}
	for _, name := range names {
		c.startProcess(c.processes[name])
	}
}

// startProcess starts one process. When the process has ended, its error (or nil) is sent to its done channel.
func (c *testFleet) startProcess(p *testProcess) {
	c.t.Helper()
	_ = p.reservedPort.Close()                  // fails if the process is restarted, because the first start has closed the listener
	c.waitFor("its port is free", func() bool { // a connection of a link may occupy the port for a short time
		var err error
		self := peertransport.Peer{Name: p.name, Role: p.role, Zone: "north", Address: p.address}
		p.network, err = peertransport.Open("vans", self, c.mesh.PeersOf(p.name), zerolog.Nop())
		return err == nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	networkContext, stopNetwork := context.WithCancel(context.Background())
	p.cancel, p.done = cancel, make(chan error, 1)
	p.client = controllerclient.New(p.network, c.settings, 7)
	if p.role != peertransport.RoleController {
		context.AfterFunc(ctx, stopNetwork)
		go func() { p.done <- p.network.Run(networkContext) }()
		return
	}
	var err error
	p.controller, err = Open(c.options(p))
	if err != nil {
		cancel()
		stopNetwork()
		p.controller = nil
		p.done <- errors.Join(err, p.network.Run(networkContext))
		return
	}
	networkEnded := make(chan error, 1)
	go func() { networkEnded <- p.network.Run(networkContext) }()
	go func() {
		err := p.controller.Run(ctx)
		stopNetwork()
		p.done <- errors.Join(err, <-networkEnded)
	}()
}

// options returns the options of a controller.
func (c *testFleet) options(p *testProcess) Options {
	o := Options{
		Network:   p.network,
		DataDir:   filepath.Join(c.dir, p.name),
		Settings:  c.settings,
		WrapStore: c.wrapStore[p.name],
		Log:       zerolog.New(c.log).With().Str("node", p.name).Timestamp().Logger(),
		Planner: func(h Host, _ tick.Tick) Planner {
			if c.newPlanner != nil {
				return c.newPlanner(h)
			}
			return newFailoverPlanner(h)
		},
	}
	if c.adjustOptions != nil {
		c.adjustOptions(p.name, &o)
	}
	return o
}

// emptyStore deletes a stopped controller's data directory.
func (c *testFleet) emptyStore(name string) {
	c.t.Helper()
	if err := os.RemoveAll(filepath.Join(c.dir, name)); err != nil {
		c.t.Fatal(err)
	}
}

// copyStore copies a stopped controller's data directory. restore replaces the directory with the copy.
func (c *testFleet) copyStore(name string) (restore func()) {
	c.t.Helper()
	dir, saved := filepath.Join(c.dir, name), c.t.TempDir()
	if err := os.CopyFS(saved, os.DirFS(dir)); err != nil {
		c.t.Fatal(err)
	}
	return func() {
		c.emptyStore(name)
		if err := os.CopyFS(dir, os.DirFS(saved)); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *testFleet) role(name string) string {
	c.t.Helper()
	return c.status(name).Role
}

// isVoter reports whether a controller is a voter in the leader's configuration.
func (c *testFleet) isVoter(name string) bool {
	future := c.processes[c.waitForLeader()].controller.raft.Load().GetConfiguration()
	if future.Error() != nil {
		return false
	}
	for _, s := range future.Configuration().Servers {
		if s.ID == raft.ServerID(name) {
			return s.Suffrage == raft.Voter
		}
	}
	return false
}

// follower returns the name of a controller that does not lead, or "" if there is none.
func (c *testFleet) follower() string {
	c.t.Helper()
	leader := c.waitForLeader()
	for _, name := range c.names {
		if name != leader && c.processes[name].role == peertransport.RoleController {
			return name
		}
	}
	return ""
}

// logBuffer collects the log of all controllers. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.buf.Bytes(), []byte(text))
}

// stop shuts a process down in order and returns its error. A test that simulates a crash partitions the process before the
// call.
func (c *testFleet) stop(name string) error {
	p := c.processes[name]
	if p.cancel == nil {
		return nil
	}
	p.cancel()
	p.cancel = nil
	p.client.Close()
	select {
	case err := <-p.done:
		p.controller = nil
		return err
	case <-time.After(20 * time.Second):
		c.t.Errorf("%s does not shut down", name)
		return nil
	}
}

// partition drops all traffic between the named process and all other processes in both directions. If silent is false, it lets
// the traffic through again.
func (c *testFleet) partition(silent bool, name string) {
	for _, link := range c.mesh.LinksOf(name) {
		link.SetBoth(faultproxy.Fault{Silent: silent})
	}
}

// waitFor waits until ok returns true, and fails the test after 20 seconds.
func (c *testFleet) waitFor(condition string, ok func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			if os.Getenv("KEEPER_LOG") != "" {
				c.t.Log(c.log.buf.String())
			}
			c.t.Fatalf("not within 20 s: %s", condition)
		}
	}
}

// waitForLeader waits until a controller that is not in excluded leads, and returns the controller's name.
func (c *testFleet) waitForLeader(excluded ...string) (name string) {
	c.t.Helper()
	c.waitFor("a leader", func() bool {
		for _, n := range c.names {
			ctrl := c.processes[n].controller
			if ctrl == nil || c.processes[n].cancel == nil || slices.Contains(excluded, n) {
				continue
			}
			ctrl.mu.Lock()
			leads := ctrl.currentLeadership() != nil
			ctrl.mu.Unlock()
			if leads {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

// testContext returns a context that ends after 20 seconds or with the test.
func testContext(tb testing.TB) context.Context {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	tb.Cleanup(cancel)
	return ctx
}

// create creates an instance. The test fails if the operation is refused, unless the instance exists already.
func (c *testFleet) create(caller, name, node string) placement.Assignment {
	c.t.Helper()
	assignment, err := c.processes[caller].client.Propose(testContext(c.t), placement.Operation{Kind: placement.OpCreate, Instance: name, Target: node, Zone: "north",
		Weight: 3})
	if err != nil && !errors.Is(err, placement.ErrExists) {
		c.t.Fatal(err)
	}
	return assignment
}

// requestLease requests a lease for an incarnation of an edge node.
func (c *testFleet) requestLease(node string, incarnation uint64) error {
	c.t.Helper()
	_, _, err := c.processes[node].client.RequestLease(testContext(c.t), controllerclient.LeaseRequest{Node: node, Incarnation: incarnation})
	return err
}

// waitForInstance waits until a controller's assignment table contains the named instance.
func (c *testFleet) waitForInstance(controller, name string) {
	c.t.Helper()
	c.waitFor(controller+" has "+name, func() bool {
		_, ok := c.processes[controller].controller.stateMachine.assignment(name)
		return ok
	})
}

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// serveInventory makes an edge node answer inventory queries.
func (c *testFleet) serveInventory(node string, inventory controllerclient.Inventory) {
	c.t.Helper()
	p := c.processes[node]
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/holds", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(inventory) })
	server := &http.Server{Handler: mux}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(p.network.Listener(peertransport.KindHTTP)) // returns when the test closes the server
	}()
	c.t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
}

// status returns a running controller's status.
func (c *testFleet) status(name string) controllerclient.Status {
	c.t.Helper()
	status, err := c.processes[name].controller.handleStatus(call[struct{}]{})
	if err != nil {
		c.t.Error(err)
	}
	return status
}

// rewriteSnapshot changes the text of a stopped controller's newest snapshot and stores the result as a new snapshot, which is
// newer than all others.
func (c *testFleet) rewriteSnapshot(name string, change func([]byte) []byte) {
	c.t.Helper()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(filepath.Join(c.dir, name), 2, hclog.NewNullLogger())
	if err != nil {
		c.t.Fatal(err)
	}
	list, err := snapshots.List()
	if err != nil || len(list) == 0 {
		c.t.Fatalf("the list of snapshots: %v %v", list, err)
	}
	meta, reader, err := snapshots.Open(list[0].ID)
	if err != nil {
		c.t.Fatal(err)
	}
	text, err := io.ReadAll(reader)
	_ = reader.Close()
	if err != nil {
		c.t.Fatal(err)
	}
	changed := change(text)
	if bytes.Equal(changed, text) {
		c.t.Fatalf("the text is unchanged: %s", text)
	}
	// A snapshot's name contains the time in milliseconds, which must be later than in the names of the existing snapshots.
	time.Sleep(2 * time.Millisecond)
	sink, err := snapshots.Create(meta.Version, meta.Index, meta.Term, meta.Configuration, meta.ConfigurationIndex, addressCodec{})
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := sink.Write(changed); err != nil {
		c.t.Fatal(err)
	}
	if err := sink.Close(); err != nil {
		c.t.Fatal(err)
	}
}
