package devicehealth

import (
	"silvercove/balancer/sequential"
	"silvercove/internal/tick"
)

const (
	// falseAlarmChance bounds the probability that a node's test ever raises a false alarm. Each alarm starts a new test.
	falseAlarmChance = 0.01
	// recoveryOutcomes is the number of outcomes without an alarm after which a failing node counts as recovered.
	recoveryOutcomes = 20
)

// failureDetector detects that a node's requests fail more often than a baseline, by the sequential test that a relay applies
// to a canary. After an alarm the node is failing: it waits, is then tried again, and has recovered after recoveryOutcomes
// outcomes without an alarm. Each alarm before the recovery doubles the wait.
type failureDetector struct {
	test     sequential.Detector
	failedAt tick.Tick // time of the last alarm; 0 if there was none or the node has recovered
	outcomes int       // number of outcomes since the last alarm
	wait     tick.Tick // time from an alarm until the node is tried again
}

func newFailureDetector() failureDetector {
	return failureDetector{test: sequential.NewDetector(falseAlarmChance), wait: minDwell}
}

// record tests one outcome against a baseline failure share.
func (d *failureDetector) record(now tick.Tick, succeeded bool, baselineShare float64) {
	outcome := 0.0
	if !succeeded {
		outcome = 1
	}
	_, alarm := d.test.Observe(outcome, baselineShare)
	d.outcomes++
	if alarm {
		if d.failing() {
			d.wait = min(2*d.wait, maxDwell)
		}
		d.failedAt, d.outcomes, d.test = now, 0, sequential.NewDetector(falseAlarmChance)
		return
	}
	if d.failing() && now-d.failedAt >= d.wait && d.outcomes >= recoveryOutcomes && !d.test.Suspicious() {
		d.failedAt, d.wait = 0, minDwell
	}
}

// failing reports whether there was an alarm from which the node has not recovered.
func (d *failureDetector) failing() bool { return d.failedAt > 0 }

// waiting reports whether the node is failing and its trial has not begun yet.
func (d *failureDetector) waiting(now tick.Tick) bool { return d.failing() && now-d.failedAt < d.wait }
