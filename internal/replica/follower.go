package replica

import (
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// progressState says how a primary sends to another node, as raft's Progress does.
type progressState uint8

const (
	probing     progressState = iota // it has not answered in this incarnation: it is asked what it has
	replicating                      // it is sent what comes after its last entry
	truncating                       // what it has after next differs and has to give way
	resetting                        // all that it has gives way to the log from its base on
)

// String is the state in a word.
func (s progressState) String() string {
	return [...]string{"probing", "replicating", "truncating", "resetting"}[s]
}

// followerProgress is a replica, or the node that is copied to, as the primary knows it. The zero value is probing.
type followerProgress struct {
	state             progressState
	incarnation       uint64    // of its process, as last heard
	next              uint64    // index up to which it is taken to have entries
	match             uint64    // index up to which it has confirmed
	inFlight          bool      // a message is under way
	sentAt            tick.Tick // the last message
	progressAt        tick.Tick // it last got on, or had nothing to do
	announcementsLeft uint8     // this incarnation of it is to be told so often what there is, so that it knows its copy complete

	// Of truncating and resetting: the last entry of what gives way.
	replacedIndex    uint64
	replacedChecksum uint64

	acksWithoutProgress int    // answers in a row that brought nothing on
	rejection           string // why it did not take a message last
}

// hasConfirmed tells whether it has confirmed all up to an index.
func (f *followerProgress) hasConfirmed(index uint64) bool {
	return f.match >= index && f.state != probing
}

// isAtRest tells whether there is nothing to send and nothing to wait for.
func (f *followerProgress) isIdle(durable uint64) bool {
	return f.state == replicating && !f.inFlight && f.announcementsLeft == 0 && f.match >= durable && f.next >= durable
}

// needsMessage tells whether it is to be sent something now.
func (f *followerProgress) needsMessage(now, retryAfter tick.Tick, durable uint64) bool {
	if f.inFlight && now-f.sentAt < retryAfter {
		return false
	}
	upToDate := f.state == replicating && f.announcementsLeft == 0 && f.match >= durable && f.next >= durable
	return !upToDate
}

// heardFrom takes in that an incarnation has answered, and tells whether it is the newest that is known.
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

// answered takes in an answer at an index.
//
// Guards against sending as fast as a node answers that takes nothing: seen as answers in a row without progress, by a
// fault of it or a copy that changes meanwhile; holds because after maxFruitlessAcks the next message waits as long as
// after a lost one. Answers that were overtaken look the same and cost that wait.
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

// pause has the next message wait as for an answer to one that is sent now.
func (f *followerProgress) pause(now tick.Tick) { f.inFlight, f.sentAt = true, now }

// rejected takes in that it does not take what it was sent.
func (f *followerProgress) recordRejection(now tick.Tick, reason string) {
	f.pause(now)
	f.rejection = reason
}

// confirmed takes in that it has the entries up to an index, and tells whether it got on.
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

// diverged has it give way what it has after the last entry that is known to be the same in both logs.
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

// follower is the progress of a node, made where there is none.
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

// restartFollowerTimes begins each follower's time to confirm anew.
func (inst *instance) resetProgressTimes(now tick.Tick) {
	for _, f := range inst.followers {
		f.progressAt = now
	}
}

// replicate brings the replicas and the node that is copied to up to what is durable here.
func (m *Manager) replicate(now tick.Tick, inst *instance) {
	p := &inst.assignment.agreed
	for _, name := range p.Replicas {
		m.sendEntries(now, inst, name)
	}
	if p.CopyTarget != "" && !slices.Contains(p.Replicas, p.CopyTarget) {
		m.sendEntries(now, inst, p.CopyTarget)
	}
}

// sendEntries sends a node what comes next for it, if anything.
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

// appendKind is the kind of a message to a node.
func (inst *instance) appendKind(name string) string {
	switch {
	case inst.assignment.cuttingOver():
		return MessageFinalAppend
	case !inst.assignment.isReplica(name):
		return MessageCatchUp
	}
	return MessageAppend
}

// fill puts the entries that come next into a message, and what has to give way for them.
func (f *followerProgress) fill(msg *Message, log *Log, durable uint64) {
	if f.next < log.BaseIndex { // what comes next is no longer kept
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

// offerCatchUp has each replica told what there is: it may be relied on now.
func (m *Manager) announceLog(now tick.Tick, inst *instance) {
	for _, f := range inst.followers {
		f.announcementsLeft = 1
		if f.inFlight {
			f.announcementsLeft = 2 // the first answer is to a message from before
		}
	}
	inst.idle = false
	m.advance(now, inst)
}

// onAnswer takes in what another node has, as this one's messages asked.
func (m *Manager) onAnswer(now tick.Tick, inst *instance, from string, msg *Message) {
	p := &inst.assignment.agreed
	if msg.Kind == MessageStaleEpoch {
		if msg.Epoch > p.Epoch { // the controllers' news will follow
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

// onConfirmed takes in that a node has what this one has up to an index.
func (m *Manager) onConfirmed(now tick.Tick, inst *instance, from string, msg *Message) {
	if inst.followers[from].recordConfirmation(now, msg.Index) {
		inst.catchUp.progressAt = now
	}
	r := &inst.recovery
	r.confirmedBy(from)
	if !inst.assignment.isReplica(from) {
		return // a node that is copied to shows nothing
	}
	r.confirmedByReplica = true
	if r.unverified && !msg.Unverified {
		r.unverified = false
		m.announceLog(now, inst)
	}
}
