package balancer

import (
	"log/slog"
	"slices"
)

// The rule: a backend is ejected by a sequential test on its outcomes, which bets that it fails most of its attempts
// against that it fails as this relay's last ones did. An ejected backend is on probation: it gets single attempts, the
// more often the longer they succeed, and is back in use when they come close enough. A backend that has owed an answer for
// long is on probation in the same way, and one that failed of late more than others is degraded: it comes last.
//
// Inputs: the outcomes of attempts and whether they came in time, the outcomes at all backends, the time since the last
// answer in ticks; in a fleet, what other relays say.
//
// Guards against backends that fail, fall silent or are out of connections, perhaps for this relay alone: seen as
// attempts that fail at one of many; holds because the test compares with the relay's own last outcomes, so that a
// trouble of all ejects none.

const (
	// ejectionFailureShare is the failure share of a backend that is to be ejected.
	ejectionFailureShare = 0.75
	// ejectionWealth is the wealth of the test at which it is. It lies below the 53 that three failures in a row reach
	// where the usual share is at minNullShare, and above the 14 of two.
	ejectionWealth = 27.0
	// minNullShare and maxNullShare bound the failure share that the test takes for usual, and nullShareMultiple is it in
	// multiples of the relay's own: few failures in a small sample eject nothing, and a share near that of a bad backend
	// would make the bet worthless.
	minNullShare      = 0.2
	maxNullShare      = 0.7
	nullShareMultiple = 1.5
	// silenceShare is the part of a latency objective for which a backend may owe every answer.
	silenceShare = 0.6
	// degradedMargin is how much more of its last attempts a degraded backend failed than others.
	degradedMargin = 0.25
	// initialProbationInterval and maxProbationInterval bound the time between attempts on probation after failures. Each failure
	// doubles it and each success halves it, and below probationExitInterval the backend is back in use.
	initialProbationInterval = Second / 2
	maxProbationInterval     = 4 * Second
	probationExitInterval    = Second / 20
	// minProbationPause is the least pause after an attempt on probation. A backend that is silent or avoided, but has not
	// failed, has no interval of its own.
	minProbationPause = Second / 20
	// maxProbationInFlight is how much may be in flight at a backend on probation.
	maxProbationInFlight = 2
	// maxDegradedTime is how long after its last failure a backend may be degraded.
	maxDegradedTime = 2 * maxProbationInterval
	// mostOnProbationDivisor: where all but one in so many backends are on probation, the trouble is this relay's own.
	mostOnProbationDivisor = 8
	// avoidedDivisor: up to one in so many backends are avoided for the sake of other relays.
	avoidedDivisor = 4
	// backendSampleSize is the number of outcomes of one backend that are kept.
	backendSampleSize = 16
	// relativeLatencySampleSize is the number of its latencies.
	relativeLatencySampleSize = backendSampleSize / 4
)

// backendHealth is what the outcomes at one backend show of it.
type backendHealth struct {
	recentFailures       []float64 // the last outcomes, 1 for a failure
	lastFailure          Tick
	failureWealth        float64 // of the test that ejects it
	ejected              bool
	probationInterval    Tick // between the attempts while it is ejected
	nextProbationAttempt Tick
	avoidedUntil         Tick // for the sake of other relays
}

// ejection is what the relay knows of all its backends together.
type ejection struct {
	recentFailures  []float64 // the last outcomes at any backend, 1 for a failure
	mostOnProbation bool      // nearly every backend is on probation, as in a stall of this relay
}

// newEjection begins with a sample of good outcomes: backends are held to be good.
func newEjection() ejection {
	return ejection{recentFailures: make([]float64, backendSampleSize)}
}

// degraded tells whether a backend failed of late, and more of its last attempts than others did.
func (b *Balancer) degraded(backend *Backend) bool {
	return b.now-backend.lastFailure < maxDegradedTime &&
		mean(backend.recentFailures) > degradedMargin+mean(b.recentFailures)
}

// onProbation tells whether a backend is ejected, owes an answer for longer than is usual, or is avoided: it gets single
// attempts alone.
func (b *Balancer) onProbation(backend *Backend) bool {
	return backend.ejected || b.silent(backend) || b.now < backend.avoidedUntil
}

// silent tells whether a backend has owed every answer for long. One that warms up is given more time.
func (b *Balancer) silent(backend *Backend) bool {
	if backend.inFlight == 0 {
		return false
	}
	silence := float64(b.now-max(backend.lastAnswer, backend.waitingSince)) * b.warmUpFraction(backend)
	return silence > silenceShare*float64(b.shortestObjective)
}

// dueForProbationAttempt tells whether a backend on probation may get a request that can be tried again.
func (b *Balancer) dueForProbationAttempt(r *Request, backend *Backend) bool {
	return b.now >= backend.nextProbationAttempt && backend.inFlight < maxProbationInFlight &&
		b.class(r).Idempotency != AtMostOnce
}

// mayProbe asks the fleet whether this relay is to try a backend that is on probation here or ejected by others. If not, it
// leaves it alone for a moment. Where more than a few are ejected it is no backend's doing, and what others say counts for
// nothing.
func (b *Balancer) mayProbe(backend *Backend) bool {
	policy, ok := b.host.(fleetPolicy)
	if !ok {
		return true
	}
	if !b.onProbation(backend) && (!policy.IsEjected(backend) || avoidedDivisor*b.countEjectedOrAvoided() >= len(b.backends)) {
		return true
	}
	if policy.AllowProbe(backend) {
		return true
	}
	backend.nextProbationAttempt, backend.avoidedUntil = b.now+initialProbationInterval, b.now+initialProbationInterval
	return false
}

// countEjectedOrAvoided counts the backends that are ejected or avoided.
func (b *Balancer) countEjectedOrAvoided() (n int) {
	for _, backend := range b.backends {
		if backend.ejected || b.now < backend.avoidedUntil {
			n++
		}
	}
	return n
}

// recordAttemptForBackend takes how an attempt ended at its backend.
func (b *Balancer) recordAttemptForBackend(a *Attempt) {
	if !a.silenceCounted {
		b.recordForBackend(a.Backend, b.now > a.lateAfter || a.outcome != Succeeded)
	}
	relative := float64(b.now-a.chosenAt) / float64(a.lateAfter-a.chosenAt)
	a.Backend.relativeLatencies = appendBounded(a.Backend.relativeLatencies, relative, relativeLatencySampleSize)
}

// recordForBackend bets on one more outcome of a backend, and ejects it or takes it back into use.
func (b *Balancer) recordForBackend(backend *Backend, failed bool) {
	nullShare := min(max(minNullShare, nullShareMultiple*mean(b.recentFailures)), maxNullShare)
	if failed {
		backend.lastFailure = b.now
		backend.failureWealth = max(1, backend.failureWealth) * ejectionFailureShare / nullShare
		backend.probationInterval = min(max(backend.probationInterval*2, initialProbationInterval), maxProbationInterval)
	} else {
		backend.failureWealth = max(1, backend.failureWealth*(1-ejectionFailureShare)/(1-nullShare))
		backend.probationInterval /= 2
	}
	backend.recentFailures = appendBounded(backend.recentFailures, indicator(failed), backendSampleSize)
	b.recentFailures = appendBounded(b.recentFailures, indicator(failed), sampleSize)
	if b.degraded(backend) {
		moveToEnd(b.backends, backend)
	}
	switch {
	case !backend.ejected && backend.failureWealth >= ejectionWealth:
		b.eject(backend)
	case backend.ejected && !failed && backend.probationInterval < probationExitInterval:
		b.readmit(backend)
	}
}

func (b *Balancer) eject(backend *Backend) {
	backend.ejected = true
	backend.nextProbationAttempt = b.now + backend.probationInterval
	b.logSampled("backend ejected", slog.Uint64("backend", uint64(backend.ID)))
}

func (b *Balancer) readmit(backend *Backend) {
	backend.ejected = false
	backend.failureWealth = 1
	b.logSampled("backend back in use", slog.Uint64("backend", uint64(backend.ID)))
}

// moveToEnd puts one at the end of a list that has it.
func moveToEnd[T comparable](list []T, element T) {
	if at := slices.Index(list, element); at >= 0 {
		copy(list[at:], list[at+1:])
		list[len(list)-1] = element
	}
}
