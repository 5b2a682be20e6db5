package balancer

import "testing"

// TestRetry_NoneAfterTheDeadline: a request whose attempt ends at its deadline is answered within the call of
// OnOutcome.
func TestRetry_NoneAfterTheDeadline(t *testing.T) {
	for _, class := range []int{idempotent, withKey, atMostOnce} {
		b := newFixture(nil)
		b.addBackend(1, 1, 0)
		b.addBackend(2, 1, 0)
		request := b.request(class)
		b.now += 2 * Second
		b.finish(request, TimedOut)
		check(t, "answered", request.state, requestAnswered)
	}
}

func TestRetry_CancelsAtSilentBackend(t *testing.T) {
	for _, class := range []int{idempotent, atMostOnce} {
		b := newFixture(nil)
		b.addBackend(1, 1, 0)
		request := b.request(class)
		b.addBackend(2, 1, 0)
		b.advance(Second)
		check(t, "cancelled", len(b.host.cancelled), map[int]int{idempotent: 1, atMostOnce: 0}[class])
		if class == idempotent {
			b.finish(request, Cancelled)
		}
	}
}

func TestRetry_AttributesFailureToVersionOrRequest(t *testing.T) {
	for _, c := range []struct {
		name         string
		retryOutcome Outcome
		bad          float64
	}{{"retry succeeds: the version failed", Succeeded, 1}, {"retry fails: the request is at fault", Errored, 0}} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.addBackend(1, 1, 0)
			b.addBackend(2, 1, 0)
			request := b.request(idempotent)
			b.finish(request, Errored)
			b.finish(request, c.retryOutcome)
			bad, _ := b.evaluation.samples.totalFailures()
			check(t, "failures of the version", bad, c.bad)
		})
	}
}

// TestRetry_FleetBudgetExhausted: without a retry left in the fleet's budget a request ends at once. Its error counts
// against the version at once, as no second answer will come.
func TestRetry_FleetBudgetExhausted(t *testing.T) {
	b, _ := newFleetFixture(1, true)
	b.addBackend(1, 1, 0)
	b.addBackend(2, 1, 0)
	b.status(1, 0, Released, 1)
	first := b.request(idempotent)
	b.finish(first, Errored)
	check(t, "attempts of the first", len(first.attempts), 2)
	b.finish(first, Succeeded)
	b.evaluation.samples = newSamples(len(b.settings.Classes))
	second := b.request(idempotent)
	b.finish(second, Errored)
	check(t, "attempts of the second", len(second.attempts), 1)
	if _, rejected := b.host.rejected[second]; !rejected {
		t.Error("the request was not rejected at once")
	}
	bad, n := failures(b.evaluation.samples.class[idempotent])
	check(t, "counted failures", bad, 1)
	check(t, "counted outcomes", n, 1)
}

// TestRetry_CancelledAttemptTakesOneRetry: a relay cancels an attempt in order to retry the request at another backend.
// It therefore asks the fleet for the retry before it cancels, and does not cancel if the fleet declines. When the
// retry starts, the relay does not ask the fleet a second time.
func TestRetry_CancelledAttemptTakesOneRetry(t *testing.T) {
	for _, retries := range []int{0, 1} {
		b, host := newFleetFixture(retries, true)
		b.addBackend(1, 1, 0)
		b.addBackend(2, 1, 0)
		b.addBackend(3, 1, 0)
		b.status(1, 0, Released, 1)
		request := b.request(idempotent)
		b.advance(Second * 35 / 100)
		check(t, "cancelled", len(b.host.cancelled), retries)
		if retries > 0 {
			b.finish(request, Cancelled)
			check(t, "attempts", len(request.attempts), 2)
			check(t, "retries left", host.retriesLeft, 0)
		}
	}
}
