package membership

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/memberlist"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/peertransport"
)

const (
	mostPacket = 16 << 10 // bytes of one
	waiting    = 64       // packets for one member, and all that have come; more are dropped, as the library expects
	idle       = 30 * time.Second
	firstJoins = 3 // members whose whole state is asked for at a start
	joining    = 4 // at once
	packets    = byte('p')
	stream     = byte('s')
)

// library is memberlist behind gossip.
type library struct {
	list  *memberlist.Memberlist
	queue *memberlist.TransmitLimitedQueue
	lines *transport
	heard heard
	self  string
}

func newLibrary(n *peertransport.Network, silence time.Duration, size int, h heard) (gossip, error) {
	l := &library{lines: newTransport(n, silence), heard: h, self: n.Self().Name}
	l.queue = &memberlist.TransmitLimitedQueue{NumNodes: func() int { return size }, RetransmitMult: 3}
	set := memberlist.DefaultLANConfig()
	set.Name, set.Transport, set.RequireNodeNames = l.self, l.lines, true
	set.AdvertiseAddr, set.AdvertisePort = "", 1
	set.ProbeInterval, set.ProbeTimeout = silence, silence/2
	set.SuspicionMult, set.SuspicionMaxTimeoutMult, set.AwarenessMaxMultiplier = 2, 2, 4
	set.GossipInterval = min(max(silence/10, 10*time.Millisecond), 200*time.Millisecond)
	set.GossipToTheDeadTime, set.PushPullInterval = 4*silence, 10*silence
	set.TCPTimeout = max(silence, 500*time.Millisecond)
	set.UDPBufferSize, set.EnableCompression = mostPacket, false
	set.Delegate, set.Events, set.Logger = l, l, quietLog()
	list, err := memberlist.Create(set)
	if err != nil {
		_ = l.lines.Shutdown()
		return nil, err
	}
	l.list = list
	return l, nil
}

// word is a record on its way to all; a later one of the same member takes its place.
type word struct {
	name string
	raw  []byte
}

func (w word) Invalidates(o memberlist.Broadcast) bool { return false } // the queue goes by the name
func (w word) Name() string                            { return w.name }
func (w word) Message() []byte                         { return w.raw }
func (w word) Finished()                               {}

func nameOf(raw []byte) string {
	var r struct{ Name string }
	_ = json.Unmarshal(raw, &r)
	return r.Name
}

func (l *library) Spread(name string, raw []byte) { l.queue.QueueBroadcast(word{name, raw}) }
func (l *library) Renew(name string)              { l.lines.renew(name) }
func (l *library) Leave(within time.Duration)     { _ = l.list.Leave(within) }
func (l *library) Close()                         { _ = l.list.Shutdown() }

func (l *library) Ping(name string) (time.Duration, error) { return l.list.Ping(name, named(name)) }

// Sync exchanges whole states: with a few others at the start, then in turn with some of those that the library does not
// hold to be alive, as it does not look for them itself, and a split would never heal.
func (l *library) Sync(ctx context.Context, names []string, every time.Duration) {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	group.SetLimit(joining)
	join := func(name string) error {
		_, err := l.list.Join([]string{name + "/[" + address(name).String() + "]:1"})
		return err
	}
	reached := 0
	for _, name := range names {
		if reached >= firstJoins || ctx.Err() != nil {
			break
		}
		if join(name) == nil {
			reached++
		}
	}
	for next := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		alive := map[string]bool{}
		for _, m := range l.list.Members() {
			alive[m.Name] = true
		}
		left := SyncCount(len(alive), len(names)+1-len(alive), rand.Float64())
		for range names {
			name := names[next%len(names)]
			if left == 0 {
				break
			}
			if next++; alive[name] {
				continue
			}
			if left--; !group.TryGo(func() error { _ = join(name); return nil }) {
				break // as many are under way as may be
			}
		}
	}
}

// What memberlist asks for and tells.

func (l *library) NodeMeta(int) []byte { return nil }

func (l *library) NotifyMsg(b []byte) { l.heard.record(b) }

func (l *library) GetBroadcasts(overhead, limit int) [][]byte {
	return l.queue.GetBroadcasts(overhead, limit)
}

func (l *library) LocalState(bool) []byte {
	var b []byte
	for _, raw := range l.heard.all() {
		b = binary.AppendUvarint(b, uint64(len(raw)))
		b = append(b, raw...)
	}
	return b
}

func (l *library) MergeRemoteState(b []byte, _ bool) {
	for len(b) > 0 {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > uint64(len(b)-size) {
			return
		}
		l.heard.record(b[size : size+int(n)])
		b = b[size+int(n):]
	}
}

func (l *library) NotifyJoin(n *memberlist.Node)   { l.heard.up(n.Name) }
func (l *library) NotifyUpdate(n *memberlist.Node) { l.heard.up(n.Name) }
func (l *library) NotifyLeave(n *memberlist.Node) {
	l.heard.down(n.Name, n.State == memberlist.StateLeft)
}

// named is a member's address: each process reaches it at an address of its own file, so others are told its name only.
type named string

func (n named) Network() string { return "peers" }
func (n named) String() string  { return "[" + address(string(n)).String() + "]:1" }

// address stands for a name where the library wants one: nothing is ever sent to it.
func address(name string) net.IP {
	ip := make(net.IP, net.IPv6len)
	ip[0] = 0xfd
	binary.BigEndian.PutUint64(ip[8:], xxhash.Sum64String(name))
	return ip
}

// transport carries the library's packets and streams over connections between processes. Packets to one member go over
// one connection that is kept, and are dropped where it is slow; a stream has a connection of its own.
type transport struct {
	net     *peertransport.Network
	silence time.Duration
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
	packets chan *memberlist.Packet
	streams chan net.Conn

	mu   sync.Mutex
	to   map[string]*sender
	from map[string]net.Conn // with packets; the newest one of each member
	open map[net.Conn]bool   // all of them
}

// sender has what goes to one member.
type sender struct {
	queue chan []byte
	conn  net.Conn // under the transport's lock
}

func newTransport(n *peertransport.Network, silence time.Duration) *transport {
	t := &transport{net: n, silence: silence, packets: make(chan *memberlist.Packet, 4*waiting),
		streams: make(chan net.Conn), to: map[string]*sender{}, from: map[string]net.Conn{}, open: map[net.Conn]bool{}}
	t.ctx, t.stop = context.WithCancel(context.Background())
	l := n.Listener(peertransport.KindMembership)
	t.done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if t.keep(c) {
				t.done.Go(func() { t.take(c) })
			}
		}
	})
	return t
}

// keep notes an open connection; it is closed at once where all ends.
func (t *transport) keep(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		_ = c.Close()
		return false
	}
	t.open[c] = true
	return true
}

func (t *transport) drop(c net.Conn) error {
	t.mu.Lock()
	delete(t.open, c)
	t.mu.Unlock()
	return c.Close()
}

// take reads what a connection that came in is for, and its packets.
func (t *transport) take(c net.Conn) {
	var first [1]byte
	_ = c.SetDeadline(time.Now().Add(t.silence + time.Second))
	if _, err := io.ReadFull(c, first[:]); err != nil || first[0] != packets && first[0] != stream {
		_ = t.drop(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	if first[0] == stream {
		timer := time.NewTimer(t.silence)
		defer timer.Stop()
		select {
		case t.streams <- &kept{c, t}:
		case <-t.ctx.Done():
			_ = t.drop(c)
		case <-timer.C: // the library is busy
			_ = t.drop(c)
		}
		return
	}
	defer func() { _ = t.drop(c) }()
	from := c.(*peertransport.Conn).From
	t.mu.Lock()
	if old := t.from[from]; old != nil {
		_ = old.Close()
	}
	t.from[from] = c
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.from[from] == c {
			delete(t.from, from)
		}
	}()
	in := bufio.NewReader(c)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > 4*mostPacket {
			return
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(in, b); err != nil {
			return
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: b, From: named(from), Timestamp: time.Now()}:
		default: // the library is busy; it sends again what matters
		}
	}
}

// kept is a stream's connection: it is forgotten when it is closed.
type kept struct {
	net.Conn
	lines *transport
}

func (k *kept) Close() error { return k.lines.drop(k.Conn) }

// send passes packets to one member, connecting anew where that is needed.
func (t *transport) send(name string, s *sender) {
	var again time.Time // not connected to earlier
	close := func() {
		t.mu.Lock()
		c := s.conn
		s.conn = nil
		t.mu.Unlock()
		if c != nil {
			_ = t.drop(c)
		}
	}
	defer close()
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		var b []byte
		select {
		case <-t.ctx.Done():
			return
		case <-timer.C:
			close()
			timer.Reset(idle)
			continue
		case b = <-s.queue:
			timer.Reset(idle)
		}
		t.mu.Lock()
		c := s.conn
		t.mu.Unlock()
		if c == nil {
			if time.Now().Before(again) {
				continue
			}
			dialed, err := t.dial(name, packets, t.silence)
			if err != nil {
				again = time.Now().Add(t.silence / 8)
				continue
			}
			c = dialed
			t.mu.Lock()
			s.conn = c
			t.mu.Unlock()
		}
		_ = c.SetWriteDeadline(time.Now().Add(t.silence))
		if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)); err != nil {
			close()
		}
	}
}

func (t *transport) dial(name string, what byte, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, within)
	defer cancel()
	c, err := t.net.Dial(ctx, name, peertransport.KindMembership)
	if err != nil {
		return nil, err
	}
	if !t.keep(c) {
		return nil, net.ErrClosed
	}
	_ = c.SetWriteDeadline(time.Now().Add(within))
	if _, err := c.Write([]byte{what}); err != nil {
		_ = t.drop(c)
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Time{})
	return c, nil
}

// renew closes the kept connection to a member, so that the next packet goes over a new one: where a link was cut, what
// the kernel repeats on the old one would come late.
func (t *transport) renew(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.to[name]; s != nil && s.conn != nil {
		_ = s.conn.Close()
	}
}

// FinalAdvertiseAddr tells what stands for this process's name.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return address(t.net.Self().Name), 1, nil
}

// WriteToAddress queues a packet; it is dropped where many wait already.
func (t *transport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	now := time.Now()
	if _, ok := t.net.Peer(to.Name); !ok {
		return now, fmt.Errorf("no process named %s", to.Name)
	}
	t.mu.Lock()
	s := t.to[to.Name]
	if s == nil && t.ctx.Err() == nil {
		s = &sender{queue: make(chan []byte, waiting)}
		t.to[to.Name] = s
		t.done.Go(func() { t.send(to.Name, s) })
	}
	t.mu.Unlock()
	if s == nil {
		return now, net.ErrClosed
	}
	select {
	case s.queue <- append([]byte(nil), b...):
	default:
	}
	return now, nil
}

// DialAddressTimeout opens a stream.
func (t *transport) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	c, err := t.dial(to.Name, stream, within)
	if err != nil {
		return nil, err
	}
	return &kept{c, t}, nil
}

// errNoName is for calls without a name; all of them have one, as RequireNodeNames is set.
var errNoName = errors.New("members are reached by name")

// WriteTo is not used.
func (t *transport) WriteTo([]byte, string) (time.Time, error) { return time.Time{}, errNoName }

// DialTimeout is not used.
func (t *transport) DialTimeout(string, time.Duration) (net.Conn, error) { return nil, errNoName }

// PacketCh has the packets that came.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh has the streams that came.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes all connections and waits for the transport's goroutines.
func (t *transport) Shutdown() error {
	t.mu.Lock()
	t.stop()
	for c := range t.open {
		_ = c.Close()
	}
	t.mu.Unlock()
	_ = t.net.Listener(peertransport.KindMembership).Close()
	t.done.Wait()
	return nil
}
