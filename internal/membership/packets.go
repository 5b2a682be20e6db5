package membership

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"silvercove/internal/peertransport"
)

const (
	packetHeaderSize = 4                 // bytes: the packet's length, big endian
	maxInboundSize   = 4 * maxPacketSize // bytes of a packet that came, which may be several of the library's
	redialDivisor    = 8                 // of a silence, until a connection that failed is tried again
)

// sender is what goes to one member.
type sender struct {
	queue chan []byte
	conn  net.Conn // guarded by the transport's mu; nil for none
}

// senderTo is the sender to a member, started if need be; nil once the transport has ended.
func (t *transport) senderTo(name string) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[name]
	if s == nil && t.ctx.Err() == nil {
		s = &sender{queue: make(chan []byte, packetQueue)}
		t.senders[name] = s
		t.done.Go(func() { t.send(name, s) })
	}
	return s
}

// send passes packets to one member, connecting anew where that is needed, until the transport ends.
func (t *transport) send(name string, s *sender) {
	defer t.closeSender(s)
	var nextDial time.Time
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		var packet []byte
		select {
		case <-t.ctx.Done():
			return
		case <-idle.C:
			t.closeSender(s)
			idle.Reset(idleTimeout)
			continue
		case packet = <-s.queue:
			idle.Reset(idleTimeout)
		}
		c := t.connOf(s)
		if c == nil {
			if time.Now().Before(nextDial) {
				continue
			}
			var err error
			if c, err = t.connect(name, s); err != nil {
				nextDial = time.Now().Add(t.silence / redialDivisor)
				continue
			}
		}
		if t.writePacket(c, packet) != nil {
			t.closeSender(s)
		}
	}
}

func (t *transport) connOf(s *sender) net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.conn
}

// connect opens a sender's connection.
func (t *transport) connect(name string, s *sender) (net.Conn, error) {
	c, err := t.dial(name, packetConn, t.silence)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	s.conn = c
	t.mu.Unlock()
	return c, nil
}

func (t *transport) writePacket(c net.Conn, packet []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(t.silence))
	framed := binary.BigEndian.AppendUint32(nil, uint32(len(packet)))
	_, err := c.Write(append(framed, packet...))
	return err
}

// closeSender closes a sender's connection, if it has one.
func (t *transport) closeSender(s *sender) {
	t.mu.Lock()
	c := s.conn
	s.conn = nil
	t.mu.Unlock()
	if c != nil {
		_ = t.closeConn(c)
	}
}

// reconnect closes the kept connection to a member, so that the next packet goes over a new one: where a link was cut,
// what the kernel repeats on the old one would come late.
func (t *transport) reconnect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.senders[name]; s != nil && s.conn != nil {
		_ = s.conn.Close()
	}
}

// servePackets reads the packets of a member, whose earlier connection ends.
func (t *transport) servePackets(c net.Conn) {
	defer func() { _ = t.closeConn(c) }()
	from := c.(*peertransport.Conn).From
	t.replaceInbound(from, c)
	defer t.forgetInbound(from, c)
	in := bufio.NewReader(c)
	for {
		packet, err := readPacket(in)
		if err != nil {
			return
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: packet, From: memberAddr(from), Timestamp: time.Now()}:
		default: // the library is busy; it sends again what matters
		}
	}
}

// errPacketSize is for a packet whose length is out of bounds.
var errPacketSize = errors.New("a packet too large")

// readPacket reads one packet.
func readPacket(in io.Reader) ([]byte, error) {
	var header [packetHeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxInboundSize {
		return nil, errPacketSize
	}
	packet := make([]byte, size)
	_, err := io.ReadFull(in, packet)
	return packet, err
}

func (t *transport) replaceInbound(from string, c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.inbound[from]; old != nil {
		_ = old.Close()
	}
	t.inbound[from] = c
}

func (t *transport) forgetInbound(from string, c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound[from] == c {
		delete(t.inbound, from)
	}
}
