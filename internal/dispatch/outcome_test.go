package dispatch

import (
	"cmp"
	"fmt"
	"testing"

	"silvercove/balancer"
	"silvercove/internal/transport"
)

func TestOutcomes_EveryCloseReason(t *testing.T) {
	unsent := map[transport.CloseReason]balancer.Outcome{transport.Canceled: balancer.Discarded}
	sent := map[transport.CloseReason]balancer.Outcome{transport.DeadlineExceeded: balancer.TimedOut, transport.Canceled: balancer.Cancelled}
	for reason := range transport.CloseReasonCount {
		for _, c := range []struct {
			sent          bool
			attempt, vote balancer.Outcome
		}{
			{false, cmp.Or(unsent[reason], balancer.ConnectFailed), balancer.ConnectFailed},
			{true, cmp.Or(sent[reason], balancer.Reset), balancer.TimedOut},
		} {
			t.Run(fmt.Sprintf("%s, sent %v", reason, c.sent), func(t *testing.T) {
				status := transport.CloseStatus{Reason: reason, Flushed: c.sent}
				if got := AttemptOutcome("", status); got != c.attempt {
					t.Errorf("attempt: %v, want %v", got, c.attempt)
				}
				if got := VoteOutcome(0, status); got != c.vote {
					t.Errorf("vote: %v, want %v", got, c.vote)
				}
			})
		}
	}
}

func TestOutcomes_EveryAnswer(t *testing.T) {
	for state, want := range map[string]balancer.Outcome{"00000": balancer.Succeeded, "53300": balancer.AtCapacity,
		"XX000": balancer.Errored, "57P03": balancer.Errored, "08P01": balancer.Errored} {
		if got := AttemptOutcome(state, transport.CloseStatus{Flushed: true}); got != want {
			t.Errorf("%s: %v, want %v", state, got, want)
		}
	}
	for status, want := range map[int]balancer.Outcome{200: balancer.Succeeded, 429: balancer.AtCapacity,
		409: balancer.Discarded, 500: balancer.Errored, 400: balancer.Errored, 503: balancer.TimedOut} {
		if got := VoteOutcome(status, transport.CloseStatus{Flushed: true}); got != want {
			t.Errorf("%d: %v, want %v", status, got, want)
		}
	}
}
