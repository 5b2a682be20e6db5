package balancer

import "testing"

// TestLatency_SlownessInABurst: a burst of requests slows down backends of any version, so it raises no alarm. The same
// slowness without a burst counts against the version.
func TestLatency_SlownessInABurst(t *testing.T) {
	for _, c := range []struct {
		name      string
		succeeded int
		alarm     bool
	}{{"as many as before", 20, true}, {"a burst", 60, false}} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.status(1, 0, Released, 1)
			b.feedOutcomes(1, 100, 0)
			b.successTimes = b.successTimes[:20]
			b.status(2, 0, Canary, 0.2)
			b.successTimes = make([]Tick, c.succeeded)
			for range 100 {
				attempt := &Attempt{Request: &Request{state: requestAnswered}, Backend: &Backend{}, chosenAt: b.now - 9000,
					slowAfter: b.now - 1, version: 2}
				b.recordTimeliness(attempt, true)
			}
			check(t, "alarm", b.evaluation.alarm != nil, c.alarm)
		})
	}
}
