package balancer

import "testing"

func TestRandom_IsUniformAndRepeatable(t *testing.T) {
	a, b := newFixture(nil), newFixture(nil)
	counts := make([]int, 4)
	for range 4000 {
		x := a.random.intN(4)
		check(t, "same seed, same draw", b.random.intN(4), x)
		counts[x]++
	}
	for i, n := range counts {
		if n < 900 || n > 1100 {
			t.Errorf("%d was drawn %d times in 4000 draws", i, n)
		}
	}
}
