// Package testcluster starts several real processes of a fleet on loopback, with a link between any two of them, and has
// things happen to them by a script and a seed: links cut, processes killed, stopped and woken, started again with
// their disk, without it or with an older one. It collects what they log, draws it as a timeline, and judges by rules
// what truly passed. Where CREW_TIMELINES names a folder, each test's timeline is written there, not only at a failure.
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
	fleetPort, requestPort = "7001", "5501" // below what systems hand out, at addresses of the process's own
	maxOutputLines         = 200            // of a process's other output that are kept
)

// For how long a process may take to end, and for what a test waits for: much more than they take on a machine at rest.
var endTimeout, waitTimeout = 5 * time.Second, 40 * time.Second

// TimeScale is how much longer than on a machine at rest leases and waits are: processes that are not run for a lease lose it, and
// with the controllers' all agreement. Tests hold the order of what is caused, so it changes none of what they show.
var TimeScale = machineLoad()

func machineLoad() float64 {
	var load float64
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		_, _ = fmt.Sscan(string(text), &load) // of the last minute
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

// Test is what a test lends; *testing.T is one.
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
	goroutines  sync.WaitGroup // readers of output, and the desk
	nodes       []*process
	nextID      atomic.Uint64 // of requests

	mu           sync.Mutex
	events       []Event
	changed      chan struct{} // closed at each event
	requests     []Request
	stalls       []stall
	acknowledged map[string]bool // INSTANCE@EPOCH
	faults       []string
}

// TestNode is the node that the test itself and its clients stand for, for links and timelines.
const TestNode = "desk"

// New lays out a fleet and starts none of it. lines go into each process's block fleet.
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

// Timeline draws what has happened so far.
func (c *Cluster) Timeline() string {
	var columns []string
	for _, p := range c.nodes {
		columns = append(columns, p.Name)
	}
	seen := map[string]bool{}
	events := slices.DeleteFunc(c.Events(), func(e Event) bool { // that all are there at first, and the news of many of many
		first := !seen[e.Node+e.From]
		seen[e.Node+e.From] = true
		return e.Name == "member" && (len(columns) > 8 || first && e.Is("* member alive"))
	})
	return Draw(append(columns, linkColumn, TestNode), c.started, events)
}

// close ends all processes: with SIGTERM first.
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
			case <-again.C: // an edge node waits for others to take its instances, and ends at a second one
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
