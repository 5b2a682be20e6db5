package balancer

import "strconv"

// For each request, the relay collects the first backends in its own order that may take the request. It draws two of
// them and sends the request to the one with fewer attempts in flight (power of two choices). A canary gets the first
// attempt of a request if the exposure credit is at least 1. Within the exposure cap, it also gets the requests that no
// stable backend can take.
//
// Inputs: the backends in the relay's own order, the attempts in flight at each, relative latencies to break ties, and
// the exposure credit of the request's class.
//
// The random choice guards against herding, in which all relays send to the one backend that looks best. Each relay
// compares only the two backends that it has drawn, and only by its own attempts in flight.

const (
	// minSubsetSize is the least number of backends that a relay chooses from. One more is added for each request that
	// arrives, on average, within the shortest latency objective. If each of hundreds of relays sent to every backend,
	// the cost of the connections would exceed their benefit, and a relay would see almost no traffic at each backend.
	// A relay with little traffic therefore uses only the first few backends in its own random order.
	minSubsetSize = 5
	// minCanarySubsetSize is the minimum of the number of canary backends that a relay chooses from. The number is
	// minCanarySubsetSize plus canaryFraction times subsetSize (see eligibleBackends).
	minCanarySubsetSize = 2
)

// candidates holds the buffers of the lists that eligibleBackends returns.
type candidates struct {
	stableCandidates []*Backend
	canaryCandidates []*Backend
}

// Refusal is the reason why a backend may not take a request now. The values are in the order of the checks.
type Refusal uint8

// The reasons for refusing a backend, in the order in which they are checked.
const (
	NotRefused           Refusal = iota
	RefusedByLimit               // the relay has reached its concurrency limit
	RefusedByEndpoint            // the backend is not ready, or does not run the request's instance
	RefusedByIdempotency         // a repeat could have a second effect, or a later version has answered the key
	RefusedByLastAttempt         // the last attempt of the request went to the backend
	RefusedByEjection            // the backend is on probation, and not due for an attempt
	RefusedBySlowStart           // the backend is warming up, and its slow-start budget is used up
	RefusedByCapacity            // the backend has as much in flight as it can answer
	RefusedByDegradation         // the backend is degraded, and at least minSubsetSize stable backends before it in the order may take the request
	RefusedByExposure            // the backend runs a canary that has reached its exposure cap
)

var refusalNames = [...]string{"none", "concurrency limit", "endpoint", "idempotency", "last attempt", "ejection", "slow start",
	"capacity", "degradation", "exposure cap"}

// String returns the refusal in words.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return strconv.Itoa(int(r))
}

// route starts an attempt of a request if any backend may take it, and reports whether an attempt started.
func (b *Balancer) route(r *Request) bool {
	for {
		r.refusal = RefusedByEndpoint // stays if no backend is ready; eligibleBackends can only raise it
		if b.openAttempts() >= b.concurrencyLimit {
			r.refusal = RefusedByLimit
			return false
		}
		stable, canary := b.eligibleBackends(r)
		choices := b.pickVersion(r, stable, canary)
		if len(choices) == 0 {
			return false
		}
		backend := b.pickLeastLoaded(choices)
		if b.mostOnProbation || b.mayProbe(backend) {
			r.refusal = NotRefused
			b.startAttempt(r, backend)
			return true
		}
	}
}

// eligibleBackends returns the first backends in the relay's order that may take a request, with those of a canary in a
// separate list. It raises r.refusal to the highest Refusal of the backends that it checked. The backend with the
// highest Refusal passed the most checks. Both lists are valid until the next call.
func (b *Balancer) eligibleBackends(r *Request) (stable, canary []*Backend) {
	stable, canary = b.stableCandidates[:0], b.canaryCandidates[:0]
	exposure := b.exposureOf(r.Class)
	canaryLimit := minCanarySubsetSize + int(b.canaryFraction*float64(b.subsetSize))
	for _, backend := range b.backends {
		isCanary := b.isCanary(backend.Version)
		if isCanary && len(canary) >= canaryLimit || !isCanary && len(stable) >= b.subsetSize {
			continue
		}
		refusal := b.checkBackend(r, backend)
		switch {
		case refusal != NotRefused:
		case len(stable) >= minSubsetSize && b.degraded(backend):
			refusal = RefusedByDegradation
		case !isCanary:
			stable = append(stable, backend)
		case b.exposureAllows(r, exposure, backend.Version):
			canary = append(canary, backend)
		default:
			refusal = RefusedByExposure
		}
		r.refusal = max(r.refusal, refusal)
	}
	b.stableCandidates, b.canaryCandidates = stable, canary
	return stable, canary
}

// checkBackend returns the first reason, in the order of the constants of type Refusal, why a backend may not take a
// request, or NotRefused.
func (b *Balancer) checkBackend(r *Request, backend *Backend) Refusal {
	if refusal := b.checkHardConstraints(r, r.attempts, backend); refusal != NotRefused {
		return refusal
	}
	restricted := !b.mostOnProbation && b.onProbation(backend)
	switch {
	case b.excludedByLastAttempt(r, backend):
		return RefusedByLastAttempt
	case restricted && !b.dueForProbationAttempt(r, backend):
		return RefusedByEjection
	case !b.slowStartAllows(backend):
		return RefusedBySlowStart
	case !restricted && float64(backend.inFlight) >= b.capacity(backend):
		return RefusedByCapacity
	}
	return NotRefused
}

// checkHardConstraints returns the hard constraint that a further attempt would break, or NotRefused. The hard
// constraints hold without exception and are checked when a backend is chosen, and again when the attempt is written.
func (b *Balancer) checkHardConstraints(r *Request, attempts []*Attempt, backend *Backend) Refusal {
	switch {
	case backend.State != Ready, r.Pinned && r.PinnedTo != backend:
		return RefusedByEndpoint
	case !b.mayServeKey(r.Key, backend.Version), !b.safeToRepeat(r, attempts, backend):
		return RefusedByIdempotency
	}
	return NotRefused
}

// excludedByLastAttempt reports whether a backend may not take a request because it had the last attempt. A pinned
// request has no other backend, so it may go to the same backend again after a pause that doubles with each attempt.
func (b *Balancer) excludedByLastAttempt(r *Request, backend *Backend) bool {
	n := len(r.attempts)
	if n == 0 || r.attempts[n-1].Backend != backend {
		return false
	}
	return !r.Pinned || b.now < r.attempts[n-1].chosenAt+timerInterval<<n
}

// pickVersion returns the parameter stable or the parameter canary, which are the lists that eligibleBackends returned.
// The part of the exposure cap that first attempts do not use is reserved for requests that no stable backend can take.
func (b *Balancer) pickVersion(r *Request, stable, canary []*Backend) []*Backend {
	if len(stable) == 0 {
		return canary
	}
	if len(r.attempts) == 0 && b.exposureOf(r.Class).credit >= 1 && len(canary) > 0 {
		return canary
	}
	return stable
}

// pickLeastLoaded draws two backends and returns the one with fewer attempts in flight. A tie goes to the faster
// backend.
func (b *Balancer) pickLeastLoaded(candidates []*Backend) *Backend {
	first := candidates[b.random.intN(len(candidates))]
	second := candidates[b.random.intN(len(candidates))]
	if second.inFlight < first.inFlight ||
		second.inFlight == first.inFlight && mean(second.relativeLatencies) < mean(first.relativeLatencies) {
		return second
	}
	return first
}

// startAttempt starts an attempt of a request at a backend.
func (b *Balancer) startAttempt(r *Request, backend *Backend) {
	a := &Attempt{Request: r, Number: len(r.attempts), Backend: backend, chosenAt: b.now, version: backend.Version,
		backendStart: backend.StartedAt}
	b.setLatencyBounds(a)
	if b.isCanary(backend.Version) {
		e := b.exposureOf(r.Class)
		e.credit = max(0, e.credit-1)
	}
	b.countAttempt(a)
	if backend.inFlight == 0 {
		backend.waitingSince = b.now
	}
	if b.onProbation(backend) {
		backend.nextProbationAttempt = b.now + max(backend.probationInterval, minProbationPause)
	}
	backend.inFlight++
	r.attempts = append(r.attempts, a)
	b.attemptsInFlight = append(b.attemptsInFlight, a)
	b.host.StartAttempt(a, r.Deadline)
}

// BeginAttempt reports whether an attempt may be written now, after any waiting and the setup of its connection, and
// counts it as sent now. An attempt that is written at once is always allowed.
//
// The check guards against connections that come up late. Attempts would then be written after the window of an
// idempotency key, to a backend that drains or was replaced by another process, or over the budgets of exposure and
// slow start. BeginAttempt applies the rules to the moment of the write.
func (b *Balancer) BeginAttempt(now Tick, a *Attempt) bool {
	b.now = now
	b.uncountAttempt(a)
	if !b.mayBegin(a) || b.overBudget(a) {
		return false
	}
	b.countAttempt(a)
	return true
}

func (b *Balancer) mayBegin(a *Attempt) bool {
	r, backend := a.Request, a.Backend
	if r.state == requestAnswered || a.state != attemptRunning || b.now >= r.Deadline {
		return false
	}
	sameProcess := backend.StartedAt == a.backendStart && backend.Version == a.version
	return sameProcess && b.checkHardConstraints(r, r.attempts[:a.Number], backend) == NotRefused
}

// writeGracePeriod is how long after an attempt was chosen it may be written without being checked against the budgets
// again.
const writeGracePeriod = timerInterval / 10

// overBudget reports whether an attempt exceeds the budgets of exposure or slow start now. It is false until
// writeGracePeriod has passed since the attempt was chosen.
func (b *Balancer) overBudget(a *Attempt) bool {
	if b.now <= a.chosenAt+writeGracePeriod {
		return false
	}
	r, backend := a.Request, a.Backend
	if b.isCanary(backend.Version) && !b.exposureAllows(r, b.exposureOf(r.Class), backend.Version) {
		return true
	}
	return backend.lastWarmUpSend != a.countedAt && !b.slowStartAllows(backend)
}

// countAttempt counts an attempt as sent now, towards exposure and the slow-start budget.
func (b *Balancer) countAttempt(a *Attempt) {
	a.countedAt = b.now
	a.countedAsExposure = b.isCanary(a.version)
	a.countedAsWarmUp = b.warmUpFraction(a.Backend) < 1
	if a.countedAsExposure {
		e := b.exposureOf(a.Request.Class)
		e.attempts = append(e.attempts, b.now)
	}
	if a.countedAsWarmUp {
		b.countWarmUpSend(a.Backend)
	}
}

// uncountAttempt reverses the last countAttempt of an attempt.
func (b *Balancer) uncountAttempt(a *Attempt) {
	e := b.exposureOf(a.Request.Class)
	e.attempts = removeTime(e.attempts, a.countedAt, a.countedAsExposure)
	a.Backend.warmUpSends = removeTime(a.Backend.warmUpSends, a.countedAt, a.countedAsWarmUp)
}
