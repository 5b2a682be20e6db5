package balancer

import "testing"

func TestConcurrencyLimit_FollowsLatency(t *testing.T) {
	b := newFixture(func(s *Settings) { s.Relays = 100 })
	b.addBackend(1, 1, 0)
	for _, c := range []struct{ took, minLimit, maxLimit Tick }{{4000, 1, 1}, {100, 2, 1e6}} { // slow answers, then fast ones
		for range 40 {
			b.request(idempotent)
			b.now += c.took
			b.succeedAll()
			b.host.started = nil
		}
		check(t, "limit", b.concurrencyLimit >= float64(c.minLimit) && b.concurrencyLimit <= float64(c.maxLimit), true)
	}
}
