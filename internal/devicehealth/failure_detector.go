package devicehealth

import (
	"silvercove/balancer/sequential"
	"silvercove/internal/tick"
)

const (
	// falseAlarmChance is the maximum probability that failureDetector.test ever raises an alarm for a healthy node.
	// Each alarm starts a new test.
	falseAlarmChance = 0.01
	// recoveryOutcomes is the number of outcomes without an alarm after which a failing node counts as recovered.
	recoveryOutcomes = 20
)

// failureDetector detects that a node's requests fail more often than a baseline, by the sequential test that a relay
// applies to a canary. From an alarm until its recovery, the node is failing. A failing node is not tried again until
// the field wait, a duration, has passed since the last alarm. The node has recovered once this duration is over,
// recoveryOutcomes outcomes have raised no alarm, and test is not suspicious. Each alarm before the recovery doubles
// wait, up to maxDwell.
type failureDetector struct {
	test     sequential.Detector
	failedAt tick.Tick // time of the last alarm; 0 if there was none or the node has recovered
	outcomes int       // number of outcomes since the last alarm
	wait     tick.Tick // time from an alarm until the node is tried again
}

func newFailureDetector() failureDetector {
	return failureDetector{test: sequential.NewDetector(falseAlarmChance), wait: minDwell}
}

// record tests one outcome against a baseline, which is the expected share of failures.
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

// failing reports whether the node has not yet recovered from an alarm.
func (d *failureDetector) failing() bool { return d.failedAt > 0 }

// waiting reports whether the node is failing and the wait since its last alarm is not over.
func (d *failureDetector) waiting(now tick.Tick) bool { return d.failing() && now-d.failedAt < d.wait }
