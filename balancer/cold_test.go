package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestColdBudgetKeepsThePagesBound: relays that want a cold unit all the time, at full load, send it no more in any window
// than it may get: N + 2 x root of N + 2 requests of mean work, N being what the settings allow it then.
func TestColdBudgetKeepsThePagesBound(t *testing.T) {
	for _, c := range []struct {
		name   string
		relays int
		parts  []float64 // their rates, in turn
		takes  float64   // that a warm unit takes in a second
	}{
		{"300 alike, slow units", 300, []float64{1}, 3},
		{"300 alike", 300, []float64{1}, 25},
		{"300 uneven", 300, []float64{0.3, 0.5, 0.7, 1, 4}, 25},
		{"300 uneven, fast units", 300, []float64{0.3, 0.5, 0.7, 1, 4}, 200},
		{"300 of just over one a window", 300, []float64{1}, 360},
		{"one", 1, []float64{1}, 3},
		{"one, fast units", 1, []float64{1}, 100},
		{"few", 4, []float64{0.5, 1, 1, 1.5}, 5},
		{"few, fast units", 4, []float64{0.5, 1, 1, 1.5}, 100},
		{"few of just over one a window", 4, []float64{1}, 4.8},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum, worst, at := 0.0, 0.0, ""
			for i := range c.relays {
				sum += c.parts[i%len(c.parts)]
			}
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				var relays []*bench
				var units []*Backend
				for i := range c.relays {
					b := newBench(func(s *Settings) { s.Relays = float64(c.relays) })
					b.Balancer.random.word = rnd.Uint32()
					relays, units = append(relays, b), append(units, b.unit(1, 1, start))
					b.ratePerBackend = c.takes * c.parts[i%len(c.parts)] / sum
				}
				var sent []Tick
				var work []float64
				for now := start; now < start+4*Second; now += Second / 50 {
					for i, b := range relays {
						for b.Balancer.now = now; b.slowStartAllows(units[i]); {
							u := units[i]
							u.warmUpSends, u.lastWarmUpSend, u.warmUpShareDue = append(u.warmUpSends, now), now, 1
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
					n := 2 * relays[0].warmUpFraction(units[0]) * c.takes
					if part := got / (n + 2*math.Sqrt(n) + 2); part > worst {
						worst, at = part, fmt.Sprintf("%.1f (%d) at %d, N %.1f", got, len(sent), (now-start)*1000/Second, n)
					}
				}
			}
			t.Logf("at most %.2f of what fells it: %s", worst, at)
			if worst > 1 {
				t.Errorf("%.2f of what fells it: %s", worst, at)
			}
		})
	}
}
