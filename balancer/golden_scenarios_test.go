package balancer_test

import (
	"silvercove/balancer"
)

// scenario describes the load, the hosts and the scheduled events of one simulation.
type scenario struct {
	name                string
	relayCount          int
	backendCount        int
	requestRate         float64 // requests per second at each relay
	changeSettings      func(*balancer.Settings)
	fleet               bool    // the hosts also implement the methods of fleetPolicy
	pinnedShare         float64 // share of the requests that are pinned to the backend of their instance
	lateConnectionShare float64 // share of the attempts whose connection takes some time to be established
	statusDelay         float64 // delay of status announcements, in seconds
	failedPollShare     float64 // share of the calls for the endpoint list that fail
	shortDeadlines      bool    // clients wait only a little longer than an answer takes
	schedule            func(g *simulation)
}

var scenarios = []scenario{
	{
		name:         "calm",
		relayCount:   3,
		backendCount: 8,
		requestRate:  20,
		schedule:     func(*simulation) {},
	},
	{
		name:         "cold-starts",
		relayCount:   4,
		backendCount: 8,
		requestRate:  30,
		schedule: func(g *simulation) {
			for i := range g.backends {
				g.afterSeconds(float64(2+i%3*3), func() { g.restart(i) })
			}
		},
	},
	{
		name:                "shrinking-list",
		relayCount:          3,
		backendCount:        10,
		requestRate:         40,
		lateConnectionShare: 0.2,
		schedule: func(g *simulation) {
			for i := range 8 {
				g.afterSeconds(float64(1+i), func() { g.announce(i, balancer.Draining) })
				g.afterSeconds(float64(2+i), func() { g.announce(i, balancer.Removed) })
			}
			g.afterSeconds(11, func() { g.announce(0, balancer.Ready) })
		},
	},
	{
		name:         "overload",
		relayCount:   4,
		backendCount: 4,
		requestRate:  60,
		schedule: func(g *simulation) {
			g.afterSeconds(3, func() { g.loadMultiple = 4 })
			g.afterSeconds(8, func() { g.loadMultiple = 1 })
		},
	},
	{
		name:                "faults",
		relayCount:          3,
		backendCount:        9,
		requestRate:         30,
		lateConnectionShare: 0.1,
		schedule: func(g *simulation) {
			g.afterSeconds(2, func() { g.backends[0].silentUntil = g.now + 3*balancer.Second })
			g.afterSeconds(3, func() { g.backends[1].errors = 0.8 })
			g.afterSeconds(4, func() { g.backends[2].resets, g.backends[3].atCapacity = 0.5, 0.9 })
			g.afterSeconds(5, func() { g.backends[4].unreachable = 0.7 })
			g.afterSeconds(9, func() {
				for _, backend := range g.backends {
					backend.errors, backend.resets, backend.atCapacity, backend.unreachable = 0.01, 0, 0, 0
				}
			})
		},
	},
	{
		name:           "promoted",
		relayCount:     3,
		backendCount:   10,
		requestRate:    40,
		changeSettings: func(s *balancer.Settings) { s.Rollout.EvidenceWait = 4 },
		schedule:       func(g *simulation) { g.afterSeconds(2, func() { g.startRollout(0.0, 1) }) },
	},
	{
		name:                "rolled-back",
		relayCount:          3,
		backendCount:        10,
		requestRate:         40,
		lateConnectionShare: 0.1,
		schedule: func(g *simulation) {
			g.afterSeconds(2, func() { g.startRollout(0.5, 1) })
		},
	},
	{
		name:           "slow-version",
		relayCount:     3,
		backendCount:   10,
		requestRate:    40,
		changeSettings: func(s *balancer.Settings) { s.Rollout.ForwardOnly = true },
		schedule:       func(g *simulation) { g.afterSeconds(2, func() { g.startRollout(0.02, 20) }) },
	},
	{
		name:         "by-clock",
		relayCount:   3,
		backendCount: 10,
		requestRate:  30,
		changeSettings: func(s *balancer.Settings) {
			s.Rollout.Control = balancer.AdvanceByClock
			s.Rollout.ExposurePerClass = true
			s.Rollout.GuardedStages = 1
			s.Rollout.MetricsPeriod = 1
		},
		schedule: func(g *simulation) {
			g.afterSeconds(2, func() { g.startRollout(0.15, 1) })
			for i := range 10 {
				g.afterSeconds(float64(3+i), g.reportMetrics)
			}
		},
	},
	{
		name:           "counted-by-the-api",
		relayCount:     6,
		backendCount:   10,
		requestRate:    6,
		changeSettings: func(s *balancer.Settings) { s.Rollout.MetricsPeriod = 1 },
		schedule: func(g *simulation) {
			g.afterSeconds(2, func() {
				g.startRollout(0, 1)
				g.silentShare = 0.6
			})
			for i := range 11 {
				g.afterSeconds(float64(2+i), g.reportMetrics)
			}
		},
	},
	{
		name:         "gossip",
		relayCount:   5,
		backendCount: 10,
		requestRate:  12,
		changeSettings: func(s *balancer.Settings) {
			s.Limits.Gossip = true
			s.Rollout.FoundShare = 0.5
			s.Rollout.ReportWithin = 2
			s.Rollout.EvidenceWait = 5
		},
		schedule: func(g *simulation) {
			g.afterSeconds(2, func() { g.startRollout(0.1, 1) })
			g.wrongShare = 0.1
		},
	},
	{
		name:         "subscribed",
		relayCount:   3,
		backendCount: 8,
		requestRate:  20,
		changeSettings: func(s *balancer.Settings) {
			s.Discovery = balancer.DiscoverySubscribe
			s.Limits.MayCancel = false
		},
		failedPollShare: 0.6,
		schedule: func(g *simulation) {
			g.afterSeconds(4, func() { g.backends[0].silentUntil = g.now + 2*balancer.Second })
			g.afterSeconds(7, func() {
				for _, n := range g.relays { // the relays' subscriptions to the endpoint list break
					n.balancer.OnListSynced(g.now, false)
				}
			})
		},
	},
	{
		name:                "fleet",
		relayCount:          4,
		backendCount:        8,
		requestRate:         30,
		fleet:               true,
		lateConnectionShare: 0.1,
		schedule: func(g *simulation) {
			g.afterSeconds(2, func() { g.backends[0].errors, g.backends[1].errors = 0.9, 0.9 })
			g.afterSeconds(4, func() { g.ejectedByFleet = g.backends[2] })
			g.afterSeconds(6, func() { g.backends[3].silentUntil = g.now + 2*balancer.Second })
			g.afterSeconds(9, func() { g.backends[0].errors, g.backends[1].errors = 0, 0 })
		},
	},
	{
		name:         "tied",
		relayCount:   3,
		backendCount: 6,
		requestRate:  25,
		pinnedShare:  0.5,
		schedule: func(g *simulation) {
			for i := range 6 {
				g.afterSeconds(float64(2+2*i), g.moveInstances)
			}
			g.afterSeconds(7, func() { g.restart(1) })
		},
	},
	{
		name:         "tied-in-a-fleet",
		relayCount:   3,
		backendCount: 6,
		requestRate:  25,
		pinnedShare:  0.8,
		fleet:        true,
		schedule: func(g *simulation) {
			for i := range 12 {
				g.afterSeconds(float64(1+i), g.moveInstances)
			}
		},
	},
	{
		name:           "in-a-hurry",
		relayCount:     3,
		backendCount:   5,
		requestRate:    25,
		shortDeadlines: true,
		schedule: func(g *simulation) {
			g.afterSeconds(3, func() { g.slowMultiple = 12 })
			g.afterSeconds(8, func() { g.slowMultiple = 1 })
		},
	},
	{
		name:           "late-news",
		relayCount:     3,
		backendCount:   10,
		requestRate:    30,
		statusDelay:    3,
		changeSettings: func(s *balancer.Settings) { s.Rollout.VotesPerSecond = 0.5 },
		schedule: func(g *simulation) {
			g.afterSeconds(1, func() { g.startRollout(0, 1) })
			g.afterSeconds(3, func() { g.deploy(g.version, 6) })
			g.afterSeconds(6, func() { g.canaryErrors = 0.5 })
		},
	},
	{
		name:                "lowered-cap",
		relayCount:          3,
		backendCount:        10,
		requestRate:         40,
		lateConnectionShare: 0.2,
		changeSettings: func(s *balancer.Settings) {
			s.Rollout.GuardedStages = 1
			s.Rollout.EvidenceWait = 60
			s.Rollout.ReportWithin = 60
			s.Rollout.FoundShare = 0.1
			s.Rollout.ForwardOnly = true
		},
		schedule: func(g *simulation) {
			g.afterSeconds(1, func() { g.startRollout(0, 1) })
			g.afterSeconds(3, func() { g.enterStage(2) })
			g.afterSeconds(6, func() { g.enterStage(1) })
			g.afterSeconds(10, func() { g.version++; g.enterStage(0) })
		},
	},
	{
		name:         "relay-restarts",
		relayCount:   4,
		backendCount: 8,
		requestRate:  25,
		schedule: func(g *simulation) {
			g.afterSeconds(2, func() { g.startRollout(0.3, 1) })
			for i, n := range g.relays {
				g.afterSeconds(float64(3+2*i), func() { n.start() })
			}
		}},
}

// goldenSettings returns the settings of a small site. change modifies them and may be nil.
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
