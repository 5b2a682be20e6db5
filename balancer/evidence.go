package balancer

import "log/slog"

// This file attributes outcomes to versions. Each outcome counts once, for the version that the attempt was sent to, in
// the streams that rollout.go names. Outcomes that are caused by the backend, the link to it or the request itself do
// not count.
//
// The inputs are the outcome of each attempt, the time of the last answer of its backend, reports of wrong answers, and
// the outcome counts of the release API.
//
// These rules keep a good version from being blamed for broken backends, links or requests. Such failures occur
// whichever version serves the request, and they are told apart here before they reach a test.

const (
	// maxShareBound is the upper limit of the bound that a share is tested against. No outcome exceeds 1, so a betting
	// test could place no bet with a bound of 1.
	maxShareBound = 0.9
	// maxBaselineAgeForResets is the maximum time since an attempt at the baseline was last counted as on time or slow.
	// After a longer time, resets at the canary are not compared with those at the baseline.
	maxBaselineAgeForResets = Second
	// maxBaselineMetricsAge is a number of metrics periods. The release API's counts of the canary are compared with
	// its last counts of the baseline only if the counts of the baseline are at most this many periods old.
	maxBaselineMetricsAge = 2
	// resetsMargin is how far the canary's share of reset attempts may exceed the baseline's. It is wider than
	// failureMargin because a single network fault breaks many connections at once.
	resetsMargin = 0.25
	// minShareSample is the least number of the baseline's outcomes from which its failure share is estimated.
	minShareSample = 16
)

// recordForVersion counts the end of an attempt as evidence on its version. Errors and answers count in the failure
// streams. Resets count in a stream of their own, because a network that breaks connections is not the version's fault.
func (b *Balancer) recordForVersion(a *Attempt, slow bool) {
	failed := a.outcome == Errored || a.outcome == Reset
	if !failed && a.outcome != Succeeded && a.outcome != TimedOut {
		return // the backend never processed the attempt, or the attempt was cancelled
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

// recordForCanary counts the end of an attempt at the canary in all streams that the attempt belongs to.
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

// observeFailure adds the outcome of a request to the stream of all requests and to the stream of its class.
func (b *Balancer) observeFailure(class int, errored float64) {
	for _, s := range []stream{{kind: allRequests}, {kind: oneClass, class: class}} {
		b.observe(s, errored, b.failureBound(s, class))
	}
}

// observe adds an outcome to a stream and tests the stream against an upper bound on its share of bad outcomes.
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

// failureBound returns the failure share that the outcomes of a class are tested against. A failed at-most-once request
// cannot be tried at another backend to find out whether the request itself is faulty. The bound for at-most-once
// classes is therefore raised by the share of requests that failed at two backends (requestFaults).
func (b *Balancer) failureBound(s stream, class int) float64 {
	share := b.baseline.failureShare(s)
	if b.settings.Classes[class].Idempotency == AtMostOnce {
		return share + mean(b.requestFaults) + failureMargin
	}
	return share + failureMargin
}

// wrongAnswerBound returns the upper bound on the canary's share of reported wrong answers.
func (b *Balancer) wrongAnswerBound() float64 {
	return b.baseline.wrongShare() + failureMargin*b.settings.Rollout.FoundShare
}

// baselineShare returns the baseline's failure share in a class, for the effect test of the class. With little data on
// the baseline, the share is assumed to be low, so that ruledOutEffect is not ruled out too early.
func (b *Balancer) baselineShare(class int) float64 {
	return conservativeShare(b.baseline.class[class])
}

// conservativeShare returns the share of bad outcomes, or failureMargin if there are fewer than minShareSample
// outcomes.
func conservativeShare(outcomes []float64) float64 {
	if len(outcomes) < minShareSample {
		return failureMargin
	}
	return smoothedShare(failures(outcomes))
}

// attributedToBackend reports whether an outcome is attributed to the backend or the link to it, and not to the
// version. This holds for a bad outcome at a backend that has not answered anything since the attempt was started, and
// for any outcome at an ejected backend while other backends of the same version succeed. As a consequence, failures of
// a bad version that fails at only some of its backends are attributed to those backends.
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

// recordAnswer adds an answer (0) or a report of a wrong answer (1) to the stream of wrong answers.
func (b *Balancer) recordAnswer(version uint16, outcome float64) {
	e, found := b.evaluation, b.settings.Rollout.FoundShare
	if found == 0 {
		return
	}
	if version < e.version {
		b.baseline.wrong = appendBounded(b.baseline.wrong, outcome, rareSampleSize)
	}
	if version != e.version {
		return
	}
	e.samples.wrong = appendBounded(e.samples.wrong, outcome, rareSampleSize)
	if outcome > 0 {
		e.wrongEffect.Observe(outcome, conservativeShare(b.baseline.wrong), ruledOutEffect*found)
	} else if b.settings.Rollout.ReportWithin.Ticks() > 0 { // a report on this answer may still arrive
		e.awaitingReports = appendBounded(e.awaitingReports, b.now, rareSampleSize)
	}
	b.addToGossip(len(b.settings.Classes), outcome)
	b.observe(stream{kind: wrongAnswers}, outcome, b.wrongAnswerBound())
}

// OnWrongAnswer handles a client's report that an answer was wrong. The report counts as one additional bad outcome.
func (b *Balancer) OnWrongAnswer(now Tick, backend *Backend, class int, _ Tick) {
	b.now = now
	b.recordAnswer(backend.Version, 1)
	if backend.Version == b.evaluation.version {
		all := stream{kind: allRequests}
		b.observe(all, 1, b.failureBound(all, class))
	}
	b.considerVote()
}

// OnMetrics handles the release API's counts of the outcomes at all relays, for one version and class over one period.
// The counts form a stream of their own, which is the same for all relays. The canary's bad share is tested against
// that of the baseline's last counts, plus failureMargin and canaryLoadMargin. Bad outcomes are spread evenly among the
// good ones.
//
// The stream detects a version whose backends stop answering. A single relay sees almost no traffic at each backend,
// and attributes silence to the backend and not to the version; the counts of all relays show the failures. The cost is
// that a network fault that isolates only the canary's backends counts against the version.
func (b *Balancer) OnMetrics(now Tick, version uint16, _ int, outcomes, failed int, _, _ Tick) {
	b.now = now
	e := b.evaluation
	period := b.settings.Rollout.MetricsPeriod.Ticks()
	for i := range min(outcomes, rareSampleSize) {
		outcome := spreadOutcome(i, min(failed, outcomes), outcomes)
		switch {
		case version < e.version:
			b.baseline.metrics = appendBounded(b.baseline.metrics, outcome, rareSampleSize)
			b.baselineMetricsAt = now
		case version == e.version && b.baselineMetricsAt > 0 && now-b.baselineMetricsAt <= maxBaselineMetricsAge*period:
			b.observe(stream{kind: releaseMetrics}, outcome, b.baseline.metricsShare()+canaryLoadMargin+failureMargin)
		}
	}
	b.considerVote()
}

// spreadOutcome returns the i-th of n outcomes, where i starts at 0: 1 if it is bad, otherwise 0. The bad outcomes are
// spread evenly.
func spreadOutcome(i, bad, n int) float64 { return float64((i+1)*bad/n - i*bad/n) }

// countUnreportedAnswers counts each answer as correct once Rollout.ReportWithin has passed since the answer.
func (b *Balancer) countUnreportedAnswers() {
	e, within := b.evaluation, b.settings.Rollout.ReportWithin.Ticks()
	for n := 0; len(e.awaitingReports) > 0 && n < rareSampleSize && e.awaitingReports[0]+within <= b.now; n++ {
		e.awaitingReports = e.awaitingReports[1:]
		e.wrongEffect.Observe(0, conservativeShare(b.baseline.wrong), ruledOutEffect*b.settings.Rollout.FoundShare)
	}
}

// missingEvidence returns the first stream whose effect test has not ruled out its effect yet (see ruledOutEffect). It
// checks each class that has had answers. It also checks wrong answers if FoundShare and ReportWithin are above 0. The
// effect test of wrong answers includes an answer without a report only after countUnreportedAnswers has counted the
// answer as correct.
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
