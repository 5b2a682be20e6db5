package evidence

import (
	"math/rand/v2"
	"testing"
)

// TestConfidenceBounds_HoldAtAllTimes: in at most 5% of the runs, the true share of failures is ever outside the bounds.
// 5% is the level that the test passes to ConfidenceBounds.
func TestConfidenceBounds_HoldAtAllTimes(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, p := range []float64{0.01, 0.2, 0.5} {
		runsOutside := 0
		const runs = 400
		for range runs {
			bad := 0.0
			for n := 1.0; n <= 300; n++ {
				if r.Float64() < p {
					bad++
				}
				if low, high := ConfidenceBounds(bad, n, 0.05); p < low || p > high {
					runsOutside++
					break
				}
			}
		}
		if runsOutside > runs*8/100 { // the level allows 5%; the other 3% are about three standard deviations of runsOutside/runs, 1.1% each
			t.Errorf("share %g lies outside the bounds in %d of %d runs", p, runsOutside, runs)
		}
	}
	for _, c := range []struct{ bad, n, low, high float64 }{{0, 0, 0, 1}, {0, 100, 0, 0.07}, {100, 100, 0.93, 1}} {
		low, high := ConfidenceBounds(c.bad, c.n, 0.05)
		if low < c.low-1e-9 || high > c.high+1e-9 {
			t.Errorf("%g failures among %g outcomes: bounds %g to %g", c.bad, c.n, low, high)
		}
	}
}
