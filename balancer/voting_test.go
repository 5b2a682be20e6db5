package balancer

import (
	"slices"
	"testing"
)

// Where the status is late the endpoint list shows the stage, and the reply to a vote to roll back shows a stage that
// has passed.
func TestVote_InfersStageBeforeStatus(t *testing.T) {
	for _, c := range []struct {
		name           string
		canaryBackends int // backends of the version listed
		failEvery      int // one in so many outcomes fails
		discarded      bool
		stages         []int
	}{
		{"as told", 1, 0, false, []int{0}},
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
		{"few outcomes, 3 s", nil, Canary, 6, 0, 4 * Second, promote},
		{"too few even then", nil, Canary, 2, 0, 4 * Second, nil},
		{"a test half-way to an alarm holds it back", nil, Canary, 7, 3, 4 * Second, nil},
		{"alarm", nil, Canary, 30, 3, Second, rollBack},
		{"alarm after the release", nil, Released, 30, 3, Second, rollBack},
		{"no vote once it is rolled back", nil, RollingBack, 30, 3, Second, nil},
		{"clocked rollout, nothing against it", advancesByClock, Canary, 20, 0, Second, nil},
		{"clocked rollout, half-way to an alarm", advancesByClock, Canary, 7, 3, Second, []Verdict{Pause}},
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
		{"it stands", Succeeded, 3 * Second, 1},
		{"its lifetime is over", Succeeded, 5 * Second, 2},
		{"too many votes", AtCapacity, Second, 2},
		{"no answer", TimedOut, Second, 2},
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

// A vote to promote waits for more outcomes while the canary is past its bound, and for no longer.
func TestVote_SlowCanaryWaits(t *testing.T) {
	for _, c := range []struct {
		name                string
		outcomes, slowEvery int // one in so many is slow
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

// A relay that starts amid a stage holds the stage that it is told for the present one, however its list is ordered.
func TestVote_StartDuringStage(t *testing.T) {
	for _, c := range []struct {
		name   string
		canary []int // backends of the canary, of ten
		stage  int
	}{{"the first run the canary", []int{0}, 0}, {"the last are", []int{9}, 0}, {"half of them", []int{0, 1, 2, 3, 4}, 1}} {
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
