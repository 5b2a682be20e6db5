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

// Roles of processes, by their names in the operator's configuration file.
const (
	RoleController = "keeper"
	RoleEdge       = "edge"
	RoleRelay      = "relay"
)

// Kind is what a connection carries.
type Kind string

// Kinds of connections.
const (
	KindLog        Kind = "log"     // the agreed log, between controllers
	KindMembership Kind = "members" // membership gossip
	KindHTTP       Kind = "http"
)

const (
	maxPendingConns  = 256 // largest number of incoming connections that no Listener has accepted yet
	acceptRetryDelay = helloTimeout / 20

	// Limits on the idle connections that a Client keeps to each process.
	clientIdleConns       = 4
	clientIdleConnTimeout = 5 * time.Second
)

// Peer is a process of the fleet, with the addresses at which this process reaches it.
type Peer struct {
	Name, Role, Zone string
	Address          string // address for connections of all kinds, as HOST:PORT
	RequestAddress   string // address for requests, as HOST:PORT; only edge nodes have one
}

// Network accepts connections from the other processes of a fleet and dials connections to them. Its methods are safe
// for concurrent use, except for OverrideSelf.
type Network struct {
	self         Peer
	selfOverride string // address that Dial uses for the process's own name (see OverrideSelf); if "", Dial uses the address in self
	fleet        string
	log          zerolog.Logger
	peers        []Peer
	listener     net.Listener
	listeners    map[Kind]*Listener
	pending      chan struct{} // holds one element for each incoming connection that no Listener has accepted yet
}

// Open listens at the address of self, which is this process; peers are the other processes. Open fails if two
// processes have the same name or the address cannot be listened at.
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
		pending:   make(chan struct{}, maxPendingConns),
	}
	for _, kind := range []Kind{KindLog, KindMembership, KindHTTP} {
		n.listeners[kind] = &Listener{addr: listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	}
	return n, nil
}

// Self returns this process. Its Address is the address at which it actually listens.
func (n *Network) Self() Peer {
	self := n.self
	self.Address = n.listener.Addr().String()
	return self
}

// OverrideSelf makes Dial use the given address if it is called with the process's own name. A tool that runs under the
// name of a fleet process can thus dial that process. OverrideSelf must be called before Run.
func (n *Network) OverrideSelf(address string) { n.selfOverride = address }

// Fleet returns the name of the fleet.
func (n *Network) Fleet() string { return n.fleet }

// Peers returns the other processes that have the given role, or all other processes if role is "", in the order in
// which Open got them.
func (n *Network) Peers(role string) (peers []Peer) {
	for _, peer := range n.peers {
		if role == "" || peer.Role == role {
			peers = append(peers, peer)
		}
	}
	return peers
}

// Peer returns the process with the given name. The name can also be that of this process.
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

// Run accepts connections until the context ends, then closes all listeners, waits for its goroutines and returns nil.
// Each connection has a goroutine until its hello has arrived and a listener has accepted the connection.
func (n *Network) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = n.listener.Close() // never fails: Close fails only on a closed listener, and only this call closes n.listener
		for _, listener := range n.listeners {
			_ = listener.Close() // Listener.Close never fails
		}
	})
	defer stop()
	var group errgroup.Group
	defer func() { _ = group.Wait() }() // all functions of the group return nil
	for {
		conn, err := n.listener.Accept()
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // for example, the process has too many open descriptors; Accept is tried again
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
			_ = conn.Close() // maxPendingConns connections are pending; an error is ignored
			continue
		}
		group.Go(func() error {
			defer func() { <-n.pending }()
			n.accept(ctx, conn)
			return nil
		})
	}
}

// Dial connects to the process with the given name. It takes no longer than helloTimeout and ends early if the context
// ends. If the other process refuses the connection, the error wraps ErrRefused.
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
		_ = conn.Close() // an error is ignored: only the hello was sent
		return nil, err
	}
	return conn, nil
}

// Listener returns the listener for one kind of connections. Before the first call, connections of that kind are
// refused.
func (n *Network) Listener(kind Kind) *Listener {
	n.listeners[kind].enabled.Store(true)
	return n.listeners[kind]
}

// Client returns an HTTP client that reaches each process by its name, as http://NAME/path. It keeps at most
// clientIdleConns idle connections to each process.
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
