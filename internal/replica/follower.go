package replica

import (
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// progressState says what a primary sends to a replica or to the copy target next, as in raft's Progress.
type progressState uint8

const (
	probing     progressState = iota // the node's current process has not answered yet: the node is asked for its last entry
	replicating                      // the node is sent the entries that follow its last one
	truncating                       // the node's entries after next differ from the primary's and are to be removed
	resetting                        // the node's whole log is to be replaced by the primary's log, which begins after the primary's BaseIndex
)

// String returns the name of the state.
func (s progressState) String() string {
	return [...]string{"probing", "replicating", "truncating", "resetting"}[s]
}

// followerProgress is what the primary knows of a replica or of the copy target. The zero value is in the state
// probing.
type followerProgress struct {
	state             progressState
	incarnation       uint64    // incarnation of the node's process, as last reported; 0 if the node has not answered
	next              uint64    // the node is assumed to have the entries up to this index; the next message continues from it
	match             uint64    // the node has confirmed the entries up to this index
	inFlight          bool      // the last message has not been answered yet
	sentAt            tick.Tick // when the last message was sent
	progressAt        tick.Tick // when the node last made progress or had nothing left to confirm
	announcementsLeft uint8     // number of answers until the node has answered the announcement of the last index, including that answer (see announceLog)

	// replacedIndex and replacedChecksum are the index and the checksum of the node's last entry when its log was found
	// to differ from the primary's. They are used in the states truncating and resetting.
	replacedIndex    uint64
	replacedChecksum uint64

	acksWithoutProgress int    // consecutive answers without progress
	rejection           string // reason of the node's last refusal, if any
}

// hasConfirmed reports whether the node has confirmed all entries up to index.
func (f *followerProgress) hasConfirmed(index uint64) bool {
	return f.match >= index && f.state != probing
}

// isIdle reports whether there is nothing to send to the node and no answer to wait for.
func (f *followerProgress) isIdle(durable uint64) bool {
	return f.state == replicating && !f.inFlight && f.announcementsLeft == 0 && f.match >= durable && f.next >= durable
}

// needsMessage reports whether the node is to be sent a message now. A message without an answer is followed by another
// one after retryAfter.
func (f *followerProgress) needsMessage(now, retryAfter tick.Tick, durable uint64) bool {
	if f.inFlight && now-f.sentAt < retryAfter {
		return false
	}
	upToDate := f.state == replicating && f.announcementsLeft == 0 && f.match >= durable && f.next >= durable
	return !upToDate
}

// observeIncarnation processes the incarnation in an answer of the node. It reports false if the answer is outdated,
// because a later incarnation is known. If the answer is from a later incarnation than the known one, the state returns
// to probing.
func (f *followerProgress) observeIncarnation(incarnation uint64) bool {
	switch {
	case incarnation < f.incarnation:
		return false
	case incarnation > f.incarnation:
		*f = followerProgress{incarnation: incarnation, progressAt: f.progressAt, announcementsLeft: 1}
	case f.announcementsLeft > 0:
		f.announcementsLeft--
	}
	return true
}

// recordAnswer processes an answer in which the node's last entry has the given index.
//
// A node may answer every message and accept nothing, because of a fault of that node or because its copy changes
// between messages. The primary must not send to such a node in a tight loop. After more than maxAcksWithoutProgress
// consecutive answers without progress, recordAnswer therefore delays the next message as if the last one had been
// lost. Answers that arrive out of order also count as answers without progress and can cause that delay.
func (f *followerProgress) recordAnswer(now tick.Tick, index uint64) {
	f.inFlight = false
	f.acksWithoutProgress++
	if index > f.match || f.state == probing {
		f.acksWithoutProgress = 0
	}
	if f.acksWithoutProgress > maxAcksWithoutProgress {
		f.pause(now)
	}
}

// pause delays the next message as if one had just been sent and not been answered.
func (f *followerProgress) pause(now tick.Tick) { f.inFlight, f.sentAt = true, now }

// recordRejection records that the node refused a message.
func (f *followerProgress) recordRejection(now tick.Tick, reason string) {
	f.pause(now)
	f.rejection = reason
}

// recordConfirmation records that the node has the entries up to index, and reports whether that is progress.
func (f *followerProgress) recordConfirmation(now tick.Tick, index uint64) bool {
	f.state = replicating
	f.next = index
	if index <= f.match {
		return false
	}
	f.match = index
	f.progressAt = now
	return true
}

// resolveDivergence makes the next message ask the node to remove the entries that differ from log, the primary's log.
// The node keeps its entries up to the last one that is durable at the primary and known to be the same in both logs.
// If no such entry is known, the node is asked to replace its whole log. msg is the node's answer.
func (f *followerProgress) resolveDivergence(log *Log, durable uint64, msg *Message) {
	f.state = resetting
	f.replacedIndex, f.replacedChecksum = msg.Index, msg.Checksum
	f.next = log.BaseIndex
	for i := len(msg.Checksums) - 1; i >= 0; i-- {
		index := msg.ChecksumsFrom + uint64(i)
		if log.matches(index, msg.Checksums[i]) && index <= durable {
			f.state = truncating
			f.next = index
			return
		}
	}
}

// ensureFollower returns the progress of a node, and creates it if there is none.
func (inst *instance) ensureFollower(now tick.Tick, name string) *followerProgress {
	f := inst.followers[name]
	if f == nil {
		f = &followerProgress{progressAt: now}
		if inst.followers == nil {
			inst.followers = map[string]*followerProgress{}
		}
		inst.followers[name] = f
	}
	return f
}

// resetProgressTimes restarts the confirmation timeout of each follower.
func (inst *instance) resetProgressTimes(now tick.Tick) {
	for _, f := range inst.followers {
		f.progressAt = now
	}
}

// replicate sends the replicas and the copy target the entries that they lack, up to the last one that is durable here.
func (m *Manager) replicate(now tick.Tick, inst *instance) {
	p := &inst.assignment.agreed
	for _, name := range p.Replicas {
		m.sendEntries(now, inst, name)
	}
	if p.CopyTarget != "" && !slices.Contains(p.Replicas, p.CopyTarget) {
		m.sendEntries(now, inst, p.CopyTarget)
	}
}

// sendEntries sends a node its next message, if one is due.
func (m *Manager) sendEntries(now tick.Tick, inst *instance, name string) {
	f := inst.ensureFollower(now, name)
	durable := inst.local.durable
	if f.hasConfirmed(durable) && f.state == replicating {
		f.progressAt = now
	}
	if !f.needsMessage(now, m.leaseDuration/resendsPerLease, durable) {
		return
	}
	msg := Message{
		Version:             placement.FormatVersion,
		Kind:                inst.appendKind(name),
		Instance:            inst.name,
		Epoch:               inst.assignment.agreed.Epoch,
		SenderIncarnation:   m.incarnation,
		ReceiverIncarnation: f.incarnation,
		LastIndex:           durable,
		Unverified:          inst.recovery.unverified || inst.recovery.pendingReport != "",
		PrevIndex:           durable,
	}
	if f.state != probing {
		f.fill(&msg, &inst.local.log, durable)
	}
	msg.PrevChecksum, _ = inst.local.log.ChecksumAt(msg.PrevIndex)
	f.inFlight = true
	f.sentAt = now
	m.host.Send(name, msg)
}

// appendKind returns the kind of message that carries entries to a node.
func (inst *instance) appendKind(name string) string {
	switch {
	case inst.assignment.cuttingOver():
		return MessageFinalAppend
	case !inst.assignment.isReplica(name):
		return MessageCatchUp
	}
	return MessageAppend
}

// fill adds the next entries to a message. If the node has to replace entries, fill also adds the fields of the message
// that identify those entries.
func (f *followerProgress) fill(msg *Message, log *Log, durable uint64) {
	if f.next < log.BaseIndex { // log no longer keeps all entries after f.next
		f.state = resetting
		f.next = log.BaseIndex
	}
	msg.PrevIndex = f.next
	msg.Truncate = f.state == truncating || f.state == resetting
	msg.Reset = f.state == resetting
	msg.ReplacedIndex = f.replacedIndex
	msg.ReplacedChecksum = f.replacedChecksum
	for bytes := 0; bytes < maxBatchBytes && msg.endIndex() < durable; {
		e := log.entryAt(msg.endIndex() + 1)
		msg.Entries = append(msg.Entries, e)
		bytes += e.Size()
	}
}

// announceLog sends each follower the last index of this log again, in a message that is not marked as unverified. Such
// a message lets the follower see whether its copy is complete.
func (m *Manager) announceLog(now tick.Tick, inst *instance) {
	for _, f := range inst.followers {
		f.announcementsLeft = 1
		if f.inFlight {
			f.announcementsLeft = 2 // the node first answers the message in flight, which was sent before the announcement
		}
	}
	inst.idle = false
	m.advance(now, inst)
}

// onAnswer handles the state of another node's log, sent in answer to a message of this node.
func (m *Manager) onAnswer(now tick.Tick, inst *instance, from string, msg *Message) {
	p := &inst.assignment.agreed
	if msg.Kind == MessageStaleEpoch {
		if msg.Epoch > p.Epoch { // another node is primary in a later epoch, so this node stops serving; the controllers will send the assignment of that epoch
			inst.recovery.fencedEpoch = max(inst.recovery.fencedEpoch, msg.Epoch)
			m.advance(now, inst)
		}
		return
	}
	f := inst.followers[from]
	if f == nil || msg.Epoch != p.Epoch || p.Primary != m.self || !f.observeIncarnation(msg.SenderIncarnation) {
		return
	}
	f.recordAnswer(now, msg.Index)
	switch {
	case msg.Kind == MessageRejected:
		f.recordRejection(now, msg.Reason)
	case inst.local.log.matches(msg.Index, msg.Checksum):
		m.onConfirmed(now, inst, from, msg)
	case slices.Contains(inst.recovery.awaitedReplicas, from):
		m.proposeYield(now, inst, from, "a holder has effects that this unit's disk does not")
		return
	case len(msg.Checksums) > 0 || msg.Index < inst.local.log.BaseIndex:
		f.resolveDivergence(&inst.local.log, inst.local.durable, msg)
	}
	m.advance(now, inst)
}

// onConfirmed records that a node has the same entries as this one up to an index.
func (m *Manager) onConfirmed(now tick.Tick, inst *instance, from string, msg *Message) {
	if inst.followers[from].recordConfirmation(now, msg.Index) {
		inst.catchUp.progressAt = now
	}
	r := &inst.recovery
	r.confirmedBy(from)
	if !inst.assignment.isReplica(from) {
		return // a copy target may lack acknowledged entries, so its answer does not show that this copy is complete
	}
	r.confirmedByReplica = true
	if r.unverified && !msg.Unverified {
		r.unverified = false
		m.announceLog(now, inst)
	}
}
