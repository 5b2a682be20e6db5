package balancer

import (
	"log/slog"
	"math"
)

// This file decides how the relay votes on a rollout. A relay with an alarm votes to roll back. If votes advance the
// rollout, a relay without an alarm votes to promote once the stage has enough outcomes and ruledOutEffect is ruled
// out, or once the stage has lasted long enough (a timed vote). It does not vote to promote while a detector is
// half-way to an alarm. If the clock advances the rollout, a detector half-way to an alarm makes the relay vote to
// pause. Whether and when a vote is cast is random: the probability and the delay are chosen so that the release API
// can accept the votes if all relays vote.
//
// The inputs are the evidence of rollout.go, the release API's status and its age, the endpoint list, the number of
// relays, and the rate of votes per second that the release API accepts.
//
// A vote that arrives late, on a stage that has passed, is discarded. The endpoint list and the replies to votes are
// therefore used to recognize the current stage before its announcement arrives.

const (
	// minOutcomes is the number of outcomes in a stage that a vote to promote needs.
	minOutcomes = 20
	// minOutcomesIfSlow is the number of outcomes in a stage that a vote to promote needs while the baseline is slower
	// than before the rollout or the canary appears slow.
	minOutcomesIfSlow = 60
	// minOutcomesTimed is the minimum number of the canary's outcomes for a timed vote if there are few relays. With
	// many relays the minimum is lower (see timedVoteDue).
	minOutcomesTimed = 6
	// timedVoteAfter is how long a stage must have lasted before a timed vote, which needs fewer outcomes than another
	// vote to promote.
	timedVoteAfter = 3 * Second
	// minVoteRate is the lower limit of the rate of votes per second in the settings. It also replaces a missing rate.
	minVoteRate = 0.1
	// voteChanceSteps is the resolution of the random draw that decides whether a vote is cast.
	voteChanceSteps = 1000
	// minRecastDelay is the minimum delay before a new draw after a reply whose Outcome is not Succeeded. A random part
	// of recastJitter is added to the delay.
	minRecastDelay = Second / 4
	recastJitter   = Second / 2
	// voteReplyGrace is how long the reply to a vote is still awaited after VoteTimeout.
	voteReplyGrace = Second
)

// Verdict is the decision that a vote asks for.
type Verdict uint8

// The verdicts of a vote. The values are part of the wire format.
const (
	NoVote Verdict = iota
	Promote
	Pause
	RollBack
)

// String returns the verdict in words.
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

// voteState is the state of this relay's vote.
type voteState uint8

const (
	voteNone       voteState = iota // no vote is due
	voteScheduled                   // the vote is cast at vote.due
	voteSkipped                     // the draw decided against casting the vote; at vote.due the relay draws again
	voteCast                        // the vote was cast and awaits its reply; if none has arrived at vote.due, the relay draws again
	voteCounted                     // the release API accepted the vote; at vote.due the vote has expired, and the relay draws again
	voteNotCounted                  // the reply's Outcome was not Succeeded, so the vote possibly does not count; at vote.due the relay draws again
)

// vote is this relay's vote.
type vote struct {
	version uint16
	stage   int
	verdict Verdict
	state   voteState
	due     Tick // time of the next step, which the comment on each voteState describes
}

// verdict returns the verdict that the evidence supports at the moment.
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

// timedVoteDue reports whether the stage has lasted long enough for a timed vote. It also requires a few outcomes of
// the version, because a vote without any would express nothing but the elapsed time.
func (b *Balancer) timedVoteDue() bool {
	minimum := max(1, min(minOutcomesTimed, minOutcomes/max(1, b.settings.Relays)))
	return b.now-b.stageStart >= timedVoteAfter && float64(b.evaluation.detectors.all.Outcomes()) >= minimum
}

// slowdownObserved reports whether the baseline is much slower than before the rollout, or the canary's slow share so
// far exceeds slownessBound.
func (b *Balancer) slowdownObserved() bool {
	e := b.evaluation
	return b.baseline.slowShare() > e.initialSlowShare+baselineSlowdownMargin || mean(e.samples.slow) > b.slownessBound()
}

// readyToPromote reports whether there is enough evidence for a vote to promote. It first counts, as correct, the
// answers on which no report can be expected any more (see countUnreportedAnswers). A timed vote needs no minimum
// number of outcomes in the stage. Once the stage has lasted for EvidenceWait, a timed vote does not need
// ruledOutEffect to be ruled out either.
func (b *Balancer) readyToPromote(required int, timedVote bool) bool {
	b.countUnreportedAnswers()
	if _, missing := b.missingEvidence(); !missing && (b.evaluation.outcomesInStage >= required || timedVote) {
		return true
	}
	return timedVote && b.now-b.stageStart >= b.settings.Rollout.EvidenceWait.Ticks()
}

// advanceStage returns the stage that the newest version has reached. This is the stage that the release API announced,
// or a later stage in two cases: more backends run the version than the announced stage allows, or replies to votes
// showed that stages have passed. If the returned stage is later than countedStage, advanceStage sets stageStart to now
// and outcomesInStage to 0.
//
// If restarted backends of the version appear in the list under new names, the returned stage can be too high, and the
// relay then votes too early.
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

// stageCount returns the number of stages of a rollout.
func (b *Balancer) stageCount() int { return max(1, len(b.settings.Rollout.StageShares)) }

// stageShare returns the share of the backends that run a version in a stage.
func (b *Balancer) stageShare(stage int) float64 { return b.settings.Rollout.StageShares[stage] }

// considerVote schedules, casts or drops this relay's vote.
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
	} else { // v.due has passed without a scheduled vote: the next call of considerVote draws again
		v.state = voteNone
	}
}

// scheduleVote draws whether and when a vote is cast. The delay is drawn uniformly from a range that starts at 0. The
// range ends at the time that the release API needs to accept a vote from every relay, or at VoteLifetime if that is
// shorter. A wider range would only delay votes.
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

// onVoteReply handles the reply to this relay's vote.
func (b *Balancer) onVoteReply(status ReleaseStatus) {
	v := &b.vote
	if !status.VoteReply || v.state != voteCast {
		return
	}
	v.state, v.due = voteCounted, b.now+b.settings.Rollout.VoteLifetime.Ticks()
	if status.Outcome == Discarded && v.verdict == RollBack { // the stage of the vote is over
		b.evaluation.minStageFromReplies = (v.stage + 1) % b.stageCount()
	}
	if status.Outcome != Succeeded {
		v.state, v.due = voteNotCounted, b.now+minRecastDelay+Tick(b.random.intN(int(recastJitter)))
	}
}

// VoteReason returns the reason for casting a vote with this verdict now. It changes no state. See Host for when it may
// be called.
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
