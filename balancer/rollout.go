package balancer

import (
	"fmt"
	"log/slog"
	"maps"

	"silvercove/balancer/sequential"
)

// The rule: the outcomes at a canary are held against those of the version before it, the baseline, in streams: of all
// requests, of each class, of wrong answers, of slowness, of broken connections and of what the release API counts. A
// sequential test of any stream that rejects is an alarm, which votes to roll back. Before a vote to promote, the dual of
// the test rules out for each class with traffic that it fails more by an effect.
//
// Guards against versions that fail a class, a part of the requests, or only some time after their start: seen as
// failures at the canary beyond those at the baseline; holds because the chance of an alarm without such a difference is
// bounded over the whole rollout, and the chance to promote a version with the effect is bounded for each class.

const (
	// margin is how much more of the outcomes may fail at a canary than at the baseline.
	margin = sequential.Margin
	// ruledOutEffect is the share of failures beyond the baseline's that is ruled out before a vote to promote.
	ruledOutEffect = 0.2
	// highestBound keeps a bound on a share from reaching 1, where no bet is left.
	highestBound = 0.9
	// resetsFreshness is how long ago the baseline may have shown an attempt for resets to be compared.
	resetsFreshness = Second
	// metricsFreshness is the same for fleet metrics, in their periods.
	metricsFreshness = 2
)

// rollout is what is known of the newest version and of the one before it.
type rollout struct {
	release       ReleaseStatus // as the release API told last
	releaseKnown  bool
	stageStart    Tick
	answeredKeys  map[uint16]*keySet // the keys that a version has answered, of few versions
	requestFaults []float64          // of the last requests answered or failed at two backends, 1 for a failure

	baseline          *samples
	baselineTimedAt   Tick // when the baseline last showed whether an attempt was slow
	baselineMetricsAt Tick // when the release API last counted some of it; 0: never
	evaluation        *evaluation
}

func newRollout(classes int) rollout {
	return rollout{answeredKeys: map[uint16]*keySet{}, baseline: newSamples(classes)}
}

// RolloutPhase is where a version stands.
type RolloutPhase uint8

// The phases of a version. The values are those of the wire.
const (
	// Canary: it is on trial, stage after stage.
	Canary RolloutPhase = iota
	// RollingBack: it is being replaced.
	RollingBack
	// Released: all of the fleet may run it.
	Released
	// Withdrawn: it was rolled back, or replaced by the next one.
	Withdrawn
)

// ReleaseStatus is what the release API says of the newest version.
type ReleaseStatus struct {
	Version uint16
	// Stage is its stage, from 0.
	Stage int
	Phase RolloutPhase
	// VoteReply tells that this answers a vote of this relay.
	VoteReply bool
	// Outcome is Succeeded if the other fields hold; see Outcome for the others.
	Outcome Outcome
	// ExposureCap is the share of the requests whose attempts may go to the version.
	ExposureCap float64
	// Age is how long this status has lasted.
	Age Tick
}

// evaluation is the evidence on one version.
type evaluation struct {
	version         uint16
	samples         *samples
	detectors       detectors
	alarm           *alarm                  // nil for none
	effects         []sequential.EffectTest // by class
	wrongEffect     sequential.EffectTest
	awaitingReports []Tick // answers whose reports may be on their way

	outcomesInStage int
	countedStage    int // that they were counted in
	stagePassed     int // replies to votes have shown the stages before it to be over

	// As the version came:
	baselineBackends float64 // of earlier versions
	warmCapacity     float64
	successes        float64 // within rateWindow
	slowShareBefore  float64 // of the version before
	medianLatency    []Tick  // by class
}

// detectors are the sequential tests of one evaluation, by stream.
type detectors struct {
	all, wrong, slow, resets, metrics sequential.Detector
	class                             []sequential.Detector
}

// newDetectors shares the budget of false alarms among the streams of a kind. Slowness is shared among the relays too:
// load can mislead a relay as to it, and one relay that is misled decides for all.
func newDetectors(classes int, relays float64) detectors {
	level := func(parts float64) sequential.Detector {
		return sequential.NewDetector(sequential.FalseAlarmBudget / parts)
	}
	n := float64(classes)
	d := detectors{all: level(1), wrong: level(1), slow: level(max(1, relays)), resets: level(n), metrics: level(1)}
	for range classes {
		d.class = append(d.class, level(n))
	}
	return d
}

// of is the detector of a stream.
func (d *detectors) of(s stream) *sequential.Detector {
	switch s.kind {
	case oneClass:
		return &d.class[s.class]
	case wrongAnswers:
		return &d.wrong
	case slowness:
		return &d.slow
	case resets:
		return &d.resets
	case fleetMetrics:
		return &d.metrics
	}
	return &d.all
}

// suspicious tells whether any detector is half-way to an alarm.
func (d *detectors) suspicious() bool {
	for i := range d.class {
		if d.class[i].Suspicious() {
			return true
		}
	}
	return d.all.Suspicious() || d.wrong.Suspicious() || d.slow.Suspicious() || d.resets.Suspicious() ||
		d.metrics.Suspicious()
}

// alarm is why a version is to be rolled back.
type alarm struct {
	stream stream
	sequential.Alarm
}

func (a *alarm) String() string {
	return fmt.Sprintf("%s: test %d of %d, wealth %.3g against a share of %.3f", a.stream, a.Start, a.Outcomes, a.Wealth, a.Bound)
}

// startEvaluation begins to evaluate a version that is newer than all before it.
func (b *Balancer) startEvaluation(version uint16) {
	e, classes := b.evaluation, len(b.settings.Classes)
	if e != nil && version <= e.version {
		return
	}
	if e != nil && (!b.releaseKnown || b.release.Version != e.version || b.release.Phase == Released) {
		b.baseline = e.samples // it was kept: now it is the baseline
	}
	b.resetGossip()
	b.evaluation = &evaluation{version: version, samples: newSamples(classes),
		detectors:   newDetectors(classes, b.settings.Relays),
		effects:     make([]sequential.EffectTest, classes),
		wrongEffect: sequential.NewEffectTest(),

		baselineBackends: float64(len(b.backends) - b.backendsRunning(version)),
		warmCapacity:     max(1, b.warmCapacity),
		successes:        float64(len(b.successTimes)),
		slowShareBefore:  b.baseline.slowShare(),
		medianLatency:    append([]Tick(nil), b.medianLatency...),
	}
	for i := range b.evaluation.effects {
		b.evaluation.effects[i] = sequential.NewEffectTest()
	}
}

// OnReleaseStatus takes where the newest version stands, or the reply to a vote.
func (b *Balancer) OnReleaseStatus(now Tick, status ReleaseStatus) {
	b.now = now
	b.onVoteReply(status)
	if status.Outcome == Succeeded {
		b.takeRelease(status)
	}
	b.serveQueue()
	b.considerVote()
}

func (b *Balancer) takeRelease(status ReleaseStatus) {
	b.startEvaluation(status.Version)
	old := b.release
	if !b.releaseKnown || old.Version != status.Version || old.Stage != status.Stage || old.Phase != status.Phase {
		b.stageStart = b.now - status.Age
		b.evaluation.outcomesInStage, b.evaluation.countedStage = 0, status.Stage
		maps.DeleteFunc(b.answeredKeys, func(by uint16, _ *keySet) bool { return by < status.Version })
	}
	if bound, _ := b.exposureCapOf(status.Version); b.releaseKnown && old.Phase != Released && status.ExposureCap < bound {
		// The lower cap holds at once over the old count; the rule counts anew later.
		b.exposureResetAt = b.now + b.settings.Endpoints.DrainGrace.Ticks() + 1
	}
	b.release, b.releaseKnown = status, true
}

// backendsRunning counts the listed backends that run a version or a later one.
func (b *Balancer) backendsRunning(version uint16) int {
	n := 0
	for _, backend := range b.backends {
		if backend.Version >= version {
			n++
		}
	}
	return n
}

// recordForVersion takes the end of an attempt as evidence on the version that it went to. Errors and answers count in the
// streams of failures, broken connections in one of their own: a network that breaks them is no version's doing.
func (b *Balancer) recordForVersion(a *Attempt, slow bool) {
	failed := a.outcome == Errored || a.outcome == Reset
	if !failed && a.outcome != Succeeded && a.outcome != TimedOut {
		return // it was never looked at, or called off
	}
	if b.speaksForBackendAlone(a, failed || slow) {
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
	if b.now-b.baselineTimedAt <= resetsFreshness {
		b.observe(stream{kind: resets}, broken, b.baseline.resetShare()+degradedMargin)
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
	raised, ok := e.detectors.of(s).Observe(outcome, min(bound, highestBound))
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
		return share + mean(b.requestFaults) + margin
	}
	return share + margin
}

// wrongAnswerBound is the share of reports among answers that a canary is held against.
func (b *Balancer) wrongAnswerBound() float64 {
	return b.baseline.wrongShare() + margin*b.settings.Rollout.FoundShare
}

// baselineShare is the baseline's failure share for ruling an effect out. While next to nothing is known of the baseline
// it is held to be good, so that nothing is ruled out too soon.
func (b *Balancer) baselineShare(class int) float64 {
	return knownShare(b.baseline.class[class])
}

func knownShare(outcomes []float64) float64 {
	if len(outcomes) < backendSampleSize {
		return margin
	}
	return smoothedShare(failures(outcomes))
}

// speaksForBackendAlone tells whether a bad outcome speaks for its backend or the link to it, not for the version: at a
// silent backend, or one that failed its own test while others of its version answer.
// Hurts when a bad version shows at some backends only.
func (b *Balancer) speaksForBackendAlone(a *Attempt, bad bool) bool {
	if bad && a.Backend.lastAnswer < a.sentAt {
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
		e.wrongEffect.Observe(x, knownShare(b.baseline.wrong), ruledOutEffect*found)
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
// its own, one and the same for the fleet, against its counts of the baseline in the same periods, raised for the load of
// the canary's backends. Bad outcomes are spread evenly among the others.
// Guards against versions whose backends stop answering: seen as silence, which speaks for backends where each relay
// sees next to nothing of one; holds because the counts of all relays show it. Hurts where the canary's backends alone are
// cut off.
func (b *Balancer) OnMetrics(now Tick, version uint16, _ int, outcomes, failed int, _, _ Tick) {
	b.now = now
	e := b.evaluation
	period := b.settings.Rollout.MetricsPeriod.Ticks()
	for i := range min(outcomes, rareSampleSize) {
		x := spread(i, min(failed, outcomes), outcomes)
		switch {
		case version < e.version:
			b.baseline.metrics = appendBounded(b.baseline.metrics, x, rareSampleSize)
			b.baselineMetricsAt = now
		case version == e.version && b.baselineMetricsAt > 0 && now-b.baselineMetricsAt <= metricsFreshness*period:
			b.observe(stream{kind: fleetMetrics}, x, b.baseline.metricsShare()+canaryLoadMargin+margin)
		}
	}
	b.considerVote()
}

// spread is the i-th of n outcomes, so many of which are bad, spread evenly.
func spread(i, bad, n int) float64 { return float64((i+1)*bad/n - i*bad/n) }

// matureReports counts answers as right once a report would have come.
func (b *Balancer) matureReports() {
	e, within := b.evaluation, b.settings.Rollout.ReportWithin.Ticks()
	for n := 0; len(e.awaitingReports) > 0 && n < rareSampleSize && e.awaitingReports[0]+within <= b.now; n++ {
		e.awaitingReports = e.awaitingReports[1:]
		e.wrongEffect.Observe(0, knownShare(b.baseline.wrong), ruledOutEffect*b.settings.Rollout.FoundShare)
	}
}

// missingEvidence is the first stream with traffic for which the effect is not ruled out.
func (b *Balancer) missingEvidence() (s stream, missing bool) {
	b.matureReports()
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
