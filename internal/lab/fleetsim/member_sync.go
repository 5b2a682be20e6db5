package fleetsim

import (
	"silvercove/internal/membership"
)

// rejoin exchanges full states with members that m considers dead. membership.SyncCount determines the number of these
// exchanges.
func (m *member) rejoin() {
	c, f := m.group, m.group.fleet
	f.after(c.timeout, m.rejoin)
	if !m.isRunning() {
		return
	}
	var dead []*member
	for _, o := range c.members {
		if seen, known := m.table.Member(o.endpoint.name); known && seen.State == membership.StateDead && o.endpoint != m.endpoint {
			dead = append(dead, o)
		}
	}
	n := membership.SyncCount(len(c.members)-len(dead), len(dead), c.rng.Float64())
	if f.disabled.rejoinAll {
		n = min(4, len(dead))
	}
	c.rng.Shuffle(len(dead), func(i, j int) { dead[i], dead[j] = dead[j], dead[i] })
	for _, o := range dead[:n] {
		m.syncWith(o)
	}
}

// syncRandom exchanges full states with a random member, as the membership library does in each process.
func (m *member) syncRandom() {
	m.group.fleet.after(m.group.syncInterval(), m.syncRandom)
	if m.isRunning() {
		if o := m.randomPeer(); o != nil {
			m.syncWith(o)
		}
	}
}

// syncWith exchanges full states between two members.
func (m *member) syncWith(o *member) {
	if o == m || o.endpoint == m.endpoint {
		return
	}
	mine, size := m.fullState()
	starts := m.starts
	m.send(o, size, func() {
		theirs, size := o.fullState()
		for _, w := range mine {
			o.receive(w)
		}
		o.send(m, size, func() {
			if m.starts == starts {
				for _, w := range theirs {
					m.receive(w)
				}
			}
		})
	})
}

// fullState returns the member's own record and the records of all other members that it has received, and their size in bytes.
func (m *member) fullState() (all []*update, size int) {
	all = append(all, m.ownRecord)
	for _, w := range m.records {
		if w != nil {
			all = append(all, w)
		}
	}
	for _, w := range all {
		size += w.size()
	}
	return all, size
}
