package balancer

import (
	"log/slog"
	"slices"
)

// A sequential test on the outcomes at a backend decides when the backend is ejected. The test bets that the backend
// fails most of its attempts, against a null hypothesis derived from the failure share of this relay's last attempts at
// all backends. An ejected backend is on probation and gets single attempts. Each success shortens the interval between
// these attempts, and below probationExitInterval the backend is readmitted. A silent backend, which has left all
// attempts unanswered for too long (see silenceShare), also gets single attempts only. A backend that recently failed
// more than backends do on average is degraded and comes last in the relay's order.
//
// Inputs: the outcomes of attempts and whether they came in time, the outcomes at all backends, the time since the last
// answer in ticks; in a fleet, which backends other relays have ejected.
//
// The rules guard against backends that fail, fall silent or run out of connections, possibly only as seen by this
// relay. Such a fault makes attempts fail at one backend among many. The test compares a backend with the relay's last
// outcomes at all backends, so a failure that affects all backends ejects none.

const (
	// ejectionFailureShare is the failure share of a backend that should be ejected, as assumed by the sequential test
	// on the outcomes at a backend.
	ejectionFailureShare = 0.75
	// ejectionWealth is the wealth of a backend's test (failureWealth) at which the backend is ejected. With a null
	// share of minNullShare, two failures in a row reach a wealth of 14, and three reach 53. The threshold lies between
	// these values.
	ejectionWealth = 27.0
	// minNullShare and maxNullShare bound the null share: the failure share under the null hypothesis. Within the
	// bounds, it is nullShareMultiple times the failure share of the relay's last attempts at all backends. The lower
	// bound keeps few failures in a small sample from ejecting a backend. Without the upper bound, the null share could
	// come so close to ejectionFailureShare that failures would hardly raise the wealth.
	minNullShare      = 0.2
	maxNullShare      = 0.7
	nullShareMultiple = 1.5
	// silenceShare is a share of the shortest latency objective: a warm backend that leaves all attempts unanswered for
	// longer is silent.
	silenceShare = 0.6
	// degradedMargin is a margin on failure shares: a backend is degraded only if its failure share exceeds that of all
	// backends by more than this margin.
	degradedMargin = 0.25
	// initialProbationInterval and maxProbationInterval bound the time between attempts on probation after failures.
	// Each failure doubles the interval and each success halves it. Below probationExitInterval the backend is
	// readmitted.
	initialProbationInterval = Second / 2
	maxProbationInterval     = 4 * Second
	probationExitInterval    = Second / 20
	// minProbationPause is the least pause after an attempt on probation. It applies to a backend that is silent or
	// avoided but has not failed, whose probation interval is 0.
	minProbationPause = Second / 20
	// maxProbationInFlight is how many attempts a backend on probation may have in flight.
	maxProbationInFlight = 2
	// maxDegradedTime is how long after its last failure a backend may be degraded.
	maxDegradedTime = 2 * maxProbationInterval
	// mostOnProbationDivisor defines when most backends are on probation: at most one in mostOnProbationDivisor
	// backends is not. The cause is then taken to be this relay itself.
	mostOnProbationDivisor = 8
	// avoidedDivisor limits how many backends are avoided because other relays have ejected them. While at least one in
	// avoidedDivisor backends is ejected or avoided, no further backend is avoided for this reason.
	avoidedDivisor = 4
	// backendSampleSize is the number of outcomes that are kept for each backend.
	backendSampleSize = 16
	// relativeLatencySampleSize is the number of relative latencies that are kept for each backend.
	relativeLatencySampleSize = backendSampleSize / 4
)

// backendHealth holds what the outcomes at a backend show of its health.
type backendHealth struct {
	recentFailures       []float64 // the last outcomes, 1 for a failure
	lastFailure          Tick
	failureWealth        float64 // wealth of the test that ejects the backend
	ejected              bool
	probationInterval    Tick // time between attempts while the backend is ejected
	nextProbationAttempt Tick
	avoidedUntil         Tick // the relay avoids the backend until this time, because the host's AllowProbe has returned false for the backend
}

// ejection holds what the relay knows of all its backends together.
type ejection struct {
	recentFailures  []float64 // the last outcomes at any backend, 1 for a failure
	mostOnProbation bool      // nearly every backend is on probation, for instance because this relay stalled
}

// newEjection returns a state whose sample contains only successes, as backends are assumed to be healthy at the start.
func newEjection() ejection {
	return ejection{recentFailures: make([]float64, backendSampleSize)}
}

// degraded reports whether a backend failed recently and failed more of its last attempts than backends do on average.
func (b *Balancer) degraded(backend *Backend) bool {
	return b.now-backend.lastFailure < maxDegradedTime &&
		mean(backend.recentFailures) > degradedMargin+mean(b.recentFailures)
}

// onProbation reports whether a backend is ejected, silent or avoided, and so gets only single attempts.
func (b *Balancer) onProbation(backend *Backend) bool {
	return backend.ejected || b.silent(backend) || b.now < backend.avoidedUntil
}

// silent reports whether a backend has left all attempts unanswered for too long. A backend that warms up gets more
// time.
func (b *Balancer) silent(backend *Backend) bool {
	if backend.inFlight == 0 {
		return false
	}
	silence := float64(b.now-max(backend.lastAnswer, backend.waitingSince)) * b.warmUpFraction(backend)
	return silence > silenceShare*float64(b.shortestObjective)
}

// dueForProbationAttempt reports whether a backend on probation may get an attempt of a request now. Only requests that
// can be retried go to such a backend.
func (b *Balancer) dueForProbationAttempt(r *Request, backend *Backend) bool {
	return b.now >= backend.nextProbationAttempt && backend.inFlight < maxProbationInFlight &&
		b.class(r).Idempotency != AtMostOnce
}

// mayProbe reports whether this relay may try a backend. It asks the fleet (AllowProbe) if the backend is on probation
// here or ejected by other relays. If AllowProbe returns false, the relay avoids the backend for
// initialProbationInterval. While at least one in avoidedDivisor backends is ejected here or avoided, the cause is no
// single backend, and ejections by other relays are ignored.
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

// countEjectedOrAvoided returns how many backends are ejected or avoided.
func (b *Balancer) countEjectedOrAvoided() (n int) {
	for _, backend := range b.backends {
		if backend.ejected || b.now < backend.avoidedUntil {
			n++
		}
	}
	return n
}

// recordAttemptForBackend records the outcome and the latency of an ended attempt for its backend. If the backend's
// silence during the attempt was already counted as a failure, the outcome is not counted again.
func (b *Balancer) recordAttemptForBackend(a *Attempt) {
	if !a.silenceCounted {
		b.recordForBackend(a.Backend, b.now > a.lateAfter || a.outcome != Succeeded)
	}
	relative := float64(b.now-a.chosenAt) / float64(a.lateAfter-a.chosenAt)
	a.Backend.relativeLatencies = appendBounded(a.Backend.relativeLatencies, relative, relativeLatencySampleSize)
}

// recordForBackend updates the test of a backend with one more outcome, and ejects or readmits the backend if that is
// due.
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

// moveToEnd moves an element to the end of a list that contains it.
func moveToEnd[T comparable](list []T, element T) {
	if at := slices.Index(list, element); at >= 0 {
		copy(list[at:], list[at+1:])
		list[len(list)-1] = element
	}
}
