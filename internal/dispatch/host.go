package dispatch

import (
	"context"
	"log/slog"
	"time"

	"silvercove/balancer"
)

// host implements balancer.Host for a dispatcher. All of its methods run with the dispatcher's lock held.
type host struct{ dispatcher *Dispatcher }

// StartAttempt hands an attempt to the goroutine that waits in Next for the call.
func (h host) StartAttempt(attempt *balancer.Attempt, deadline balancer.Tick) {
	d := h.dispatcher
	call, backend := d.calls[attempt.Request], d.backendsByID[attempt.Backend.ID]
	if policy := d.callbacks.FleetPolicy; policy != nil && attempt.Number == 0 && !attempt.Request.ClientRetry {
		policy.RecordFirstAttempt()
	}
	deadlineTime := d.clock.timeAt(deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadlineTime)
	started := &Attempt{
		Backend:  backend.identity(),
		Context:  ctx,
		Deadline: deadlineTime,
		attempt:  attempt,
		call:     call,
		cancel:   cancel,
		chosenAt: time.Now(),
	}
	d.attempts[attempt] = started
	backend.inFlight++
	d.counters.Attempts++
	call.steps <- Step{Attempt: started}
}

// Reject ends a request with a final answer which promises that a retry is harmless.
func (h host) Reject(request *balancer.Request, retryAfter balancer.Tick) {
	h.dispatcher.finish(request, Step{Answer: Rejected, RetryAfter: durationOf(retryAfter)})
}

// Fail ends a request with a final answer that promises nothing about the effect of the request.
func (h host) Fail(request *balancer.Request) { h.dispatcher.finish(request, Step{Answer: Failed}) }

// CancelAttempt ends the context of an attempt, so that the relay stops waiting for the attempt.
func (h host) CancelAttempt(attempt *balancer.Attempt) {
	if started := h.dispatcher.attempts[attempt]; started != nil {
		started.cancel()
	}
}

// SetTimer requests a call of the balancer's OnTimer with a tag at the given time or later.
func (h host) SetTimer(at balancer.Tick, tag uint32) {
	h.dispatcher.timers = append(h.dispatcher.timers, timer{dueAt: at, tag: tag})
	h.dispatcher.timerWaker.Wake()
}

// Probe starts a probe of a backend. The balancer does not call Probe today.
func (h host) Probe(b *balancer.Backend) {
	h.dispatcher.callbacks.Probe(h.dispatcher.backendsByID[b.ID].identity())
}

// CloseIdle closes the idle connections to a backend. The balancer does not call CloseIdle today.
func (h host) CloseIdle(b *balancer.Backend) {
	h.dispatcher.callbacks.CloseIdle(h.dispatcher.backendsByID[b.ID].name)
}

// SendGossip does nothing: the settings of a real relay allow no messages between balancers.
func (h host) SendGossip(uint32, []byte) {}

// Log writes a log line for the operators.
func (h host) Log(message string, fields ...slog.Attr) {
	h.dispatcher.callbacks.Log(message, fields...)
}

// WatchEndpoints starts or ends a subscription to changes of the endpoint list.
func (h host) WatchEndpoints(on bool) { h.dispatcher.callbacks.WatchEndpoints(on) }

// FetchEndpoints asks for the whole endpoint list once. The balancer does not call FetchEndpoints today.
func (h host) FetchEndpoints() { h.dispatcher.callbacks.FetchEndpoints() }

// CastVote casts a vote on a version.
func (h host) CastVote(version uint16, stage int, verdict balancer.Verdict) {
	d := h.dispatcher
	d.counters.Votes++
	if evidence := d.callbacks.Evidence; evidence != nil {
		evidence.RecordVote(d.clock.now(), version, stage, verdictNames[verdict], d.balancer.VoteReason(verdict))
	}
	d.callbacks.Vote(Vote{Version: version, Stage: stage, Verdict: releaseVerdicts[verdict]})
}

// AllowRetry reports whether the fleet policy allows a request one more attempt.
func (h host) AllowRetry(request *balancer.Request) bool {
	policy := h.dispatcher.callbacks.FleetPolicy
	return policy == nil || policy.AllowRetry(request.ClientRetry)
}

// IsEjected reports whether the relays of the fleet together have ejected a backend.
func (h host) IsEjected(b *balancer.Backend) bool {
	policy := h.dispatcher.callbacks.FleetPolicy
	return policy != nil && policy.IsEjected(h.dispatcher.backendsByID[b.ID].name)
}

// AllowProbe reports whether the fleet policy allows an attempt at a backend that is on probation or that the fleet has
// ejected.
func (h host) AllowProbe(b *balancer.Backend) bool {
	policy := h.dispatcher.callbacks.FleetPolicy
	return policy == nil || policy.AllowProbe(h.dispatcher.backendsByID[b.ID].name)
}
