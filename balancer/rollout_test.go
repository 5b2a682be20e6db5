package balancer

import "testing"

// Resets of a network that breaks connections of all versions hide no errors, and are no fault of a version.
func TestRollout_ResetsHideNoErrors(t *testing.T) {
	for _, c := range []struct {
		name       string
		errorEvery int // one in so many at the canary
		alarm      bool
	}{{"resets at both versions", 0, false}, {"and errors at the later one", 6, true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.status(1, 0, Released, 1)
			b.status(2, 0, Canary, 0.2)
			for version := uint16(1); version <= 2; version++ {
				for i := range 200 {
					outcome := Succeeded
					switch {
					case i%7 == 0:
						outcome = Reset
					case version == 2 && c.errorEvery > 0 && i%c.errorEvery == 1:
						outcome = Errored
					}
					attempt := &Attempt{Request: &Request{state: requestAnswered}, Backend: &Backend{lastAnswer: b.now},
						chosenAt: b.now, slowAfter: b.now + 1, version: version, outcome: outcome}
					b.recordForVersion(attempt, false)
				}
				b.now += 2 * Second // it has been released meanwhile
				b.Balancer.now = b.now
			}
			check(t, "alarm", b.evaluation.alarm != nil, c.alarm)
		})
	}
}

// TestRollout_FleetMetrics: a version whose backends stop answering shows to no relay that sees next to nothing of each
// backend, as silence speaks for backends; it shows in what the release API counts of all of them.
func TestRollout_FleetMetrics(t *testing.T) {
	for _, c := range []struct {
		name                                     string
		baseline, baselineBad, canary, canaryBad int // samples of a period at the earlier version and at the canary
		delay                                    Tick
		periods                                  int
		alarm                                    bool
	}{
		{"backends that stop answering", 100, 2, 16, 12, 0, 1, true},
		{"as good as before", 100, 2, 16, 0, 0, 20, false},
		{"some more fail, by the load of backends of the canary", 100, 2, 20, 3, 0, 20, false},
		{"attempts lost at both versions alike", 100, 40, 20, 8, 0, 20, false},
		{"nothing counted at the earlier version", 0, 0, 20, 20, 0, 5, false},
		{"not for long", 100, 2, 20, 20, 5 * Second, 1, false},
		{"more failures than samples are no more than all", 100, 2, 16, 1 << 30, 0, 1, true},
		{"counts that make no sense", 100, 2, -5, 3, 0, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(func(s *Settings) {
				s.Relays = 300
				s.Rollout.MetricsPeriod = 2
			})
			b.status(1, 0, Released, 1)
			b.addBackend(1, 1, 0)
			b.status(2, 0, Canary, 0.2)
			b.addBackend(2, 2, 0)
			for range 4 {
				b.OnMetrics(b.now, 1, 0, c.baseline, c.baselineBad, 100, 9000)
			}
			b.now += c.delay
			for range c.periods {
				b.now += 2 * Second
				if c.delay == 0 {
					b.OnMetrics(b.now, 1, 0, c.baseline, c.baselineBad, 100, 9000)
				}
				b.OnMetrics(b.now, 2, 0, c.canary, c.canaryBad, 100, 9000)
			}
			check(t, "alarm", b.evaluation.alarm != nil, c.alarm)
			if c.alarm {
				check(t, "verdict", b.verdict(), RollBack)
			}
		})
	}
}

// Answers count for the reports once these would have come.
func TestRollout_WaitsForReports(t *testing.T) {
	b := newFixture(func(s *Settings) {
		s.Rollout.FoundShare = 1
		s.Rollout.ReportWithin = 5
	})
	b.addBackend(1, 1, 0)
	b.addBackend(2, 2, 0)
	b.status(2, 0, Canary, 0.2)
	for range 60 {
		b.recordAnswer(2, 0)
	}
	b.countUnreportedAnswers()
	if unproven, missing := b.missingEvidence(); !missing || unproven.kind != wrongAnswers {
		t.Errorf("%v is open, wanted the reports", unproven)
	}
	b.now += 5*Second + 1
	b.Balancer.now = b.now
	b.countUnreportedAnswers()
	if unproven, _ := b.missingEvidence(); unproven.kind == wrongAnswers {
		t.Error("the reports are still waited for after their time")
	}
	b.OnWrongAnswer(b.now, b.backends[0], idempotent, Second)
}

// While nothing is known of the earlier version a few good outcomes rule nothing out.
func TestRollout_UnknownBaselineRulesNothingOut(t *testing.T) {
	b := newFixture(nil)
	b.addBackend(1, 1, 0)
	b.addBackend(2, 2, 0)
	b.status(2, 0, Canary, 0.2)
	for range 12 {
		b.evaluation.effects[idempotent].Observe(0, b.baselineShare(idempotent), ruledOutEffect)
	}
	if b.evaluation.effects[idempotent].RuledOut() {
		t.Errorf("ruled out by 12 outcomes, %+v", b.evaluation.effects[idempotent])
	}
	for range backendSampleSize {
		b.baseline.class[idempotent] = appendBounded(b.baseline.class[idempotent], 1, sampleSize)
	}
	known := b.baseline.failureShare(stream{kind: oneClass, class: idempotent})
	check(t, "a known baseline", b.baselineShare(idempotent), known)
}
