package dispatch

import (
	"context"
	"time"

	"silvercove/balancer"
	"silvercove/internal/transport"
)

// Attempt is one attempt of a call at a backend.
type Attempt struct {
	Backend
	// Context ends when the relay stops waiting for the attempt.
	Context  context.Context
	Deadline time.Time

	attempt  *balancer.Attempt
	call     *Call
	cancel   context.CancelFunc
	chosenAt time.Time
	version  uint16 // version of the backend at the time when the balancer chose it
}

// ChosenAt is when the balancer chose the backend of the attempt.
func (a *Attempt) ChosenAt() time.Time { return a.chosenAt }

// Begin reports whether an attempt that is about to be written may still be written: the client still waits, the
// backend still has the address and start time that it had when it was chosen, and the balancer's rules still allow the
// attempt. If Begin returns true, the attempt counts as sent.
//
// One update of the endpoint list may release many queued requests at once. By then a client may have closed its
// connection, and the goroutine that serves the client may not have noticed. Begin therefore calls Request.ClientClosed
// itself.
func (d *Dispatcher) Begin(a *Attempt) bool {
	if c := a.call; c != nil && c.clientClosed != nil && c.clientClosed() {
		d.Abandon(c)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Context.Err() != nil || d.calls[a.attempt.Request] == nil {
		return false
	}
	if d.backendsByID[a.attempt.Backend.ID].identity() != a.Backend {
		return false
	}
	return d.balancer.BeginAttempt(d.clock.now(), a.attempt)
}

// StreamStarted records that the answer to an attempt has begun to be passed on to the client, before it is complete.
func (d *Dispatcher) StreamStarted(a *Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.OnStreamStart(d.clock.now(), a.attempt)
}

// Report records how an attempt ended. sqlState is the SQLSTATE of the answer, or "" without an answer; status is how
// the connection ended; load is the load report of the backend, or nil without one. Report returns whether the attempt
// succeeded.
func (d *Dispatcher) Report(a *Attempt, sqlState string, status transport.CloseStatus, load []float64) (succeeded bool) {
	return d.endAttempt(a, AttemptOutcome(sqlState, status), load)
}

// ReportMirror records how an attempt at a mirror ended. httpStatus is the HTTP status of the answer, or 0 without an
// answer; accepted is whether the content of the answer was accepted; status is how the connection ended. ReportMirror
// returns whether the attempt succeeded.
func (d *Dispatcher) ReportMirror(a *Attempt, httpStatus int, accepted bool, status transport.CloseStatus) (succeeded bool) {
	return d.endAttempt(a, MirrorOutcome(httpStatus, accepted, status), nil)
}

// endAttempt hands the outcome of an attempt to the balancer, the counters, the evidence recorder and the fleet policy.
func (d *Dispatcher) endAttempt(a *Attempt, outcome balancer.Outcome, load []float64) (succeeded bool) {
	a.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	request := a.attempt.Request
	call := d.calls[request]
	delete(d.attempts, a.attempt)
	d.backendsByID[a.attempt.Backend.ID].inFlight--
	d.counters.Outcomes[outcome]++
	succeeded = outcome == balancer.Succeeded
	if succeeded && call != nil {
		d.counters.Classes[call.class].Succeeded++
		delete(d.calls, request)
		d.unpin(call)
	}
	now := d.clock.now()
	d.recordOutcome(now, a, outcome)
	took := max(0, now-d.clock.tickAt(a.chosenAt))
	d.balancer.OnOutcome(now, a.attempt, outcome, took, succeeded || call == nil, load)
	return succeeded
}

// recordOutcome hands an outcome to the evidence recorder and to the fleet policy, if there are any.
func (d *Dispatcher) recordOutcome(now balancer.Tick, a *Attempt, outcome balancer.Outcome) {
	succeeded := outcome == balancer.Succeeded
	class := a.attempt.Request.Class
	if evidence := d.callbacks.Evidence; evidence != nil && (succeeded || outcome == balancer.Errored) {
		evidence.RecordOutcome(now, a.version, class, d.stage, !succeeded)
	}
	policy := d.callbacks.FleetPolicy
	if policy == nil || !reflectsOnBackend(outcome) {
		return
	}
	policy.RecordOutcome(a.Name, succeeded)
	if succeeded {
		policy.RecordServiceTime(class, time.Since(a.chosenAt))
	}
}

// reflectsOnBackend reports whether an outcome says anything about the health of the backend. A rejection by a backend
// at its capacity is no sign of bad health, and an attempt that was cancelled or never sent says nothing.
func reflectsOnBackend(outcome balancer.Outcome) bool {
	switch outcome {
	case balancer.Succeeded, balancer.Errored, balancer.TimedOut, balancer.ConnectFailed, balancer.Reset:
		return true
	}
	return false
}
