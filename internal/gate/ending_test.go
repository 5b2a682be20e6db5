package gate

import (
	"fmt"
	"testing"

	"silvercove/choice"
	"silvercove/internal/link"
)

func TestEveryEndHasOneOutcome(t *testing.T) {
	unsent := map[link.How]choice.Ending{link.CalledOff: choice.Moot}
	sent := map[link.How]choice.Ending{link.Late: choice.TimedOut, link.CalledOff: choice.Cancelled}
	for how := range link.Hows {
		for _, c := range []struct {
			sent     bool
			delivery choice.Ending
			vote     choice.Ending
		}{
			{false, or(unsent[how], choice.ConnectFailed), choice.ConnectFailed},
			{true, or(sent[how], choice.Reset), choice.TimedOut},
		} {
			t.Run(fmt.Sprintf("%s, sent %v", how, c.sent), func(t *testing.T) {
				end := link.End{How: how, Sent: c.sent}
				if got := Outcome("", end); got != c.delivery {
					t.Errorf("delivery: %v, want %v", got, c.delivery)
				}
				if got := VoteOutcome(0, end); got != c.vote {
					t.Errorf("vote: %v, want %v", got, c.vote)
				}
			})
		}
	}
}

func or(a, b choice.Ending) choice.Ending {
	if a != 0 {
		return a
	}
	return b
}

func TestAnswersHaveOneOutcome(t *testing.T) {
	for state, want := range map[string]choice.Ending{"00000": choice.Acked, "53300": choice.Full,
		"XX000": choice.Errored, "57P03": choice.Errored, "08P01": choice.Errored} {
		if got := Outcome(state, link.End{Sent: true}); got != want {
			t.Errorf("%s: %v, want %v", state, got, want)
		}
	}
	for status, want := range map[int]choice.Ending{200: choice.Acked, 429: choice.Full, 409: choice.Moot,
		500: choice.Errored, 400: choice.Errored, 503: choice.TimedOut} {
		if got := VoteOutcome(status, link.End{Sent: true}); got != want {
			t.Errorf("%d: %v, want %v", status, got, want)
		}
	}
}
