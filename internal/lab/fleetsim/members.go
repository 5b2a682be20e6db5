package fleetsim

import (
	"math"
	"math/bits"
	"math/rand/v2"

	"silvercove/internal/membership"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// What stands in for the library of membership. Tables decide (membership.Table: whom to probe, what is new, who is dead, cut
// or slow, how often the own record is gossiped; membership.SyncCount: full states); here their updates travel in packets.
const (
	gossipFanOut        = 3  // members that one sends a packet to at a time, drawn from those it does not hold to be gone
	gossipsPerTimeout   = 10 // times within a silence
	maxPacketBytes      = 16 << 10
	updateOverheadBytes = 8 // bytes beside a record
	pingBytes           = 60
	maxTiers            = 16 // at least the times that an update is passed on
	timeoutsPerSync     = 10 // silences between two full states with any other member, more in large fleets
	maxProbes           = 16 // under way
)

// memberGroup is the fleet's members.
type memberGroup struct {
	fleet            *Fleet
	rng              *rand.Rand // its own: a fleet without members is played the same
	members          []*member  // by node; old copies at the end
	byName           map[string]*member
	timeout          tick.Tick
	maxTransmissions int // times that an update is passed on by one member
	onChange         func(m *member, seen membership.Member)

	Messages, Bytes             int // that were sent
	secondMessages, secondBytes int // in the current second
	WorstMessages, WorstOne     int // in one second: of all; bytes of one member, sent and received
	WorstBytes                  int
}

// member is a process as one of the fleet's members.
type member struct {
	group       *memberGroup
	id          int
	endpoint    *endpoint
	role        string
	diskWiped   bool
	replyDelay  tick.Tick // by which its answers come late
	condition   func() (down, frozen bool)
	relay       *relay // of one
	running     bool
	incarnation uint64
	stopped     bool
	starts      uint64 // counts starts, also those of one run
	table       *membership.Table
	queue       [maxTiers + 1][]*update // by the times that they were passed on
	newest      []*update               // the newest record of each member, and the newest of it being down or up
	records     []*update               // the newest record of each, as the table has them
	ownRecord   *update
	probing     map[string]bool
	lastRefuted tick.Tick
	bytes       int // in the current second
	worstSecond int
}

// addMembers makes each process a member.
func (f *Fleet) addMembers() {
	c := &memberGroup{fleet: f, rng: rand.New(rand.NewPCG(f.seed, 0x3e3be5)), byName: map[string]*member{},
		timeout: tick.Tick(f.MembershipTimeout * float64(tick.Second))}
	f.members = c
	for _, k := range f.cluster.controllers {
		c.add(k.endpoint, "keeper").condition = func() (bool, bool) { return k.downCount > 0, false }
	}
	for _, u := range f.nodes {
		c.add(u.endpoint, "edge").condition = func() (bool, bool) { return u.downCount > 0, u.stalls > 0 }
	}
	for _, r := range f.relays {
		m := c.add(r.endpoint, "relay")
		m.condition, m.relay = func() (bool, bool) { return r.downCount > 0, false }, r
		r.member = m
	}
	c.maxTransmissions = min(maxTiers, 3*int(math.Ceil(math.Log10(float64(len(c.members)+1)))))
	for _, m := range c.members {
		m.start(m.incarnation+1, true)
		f.after(tick.Tick(c.rng.Int64N(int64(c.timeout))), m.heartbeat)
		f.after(tick.Tick(c.rng.Int64N(int64(c.timeout))), m.gossip)
		f.after(tick.Tick(c.rng.Int64N(int64(c.timeout))), m.probe)
		f.after(tick.Tick(c.rng.Int64N(int64(c.timeout))), m.rejoin)
		f.after(tick.Tick(c.rng.Int64N(int64(c.syncInterval()))), m.syncRandom)
	}
	f.after(tick.Second, c.closeSecond)
}

func (c *memberGroup) add(n *endpoint, role string) *member {
	m := &member{group: c, id: len(c.members), endpoint: n, role: role, running: true}
	c.members = append(c.members, m)
	c.byName[n.name] = m
	return m
}

// syncInterval is as the library has it: fewer full states in fleets of more than 32.
func (c *memberGroup) syncInterval() tick.Tick {
	return timeoutsPerSync * c.timeout * tick.Tick(1+max(0, bits.Len(uint(len(c.members)-1))-5))
}

// closeSecond closes the counts of a second.
func (c *memberGroup) closeSecond() {
	c.WorstMessages, c.WorstBytes = max(c.WorstMessages, c.secondMessages), max(c.WorstBytes, c.secondBytes)
	c.secondMessages, c.secondBytes = 0, 0
	for _, m := range c.members {
		m.worstSecond, m.bytes = max(m.worstSecond, m.bytes), 0
		c.WorstOne = max(c.WorstOne, m.worstSecond)
	}
	c.fleet.after(tick.Second, c.closeSecond)
}

// resetCounts begins the counts anew.
func (c *memberGroup) resetCounts() {
	c.Messages, c.Bytes, c.WorstMessages, c.WorstBytes, c.WorstOne, c.secondMessages, c.secondBytes = 0, 0, 0, 0, 0, 0, 0
	for _, m := range c.members {
		m.worstSecond, m.bytes = 0, 0
	}
}

// start begins a process of the member: its table knows the others by its file alone.
func (m *member) start(incarnation uint64, fresh bool) {
	c := m.group
	zone := func(n *endpoint) string {
		if n.zone == nil {
			return ""
		}
		return n.zone.name
	}
	var others []membership.Record
	for _, o := range c.members {
		if o.endpoint != m.endpoint {
			others = append(others, membership.Record{Name: o.endpoint.name, Role: o.role, Zone: zone(o.endpoint)})
		}
	}
	m.incarnation, m.running, m.starts = incarnation, true, m.starts+1
	m.table = membership.NewTable(c.fleet.now, membership.Record{Name: m.endpoint.name, Role: m.role, Zone: zone(m.endpoint), Incarnation: incarnation, StartedEmpty: fresh},
		others, map[string]any{"fleet.silence": c.fleet.MembershipTimeout})
	m.queue, m.newest, m.records, m.probing = [maxTiers + 1][]*update{}, make([]*update, 2*len(c.members)), make([]*update, len(c.members)), map[string]bool{}
	m.publish()
	for range 3 { // the first full states
		m.syncWith(c.members[c.rng.IntN(len(c.members))])
	}
}

// isRunning reports whether the process answers; one that is back is started again with what its disk has.
func (m *member) isRunning() bool {
	down, frozen := m.condition()
	switch {
	case m.stopped:
		return false
	case down:
		m.running = false
	case !m.running:
		m.start(m.incarnation+1, m.diskWiped)
		m.diskWiped = false
	}
	return m.running && !frozen
}

// send brings something to another member's process and counts it.
func (m *member) send(o *member, size int, do func()) {
	c := m.group
	c.Messages, c.Bytes, c.secondMessages, c.secondBytes, m.bytes = c.Messages+1, c.Bytes+size, c.secondMessages+1, c.secondBytes+size, m.bytes+size
	c.fleet.send(m.endpoint, o.endpoint, size, func() {
		if o.bytes += size; o.isRunning() {
			do()
		}
	})
}

// heartbeat is what a process does each eighth of a silence: it reassesses its table, publishes its record and probes.
func (m *member) heartbeat() {
	c, f := m.group, m.group.fleet
	f.after(m.table.ProbeInterval(), m.heartbeat)
	if !m.isRunning() {
		return
	}
	m.table.Reassess(f.now)
	if m.table.Heartbeat(f.now) {
		m.publish()
	}
	for _, name := range m.table.ProbeTargets() {
		if len(m.probing) >= maxProbes || m.probing[name] {
			continue
		}
		m.probing[name] = true
		m.ping(c.byName[name])
	}
	for _, seen := range m.table.Changes() {
		if c.onChange != nil {
			c.onChange(m, seen)
		}
		if m.relay != nil && seen.Role == "relay" {
			m.updateRelayPeer(seen.Name)
		}
		if f.KeepTimeline {
			f.logEvent(testcluster.Event{Node: m.endpoint.name, Name: "member", To: seen.Name, State: string(seen.State)})
		}
	}
}

// randomPeer is any other member that this one does not hold to be gone.
func (m *member) randomPeer() *member {
	for range 8 {
		o := m.group.members[m.group.rng.IntN(len(m.group.members))]
		if seen, known := m.table.Member(o.endpoint.name); known && o != m && seen.State != membership.StateDead && seen.State != membership.StateLeft {
			return o
		}
	}
	return nil
}

// stateSeen is the state of a member in another one's sight.
func (c *memberGroup) stateSeen(m *member, name string) membership.State {
	seen, _ := m.table.Member(name)
	return seen.State
}

// startOldCopy runs an old copy of a member's process at its address.
func (c *memberGroup) startOldCopy(m *member, incarnation uint64) *member {
	v := &member{group: c, id: m.id, endpoint: m.endpoint, role: m.role, running: true, condition: m.condition}
	v.start(incarnation, false)
	f := c.fleet
	f.after(1, v.heartbeat)
	f.after(1, v.gossip)
	return v
}
