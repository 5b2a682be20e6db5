package dispatch

import (
	"context"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/evidence"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
)

// TestRecall: what was known before a restart decides as if it had just been seen.
func TestRecall(t *testing.T) {
	for _, c := range []struct {
		name   string
		n, bad []int
		want   string
	}{
		{"good outcomes of each op type", []int{300, 20}, []int{1, 0}, "PROCEED"},
		{"one op type that fails", []int{300, 30}, []int{1, 25}, "ROLLBACK"},
		{"counts that are too large for one message", []int{2000, 900}, []int{0, 700}, "ROLLBACK"},
	} {
		t.Run(c.name, func(t *testing.T) {
			votes := make(chan Vote, 8)
			l := evidence.New([]string{"read", "sell"})
			op := func(name string) balancer.RequestClass {
				return balancer.RequestClass{Name: name, Idempotency: balancer.Idempotent, LatencyObjective: 1, Deadline: 4, PriorityWeight: 1}
			}
			nothing := func(string) {}
			g := New(1, settings.Site{Balancer: balancer.Settings{
				Relays:  1,
				Classes: []balancer.RequestClass{op("read"), op("sell")},
				Limits:  balancer.Limits{MaxAttempts: 2},
				Rollout: balancer.Rollout{VotesPerSecond: 1000, VoteLifetime: 4, VoteTimeout: 1, StageCaps: []float64{0.5, 1.0}, StageShares: []float64{0.5, 1.0}},
			}},
				Callbacks{Log: nothing, CloseIdle: nothing, WatchEndpoints: func(bool) {}, Evidence: l,
					Vote: func(v Vote) {
						select {
						case votes <- v:
						default:
						}
					}})
			g.UpdateEndpoints(true, []Endpoint{{Name: "s-1", Address: "127.0.0.1:9", State: "up", Version: 1},
				{Name: "s-2", Address: "127.0.0.1:9", State: "up", Version: 2}})
			g.UpdateStage(RolloutStage{Version: 2, Stage: 0, Phase: "testing", ExposureCap: 0.5})
			for i := range 200 { // outcomes at the earlier build, mostly
				cmd, _ := g.Accept(Request{Class: []string{"read", "sell"}[i%2], ReceivedAt: time.Now(), Timeout: time.Second})
				if step := g.Next(cmd); step.Attempt != nil {
					g.Report(step.Attempt, pgwire.Complete, transport.CloseStatus{}, nil)
				}
			}
			g.RestoreEvidence(2, c.n, c.bad)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = g.RunTimers(ctx)
			}()
			defer func() { cancel(); <-ended }()
			select {
			case v := <-votes:
				if v.Verdict != c.want || v.Version != 2 {
					t.Errorf("vote %+v", v)
				}
			case <-time.After(10 * time.Second):
				t.Error("no vote")
			}
			g.WithLock(func() {
				if lines := l.Explain(); len(lines) < 3 {
					t.Errorf("%v", lines)
				}
			})
		})
	}
}
