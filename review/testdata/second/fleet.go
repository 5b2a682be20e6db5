package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"silvercove/internal/pgwire"
)

// fleet is a small fleet: the files of "silvercovectl fleet example" and a process for each.
type fleet struct {
	*environment
	dir       string
	processes map[string]*process
	clients   map[string]string // by relay: the address where its clients connect
	commands  map[string]string // by edge node: the address where it takes requests
}

// newFleet writes the files of a fleet at free ports.
func newFleet(e *environment) (*fleet, error) {
	f := &fleet{environment: e, dir: filepath.Join(e.folder, "vans"), processes: map[string]*process{}, clients: map[string]string{},
		commands: map[string]string{}}
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	out, err := f.ctl("fleet", "example", "--port", fmt.Sprint(port-1), f.dir)
	if err != nil {
		return nil, fmt.Errorf("fleet example: %w: %s", err, out)
	}
	files, err := filepath.Glob(filepath.Join(f.dir, "*.conf"))
	if err != nil {
		return nil, err
	}
	for _, file := range files { // a name of its own: processes of another case beside this one are turned away
		if err := edit(file, "  name vans", fmt.Sprintf("  name vans-%d", port)); err != nil {
			return nil, err
		}
	}
	for _, relay := range []string{"relay-1", "relay-2"} {
		text, err := os.ReadFile(f.file(relay))
		if err != nil {
			return nil, err
		}
		for _, line := range strings.Split(string(text), "\n") {
			switch words := strings.Fields(line); {
			case len(words) == 2 && words[0] == "clients":
				f.clients[relay] = words[1]
			case len(words) == 3 && words[0] == "commands":
				f.commands[words[1]] = words[2]
			}
		}
	}
	return f, nil
}

// Ports of fleets: below those that the system gives to outgoing connections, in blocks so that two cases beside each other hardly meet.
const (
	firstPort  = 12000
	portBlocks = 500
	portBlock  = 32
)

// freePorts returns the first port of a block of free ports.
func freePorts() (int, error) {
	for range portBlocks {
		first := firstPort + portBlock*rand.IntN(portBlocks)
		free := true
		for i := 0; i < portBlock && free; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (f *fleet) file(name string) string { return filepath.Join(f.dir, name+".conf") }

// ctl runs a sub-command of the control program to its end.
func (f *fleet) ctl(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.root, "bin/silvercovectl"), args...)
	cmd.Dir = f.root
	out, err := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// create makes an instance and waits until it has a holder beside its owner.
func (f *fleet) create(instance, node, zone string) error {
	if out, err := f.ctl("fleet", "create", f.file("relay-1"), instance, node, zone, "5"); err != nil {
		return fmt.Errorf("create: %w: %s", err, out)
	}
	return f.await(20*time.Second, "the instance has a holder", func() bool { return len(f.place(instance).holders) > 0 })
}

// edit replaces words in a file.
func edit(name string, replacements ...string) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	return os.WriteFile(name, []byte(strings.NewReplacer(replacements...).Replace(string(text))), 0o600)
}

// start starts one process of the fleet.
func (f *fleet) start(name string) error {
	kind := "relay"
	switch {
	case strings.HasPrefix(name, "keeper-"):
		kind = "controller"
	case strings.HasPrefix(name, "edge-"):
		kind = "node"
	}
	p, err := startProcess(f.root, f.folder, fmt.Sprintf("%s-%d", name, time.Now().UnixMilli()),
		"exec bin/silvercovectl fleet "+kind+" "+f.file(name), nil)
	if err != nil {
		return err
	}
	f.rec.line("start %s", name)
	f.processes[name] = p
	return nil
}

// startAll starts all processes and waits until all nodes have a lease and the relays answer.
func (f *fleet) startAll() error {
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3", "edge-a", "edge-b", "edge-c", "edge-d", "relay-1", "relay-2"} {
		if err := f.start(name); err != nil {
			return err
		}
	}
	return f.await(30*time.Second, "the fleet is ready", func() bool {
		out, err := f.ctl("fleet", "show", f.file("relay-1"))
		return err == nil && strings.Count(out, " held") >= 4 && answersEmptyQuery(f.clients["relay-1"]) && answersEmptyQuery(f.clients["relay-2"])
	})
}

// await waits until something holds.
func (f *fleet) await(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	out, _ := f.ctl("fleet", "show", f.file("relay-1"))
	return fmt.Errorf("not within %v: %s\n%s", limit, what, out)
}

func (f *fleet) close() {
	for _, p := range f.processes {
		p.kill()
	}
}

// settings changes the JSON file of the relays' settings.
func (f *fleet) settings(change func(settings map[string]any)) error {
	path := filepath.Join(f.dir, "relay.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return err
	}
	change(document["settings"].(map[string]any))
	if text, err = json.Marshal(document); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// place is what "silvercovectl fleet show" prints of an instance.
type place struct {
	owner, state string
	holders      []string
}

// place returns where an instance runs and which nodes hold it.
func (f *fleet) place(instance string) place {
	out, _ := f.ctl("fleet", "show", f.file("relay-1"))
	var p place
	var columns map[string]int
	for _, line := range strings.Split(out, "\n") {
		if strings.HasPrefix(line, "instance ") {
			columns = map[string]int{}
			for _, name := range []string{"owner", "epoch", "state", "holders", "to", "why"} {
				columns[name] = strings.Index(line, name)
			}
		}
		if columns == nil || !strings.HasPrefix(line, instance+" ") || len(line) < columns["holders"] {
			continue
		}
		p.owner = strings.TrimSpace(line[columns["owner"]:columns["epoch"]])
		p.state = strings.TrimSpace(line[columns["state"]:columns["holders"]])
		if words := strings.Fields(line[columns["holders"]:min(len(line), columns["to"])]); len(words) > 0 {
			p.holders = strings.Split(words[0], ",")
		}
	}
	return p
}

// answer is the end of a request as its client sees it.
type answer struct {
	how    string // served, refused, failed, or none
	index  uint64 // index of the log entry, if it was served
	epoch  uint64
	node   string
	reason string
}

// fleetClient is one client with one connection, which sends one request after another.
type fleetClient struct {
	address string
	conn    net.Conn
	buf     []byte
}

func (c *fleetClient) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.buf = nil, nil
}

// ask sends one statement and waits for its answer, or until the client's time is up.
func (c *fleetClient) ask(text string, timeout time.Duration) answer {
	end := time.Now().Add(timeout)
	for try := 0; ; try++ {
		fresh := c.conn == nil
		if fresh {
			conn, err := net.DialTimeout("tcp", c.address, timeout)
			if err != nil {
				return answer{how: "none", reason: err.Error()}
			}
			c.conn = conn
			_, _ = conn.Write(pgwire.StartupMessage())
		}
		_ = c.conn.SetDeadline(end)
		_, err := c.conn.Write(pgwire.SimpleQuery(text))
		var a answer
		if err == nil {
			a, err = c.read(fresh)
		}
		if err == nil {
			return a
		}
		c.drop()
		if fresh || try > 0 || time.Now().After(end) {
			return answer{how: "none", reason: err.Error()}
		}
	}
}

func (c *fleetClient) read(greeting bool) (answer, error) {
	var response pgwire.Response
	for chunk := make([]byte, 4096); ; {
		if err := response.Read(c.buf); err != nil {
			return answer{}, err
		}
		if response.Ready && greeting {
			greeting = false
			c.buf = c.buf[response.Consumed:]
			response = pgwire.Response{}
			continue
		}
		if response.Ready || response.Fatal {
			break
		}
		n, err := c.conn.Read(chunk)
		c.buf = append(c.buf, chunk[:n]...)
		if n == 0 && err != nil {
			return answer{}, err
		}
	}
	a := answer{how: "failed", reason: response.SQLState}
	switch response.SQLState {
	case pgwire.StateSuccess:
		a.how = "served"
		if len(response.RowMessages) == 3 {
			value, _ := pgwire.RowValue(response.RowMessages[1].Of(c.buf))
			_, _ = fmt.Sscanf(string(value), "%d %d %s", &a.index, &a.epoch, &a.node)
		}
	case pgwire.StateTooManyConnections, "57P03":
		a.how = "refused"
	}
	c.buf = c.buf[response.Consumed:]
	return a, nil
}

// insertion and selection return statements on an instance.
func insertion(instance, id, class string, timeout time.Duration) string {
	return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x00') RETURNING content /* id=%s,c=%s,t=desk,d=%d */`, instance, id, class,
		timeout.Milliseconds())
}

func selection(instance, id, class string, timeout time.Duration) string {
	return fmt.Sprintf(`SELECT content FROM kv WHERE name = '%s' /* id=%s,c=%s,t=desk,d=%d */`, instance, id, class, timeout.Milliseconds())
}

// proxy stands between a relay and an edge node. It may lose an answer; after that nothing passes on that connection, until it is
// reset.
type proxy struct {
	rec    *record
	target string
	l      net.Listener

	attempts *attemptLog // if not nil, gets the time of each query that passes

	mu sync.Mutex
	// lose, if not nil, says of an answer whether it is lost, and after which time its connection is reset.
	lose func() (after time.Duration, lost bool)
}

// attemptLog holds the times of the queries that a relay has sent to edge nodes.
type attemptLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *attemptLog) add(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, at)
}

// between reports whether a query was sent within a span of time.
func (a *attemptLog) between(from, to time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, _ := slices.BinarySearchFunc(a.times, from, time.Time.Compare)
	return at < len(a.times) && a.times[at].Before(to)
}

// pair is a connection through a proxy.
type pair struct {
	client, server net.Conn
	silent         bool // an answer was lost
	answers        int  // number of times that bytes came from the server
	queries        int  // number of times that bytes came from the client; the first ones are the startup
}

func newProxy(rec *record, target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{rec: rec, target: target, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.l.Addr().String() }

// loseAnswers sets which answers are lost from now on; nil: none.
func (p *proxy) loseAnswers(lose func() (after time.Duration, lost bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = lose
}

func (p *proxy) serve(c net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	x := &pair{client: c, server: server}
	go p.pump(x, c, server)
	p.pump(x, server, c)
}

// pump passes bytes on in one direction until a connection ends.
func (p *proxy) pump(x *pair, from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if p.dropped(x, from, n) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// dropped reports whether bytes that were read are lost.
func (p *proxy) dropped(x *pair, from net.Conn, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from == x.client && n > 0 {
		x.queries++
		if p.attempts != nil && x.queries > 1 {
			p.attempts.add(time.Now())
		}
	}
	if x.silent || from != x.server || n == 0 {
		return x.silent
	}
	x.answers++
	if p.lose == nil || x.answers == 1 { // the first bytes are the greeting
		return false
	}
	after, lost := p.lose()
	if lost {
		x.silent = true
		p.rec.line("an answer of %s is lost, its connection is reset %d ms later", p.target, after.Milliseconds())
		time.AfterFunc(after, func() {
			reset(x.client)
			reset(x.server)
		})
	}
	return lost
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
