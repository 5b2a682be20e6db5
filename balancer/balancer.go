// Package balancer decides for one relay which backend each request goes to, how long an attempt may take, which requests
// are retried or shed, and how the relay votes on a canary version.
//
// # Events and actions
//
// New makes the balancer of one relay. The caller reports each event, with its time, through the method named after it:
// OnRequest, OnOutcome, OnTimer and so on, one call at a time. The balancer acts at once, through the Host that New was
// given. It has no clock, goroutine, I/O or randomness of its own: the same events with the same seed give the same calls
// on the host. An attempt starts in two steps: Host.StartAttempt names the backend, and BeginAttempt checks the attempt
// again just before it is written. A Balancer is not safe for concurrent use.
//
// # Files
//
//   - admission.go: the queue, and which requests are shed from it
//   - routing.go: the choice of the version and the backend, and the start of an attempt
//   - concurrency_limit.go: limits on attempts in flight, for each backend and for all together
//   - outlier.go: ejection and probation of backends; degraded and silent backends
//   - slow_start.go: the budget of a backend that warms up
//   - idempotency.go: which requests may be repeated, and at which backends
//   - retry.go: retries, cancelled attempts, and failures of a request itself
//   - latency.go: latency estimates, and which attempts are slow
//   - exposure.go: how many attempts a canary may get
//   - rollout.go: the status of a release and the evaluation of a canary, with the tests of package sequential
//   - evidence.go: which outcomes count for or against a version
//   - voting.go: the vote on a version
//   - gossip.go: evidence exchanged with other relays
//   - endpoint_polling.go: the endpoint list, and when to ask for it
//   - settings.go, types.go, host.go: the interface to the caller
//   - samples.go, series.go, random.go, logline.go: helpers
//
// # Invariants
//
//   - Each request ends once: with an answer that succeeded, with Reject, with Fail, or when its client disconnects. Until
//     then it is queued or has an attempt in flight.
//   - Reject is sent only if no attempt can have had an effect that a repeat would duplicate. A retry goes only to a
//     backend where the class and its idempotency key allow it.
//   - Nothing is written to a backend that drains, is removed, or runs as another process than the one that was chosen.
//   - In any window, the attempts written to a canary stay within its exposure cap, and those written to a backend that
//     warms up stay within the slow-start budget that all relays share.
package balancer

import (
	"math"
	"slices"
)

// timerInterval is the time between two calls of OnTimer. Overdue requests and attempts are detected at most this late.
const timerInterval = 50 * Second / 1000

// Balancer makes the decisions of one relay. Create one with New.
type Balancer struct {
	host      Host
	settings  Settings
	random    random
	now       Tick // time of the event that is being handled
	startedAt Tick

	backends []*Backend // ready backends, in the order in which this relay prefers them

	admission
	candidates
	concurrency
	latencyEstimates
	ejection
	cancellation
	exposureState
	rollout
	vote vote
	gossip
	endpointPolling
}

// New makes the balancer of a relay that starts now. Balancers with equal seeds draw equal random numbers.
func New(host Host, now Tick, seed uint64, settings Settings) *Balancer {
	b := &Balancer{host: host, settings: settings, random: newRandom(seed), now: now, startedAt: now}
	b.concurrency = newConcurrency()
	b.latencyEstimates = newLatencyEstimates(settings.Classes)
	b.ejection = newEjection()
	b.cancellation = newCancellation()
	b.exposureState = newExposureState(settings)
	b.rollout = newRollout(len(settings.Classes))
	b.updateLatencies()
	b.startPolling()
	b.host.SetTimer(now+timerInterval, 0)
	return b
}

// class returns the settings of a request's class.
func (b *Balancer) class(r *Request) *RequestClass { return &b.settings.Classes[r.Class] }

// OnRequest handles a request that the relay has accepted.
func (b *Balancer) OnRequest(now Tick, r *Request) {
	b.now, r.receivedAt = now, now
	b.countArrival(r)
	r.priority = b.class(r).PriorityWeight
	b.enqueue(r)
	b.serveQueue()
}

// OnOutcome handles the end of an attempt. settled reports whether the request has its final answer, from this attempt or
// from an earlier one. The load report of the backend is not used: the balancer judges backends by the outcomes of
// attempts.
func (b *Balancer) OnOutcome(now Tick, a *Attempt, outcome Outcome, latency Tick, settled bool, _ []float64) {
	b.now = now
	a.state, a.outcome = attemptEnded, outcome
	a.Backend.inFlight--
	b.attemptsInFlight = slices.DeleteFunc(b.attemptsInFlight, func(o *Attempt) bool { return o == a })
	if outcome.showsBackendAlive() {
		a.Backend.lastAnswer = now
	}
	if outcome == Succeeded {
		b.recordSuccess(a, latency)
	}
	b.recordOutcome(a)
	r := a.Request
	if settled {
		r.state = requestAnswered
	}
	if r.state == requestInFlight {
		b.retryOrShed(r)
	}
	b.serveQueue()
	b.considerVote()
}

// showsBackendAlive reports whether an outcome is a reaction of the backend, including a broken connection.
func (o Outcome) showsBackendAlive() bool {
	return o != TimedOut && o != ConnectFailed && o != Cancelled && o != Discarded
}

// recordSuccess updates the rates, the cancel budget, the latency estimates and the answered keys after an attempt that
// succeeded.
func (b *Balancer) recordSuccess(a *Attempt, latency Tick) {
	a.Backend.successTimes = appendBounded(a.Backend.successTimes, b.now, backendSampleSize)
	b.successTimes = append(b.successTimes, b.now)
	b.addCancelBudget()
	b.recordLatency(a.Request.Class, latency)
	b.recordAnsweredKey(a)
}

// OnStreamStart handles the start of a streamed answer. The answer is passed on to the client from now on, so the
// attempt is not cancelled any more and does not count as slow, however long the rest of the answer takes.
func (b *Balancer) OnStreamStart(now Tick, a *Attempt) {
	b.now = now
	a.Backend.lastAnswer = now
	a.Request.streaming = true
	a.slowAfter = Tick(math.MaxInt64) // no time-out after the start of the stream, so the attempt never counts as slow
}

// OnClientGone handles a client that has disconnected: its request needs no answer, and nothing more is sent for it.
func (b *Balancer) OnClientGone(now Tick, r *Request) {
	b.now = now
	r.state = requestAnswered
	if r.streaming || !b.settings.Limits.MayCancel {
		return
	}
	for _, a := range r.attempts {
		if a.state != attemptEnded {
			b.host.CancelAttempt(a)
		}
	}
}

// OnInstancesMoved routes queued requests again, after PinnedTo of some of them has changed.
func (b *Balancer) OnInstancesMoved(now Tick) {
	b.now = now
	b.serveQueue()
}

// OnProbe handles the result of a probe. It only sets the time. The balancer judges backends by the outcomes of
// attempts and does not call Host.Probe today.
func (b *Balancer) OnProbe(now Tick, _ *Backend, _ Outcome, _ Tick, _ []float64) { b.now = now }

// OnTimer handles the periodic timer: it counts overdue attempts, recomputes the estimates, sends gossip, polls the
// endpoint list and serves the queue.
func (b *Balancer) OnTimer(now Tick, tag uint32) {
	b.now = now
	b.host.SetTimer(now+timerInterval, tag)
	for _, a := range b.attemptsInFlight {
		b.checkOverdue(a)
	}
	b.sendGossip()
	b.updateLatencies()
	b.updateConcurrency()
	b.updateCanaryFraction()
	b.pollIfDue()
	b.shedLate()
	b.serveQueue()
	b.considerVote()
}

// checkOverdue handles an attempt in flight. It counts the attempt as slow for its version after slowAfter, and as a
// failure of its backend if the backend is silent. It then calls cancelAndRetry, which cancels the attempt if the
// backend is silent and another backend can serve the request.
func (b *Balancer) checkOverdue(a *Attempt) {
	if b.now > a.slowAfter && !a.countedAsSlow && !a.newConnection && !b.attributedToBackend(a, true) {
		b.recordTimeliness(a, true)
	}
	if !a.silenceCounted && b.now-a.chosenAt >= Tick(silenceShare*float64(b.shortestObjective)) && b.silent(a.Backend) {
		a.silenceCounted = true
		b.recordForBackend(a.Backend, true)
	}
	b.cancelAndRetry(a)
}
