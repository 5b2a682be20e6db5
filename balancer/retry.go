package balancer

import "slices"

// The rule: a request whose attempt has failed gets another one, where its class allows one at any backend and the fleet's
// budget of retries has one left. An attempt at a silent backend is called off early, to serve the request elsewhere in
// time. A request that fails twice, at two backends unless it is pinned to one, is held to be at fault itself.
//
// Inputs: the outcomes of a request's attempts, the settings' limit on them, the fleet's answer to each retry, silence of
// the backend.
//
// Guards against retries that multiply a load: seen as more attempts than requests while backends fail; holds because the
// fleet's budget of retries is a share of first attempts (package overload), and cancelled attempts are a small share of
// what succeeds. A relay outside a fleet has no such budget: Limits.MaxAttempts alone bounds its retries.

// cancelsPerSuccess is the part of an attempt that each success allows to call off.
// Guards against calling off what is merely slow: seen on a loaded day as most attempts late at once; holds because no more
// than one in 25 is called off.
const cancelsPerSuccess = 0.04

// cancellation is what may be called off.
type cancellation struct {
	cancelBudget float64 // attempts at silent backends that may be called off now
}

// newCancellation begins with as many as the least number of backends that a relay chooses from.
func newCancellation() cancellation { return cancellation{cancelBudget: minSubsetSize} }

// addCancelBudget adds what one success allows to call off, up to one attempt for each backend to choose from.
func (b *Balancer) addCancelBudget() {
	b.cancelBudget = min(b.cancelBudget+cancelsPerSuccess, float64(b.subsetSize))
}

// retryOrShed queues a request for another attempt, or answers it.
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

// takeRetry asks the fleet for one more attempt of a request whose last one has ended, unless one is reserved for it. Where
// there is to be none, a failure that waits for the next answer speaks for its version at once: no answer will come.
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

// reserveRetry asks the fleet for one more attempt of a request whose last one is to be called off. The request keeps it
// until that one has ended.
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

// retryPolicy is what decides on a retry of a request; nil where no more than this package's rules do.
func (b *Balancer) retryPolicy(r *Request) fleetPolicy {
	policy, ok := b.host.(fleetPolicy)
	if !ok || b.missedInstance(r) {
		return nil
	}
	return policy
}

// recordDeferredFailure holds the failure of a request that waits for the next answer, if any, against its version.
func (b *Balancer) recordDeferredFailure(r *Request) {
	if failure := r.deferredFailure; failure != nil {
		r.deferredFailure = nil
		b.recordForVersion(failure, false)
	}
}

// missedInstance tells whether the last attempt of a request came to where its instance does not run any more:
// nothing ran, so that the next one is no retry.
func (b *Balancer) missedInstance(r *Request) bool {
	return r.Pinned && r.attempts[len(r.attempts)-1].outcome == AtCapacity
}

// cancelAndRetry calls off an attempt at a silent backend, if its request can still be served elsewhere.
// Guards against backends that are dead or hang and links that are cut: seen as requests that wait for their time-out;
// holds because silence is found out well before it.
func (b *Balancer) cancelAndRetry(a *Attempt) {
	if b.cancelBudget < 1 || !b.cancellable(a) || !b.reserveRetry(a.Request) {
		return
	}
	b.cancelBudget--
	a.state = attemptCancelled
	b.host.CancelAttempt(a)
}

// cancellable tells whether an attempt may be called off and another one may follow in time.
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

// recordOutcome finds out what the end of an attempt speaks for: the load, the backend, the version or the request itself.
func (b *Balancer) recordOutcome(a *Attempt) {
	if a.outcome == AtCapacity && a.Request.Pinned {
		return // its instance is elsewhere: that speaks for the news of it, not for the backend
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

// deferFailure tells whether the end of an attempt is not to be held against its version now. A failure of a request that
// is tried again waits for the next answer: if that succeeds the version of the first one has failed, and if that fails
// too the request itself is at fault.
// Guards against requests that fail anywhere: seen as good versions rolled back; holds because such a request fails at any
// version. Hurts where a version fails every backend's attempts of a class.
func (b *Balancer) deferFailure(a *Attempt) bool {
	r, first := a.Request, a.Request.deferredFailure
	switch a.outcome {
	case Errored:
		if first != nil {
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
		if first != nil {
			b.recordForVersion(first, false)
		}
	}
	return false
}

// canRetryElsewhere tells whether a request that has failed may be tried at another backend.
func (b *Balancer) canRetryElsewhere(r *Request) bool {
	return b.class(r).Idempotency != AtMostOnce && len(b.backends) > 1 && r.state != requestAnswered &&
		len(r.attempts) < b.settings.Limits.MaxAttempts
}
