package devicehealth

import (
	"silvercove/balancer/sequential"
	"silvercove/internal/tick"
)

const (
	// falseAlarmChance bounds the chance of any false alarm of one node.
	falseAlarmChance = 0.01
	// recoveryOutcomes is how many outcomes without an alarm a node needs to be believed again.
	recoveryOutcomes = 20
)

// failureDetector finds a node whose requests fail more often than usual, by the sequential test with which a relay watches a
// canary. Once it has, the node waits, is tried again, and is believed after recoveryOutcomes outcomes; each alarm meanwhile doubles
// the wait.
type failureDetector struct {
	test     sequential.Detector
	failedAt tick.Tick // of the last alarm; 0 for none that still counts
	outcomes int       // since the last alarm
	wait     tick.Tick
}

func newFailureDetector() failureDetector {
	return failureDetector{test: sequential.NewDetector(falseAlarmChance), wait: minDwell}
}

// record records one outcome, tested against a usual share of failures.
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

// failing reports whether there was an alarm that the node has not recovered from.
func (d *failureDetector) failing() bool { return d.failedAt > 0 }

// waiting reports whether the node is failing and is not tried again yet.
func (d *failureDetector) waiting(now tick.Tick) bool { return d.failing() && now-d.failedAt < d.wait }
