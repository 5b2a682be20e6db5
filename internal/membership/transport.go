package membership

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"silvercove/internal/peertransport"
)

const (
	packetQueue      = 64               // maximum number of packets queued for one member; further packets are dropped, and the library tolerates the loss
	inboundQueue     = 4 * packetQueue  // maximum number of received packets that the library has not taken yet
	idleTimeout      = 30 * time.Second // a connection for packets is closed after this time without a packet to send
	purposeReadSlack = time.Second      // the first byte of an inbound connection must arrive within the silence timeout plus this time

	// The first byte of a connection gives the purpose of the connection.
	packetPurpose = byte('p')
	streamPurpose = byte('s')
)

// transport carries the library's packets and streams over connections between processes. Packets for one member go
// over one connection that is kept open, and are dropped if that connection is slow. Each stream has a connection of
// its own. transport implements memberlist.NodeAwareTransport and is safe for concurrent use.
type transport struct {
	net        *peertransport.Network
	silence    time.Duration
	ctx        context.Context // ends when Shutdown is called
	stop       context.CancelFunc
	goroutines sync.WaitGroup // waits for the transport's goroutines
	packets    chan *memberlist.Packet
	streams    chan net.Conn

	mu       sync.Mutex // guards the fields below and each sender's conn
	senders  map[string]*sender
	inbound  map[string]net.Conn // newest connection for packets from each member, keyed by its name
	openConn map[net.Conn]bool   // all open connections
}

func newTransport(n *peertransport.Network, silence time.Duration) *transport {
	t := &transport{
		net:      n,
		silence:  silence,
		packets:  make(chan *memberlist.Packet, inboundQueue),
		streams:  make(chan net.Conn),
		senders:  map[string]*sender{},
		inbound:  map[string]net.Conn{},
		openConn: map[net.Conn]bool{},
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	listener := n.Listener(peertransport.KindMembership)
	t.goroutines.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if t.register(c) {
				t.goroutines.Go(func() { t.serve(c) })
			}
		}
	})
	return t
}

// register adds an open connection to openConn. If the transport has shut down, it closes the connection and returns
// false.
func (t *transport) register(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		_ = c.Close()
		return false
	}
	t.openConn[c] = true
	return true
}

// closeConn closes a registered connection.
func (t *transport) closeConn(c net.Conn) error {
	t.mu.Lock()
	delete(t.openConn, c)
	t.mu.Unlock()
	return c.Close()
}

// serve reads the purpose of an inbound connection and serves it.
func (t *transport) serve(c net.Conn) {
	var purpose [1]byte
	_ = c.SetDeadline(time.Now().Add(t.silence + purposeReadSlack))
	if _, err := io.ReadFull(c, purpose[:]); err != nil {
		_ = t.closeConn(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	switch purpose[0] {
	case streamPurpose:
		t.serveStream(c)
	case packetPurpose:
		t.servePackets(c)
	default:
		_ = t.closeConn(c)
	}
}

// serveStream hands a stream to the library. It closes the stream if the library does not take it within the silence
// timeout.
func (t *transport) serveStream(c net.Conn) {
	timer := time.NewTimer(t.silence)
	defer timer.Stop()
	select {
	case t.streams <- &registeredConn{Conn: c, transport: t}:
	case <-t.ctx.Done():
		_ = t.closeConn(c)
	case <-timer.C:
		_ = t.closeConn(c)
	}
}

// registeredConn is the connection of a stream. Close removes the connection from openConn.
type registeredConn struct {
	net.Conn
	transport *transport
}

// Close implements net.Conn.
func (c *registeredConn) Close() error { return c.transport.closeConn(c.Conn) }

// dial opens a connection to a member and sends the purpose of the connection.
func (t *transport) dial(name string, purpose byte, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	c, err := t.net.Dial(ctx, name, peertransport.KindMembership)
	if err != nil {
		return nil, err
	}
	if !t.register(c) {
		return nil, net.ErrClosed
	}
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte{purpose}); err != nil {
		_ = t.closeConn(c)
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Time{})
	return c, nil
}

// FinalAdvertiseAddr implements memberlist.Transport. It returns a placeholder address for this process's name.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return placeholderIP(t.net.Self().Name), placeholderPort, nil
}

// WriteToAddress implements memberlist.NodeAwareTransport. It queues a packet, or drops it if the queue is full.
func (t *transport) WriteToAddress(packet []byte, to memberlist.Address) (time.Time, error) {
	now := time.Now()
	if _, known := t.net.Peer(to.Name); !known {
		return now, fmt.Errorf("no process named %s", to.Name)
	}
	s := t.senderTo(to.Name)
	if s == nil {
		return now, net.ErrClosed
	}
	select {
	case s.queue <- append([]byte(nil), packet...):
	default:
	}
	return now, nil
}

// DialAddressTimeout implements memberlist.NodeAwareTransport. It opens a stream.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	c, err := t.dial(to.Name, streamPurpose, timeout)
	if err != nil {
		return nil, err
	}
	return &registeredConn{Conn: c, transport: t}, nil
}

// errNoName is returned by the methods of memberlist.Transport that get an address without a member's name. The library
// does not call these methods, because memberlist.Config.RequireNodeNames is set.
var errNoName = errors.New("members are reached by name")

// WriteTo implements memberlist.Transport. It is not used.
func (t *transport) WriteTo([]byte, string) (time.Time, error) { return time.Time{}, errNoName }

// DialTimeout implements memberlist.Transport. It is not used.
func (t *transport) DialTimeout(string, time.Duration) (net.Conn, error) { return nil, errNoName }

// PacketCh implements memberlist.Transport. It returns the channel of the received packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport. It returns the channel of the inbound streams.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport. It closes all connections and waits for the transport's goroutines.
func (t *transport) Shutdown() error {
	t.mu.Lock()
	t.stop()
	for c := range t.openConn {
		_ = c.Close()
	}
	t.mu.Unlock()
	_ = t.net.Listener(peertransport.KindMembership).Close()
	t.goroutines.Wait()
	return nil
}
