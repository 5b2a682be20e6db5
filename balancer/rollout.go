package balancer

import (
	"fmt"
	"maps"

	"silvercove/balancer/sequential"
)

// The rule: the outcomes at a canary are held against those of the version before it, the baseline, in streams: of all
// requests, of each class, of wrong answers, of slowness, of broken connections and of what the release API counts. A
// sequential test of any stream that rejects is an alarm, which votes to roll back. Before a vote to promote, the dual of
// the test rules out for each class with traffic that it fails more by an effect.
//
// Inputs: the outcomes of attempts at both versions, 1 for a bad one, reports of wrong answers, the release API's counts.
//
// Guards against versions that fail a class, a part of the requests, or only some time after their start: seen as
// failures at the canary beyond those at the baseline; holds because the chance of an alarm without such a difference is
// bounded over the whole rollout, and the chance to promote a version with the effect is bounded for each class.

const (
	// margin is how much more of the outcomes may fail at a canary than at the baseline.
	failureMargin = sequential.Margin
	// ruledOutEffect is the share of failures beyond the baseline's that is ruled out before a vote to promote.
	ruledOutEffect = 0.2
)

// rollout is what is known of the newest version and of the one before it.
type rollout struct {
	release       ReleaseStatus // as the release API told last
	releaseKnown  bool
	stageStart    Tick
	answeredKeys  map[uint16]*keyFilter // the keys that a version has answered, of few versions
	requestFaults []float64             // of the last requests answered or failed at two backends, 1 for a failure

	baseline             *samples
	baselineTimelinessAt Tick // when the baseline last showed whether an attempt was slow
	baselineMetricsAt    Tick // when the release API last counted some of it; 0: never
	evaluation           *evaluation
}

func newRollout(classes int) rollout {
	return rollout{answeredKeys: map[uint16]*keyFilter{}, baseline: newSamples(classes)}
}

// RolloutPhase is where a version stands.
type RolloutPhase uint8

// The phases of a version. The values are those of the wire.
const (
	// Canary: it is on trial, stage after stage.
	Canary RolloutPhase = iota
	// RollingBack: it is being replaced.
	RollingBack
	// Released: all backends may run it.
	Released
	// Withdrawn: it was rolled back, or replaced by the next one.
	Withdrawn
)

// ReleaseStatus is what the release API says of the newest version: news of where it stands, or its reply to a vote of this
// relay (VoteReply), which tells in passing where the version stands.
type ReleaseStatus struct {
	Version uint16
	// Stage is its stage, from 0.
	Stage int
	Phase RolloutPhase
	// VoteReply tells that this is the reply to this relay's vote. Outcome then tells how the vote ended.
	VoteReply bool
	// Outcome is Succeeded if the other fields hold. With any other one, as of a vote that does not count, none of them but
	// VoteReply is read.
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

	outcomesInStage     int
	countedStage        int // that they were counted in
	minStageFromReplies int // replies to votes have shown the stages before it to be over

	// As the version came:
	baselineBackends     float64 // of earlier versions
	initialWarmCapacity  float64
	initialSuccesses     float64 // within rateWindow
	initialSlowShare     float64 // of the version before
	initialMedianLatency []Tick  // by class
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

// String is the stream, the test and the wealth of the alarm.
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

// OnReleaseStatus takes where the newest version stands, or the reply to a vote.
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
		// The lower cap holds at once over the old count; the rule counts anew later.
		b.exposureResetAt = b.now + b.settings.Endpoints.DrainGrace.Ticks() + 1
	}
	b.release, b.releaseKnown = status, true
}

// backendsRunningAtLeast counts the listed backends that run a version or a later one.
func (b *Balancer) backendsRunningAtLeast(version uint16) int {
	n := 0
	for _, backend := range b.backends {
		if backend.Version >= version {
			n++
		}
	}
	return n
}
