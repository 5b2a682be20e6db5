package benchadapter

import (
	"log/slog"

	"silvercove/balancer"
)

// The methods in this file implement balancer.Host. Each of them writes one record to the reply. Its comment gives the
// name of the record on the wire.

// StartAttempt writes the record SEND, and keeps the attempt so that later events can refer to it by its number.
func (i *instance) StartAttempt(attempt *balancer.Attempt, deadline balancer.Tick) {
	open := i.requests[attempt.Request.ID]
	open.attempts = append(open.attempts, attempt)
	open.inFlight++
	i.out.record(actionStartAttempt, i.number)
	i.out.u64(attempt.Request.ID)
	i.out.u32(attempt.Backend.ID)
	i.out.tick(deadline)
}

// Reject writes the record BOUNCE.
func (i *instance) Reject(request *balancer.Request, retryAfter balancer.Tick) {
	i.out.record(actionReject, i.number)
	i.out.u64(request.ID)
	i.out.tick(retryAfter)
	i.answered(request)
}

// Fail writes the record SURRENDER.
func (i *instance) Fail(request *balancer.Request) {
	i.out.record(actionFail, i.number)
	i.out.u64(request.ID)
	i.answered(request)
}

// answered records that the balancer has given a request its final answer.
func (i *instance) answered(request *balancer.Request) {
	if open := i.requests[request.ID]; open != nil {
		open.answered = true
		i.dropIfFinished(request.ID)
	}
}

// CancelAttempt writes the record ABORT_ATTEMPT.
func (i *instance) CancelAttempt(attempt *balancer.Attempt) {
	i.out.record(actionCancelAttempt, i.number)
	i.out.u64(attempt.Request.ID)
	i.out.u8(uint8(attempt.Number))
}

// SetTimer writes the record WAKE_AT.
func (i *instance) SetTimer(at balancer.Tick, tag uint32) {
	i.out.record(actionSetTimer, i.number)
	i.out.tick(at)
	i.out.u32(tag)
}

// Probe writes the record TOUCH.
func (i *instance) Probe(backend *balancer.Backend) {
	i.out.record(actionProbe, i.number)
	i.out.u32(backend.ID)
}

// CloseIdle writes the record CLOSE.
func (i *instance) CloseIdle(backend *balancer.Backend) {
	i.out.record(actionCloseIdle, i.number)
	i.out.u32(backend.ID)
}

// SendGossip writes the record MEMO_TO.
func (i *instance) SendGossip(peer uint32, data []byte) {
	i.out.record(actionSendGossip, i.number)
	i.out.u32(peer)
	i.out.bytes(data)
}

// Log writes the record SAY_LOG, with the message and its fields in one line.
func (i *instance) Log(message string, fields ...slog.Attr) {
	i.out.record(actionLog, i.number)
	i.out.bytes([]byte(balancer.LogLine(message, fields...)))
}

// WatchEndpoints writes the record TRACK.
func (i *instance) WatchEndpoints(on bool) {
	i.out.record(actionWatchEndpoints, i.number)
	i.out.bool(on)
}

// FetchEndpoints writes the record PULL.
func (i *instance) FetchEndpoints() {
	i.out.record(actionFetchEndpoints, i.number)
}

// CastVote writes the record OPINION. The wire's verdict codes equal the values of balancer.Verdict.
func (i *instance) CastVote(version uint16, stage int, verdict balancer.Verdict) {
	i.out.record(actionCastVote, i.number)
	i.out.u16(version)
	i.out.u8(uint8(stage))
	i.out.u8(uint8(verdict))
}
