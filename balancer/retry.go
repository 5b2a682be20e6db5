package balancer

import "slices"

// A request whose attempt has failed gets another attempt if its class allows a repeat at one of the backends and the
// fleet's retry budget has a retry left. An attempt at a silent backend is cancelled early, so that another backend can
// serve the request in time. A request that fails at two backends is itself considered faulty. A pinned request is
// considered faulty after two failures at its only backend.
//
// Inputs: the outcomes of a request's attempts, the settings' limit on their number, the fleet's decision on each
// retry, and the silence of the backend.
//
// The rules guard against retries that multiply the load. Such retries make attempts outnumber requests while backends
// fail. The fleet's retry budget is a share of first attempts (package overload), and cancelsPerSuccess limits
// cancelled attempts to a small share of the successes. A relay outside a fleet has no such budget: Limits.MaxAttempts
// alone bounds its retries.

// cancelsPerSuccess is how many cancellations each success allows. It guards against cancelling attempts that are
// merely slow: under heavy load most attempts are late at once. The budget grows by no more than one cancellation for
// 25 successes.
const cancelsPerSuccess = 0.04

// cancellation holds the budget for cancelling attempts.
type cancellation struct {
	cancelBudget float64 // number of attempts at silent backends that may be cancelled now
}

// newCancellation returns a budget of minSubsetSize cancellations: one for each backend of the smallest subset.
func newCancellation() cancellation { return cancellation{cancelBudget: minSubsetSize} }

// addCancelBudget adds the cancellations that one success allows, up to one for each backend in the relay's subset.
func (b *Balancer) addCancelBudget() {
	b.cancelBudget = min(b.cancelBudget+cancelsPerSuccess, float64(b.subsetSize))
}

// retryOrShed queues a request for another attempt, or sheds it.
func (b *Balancer) retryOrShed(r *Request) {
	canRetry := !r.failedTwice && slices.ContainsFunc(b.backends, func(backend *Backend) bool {
		return b.safeToRepeat(r, r.attempts, backend)
	})
	if canRetry && b.takeRetry(r) {
		b.enqueue(r)
	} else {
		b.shed(r)
	}
}

// takeRetry asks the fleet for one more attempt of a request whose last attempt has ended, unless a retry is reserved
// for the request. If the fleet declines, a deferred failure counts against its version at once, as no further answer
// will come.
func (b *Balancer) takeRetry(r *Request) bool {
	policy := b.retryPolicy(r)
	if policy == nil {
		return true
	}
	if r.retryReserved {
		r.retryReserved = false
		return true
	}
	if policy.AllowRetry(r) {
		return true
	}
	b.recordDeferredFailure(r)
	return false
}

// reserveRetry asks the fleet for one more attempt of a request whose last attempt is about to be cancelled. The retry
// stays reserved until that attempt has ended.
func (b *Balancer) reserveRetry(r *Request) bool {
	policy := b.retryPolicy(r)
	if policy == nil {
		return true
	}
	if !policy.AllowRetry(r) {
		return false
	}
	r.retryReserved = true
	return true
}

// retryPolicy returns the fleet's policy on a retry of a request, or nil if only the rules of this package apply.
func (b *Balancer) retryPolicy(r *Request) fleetPolicy {
	policy, ok := b.host.(fleetPolicy)
	if !ok || b.missedInstance(r) {
		return nil
	}
	return policy
}

// recordDeferredFailure counts the deferred failure of a request, if any, against the version that it came from.
func (b *Balancer) recordDeferredFailure(r *Request) {
	if failure := r.deferredFailure; failure != nil {
		r.deferredFailure = nil
		b.recordForVersion(failure, false)
	}
}

// missedInstance reports whether the last attempt of a pinned request reached a backend that no longer runs its
// instance. That backend did not run the request, so the next attempt is not a retry.
func (b *Balancer) missedInstance(r *Request) bool {
	return r.Pinned && r.attempts[len(r.attempts)-1].outcome == AtCapacity
}

// cancelAndRetry cancels an attempt at a silent backend if its request can still be served by another backend. It
// guards against backends that are dead or hang and against broken links, at which requests would wait for their
// time-out. Silence is detected well before the time-out.
func (b *Balancer) cancelAndRetry(a *Attempt) {
	if b.cancelBudget < 1 || !b.cancellable(a) || !b.reserveRetry(a.Request) {
		return
	}
	b.cancelBudget--
	a.state = attemptCancelled
	b.host.CancelAttempt(a)
}

// cancellable reports whether an attempt may be cancelled and another attempt may follow in time.
func (b *Balancer) cancellable(a *Attempt) bool {
	r := a.Request
	switch {
	case !b.settings.Limits.MayCancel, a.state != attemptRunning, r.state == requestAnswered, r.streaming:
		return false
	case !a.silenceCounted, !b.silent(a.Backend):
		return false
	case b.now >= r.usefulUntil-b.p90Latency[r.Class]:
		return false
	}
	return b.class(r).Idempotency != AtMostOnce && a.Number+1 < b.settings.Limits.MaxAttempts
}

// recordOutcome counts the end of an attempt towards the concurrency limit and the health of the attempt's backend. It
// also counts the end as evidence on the attempt's version, unless deferFailure defers the failure or attributes it to
// the request.
func (b *Balancer) recordOutcome(a *Attempt) {
	if a.outcome == AtCapacity && a.Request.Pinned {
		return // the instance runs elsewhere: the placement was outdated, and the backend is not at fault
	}
	b.adaptConcurrencyLimit(a)
	if a.Backend.StartedAt == a.backendStart && a.outcome < Cancelled {
		b.recordAttemptForBackend(a)
	}
	if b.deferFailure(a) {
		return
	}
	b.recordForVersion(a, b.now > a.slowAfter || a.outcome == TimedOut)
}

// deferFailure reports whether the end of an attempt must not count as evidence on its version now. If a request fails
// and is retried, its failure is not counted until the retry is answered. If the retry succeeds, the failure counts
// against the version of the failed attempt. If the retry fails too, the request itself is considered faulty.
//
// The delay guards against the rollback of good versions because of requests that fail at any version. The drawback is
// that the failures of a version which fails all attempts of a class at every backend are attributed to the requests.
func (b *Balancer) deferFailure(a *Attempt) bool {
	r, deferred := a.Request, a.Request.deferredFailure
	switch a.outcome {
	case Errored:
		if deferred != nil {
			b.requestFaults = appendBounded(b.requestFaults, 1, sampleSize)
			r.deferredFailure, r.failedTwice = nil, true
			return true
		}
		if b.canRetryElsewhere(r) {
			r.deferredFailure = a
			return true
		}
	case Succeeded:
		b.requestFaults = appendBounded(b.requestFaults, 0, sampleSize)
		r.deferredFailure = nil
		if deferred != nil {
			b.recordForVersion(deferred, false)
		}
	}
	return false
}

// canRetryElsewhere reports whether a request that has failed may be retried at another backend.
func (b *Balancer) canRetryElsewhere(r *Request) bool {
	return b.class(r).Idempotency != AtMostOnce && len(b.backends) > 1 && r.state != requestAnswered &&
		len(r.attempts) < b.settings.Limits.MaxAttempts
}
