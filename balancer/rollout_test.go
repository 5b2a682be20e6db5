package balancer

import "testing"

// TestRollout_ResetsHideNoErrors checks that resets which a network fault causes at all versions do not hide errors and
// do not raise an alarm against a version.
func TestRollout_ResetsHideNoErrors(t *testing.T) {
	for _, c := range []struct {
		name       string
		errorEvery int // every n-th outcome at the canary is an error; 0 means none
		alarm      bool
	}{{"resets at both versions", 0, false}, {"resets at both versions, errors at the canary", 6, true}} {
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
				b.now += 2 * Second // the canary's attempts begin 2 s after the baseline's, as after a release
				b.Balancer.now = b.now
			}
			check(t, "alarm", b.evaluation.alarm != nil, c.alarm)
		})
	}
}

// TestRollout_FleetMetrics covers a version whose backends stop answering. A relay that sees almost no traffic at each
// backend does not detect it, as it attributes silence to the backend. The release API's counts of all relays do show
// it.
func TestRollout_FleetMetrics(t *testing.T) {
	for _, c := range []struct {
		name                                     string
		baseline, baselineBad, canary, canaryBad int // numbers of outcomes and of bad outcomes per period
		delay                                    Tick
		periods                                  int
		alarm                                    bool
	}{
		{"backends that stop answering", 100, 2, 16, 12, 0, 1, true},
		{"no failures at the canary", 100, 2, 16, 0, 0, 20, false},
		{"slightly more failures, as under the higher load of the canary", 100, 2, 20, 3, 0, 20, false},
		{"the same failure share at both versions", 100, 40, 20, 8, 0, 20, false},
		{"no counts of the baseline", 0, 0, 20, 20, 0, 5, false},
		{"outdated counts of the baseline", 100, 2, 20, 20, 5 * Second, 1, false},
		{"more failures than samples count as all samples", 100, 2, 16, 1 << 30, 0, 1, true},
		{"a negative count", 100, 2, -5, 3, 0, 5, false},
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

// TestRollout_WaitsForReports checks when an answer that no client has reported counts as correct in the stream of wrong
// answers. It counts only after ReportWithin, the time within which a client's report would have arrived.
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
		t.Errorf("missing evidence: got %v, want wrong answers", unproven)
	}
	b.now += 5*Second + 1
	b.Balancer.now = b.now
	b.countUnreportedAnswers()
	if unproven, _ := b.missingEvidence(); unproven.kind == wrongAnswers {
		t.Error("reports are still awaited after ReportWithin")
	}
	b.OnWrongAnswer(b.now, b.backends[0], idempotent, Second)
}

// TestRollout_UnknownBaselineRulesNothingOut checks that 12 good outcomes of the canary do not rule out ruledOutEffect
// while there is no data on the baseline.
func TestRollout_UnknownBaselineRulesNothingOut(t *testing.T) {
	b := newFixture(nil)
	b.addBackend(1, 1, 0)
	b.addBackend(2, 2, 0)
	b.status(2, 0, Canary, 0.2)
	for range 12 {
		b.evaluation.effects[idempotent].Observe(0, b.baselineShare(idempotent), ruledOutEffect)
	}
	if b.evaluation.effects[idempotent].RuledOut() {
		t.Errorf("the effect is ruled out after 12 outcomes: %+v", b.evaluation.effects[idempotent])
	}
	for range backendSampleSize {
		b.baseline.class[idempotent] = appendBounded(b.baseline.class[idempotent], 1, sampleSize)
	}
	known := b.baseline.failureShare(stream{kind: oneClass, class: idempotent})
	check(t, "a known baseline", b.baselineShare(idempotent), known)
}
