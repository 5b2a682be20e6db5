package fleetsim

import (
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// Send implements replica.Host, as Propose, Respond and Notify do. It sends a message to another node. If faults make the
// sender's link lose messages, one message in eight is sent twice.
func (u *edgeNode) Send(to string, m replica.Message) {
	f, from := u.fleet, u
	v := f.nodeByName[to]
	if m.ReplyTo != 0 { // a reply goes to the process that sent the message, which may be a duplicate
		v, m.ReplyTo = f.nodes[m.ReplyTo-1], 0
	} else if m.Kind == replica.MessageCatchUp || m.Kind == replica.MessageAppend || m.Kind == replica.MessageFinalAppend {
		m.ReplyTo = uint64(u.id) + 1
	}
	if v == nil {
		return
	}
	if f.disabled.ackWithoutReplicas && m.ReplyTo == uint64(u.id)+1 {
		end, sum, incarnation := m.PrevIndex, m.PrevChecksum, u.incarnation
		if n := len(m.Entries); n > 0 {
			end, sum = m.Entries[n-1].Index, m.Entries[n-1].Checksum
		}
		f.after(0, func() {
			u.deliver(incarnation, func() {
				u.manager.OnMessage(u.now(), to, replica.Message{Version: 1, Kind: replica.MessageAck, Instance: m.Instance,
					Epoch: m.Epoch, SenderIncarnation: 1 << 60, Index: end, Checksum: sum})
			})
		})
	}
	if u.laterVersion > 0 && v.laterVersion == 0 {
		m.Version++
	}
	size := 200 + 100*len(m.Entries)
	incarnation := v.incarnation
	deliverCopy := func() {
		v := v
		got := m
		got.Entries = slices.Clone(m.Entries)
		if m.Kind == replica.MessageCatchUp || m.Kind == replica.MessageAppend || m.Kind == replica.MessageFinalAppend {
			v = v.activeProcess()
			incarnation = v.incarnation
		}
		v.deliver(incarnation, func() { v.manager.OnMessage(v.now(), from.name, got) })
	}
	f.send(u.endpoint, v.endpoint, size, deliverCopy)
	if u.endpoint.lossRate > 0 && f.rng.IntN(8) == 0 { // the message is duplicated
		f.send(u.endpoint, v.endpoint, size, deliverCopy)
	}
}

// Propose proposes an operation to the controllers and passes the result to the manager.
func (u *edgeNode) Propose(e placement.Operation) {
	incarnation := u.incarnation
	u.fleet.cluster.proposeOperation(u.endpoint, e, func(p placement.Assignment, err error) {
		u.deliver(incarnation, func() {
			if p.Instance != "" {
				u.manager.OnAssignment(u.now(), p)
			}
			if err != nil {
				u.manager.OnProposalRefused(u.now(), e, err)
			}
		})
	})
}

// Respond sends the response to a request at this node. A second response to the same request fails the run.
func (u *edgeNode) Respond(c *replica.Request, a replica.Response) {
	s := u.requests[c]
	if s == nil {
		u.fleet.checker.fail("a request at %s was answered twice: %+v", u.displayName, a)
		return
	}
	delete(u.requests, c)
	s.respond(a)
}

// Notify records an event of the replica manager. A node that starts to serve a poisoned instance crashes after 0.5 s and is
// down for 1 s.
func (u *edgeNode) Notify(e replica.Event) {
	f := u.fleet
	if i := slices.Index(decisions, e.Kind); i > 0 && e.Instance != "" {
		p, _ := f.cluster.table.Get(e.Instance)
		f.recordDecision(e.Instance, uint8(i), p)
	}
	if e.Kind != "refused" {
		u.logEvent(e.Kind, e.Instance, e.Epoch, e.To, e.Reason)
	}
	switch e.Kind {
	case "acts":
		f.checker.onServing(u, e)
		if c := f.deviceByName[e.Instance]; c.poisoned && u.manager != nil {
			incarnation := u.incarnation
			f.after(tick.Second/2, func() {
				if u.incarnation == incarnation && c.poisoned {
					u.downCount++
					u.crash(false)
					f.after(tick.Second, func() { u.downCount--; u.start() })
				}
			})
		}
	case "stops":
		f.checker.onStopped(u, e)
	case "doubts":
		f.checker.onUnverified(u, e.Instance)
	}
}
