// Package balancer decides for one relay: where each request goes, how long an attempt may take, what is retried or shed,
// and how the relay votes on a canary version.
//
// # How it is driven
//
// New makes the balancer of one relay. The caller then calls the one method that names what has happened, with the time,
// one call at a time: OnRequest, OnOutcome, OnTimer and so on. The balancer acts at once, through the Host that New was
// given. It has no clock, goroutine, I/O or randomness of its own: the same events with the same seed give the same calls on
// the host. An attempt is in two steps: Host.StartAttempt names the backend, and BeginAttempt asks once more as the attempt
// is about to be written. A Balancer is not safe for concurrent use.
//
// # Where a rule stands
//
//   - admission.go: the queue, and what is shed from it
//   - routing.go: which version, which backend, and the start of an attempt
//   - concurrency_limit.go: how much may be in flight at a backend and at all of them
//   - outlier.go: ejection of backends, probation, degraded and silent ones
//   - slow_start.go: what a backend may get while it warms up
//   - idempotency.go: what may be repeated, and where
//   - retry.go: retries, attempts that are called off, failures of a request itself
//   - latency.go: how long attempts take, and what is slow
//   - exposure.go: how much a canary may get
//   - rollout.go: the status of a release and the evaluation of a canary, with the tests of package sequential
//   - evidence.go: which outcome counts for or against a version
//   - voting.go: the vote on it
//   - gossip.go: evidence exchanged with other relays
//   - endpoint_polling.go: the endpoint list, and when to ask for it
//   - settings.go, types.go, host.go: what a caller gives and gets; samples.go, series.go, random.go, logline.go: their tools
//
// # Invariants
//
//   - Each request gets one final answer: an answer that succeeded, Reject or Fail; or its client has gone. Requests that
//     are queued or have an attempt in flight are those without one.
//   - Reject is sent only while no attempt can have had an effect that a repeat would double, and a retry goes only where the
//     class and its idempotency key allow it.
//   - A backend that drains, is removed, or is another process than the one chosen gets nothing.
//   - What is written to a canary in any window stays within its exposure cap, and what is written to a backend that warms
//     up within the slow-start budget that all relays share.
package balancer

import (
	"math"
	"slices"
)

// timerInterval is the time between two calls of OnTimer: what is overdue is found out this late at the most.
const timerInterval = 50 * Second / 1000

// Balancer decides for one relay. Make one with New.
type Balancer struct {
	host      Host
	settings  Settings
	random    random
	now       Tick // of the event that is being handled
	startedAt Tick

	backends []*Backend // those listed as ready, in this relay's own order, the nearest first

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

// New makes the balancer of a relay that starts now. Relays with equal seeds draw equal numbers.
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

// class is what the settings say of a request's class.
func (b *Balancer) class(r *Request) *RequestClass { return &b.settings.Classes[r.Class] }

// OnRequest takes a request that the relay has accepted.
func (b *Balancer) OnRequest(now Tick, r *Request) {
	b.now, r.receivedAt = now, now
	b.countArrival(r)
	r.priority = b.class(r).PriorityWeight
	b.enqueue(r)
	b.serveQueue()
}

// OnOutcome takes how an attempt ended. Settled tells that its request has its final answer, by this attempt or before.
// The load report of the backend is not used: attempts are judged by how they end.
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

// showsBackendAlive tells whether something of the backend came back.
func (o Outcome) showsBackendAlive() bool {
	return o != TimedOut && o != ConnectFailed && o != Cancelled && o != Discarded
}

// recordSuccess takes what an answer shows of the relay's rate and of latencies.
func (b *Balancer) recordSuccess(a *Attempt, latency Tick) {
	a.Backend.successTimes = appendBounded(a.Backend.successTimes, b.now, backendSampleSize)
	b.successTimes = append(b.successTimes, b.now)
	b.addCancelBudget()
	b.recordLatency(a.Request.Class, latency)
	b.recordAnsweredKey(a)
}

// OnStreamStart takes the start of a streamed answer: the attempt is the client's now.
func (b *Balancer) OnStreamStart(now Tick, a *Attempt) {
	b.now = now
	a.Backend.lastAnswer = now
	a.Request.streaming = true
	a.slowAfter = Tick(math.MaxInt64) // its time-out has stopped running
}

// OnClientGone takes that a client has gone: nothing is owed, and nothing more is sent.
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

// OnProbe takes the result of a probe. It changes nothing, as Host.Probe is not asked for today: backends are judged by the
// outcomes of attempts.
func (b *Balancer) OnProbe(now Tick, _ *Backend, _ Outcome, _ Tick, _ []float64) { b.now = now }

// OnTimer takes the one timer: what is overdue counts, and estimates are worked out anew.
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

// checkOverdue counts an attempt that is late so far, and may call it off.
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
