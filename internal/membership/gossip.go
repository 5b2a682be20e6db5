package membership

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/memberlist"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/peertransport"
)

const (
	maxPacketSize     = 16 << 10 // maximum size in bytes of a packet that the library sends
	retransmitFactor  = 3        // memberlist.Config.RetransmitMult: each record is sent n times, where n is this factor multiplied by the logarithm of the number of members
	initialSyncs      = 3        // number of members with which whole states are exchanged at the start
	concurrentSyncs   = 4
	minGossipInterval = 10 * time.Millisecond
	maxGossipInterval = 200 * time.Millisecond
	minStreamTimeout  = 500 * time.Millisecond
	placeholderPort   = 1 // port of the placeholder addresses, which are never dialled because members are reached by name
)

// gossipLibrary implements gossip with the memberlist library.
type gossipLibrary struct {
	list      *memberlist.Memberlist
	queue     *memberlist.TransmitLimitedQueue
	transport *transport
	events    gossipEvents
	self      string
}

// newGossip starts the library for a fleet with the given number of members.
func newGossip(n *peertransport.Network, silence time.Duration, members int, events gossipEvents) (gossip, error) {
	g := &gossipLibrary{transport: newTransport(n, silence), events: events, self: n.Self().Name}
	g.queue = &memberlist.TransmitLimitedQueue{
		NumNodes:       func() int { return members },
		RetransmitMult: retransmitFactor,
	}
	list, err := memberlist.Create(g.config(silence))
	if err != nil {
		_ = g.transport.Shutdown()
		return nil, err
	}
	g.list = list
	return g, nil
}

func (g *gossipLibrary) config(silence time.Duration) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = g.self
	c.Transport = g.transport
	c.RequireNodeNames = true
	c.AdvertiseAddr = ""
	c.AdvertisePort = placeholderPort
	c.ProbeInterval = silence
	c.ProbeTimeout = silence / 2
	c.SuspicionMult = 2
	c.SuspicionMaxTimeoutMult = 2
	c.AwarenessMaxMultiplier = 4
	c.GossipInterval = min(max(silence/10, minGossipInterval), maxGossipInterval)
	c.GossipToTheDeadTime = 4 * silence
	c.PushPullInterval = 10 * silence
	c.TCPTimeout = max(silence, minStreamTimeout)
	c.UDPBufferSize = maxPacketSize
	c.EnableCompression = false
	c.Delegate = g
	c.Events = g
	// The library's log is discarded, because its lines are plain text without the event field of this program's log
	// lines.
	c.Logger = log.New(io.Discard, "", 0)
	return c
}

// broadcast is a record on its way to all members. A later record of the same member replaces it in the queue.
type broadcast struct {
	name string
	raw  []byte
}

// Invalidates implements memberlist.Broadcast. It always returns false. The library's queue itself replaces a queued
// broadcast by a later one with the same Name.
func (b broadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Name implements memberlist.NamedBroadcast. It returns the name of the member that the record describes.
func (b broadcast) Name() string { return b.name }

// Message implements memberlist.Broadcast. It returns the encoded record.
func (b broadcast) Message() []byte { return b.raw }

// Finished implements memberlist.Broadcast and does nothing.
func (b broadcast) Finished() {}

// recordName returns the member's name in an encoded record, or "" if the record has no name.
func recordName(raw []byte) string {
	var r struct{ Name string }
	_ = json.Unmarshal(raw, &r)
	return r.Name
}

// Broadcast implements gossip.
func (g *gossipLibrary) Broadcast(name string, raw []byte) {
	g.queue.QueueBroadcast(broadcast{name, raw})
}

// Reconnect implements gossip.
func (g *gossipLibrary) Reconnect(name string) { g.transport.reconnect(name) }

// Leave implements gossip.
func (g *gossipLibrary) Leave(timeout time.Duration) { _ = g.list.Leave(timeout) }

// Close implements gossip.
func (g *gossipLibrary) Close() { _ = g.list.Shutdown() }

// Ping implements gossip.
func (g *gossipLibrary) Ping(name string) (time.Duration, error) {
	return g.list.Ping(name, memberAddr(name))
}

// Sync exchanges whole states with other members until the context ends. A whole state is all records that a member
// knows. Sync begins with initialSyncs members. The parameter every is the interval after which Sync goes on, each time
// with the next few of the members that the library does not consider alive (see SyncCount). The library itself does
// not contact such members, so without Sync a split would never heal.
func (g *gossipLibrary) Sync(ctx context.Context, names []string, every time.Duration) {
	g.syncAtStart(ctx, names)
	var group errgroup.Group
	group.SetLimit(concurrentSyncs)
	defer func() { _ = group.Wait() }() // always nil: no function in the group returns an error
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
		alive := map[string]bool{}
		for _, m := range g.list.Members() {
			alive[m.Name] = true
		}
		remaining := SyncCount(len(alive), len(names)+1-len(alive), rand.Float64())
		for range names {
			name := names[next%len(names)]
			if remaining == 0 {
				break
			}
			next++
			if alive[name] {
				continue
			}
			remaining--
			started := group.TryGo(func() error {
				_ = g.join(name) // an error is ignored: a member that does not answer is tried again at its next turn
				return nil
			})
			if !started {
				break // there are already concurrentSyncs exchanges under way
			}
		}
	}
}

func (g *gossipLibrary) syncAtStart(ctx context.Context, names []string) {
	reached := 0
	for _, name := range names {
		if reached >= initialSyncs || ctx.Err() != nil {
			return
		}
		if g.join(name) == nil {
			reached++
		}
	}
}

// join exchanges whole states with one member.
func (g *gossipLibrary) join(name string) error {
	_, err := g.list.Join([]string{name + "/" + memberAddr(name).String()})
	return err
}

// NodeMeta implements memberlist.Delegate. It returns nil, because members exchange records instead of metadata of
// the library.
func (g *gossipLibrary) NodeMeta(int) []byte { return nil }

// NotifyMsg implements memberlist.Delegate.
func (g *gossipLibrary) NotifyMsg(raw []byte) { g.events.onRecord(raw) }

// GetBroadcasts implements memberlist.Delegate.
func (g *gossipLibrary) GetBroadcasts(overhead, limit int) [][]byte {
	return g.queue.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate. It returns all records, each preceded by its length.
func (g *gossipLibrary) LocalState(bool) []byte {
	var state []byte
	for _, raw := range g.events.records() {
		state = binary.AppendUvarint(state, uint64(len(raw)))
		state = append(state, raw...)
	}
	return state
}

// MergeRemoteState implements memberlist.Delegate. It merges the records that another member's LocalState returned.
func (g *gossipLibrary) MergeRemoteState(state []byte, _ bool) {
	for len(state) > 0 {
		length, size := binary.Uvarint(state)
		if size <= 0 || length > uint64(len(state)-size) {
			return
		}
		end := size + int(length)
		g.events.onRecord(state[size:end])
		state = state[end:]
	}
}

// NotifyJoin implements memberlist.EventDelegate.
func (g *gossipLibrary) NotifyJoin(n *memberlist.Node) { g.events.onUp(n.Name) }

// NotifyUpdate implements memberlist.EventDelegate.
func (g *gossipLibrary) NotifyUpdate(n *memberlist.Node) { g.events.onUp(n.Name) }

// NotifyLeave implements memberlist.EventDelegate.
func (g *gossipLibrary) NotifyLeave(n *memberlist.Node) {
	g.events.onDown(n.Name, n.State == memberlist.StateLeft)
}

// memberAddr is the address that the library has for a member: only the member's name. Each process reaches a member at
// the address in its own configuration file, so no address is valid for all processes.
type memberAddr string

// Network implements net.Addr.
func (a memberAddr) Network() string { return "peers" }

// String implements net.Addr.
func (a memberAddr) String() string { return "[" + placeholderIP(string(a)).String() + "]:1" }

// uniqueLocalPrefix is the first byte of locally assigned IPv6 addresses, which are not routed on the Internet (RFC
// 4193).
const uniqueLocalPrefix = 0xfd

// placeholderIP derives an IP address from a member's name, for calls of the library that require an address. Nothing
// is ever sent to this address.
func placeholderIP(name string) net.IP {
	ip := make(net.IP, net.IPv6len)
	ip[0] = uniqueLocalPrefix
	binary.BigEndian.PutUint64(ip[8:], xxhash.Sum64String(name))
	return ip
}
