// Package testcluster starts the processes of a fleet on loopback, with a link between every two of them, and injects faults by
// a script and a seed. Links are cut, and processes are killed, stopped, woken or started again. A restarted process has its
// disk, an empty disk, or an older copy of its disk. The package collects the processes' log events, draws them as a timeline,
// and checks the events and the clients' requests (CheckHistory, CheckEpochs, CheckOneServes, CheckDeadlines). If the
// environment variable CREW_TIMELINES names a directory, each test writes its timeline there, not only when it fails.
package testcluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/standin/faultproxy"
)

const (
	fleetPort, requestPort = "7001", "5501" // below the range of ephemeral ports; the same for all processes, since each has its own loopback address
	maxOutputLines         = 200            // maximum number of output lines kept for each process, not counting events
)

// endTimeout bounds how long a process may take to end, and waitTimeout how long a test waits for a condition. Both are much longer
// than needed on an idle machine.
var endTimeout, waitTimeout = 5 * time.Second, 40 * time.Second

// TimeScale is the factor by which leases and waits are longer than on an idle machine. A process that is not scheduled for the length
// of a lease loses its lease, and controllers that are not scheduled cannot agree on anything. Tests check the order of causally
// related events, so the factor does not change what the tests show.
var TimeScale = machineLoad()

func machineLoad() float64 {
	var load float64
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		_, _ = fmt.Sscan(string(text), &load) // the first number in /proc/loadavg is the load average of the last minute
	}
	return min(4, max(1, load/float64(2*runtime.NumCPU())))
}

func init() {
	if raceDetector {
		endTimeout, waitTimeout = 4*endTimeout, 3*waitTimeout
	}
	endTimeout, waitTimeout = scaled(endTimeout), scaled(waitTimeout)
}

func scaled(span time.Duration) time.Duration { return time.Duration(TimeScale * float64(span)) }

// Test is the part of *testing.T that the package needs.
type Test interface {
	Helper()
	Cleanup(func())
	Errorf(form string, args ...any)
	Fatalf(form string, args ...any)
	Logf(form string, args ...any)
	Failed() bool
	TempDir() string
}

// Cluster is a fleet of processes under test.
type Cluster struct {
	Links       *faultproxy.Network
	test        Test
	dir         string
	fleetName   string
	started     time.Time
	network     *peertransport.Network
	controllers *controllerclient.Client
	goroutines  sync.WaitGroup // readers of the processes' output, the test's own network and recordStalls
	nodes       []*process
	nextID      atomic.Uint64 // number of the last request's ID

	mu           sync.Mutex
	events       []Event
	changed      chan struct{} // closed and replaced at each event
	requests     []Request
	stalls       []stall
	acknowledged map[string]bool // epochs in which a request was acknowledged; the keys are INSTANCE@EPOCH
	faults       []string
}

// TestNode is the name under which links and timelines show the test itself and its clients.
const TestNode = "desk"

// New prepares a fleet without starting it. lines are added to the block fleet of each process's configuration file.
func New(t Test, seed uint64, lines []string, nodes ...Node) *Cluster {
	t.Helper()
	c := &Cluster{test: t, dir: t.TempDir(), fleetName: "vans", changed: make(chan struct{}), acknowledged: map[string]bool{}}
	c.Links = faultproxy.New(seed, func(e faultproxy.Event) {
		c.addEvent(Event{At: e.At, Node: linkColumn, Name: "link", From: e.From, To: e.To, Why: e.Text})
	})
	for _, n := range nodes {
		ip, err := freeAddress()
		if err != nil {
			t.Fatalf("%v", err)
		}
		p := &process{Node: n, address: ip, file: filepath.Join(c.dir, n.Name+".conf"),
			dataDir: filepath.Join(c.dir, n.Name), savedDir: filepath.Join(c.dir, n.Name+".saved"), requestLinks: map[string]*faultproxy.Link{}}
		if p.Command == nil {
			p.Command = FleetCommand(t, n.Role)
		}
		c.nodes = append(c.nodes, p)
	}
	c.started = time.Now()
	if err := c.writeFiles(lines); err != nil {
		c.Links.Close()
		t.Fatalf("%v", err)
	}
	c.controllers = controllerclient.New(c.network, map[string]any{"fleet.lease": TimeScale}, seed)
	ctx, stop := context.WithCancel(context.Background())
	c.goroutines.Go(func() { _ = c.network.Run(ctx) })
	c.goroutines.Go(func() { c.recordStalls(ctx) })
	t.Cleanup(func() {
		c.close()
		stop()
		c.controllers.Close()
		c.Links.Close()
		c.goroutines.Wait()
		for _, f := range c.faults {
			t.Errorf("%s", f)
		}
		if dir := os.Getenv("CREW_TIMELINES"); dir != "" {
			if n, ok := t.(interface{ Name() string }); ok {
				_ = os.WriteFile(filepath.Join(dir, strings.ReplaceAll(n.Name(), "/", "-")+".txt"), []byte(c.Timeline()), 0o600)
			}
		}
		if t.Failed() {
			t.Logf("timeline:\n%s", c.Timeline())
			for _, p := range c.nodes {
				if len(p.otherOutput) > 0 {
					t.Logf("%s also wrote:\n%s", p.Name, strings.Join(p.otherOutput, "\n"))
				}
			}
		}
	})
	return c
}

func (c *Cluster) addFault(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, text)
}

// Timeline draws the events so far.
func (c *Cluster) Timeline() string {
	var columns []string
	for _, p := range c.nodes {
		columns = append(columns, p.Name)
	}
	seen := map[string]bool{}
	// Leave out the first report that a member is alive, and all reports about members in a fleet of more than eight processes.
	events := slices.DeleteFunc(c.Events(), func(e Event) bool {
		first := !seen[e.Node+e.From]
		seen[e.Node+e.From] = true
		return e.Name == "member" && (len(columns) > 8 || first && e.Is("* member alive"))
	})
	return Draw(append(columns, linkColumn, TestNode), c.started, events)
}

// close ends all processes: by SIGTERM first, and by SIGKILL after endTimeout.
func (c *Cluster) close() {
	for _, p := range c.nodes {
		if p.command != nil {
			c.mu.Lock()
			p.mayEnd = true
			c.mu.Unlock()
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Signal(syscall.SIGTERM)
		}
	}
	end, again := time.After(endTimeout), time.NewTicker(endTimeout/20)
	defer again.Stop()
	for _, p := range c.nodes {
		for p.command != nil {
			select {
			case <-p.ended:
				p.command = nil
			// After the first SIGTERM, an edge node waits until other nodes have taken over its instances. A second SIGTERM
			// makes it end at once.
			case <-again.C:
				for _, q := range c.nodes {
					if q.command != nil && q.Role == "edge" {
						_ = q.command.Process.Signal(syscall.SIGTERM)
					}
				}
			case <-end:
				c.addFault(p.Name + " does not end on SIGTERM")
				_ = p.command.Process.Kill()
				<-p.ended
				p.command, end = nil, time.After(0)
			}
		}
	}
}
