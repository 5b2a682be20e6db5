package sequential

import (
	"math"
	"slices"
	"testing"
)

func check[T comparable](tb testing.TB, what string, got, want T) {
	tb.Helper()
	if got != want {
		tb.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestDetector_Wealth(t *testing.T) {
	// With a bound of 0.1 a new test expects 4 x 0.1: a first failure bets (0.4-0.1)/(0.1*0.9), so wealth is 0.4/0.1; a
	// first good outcome leaves 0.6/0.9; the next mean is (failures+0.4)/(seen+1).
	for _, c := range []struct {
		name     string
		outcomes []float64
		want     float64
	}{
		{"one failure", []float64{1}, 4},
		{"one answer", []float64{0}, 0.6 / 0.9},
		{"two failures", []float64{1, 1}, 4 * 0.7 / 0.1},
		{"failure then answer", []float64{1, 0}, 4 * 0.3 / 0.9},
		{"no bet below the edge", []float64{0, 0, 0, 0, 0, 0, 0}, 0.6 / 0.9 * 0.8 / 0.9 * (1 - 0.4/3) / 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDetector(FalseAlarmBudget)
			for _, x := range c.outcomes {
				d.Observe(x, 0.1)
			}
			if got := d.tests[0].wealth; math.Abs(got-c.want) > 1e-9 {
				t.Errorf("wealth %v, want %v", got, c.want)
			}
		})
	}
}

func TestDetector_Threshold(t *testing.T) {
	for n, want := range map[int]float64{1: 164.4934, 2: 657.9736, 10: 16449.34} {
		d := NewDetector(0.01)
		if got := d.threshold(&bettingTest{start: n}); math.Abs(got-want) > 0.01 {
			t.Errorf("threshold of test %d: %v, want %v", n, got, want)
		}
	}
}

func TestDetector_KeepsFirstTestsAndNewest(t *testing.T) {
	for _, n := range []int{1, 32, 33, 64, 300} {
		d := NewDetector(FalseAlarmBudget)
		for range n {
			d.Observe(0, 0.1)
		}
		check(t, "open tests", len(d.tests), min(n, 32))
		newest := slices.MaxFunc(d.tests, func(a, b bettingTest) int { return a.start - b.start })
		check(t, "newest test", newest.start, n)
		check(t, "the first tests stay", d.tests[min(n, 16)-1].start, min(n, 16))
	}
}

// A version that turns bad after many good outcomes is found by tests that were opened then.
func TestDetector_FindsLateFault(t *testing.T) {
	for _, good := range []int{100, 500, 900} {
		d, n := NewDetector(FalseAlarmBudget), 0
		for range good {
			d.Observe(0, 0.32)
		}
		for alarm := false; !alarm && n < 200; n++ { // seven of ten are slow
			_, alarm = d.Observe(float64((n*7)%10/3&1|(n*7)%10/6&1), 0.32)
		}
		if n > 100 {
			t.Errorf("after %d good outcomes: found after %d", good, n)
		}
	}
}

// A failure share of the effect above the baseline's is ruled out by 14 good outcomes at a share of 0.01, and by no
// number of them where it is the true one.
func TestEffectTest_RulesOut(t *testing.T) {
	const effect = 0.2
	for _, c := range []struct {
		name  string
		base  float64
		every int // one in so many fails, 0: none
		most  int // outcomes that it may take, 0: it must not be ruled out within 2000
	}{{"none fails", 0.01, 0, 14}, {"one in a hundred", 0.01, 100, 30}, {"the earlier one fails, too", 0.3, 3, 120},
		{"worse than the effect", 0.01, 4, 0}, {"all fail", 0.01, 1, 0}, {"base near one", 0.99, 1, 0}} {
		t.Run(c.name, func(t *testing.T) {
			test, n := NewEffectTest(), 0
			for ; n < 2000 && !test.RuledOut(); n++ {
				x := 0.0
				if c.every > 0 && n%c.every == 0 {
					x = 1
				}
				test.Observe(x, c.base, effect)
			}
			if c.most > 0 && n > c.most || c.most == 0 && n < 2000 || math.IsNaN(test.wealth) {
				t.Errorf("ruled out after %d, wealth %v", n, test.wealth)
			}
		})
	}
}
