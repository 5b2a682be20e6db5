package balancer

import (
	"slices"
	"testing"
)

// TestVote_InfersStageBeforeStatus checks that, while the status is late, the endpoint list shows the current stage,
// and the reply to a vote to roll back shows that a stage has passed.
func TestVote_InfersStageBeforeStatus(t *testing.T) {
	for _, c := range []struct {
		name           string
		canaryBackends int // listed backends of the canary
		failEvery      int // every n-th outcome fails; 0 means none
		discarded      bool
		stages         []int
	}{
		{"as announced", 1, 0, false, []int{0}},
		{"more backends than the stage has", 2, 0, false, []int{1}},
		{"a vote to roll back a stage that has passed", 1, 3, true, []int{0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.status(1, 0, Released, 1)
			for i := range uint32(8) {
				b.addBackend(i, 1, 0)
			}
			b.feedOutcomes(1, 200, 0)
			b.status(2, 0, Canary, 0.2)
			for i := range c.canaryBackends {
				b.addBackend(uint32(10+i), 2, 0)
			}
			b.feedOutcomes(2, 30, c.failEvery)
			b.advance(Second / 10)
			if c.discarded {
				b.OnReleaseStatus(b.now, ReleaseStatus{VoteReply: true, Outcome: Discarded})
				b.advance(Second)
			}
			checkAll(t, "stages voted on", b.host.stages, c.stages)
		})
	}
}

func TestVote_Verdicts(t *testing.T) {
	rollBack, promote := []Verdict{RollBack}, []Verdict{Promote}
	advancesByClock := func(s *Settings) { s.Rollout.Control = AdvanceByClock }
	for _, c := range []struct {
		name                string
		change              func(*Settings)
		phase               RolloutPhase
		outcomes, failEvery int
		wait                Tick
		want                []Verdict
	}{
		{"too few outcomes, too early", nil, Canary, 19, 0, Second, nil},
		{"enough outcomes", nil, Canary, 20, 0, Second, promote},
		{"few outcomes, but enough for a timed vote", nil, Canary, 6, 0, 4 * Second, promote},
		{"too few outcomes for a timed vote", nil, Canary, 2, 0, 4 * Second, nil},
		{"half-way to an alarm", nil, Canary, 7, 3, 4 * Second, nil},
		{"alarm", nil, Canary, 30, 3, Second, rollBack},
		{"alarm after the release", nil, Released, 30, 3, Second, rollBack},
		{"alarm while rolling back", nil, RollingBack, 30, 3, Second, nil},
		{"advanced by the clock, no evidence against it", advancesByClock, Canary, 20, 0, Second, nil},
		{"advanced by the clock, half-way to an alarm", advancesByClock, Canary, 7, 3, Second, []Verdict{Pause}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(c.change)
			b.status(1, 0, Released, 1)
			b.feedOutcomes(1, 200, 0)
			b.status(2, 0, c.phase, 0.2)
			b.feedOutcomes(2, c.outcomes, c.failEvery)
			b.advance(c.wait)
			checkAll(t, "votes", b.host.votes, c.want)
		})
	}
}

func TestVote_CastAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply Outcome
		wait  Tick
		want  int
	}{
		{"the vote is still valid", Succeeded, 3 * Second, 1},
		{"the vote has expired", Succeeded, 5 * Second, 2},
		{"too many votes", AtCapacity, Second, 2},
		{"no reply", TimedOut, Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.status(1, 0, Released, 1)
			b.status(2, 0, Canary, 0.2)
			b.feedOutcomes(2, 30, 0)
			b.advance(Second / 10)
			check(t, "first vote", len(b.host.votes), 1)
			b.OnReleaseStatus(b.now, ReleaseStatus{VoteReply: true, Version: 2, ExposureCap: 0.2, Outcome: c.reply})
			b.advance(c.wait)
			check(t, "votes", len(b.host.votes), c.want)
		})
	}
}

// TestVote_SlowCanaryWaits checks that a vote to promote needs more outcomes while the canary's slow share exceeds its
// bound, and is cast once it has them.
func TestVote_SlowCanaryWaits(t *testing.T) {
	for _, c := range []struct {
		name                string
		outcomes, slowEvery int // every n-th outcome is slow; 0 means none
		want                []Verdict
	}{{"on time", 30, 0, []Verdict{Promote}}, {"every other slow", 30, 2, nil}, {"every other slow, and more outcomes", 61, 2,
		[]Verdict{Promote}}} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.status(1, 0, Released, 1)
			b.feedOutcomes(1, 200, 0)
			b.baseline.slow = slices.Repeat([]float64{0, 0, 0, 1}, 50)
			b.evaluation.initialSlowShare = 0.25
			b.status(2, 0, Canary, 0.2)
			b.feedOutcomes(2, c.outcomes, 0)
			for i := range c.outcomes {
				if c.slowEvery > 0 {
					b.evaluation.samples.slow = appendBounded(b.evaluation.samples.slow, float64(i%c.slowEvery), sampleSize)
				}
			}
			b.evaluation.initialSlowShare = 0.25
			b.advance(Second)
			checkAll(t, "votes", b.host.votes, c.want)
		})
	}
}

// TestVote_StartDuringStage checks that a relay that starts during a stage takes the announced stage as the current
// one, whatever the order of its backends.
func TestVote_StartDuringStage(t *testing.T) {
	for _, c := range []struct {
		name   string
		canary []int // indexes of the canary's backends, of ten
		stage  int
	}{{"the first backend runs the canary", []int{0}, 0}, {"the last backend runs the canary", []int{9}, 0},
		{"half of the backends run the canary", []int{0, 1, 2, 3, 4}, 1}} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(func(s *Settings) {
				s.Rollout.StageShares = []float64{0.1, 0.5, 1.0}
				s.Rollout.StageCaps = []float64{0.1, 0.5, 1.0}
			})
			for i := range 10 {
				version := uint16(1)
				if slices.Contains(c.canary, i) {
					version = 2
				}
				b.addBackend(uint32(i), version, 0)
			}
			b.OnListSynced(b.now, true)
			b.status(2, c.stage, Canary, 0.1)
			check(t, "stage", b.advanceStage(), c.stage)
		})
	}
}
