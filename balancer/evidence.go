package balancer

import "log/slog"

// The rule: each outcome counts once, for the version that the attempt went to, in the streams that rollout.go names. What
// speaks for a backend, a link or the request itself is left out.
//
// Inputs: how an attempt ended, and when its backend last answered; reports of wrong answers; the release API's counts.
//
// Guards against good versions that are blamed for broken backends, links and requests: seen as failures that do not
// depend on the version; holds because those are told apart before they count.

const (
	// maxShareBound keeps a bound on a share from reaching 1, where no bet is left.
	maxShareBound = 0.9
	// maxBaselineAgeForResets is how long ago the baseline may have shown an attempt for resets to be compared.
	maxBaselineAgeForResets = Second
	// maxBaselineMetricsAge is the same for the release API's counts, in their periods.
	maxBaselineMetricsAge = 2
	// resetsMargin is how much more of its attempts may break at a canary than at the baseline. It is wider than that of
	// failures, as one network that breaks connections breaks many at once.
	resetsMargin = 0.25
	// minShareSample is the least number of the baseline's outcomes that say something of its share of bad ones.
	minShareSample = 16
)

// recordForVersion takes the end of an attempt as evidence on the version that it went to. Errors and answers count in the
// streams of failures, broken connections in one of their own: a network that breaks them is no version's doing.
func (b *Balancer) recordForVersion(a *Attempt, slow bool) {
	failed := a.outcome == Errored || a.outcome == Reset
	if !failed && a.outcome != Succeeded && a.outcome != TimedOut {
		return // it was never looked at, or called off
	}
	if b.attributedToBackend(a, failed || slow) {
		return
	}
	if excused := slow && a.newConnection; !a.countedAsSlow && !excused {
		b.recordTimeliness(a, slow)
	}
	if a.outcome == Succeeded {
		b.recordAnswer(a.version, 0)
	}
	class, errored, broken := a.Request.Class, indicator(a.outcome == Errored), indicator(a.outcome == Reset)
	switch {
	case a.version < b.evaluation.version:
		b.baseline.class[class] = appendBounded(b.baseline.class[class], errored, sampleSize)
		b.baseline.resets = appendBounded(b.baseline.resets, broken, rareSampleSize)
	case a.version == b.evaluation.version:
		b.recordForCanary(class, errored, broken)
	}
}

func (b *Balancer) recordForCanary(class int, errored, broken float64) {
	e := b.evaluation
	e.samples.resets = appendBounded(e.samples.resets, broken, rareSampleSize)
	if b.now-b.baselineTimelinessAt <= maxBaselineAgeForResets {
		b.observe(stream{kind: resets}, broken, b.baseline.resetShare()+resetsMargin)
	}
	e.samples.class[class] = appendBounded(e.samples.class[class], errored, sampleSize)
	e.effects[class].Observe(errored, b.baselineShare(class), ruledOutEffect)
	e.outcomesInStage++
	b.addToGossip(class, errored)
	b.observeFailure(class, errored)
}

// observeFailure adds the outcome of a request to the streams of all and of its class.
func (b *Balancer) observeFailure(class int, errored float64) {
	for _, s := range []stream{{kind: allRequests}, {kind: oneClass, class: class}} {
		b.observe(s, errored, b.failureBound(s, class))
	}
}

// observe adds an outcome to a stream, against a bound on the share of bad ones.
func (b *Balancer) observe(s stream, outcome, bound float64) {
	e := b.evaluation
	raised, ok := e.detectors.forStream(s).Observe(outcome, min(bound, maxShareBound))
	if !ok || e.alarm != nil {
		return
	}
	raised.Bound = bound
	e.alarm = &alarm{stream: s, Alarm: raised}
	b.logSampled("alarm", slog.Int("version", int(e.version)), slog.String("evidence", e.alarm.String()))
}

// failureBound is the failure share that outcomes of a class are held against. Failures of at-most-once requests cannot be
// tried elsewhere: the share of other requests that failed at two backends excuses them.
func (b *Balancer) failureBound(s stream, class int) float64 {
	share := b.baseline.failureShare(s)
	if b.settings.Classes[class].Idempotency == AtMostOnce {
		return share + mean(b.requestFaults) + failureMargin
	}
	return share + failureMargin
}

// wrongAnswerBound is the share of reports among answers that a canary is held against.
func (b *Balancer) wrongAnswerBound() float64 {
	return b.baseline.wrongShare() + failureMargin*b.settings.Rollout.FoundShare
}

// baselineShare is the baseline's failure share for ruling an effect out. While next to nothing is known of the baseline
// it is held to be good, so that nothing is ruled out too soon.
func (b *Balancer) baselineShare(class int) float64 {
	return conservativeShare(b.baseline.class[class])
}

func conservativeShare(outcomes []float64) float64 {
	if len(outcomes) < minShareSample {
		return failureMargin
	}
	return smoothedShare(failures(outcomes))
}

// attributedToBackend tells whether a bad outcome speaks for its backend or the link to it, not for the version: at a
// silent backend, or one that failed its own test while others of its version answer.
// Hurts when a bad version shows at some backends only.
func (b *Balancer) attributedToBackend(a *Attempt, bad bool) bool {
	if bad && a.Backend.lastAnswer < a.chosenAt {
		return true
	}
	if !a.Backend.ejected {
		return false
	}
	for _, other := range b.backends {
		if other != a.Backend && other.Version == a.version && !other.ejected && len(other.successTimes) > 0 {
			return true
		}
	}
	return false
}

// recordAnswer adds an answer (0) or a report of a wrong one (1) to the stream of wrong answers.
func (b *Balancer) recordAnswer(version uint16, x float64) {
	e, found := b.evaluation, b.settings.Rollout.FoundShare
	if found == 0 {
		return
	}
	if version < e.version {
		b.baseline.wrong = appendBounded(b.baseline.wrong, x, rareSampleSize)
	}
	if version != e.version {
		return
	}
	e.samples.wrong = appendBounded(e.samples.wrong, x, rareSampleSize)
	if x > 0 {
		e.wrongEffect.Observe(x, conservativeShare(b.baseline.wrong), ruledOutEffect*found)
	} else if b.settings.Rollout.ReportWithin.Ticks() > 0 { // its report may be on its way
		e.awaitingReports = appendBounded(e.awaitingReports, b.now, rareSampleSize)
	}
	b.addToGossip(len(b.settings.Classes), x)
	b.observe(stream{kind: wrongAnswers}, x, b.wrongAnswerBound())
}

// OnWrongAnswer takes the report of a client that an answer was wrong: one more outcome, a bad one.
func (b *Balancer) OnWrongAnswer(now Tick, backend *Backend, class int, _ Tick) {
	b.now = now
	b.recordAnswer(backend.Version, 1)
	if backend.Version == b.evaluation.version {
		all := stream{kind: allRequests}
		b.observe(all, 1, b.failureBound(all, class))
	}
	b.considerVote()
}

// OnMetrics takes what the release API counted of all relays' outcomes of one version and class in a period: a stream of
// its own, one and the same for all relays, against its counts of the baseline in the same periods, raised for the load of
// the canary's backends. Bad outcomes are spread evenly among the others.
// Guards against versions whose backends stop answering: seen as silence, which speaks for backends where each relay
// sees next to nothing of one; holds because the counts of all relays show it. Hurts where the canary's backends alone are
// cut off.
func (b *Balancer) OnMetrics(now Tick, version uint16, _ int, outcomes, failed int, _, _ Tick) {
	b.now = now
	e := b.evaluation
	period := b.settings.Rollout.MetricsPeriod.Ticks()
	for i := range min(outcomes, rareSampleSize) {
		x := spreadOutcome(i, min(failed, outcomes), outcomes)
		switch {
		case version < e.version:
			b.baseline.metrics = appendBounded(b.baseline.metrics, x, rareSampleSize)
			b.baselineMetricsAt = now
		case version == e.version && b.baselineMetricsAt > 0 && now-b.baselineMetricsAt <= maxBaselineMetricsAge*period:
			b.observe(stream{kind: releaseMetrics}, x, b.baseline.metricsShare()+canaryLoadMargin+failureMargin)
		}
	}
	b.considerVote()
}

// spread is the i-th of n outcomes, so many of which are bad, spread evenly.
func spreadOutcome(i, bad, n int) float64 { return float64((i+1)*bad/n - i*bad/n) }

// countUnreportedAnswers counts answers as right once a report would have come.
func (b *Balancer) countUnreportedAnswers() {
	e, within := b.evaluation, b.settings.Rollout.ReportWithin.Ticks()
	for n := 0; len(e.awaitingReports) > 0 && n < rareSampleSize && e.awaitingReports[0]+within <= b.now; n++ {
		e.awaitingReports = e.awaitingReports[1:]
		e.wrongEffect.Observe(0, conservativeShare(b.baseline.wrong), ruledOutEffect*b.settings.Rollout.FoundShare)
	}
}

// missingEvidence is the first stream with traffic for which the effect is not ruled out. Call countUnreportedAnswers first.
func (b *Balancer) missingEvidence() (s stream, missing bool) {
	e := b.evaluation
	for class := range e.effects {
		if len(b.latencies[class]) > 0 && !e.effects[class].RuledOut() {
			return stream{kind: oneClass, class: class}, true
		}
	}
	reports := b.settings.Rollout.ReportWithin.Ticks() > 0 && b.settings.Rollout.FoundShare > 0
	if reports && !e.wrongEffect.RuledOut() {
		return stream{kind: wrongAnswers}, true
	}
	return stream{}, false
}
