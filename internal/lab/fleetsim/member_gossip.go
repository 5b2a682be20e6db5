package fleetsim

import (
	"silvercove/internal/membership"
	"silvercove/internal/overload"
	"silvercove/internal/tick"
)

// update is a piece of gossip: a record of a member, a report that a member is down, or a report that a member is up after all.
type update struct {
	member int
	raw    []byte
	record *membership.Record // decoded from raw
	isDown bool
	isUp   bool
	since  tick.Tick
}

// size returns the bytes of the update in a packet.
func (w *update) size() int { return updateOverheadBytes + len(w.raw) }

// newestSlot returns the index in member.newest for updates of the same member and kind. Records are one kind, and reports that
// a member is down or up are the other.
func (w *update) newestSlot() int {
	if w.raw == nil {
		return 2*w.member + 1
	}
	return 2 * w.member
}

// publish queues the member's own record as gossip.
func (m *member) publish() {
	raw := m.table.OwnRecord()
	r, err := membership.DecodeRecord(raw)
	if err != nil {
		m.group.fleet.checker.fail("%s cannot decode its own record: %v", m.endpoint.name, err)
	}
	m.ownRecord = &update{member: m.id, raw: raw, record: &r}
	m.enqueue(m.ownRecord)
}

// enqueue queues an update as gossip. The update supersedes an earlier one of the same member and kind.
func (m *member) enqueue(w *update) {
	m.newest[w.newestSlot()] = w
	m.queue[0] = append(m.queue[0], w)
}

// packet returns the updates for the next packet to one member, and their size in bytes. The updates that were sent the fewest
// times come first.
func (m *member) packet() (updates []*update, size int) {
	var tierEnds [maxTiers]int // by tier of the queue: length of the slice updates once the updates of this tier are added; the last loop of the function moves the sent updates of each tier to the next tier
	for i := range m.group.maxTransmissions {
		q := m.queue[i]
		n := 0
		for ; n < len(q); n++ {
			w := q[n]
			if m.newest[w.newestSlot()] != w {
				continue // a later update supersedes this one
			}
			if size+w.size() > maxPacketBytes {
				break
			}
			size += w.size()
			updates = append(updates, w)
		}
		tierEnds[i] = len(updates)
		if m.queue[i] = q[n:]; n < len(q) {
			for j := i + 1; j < m.group.maxTransmissions; j++ {
				tierEnds[j] = len(updates)
			}
			break // the packet is full: the updates of later tiers wait
		}
		m.queue[i] = q[:0]
	}
	from := 0
	for i, to := range tierEnds[:m.group.maxTransmissions] {
		if i+1 < m.group.maxTransmissions {
			m.queue[i+1] = append(m.queue[i+1], updates[from:to]...)
		}
		from = to
	}
	return updates, size
}

// gossip sends queued updates to gossipFanOut random members, and schedules the next round.
func (m *member) gossip() {
	c := m.group
	c.fleet.after(c.timeout/gossipsPerTimeout, m.gossip)
	if !m.isRunning() {
		return
	}
	for range gossipFanOut {
		o := m.randomPeer()
		if o == nil {
			return
		}
		updates, size := m.packet()
		if len(updates) == 0 {
			return
		}
		m.send(o, size, func() {
			for _, w := range updates {
				o.receive(w)
			}
		})
	}
}

// receive merges an update and gossips it further if it is new.
func (m *member) receive(w *update) {
	f, name := m.group.fleet, m.group.members[w.member].endpoint.name
	if w.raw != nil {
		if old := m.records[w.member]; old != nil && &old.raw[0] == &w.raw[0] {
			return // the member already has the same bytes, which the table would reject with membership.ErrStale
		}
		if m.table.MergeDecoded(f.now, *w.record, w.raw) != nil {
			return
		}
		m.records[w.member] = w
		m.enqueue(w)
		if m.relay != nil && m.group.members[w.member].relay != nil {
			m.updateRelayPeer(name)
		}
		return
	}
	seen, known := m.table.Member(name)
	switch {
	case name == m.endpoint.name: // the update is about this member: if it reports this member down, this member reports itself up
		if w.isDown && f.now-m.lastRefuted > m.group.timeout {
			m.lastRefuted = f.now
			m.enqueue(&update{member: w.member, isUp: true, since: f.now})
		}
	case !known || seen.LastHeard > w.since:
	case w.isDown && seen.State != membership.StateDead:
		m.table.MarkDown(f.now, name, false)
		m.enqueue(w)
	case w.isUp && seen.State == membership.StateDead:
		m.table.MarkUp(f.now, name)
		m.enqueue(w)
	}
}

// updateRelayPeer passes the load report of another relay to the overload manager, as the process of a relay does.
func (m *member) updateRelayPeer(name string) {
	seen, _ := m.table.Member(name)
	if data := seen.Payloads["overload"]; data != nil {
		if report, err := overload.DecodeReport(data); err == nil {
			m.relay.overload.UpdatePeer(m.relay.now(), overload.PeerUpdate{
				Name:        name,
				Incarnation: seen.Incarnation,
				Report:      report,
				Age:         m.group.fleet.now - seen.LastHeard,
				State:       overload.PeerState(seen.State),
			})
		}
	}
}
