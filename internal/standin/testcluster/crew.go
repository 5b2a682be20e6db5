// Package testcluster starts several real processes of a fleet on loopback, with a link between any two of them, and has
// things happen to them by a script and a seed: links cut, processes killed, stopped and woken, started again with
// their disk, without it or with an older one. It collects what they log, draws it as a timeline, and judges by rules
// what truly passed. Where CREW_TIMELINES names a folder, each test's timeline is written there, not only at a failure.
package testcluster

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

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
// with the keepers' all agreement. Tests hold the order of what is caused, so it changes none of what they show.
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

// Node is one process.
type Node struct {
	Name, Role, Zone string
	Directives       []string // directives of its block fleet beside those that the crew writes
	Diskless         bool     // it has no disk
	Platform         string   // where a relay hears how builds stand; "": nowhere
	Command          []string // program, arguments; FILE stands for its operator's file. Empty: Fleet's
	Env              []string
}

// subCommands of the control program, by the role that an operator's file names.
var subCommands = map[string]string{"keeper": "controller", "edge": "node", "relay": "relay"}

// FleetCommand is the program of each role.
func FleetCommand(t Test, role string) []string {
	return []string{Binary(t, "silvercovectl"), "fleet", subCommands[role], "FILE"}
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
	nextID      atomic.Uint64 // of commands

	mu           sync.Mutex
	events       []Event
	changed      chan struct{} // closed at each event
	requests     []Request
	stalls       []stall
	acknowledged map[string]bool // INSTANCE@EPOCH
	faults       []string
}

// relaySettings is a relay's JSON file; its one op type is that of Client.
const relaySettings = `{"seed": "8c1f30d27a5be964",
	"limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
	"release_api": {%s"news": {"Revision": 1, "Wave": 0, "State": "live", "MaxShare": 1.0, "AgeMs": 0}},
	"settings": {"balancers": %d, "limits": {"send_cap": 6, "connect_timeout": 0.3, "idle_close": 5.0, "retry_after": true,
		"max_retry_after": 1.0, "may_cancel": true},
	"grades": [{"name": "a", "semantics": "idempotency_key", "dedup_scope": "all", "window": 60.0, "on_time": 1.0,
		"deadline": 2.0, "worth": 1.0}]}}
`

// TestNode is where the crew itself and its clients are, for links and timelines.
const TestNode = "desk"

type process struct {
	Node
	address      string // its own loopback address
	file         string
	dataDir      string
	savedDir     string
	command      *exec.Cmd
	ended        chan struct{} // closed when it has ended and all of its output is read
	mayEnd       bool          // to end
	stopped      bool
	otherOutput  []string                    // lines that are no events
	requestLinks map[string]*faultproxy.Link // where it takes commands, by who sends them
}

var addresses atomic.Uint32

// freeAddress finds a loopback address that nothing listens at, so that a process's ports are free whenever it starts.
func freeAddress() (string, error) {
	for range 1000 {
		n := uint32(os.Getpid())*61 + addresses.Add(1)
		ip := net.IPv4(127, byte(64+n>>16%64), byte(n>>8), byte(1+n%250)).String()
		l, err := net.Listen("tcp", ip+":"+fleetPort)
		if err != nil {
			continue
		}
		_ = l.Close()
		if l, err = net.Listen("tcp", ip+":"+requestPort); err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return "", errors.New("crew: no free loopback address")
}

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

// stall is a span in which this process, and with it its clients, was not run.
type stall struct{ from, to time.Time }

// recordStalls notes stalls, so that an answer is not held to be late that only its reader was late for.
func (c *Cluster) recordStalls(ctx context.Context) {
	const every = 20 * time.Millisecond
	tick := time.NewTicker(every)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) > 5*every {
			c.mu.Lock()
			c.stalls = append(c.stalls, stall{last.Add(every), now})
			c.mu.Unlock()
		}
		last = now
	}
}

// RequestsWithoutStalls are the commands that have ended, without the time for which this process was stalled.
func (c *Cluster) RequestsWithoutStalls() []Request {
	all := c.Requests()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range all {
		m := &all[i]
		start, end := m.Start, m.End
		for _, s := range c.stalls {
			from, to := s.from, s.to
			if from.Before(start) {
				from = start
			}
			if to.After(end) {
				to = end
			}
			if to.After(from) {
				m.End = m.End.Add(from.Sub(to))
			}
		}
	}
	return all
}

// writeFiles makes the links and writes the files.
func (c *Cluster) writeFiles(lines []string) error {
	relays := 0
	for _, p := range c.nodes {
		if p.Role == "relay" {
			relays++
		}
	}
	for _, p := range c.nodes {
		if p.Role == "relay" {
			platform := ""
			if p.Platform != "" {
				platform = fmt.Sprintf("%q: %q, ", "address", p.Platform)
			}
			path := filepath.Join(c.dir, p.Name+".json")
			if err := os.WriteFile(path, fmt.Appendf(nil, relaySettings, platform, relays), 0o600); err != nil {
				return err
			}
		}
		var b strings.Builder
		fmt.Fprintf(&b, "fleet {\n  name %s\n  node %s\n  role %s\n  zone %s\n  listen %s\n", c.fleetName, p.Name, p.Role, p.Zone,
			net.JoinHostPort(p.address, fleetPort))
		for _, line := range append(slices.Clone(lines), p.Directives...) {
			fmt.Fprintf(&b, "  %s\n", line)
		}
		if !p.Diskless && p.Role != "relay" {
			fmt.Fprintf(&b, "  data %s\n", p.dataDir)
		}
		if p.Role == "relay" {
			fmt.Fprintf(&b, "  clients %s\n  settings %s.json\n", net.JoinHostPort(p.address, requestPort), p.Name)
		}
		for _, q := range c.nodes {
			at := net.JoinHostPort(q.address, requestPort)
			if p != q {
				l, err := c.Links.Add(p.Name, q.Name, net.JoinHostPort(q.address, fleetPort))
				if err != nil {
					return err
				}
				fmt.Fprintf(&b, "  peer %s %s %s %s\n", q.Name, q.Role, q.Zone, l.Address())
				if q.Role == "edge" {
					if at, err = c.addRequestLink(p.Name, q); err != nil {
						return err
					}
				}
			}
			if q.Role == "edge" {
				fmt.Fprintf(&b, "  commands %s %s\n", q.Name, at)
			}
		}
		if err := os.WriteFile(p.file, []byte(b.String()+"}\n"), 0o600); err != nil {
			return err
		}
	}
	return c.openNetwork()
}

// addRequestLink makes the link by which one sends commands to a process.
func (c *Cluster) addRequestLink(from string, q *process) (address string, err error) {
	l, err := c.Links.Add(from, q.Name, net.JoinHostPort(q.address, requestPort))
	if err != nil {
		return "", err
	}
	q.requestLinks[from] = l
	return l.Address(), nil
}

// openNetwork opens the desk's links. As only processes of the file are heard, the desk speaks by the name of one that is no
// keeper, over links of its own; it is no member.
func (c *Cluster) openNetwork() (err error) {
	as := c.nodes[len(c.nodes)-1]
	var others []peertransport.Peer
	for _, q := range c.nodes {
		if q.Role != "keeper" {
			as = q
			if _, err := c.addRequestLink(TestNode, q); err != nil {
				return err
			}
			continue
		}
		l, err := c.Links.Add(TestNode, q.Name, net.JoinHostPort(q.address, fleetPort))
		if err != nil {
			return err
		}
		if q != as {
			others = append(others, peertransport.Peer{Name: q.Name, Role: q.Role, Zone: q.Zone, Address: l.Address()})
		}
	}
	c.network, err = peertransport.Open(c.fleetName, peertransport.Peer{Name: as.Name, Role: as.Role, Zone: as.Zone, Address: "127.0.0.1:0"}, others,
		zerolog.Nop())
	return err
}

func (c *Cluster) node(name string) (*process, error) {
	for _, p := range c.nodes {
		if p.Name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("crew: no process named %s", name)
}

// Start starts processes, or all with none named.
func (c *Cluster) Start(names ...string) {
	c.test.Helper()
	if len(names) == 0 {
		for _, p := range c.nodes {
			names = append(names, p.Name)
		}
	}
	for _, name := range names {
		if err := c.Do("start " + name); err != nil {
			c.test.Fatalf("%v", err)
		}
	}
}

func (c *Cluster) start(p *process) error {
	if p.command != nil {
		return fmt.Errorf("crew: %s runs already", p.Name)
	}
	args := slices.Clone(p.Command)
	for i, a := range args {
		if a == "FILE" {
			args[i] = p.file
		}
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives a test that is ended by force
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.command, p.ended, p.mayEnd, p.stopped = cmd, make(chan struct{}), false, false
	c.goroutines.Go(func() {
		c.readOutput(p, out)
		err := cmd.Wait()
		c.mu.Lock()
		if !p.mayEnd {
			c.faults = append(c.faults, fmt.Sprintf("%s ended by itself: %v", p.Name, err))
		}
		c.mu.Unlock()
		if !p.mayEnd {
			c.addEvent(Event{At: time.Now(), Node: p.Name, Name: "ends", Why: fmt.Sprint(err)})
		}
		close(p.ended)
	})
	return nil
}

// readOutput takes a process's lines until it ends.
func (c *Cluster) readOutput(p *process, out io.Reader) {
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		if e, ok := parseEvent(in.Bytes(), time.Now()); ok {
			if e.Node != p.Name {
				c.addFault(fmt.Sprintf("%s logs as %q", p.Name, e.Node))
			}
			c.addEvent(e)
			continue
		}
		text := in.Text()
		c.mu.Lock()
		if p.otherOutput = append(p.otherOutput, text); len(p.otherOutput) > maxOutputLines {
			p.otherOutput = p.otherOutput[len(p.otherOutput)-maxOutputLines:]
		}
		c.mu.Unlock()
		if strings.Contains(text, "DATA RACE") || strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") {
			c.addFault(p.Name + ": " + text)
		}
	}
	_, _ = io.Copy(io.Discard, out) // an overlong line
}

func (c *Cluster) addFault(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, text)
}

// parseEvent reads a line of a process's log. What has no event is none.
func parseEvent(line []byte, now time.Time) (e Event, ok bool) {
	var l struct {
		Event, Node, Instance, Name, From, To, Why string
		Epoch                                      uint64
		State, Member, Message, Unit               string
		Time                                       any
		Late                                       *int64 `json:"late_ms"`
	}
	if json.Unmarshal(line, &l) != nil || l.Event == "" {
		return e, false
	}
	if l.Event == "raft" { // the library's own words
		return e, false
	}
	e = Event{At: now, Node: l.Node, Name: l.Event, Instance: l.Instance, Epoch: l.Epoch, From: l.From, To: l.To, Why: l.Why,
		State: l.State, Late: l.Late, Line: string(line)}
	if e.Why == "" {
		e.Why = l.Message
	}
	if e.To == "" {
		e.To = l.Member + l.Unit
	}
	switch t := l.Time.(type) {
	case string: // a fraction is as exact as it has digits
		if at, err := time.Parse(time.RFC3339Nano, t); err == nil && strings.Contains(t, ".") {
			e.At = at
		}
	case float64: // microseconds of the day's clock
		if t > 1e15 {
			e.At = time.UnixMicro(int64(t))
		}
	}
	return e, true
}

func (c *Cluster) addEvent(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Events are those so far, as they came.
func (c *Cluster) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// Timeline draws what has happened so far.
func (c *Cluster) Timeline() string {
	var columns []string
	for _, p := range c.nodes {
		columns = append(columns, p.Name)
	}
	told := map[string]bool{}
	events := slices.DeleteFunc(c.Events(), func(e Event) bool { // that all are there at first, and the news of many of many
		first := !told[e.Node+e.From]
		told[e.Node+e.From] = true
		return e.Name == "member" && (len(columns) > 8 || first && e.Is("* member alive"))
	})
	return Draw(append(columns, linkColumn, TestNode), c.started, events)
}

// Wait waits for an event that is as words say (Event.Is) from a place in the events on, and tells the place after it.
func (c *Cluster) Wait(from int, words string) int {
	c.test.Helper()
	n, err := c.waitFor(context.Background(), from, words)
	if err != nil {
		c.test.Fatalf("%v", err)
	}
	return n
}

func (c *Cluster) waitFor(ctx context.Context, from int, words string) (int, error) {
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	for at := from; ; {
		c.mu.Lock()
		for ; at < len(c.events); at++ {
			if c.events[at].Is(words) {
				c.mu.Unlock()
				return at + 1, nil
			}
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-timer.C:
			return 0, fmt.Errorf("crew: not within %v: %s", waitTimeout, words)
		}
	}
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
			case <-again.C: // an edge unit waits for others to take its instances, and ends at a second one
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
