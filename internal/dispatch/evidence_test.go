package dispatch

import (
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/evidence"
	"silvercove/internal/pgwire"
)

// TestRestoreEvidence_CountsInVote: outcomes from before a restart, passed to RestoreEvidence, count in a vote like new
// outcomes.
func TestRestoreEvidence_CountsInVote(t *testing.T) {
	for _, c := range []struct {
		name          string
		outcomes, bad []int
		want          string
	}{
		{"good outcomes of each class", []int{300, 20}, []int{1, 0}, "PROCEED"},
		{"one class that fails", []int{300, 30}, []int{1, 25}, "ROLLBACK"},
		{"counts that are too large for one message", []int{2000, 900}, []int{0, 700}, "ROLLBACK"},
	} {
		t.Run(c.name, func(t *testing.T) {
			votes := make(chan Vote, 8)
			recorder := evidence.New([]string{"read", "sell"})
			site := newSite(2, class("read", balancer.Idempotent, 1), class("sell", balancer.Idempotent, 1))
			site.Balancer.Rollout = balancer.Rollout{VotesPerSecond: 1000, VoteLifetime: 4, VoteTimeout: 1,
				StageCaps: []float64{0.5, 1}, StageShares: []float64{0.5, 1}}
			callbacks := noopCallbacks()
			callbacks.Evidence = recorder
			callbacks.Vote = func(v Vote) {
				select {
				case votes <- v:
				default:
				}
			}
			d := New(1, site, callbacks)
			endpoints := readyEndpoints("s-1", "s-2")
			endpoints[0].Weight, endpoints[1].Weight, endpoints[1].Version = 0, 0, 2
			d.UpdateEndpoints(true, endpoints)
			d.UpdateStage(RolloutStage{Version: 2, Stage: 0, Phase: "testing", ExposureCap: 0.5})
			for i := range 200 { // most of these calls go to backend s-1, which runs version 1
				call := accept(t, d, Request{Class: []string{"read", "sell"}[i%2]})
				if step := d.Next(call); step.Attempt != nil {
					d.Report(step.Attempt, pgwire.StateSuccess, answered, nil)
				}
			}
			d.RestoreEvidence(2, c.outcomes, c.bad)
			ended := make(chan error, 1)
			go func() { ended <- d.RunTimers(t.Context()) }()
			t.Cleanup(func() {
				if err := <-ended; err != nil {
					t.Error(err)
				}
			})
			select {
			case v := <-votes:
				if v.Verdict != c.want || v.Version != 2 {
					t.Errorf("unexpected vote %+v", v)
				}
			case <-time.After(10 * time.Second):
				t.Error("no vote was cast within 10 s")
			}
			d.WithLock(func() {
				if lines := recorder.Explain(); len(lines) < 3 {
					t.Errorf("the recorded evidence has fewer than 3 lines: %v", lines)
				}
			})
		})
	}
}
