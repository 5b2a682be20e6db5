package balancer

import (
	"math"
	"slices"
)

// The rule: the latencies of a class are estimated from its last answers, at any version. An attempt that takes several
// times the median from before the rollout is slow, which counts as a time-out would. A canary is held against the slow
// share of the version before it, raised for the load and the warm-up of the canary's backends.
//
// Inputs: the latencies of a class's last answers and its latency objective, in ticks; the rate of successes before the
// rollout and now.
//
// Guards against versions that are slow, turn slow, or slow all backends with what they get: seen as answers that still
// come, but late; holds because the rise of the baseline itself is excused up to a margin alone. A burst of requests or a new
// connection speaks for itself and is left out.

const (
	// slowMultiple is how many medians from before the rollout make an attempt slow.
	slowMultiple = 3
	// canaryLoadMargin is the share of attempts that the greater load of a canary's backends may make slow.
	canaryLoadMargin = 0.22
	// burstMultiple is how many times as many successes as before the rollout are a burst, which is the clients' doing.
	burstMultiple = 1.2
	// burstDeviations is how many standard deviations of chance are left free in that.
	burstDeviations = 3
	// sampleSize is the number of latencies and outcomes that are kept of a class.
	sampleSize = 64
	// estimateDivisor: without answers, an attempt is held to take one in so many parts of the latency objective, and no
	// estimate is longer than all of them but one.
	// Guards against slow answers that keep away what alone can show faster ones.
	estimateDivisor = 4
	// estimateLifetime is how long the last answer of a class, or the last try without one, says something: load and backends may have changed since.
	estimateLifetime = 4 * Second
	// minLatencySample is the least number of latencies for an estimate, so that some of them lie above the 90th percentile.
	minLatencySample = 16
	// baselineSlowdownMargin is how far the baseline's slow share may rise in a rollout before the rise is held against the
	// canary, which may be what slows all backends.
	baselineSlowdownMargin = 0.1
)

// latencyEstimates are how long attempts take, by class.
type latencyEstimates struct {
	latencies               [][]Tick // of the last answers
	lastAnswerOrLateAttempt []Tick   // when the last of them came, or a request was tried by allowLateAttempt
	p90Latency              []Tick
	medianLatency           []Tick
	shortestObjective       Tick // the least latency objective of a class
}

func newLatencyEstimates(classes []RequestClass) latencyEstimates {
	n := len(classes)
	l := latencyEstimates{latencies: make([][]Tick, n), lastAnswerOrLateAttempt: make([]Tick, n), p90Latency: make([]Tick, n),
		medianLatency: make([]Tick, n), shortestObjective: Tick(math.MaxInt64)}
	for i := range classes {
		l.shortestObjective = min(l.shortestObjective, classes[i].LatencyObjective.Ticks())
	}
	return l
}

// recordLatency takes the latency of an answer.
func (b *Balancer) recordLatency(class int, latency Tick) {
	b.latencies[class] = appendBounded(b.latencies[class], latency, sampleSize)
	b.lastAnswerOrLateAttempt[class] = b.now
}

// updateLatencies works the estimates out anew. What no answer has borne out for a while is forgotten.
func (b *Balancer) updateLatencies() {
	for class, latencies := range b.latencies {
		defaultEstimate := b.settings.Classes[class].LatencyObjective.Ticks() / estimateDivisor
		b.p90Latency[class], b.medianLatency[class] = defaultEstimate, defaultEstimate
		n := len(latencies)
		if n < minLatencySample {
			continue
		}
		if b.now > b.lastAnswerOrLateAttempt[class]+estimateLifetime {
			b.latencies[class] = latencies[n-1:]
			continue
		}
		sorted := slices.Sorted(slices.Values(latencies))
		longest := (estimateDivisor - 1) * defaultEstimate
		b.p90Latency[class] = min(sorted[n*9/10], longest)
		b.medianLatency[class] = min(sorted[n/2], longest)
	}
}

// setLatencyBounds works out from when on an attempt is late for its backend and slow for its version.
func (b *Balancer) setLatencyBounds(a *Attempt) {
	backend, class := a.Backend, a.Request.Class
	objective := b.settings.Classes[class].LatencyObjective.Ticks()
	fraction := b.warmUpFraction(backend)
	a.lateAfter = b.now + Tick(float64(objective)/fraction)
	a.slowAfter = b.now + Tick(float64(min(objective, slowMultiple*b.evaluation.initialMedianLatency[class]))/fraction)
	n := len(backend.successTimes)
	a.newConnection = n == 0 || b.now-backend.successTimes[n-1] > b.settings.Limits.IdleTimeout.Ticks()
}

// recordTimeliness counts an attempt that is slow, or that ended before it was.
func (b *Balancer) recordTimeliness(a *Attempt, slow bool) {
	e, x := b.evaluation, indicator(slow)
	a.countedAsSlow = a.countedAsSlow || slow
	size := sampleSize + len(b.successTimes) // a small part of a second is no sample at a large relay
	switch {
	case a.version < e.version:
		b.baseline.slow = appendBounded(b.baseline.slow, x, size)
		b.baselineTimelinessAt = b.now
	case a.version == e.version:
		e.samples.slow = appendBounded(e.samples.slow, x, size)
		if !b.inBurst() {
			b.observe(stream{kind: slowness}, x, b.slownessBound())
		}
	}
}

// inBurst tells whether much more succeeds, for the backends there are, than before the rollout.
func (b *Balancer) inBurst() bool {
	e := b.evaluation
	most := max(1, b.warmCapacity) * (burstMultiple*e.initialSuccesses + burstDeviations*math.Sqrt(e.initialSuccesses)) / e.initialWarmCapacity
	return float64(len(b.successTimes)) > most
}

// slownessBound is the slow share that a canary is held against.
func (b *Balancer) slownessBound() float64 {
	return min(b.baseline.slowShare(), b.evaluation.initialSlowShare+baselineSlowdownMargin) + canaryLoadMargin + failureMargin
}
