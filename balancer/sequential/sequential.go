// Package sequential holds the sequential tests by which a relay compares the failures of a canary version with those of
// the version before it. Nothing in it knows of time, requests or versions: a caller feeds outcomes one by one, and asks.
//
// The detector is that of S. Shekhar and A. Ramdas, "Reducing sequential change detection to sequential estimation": a new
// sequential test starts at every observation, and an alarm is raised as soon as any of the tests rejects (their section 2).
// The tests are one-sided, as in Lorden's reduction (section 3), since a canary that fails less is no reason to roll back.
// With the n-th test at level 6α/(π²n²) the levels add up to α, which bounds the probability that a stream without a
// change ever raises an alarm (their remark on the probability of false alarms in section 2).
//
// Each test is a betting test. Its wealth starts at 1 and is multiplied by 1 + λ(x − b) at an outcome x between 0 and 1,
// where b is the bound that the mean of the outcomes must not exceed and the bet λ is chosen before x is seen. While the
// mean is at most b, wealth is a non-negative supermartingale, so by Ville's inequality it ever reaches 1/level with
// probability at most the level.
//
// EffectTest is the dual: it rules out that the mean is higher by an effect, which silence of the detector alone does not.
package sequential

import (
	"math"
	"slices"
)

const (
	// Margin is how far the mean may exceed the failure share that it is compared with, as a share of the outcomes.
	Margin = 0.02
	// FalseAlarmBudget is α, the chance of any false alarm that all streams of one comparison may share.
	FalseAlarmBudget = 0.01

	// maxOpenTests bounds the memory and the work of one detector.
	maxOpenTests = 32
	// permanentTests is how many of the first tests stay open for good.
	permanentTests = maxOpenTests / 2
	// priorMeanMultiple is the mean that a new test expects, in multiples of the bound.
	priorMeanMultiple = 4
	// maxPriorMean is the highest mean that a new test expects.
	maxPriorMean = 0.5
)

// Detector watches one stream of outcomes. It is not safe for concurrent use.
type Detector struct {
	level    float64
	outcomes int
	tests    []bettingTest
}

// bettingTest is a one-sided test of the outcomes from the start-th on.
type bettingTest struct {
	start    int
	seen     float64
	failures float64
	wealth   float64
}

// Alarm says which test rejected.
type Alarm struct {
	// Start is the number of the outcome, from 1, at which the test began.
	Start int
	// Outcomes is the number of outcomes so far.
	Outcomes int
	// Wealth is that of the test.
	Wealth float64
	// Bound is the mean that the outcomes were tested against at last.
	Bound float64
}

// NewDetector makes a detector that raises a false alarm with a probability of at most level.
func NewDetector(level float64) Detector { return Detector{level: level} }

// Outcomes is the number of outcomes so far.
func (d *Detector) Outcomes() int { return d.outcomes }

// Observe adds an outcome between 0 (good) and 1 (bad), which is tested against a mean of bound, above 0 and below 1.
// It opens a test that begins with this outcome, and tells whether any of the tests rejects: the first such one.
func (d *Detector) Observe(outcome, bound float64) (alarm Alarm, raised bool) {
	d.outcomes++
	d.openTest(bettingTest{start: d.outcomes, wealth: 1})
	for i := range d.tests {
		t := &d.tests[i]
		t.bet(outcome, bound)
		if t.wealth >= d.threshold(t) && !raised {
			alarm, raised = Alarm{Start: t.start, Outcomes: d.outcomes, Wealth: t.wealth, Bound: bound}, true
		}
	}
	return alarm, raised
}

// open adds a test. Once all places are taken it replaces the lowest of the later ones, if that has lost.
// Guards against a change after many good outcomes: seen as first tests whose wealth is all but gone; holds because half
// of the places go to tests that began of late.
func (d *Detector) openTest(t bettingTest) {
	if len(d.tests) < maxOpenTests {
		d.tests = append(d.tests, t)
		return
	}
	if lowest := lowestWealthTest(d.tests[permanentTests:]); lowest.wealth < 1 {
		*lowest = t
	}
}

// bet places the plug-in bet, which grows the logarithm of wealth most if the mean is what the test has seen so far, and
// settles it. A new test expects a mean of a few bounds, so that a long run of good outcomes costs rare faults little.
func (t *bettingTest) bet(outcome, bound float64) {
	mean := (t.failures + min(maxPriorMean, priorMeanMultiple*bound)) / (t.seen + 1)
	bet := min(max(0, (mean-bound)/(bound*(1-bound))), 1/bound)
	t.wealth *= 1 + bet*(outcome-bound)
	t.seen++
	t.failures += outcome
}

// threshold is the wealth at which a test rejects: π²n²/(6α) for the test that began at the n-th outcome.
func (d *Detector) threshold(t *bettingTest) float64 {
	return math.Pi * math.Pi * float64(t.start) * float64(t.start) / (6 * d.level)
}

// Suspicious tells whether any test has more wealth than the square root of its threshold: half the evidence, on the
// scale of its logarithm, that an alarm needs.
func (d *Detector) Suspicious() bool {
	return slices.ContainsFunc(d.tests, func(t bettingTest) bool { return t.wealth > math.Sqrt(d.threshold(&t)) })
}

func lowestWealthTest(tests []bettingTest) *bettingTest {
	lowest := &tests[0]
	for i := range tests {
		if tests[i].wealth < lowest.wealth {
			lowest = &tests[i]
		}
	}
	return lowest
}
