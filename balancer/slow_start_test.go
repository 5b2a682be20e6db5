package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestSlowStart_SendsNothingWithoutAWarmRate(t *testing.T) {
	b := newFixture(nil)
	backend := b.addBackend(1, 1, testStart)
	for range 50 { // the backend has free capacity, but the relay knows no rate of successes at a warm backend
		b.request(idempotent)
		b.succeedAll()
		b.now += 10
	}
	check(t, "attempts to a backend that warms up", len(b.host.started), 0)
	backend.ejected = true
	check(t, "a backend on probation keeps to the budget", b.checkBackend(&Request{}, backend) == NotRefused, false)
}

// TestSlowStart_BudgetIsSharedByAllRelays: if the slow-start budget allows each relay less than one attempt per window,
// all relays together stay within it.
func TestSlowStart_BudgetIsSharedByAllRelays(t *testing.T) {
	sent := 0
	for seed := range 100 {
		b := newFixture(func(s *Settings) { s.Relays = 100 })
		b.random.word = uint32(seed*7919 + 1)
		backend := b.addBackend(1, 1, testStart)
		// All 100 relays together send 20 attempts per second to a warm backend. At half of its capacity and with an
		// OverloadMultiple of 2, a backend may get 20 attempts in a window of 1 s.
		b.ratePerBackend = 0.2
		for range 10 {
			if b.now += Second / 10; b.request(idempotent).attempts != nil {
				backend.inFlight = 0
			}
		}
		sent += len(b.host.started)
	}
	check(t, "attempts, but fewer than the budget", sent > 0 && sent < 20, true)
}

// TestSlowStart_StaysWithinSiteLimit: relays at full load send as many requests as they may to a backend that warms up.
// In no window does the backend get more than N + 2 x sqrt(N) + 2 requests, where each request counts by its work and
// the mean work is 1. N is the number of requests per window that the settings allow at that moment.
func TestSlowStart_StaysWithinSiteLimit(t *testing.T) {
	for _, c := range []struct {
		name        string
		relays      int
		relayRates  []float64 // relative rates of the relays; relay i has the entry at i modulo the length
		backendRate float64   // requests per second that a warm backend takes
	}{
		{"300 equal relays, slow backends", 300, []float64{1}, 3},
		{"300 equal relays", 300, []float64{1}, 25},
		{"300 unequal relays", 300, []float64{0.3, 0.5, 0.7, 1, 4}, 25},
		{"300 unequal relays, fast backends", 300, []float64{0.3, 0.5, 0.7, 1, 4}, 200},
		{"300 relays, just over one attempt per window", 300, []float64{1}, 360},
		{"one relay", 1, []float64{1}, 3},
		{"one relay, fast backends", 1, []float64{1}, 100},
		{"few relays", 4, []float64{0.5, 1, 1, 1.5}, 5},
		{"few relays, fast backends", 4, []float64{0.5, 1, 1, 1.5}, 100},
		{"few relays, just over one attempt per window", 4, []float64{1}, 4.8},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum, worst, at := 0.0, 0.0, ""
			for i := range c.relays {
				sum += c.relayRates[i%len(c.relayRates)]
			}
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				var relays []*fixture
				var backends []*Backend
				for i := range c.relays {
					b := newFixture(func(s *Settings) { s.Relays = float64(c.relays) })
					b.random.word = rnd.Uint32()
					relays, backends = append(relays, b), append(backends, b.addBackend(1, 1, testStart))
					b.ratePerBackend = c.backendRate * c.relayRates[i%len(c.relayRates)] / sum
				}
				var sent []Tick
				var work []float64
				for now := testStart; now < testStart+4*Second; now += Second / 50 {
					for i, b := range relays {
						for b.Balancer.now = now; b.slowStartAllows(backends[i]); {
							backend := backends[i]
							backend.warmUpSends, backend.lastWarmUpSend, backend.warmUpCreditNeeded = append(backend.warmUpSends, now), now, 1
							sent, work = append(sent, now), append(work, (0.5+rnd.ExpFloat64())/1.5)
						}
					}
					got := 0.0
					for len(sent) > 0 && sent[0] < now-Second {
						sent, work = sent[1:], work[1:]
					}
					for _, w := range work {
						got += w
					}
					n := 2 * relays[0].warmUpFraction(backends[0]) * c.backendRate
					if share := got / (n + 2*math.Sqrt(n) + 2); share > worst {
						worst, at = share, fmt.Sprintf("%.1f (%d) at %d, N %.1f", got, len(sent), (now-testStart)*1000/Second, n)
					}
				}
			}
			t.Logf("at most %.2f of the limit: %s", worst, at)
			if worst > 1 {
				t.Errorf("%.2f of the limit: %s", worst, at)
			}
		})
	}
}
