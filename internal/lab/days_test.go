package lab

import "testing"

// TestDays: whatever happens on a day, no rule is broken by all relays together, and most is served.
func TestDays(t *testing.T) {
	least := []float64{0.97, 0.85, 0.85, 0.85, 0.8, 0.8}
	for i, d := range Days {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				r := d.Run(seed)
				for what, n := range r.Broken {
					t.Errorf("seed %d: %d times %s", seed, n, what)
				}
				if r.Share() < least[i] {
					t.Errorf("seed %d: %.3f of %d served, wanted %.2f", seed, r.Share(), r.Taken, least[i])
				}
			}
		})
	}
}
