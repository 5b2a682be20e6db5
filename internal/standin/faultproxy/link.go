package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"
)

// Link forwards connections from one process to the address of another one.
type Link struct {
	From, To string
	network  *Network
	listener net.Listener

	mu          sync.Mutex
	target      string
	faults      [2]Fault
	refuse      bool
	changed     chan struct{} // closed and replaced at each change of a fault
	connections map[*connection]bool
	passed      [2]int64 // bytes forwarded, by direction
	opened      int      // accepted connections, including those that were refused
}

// connection is one connection through a link.
type connection struct {
	client, server net.Conn
	stop           context.CancelFunc
	lostBytes      bool // bytes of this connection were discarded; guarded by the link's mutex
}

// AddLink adds a link from one process to another. The link forwards connections to the address target. target may be empty: the
// link then resets all connections until SetTarget sets an address. Two processes may have several links.
func (n *Network) AddLink(from, to, target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{From: from, To: to, network: n, listener: l, target: target, changed: make(chan struct{}), connections: map[*connection]bool{}}
	n.mu.Lock()
	n.links = append(n.links, link)
	n.mu.Unlock()
	n.goroutines.Go(link.run)
	return link, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget sets the address to which the link forwards later connections.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// BytesPassed returns the number of bytes forwarded in each direction.
func (l *Link) BytesPassed() (forward, backward int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed[Forward], l.passed[Backward]
}

// Opened returns the number of accepted connections, including those that were refused.
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// Set puts a fault on one direction. The zero Fault removes the fault. When a fault with Silent ends, the connections whose
// bytes were discarded are reset.
func (l *Link) Set(direction Direction, f Fault) {
	l.mu.Lock()
	if l.faults[direction] == f {
		l.mu.Unlock()
		return
	}
	if l.faults[direction].Silent && !f.Silent {
		for c := range l.connections {
			if c.lostBytes {
				c.reset()
			}
		}
	}
	l.faults[direction] = f
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	text := f.String()
	if direction == Backward {
		text += " (answers)"
	}
	l.network.onChange(Event{time.Now(), l.From, l.To, text})
}
