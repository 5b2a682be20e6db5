package balancer

import "math"

// At each backend the relay has at most as many attempts in flight as the backend answers within a share of a latency
// objective, plus one. At all backends together it has at most concurrencyLimit attempts in flight. Early answers raise
// concurrencyLimit by a factor. Late answers, time-outs and refusals at capacity lower it by a factor.
//
// Inputs: the times of a backend's last answers and the shortest latency objective of any class, in ticks; for
// concurrencyLimit, the outcome of each attempt and its duration as a share of the time from chosenAt to lateAfter.
//
// The limits guard against slow backends, overload, and queues at backends in which requests wait for longer than the
// latency objective. All of these faults make answers late for as long as they last. A backend that answers fewer
// attempts is sent fewer. The limits are least accurate right after an idle period, because the relay then knows few
// recent answers.

const (
	// capacityShare is a share of the shortest latency objective. A warm backend may have as many attempts in flight as
	// it answers within that share, plus one.
	capacityShare = 0.15
	// lateAnswerShare is a share of the time from an attempt's chosenAt to its lateAfter. An attempt that takes longer
	// counts as a sign of overloaded backends.
	lateAnswerShare = 0.6
	// limitDecrease is the share by which a late answer, a time-out or a refusal at capacity lowers concurrencyLimit.
	// limitIncrease is the share by which an early answer raises it.
	limitDecrease = 0.1
	limitIncrease = 0.06
	// rateWindow is the time over which the relay's own rates are measured.
	rateWindow = 2 * Second
	// minLimitPerBackend sets the minimum to which adaptConcurrencyLimit lowers concurrencyLimit. The minimum is
	// minLimitPerBackend times warmCapacity, divided by the number of relays, and at least 1.
	minLimitPerBackend = 2
)

// concurrency holds the attempts in flight and the relay's own rates.
type concurrency struct {
	attemptsInFlight []*Attempt // the attempts, in the order in which they started
	concurrencyLimit float64    // maximum number of attempts in flight at all backends together
	subsetSize       int        // number of backends that the relay chooses from
	successTimes     []Tick     // times of the successes within rateWindow
	warmCapacity     float64    // sum of the warm-up fractions of the ready backends
	canaryCapacity   float64    // the part of warmCapacity at backends that run a canary
	ratePerBackend   float64    // this relay's successes per second at a warm backend
}

func newConcurrency() concurrency {
	return concurrency{subsetSize: minSubsetSize, concurrencyLimit: minSubsetSize}
}

// capacity returns how many attempts a backend may have in flight, computed from the times of its last successes.
func (b *Balancer) capacity(backend *Backend) float64 {
	least := b.warmUpFraction(backend) // 1 at a warm backend: it may always have one attempt in flight
	answers := backend.successTimes
	if len(answers) < 2 {
		return least
	}
	return least + capacityShare*float64(b.shortestObjective)*float64(len(answers))/float64(max(1, b.now-answers[0]))
}

// openAttempts counts the attempts in flight that are not cancelled and whose backend is not silent.
func (b *Balancer) openAttempts() float64 {
	n := 0.0
	for _, a := range b.attemptsInFlight {
		if a.state != attemptCancelled && !b.silent(a.Backend) {
			n++
		}
	}
	return n
}

// adaptConcurrencyLimit adjusts concurrencyLimit after the end of an attempt. If the backend has not answered any
// attempt since this one was chosen, the outcome is not taken as a sign of overload, and the limit stays.
func (b *Balancer) adaptConcurrencyLimit(a *Attempt) {
	took, due := float64(b.now-a.chosenAt), float64(a.lateAfter-a.chosenAt)
	switch {
	case a.Backend.lastAnswer < a.chosenAt:
	case a.outcome == AtCapacity || a.outcome <= TimedOut && took > lateAnswerShare*due:
		minLimit := max(1, minLimitPerBackend*b.warmCapacity/max(1, b.settings.Relays))
		b.concurrencyLimit = max(minLimit, b.concurrencyLimit*(1-limitDecrease))
	// The answer was early, since the case above handles late ones. It raises the limit only if at least half of the
	// limit was in use, counting the attempt that has ended.
	case a.outcome == Succeeded && b.openAttempts()+1 >= b.concurrencyLimit/2:
		b.concurrencyLimit *= 1 + limitIncrease
	}
}

// updateConcurrency recomputes the relay's rates, the capacity of the ready backends, whether most of them are on
// probation, and the subset size.
func (b *Balancer) updateConcurrency() {
	b.successTimes = dropBefore(b.successTimes, b.now-rateWindow)
	b.arrivals = dropBefore(b.arrivals, b.now-rateWindow)
	warm, onProbation, all := 0.0, 0.0, float64(len(b.backends))
	b.warmCapacity, b.canaryCapacity = 0, 0
	for _, backend := range b.backends {
		fraction := b.warmUpFraction(backend)
		b.warmCapacity += fraction
		warm += math.Floor(fraction)
		onProbation += indicator(b.onProbation(backend))
		b.canaryCapacity += fraction * indicator(b.isCanary(backend.Version))
	}
	b.mostOnProbation = mostOnProbationDivisor*onProbation >= (mostOnProbationDivisor-1)*all
	b.updateRatePerBackend(warm, all)
	b.subsetSize = minSubsetSize + len(b.arrivals)*int(b.shortestObjective)/int(rateWindow)
}

// updateRatePerBackend recomputes ratePerBackend. While most backends are warm, ratePerBackend is the present rate of
// successes divided by the warm capacity. Otherwise it is the greater of two values: its previous value, and the
// present rate of successes divided by the number of backends.
func (b *Balancer) updateRatePerBackend(warm, all float64) {
	rate := float64(len(b.successTimes)) * float64(Second) / float64(rateWindow)
	b.ratePerBackend = max(b.ratePerBackend, rate/max(all, 1))
	if 2*warm > all {
		b.ratePerBackend = rate / max(b.warmCapacity, 1)
	}
}
