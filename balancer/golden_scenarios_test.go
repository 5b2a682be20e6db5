package balancer_test

import (
	"silvercove/balancer"
)

// scenario is one kind of day.
type scenario struct {
	name            string
	relayCount      int
	backendCount    int
	rate            float64 // requests a second at each relay
	more            func(*balancer.Settings)
	fleet           bool    // the host answers for a fleet
	pinned          float64 // part of the requests whose instance runs at one backend
	lateConnections float64 // part of the attempts whose connection takes a while to come up
	statusDelay     float64 // seconds by which news of the rollout are late
	refusedPolls    float64 // part of the calls for the list that fail
	impatient       bool    // clients wait for little more than an answer takes
	plan            func(w *world)
}

var scenarios = []scenario{
	{
		name:         "calm",
		relayCount:   3,
		backendCount: 8,
		rate:         20,
		plan:         func(*world) {},
	},
	{
		name:         "cold-starts",
		relayCount:   4,
		backendCount: 8,
		rate:         30,
		plan: func(w *world) {
			for i := range w.backends {
				w.in(float64(2+i%3*3), func() { w.restart(i) })
			}
		},
	},
	{
		name:            "shrinking-list",
		relayCount:      3,
		backendCount:    10,
		rate:            40,
		lateConnections: 0.2,
		plan: func(w *world) {
			for i := range 8 {
				w.in(float64(1+i), func() { w.announce(i, balancer.Draining) })
				w.in(float64(2+i), func() { w.announce(i, balancer.Removed) })
			}
			w.in(11, func() { w.announce(0, balancer.Ready) })
		},
	},
	{
		name:         "overload",
		relayCount:   4,
		backendCount: 4,
		rate:         60,
		plan: func(w *world) {
			w.in(3, func() { w.loadMultiple = 4 })
			w.in(8, func() { w.loadMultiple = 1 })
		},
	},
	{
		name:            "faults",
		relayCount:      3,
		backendCount:    9,
		rate:            30,
		lateConnections: 0.1,
		plan: func(w *world) {
			w.in(2, func() { w.backends[0].silentUntil = w.now + 3*balancer.Second })
			w.in(3, func() { w.backends[1].errors = 0.8 })
			w.in(4, func() { w.backends[2].resets, w.backends[3].atCapacity = 0.5, 0.9 })
			w.in(5, func() { w.backends[4].unreachable = 0.7 })
			w.in(9, func() {
				for _, backend := range w.backends {
					backend.errors, backend.resets, backend.atCapacity, backend.unreachable = 0.01, 0, 0, 0
				}
			})
		},
	},
	{
		name:         "promoted",
		relayCount:   3,
		backendCount: 10,
		rate:         40,
		more:         func(s *balancer.Settings) { s.Rollout.EvidenceWait = 4 },
		plan:         func(w *world) { w.in(2, func() { w.startRollout(0.0, 1) }) },
	},
	{
		name:            "rolled-back",
		relayCount:      3,
		backendCount:    10,
		rate:            40,
		lateConnections: 0.1,
		plan: func(w *world) {
			w.in(2, func() { w.startRollout(0.5, 1) })
		},
	},
	{
		name:         "slow-version",
		relayCount:   3,
		backendCount: 10,
		rate:         40,
		more:         func(s *balancer.Settings) { s.Rollout.ForwardOnly = true },
		plan:         func(w *world) { w.in(2, func() { w.startRollout(0.02, 20) }) },
	},
	{
		name:         "by-clock",
		relayCount:   3,
		backendCount: 10,
		rate:         30,
		more: func(s *balancer.Settings) {
			s.Rollout.Control = balancer.AdvanceByClock
			s.Rollout.ExposurePerClass = true
			s.Rollout.GuardedStages = 1
			s.Rollout.MetricsPeriod = 1
		},
		plan: func(w *world) {
			w.in(2, func() { w.startRollout(0.15, 1) })
			for i := range 10 {
				w.in(float64(3+i), w.reportMetrics)
			}
		},
	},
	{
		name:         "counted-by-the-api",
		relayCount:   6,
		backendCount: 10,
		rate:         6,
		more:         func(s *balancer.Settings) { s.Rollout.MetricsPeriod = 1 },
		plan: func(w *world) {
			w.in(2, func() {
				w.startRollout(0, 1)
				w.silentShare = 0.6
			})
			for i := range 11 {
				w.in(float64(2+i), w.reportMetrics)
			}
		},
	},
	{
		name:         "gossip",
		relayCount:   5,
		backendCount: 10,
		rate:         12,
		more: func(s *balancer.Settings) {
			s.Limits.Gossip = true
			s.Rollout.FoundShare = 0.5
			s.Rollout.ReportWithin = 2
			s.Rollout.EvidenceWait = 5
		},
		plan: func(w *world) {
			w.in(2, func() { w.startRollout(0.1, 1) })
			w.wrongShare = 0.1
		},
	},
	{
		name:         "subscribed",
		relayCount:   3,
		backendCount: 8,
		rate:         20,
		more: func(s *balancer.Settings) {
			s.Discovery = balancer.DiscoverySubscribe
			s.Limits.MayCancel = false
		},
		refusedPolls: 0.6,
		plan: func(w *world) {
			w.in(4, func() { w.backends[0].silentUntil = w.now + 2*balancer.Second })
			w.in(7, func() {
				for _, n := range w.relays { // the subscription breaks
					n.balancer.OnListSynced(w.now, false)
				}
			})
		},
	},
	{
		name:            "fleet",
		relayCount:      4,
		backendCount:    8,
		rate:            30,
		fleet:           true,
		lateConnections: 0.1,
		plan: func(w *world) {
			w.in(2, func() { w.backends[0].errors, w.backends[1].errors = 0.9, 0.9 })
			w.in(4, func() { w.avoided = w.backends[2] })
			w.in(6, func() { w.backends[3].silentUntil = w.now + 2*balancer.Second })
			w.in(9, func() { w.backends[0].errors, w.backends[1].errors = 0, 0 })
		},
	},
	{
		name:         "tied",
		relayCount:   3,
		backendCount: 6,
		rate:         25,
		pinned:       0.5,
		plan: func(w *world) {
			for i := range 6 {
				w.in(float64(2+2*i), w.moveInstances)
			}
			w.in(7, func() { w.restart(1) })
		},
	},
	{
		name:         "tied-in-a-fleet",
		relayCount:   3,
		backendCount: 6,
		rate:         25,
		pinned:       0.8,
		fleet:        true,
		plan: func(w *world) {
			for i := range 12 {
				w.in(float64(1+i), w.moveInstances)
			}
		},
	},
	{
		name:         "in-a-hurry",
		relayCount:   3,
		backendCount: 5,
		rate:         25,
		impatient:    true,
		plan: func(w *world) {
			w.in(3, func() { w.slowMultiple = 12 })
			w.in(8, func() { w.slowMultiple = 1 })
		},
	},
	{
		name:         "late-news",
		relayCount:   3,
		backendCount: 10,
		rate:         30,
		statusDelay:  3,
		more:         func(s *balancer.Settings) { s.Rollout.VotesPerSecond = 0.5 },
		plan: func(w *world) {
			w.in(1, func() { w.startRollout(0, 1) })
			w.in(3, func() { w.deploy(w.version, 6) })
			w.in(6, func() { w.canaryErrors = 0.5 })
		},
	},
	{
		name:            "lowered-cap",
		relayCount:      3,
		backendCount:    10,
		rate:            40,
		lateConnections: 0.2,
		more: func(s *balancer.Settings) {
			s.Rollout.GuardedStages = 1
			s.Rollout.EvidenceWait = 60
			s.Rollout.ReportWithin = 60
			s.Rollout.FoundShare = 0.1
			s.Rollout.ForwardOnly = true
		},
		plan: func(w *world) {
			w.in(1, func() { w.startRollout(0, 1) })
			w.in(3, func() { w.enterStage(2) })
			w.in(6, func() { w.enterStage(1) })
			w.in(10, func() { w.version++; w.enterStage(0) })
		},
	},
	{
		name:         "relay-restarts",
		relayCount:   4,
		backendCount: 8,
		rate:         25,
		plan: func(w *world) {
			w.in(2, func() { w.startRollout(0.3, 1) })
			for i, n := range w.relays {
				w.in(float64(3+2*i), func() { n.start() })
			}
		}},
}

// goldenSettings are those of a small site; change may be nil.
func goldenSettings(relays int, change func(*balancer.Settings)) balancer.Settings {
	class := func(idempotency balancer.Idempotency, scope balancer.DedupScope, objective balancer.Seconds,
		weight float64) balancer.RequestClass {
		return balancer.RequestClass{Idempotency: idempotency, DedupScope: scope, DedupWindow: 1.5, LatencyObjective: objective,
			Deadline: 2, PriorityWeight: weight}
	}
	s := balancer.Settings{
		Relays: float64(relays),
		Classes: []balancer.RequestClass{
			class(balancer.Idempotent, balancer.DedupNowhere, 0.4, 1),
			class(balancer.IdempotentWithKey, balancer.DedupZone, 0.6, 2),
			class(balancer.IdempotentWithKey, balancer.DedupEverywhere, 0.5, 1),
			class(balancer.AtMostOnce, balancer.DedupNowhere, 0.5, 3),
		},
		Limits:    balancer.Limits{MaxAttempts: 3, MayCancel: true, RetryAfter: true, MaxRetryAfter: 1, IdleTimeout: 2},
		Endpoints: balancer.EndpointRules{DrainGrace: 1, PollInterval: 4},
		SlowStart: balancer.SlowStart{Window: 4, InitialFraction: 0.4, OverloadMultiple: 2, OverloadWindow: 1},
		Rollout: balancer.Rollout{ExposureFree: 3, ExposureWindow: 2, StageCaps: []float64{0.2, 0.5, 1},
			StageShares: []float64{0.1, 0.4, 1}, VoteLifetime: 3, VoteTimeout: 0.5, VotesPerSecond: 20},
	}
	if change != nil {
		change(&s)
	}
	return s
}
