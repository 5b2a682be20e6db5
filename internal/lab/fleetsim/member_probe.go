package fleetsim

import (
	"math"

	"silvercove/internal/membership"
	"silvercove/internal/tick"
)

// ping sends a ping to a member. It records in the table whether a reply arrived within half a silence timeout.
func (m *member) ping(o *member) {
	f, name, starts, sent, finished := m.group.fleet, o.endpoint.name, m.starts, m.group.fleet.now, false
	finish := func(good bool) {
		if finished || m.starts != starts {
			return
		}
		finished = true
		delete(m.probing, name)
		if good {
			m.table.RecordReply(f.now, name, f.now-sent)
		} else {
			m.table.RecordTimeout(f.now, name)
		}
	}
	f.after(m.group.timeout/2, func() { finish(false) })
	m.send(o, pingBytes, func() {
		f.after(o.replyDelay, func() {
			o.send(m, pingBytes, func() { finish(true) })
		})
	})
}

// probe simulates the failure detector of the membership library, which pings one random member per silence timeout. If the
// member does not answer, up to three other members ping it as well. The member is reported down if no answer to any of these
// pings arrives in time and nothing else is received from it.
func (m *member) probe() {
	c, f := m.group, m.group.fleet
	f.after(c.timeout, m.probe)
	if !m.isRunning() {
		return
	}
	o := m.randomPeer()
	if o == nil {
		return
	}
	since, starts, answered := f.now, m.starts, false
	onReply := func() { answered = true }
	m.send(o, pingBytes, func() { o.send(m, pingBytes, onReply) })
	f.after(c.timeout/2, func() {
		if answered || m.starts != starts || !m.isRunning() {
			return
		}
		for range 3 {
			if helper := m.randomPeer(); helper != nil && helper != o {
				m.send(helper, pingBytes, func() {
					helper.send(o, pingBytes, func() { o.send(helper, pingBytes, func() { helper.send(m, pingBytes, onReply) }) })
				})
			}
		}
		wait := c.timeout * tick.Tick(2*math.Ceil(math.Log10(float64(len(c.members)+1))))
		f.after(wait, func() {
			seen, _ := m.table.Member(o.endpoint.name)
			if answered || m.starts != starts || !m.isRunning() || seen.LastHeard > since || seen.State == membership.StateDead {
				return
			}
			m.table.MarkDown(f.now, o.endpoint.name, false)
			m.enqueue(&update{member: o.id, isDown: true, since: since})
		})
	})
}
