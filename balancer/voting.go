package balancer

import (
	"log/slog"
	"math"
)

// The rule: an alarm votes to roll back. Without one, and where votes move the rollout, the relay votes to promote after a
// few outcomes in the stage if the effect is ruled out, or after a time (a timed vote), unless a detector is half-way to an alarm. Where
// the clock moves the rollout, such a detector votes to pause. Votes are drawn with the chance, and cast at a random moment,
// for which the release API has room if all relays vote.
//
// Inputs: the evidence of rollout.go, the status of the release API and its age, the endpoint list, the number of relays and
// the rate of votes a second that the release API takes.
//
// Guards against votes that come too late to count: seen as a vote on a stage that has passed, which is discarded; holds
// because the list of endpoints and the replies to votes show the stage before the news of it.

const (
	// minOutcomes is the number of outcomes in a stage before a vote to promote.
	minOutcomes = 20
	// minOutcomesIfSlow is the number while the baseline is slower than before the rollout, or the canary looks slow.
	minOutcomesIfSlow = 60
	// minOutcomesTimed is the number before a timed vote, if few relays share the sample.
	minOutcomesTimed = 6
	// timedVoteAfter is how long a stage has lasted before a timed vote, which needs fewer outcomes.
	timedVoteAfter = 3 * Second
	// minVoteRate stands for a rate of votes a second that the settings lack.
	minVoteRate = 0.1
	// voteChanceSteps is the number of steps in which the chance of a vote is drawn.
	voteChanceSteps = 1000
	// minRecastDelay is the least time before a vote that may not count is cast again, and recastJitter what is drawn beside.
	minRecastDelay = Second / 4
	recastJitter   = Second / 2
	// voteReplyGrace is how long after its time-out the reply to a vote is still waited for.
	voteReplyGrace = Second
)

// Verdict is what a vote says of a version.
type Verdict uint8

// The verdicts of a vote. The values are those of the wire.
const (
	NoVote Verdict = iota
	Promote
	Pause
	RollBack
)

// String is the verdict in words.
func (v Verdict) String() string {
	switch v {
	case Promote:
		return "promote"
	case Pause:
		return "pause"
	case RollBack:
		return "roll back"
	}
	return "none"
}

// voteState is where this relay's vote stands.
type voteState uint8

const (
	voteNone       voteState = iota // there is nothing to vote
	voteScheduled                   // it is cast when due
	voteSkipped                     // by the draw none is cast; one is drawn again when due
	voteCast                        // the reply is waited for; without one it is drawn again when due
	voteCounted                     // the release API took it; one is drawn again when due, as it no longer stands then
	voteNotCounted                  // by the reply it may not count; one is drawn again when due
)

// vote is this relay's vote.
type vote struct {
	version uint16
	stage   int
	verdict Verdict
	state   voteState
	due     Tick // when the state ends; see the states
}

// verdict is what the evidence says now.
func (b *Balancer) verdict() Verdict {
	e := b.evaluation
	if !b.releaseKnown || e == nil || e.version != b.release.Version || b.release.Phase != Canary && b.release.Phase != Released {
		return NoVote
	}
	advancesByClock := b.settings.Rollout.Control == AdvanceByClock
	suspicious, required, timedVote := e.detectors.suspicious(), minOutcomes, b.timedVoteDue()
	if b.slowdownObserved() {
		suspicious, required, timedVote = suspicious || advancesByClock, minOutcomesIfSlow, false
	}
	switch {
	case e.alarm != nil:
		return RollBack
	case b.release.Phase == Released || !suspicious && advancesByClock:
		return NoVote
	case advancesByClock:
		return Pause
	case !suspicious && b.readyToPromote(required, timedVote):
		return Promote
	}
	return NoVote
}

// timedVoteDue tells whether the stage has lasted long enough for a timed vote, with a few outcomes of the version at least,
// as a vote on none would say no more than the time.
func (b *Balancer) timedVoteDue() bool {
	minimum := max(1, min(minOutcomesTimed, minOutcomes/max(1, b.settings.Relays)))
	return b.now-b.stageStart >= timedVoteAfter && float64(b.evaluation.detectors.all.Outcomes()) >= minimum
}

// slowdownObserved tells whether the baseline is much slower than before the rollout, or the canary is past its bound so far.
func (b *Balancer) slowdownObserved() bool {
	e := b.evaluation
	return b.baseline.slowShare() > e.initialSlowShare+baselineSlowdownMargin || mean(e.samples.slow) > b.slownessBound()
}

// readyToPromote tells whether there is enough evidence for a vote to promote; a timed vote needs less. Reports that
// would have come by now are counted first.
func (b *Balancer) readyToPromote(required int, timedVote bool) bool {
	b.countUnreportedAnswers()
	if _, missing := b.missingEvidence(); !missing && (b.evaluation.outcomesInStage >= required || timedVote) {
		return true
	}
	return timedVote && b.now-b.stageStart >= b.settings.Rollout.EvidenceWait.Ticks()
}

// advanceStage finds out where the newest version stands: at the stage that the release API told, or as far as the endpoint
// list shows more backends of it than the told stage has, or replies to votes found stages passed. A stage that is reached
// this way begins now, and its outcomes are counted anew.
// Where backends of the version start anew under other names, votes may come too early.
func (b *Balancer) advanceStage() int {
	e, stage := b.evaluation, b.release.Stage
	if e == nil || e.version != b.release.Version || b.release.Phase != Canary {
		return stage
	}
	stage = max(stage, e.minStageFromReplies)
	for stage+1 < b.stageCount() && float64(b.backendsRunningAtLeast(e.version)) > math.Ceil(b.stageShare(stage)*e.baselineBackends) {
		stage++
	}
	if stage > e.countedStage {
		e.countedStage, e.outcomesInStage, b.stageStart = stage, 0, b.now
	}
	return stage
}

// stageCount is the number of stages of a version.
func (b *Balancer) stageCount() int { return max(1, len(b.settings.Rollout.StageShares)) }

// stageShare is the share of the backends that run a version in a stage.
func (b *Balancer) stageShare(stage int) float64 { return b.settings.Rollout.StageShares[stage] }

// considerVote draws, casts or drops this relay's vote.
func (b *Balancer) considerVote() {
	stage, verdict, v := b.advanceStage(), b.verdict(), &b.vote
	if verdict == NoVote {
		if v.state == voteScheduled {
			v.state = voteNone
		}
		return
	}
	if v.state == voteNone || v.verdict != verdict || v.version != b.release.Version || v.stage != stage {
		b.scheduleVote(stage, verdict)
	}
	if b.now < v.due {
		return
	}
	if v.state == voteScheduled {
		b.castVote()
	} else { // it is drawn again
		v.state = voteNone
	}
}

// scheduleVote draws whether and when a vote goes out. The moment is random over the time that the release API needs for a vote
// of every relay, at most a vote's life: spread further, votes would only come later.
func (b *Balancer) scheduleVote(stage int, verdict Verdict) {
	relays, rate := max(1, b.settings.Relays), max(minVoteRate, b.settings.Rollout.VotesPerSecond)
	lifetime := b.settings.Rollout.VoteLifetime.Ticks()
	window := min(lifetime, Tick(relays/rate*float64(Second)))
	b.vote = vote{version: b.release.Version, stage: stage, verdict: verdict, state: voteScheduled}
	b.vote.due = b.now + Tick(b.random.intN(int(window)+1))
	chance := rate * float64(lifetime) / float64(Second) / relays
	if float64(b.random.intN(voteChanceSteps)) >= voteChanceSteps*chance {
		b.vote.state, b.vote.due = voteSkipped, b.now+lifetime
	}
}

func (b *Balancer) castVote() {
	v := &b.vote
	v.state, v.due = voteCast, b.now+b.settings.Rollout.VoteTimeout.Ticks()+voteReplyGrace
	fields := []slog.Attr{slog.String("verdict", v.verdict.String()), slog.Int("version", int(v.version)),
		slog.Int("stage", v.stage), slog.Int("outcomes", b.evaluation.outcomesInStage)}
	if v.verdict == Promote {
		if s, missing := b.missingEvidence(); missing {
			fields = append(fields, slog.String("not_ruled_out", s.String()))
		}
		b.logSampled("vote", fields...)
	} else {
		if b.evaluation.alarm != nil {
			fields = append(fields, slog.String("evidence", b.evaluation.alarm.String()))
		}
		b.host.Log("vote", fields...)
	}
	b.host.CastVote(v.version, v.stage, v.verdict)
}

// onVoteReply takes the reply to this relay's vote.
func (b *Balancer) onVoteReply(status ReleaseStatus) {
	v := &b.vote
	if !status.VoteReply || v.state != voteCast {
		return
	}
	v.state, v.due = voteCounted, b.now+b.settings.Rollout.VoteLifetime.Ticks()
	if status.Outcome == Discarded && v.verdict == RollBack { // that stage has passed
		b.evaluation.minStageFromReplies = (v.stage + 1) % b.stageCount()
	}
	if status.Outcome != Succeeded {
		v.state, v.due = voteNotCounted, b.now+minRecastDelay+Tick(b.random.intN(int(recastJitter)))
	}
}

// VoteReason says why a vote with this verdict is cast now. It changes nothing; see Host on when to ask.
func (b *Balancer) VoteReason(v Verdict) string {
	s, missing := b.missingEvidence()
	switch {
	case v == RollBack && b.evaluation.alarm == nil:
		return ""
	case v == RollBack:
		return b.evaluation.alarm.String()
	case v == Pause:
		return "outcomes that look worse than the earlier version's"
	case missing:
		return "the clock, as the effect is not ruled out for " + s.String()
	}
	return "evidence that rules the effect out for each request class with traffic"
}
