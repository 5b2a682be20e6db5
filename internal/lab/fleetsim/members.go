package fleetsim

import (
	"math"
	"math/bits"
	"math/rand/v2"

	"silvercove/internal/membership"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// Constants of the simulated membership library, which carries the updates in packets. The decisions are made by the same code
// as in real processes. membership.Table decides which members to probe, which updates are new, which members are dead,
// unreachable or slow, and how often a member's own record is gossiped. membership.SyncCount decides on the exchanges of full
// states.
const (
	gossipFanOut        = 3  // number of members that get a packet in one round of gossip, drawn from the members that the sender does not consider dead or left
	gossipsPerTimeout   = 10 // rounds of gossip per silence timeout
	maxPacketBytes      = 16 << 10
	updateOverheadBytes = 8 // size of an update without its record, in bytes
	pingBytes           = 60
	maxTiers            = 16 // upper limit of memberGroup.maxTransmissions
	timeoutsPerSync     = 10 // number of silence timeouts between two exchanges of full states with a random member; more in large fleets (see syncInterval)
	maxProbes           = 16 // maximum number of pings that a member has under way
)

// memberGroup is the group of all members of the fleet.
type memberGroup struct {
	fleet            *Fleet
	rng              *rand.Rand // random source of the members' own choices; only the delays and losses of their messages use Fleet.rng
	members          []*member  // controllers, nodes and relays, by id
	byName           map[string]*member
	timeout          tick.Tick
	maxTransmissions int // number of times that a member sends each update
	onChange         func(m *member, seen membership.Member)

	Messages, Bytes             int // number of messages and bytes that all members have sent since resetCounts
	secondMessages, secondBytes int // number of messages and bytes that all members have sent in the current second
	WorstMessages, WorstOne     int // WorstMessages: maximum number of messages that all members sent in one second; WorstOne: maximum number of bytes, sent plus received, of one member in one second
	WorstBytes                  int // maximum over all seconds of the bytes that all members sent
}

// member is a process of the fleet as a member of the group.
type member struct {
	group       *memberGroup
	id          int
	endpoint    *endpoint
	role        string
	diskWiped   bool                       // the process will next start with an empty disk
	replyDelay  tick.Tick                  // delay that a test adds to the member's replies to pings
	condition   func() (down, frozen bool) // reports whether the process is down or stalled
	relay       *relay                     // nil: the member is not a relay
	running     bool
	incarnation uint64
	stopped     bool   // the process has ended for good
	starts      uint64 // number of starts, including starts with the same incarnation
	table       *membership.Table
	queue       [maxTiers + 1][]*update // queued updates by tier: tier i holds those that were sent i times
	newest      []*update               // newest record of each member, and newest report that the member is down or up; see update.newestSlot
	records     []*update               // by member id: newest record that the table has merged; nil: none
	ownRecord   *update
	probing     map[string]bool
	lastRefuted tick.Tick // last time at which this member refuted a report that it is down
	bytes       int       // bytes that the member has sent and received in the current second
	worstSecond int       // maximum of the field bytes over all seconds
}

// addMembers adds each process of the fleet as a member.
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

// syncInterval returns the time between two exchanges of full states with a random member. As in the library, the time is
// longer in fleets of more than 32 members.
func (c *memberGroup) syncInterval() tick.Tick {
	return timeoutsPerSync * c.timeout * tick.Tick(1+max(0, bits.Len(uint(len(c.members)-1))-5))
}

// closeSecond updates the maxima at the end of a second and resets the counts of the second.
func (c *memberGroup) closeSecond() {
	c.WorstMessages, c.WorstBytes = max(c.WorstMessages, c.secondMessages), max(c.WorstBytes, c.secondBytes)
	c.secondMessages, c.secondBytes = 0, 0
	for _, m := range c.members {
		m.worstSecond, m.bytes = max(m.worstSecond, m.bytes), 0
		c.WorstOne = max(c.WorstOne, m.worstSecond)
	}
	c.fleet.after(tick.Second, c.closeSecond)
}

// resetCounts resets all counts and maxima.
func (c *memberGroup) resetCounts() {
	c.Messages, c.Bytes, c.WorstMessages, c.WorstBytes, c.WorstOne, c.secondMessages, c.secondBytes = 0, 0, 0, 0, 0, 0, 0
	for _, m := range c.members {
		m.worstSecond, m.bytes = 0, 0
	}
}

// start starts a process of the member. At first its table knows only the names, roles and zones of the other members, as a
// real process knows them from its configuration file. fresh tells whether the process starts with an empty disk.
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
	for range 3 { // the process exchanges full states with three random members
		m.syncWith(c.members[c.rng.IntN(len(c.members))])
	}
}

// isRunning reports whether the process answers. A process that has ended or is stalled does not. If the fault that ended the
// process is over, isRunning first starts the process again.
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

// send sends a message of size bytes to another member, and counts the message and its bytes. The member that receives it runs
// do.
func (m *member) send(o *member, size int, do func()) {
	c := m.group
	c.Messages, c.Bytes, c.secondMessages, c.secondBytes, m.bytes = c.Messages+1, c.Bytes+size, c.secondMessages+1, c.secondBytes+size, m.bytes+size
	c.fleet.send(m.endpoint, o.endpoint, size, func() {
		if o.bytes += size; o.isRunning() {
			do()
		}
	})
}

// heartbeat runs each eighth of a silence timeout, as in a real process. It reassesses the states in the table, publishes the
// member's own record if the record is due, and pings members.
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

// randomPeer draws up to 8 random members. It returns the first one other than m that m does not consider dead or left, or nil
// if there is none.
func (m *member) randomPeer() *member {
	for range 8 {
		o := m.group.members[m.group.rng.IntN(len(m.group.members))]
		if seen, known := m.table.Member(o.endpoint.name); known && o != m && seen.State != membership.StateDead && seen.State != membership.StateLeft {
			return o
		}
	}
	return nil
}

// stateSeen returns the state of the named member as member m sees it.
func (c *memberGroup) stateSeen(m *member, name string) membership.State {
	seen, _ := m.table.Member(name)
	return seen.State
}

// startOldCopy starts a second process of a member, with an earlier incarnation and the same address, while the current process
// runs.
func (c *memberGroup) startOldCopy(m *member, incarnation uint64) *member {
	v := &member{group: c, id: m.id, endpoint: m.endpoint, role: m.role, running: true, condition: m.condition}
	v.start(incarnation, false)
	f := c.fleet
	f.after(1, v.heartbeat)
	f.after(1, v.gossip)
	return v
}
