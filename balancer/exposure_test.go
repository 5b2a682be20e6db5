package balancer

import "testing"

func TestExposure_StaysWithinTheCap(t *testing.T) {
	for _, c := range []struct {
		name        string
		change      func(*Settings)
		class       int
		exposureCap float64
		phase       RolloutPhase
		wait        Tick
		want        int // number of attempts for 100 requests, with only the canary available
	}{
		{"allowance plus cap", nil, idempotent, 0.2, Canary, 5 * Second, 21},
		{"no allowance just after a start", nil, idempotent, 0.2, Canary, 0, 19},
		{"cap 0", nil, idempotent, 0, RollingBack, 5 * Second, 0},
		{"released", nil, idempotent, 0, Released, 5 * Second, 100},
		{"guarded stage, at most once", func(s *Settings) { s.Rollout.GuardedStages = 1 }, atMostOnce, 0.2, Canary, 5 * Second, 0},
		{"guarded stage, idempotent", func(s *Settings) { s.Rollout.GuardedStages = 1 }, idempotent, 0.2, Canary, 5 * Second, 21},
		{"by class", func(s *Settings) { s.Rollout.ExposurePerClass = true }, idempotent, 0.2, Canary, 5 * Second, 21},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(c.change)
			b.addBackend(1, 2, 0)
			b.status(2, 0, c.phase, c.exposureCap)
			b.advance(c.wait)
			for range 100 {
				b.request(c.class)
				b.succeedAll()
			}
			check(t, "attempts", len(b.host.started), c.want)
		})
	}
}

func TestExposure_UnannouncedVersionIsInFirstStage(t *testing.T) {
	b := newFixture(nil)
	b.status(1, 0, Released, 1)
	b.addBackend(1, 2, 0)
	share, stage := b.exposureCapOf(2)
	check(t, "is a canary", b.isCanary(2), true)
	check(t, "cap", share, 0.2)
	check(t, "stage", stage, 0)
}

func TestExposure_LoweredCapRestartsCountAfterGrace(t *testing.T) {
	b := newFixture(nil)
	b.addBackend(1, 2, 0)
	b.status(2, 1, Canary, 1)
	b.advance(5 * Second)
	for range 50 {
		b.request(idempotent)
		b.succeedAll()
	}
	sent := len(b.host.started)
	b.status(2, 0, Canary, 0.2)
	b.request(idempotent)
	check(t, "within the grace, the old count applies", len(b.host.started), sent)
	b.advance(Second + 100)
	b.request(idempotent)
	check(t, "after the grace, counting has restarted", len(b.host.started), sent+1)
}
