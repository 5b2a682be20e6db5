package balancer

import "math"

// The rule: a backend has in flight no more than what it answers in a part of a latency objective, and one more. All
// backends together have no more than a limit that early answers raise by a factor and late ones lower.
//
// Inputs: the times of a backend's last answers and the shortest latency objective of a class, in ticks; for the limit, how
// much of what was due an attempt took.
//
// Guards against slow backends, overload, and queues at backends that outlast the latency objective: seen as answers that
// all come late; holds because a backend that answers less gets less. Hurts right after an idle spell, when little is
// known.

const (
	// capacityShare is the part of a latency objective whose answers a backend may owe.
	capacityShare = 0.15
	// lateAnswerShare is the part of what was due after which an answer says that backends are overloaded.
	lateAnswerShare = 0.6
	// limitDecrease and limitIncrease are the parts by which a late answer lowers and an early one raises the limit.
	limitDecrease = 0.1
	limitIncrease = 0.06
	// rateWindow is the time over which the relay's own rates are taken.
	rateWindow = 2 * Second
	// minLimitPerBackend is what the limit leaves for each backend that there is to a relay, however late answers are.
	minLimitPerBackend = 2
)

// concurrency is what is in flight, and what the relay knows of its own rate.
type concurrency struct {
	attemptsInFlight []*Attempt // in the order of their start
	concurrencyLimit float64    // attempts in flight that the relay allows itself
	subsetSize       int        // backends that it chooses from
	successTimes     []Tick     // within rateWindow
	warmCapacity     float64    // backends in use, by their warm-up fractions
	canaryCapacity   float64    // those of them that run a canary
	ratePerBackend   float64    // successes a second at a warm backend, this relay's part
}

func newConcurrency() concurrency {
	return concurrency{subsetSize: minSubsetSize, concurrencyLimit: minSubsetSize}
}

// capacity is how much may be in flight at a backend, by the times of its last answers.
func (b *Balancer) capacity(backend *Backend) float64 {
	least := b.warmUpFraction(backend) // one in flight, at a warm backend
	answers := backend.successTimes
	if len(answers) < 2 {
		return least
	}
	return least + capacityShare*float64(b.shortestObjective)*float64(len(answers))/float64(max(1, b.now-answers[0]))
}

// openAttempts counts the attempts in flight at backends that still answer.
func (b *Balancer) openAttempts() float64 {
	n := 0.0
	for _, a := range b.attemptsInFlight {
		if a.state != attemptCancelled && !b.silent(a.Backend) {
			n++
		}
	}
	return n
}

// adaptConcurrencyLimit learns from the end of an attempt. That no answer came is no sign of overload.
func (b *Balancer) adaptConcurrencyLimit(a *Attempt) {
	took, due := float64(b.now-a.chosenAt), float64(a.lateAfter-a.chosenAt)
	switch {
	case a.Backend.lastAnswer < a.chosenAt:
	case a.outcome == AtCapacity || a.outcome <= TimedOut && took > lateAnswerShare*due:
		least := max(1, minLimitPerBackend*b.warmCapacity/max(1, b.settings.Relays))
		b.concurrencyLimit = max(least, b.concurrencyLimit*(1-limitDecrease))
	case a.outcome == Succeeded && b.openAttempts()+1 >= b.concurrencyLimit/2: // it is in use
		b.concurrencyLimit *= 1 + limitIncrease
	}
}

// updateConcurrency works out the relay's rates and the backends that are there for them.
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

// updateRatePerBackend takes the rate of the warm backends while they are the most. Else what they did holds, or what all
// of them do now.
func (b *Balancer) updateRatePerBackend(warm, all float64) {
	rate := float64(len(b.successTimes)) * float64(Second) / float64(rateWindow)
	b.ratePerBackend = max(b.ratePerBackend, rate/max(all, 1))
	if 2*warm > all {
		b.ratePerBackend = rate / max(b.warmCapacity, 1)
	}
}
