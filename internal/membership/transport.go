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
	packetQueue  = 64               // packets for one member; more are dropped, as the library expects
	inboundQueue = 4 * packetQueue  // packets that have come
	idleTimeout  = 30 * time.Second // of a kept connection
	helloSlack   = time.Second      // beside a silence, for the first byte of a connection

	// The first byte of a connection says what it is for.
	packetConn = byte('p')
	streamConn = byte('s')
)

// transport carries the library's packets and streams over connections between processes. Packets to one member go over
// one connection that is kept, and are dropped where it is slow; a stream has a connection of its own. It implements
// memberlist.NodeAwareTransport and is safe for concurrent use.
type transport struct {
	net     *peertransport.Network
	silence time.Duration
	ctx     context.Context // ends with Shutdown
	stop    context.CancelFunc
	done    sync.WaitGroup // of the transport's goroutines
	packets chan *memberlist.Packet
	streams chan net.Conn

	mu       sync.Mutex // guards all below, and each sender's conn
	senders  map[string]*sender
	inbound  map[string]net.Conn // with packets; the newest one of each member
	openConn map[net.Conn]bool   // all of them
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
	t.done.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if t.register(c) {
				t.done.Go(func() { t.serve(c) })
			}
		}
	})
	return t
}

// register notes an open connection; it is closed at once where the transport ends.
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

// serve reads what a connection that came in is for, and passes on what comes.
func (t *transport) serve(c net.Conn) {
	var purpose [1]byte
	_ = c.SetDeadline(time.Now().Add(t.silence + helloSlack))
	if _, err := io.ReadFull(c, purpose[:]); err != nil {
		_ = t.closeConn(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	switch purpose[0] {
	case streamConn:
		t.serveStream(c)
	case packetConn:
		t.servePackets(c)
	default:
		_ = t.closeConn(c)
	}
}

// serveStream hands a stream to the library, unless that is busy for a silence.
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

// registeredConn is a stream's connection: it is forgotten when it is closed.
type registeredConn struct {
	net.Conn
	transport *transport
}

// Close implements net.Conn.
func (c *registeredConn) Close() error { return c.transport.closeConn(c.Conn) }

// dial opens a connection to a member and says what it is for.
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

// FinalAdvertiseAddr implements memberlist.Transport: what stands for this process's name.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return placeholderIP(t.net.Self().Name), placeholderPort, nil
}

// WriteToAddress implements memberlist.NodeAwareTransport. It queues a packet, which is dropped where many wait already.
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

// DialAddressTimeout implements memberlist.NodeAwareTransport: it opens a stream.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	c, err := t.dial(to.Name, streamConn, timeout)
	if err != nil {
		return nil, err
	}
	return &registeredConn{Conn: c, transport: t}, nil
}

// errNoName is for calls without a name; all of them have one, as RequireNodeNames is set.
var errNoName = errors.New("members are reached by name")

// WriteTo implements memberlist.Transport. It is not used.
func (t *transport) WriteTo([]byte, string) (time.Time, error) { return time.Time{}, errNoName }

// DialTimeout implements memberlist.Transport. It is not used.
func (t *transport) DialTimeout(string, time.Duration) (net.Conn, error) { return nil, errNoName }

// PacketCh implements memberlist.Transport: the packets that came.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport: the streams that came.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport: it closes all connections and waits for the transport's goroutines.
func (t *transport) Shutdown() error {
	t.mu.Lock()
	t.stop()
	for c := range t.openConn {
		_ = c.Close()
	}
	t.mu.Unlock()
	_ = t.net.Listener(peertransport.KindMembership).Close()
	t.done.Wait()
	return nil
}
