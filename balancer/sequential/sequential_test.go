package sequential

import (
	"math"
	"math/rand/v2"
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
	// With a bound of 0.1, a new test expects a mean of 4 x 0.1. Its first bet is (0.4-0.1)/(0.1*0.9). A first failure
	// therefore raises the wealth to 0.4/0.1, and a first good outcome lowers it to 0.6/0.9. After n outcomes, the test
	// expects a mean of (failures+0.4)/(n+1).
	for _, c := range []struct {
		name     string
		outcomes []float64
		want     float64
	}{
		{"one failure", []float64{1}, 4},
		{"one good outcome", []float64{0}, 0.6 / 0.9},
		{"two failures", []float64{1, 1}, 4 * 0.7 / 0.1},
		{"failure, then good outcome", []float64{1, 0}, 4 * 0.3 / 0.9},
		{"no bet while the expected mean is below the bound", []float64{0, 0, 0, 0, 0, 0, 0}, 0.6 / 0.9 * 0.8 / 0.9 * (1 - 0.4/3) / 0.9},
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
		check(t, "last permanent test", d.tests[min(n, 16)-1].start, min(n, 16))
	}
}

// TestDetector_FindsLateFault checks that a version that turns bad after many good outcomes is detected by tests that
// were opened after the change.
func TestDetector_FindsLateFault(t *testing.T) {
	for _, good := range []int{100, 500, 900} {
		d, n := NewDetector(FalseAlarmBudget), 0
		for range good {
			d.Observe(0, 0.32)
		}
		for alarm := false; !alarm && n < 200; n++ { // seven of ten outcomes are bad
			_, alarm = d.Observe(float64((n*7)%10/3&1|(n*7)%10/6&1), 0.32)
		}
		if n > 100 {
			t.Errorf("after %d good outcomes: detected after %d more", good, n)
		}
	}
}

// TestEffectTest_RulesOut checks within how many outcomes the effect is ruled out. At a baseline failure share of 0.01,
// 14 good outcomes rule it out. If the share of bad outcomes is at least the baseline plus the effect, 2000 outcomes do
// not rule it out. In the case "baseline near one", the baseline plus the effect would exceed 1, so Observe limits the
// sum to maxMeanWithEffect.
func TestEffectTest_RulesOut(t *testing.T) {
	const effect = 0.2
	for _, c := range []struct {
		name        string
		baseline    float64
		failEvery   int // every n-th outcome fails; 0 means none
		maxOutcomes int // maximum number of outcomes until the effect is ruled out; 0: not ruled out within 2000 outcomes
	}{{"none fails", 0.01, 0, 14}, {"one in a hundred", 0.01, 100, 30}, {"baseline fails as often", 0.3, 3, 120},
		{"worse than the effect", 0.01, 4, 0}, {"all fail", 0.01, 1, 0}, {"baseline near one", 0.99, 1, 0}} {
		t.Run(c.name, func(t *testing.T) {
			test, n := NewEffectTest(), 0
			for ; n < 2000 && !test.RuledOut(); n++ {
				x := 0.0
				if c.failEvery > 0 && n%c.failEvery == 0 {
					x = 1
				}
				test.Observe(x, c.baseline, effect)
			}
			if c.maxOutcomes > 0 && n > c.maxOutcomes || c.maxOutcomes == 0 && n < 2000 || math.IsNaN(test.wealth) {
				t.Errorf("ruled out after %d outcomes, wealth %v", n, test.wealth)
			}
		})
	}
}

// outcome returns 1 with the given probability, and 0 otherwise.
func outcome(random *rand.Rand, probability float64) float64 {
	if random.Float64() < probability {
		return 1
	}
	return 0
}

// maxByChance returns a count that n independent events of the given probability exceed only once in a thousand times
// or less: three and a half standard deviations above the mean.
func maxByChance(n int, probability float64) int {
	mean := float64(n) * probability
	return int(mean + 3.5*math.Sqrt(mean*(1-probability)))
}

// TestDetector_FalseAlarmsStayWithinTheLevel checks that, with a mean equal to the bound, no more streams raise an
// alarm than the level allows.
func TestDetector_FalseAlarmsStayWithinTheLevel(t *testing.T) {
	const streams, outcomes, level = 1000, 400, 0.05
	for _, bound := range []float64{0.03, 0.1, 0.4} {
		random := rand.New(rand.NewPCG(1, uint64(bound*100)))
		alarms := 0
		for range streams {
			d := NewDetector(level)
			for range outcomes {
				if _, raised := d.Observe(outcome(random, bound), bound); raised {
					alarms++
					break
				}
			}
		}
		if limit := maxByChance(streams, level); alarms > limit {
			t.Errorf("bound %v: %d of %d streams raised an alarm, want at most %d", bound, alarms, streams, limit)
		}
	}
}

// TestEffectTest_MissesStayWithinTheProbability checks that, with a mean that equals the baseline plus the effect, no
// more tests rule the effect out than missProbability allows.
func TestEffectTest_MissesStayWithinTheProbability(t *testing.T) {
	const tests, outcomes, effect = 2000, 400, 0.2
	for _, baseline := range []float64{0.02, 0.1, 0.4} {
		random := rand.New(rand.NewPCG(2, uint64(baseline*100)))
		missed := 0
		for range tests {
			test := NewEffectTest()
			for range outcomes {
				test.Observe(outcome(random, baseline+effect), baseline, effect)
			}
			if test.RuledOut() {
				missed++
			}
		}
		if limit := maxByChance(tests, missProbability); missed > limit {
			t.Errorf("baseline %v: %d of %d tests missed the effect, want at most %d", baseline, missed, tests, limit)
		}
	}
}

// TestDetector_SuspiciousBeforeAlarm checks that failures make a detector suspicious before they raise an alarm, and
// that good outcomes do not.
func TestDetector_SuspiciousBeforeAlarm(t *testing.T) {
	d := NewDetector(FalseAlarmBudget)
	for range 100 {
		if d.Observe(0, 0.1); d.Suspicious() {
			t.Fatal("suspicious after good outcomes only")
		}
	}
	for n := 1; n <= 20; n++ {
		_, raised := d.Observe(1, 0.1)
		if raised && !d.Suspicious() {
			t.Fatal("alarm, but not suspicious")
		}
		if d.Suspicious() {
			check(t, "alarm at the first outcome that is suspicious", raised, false)
			return
		}
	}
	t.Error("not suspicious after 20 consecutive failures")
}
