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
	packetHeaderSize = 4                 // in bytes; the header is the packet's length, big endian
	maxInboundSize   = 4 * maxPacketSize // maximum size in bytes of a received packet, which can combine several packets of the library
	redialDivisor    = 8                 // a failed connection is tried again after the silence timeout divided by redialDivisor
)

// sender sends packets to one member.
type sender struct {
	queue chan []byte
	conn  net.Conn // nil if there is no connection; guarded by the transport's mu
}

// senderTo returns the sender for a member, and starts it if necessary. It returns nil once the transport has shut
// down.
func (t *transport) senderTo(name string) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[name]
	if s == nil && t.ctx.Err() == nil {
		s = &sender{queue: make(chan []byte, packetQueue)}
		t.senders[name] = s
		t.goroutines.Go(func() { t.send(name, s) })
	}
	return s
}

// send sends queued packets to one member until the transport shuts down, and opens a new connection if necessary.
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

// connect opens the connection of a sender.
func (t *transport) connect(name string, s *sender) (net.Conn, error) {
	c, err := t.dial(name, packetPurpose, t.silence)
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

// closeSender closes the connection of a sender, if there is one.
func (t *transport) closeSender(s *sender) {
	t.mu.Lock()
	c := s.conn
	s.conn = nil
	t.mu.Unlock()
	if c != nil {
		_ = t.closeConn(c)
	}
}

// reconnect closes the open connection to a member, so that the next packet uses a new one. After an interruption of
// the link, packets that the kernel retransmits on the old connection would arrive late.
func (t *transport) reconnect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.senders[name]; s != nil && s.conn != nil {
		_ = s.conn.Close()
	}
}

// servePackets reads the packets of a member from a connection. It closes an earlier connection for packets of the same
// member.
func (t *transport) servePackets(c net.Conn) {
	defer func() { _ = t.closeConn(c) }()
	from := c.(*peertransport.Conn).From
	t.replaceInbound(from, c)
	defer t.removeInbound(from, c)
	in := bufio.NewReader(c)
	for {
		packet, err := readPacket(in)
		if err != nil {
			return
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: packet, From: memberAddr(from), Timestamp: time.Now()}:
		// The queue is full, so the packet is dropped. The gossip library of the sender repeats messages that must arrive.
		default:
		}
	}
}

// errPacketSize is returned for a packet whose length exceeds maxInboundSize.
var errPacketSize = errors.New("packet too large")

// readPacket reads one packet with its header.
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

func (t *transport) removeInbound(from string, c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound[from] == c {
		delete(t.inbound, from)
	}
}
