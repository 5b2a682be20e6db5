package balancer

import "strconv"

// The rule: of the nearest backends that may take a request, two are drawn and the one with less in flight gets it (power of
// two choices). A canary gets the first attempt of a request whenever its exposure credit is due, and whatever no other
// version can take.
//
// Inputs: the backends in the relay's own order, attempts in flight at each, relative latencies to break ties, the exposure
// credit of the request's class.
//
// Guards against herds: seen as relays that all send to the one backend that looks best; holds because each compares two
// that it has drawn, by what it has in flight there itself.

const (
	// minSubsetSize is how many backends a relay chooses from at the least; one more comes for each request that arrives
	// within a latency objective.
	// Guards against hundreds of relays that reach every backend: seen as connections that cost more than they serve, and
	// relays that see next to nothing of each; holds because a small relay keeps to a few, by an order of its own.
	minSubsetSize = 5
	// minCanarySubsetSize is the same for the backends of a canary; its part of the others' number comes beside.
	minCanarySubsetSize = 2
)

// candidates is the memory of the lists that eligibleBackends returns.
type candidates struct {
	stableCandidates []*Backend
	canaryCandidates []*Backend
}

// Refusal is why a backend may not take a request now. A higher one is found out later in the order of the checks.
type Refusal uint8

// The refusals, in the order in which they are checked.
const (
	NotRefused           Refusal = iota
	RefusedByLimit               // the relay has as much in flight as it allows itself
	RefusedByEndpoint            // not ready, or not where the request's instance runs
	RefusedByIdempotency         // another attempt could have an effect twice, or the key is a later version's
	RefusedByLastAttempt         // it had the last attempt
	RefusedByEjection            // it is on probation, and not due for an attempt
	RefusedBySlowStart           // it warms up, and has had its budget
	RefusedByCapacity            // it has as much in flight as it can answer
	RefusedByDegradation         // it failed of late, and others are there
	RefusedByExposure            // it runs a canary that has had its exposure
)

var refusalNames = [...]string{"none", "concurrency limit", "endpoint", "idempotency", "last attempt", "ejection", "slow start",
	"capacity", "degradation", "exposure cap"}

// String is the refusal in words.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return strconv.Itoa(int(r))
}

// route starts an attempt of a request, if any backend may take it.
func (b *Balancer) route(r *Request) bool {
	for {
		r.refusal = RefusedByEndpoint // of those that are not in the list of ready ones
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

// eligibleBackends are the nearest backends that may take a request, those of a canary apart. What refused the others is
// kept with the request. Both lists are valid until the next call.
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

// checkBackend tells why a backend may not take a request, in the order of the constants.
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

// checkHardConstraints tells which of the rules that never bend a further attempt would break. They are asked as a backend is chosen,
// and once more as the attempt is written.
func (b *Balancer) checkHardConstraints(r *Request, attempts []*Attempt, backend *Backend) Refusal {
	switch {
	case backend.State != Ready, r.Pinned && r.PinnedTo != backend:
		return RefusedByEndpoint
	case !b.mayServeKey(r.Key, backend.Version), !b.safeToRepeat(r, attempts, backend):
		return RefusedByIdempotency
	}
	return NotRefused
}

// excludedByLastAttempt tells whether a backend had the last attempt of a request. A pinned request has no other backend: it may
// go there again after a pause that doubles.
func (b *Balancer) excludedByLastAttempt(r *Request, backend *Backend) bool {
	n := len(r.attempts)
	if n == 0 || r.attempts[n-1].Backend != backend {
		return false
	}
	return !r.Pinned || b.now < r.attempts[n-1].chosenAt+timerInterval<<n
}

// pickVersion picks the canary or what is stable. The part of the exposure cap that first attempts leave is for requests
// that nothing stable can take.
func (b *Balancer) pickVersion(r *Request, stable, canary []*Backend) []*Backend {
	if len(stable) == 0 {
		return canary
	}
	if len(r.attempts) == 0 && b.exposureOf(r.Class).credit >= 1 && len(canary) > 0 {
		return canary
	}
	return stable
}

// pickLeastLoaded draws two backends and picks the one with less in flight; of equals the faster one.
func (b *Balancer) pickLeastLoaded(candidates []*Backend) *Backend {
	first := candidates[b.random.intN(len(candidates))]
	second := candidates[b.random.intN(len(candidates))]
	if second.inFlight < first.inFlight ||
		second.inFlight == first.inFlight && mean(second.relativeLatencies) < mean(first.relativeLatencies) {
		return second
	}
	return first
}

// startAttempt sends a request to a backend.
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

// BeginAttempt tells whether an attempt may be written now, after waits and the set-up of its connection, and counts it as
// sent now. Written at once it always may be.
// Guards against connections that come up late: seen as attempts past the window of an idempotency key, at a backend that
// drains or is another process by now, or over the budgets of exposure and slow start; holds because the rules are asked
// about the moment of the write.
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

// writeGracePeriod is how long after the choice an attempt may be written without being counted against the budgets anew.
const writeGracePeriod = timerInterval / 10

// overBudget tells whether an attempt that is written late is over the budgets of exposure or slow start by now.
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

// uncountAttempt takes back what countAttempt has counted last.
func (b *Balancer) uncountAttempt(a *Attempt) {
	e := b.exposureOf(a.Request.Class)
	e.attempts = removeTime(e.attempts, a.countedAt, a.countedAsExposure)
	a.Backend.warmUpSends = removeTime(a.Backend.warmUpSends, a.countedAt, a.countedAsWarmUp)
}
