package dispatch

import (
	"fmt"
	"testing"

	"silvercove/balancer"
	"silvercove/internal/transport"
)

func TestEveryEndHasOneOutcome(t *testing.T) {
	unsent := map[transport.CloseReason]balancer.Outcome{transport.Canceled: balancer.Discarded}
	sent := map[transport.CloseReason]balancer.Outcome{transport.DeadlineExceeded: balancer.TimedOut, transport.Canceled: balancer.Cancelled}
	for how := range transport.CloseReasonCount {
		for _, c := range []struct {
			sent     bool
			delivery balancer.Outcome
			vote     balancer.Outcome
		}{
			{false, or(unsent[how], balancer.ConnectFailed), balancer.ConnectFailed},
			{true, or(sent[how], balancer.Reset), balancer.TimedOut},
		} {
			t.Run(fmt.Sprintf("%s, sent %v", how, c.sent), func(t *testing.T) {
				end := transport.CloseStatus{Reason: how, Flushed: c.sent}
				if got := AttemptOutcome("", end); got != c.delivery {
					t.Errorf("delivery: %v, want %v", got, c.delivery)
				}
				if got := VoteOutcome(0, end); got != c.vote {
					t.Errorf("vote: %v, want %v", got, c.vote)
				}
			})
		}
	}
}

func or(a, b balancer.Outcome) balancer.Outcome {
	if a != 0 {
		return a
	}
	return b
}

func TestAnswersHaveOneOutcome(t *testing.T) {
	for state, want := range map[string]balancer.Outcome{"00000": balancer.Succeeded, "53300": balancer.AtCapacity,
		"XX000": balancer.Errored, "57P03": balancer.Errored, "08P01": balancer.Errored} {
		if got := AttemptOutcome(state, transport.CloseStatus{Flushed: true}); got != want {
			t.Errorf("%s: %v, want %v", state, got, want)
		}
	}
	for status, want := range map[int]balancer.Outcome{200: balancer.Succeeded, 429: balancer.AtCapacity, 409: balancer.Discarded,
		500: balancer.Errored, 400: balancer.Errored, 503: balancer.TimedOut} {
		if got := VoteOutcome(status, transport.CloseStatus{Flushed: true}); got != want {
			t.Errorf("%d: %v, want %v", status, got, want)
		}
	}
}
