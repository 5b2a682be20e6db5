package balancer

import (
	"fmt"
	"maps"

	"silvercove/balancer/sequential"
)

// This file evaluates canaries. Outcomes at a canary are compared with those at the baseline, the version before it, in
// several streams: all requests, each class, wrong answers, slowness, resets, and the counts of the release API. If the
// sequential test of any stream rejects, it raises an alarm, which makes the relay vote to roll back. Before a vote to
// promote, sequential.EffectTest must rule out, for each class with traffic, that the canary's failure share exceeds
// the baseline's by ruledOutEffect. A timed vote may be cast without this evidence; see readyToPromote.
//
// The inputs are the outcomes of attempts at both versions (1 is bad), reports of wrong answers, and the counts of the
// release API.
//
// The evaluation detects versions that fail a class, a part of the requests, or only some time after their start: they
// cause more failures at the canary than at the baseline. The probability of an alarm without such a difference is
// bounded over the whole rollout. Also bounded, for each class, is the probability that EffectTest rules out
// ruledOutEffect although the canary's failure share exceeds the baseline's by that much.

const (
	// failureMargin is how far the canary's failure share may exceed the baseline's.
	failureMargin = sequential.Margin
	// ruledOutEffect is the excess of the canary's failure share over the baseline's that must be ruled out before a
	// vote to promote.
	ruledOutEffect = 0.2
)

// rollout is the state of the newest version and of the baseline.
type rollout struct {
	release       ReleaseStatus // the last status from the release API
	releaseKnown  bool
	stageStart    Tick
	answeredKeys  map[uint16]*keyFilter // keys that each of the latest few versions has answered
	requestFaults []float64             // one entry for each of the last requests: 0 if it was answered, 1 if it failed twice (see Request.failedTwice)

	baseline             *samples
	baselineTimelinessAt Tick // when an attempt at the baseline was last counted as slow or on time
	baselineMetricsAt    Tick // when the release API last reported counts of the baseline; 0 means never
	evaluation           *evaluation
}

func newRollout(classes int) rollout {
	return rollout{answeredKeys: map[uint16]*keyFilter{}, baseline: newSamples(classes)}
}

// RolloutPhase is the phase of a version's rollout.
type RolloutPhase uint8

// The phases of a version. The values are part of the wire format.
const (
	// Canary means that the version is under evaluation, stage by stage.
	Canary RolloutPhase = iota
	// RollingBack means that the version is being replaced.
	RollingBack
	// Released means that all backends may run the version.
	Released
	// Withdrawn means that the version was rolled back or replaced by the next one.
	Withdrawn
)

// ReleaseStatus is a message from the release API about the newest version. It is either an announcement of the
// version's state, or the reply to a vote of this relay (VoteReply), which also contains that state.
type ReleaseStatus struct {
	Version uint16
	// Stage is the current stage, from 0.
	Stage int
	Phase RolloutPhase
	// VoteReply reports whether the message is the reply to this relay's vote. Outcome then says how the vote ended.
	VoteReply bool
	// Outcome is Succeeded if the other fields are valid. If Outcome has any other value, as in the reply to a vote
	// that does not count, only VoteReply and Outcome are read.
	Outcome Outcome
	// ExposureCap is the share of the requests whose attempts may go to the version.
	ExposureCap float64
	// Age is how long the version has been in its current phase and stage.
	Age Tick
}

// evaluation is the evidence on one version.
type evaluation struct {
	version         uint16
	samples         *samples
	detectors       detectors
	alarm           *alarm                  // nil if none was raised
	effects         []sequential.EffectTest // effect tests, by class
	wrongEffect     sequential.EffectTest
	awaitingReports []Tick // times of answers on which a report may still arrive

	outcomesInStage     int
	countedStage        int // the stage in which outcomesInStage was counted
	minStageFromReplies int // earliest stage that the version can be in, according to the replies to votes

	// The state when the version appeared:
	baselineBackends     float64 // number of backends that ran earlier versions; the number of all backends if the version appeared before the first list was complete (see OnListSynced)
	initialWarmCapacity  float64
	initialSuccesses     float64 // successes within rateWindow
	initialSlowShare     float64 // share of slow attempts at the baseline
	initialMedianLatency []Tick  // median latency of each class
}

// detectors are the sequential tests of one evaluation, by stream.
type detectors struct {
	all, wrong, slow, resets, metrics sequential.Detector
	class                             []sequential.Detector
}

// newDetectors divides the false-alarm budget among the streams of each kind. The budget for slowness is also divided
// among the relays, because load can make a relay see slowness where there is none, and the alarm of a single relay
// rolls the version back.
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

// forStream returns the detector of a stream.
func (d *detectors) forStream(s stream) *sequential.Detector {
	switch s.kind {
	case oneClass:
		return &d.class[s.class]
	case wrongAnswers:
		return &d.wrong
	case slowness:
		return &d.slow
	case resets:
		return &d.resets
	case releaseMetrics:
		return &d.metrics
	}
	return &d.all
}

// suspicious reports whether any detector is half-way to an alarm.
func (d *detectors) suspicious() bool {
	for i := range d.class {
		if d.class[i].Suspicious() {
			return true
		}
	}
	return d.all.Suspicious() || d.wrong.Suspicious() || d.slow.Suspicious() || d.resets.Suspicious() ||
		d.metrics.Suspicious()
}

// alarm is the reason to roll a version back.
type alarm struct {
	stream stream
	sequential.Alarm
}

// String describes the alarm by its stream, test and wealth.
func (a *alarm) String() string {
	return fmt.Sprintf("%s: test %d of %d, wealth %.3g against a share of %.3f", a.stream, a.Start, a.Outcomes, a.Wealth, a.Bound)
}

// startEvaluation starts the evaluation of a version, if it is newer than all versions so far.
func (b *Balancer) startEvaluation(version uint16) {
	e, classes := b.evaluation, len(b.settings.Classes)
	if e != nil && version <= e.version {
		return
	}
	if e != nil && (!b.releaseKnown || b.release.Version != e.version || b.release.Phase == Released) {
		b.baseline = e.samples // the previous canary was not rolled back and becomes the baseline
	}
	b.resetGossip()
	b.evaluation = &evaluation{version: version, samples: newSamples(classes),
		detectors:   newDetectors(classes, b.settings.Relays),
		effects:     make([]sequential.EffectTest, classes),
		wrongEffect: sequential.NewEffectTest(),

		baselineBackends:     float64(len(b.backends) - b.backendsRunningAtLeast(version)),
		initialWarmCapacity:  max(1, b.warmCapacity),
		initialSuccesses:     float64(len(b.successTimes)),
		initialSlowShare:     b.baseline.slowShare(),
		initialMedianLatency: append([]Tick(nil), b.medianLatency...),
	}
	for i := range b.evaluation.effects {
		b.evaluation.effects[i] = sequential.NewEffectTest()
	}
}

// OnReleaseStatus handles an announcement of the newest version's state or the reply to a vote.
func (b *Balancer) OnReleaseStatus(now Tick, status ReleaseStatus) {
	b.now = now
	b.onVoteReply(status)
	if status.Outcome == Succeeded {
		b.applyReleaseStatus(status)
	}
	b.serveQueue()
	b.considerVote()
}

func (b *Balancer) applyReleaseStatus(status ReleaseStatus) {
	b.startEvaluation(status.Version)
	old := b.release
	if !b.releaseKnown || old.Version != status.Version || old.Stage != status.Stage || old.Phase != status.Phase {
		b.stageStart = b.now - status.Age
		b.evaluation.outcomesInStage, b.evaluation.countedStage = 0, status.Stage
		maps.DeleteFunc(b.answeredKeys, func(by uint16, _ *keyFilter) bool { return by < status.Version })
	}
	if previousCap, _ := b.exposureCapOf(status.Version); b.releaseKnown && old.Phase != Released && status.ExposureCap < previousCap {
		// From now on, exposureAllows compares the attempts counted so far with the lower cap. The site tolerates
		// attempts over the lower cap until DrainGrace has passed. After that, trimExposure drops the attempts and
		// arrivals from before exposureResetAt.
		b.exposureResetAt = b.now + b.settings.Endpoints.DrainGrace.Ticks() + 1
	}
	b.release, b.releaseKnown = status, true
}

// backendsRunningAtLeast counts the listed backends that run the given version or a later one.
func (b *Balancer) backendsRunningAtLeast(version uint16) int {
	n := 0
	for _, backend := range b.backends {
		if backend.Version >= version {
			n++
		}
	}
	return n
}
