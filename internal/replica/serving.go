package replica

import (
	"fmt"

	"silvercove/internal/tick"
)

// servingState says whether a node executes requests for an instance.
type servingState uint8

const (
	stopped servingState = iota // the node may not serve the instance
	leased                      // the node executes requests
	paused                      // the node may serve the instance, but executes no requests: beginServing has just set this state, or a cut-over is under way
)

// serving holds whether this node serves an instance, and its pending requests. The zero value is in the state stopped.
type serving struct {
	state        servingState
	pending      []pendingRequest
	acknowledged uint64 // index up to which entries may have been acknowledged; a copy that lacks one of these entries is incomplete
	committed    uint64 // index up to which all entries are durable on this node and on every replica
}

// pendingRequest is answered once the entries up to index are committed.
type pendingRequest struct {
	request *Request
	index   uint64
}

const notPrimary = "not its owner now: never ran"

// reject answers a request that was not executed and never will be.
func (m *Manager) reject(request *Request, reason string) {
	m.host.Respond(request, Response{Outcome: Rejected, Detail: reason})
}

// OnRequest starts a request. The answer is given by Host.Respond, at once or later.
func (m *Manager) OnRequest(now tick.Tick, request *Request) {
	m.expireLease(now)
	inst := m.instances[request.Instance]
	if inst == nil || !inst.assignment.known() {
		m.reject(request, "no instance of this name")
		return
	}
	if !m.mayServe(now, inst) {
		m.advance(now, inst)
		m.reject(request, notPrimary)
		return
	}
	if reason := inst.rejectionReason(now, request); reason != "" {
		m.reject(request, reason)
		return
	}
	m.advance(now, inst)
	index, repeated := inst.local.requests[request.ID]
	switch {
	case !request.Write:
		inst.serving.addPending(request, inst.local.log.LastIndex())
		m.completeRequests(now, inst)
	case repeated:
		inst.serving.addPending(request, index)
		m.completeRequests(now, inst)
	default:
		m.execute(now, inst, request)
	}
}

// rejectionReason returns why the node does not start a request although it may serve the instance, or "" if the node
// can start the request.
func (inst *instance) rejectionReason(now tick.Tick, request *Request) (reason string) {
	switch {
	case inst.assignment.cuttingOver():
		return "handed over: never ran"
	case now >= request.Deadline:
		return "over already: never ran"
	case len(inst.serving.pending) >= maxPendingRequests:
		return "too many commands: never ran"
	}
	return ""
}

func (s *serving) addPending(request *Request, index uint64) {
	s.pending = append(s.pending, pendingRequest{request, index})
}

// execute executes a write with an ID that no kept entry has. It appends the write's entry, or answers the write if the
// entry cannot be appended.
func (m *Manager) execute(now tick.Tick, inst *instance, request *Request) {
	e := LogEntry{Index: inst.local.log.LastIndex() + 1, Epoch: inst.assignment.agreed.Epoch, Node: m.self, RequestID: request.ID,
		Body: request.Body}
	switch {
	case len(request.ID) > maxRequestID:
		m.host.Respond(request, Response{Outcome: TooLarge, Detail: "an id too long"})
		return
	case inst.local.bytesWith(e) > m.maxStateBytes:
		m.host.Respond(request, Response{Outcome: TooLarge, Detail: m.stateTooLarge()})
		return
	case inst.local.failed || now < m.diskFullUntil:
		m.reject(request, diskFullReason+": never ran")
		return
	}
	e.Checksum = e.ChainChecksum(inst.local.log.Checksum())
	inst.serving.addPending(request, e.Index)
	m.appendEntry(inst, e)
	m.advance(now, inst)
}

func (m *Manager) stateTooLarge() string {
	return fmt.Sprintf("the state would pass %d bytes", m.maxStateBytes)
}

// completeRequests answers the requests whose entries are committed, and those whose deadline has passed.
func (m *Manager) completeRequests(now tick.Tick, inst *instance) {
	s := &inst.serving
	if s.state == stopped {
		return
	}
	s.committed = inst.committedIndex()
	remaining := s.pending[:0]
	for _, w := range s.pending {
		switch {
		case w.index <= s.committed:
			s.acknowledged = max(s.acknowledged, w.index)
			m.host.Respond(w.request, m.successResponse(inst, w.index))
		case now >= w.request.Deadline && w.request.Write:
			m.host.Respond(w.request, Response{Outcome: Indeterminate, Detail: "not held by all holders in time"})
		case now >= w.request.Deadline:
			m.reject(w.request, "over already: never ran")
		default:
			remaining = append(remaining, w)
		}
	}
	clear(s.pending[len(remaining):])
	s.pending = remaining
}

// successResponse returns the answer that belongs to the entry at index. A repeated write gets its first answer again
// while its entry is kept.
func (m *Manager) successResponse(inst *instance, index uint64) Response {
	log := &inst.local.log
	switch {
	case index > log.BaseIndex:
		e := log.entryAt(index)
		return Response{Outcome: Succeeded, Index: index, Epoch: e.Epoch, Node: e.Node}
	case index > 0:
		return Response{Outcome: Indeterminate, Detail: "its first answer is no longer remembered"}
	}
	return Response{Outcome: Succeeded, Epoch: inst.assignment.agreed.Epoch, Node: m.self}
}

// committedIndex returns the index up to which all entries are durable on this node and confirmed by every node for which
// mustConfirm holds. The index is 0 if an agreed replica is not among the followers.
func (inst *instance) committedIndex() uint64 {
	committed := inst.local.durable
	for name, f := range inst.followers {
		if inst.mustConfirm(name) {
			committed = min(committed, f.match)
		}
	}
	for _, name := range inst.assignment.agreed.Replicas {
		if inst.followers[name] == nil {
			return 0
		}
	}
	return committed
}

// mustConfirm reports whether a node must have an entry before the entry is acknowledged. The agreed replicas must have
// it. So must a copy target that was proposed as a replica, because the controllers may already have agreed to the
// proposal.
func (inst *instance) mustConfirm(name string) bool {
	return inst.assignment.isReplica(name) || name == inst.assignment.agreed.CopyTarget && inst.caughtUp()
}

// caughtUp reports whether the copy target was proposed as a replica at the current revision. proposeCopyStep makes
// that proposal once the copy target has all acknowledged entries.
func (inst *instance) caughtUp() bool {
	return inst.catchUp.readyRevision != 0 && inst.catchUp.readyRevision == inst.assignment.agreed.Revision
}
