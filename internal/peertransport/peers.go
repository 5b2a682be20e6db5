// Package peertransport owns the connections between processes of one fleet. Each process listens at one address, and reaches
// each other one at an address of its own file, so that a link may stand between any two, in either direction. What a
// connection carries is said by its first bytes: the agreed log, members' news or HTTP.
package peertransport

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Peer is a process of the fleet as this one reaches it.
type Peer struct {
	Name, Role, Zone string
	Address          string // HOST:PORT for all kinds
	RequestAddress   string // HOST:PORT for commands, of edge units
}

// The roles of processes, as the operator's file has them.
const (
	RoleController = "keeper"
	RoleEdge       = "edge"
	RoleRelay      = "relay"
)

// Kind is what a connection carries.
type Kind string

// The kinds of connections.
const (
	KindLog        Kind = "log"     // the agreed log, between keepers
	KindMembership Kind = "members" // news of members
	KindHTTP       Kind = "http"
)

// Version of the first bytes; another one is refused.
const Version = 1

const (
	maxHello         = 512             // bytes of a hello
	helloTimeout     = 2 * time.Second // for a hello to come whole
	maxPendingHellos = 256             // connections whose hello has not come
)

// hello goes first on each connection, as one line of JSON, and is answered by one: empty where it is taken.
type hello struct {
	Version int    `json:"v"`
	Kind    Kind   `json:"kind"`
	Fleet   string `json:"fleet"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// ErrRefused is wrapped by what Dial returns where the other side does not take the connection, with its reason.
var ErrRefused = errors.New("refused")

// Network is one process's connections to others.
type Network struct {
	self     Peer
	reach    string // where its own name is, if not here
	fleet    string
	log      func(string)
	peers    []Peer
	listener net.Listener
	in       map[Kind]*Listener
	young    chan struct{} // one for each connection whose hello has not come
}

// Open listens at the process's own address. peers are the others; each name and address has to be told apart.
func Open(fleet string, self Peer, peers []Peer, log func(string)) (*Network, error) {
	seen := map[string]bool{self.Name: true}
	for _, p := range peers {
		if seen[p.Name] {
			return nil, fmt.Errorf("two processes are named %s", p.Name)
		}
		seen[p.Name] = true
	}
	l, err := net.Listen("tcp", self.Address)
	if err != nil {
		return nil, err
	}
	n := &Network{self: self, fleet: fleet, log: log, peers: slices.Clone(peers), listener: l, in: map[Kind]*Listener{},
		young: make(chan struct{}, maxPendingHellos)}
	for _, k := range []Kind{KindLog, KindMembership, KindHTTP} {
		n.in[k] = &Listener{addr: l.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	}
	return n, nil
}

// Self is this process; Address is where it listens.
func (n *Network) Self() Peer {
	self := n.self
	self.Address = n.listener.Addr().String()
	return self
}

// OverrideSelf has calls to the process's own name go to an address: that of the process for which a tool speaks. It is called
// before Run.
func (n *Network) OverrideSelf(address string) { n.reach = address }

// Fleet is its name.
func (n *Network) Fleet() string { return n.fleet }

// Peers are the others, of one role or, with none named, of any; in the file's order.
func (n *Network) Peers(role string) (some []Peer) {
	for _, p := range n.peers {
		if role == "" || p.Role == role {
			some = append(some, p)
		}
	}
	return some
}

// Peer is the process of this name, this one included.
func (n *Network) Peer(name string) (Peer, bool) {
	if name == n.self.Name {
		return n.Self(), true
	}
	for _, p := range n.peers {
		if p.Name == name {
			return p, true
		}
	}
	return Peer{}, false
}

// Run takes connections in until the context ends, then closes all listeners and waits for its goroutines.
func (n *Network) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = n.listener.Close()
		for _, l := range n.in {
			_ = l.Close()
		}
	})
	defer stop()
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	for {
		conn, err := n.listener.Accept()
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // such as too many descriptors
			n.log("peers: " + err.Error())
			select {
			case <-ctx.Done():
			case <-time.After(helloTimeout / 20):
			}
			continue
		}
		select {
		case n.young <- struct{}{}:
		default:
			_ = conn.Close() // as many hellos are awaited as may be
			continue
		}
		group.Go(func() error {
			defer func() { <-n.young }()
			n.take(ctx, conn)
			return nil
		})
	}
}

// take reads a hello and hands the connection on, or says why not.
func (n *Network) take(ctx context.Context, conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	var h hello
	text, err := readLine(conn)
	if err == nil {
		err = json.Unmarshal(text, &h)
	}
	l := n.in[h.Kind]
	_, known := n.Peer(h.From)
	why, quiet := "", false // quiet: a crowd would fill the log
	switch {
	case err != nil:
		_ = conn.Close()
		return
	case h.Version != Version:
		why = fmt.Sprintf("version %d is not spoken here, %d is", h.Version, Version)
	case h.Fleet != n.fleet:
		why = fmt.Sprintf("this is fleet %s, not %s", n.fleet, h.Fleet)
	case h.To != n.self.Name:
		why = fmt.Sprintf("this is %s, not %s", n.self.Name, h.To)
	case !known:
		why = fmt.Sprintf("no process named %s is in the file of %s", h.From, n.self.Name)
	case l == nil || !l.asked.Load(): // where nobody accepts, it would wait and take the place of another hello
		why = fmt.Sprintf("no connections of kind %q are taken", h.Kind)
	}
	answer, _ := json.Marshal(why)
	taken := &Conn{Conn: conn, From: h.From}
	if admit := l.admit(); why == "" && admit != nil {
		if taken.leave, why = admit(h.From); why != "" {
			quiet = true
		}
		answer, _ = json.Marshal(why)
	}
	if _, err := conn.Write(append(answer, '\n')); err != nil || why != "" {
		if why != "" && !quiet {
			n.log("peers: turned away " + h.From + ": " + why)
		}
		_ = taken.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	l.put(ctx, taken)
}

// readLine reads up to a newline, byte by byte, so that nothing behind it is taken.
func readLine(conn net.Conn) (text []byte, err error) {
	var b [1]byte
	for len(text) < maxHello {
		if _, err = conn.Read(b[:]); err != nil {
			return nil, err
		}
		if b[0] == '\n' {
			return text, nil
		}
		text = append(text, b[0])
	}
	return nil, bufio.ErrTooLong
}

// Conn is a connection that was taken in; From is the process at its other end.
type Conn struct {
	net.Conn
	From  string
	leave func() // nil: nobody counts
	once  sync.Once
}

// Close closes it, and gives its place back.
func (c *Conn) Close() error {
	if c.leave != nil {
		c.once.Do(c.leave)
	}
	return c.Conn.Close()
}

// Dial connects to a process by name, within the context and at most the time of a hello.
func (n *Network) Dial(ctx context.Context, name string, kind Kind) (net.Conn, error) {
	p, ok := n.Peer(name)
	if !ok {
		return nil, fmt.Errorf("no process named %s", name)
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if name == n.self.Name && n.reach != "" {
		p.Address = n.reach
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, err
	}
	until, _ := ctx.Deadline()
	_ = conn.SetDeadline(until)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	h, _ := json.Marshal(hello{Version, kind, n.fleet, n.self.Name, name})
	var why string
	if _, err = conn.Write(append(h, '\n')); err == nil {
		var text []byte
		if text, err = readLine(conn); err == nil {
			err = json.Unmarshal(text, &why)
		}
	}
	if err == nil && why != "" {
		err = fmt.Errorf("%s: %w: %s", name, ErrRefused, why)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, nil
}

// Listener hands out the connections of one kind. Before it is called they are refused.
func (n *Network) Listener(kind Kind) *Listener {
	n.in[kind].asked.Store(true)
	return n.in[kind]
}

// Client makes HTTP calls to processes by name: http://NAME/path. Its idle connections are few.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4,
		IdleConnTimeout: 5 * time.Second, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, err
			}
			return n.Dial(ctx, host, KindHTTP)
		}}}
}

// Listener is a net.Listener of one kind of connections; what it hands out are *Conn.
type Listener struct {
	addr  net.Addr
	asked atomic.Bool
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	asks  atomic.Pointer[Admit]
}

// Admit counts a process's connection until leave is called, once, or says why it is turned away, which its Dial tells.
type Admit func(from string) (leave func(), why string)

// Admit has each connection counted from now on.
func (l *Listener) Admit(f Admit) { l.asks.Store(&f) }

func (l *Listener) admit() Admit {
	if l == nil || l.asks.Load() == nil {
		return nil
	}
	return *l.asks.Load()
}

func (l *Listener) put(ctx context.Context, conn net.Conn) {
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case l.conns <- conn:
		return
	case <-l.done:
	case <-ctx.Done():
	case <-timer.C: // nobody takes it
	}
	_ = conn.Close()
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr is where the process listens.
func (l *Listener) Addr() net.Addr { return l.addr }
