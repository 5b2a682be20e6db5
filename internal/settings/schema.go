package settings

import "silvercove/balancer"

// documentSchema is the schema of the whole document. It maps each name to the field of Site that holds the setting.
// Names that are listed with checkedOnly or uncheckedMembers have no field: only their types are checked.
var documentSchema = object[Site]{
	field("balancers", clampedNumber(0, maxRelays), func(s *Site) *float64 { return &s.Balancer.Relays }),
	field("discovery", discoveryMode, func(s *Site) *balancer.DiscoveryMode { return &s.Balancer.Discovery }),
	field("grades", requestClasses, func(s *Site) *[]balancer.RequestClass { return &s.Balancer.Classes }),
	field("kinds", names, func(s *Site) *[]string { return &s.MachineKinds }),
	field("parties", tenants, func(s *Site) *[]string { return &s.Tenants }),
	field("zones", distinctNames, func(s *Site) *[]string { return &s.Zones }),
	members("family_info", rolloutSchema, func(s *Site) *balancer.Rollout { return &s.Balancer.Rollout }),
	members("limits", limitsSchema, func(s *Site) *balancer.Limits { return &s.Balancer.Limits }),
	members("load_info", loadReportSchema, func(s *Site) *Site { return s }),
	members("rules", rulesSchema, func(s *Site) *balancer.Settings { return &s.Balancer }),
	uncheckedMembers[Site]("blend"),
	uncheckedMembers[Site]("clients"),
	uncheckedMembers[Site]("prices"),
}

// classSchema is the schema of one element of grades, the request classes.
var classSchema = object[balancer.RequestClass]{
	field("deadline", clampedDuration, func(c *balancer.RequestClass) *balancer.Seconds { return &c.Deadline }),
	field("dedup_scope", dedupScope, func(c *balancer.RequestClass) *balancer.DedupScope { return &c.DedupScope }),
	field("name", stringValue, func(c *balancer.RequestClass) *string { return &c.Name }),
	field("on_time", clampedDuration, func(c *balancer.RequestClass) *balancer.Seconds { return &c.LatencyObjective }),
	field("semantics", idempotency, func(c *balancer.RequestClass) *balancer.Idempotency { return &c.Idempotency }),
	field("window", clampedDuration, func(c *balancer.RequestClass) *balancer.Seconds { return &c.DedupWindow }),
	field("worth", nonNegative, func(c *balancer.RequestClass) *float64 { return &c.PriorityWeight }),
}

// limitsSchema is the schema of limits.
var limitsSchema = object[balancer.Limits]{
	field("connect_timeout", clampedDuration, func(l *balancer.Limits) *balancer.Seconds { return &l.ConnectTimeout }),
	field("idle_close", clampedDuration, func(l *balancer.Limits) *balancer.Seconds { return &l.IdleTimeout }),
	field("max_retry_after", clampedDuration, func(l *balancer.Limits) *balancer.Seconds { return &l.MaxRetryAfter }),
	field("may_cancel", boolean, func(l *balancer.Limits) *bool { return &l.MayCancel }),
	field("peers", boolean, func(l *balancer.Limits) *bool { return &l.Gossip }),
	field("retry_after", boolean, func(l *balancer.Limits) *bool { return &l.RetryAfter }),
	field("send_cap", attemptCount, func(l *balancer.Limits) *int { return &l.MaxAttempts }),
	checkedOnly[balancer.Limits]("may_duplicate", boolean),
	checkedOnly[balancer.Limits]("probing", boolean),
}

// loadReportSchema is the schema of load_info, the format of load reports.
var loadReportSchema = object[Site]{
	field("columns", stringList, func(s *Site) *[]string { return &s.LoadColumns }),
}

// rolloutSchema is the schema of family_info, the rules of staged rollouts.
var rolloutSchema = object[balancer.Rollout]{
	field("ballot_ttl", clampedDuration, func(r *balancer.Rollout) *balancer.Seconds { return &r.VoteLifetime }),
	field("control", rolloutControl, func(r *balancer.Rollout) *balancer.RolloutControl { return &r.Control }),
	field("counted_by", exposureCount, func(r *balancer.Rollout) *bool { return &r.ExposurePerClass }),
	field("counted_over", boundedDuration, func(r *balancer.Rollout) *balancer.Seconds { return &r.ExposureWindow }),
	field("forward_only", boolean, func(r *balancer.Rollout) *bool { return &r.ForwardOnly }),
	field("found_share", fraction, func(r *balancer.Rollout) *float64 { return &r.FoundShare }),
	field("guarded_stages", stageCount, func(r *balancer.Rollout) *int { return &r.GuardedStages }),
	field("metrics_period", clampedDuration, func(r *balancer.Rollout) *balancer.Seconds { return &r.MetricsPeriod }),
	field("most_shares", fractions, func(r *balancer.Rollout) *[]float64 { return &r.StageCaps }),
	field("shares", fractions, func(r *balancer.Rollout) *[]float64 { return &r.StageShares }),
	field("uncounted", nonNegative, func(r *balancer.Rollout) *float64 { return &r.ExposureFree }),
	field("vote_wait", clampedDuration, func(r *balancer.Rollout) *balancer.Seconds { return &r.VoteTimeout }),
	field("votes_per_s", nonNegative, func(r *balancer.Rollout) *float64 { return &r.VotesPerSecond }),
}

// rulesSchema is the schema of rules, the rules on the endpoint list and on slow start.
var rulesSchema = object[balancer.Settings]{
	field("ask_every", clampedDuration, func(s *balancer.Settings) *balancer.Seconds { return &s.Endpoints.PollInterval }),
	field("cold", boundedDuration, func(s *balancer.Settings) *balancer.Seconds { return &s.SlowStart.Window }),
	field("cold_from", fraction, func(s *balancer.Settings) *float64 { return &s.SlowStart.InitialFraction }),
	field("drain_grace", clampedDuration, func(s *balancer.Settings) *balancer.Seconds { return &s.Endpoints.DrainGrace }),
	field("fall_multiple", nonNegative, func(s *balancer.Settings) *float64 { return &s.SlowStart.OverloadMultiple }),
	field("tip_after", boundedDuration, func(s *balancer.Settings) *balancer.Seconds { return &s.SlowStart.OverloadWindow }),
}

// Parsers of the settings whose value is one of a set of words. Each parser maps every word to its meaning. A word
// outside the set is read as the zero value of the setting; only exposureCount refuses such a word.
var (
	discoveryMode = wordOrZero(map[string]balancer.DiscoveryMode{
		"automatic": balancer.DiscoveryAutomatic,
		"subscribe": balancer.DiscoverySubscribe,
	})
	dedupScope = wordOrZero(map[string]balancer.DedupScope{
		"all":  balancer.DedupEverywhere,
		"cell": balancer.DedupCell,
		"zone": balancer.DedupZone,
	})
	rolloutControl = wordOrZero(map[string]balancer.RolloutControl{
		"clocked":  balancer.AdvanceByClock,
		"majority": balancer.AdvanceByVotes,
		"single":   balancer.AdvanceByVotes,
	})
	idempotency = wordOf(map[string]balancer.Idempotency{
		"idempotency_key": balancer.IdempotentWithKey,
		"non_idempotent":  balancer.AtMostOnce,
		"read_like":       balancer.Idempotent,
	}, unknownIsZero)
	exposureCount = wordOf(map[string]bool{
		"all":      false,
		"per_lane": true,
	}, unknownIsError)
)
