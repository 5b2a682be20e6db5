package peertransport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

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
	KindLog        Kind = "log"     // the agreed log, between controllers
	KindMembership Kind = "members" // gossip of members
	KindHTTP       Kind = "http"
)

const (
	maxPendingHellos = 256 // connections whose hello has not come
	acceptRetryDelay = helloTimeout / 20

	// The idle connections of a Client to one process.
	clientIdleConns       = 4
	clientIdleConnTimeout = 5 * time.Second
)

// Peer is a process of the fleet as this one reaches it.
type Peer struct {
	Name, Role, Zone string
	Address          string // HOST:PORT for all kinds
	RequestAddress   string // HOST:PORT for requests, of edge nodes
}

// Network is one process's connections to others. Its methods are safe for concurrent use, but for OverrideSelf.
type Network struct {
	self         Peer
	selfOverride string // the address of its own name, "": it listens there
	fleet        string
	log          zerolog.Logger
	peers        []Peer
	listener     net.Listener
	listeners    map[Kind]*Listener
	pending      chan struct{} // one element for each connection whose hello has not come
}

// Open listens at the process's own address. peers are the others; it fails where two processes have one name, or the address is
// taken.
func Open(fleet string, self Peer, peers []Peer, log zerolog.Logger) (*Network, error) {
	seen := map[string]bool{self.Name: true}
	for _, peer := range peers {
		if seen[peer.Name] {
			return nil, fmt.Errorf("two processes are named %s", peer.Name)
		}
		seen[peer.Name] = true
	}
	listener, err := net.Listen("tcp", self.Address)
	if err != nil {
		return nil, err
	}
	n := &Network{
		self:      self,
		fleet:     fleet,
		log:       log.With().Str("component", "peertransport").Logger(),
		peers:     slices.Clone(peers),
		listener:  listener,
		listeners: map[Kind]*Listener{},
		pending:   make(chan struct{}, maxPendingHellos),
	}
	for _, kind := range []Kind{KindLog, KindMembership, KindHTTP} {
		n.listeners[kind] = &Listener{addr: listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	}
	return n, nil
}

// Self is this process; its Address is where it listens.
func (n *Network) Self() Peer {
	self := n.self
	self.Address = n.listener.Addr().String()
	return self
}

// OverrideSelf has connections to the process's own name go to an address: that of the process for which a tool speaks. It is
// called before Run.
func (n *Network) OverrideSelf(address string) { n.selfOverride = address }

// Fleet is the fleet's name.
func (n *Network) Fleet() string { return n.fleet }

// Peers are the other processes of a role, or of any where the role is ""; in the file's order.
func (n *Network) Peers(role string) (peers []Peer) {
	for _, peer := range n.peers {
		if role == "" || peer.Role == role {
			peers = append(peers, peer)
		}
	}
	return peers
}

// Peer is the process of a name, this one included.
func (n *Network) Peer(name string) (Peer, bool) {
	if name == n.self.Name {
		return n.Self(), true
	}
	for _, peer := range n.peers {
		if peer.Name == name {
			return peer, true
		}
	}
	return Peer{}, false
}

// Run takes connections in until the context ends, then closes all listeners, waits for its goroutines and returns nil. Each
// connection has a goroutine until its hello has come and a listener has taken it.
func (n *Network) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = n.listener.Close() // it is closed once
		for _, listener := range n.listeners {
			_ = listener.Close() // it never fails
		}
	})
	defer stop()
	var group errgroup.Group
	defer func() { _ = group.Wait() }() // its functions return nil
	for {
		conn, err := n.listener.Accept()
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // such as too many descriptors
			n.log.Warn().Err(err).Msg("connection not accepted")
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		select {
		case n.pending <- struct{}{}:
		default:
			_ = conn.Close() // as many hellos are awaited as may be
			continue
		}
		group.Go(func() error {
			defer func() { <-n.pending }()
			n.accept(ctx, conn)
			return nil
		})
	}
}

// Dial connects to a process by name, within the context and at most the time of a hello. It fails with ErrRefused where the
// other side does not take the connection.
func (n *Network) Dial(ctx context.Context, name string, kind Kind) (net.Conn, error) {
	peer, ok := n.Peer(name)
	if !ok {
		return nil, fmt.Errorf("no process named %s", name)
	}
	if name == n.self.Name && n.selfOverride != "" {
		peer.Address = n.selfOverride
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", peer.Address)
	if err != nil {
		return nil, err
	}
	if err := n.sendHello(ctx, conn, name, kind); err != nil {
		_ = conn.Close() // nothing was sent but the hello
		return nil, err
	}
	return conn, nil
}

// Listener hands out the connections of one kind. Before it is called they are refused.
func (n *Network) Listener(kind Kind) *Listener {
	n.listeners[kind].enabled.Store(true)
	return n.listeners[kind]
}

// Client makes HTTP calls to processes by name: http://NAME/path. Its idle connections are few.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: clientIdleConns,
		IdleConnTimeout:     clientIdleConnTimeout,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			name, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, err
			}
			return n.Dial(ctx, name, KindHTTP)
		},
	}}
}
