package dispatch

import (
	"context"
	"time"

	"silvercove/balancer"
	"silvercove/internal/transport"
)

// Attempt is one try of a call at a backend.
type Attempt struct {
	Backend
	// Context ends when the relay stops waiting for the attempt.
	Context  context.Context
	Deadline time.Time

	attempt  *balancer.Attempt
	call     *Call
	cancel   context.CancelFunc
	chosenAt time.Time
	version  uint16 // of its backend when it was chosen
}

// ChosenAt is when the balancer chose the attempt.
func (a *Attempt) ChosenAt() time.Time { return a.chosenAt }

// Begin tells whether an attempt that is about to be written still may be: its client waits for it, its backend is where it
// was chosen, and the balancer's rules hold as they stand now. It counts as sent from now on. A client whose close has come,
// but whose session has not run since, has gone too: news of the endpoint list send many queued requests on at once.
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

// StreamStarted tells that the answer to an attempt is being passed on while it comes.
func (d *Dispatcher) StreamStarted(a *Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.OnStreamStart(d.clock.now(), a.attempt)
}

// Report tells how an attempt ended: with a SQLSTATE, or without an answer (""). It returns whether the attempt succeeded.
func (d *Dispatcher) Report(a *Attempt, state string, status transport.CloseStatus, load []float64) (succeeded bool) {
	return d.endAttempt(a, AttemptOutcome(state, status), load)
}

// ReportMirror tells how an attempt at a mirror ended: with an HTTP status, or without an answer (0).
func (d *Dispatcher) ReportMirror(a *Attempt, httpStatus int, accepted bool, status transport.CloseStatus) (succeeded bool) {
	return d.endAttempt(a, MirrorOutcome(httpStatus, accepted, status), nil)
}

// end hands the outcome of an attempt to the balancer, and to all who keep count of outcomes.
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

// recordOutcome hands an outcome to the evidence recorder and to the load policy, where there are any.
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

// reflectsOnBackend tells whether an outcome says how well its backend is. One at its capacity is well; what was cancelled or
// never sent says nothing.
func reflectsOnBackend(outcome balancer.Outcome) bool {
	switch outcome {
	case balancer.Succeeded, balancer.Errored, balancer.TimedOut, balancer.ConnectFailed, balancer.Reset:
		return true
	}
	return false
}
