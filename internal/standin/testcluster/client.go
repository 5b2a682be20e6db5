package testcluster

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/pgwire"
	"silvercove/internal/placement"
)

// Outcome is the result of a request, as its client observed it.
type Outcome string

// The outcomes of a request.
const (
	Succeeded Outcome = "acked"
	NotRun    Outcome = "never ran" // a node refused the request with SQLSTATE 53300 or 57P03, or the request was not sent
	Rejected  Outcome = "nacked"    // a relay refused the request with SQLSTATE 53300 or 57P03: the request may have run; a retry with the same ID is safe
	Unknown   Outcome = "unknown"   // the connection broke, the request timed out, or the response is another error: the request may have run
)

// Request describes a request and the result that its client observed.
type Request struct {
	Instance, ID string
	Write        bool
	Start, End   time.Time
	Timeout      time.Duration
	Outcome      Outcome
	Why          string // SQLSTATE or error text of the last attempt; "" if the attempt succeeded
	Seq, Epoch   uint64 // sequence number and epoch in the response; 0 if there was none
	Node         string
	Sends        int
}

// Client sends requests one after the other to one address, or to the first of several addresses that accepts them.
type Client struct {
	Name        string
	cluster     *Cluster
	addresses   []string // the address of a relay, or of each edge node
	connections []net.Conn
	next        int
	relay       bool
}

// Client returns a client of the named nodes, which are edge nodes or one relay. It sends a request to each edge node in turn
// until one accepts the request, as a relay does.
func (c *Cluster) Client(name string, nodes ...string) *Client {
	k := &Client{Name: name, cluster: c}
	for _, u := range nodes {
		p, err := c.node(u)
		if err != nil || p.requestLinks[TestNode] == nil {
			c.test.Fatalf("testcluster: %s accepts no requests", u)
		}
		k.addresses = append(k.addresses, p.requestLinks[TestNode].Address())
	}
	k.connections = make([]net.Conn, len(k.addresses))
	p, _ := c.node(nodes[0])
	k.relay = p.Role == "relay"
	return k
}

// RelayClient returns a client of a relay.
func (c *Cluster) RelayClient(name, relay string) *Client { return c.Client(name, relay) }

// Close closes the client's connections.
func (k *Client) Close() {
	for i := range k.connections {
		k.dropConnection(i)
	}
}

func (k *Client) dropConnection(i int) {
	if k.connections[i] != nil {
		_ = k.connections[i].Close()
		k.connections[i] = nil
	}
}

// Write sends a request for a new effect to an instance.
func (k *Client) Write(instance string, wait time.Duration) Request {
	return k.send(instance, "", true, wait)
}

// Read requests the last effect of an instance.
func (k *Client) Read(instance string, wait time.Duration) Request {
	return k.send(instance, "", false, wait)
}

// Retry requests the effect of an earlier request once more, with the same ID.
func (k *Client) Retry(first Request, wait time.Duration) Request {
	return k.send(first.Instance, first.ID, true, wait)
}

func (k *Client) send(instance, id string, write bool, wait time.Duration) Request {
	if id == "" {
		id = fmt.Sprintf("%s-%d", k.Name, k.cluster.nextID.Add(1))
	}
	m := Request{Instance: instance, ID: id, Write: write, Start: time.Now(), Timeout: wait, Outcome: NotRun}
	until := m.Start.Add(wait)
	for time.Now().Before(until) {
		outcome, why := k.attempt(&m, k.next, until)
		if m.Why = why; outcome == Succeeded {
			m.Outcome = Succeeded
			break
		}
		if outcome == Unknown {
			m.Outcome = Unknown // if another node then refuses the request, the outcome stays Unknown; if a node acknowledges it, the outcome becomes Succeeded
			k.dropConnection(k.next)
		}
		if outcome == Rejected { // a relay's refusal is final
			m.Outcome = Rejected
			break
		}
		k.next = (k.next + 1) % len(k.addresses)
		if len(k.addresses) == 1 && outcome == NotRun && m.Sends > 0 {
			break // there is no other address to try
		}
		pause := min(5*time.Millisecond, time.Until(until))
		time.Sleep(max(0, pause)) // avoids a busy loop while the instance has no primary
	}
	m.End = time.Now()
	if m.Outcome != Succeeded || k.cluster.isFirstSuccess(m) {
		k.cluster.addEvent(Event{At: m.End, Node: TestNode, Name: string(m.Outcome), Instance: instance, Epoch: m.Epoch, To: m.Node, Why: m.Why})
	}
	k.cluster.mu.Lock()
	k.cluster.requests = append(k.cluster.requests, m)
	k.cluster.mu.Unlock()
	return m
}

// isFirstSuccess reports whether a request is the first acknowledged request in its epoch of the instance. Timelines do not show
// the later acknowledged requests of an epoch.
func (c *Cluster) isFirstSuccess(m Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := fmt.Sprintf("%s@%d", m.Instance, m.Epoch)
	was := c.acknowledged[key]
	c.acknowledged[key] = true
	return !was
}

// Requests returns the requests that have ended.
func (c *Cluster) Requests() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Request(nil), c.requests...)
}

func (k *Client) attempt(m *Request, i int, until time.Time) (Outcome, string) {
	if k.connections[i] == nil {
		conn, err := dialSession(k.addresses[i], until)
		if err != nil {
			return NotRun, err.Error()
		}
		k.connections[i] = conn
	}
	conn := k.connections[i]
	left := time.Until(until)
	if left <= 0 {
		return NotRun, "the request timed out"
	}
	tail := fmt.Sprintf("/* id=%s,c=a,t=%s,d=%d */", m.ID, k.Name, max(1, left.Milliseconds()))
	text := "SELECT content FROM kv WHERE name = '" + m.Instance + "' " + tail
	if m.Write {
		text = "INSERT INTO kv (name, content) VALUES ('" + m.Instance + `', '\x` + fmt.Sprintf("%x", m.ID) +
			"') RETURNING content " + tail
	}
	_ = conn.SetDeadline(until)
	m.Sends++
	if _, err := conn.Write(pgwire.SimpleQuery(text)); err != nil {
		return Unknown, err.Error()
	}
	a, buf, err := readResponse(conn)
	if err != nil {
		return Unknown, err.Error()
	}
	if a.Fatal {
		k.dropConnection(i)
	}
	switch a.SQLState {
	case pgwire.StateSuccess:
		if err := m.read(buf, a); err != nil {
			k.cluster.addFault(fmt.Sprintf("%s: %v", m.ID, err))
			return Unknown, err.Error()
		}
		return Succeeded, ""
	case pgwire.StateTooManyConnections, pgwire.StateCannotConnectNow:
		if k.relay {
			return Rejected, a.SQLState
		}
		return NotRun, a.SQLState
	}
	return Unknown, a.SQLState
}

// read parses a row of the form SEQ EPOCH NODE. A SELECT from an instance without effects returns an empty row.
func (m *Request) read(buf []byte, a *pgwire.Response) error {
	if len(a.RowMessages) < 2 {
		return errors.New("response has no row")
	}
	d := a.RowMessages[1].Of(buf)
	if n := int32(binary.BigEndian.Uint32(d[7:])); n <= 0 && !m.Write {
		return nil
	}
	w := strings.Fields(string(d[11:]))
	if len(w) != 3 {
		return fmt.Errorf("response row is %q, want SEQ EPOCH NODE", d[11:])
	}
	var err, bad error
	m.Seq, err = strconv.ParseUint(w[0], 10, 64)
	m.Epoch, bad = strconv.ParseUint(w[1], 10, 64)
	m.Node = w[2]
	return errors.Join(err, bad)
}

// dialSession connects, sends a startup message and waits until the server is ready for a query.
func dialSession(address string, until time.Time) (net.Conn, error) {
	conn, err := (&net.Dialer{Deadline: until}).Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(until)
	if _, err = conn.Write(pgwire.StartupMessage()); err == nil {
		var a *pgwire.Response
		if a, _, err = readResponse(conn); err == nil && a.SQLState != "" {
			err = errors.New("session refused: " + a.SQLState)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// readResponse reads until the server is ready for a query or has sent a fatal error.
func readResponse(conn net.Conn) (*pgwire.Response, []byte, error) {
	var a pgwire.Response
	var buf []byte
	b := make([]byte, 4<<10)
	for !a.Ready && !a.Fatal {
		n, err := conn.Read(b)
		buf = append(buf, b[:n]...)
		if n > 0 {
			if err := a.Read(buf); err != nil {
				return nil, nil, err
			}
			continue
		}
		if err != nil {
			return nil, nil, err
		}
	}
	return &a, buf, nil
}

// Controllers returns the test's own client of the fleet's controllers.
func (c *Cluster) Controllers() *controllerclient.Client { return c.controllers }

// Create creates an instance at a node. zone is the zone of the instance's device.
func (c *Cluster) Create(ctx context.Context, instance, node, zone string) (p placement.Assignment, err error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	return c.controllers.Propose(ctx, placement.Operation{Kind: placement.OpCreate, Instance: instance, Target: node, Zone: zone, Weight: 1,
		Reason: "asked for"})
}

// MoveDevice reports to the controllers that an instance's device is now in a zone.
func (c *Cluster) MoveDevice(ctx context.Context, instance, zone string) (p placement.Assignment, err error) {
	c.addEvent(Event{At: time.Now(), Node: TestNode, Name: "crosses", Instance: instance, To: zone})
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	return c.controllers.MoveDevice(ctx, instance, zone)
}
