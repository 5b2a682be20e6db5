package balancer

import (
	"math"
	"slices"
)

// The latencies of a class are estimated from its last answers, whatever their version. An attempt is slow if it takes
// slowMultiple times the median latency that its class had before the rollout, or the latency objective if that is
// shorter. A slow attempt counts against its version like a time-out. The share of slow attempts at a canary is
// compared with that of the version before it, with an allowance for the load and the warm-up of the canary's backends.
//
// Inputs: the latencies of a class's last answers and its latency objective, in ticks; the rate of successes before the
// rollout and now.
//
// The comparison guards against versions that are slow, become slow, or slow down all backends through the requests
// they get. Such versions still answer, but late. A canary that slows down all backends also raises the baseline's slow
// share, and with it the bound for the canary. slownessBound therefore accepts a rise of the baseline's slow share only
// up to baselineSlowdownMargin. Slow attempts in a burst of requests or on a new connection do not count against the
// version, because they have another cause.

const (
	// An attempt is slow if it takes longer than slowMultiple times the median latency that its class had before the
	// rollout.
	slowMultiple = 3
	// canaryLoadMargin is the share of attempts that may be slow because the backends of a canary carry more load.
	canaryLoadMargin = 0.22
	// burstMultiple is the multiple of a relay's rate of successes before the rollout above which inBurst reports a
	// burst of requests. Both rates are relative to the warm capacity. A burst is caused by the clients and not by the
	// canary.
	burstMultiple = 1.2
	// burstDeviations is how many standard deviations of random variation are allowed on top of burstMultiple.
	burstDeviations = 3
	// sampleSize is the number of latencies and outcomes that are kept for each class.
	sampleSize = 64
	// estimateDivisor is the number of equal parts that a latency objective is divided into. With fewer than
	// minLatencySample answers, the latency estimate is one part. Every estimate is at most the objective minus one
	// part. Without this maximum, slow answers could keep every later request from being attempted, and no answer could
	// show lower latencies.
	estimateDivisor = 4
	// estimateLifetime is how long an estimate stays valid after the last answer or the last late attempt of its class.
	// Load and backends may have changed after this time.
	estimateLifetime = 4 * Second
	// minLatencySample is the minimum number of latencies that the percentiles are computed from. With 16 latencies, at
	// least one lies above the 90th percentile.
	minLatencySample = 16
	// baselineSlowdownMargin is how far the baseline's slow share may rise in a rollout before the rise counts against
	// the canary. A greater rise counts because the canary may have slowed down all backends.
	baselineSlowdownMargin = 0.1
)

// latencyEstimates holds the latencies of attempts and the estimates from them, by class.
type latencyEstimates struct {
	latencies               [][]Tick // latencies of the last answers
	lastAnswerOrLateAttempt []Tick   // when the last answer came or the last late attempt was allowed
	p90Latency              []Tick
	medianLatency           []Tick
	shortestObjective       Tick // the shortest latency objective of any class
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

// recordLatency records the latency of an answer.
func (b *Balancer) recordLatency(class int, latency Tick) {
	b.latencies[class] = appendBounded(b.latencies[class], latency, sampleSize)
	b.lastAnswerOrLateAttempt[class] = b.now
}

// updateLatencies recomputes the estimates. If a class has had neither an answer nor a late attempt for
// estimateLifetime, updateLatencies drops all latencies of the class but the last one.
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

// setLatencyBounds sets the times after which an attempt is late for its backend and slow for its version. It also
// records whether the attempt needs a new connection.
func (b *Balancer) setLatencyBounds(a *Attempt) {
	backend, class := a.Backend, a.Request.Class
	objective := b.settings.Classes[class].LatencyObjective.Ticks()
	fraction := b.warmUpFraction(backend)
	a.lateAfter = b.now + Tick(float64(objective)/fraction)
	a.slowAfter = b.now + Tick(float64(min(objective, slowMultiple*b.evaluation.initialMedianLatency[class]))/fraction)
	n := len(backend.successTimes)
	a.newConnection = n == 0 || b.now-backend.successTimes[n-1] > b.settings.Limits.IdleTimeout.Ticks()
}

// recordTimeliness counts an attempt for its version, either as slow or as having ended before it was slow.
func (b *Balancer) recordTimeliness(a *Attempt, slow bool) {
	e, outcome := b.evaluation, indicator(slow)
	a.countedAsSlow = a.countedAsSlow || slow
	// A busy relay makes sampleSize attempts in a small part of a second. The sample is therefore enlarged by the
	// number of successes within rateWindow.
	size := sampleSize + len(b.successTimes)
	switch {
	case a.version < e.version:
		b.baseline.slow = appendBounded(b.baseline.slow, outcome, size)
		b.baselineTimelinessAt = b.now
	case a.version == e.version:
		e.samples.slow = appendBounded(e.samples.slow, outcome, size)
		if !b.inBurst() {
			b.observe(stream{kind: slowness}, outcome, b.slownessBound())
		}
	}
}

// inBurst reports whether far more attempts succeed now than before the rollout, each number relative to the warm
// capacity of its time.
func (b *Balancer) inBurst() bool {
	e := b.evaluation
	maxSuccesses := max(1, b.warmCapacity) * (burstMultiple*e.initialSuccesses + burstDeviations*math.Sqrt(e.initialSuccesses)) / e.initialWarmCapacity
	return float64(len(b.successTimes)) > maxSuccesses
}

// slownessBound returns the slow share above which a canary is suspect.
func (b *Balancer) slownessBound() float64 {
	return min(b.baseline.slowShare(), b.evaluation.initialSlowShare+baselineSlowdownMargin) + canaryLoadMargin + failureMargin
}
