// Package sequential contains the sequential tests with which a relay compares the failures of a canary version with
// those of the version before it. The package knows nothing of time, requests or versions: the caller passes outcomes
// one by one and queries the result.
//
// Detector implements the method of S. Shekhar and A. Ramdas, "Reducing sequential change detection to sequential
// estimation": a new sequential test starts at every observation, and an alarm is raised as soon as any of the tests
// rejects (their section 2). The tests are one-sided, as in Lorden's reduction (section 3), since a canary that fails
// less is no reason to roll back. The n-th test has level 6α/(π²n²). These levels add up to α, which bounds the
// probability that a stream without a change ever raises an alarm (their remark on the probability of false alarms in
// section 2).
//
// Each test is a betting test. Its wealth starts at 1 and is multiplied by 1 + λ(x − b) at an outcome x between 0 and
// 1, where b is the bound that the mean of the outcomes must not exceed, and the bet λ is chosen before x is seen.
// While the mean is at most b, wealth is a non-negative supermartingale. By Ville's inequality, the probability that it
// ever reaches 1/level is at most the level.
//
// EffectTest tests in the opposite direction: it rules out that the mean exceeds a baseline by a given difference,
// which is called the effect. The absence of an alarm from a Detector does not rule the effect out.
package sequential

import (
	"math"
	"slices"
)

const (
	// Margin is the maximum difference by which the mean of the outcomes may exceed the failure share that it is
	// compared with.
	Margin = 0.02
	// FalseAlarmBudget is α, the upper bound on the probability of a false alarm. A caller that tests several streams
	// of one kind divides it among them.
	FalseAlarmBudget = 0.01

	// maxOpenTests is the maximum number of open tests of a detector. It bounds the memory and the computation.
	maxOpenTests = 32
	// permanentTests is how many of the first tests are never replaced.
	permanentTests = maxOpenTests / 2
	// priorMeanMultiple times the bound is the mean that a test expects before its first outcome, but at most
	// maxPriorMean.
	priorMeanMultiple = 4
	// maxPriorMean is the maximum of the mean that a test expects before its first outcome.
	maxPriorMean = 0.5
)

// Detector tests one stream of outcomes for a rise of its mean. It is not safe for concurrent use.
type Detector struct {
	level    float64
	outcomes int
	tests    []bettingTest
}

// bettingTest is a one-sided test that begins with the outcome numbered start.
type bettingTest struct {
	start    int
	seen     float64
	failures float64
	wealth   float64
}

// Alarm identifies the test that rejected.
type Alarm struct {
	// Start is the number of the outcome, from 1, at which the test began.
	Start int
	// Outcomes is the number of outcomes up to the alarm.
	Outcomes int
	// Wealth is the wealth of the test after the last outcome.
	Wealth float64
	// Bound is the upper bound that the mean was tested against at the last outcome.
	Bound float64
}

// NewDetector returns a detector that raises a false alarm with a probability of at most level.
func NewDetector(level float64) Detector { return Detector{level: level} }

// Outcomes returns the number of outcomes so far.
func (d *Detector) Outcomes() int { return d.outcomes }

// Observe adds an outcome between 0 (good) and 1 (bad) and tests whether the mean exceeds bound, which must be above 0
// and below 1. It opens a test that begins with this outcome, and reports whether any test rejects. The alarm
// identifies the first test in d.tests that rejects.
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

// openTest adds a test. If maxOpenTests tests are open, the new test can replace only a test that is not among the
// first permanentTests. It replaces the one with the least wealth, provided that this wealth is below 1.
//
// The places that are not permanent stay available to tests that began recently. Recent tests can detect a change after
// many good outcomes, when the first tests have lost nearly all of their wealth.
func (d *Detector) openTest(t bettingTest) {
	if len(d.tests) < maxOpenTests {
		d.tests = append(d.tests, t)
		return
	}
	if lowest := lowestWealthTest(d.tests[permanentTests:]); lowest.wealth < 1 {
		*lowest = t
	}
}

// bet places the plug-in bet on an outcome and multiplies the wealth by its result. The plug-in bet maximizes the
// growth of the logarithm of wealth if the mean equals the mean that the test has seen so far. A new test expects a
// mean of priorMeanMultiple times the bound, but at most maxPriorMean. The bet is 0 while the expected mean is at most
// the bound, so a long run of good outcomes reduces the power against rare faults only slightly.
func (t *bettingTest) bet(outcome, bound float64) {
	mean := (t.failures + min(maxPriorMean, priorMeanMultiple*bound)) / (t.seen + 1)
	bet := min(max(0, (mean-bound)/(bound*(1-bound))), 1/bound)
	t.wealth *= 1 + bet*(outcome-bound)
	t.seen++
	t.failures += outcome
}

// threshold returns the wealth at which a test rejects: π²n²/(6α) for the test that began at the n-th outcome.
func (d *Detector) threshold(t *bettingTest) float64 {
	return math.Pi * math.Pi * float64(t.start) * float64(t.start) / (6 * d.level)
}

// Suspicious reports whether the wealth of any test exceeds the square root of its threshold. The logarithm of the
// wealth is then more than half of the logarithm of the threshold, at which the test rejects.
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
