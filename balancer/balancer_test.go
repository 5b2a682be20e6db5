package balancer

import "testing"

func TestBalancer_AnswersEveryRequest(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    int
		backends int
		outcomes []Outcome
		reject   bool
		attempts int
	}{
		{"no backend, queued until it is too late", idempotent, 0, nil, true, 0},
		{"no backend, at most once: rejected as it never ran", atMostOnce, 0, nil, true, 0},
		{"error, idempotent: retried once elsewhere", idempotent, 2, []Outcome{Errored, Errored}, true, 2},
		{"error, at most once: failed at once", atMostOnce, 2, []Outcome{Errored}, false, 1},
		{"at capacity, at most once: retried", atMostOnce, 2, []Outcome{AtCapacity, AtCapacity, AtCapacity}, true, 3},
		{"connect failed then reset, at most once", atMostOnce, 2, []Outcome{ConnectFailed, Reset}, false, 2},
		{"reset, with a key, other zone: failed", withKey, 2, []Outcome{Reset}, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			for i := range c.backends {
				b.addBackend(uint32(i+1), 1, 0)
			}
			request := b.request(c.class)
			for _, e := range c.outcomes {
				b.finish(request, e)
			}
			b.advance(Second)
			_, rejected := b.host.rejected[request]
			check(t, "rejected", rejected, c.reject)
			check(t, "failed", b.host.failed[request], !c.reject)
			check(t, "attempts", len(b.host.started), c.attempts)
		})
	}
}

// TestBalancer_MissingSettingsAndDegradedBackend: absent and zero settings cause no failure, and a degraded backend
// comes last.
func TestBalancer_MissingSettingsAndDegradedBackend(t *testing.T) {
	b := newFixture(func(s *Settings) {
		s.Relays = 0
		s.Rollout.VotesPerSecond = 0
		s.Rollout.StageCaps = nil
		s.SlowStart.OverloadWindow = 0
	})
	degraded := b.addBackend(1, 1, 0)
	b.addBackend(2, 1, testStart)
	b.status(2, 0, Canary, 0.2)
	b.recordForBackend(degraded, true)
	check(t, "last", b.backends[len(b.backends)-1], degraded)
	b.request(idempotent)
	b.advance(5 * Second)
}

// TestBalancer_LoadCountsQueuedRequests: the load is at most 1 while no request waits, and queued requests raise it
// above 1.
func TestBalancer_LoadCountsQueuedRequests(t *testing.T) {
	b := newFixture(nil)
	b.status(1, 0, Released, 1)
	check(t, "idle", b.Load(), 0)
	for id := range uint32(10) {
		b.addBackend(id, 1, 0)
	}
	for range 5 {
		b.request(idempotent)
	}
	check(t, "at the concurrency limit", b.Load(), 1)
	for range 5 {
		b.request(idempotent)
	}
	check(t, "as many requests queued as in flight", b.Load(), 2)
}
