package replica

import (
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// pendingAck is a message of a primary that is answered once all pending writes are durable.
type pendingAck struct {
	to       string
	replyTo  uint64
	epoch    uint64
	index    uint64 // endIndex of the message
	checksum uint64
}

// OnMessage handles a message from another edge node.
func (m *Manager) OnMessage(now tick.Tick, from string, msg Message) {
	m.expireLease(now)
	if err := msg.Validate(); err != nil {
		if !msg.isAnswer() {
			m.host.Send(from, Message{Version: placement.FormatVersion, Kind: MessageRejected, Instance: msg.Instance,
				SenderIncarnation: m.incarnation, ReplyTo: msg.ReplyTo, Reason: err.Error()})
		}
		return
	}
	if !msg.isAnswer() {
		m.onAppend(now, from, &msg)
		return
	}
	if inst := m.instances[msg.Instance]; inst != nil && inst.assignment.known() {
		m.onAnswer(now, inst, from, &msg)
	}
}

// onAppend handles a message that a primary sent to a replica or to a copy target.
func (m *Manager) onAppend(now tick.Tick, from string, msg *Message) {
	inst := m.ensureInstance(msg.Instance)
	if epoch, stale := inst.isStale(from, msg.Epoch); stale {
		m.host.Send(from, m.answer(msg, MessageStaleEpoch, epoch, ""))
		return
	}
	inst.recovery.fencedEpoch = msg.Epoch
	if inst.assignment.known() && msg.Epoch > inst.assignment.agreed.Epoch && inst.serving.state != stopped {
		m.advance(now, inst) // stops serving: another node is primary in msg.Epoch, although its assignment has not arrived here yet
	}
	m.discardOrphan(inst)
	inst.lastUsed = now
	if inst.local.failed || now < m.diskFullUntil && len(msg.Entries) > 0 {
		m.host.Send(from, m.answer(msg, MessageRejected, msg.Epoch, diskFullReason))
		m.updateTracking(inst)
		return
	}
	if msg.ReceiverIncarnation == m.incarnation { // otherwise the message continues the log of an earlier incarnation, which may differ from this log, and is not applied
		if reason := m.applyEntries(inst, msg); reason != "" {
			m.host.Send(from, m.answer(msg, MessageRejected, msg.Epoch, reason))
			return
		}
		inst.checkComplete(msg)
	}
	inst.queueAck(pendingAck{to: from, replyTo: msg.ReplyTo, epoch: msg.Epoch, index: msg.endIndex(), checksum: msg.endChecksum()})
	m.sendPendingAcks(inst)
	m.updateTracking(inst)
}

// answer returns an answer to a message, without the state of the log.
func (m *Manager) answer(to *Message, kind string, epoch uint64, reason string) Message {
	return Message{Version: placement.FormatVersion, Kind: kind, Instance: to.Instance, Epoch: epoch,
		SenderIncarnation: m.incarnation, ReplyTo: to.ReplyTo, Reason: reason}
}

// isStale reports whether a message's epoch is earlier than the latest known one, or its sender is not the primary of
// that epoch. It also returns the latest known epoch.
func (inst *instance) isStale(from string, epoch uint64) (latest uint64, stale bool) {
	p := &inst.assignment.agreed
	latest = max(p.Epoch, inst.recovery.fencedEpoch)
	if inst.assignment.known() && epoch == p.Epoch && from != p.Primary {
		return latest, true
	}
	return latest, epoch < latest
}

// applyEntries appends the entries of a message that continue the log. If an entry would exceed the size limit, it
// returns the reason for refusing the message; otherwise it returns "".
func (m *Manager) applyEntries(inst *instance, msg *Message) (reason string) {
	m.prepareLog(inst, msg)
	l := &inst.local
	if !l.present || !l.log.matches(msg.PrevIndex, msg.PrevChecksum) {
		return ""
	}
	for _, e := range msg.Entries {
		if l.log.matches(e.Index, e.Checksum) {
			continue
		}
		if !l.log.IsNext(e) {
			return ""
		}
		if l.bytes+e.Size() > m.maxStateBytes+maxBatchBytes {
			return m.stateTooLarge()
		}
		m.appendEntry(inst, e)
	}
	return ""
}

// prepareLog begins a copy, or removes the entries that the primary's message replaces.
func (m *Manager) prepareLog(inst *instance, msg *Message) {
	l := &inst.local
	if !l.present && msg.PrevIndex == 0 && msg.PrevChecksum == 0 {
		m.resetLog(inst, 0, 0)
	}
	if !msg.Truncate {
		return
	}
	if !l.endsAt(msg.ReplacedIndex, msg.ReplacedChecksum) {
		if msg.Reset && !l.present {
			m.resetLog(inst, msg.PrevIndex, msg.PrevChecksum)
		}
		return
	}
	switch sharesPrev := l.log.matches(msg.PrevIndex, msg.PrevChecksum); {
	case msg.Reset && !sharesPrev:
		m.resetLog(inst, msg.PrevIndex, msg.PrevChecksum)
	case sharesPrev && l.log.LastIndex() > msg.PrevIndex && !l.containsAll(msg.Entries):
		m.truncateLog(inst, msg.PrevIndex)
	}
}

// checkComplete marks the copy as complete if msg shows that the copy has all entries of the primary.
func (inst *instance) checkComplete(msg *Message) {
	if !inst.recovery.incomplete && !inst.recovery.unverified {
		return
	}
	if inst.local.reaches(msg.LastIndex) && inst.local.log.matches(msg.endIndex(), msg.endChecksum()) {
		inst.recovery.markComplete(msg.Unverified)
	}
}

// queueAck queues the answer to a message until all pending writes are durable. If more than maxPendingAcks messages
// wait, the oldest stays unanswered.
func (inst *instance) queueAck(ack pendingAck) {
	inst.pendingAcks = append(inst.pendingAcks, ack)
	if len(inst.pendingAcks) > maxPendingAcks {
		inst.pendingAcks = inst.pendingAcks[1:]
	}
}

// sendPendingAcks answers the messages that wait for the disk. It does nothing as long as a write is pending.
func (m *Manager) sendPendingAcks(inst *instance) {
	if len(inst.local.pending) > 0 {
		return
	}
	log, r := &inst.local.log, &inst.recovery
	for _, ack := range inst.pendingAcks {
		msg := Message{Version: placement.FormatVersion, Kind: MessageAck, Instance: inst.name, Epoch: ack.epoch,
			SenderIncarnation: m.incarnation, ReplyTo: ack.replyTo, Index: log.LastIndex(), Checksum: log.Checksum(),
			ChecksumsFrom: log.BaseIndex,
			Unverified:    r.incomplete || (r.unverified || r.primaryAtStart) && m.disk != diskCurrent}
		if msg.Index != ack.index || msg.Checksum != ack.checksum {
			msg.Checksums = log.checksums()
		}
		m.host.Send(ack.to, msg)
	}
	inst.pendingAcks = nil
}

// rejectPendingAcks rejects the messages that wait for the disk.
func (m *Manager) rejectPendingAcks(inst *instance, reason string) {
	for _, ack := range inst.pendingAcks {
		m.host.Send(ack.to, Message{Version: placement.FormatVersion, Kind: MessageRejected, Instance: inst.name,
			Epoch: inst.assignment.agreed.Epoch, SenderIncarnation: m.incarnation, ReplyTo: ack.replyTo, Reason: reason})
	}
	inst.pendingAcks = nil
}
