package fleetsim

import (
	"math"
	"math/bits"
	"math/rand/v2"

	"silvercove/internal/membership"
	"silvercove/internal/overload"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// What stands in for the library of membership. Tables decide (members.Table: whom to ask, what is news, who is dead, cut
// or slow, how often own news is told; members.Rejoins: whole states); their news travel as here, by words in packets.
const (
	fanOut     = 3  // members that one sends a packet to at a time, drawn from those it does not hold to be gone
	gossips    = 10 // times within a silence
	mostPacket = 16 << 10
	perWord    = 8 // bytes beside a record
	pingBytes  = 60
	tiers      = 16 // at least the times that a word is passed on
	wholes     = 10 // silences between two whole states with any other member, more in large fleets
	pingsAt    = 16 // under way
)

// circle is the fleet's members.
type circle struct {
	f       *Fleet
	rng     *rand.Rand // its own: a fleet without members is played the same
	all     []*member  // by node; old copies at the end
	byName  map[string]*member
	silence tick.Tick
	passes  int // times that a word is passed on by one member
	look    func(m *member, seen membership.Member)

	Messages, Bytes         int // that were sent
	count, size             int // in the current second
	WorstMessages, WorstOne int // in one second: of all; bytes of one member, sent and received
	WorstBytes              int
}

// member is a process as one of the fleet's members.
type member struct {
	c       *circle
	id      int
	node    *node
	role    string
	fresh   bool
	lag     tick.Tick // by which its answers come late
	gone    func() (down, frozen bool)
	r       *relay // of one
	here    bool
	run     uint64
	ended   bool
	born    uint64 // counts starts, also those of one run
	table   *membership.Table
	queue   [tiers + 1][]*word // by the times that they were passed on
	words   []*word            // the newest record of each member, and the newest of it being down or up
	latest  []*word            // the newest record of each, as the table has them
	own     *word
	asked   map[string]bool
	refuted tick.Tick
	bytes   int // in the current second
	worst   int
}

// word is a record on its way to all, or that a member is down, or up after all.
type word struct {
	of    int
	raw   []byte
	read  *membership.Record // raw, read
	down  bool
	up    bool
	since tick.Tick
}

func (w *word) size() int { return perWord + len(w.raw) }

// slot is where the newest word of its member and kind is.
func (w *word) slot() int {
	if w.raw == nil {
		return 2*w.of + 1
	}
	return 2 * w.of
}

// addMembers makes each process a member.
func (f *Fleet) addMembers() {
	c := &circle{f: f, rng: rand.New(rand.NewPCG(f.seed, 0x3e3be5)), byName: map[string]*member{},
		silence: tick.Tick(f.Silence * float64(tick.Second))}
	f.circle = c
	for _, k := range f.keep.all {
		c.add(k.node, "keeper").gone = func() (bool, bool) { return k.down > 0, false }
	}
	for _, u := range f.units {
		c.add(u.node, "edge").gone = func() (bool, bool) { return u.down > 0, u.frozen > 0 }
	}
	for _, r := range f.relays {
		m := c.add(r.node, "relay")
		m.gone, m.r = func() (bool, bool) { return r.down > 0, false }, r
		r.member = m
	}
	c.passes = min(tiers, 3*int(math.Ceil(math.Log10(float64(len(c.all)+1)))))
	for _, m := range c.all {
		m.start(m.run+1, true)
		f.in(tick.Tick(c.rng.Int64N(int64(c.silence))), m.turn)
		f.in(tick.Tick(c.rng.Int64N(int64(c.silence))), m.gossip)
		f.in(tick.Tick(c.rng.Int64N(int64(c.silence))), m.probe)
		f.in(tick.Tick(c.rng.Int64N(int64(c.silence))), m.rejoin)
		f.in(tick.Tick(c.rng.Int64N(int64(c.wholeEvery()))), m.whole)
	}
	f.in(tick.Second, c.seconds)
}

func (c *circle) add(n *node, role string) *member {
	m := &member{c: c, id: len(c.all), node: n, role: role, here: true}
	c.all = append(c.all, m)
	c.byName[n.name] = m
	return m
}

// wholeEvery is as the library has it: fewer whole states in fleets of more than 32.
func (c *circle) wholeEvery() tick.Tick {
	return wholes * c.silence * tick.Tick(1+max(0, bits.Len(uint(len(c.all)-1))-5))
}

// seconds closes the counts of a second.
func (c *circle) seconds() {
	c.WorstMessages, c.WorstBytes = max(c.WorstMessages, c.count), max(c.WorstBytes, c.size)
	c.count, c.size = 0, 0
	for _, m := range c.all {
		m.worst, m.bytes = max(m.worst, m.bytes), 0
		c.WorstOne = max(c.WorstOne, m.worst)
	}
	c.f.in(tick.Second, c.seconds)
}

// forget begins the counts anew.
func (c *circle) forget() {
	c.Messages, c.Bytes, c.WorstMessages, c.WorstBytes, c.WorstOne, c.count, c.size = 0, 0, 0, 0, 0, 0, 0
	for _, m := range c.all {
		m.worst, m.bytes = 0, 0
	}
}

// start begins a process of the member: its table knows the others by its file alone.
func (m *member) start(run uint64, fresh bool) {
	c := m.c
	zone := func(n *node) string {
		if n.zone == nil {
			return ""
		}
		return n.zone.name
	}
	var others []membership.Record
	for _, o := range c.all {
		if o.node != m.node {
			others = append(others, membership.Record{Name: o.node.name, Role: o.role, Zone: zone(o.node)})
		}
	}
	m.run, m.here, m.born = run, true, m.born+1
	m.table = membership.NewTable(c.f.now, membership.Record{Name: m.node.name, Role: m.role, Zone: zone(m.node), Incarnation: run, StartedEmpty: fresh},
		others, map[string]any{"fleet.silence": c.f.Silence})
	m.queue, m.words, m.latest, m.asked = [tiers + 1][]*word{}, make([]*word, 2*len(c.all)), make([]*word, len(c.all)), map[string]bool{}
	m.tell()
	for range 3 { // the first whole states
		m.exchange(c.all[c.rng.IntN(len(c.all))])
	}
}

// runs tells whether the process answers; one that is back is started again with what its disk has.
func (m *member) runs() bool {
	down, frozen := m.gone()
	switch {
	case m.ended:
		return false
	case down:
		m.here = false
	case !m.here:
		m.start(m.run+1, m.fresh)
		m.fresh = false
	}
	return m.here && !frozen
}

// send brings something to another member's process and counts it.
func (m *member) send(o *member, size int, do func()) {
	c := m.c
	c.Messages, c.Bytes, c.count, c.size, m.bytes = c.Messages+1, c.Bytes+size, c.count+1, c.size+size, m.bytes+size
	c.f.ship(m.node, o.node, size, func() {
		if o.bytes += size; o.runs() {
			do()
		}
	})
}

// turn is what a process does each eighth of a silence: it judges, tells and asks.
func (m *member) turn() {
	c, f := m.c, m.c.f
	f.in(m.table.ProbeInterval(), m.turn)
	if !m.runs() {
		return
	}
	m.table.Reassess(f.now)
	if m.table.Heartbeat(f.now) {
		m.tell()
	}
	for _, name := range m.table.ProbeTargets() {
		if len(m.asked) >= pingsAt || m.asked[name] {
			continue
		}
		m.asked[name] = true
		m.ping(c.byName[name])
	}
	for _, seen := range m.table.Changes() {
		if c.look != nil {
			c.look(m, seen)
		}
		if m.r != nil && seen.Role == "relay" {
			m.relayed(seen.Name)
		}
		if f.Lines {
			f.say(testcluster.Event{Node: m.node.name, Name: "member", To: seen.Name, State: string(seen.State)})
		}
	}
}

// ping asks a member whether it is there.
func (m *member) ping(o *member) {
	f, name, born, sent, over := m.c.f, o.node.name, m.born, m.c.f.now, false
	ends := func(good bool) {
		if over || m.born != born {
			return
		}
		over = true
		delete(m.asked, name)
		if good {
			m.table.RecordReply(f.now, name, f.now-sent)
		} else {
			m.table.RecordTimeout(f.now, name)
		}
	}
	f.in(m.c.silence/2, func() { ends(false) })
	m.send(o, pingBytes, func() {
		f.in(o.lag, func() {
			o.send(m, pingBytes, func() { ends(true) })
		})
	})
}

// tell passes the own record on.
func (m *member) tell() {
	raw := m.table.OwnRecord()
	r, err := membership.DecodeRecord(raw)
	if err != nil {
		m.c.f.check.fail("%s can't read its own record: %v", m.node.name, err)
	}
	m.own = &word{of: m.id, raw: raw, read: &r}
	m.put(m.own)
}

// put has a word passed on from now on, in place of an earlier one of its member and kind.
func (m *member) put(w *word) {
	m.words[w.slot()] = w
	m.queue[0] = append(m.queue[0], w)
}

// packet is what goes to one member now: what was passed on the fewest times comes first.
func (m *member) packet() (some []*word, size int) {
	var taken [tiers]int // those that stay, of each tier in some
	for i := range m.c.passes {
		q := m.queue[i]
		n := 0
		for ; n < len(q); n++ {
			w := q[n]
			if m.words[w.slot()] != w {
				continue // a later one has taken its place
			}
			if size+w.size() > mostPacket {
				break
			}
			size += w.size()
			some = append(some, w)
		}
		taken[i] = len(some)
		if m.queue[i] = q[n:]; n < len(q) {
			for j := i + 1; j < m.c.passes; j++ {
				taken[j] = len(some)
			}
			break // it is full
		}
		m.queue[i] = q[:0]
	}
	from := 0
	for i, to := range taken[:m.c.passes] {
		if i+1 < m.c.passes {
			m.queue[i+1] = append(m.queue[i+1], some[from:to]...)
		}
		from = to
	}
	return some, size
}

// gossip passes words on to a few.
func (m *member) gossip() {
	c := m.c
	c.f.in(c.silence/gossips, m.gossip)
	if !m.runs() {
		return
	}
	for range fanOut {
		o := m.drawn()
		if o == nil {
			return
		}
		some, size := m.packet()
		if len(some) == 0 {
			return
		}
		m.send(o, size, func() {
			for _, w := range some {
				o.take(w)
			}
		})
	}
}

// drawn is any other member that this one does not hold to be gone.
func (m *member) drawn() *member {
	for range 8 {
		o := m.c.all[m.c.rng.IntN(len(m.c.all))]
		if seen, known := m.table.Member(o.node.name); known && o != m && seen.State != membership.StateDead && seen.State != membership.StateLeft {
			return o
		}
	}
	return nil
}

// take takes a word in and passes it on if it is news.
func (m *member) take(w *word) {
	f, name := m.c.f, m.c.all[w.of].node.name
	if w.raw != nil {
		if old := m.latest[w.of]; old != nil && &old.raw[0] == &w.raw[0] {
			return // the very bytes once more: members.ErrOld
		}
		if m.table.MergeDecoded(f.now, *w.read, w.raw) != nil {
			return
		}
		m.latest[w.of] = w
		m.put(w)
		if m.r != nil && m.c.all[w.of].r != nil {
			m.relayed(name)
		}
		return
	}
	seen, known := m.table.Member(name)
	switch {
	case name == m.node.name: // it lives
		if w.down && f.now-m.refuted > m.c.silence {
			m.refuted = f.now
			m.put(&word{of: w.of, up: true, since: f.now})
		}
	case !known || seen.LastHeard > w.since:
	case w.down && seen.State != membership.StateDead:
		m.table.MarkDown(f.now, name, false)
		m.put(w)
	case w.up && seen.State == membership.StateDead:
		m.table.MarkUp(f.now, name)
		m.put(w)
	}
}

// relayed hands another relay's news to what decides by it, as a relay's process does.
func (m *member) relayed(name string) {
	seen, _ := m.table.Member(name)
	if data := seen.Payloads["overload"]; data != nil {
		if told, err := overload.DecodeReport(data); err == nil {
			m.r.over.UpdatePeer(m.r.at(), overload.PeerUpdate{
				Name:        name,
				Incarnation: seen.Incarnation,
				Report:      told,
				Age:         m.c.f.now - seen.LastHeard,
				State:       overload.PeerState(seen.State),
			})
		}
	}
}

// probe is the library's look at one other member each silence: one that neither answers this process nor any of three
// others it asks, and of which nothing is heard, is told to be down.
func (m *member) probe() {
	c, f := m.c, m.c.f
	f.in(c.silence, m.probe)
	if !m.runs() {
		return
	}
	o := m.drawn()
	if o == nil {
		return
	}
	since, born, answered := f.now, m.born, false
	hears := func() { answered = true }
	m.send(o, pingBytes, func() { o.send(m, pingBytes, hears) })
	f.in(c.silence/2, func() {
		if answered || m.born != born || !m.runs() {
			return
		}
		for range 3 {
			if by := m.drawn(); by != nil && by != o {
				m.send(by, pingBytes, func() {
					by.send(o, pingBytes, func() { o.send(by, pingBytes, func() { by.send(m, pingBytes, hears) }) })
				})
			}
		}
		wait := c.silence * tick.Tick(2*math.Ceil(math.Log10(float64(len(c.all)+1))))
		f.in(wait, func() {
			seen, _ := m.table.Member(o.node.name)
			if answered || m.born != born || !m.runs() || seen.LastHeard > since || seen.State == membership.StateDead {
				return
			}
			m.table.MarkDown(f.now, o.node.name, false)
			m.put(&word{of: o.id, down: true, since: since})
		})
	})
}

// rejoin exchanges whole states with some of those that are held to be gone.
func (m *member) rejoin() {
	c, f := m.c, m.c.f
	f.in(c.silence, m.rejoin)
	if !m.runs() {
		return
	}
	var gone []*member
	for _, o := range c.all {
		if seen, known := m.table.Member(o.node.name); known && seen.State == membership.StateDead && o.node != m.node {
			gone = append(gone, o)
		}
	}
	n := membership.SyncCount(len(c.all)-len(gone), len(gone), c.rng.Float64())
	if f.flaw.rejoinAll {
		n = min(4, len(gone))
	}
	c.rng.Shuffle(len(gone), func(i, j int) { gone[i], gone[j] = gone[j], gone[i] })
	for _, o := range gone[:n] {
		m.exchange(o)
	}
}

// whole exchanges whole states with any other member, as the library does by itself.
func (m *member) whole() {
	m.c.f.in(m.c.wholeEvery(), m.whole)
	if m.runs() {
		if o := m.drawn(); o != nil {
			m.exchange(o)
		}
	}
}

// exchange has two members tell each other all that they know.
func (m *member) exchange(o *member) {
	if o == m || o.node == m.node {
		return
	}
	mine, size := m.state()
	born := m.born
	m.send(o, size, func() {
		theirs, size := o.state()
		for _, w := range mine {
			o.take(w)
		}
		o.send(m, size, func() {
			if m.born == born {
				for _, w := range theirs {
					m.take(w)
				}
			}
		})
	})
}

func (m *member) state() (all []*word, size int) {
	all = append(all, m.own)
	for _, w := range m.latest {
		if w != nil {
			all = append(all, w)
		}
	}
	for _, w := range all {
		size += w.size()
	}
	return all, size
}

// sees is the state of a member in another one's sight.
func (c *circle) sees(m *member, name string) membership.State {
	seen, _ := m.table.Member(name)
	return seen.State
}

// beside runs an old copy of a member's process at its address.
func (c *circle) beside(m *member, run uint64) *member {
	v := &member{c: c, id: m.id, node: m.node, role: m.role, here: true, gone: m.gone}
	v.start(run, false)
	f := c.f
	f.in(1, v.turn)
	f.in(1, v.gossip)
	return v
}
