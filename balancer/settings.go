package balancer

import "time"

// Seconds is a duration as the site's documents give it. It is stored as a number of seconds, so that each user of the
// value converts it once, to its own unit. The zero value is a duration of zero, which is also the meaning of a missing
// setting unless its field says otherwise.
type Seconds float64

// Ticks converts the duration to the balancer's clock, rounded towards zero.
func (s Seconds) Ticks() Tick { return Tick(float64(s) * float64(Second)) }

// Duration converts the duration to a time.Duration, rounded towards zero.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Settings are what a site sends to each of its relays at start. They do not change while a relay runs. A setting that
// the document lacks means the same as the zero value of its field; the parser (internal/settings) fills in the few
// defaults that are named below.
type Settings struct {
	// Relays is the number of relays that share the backends. Range: 0 to 1,000,000; values below 1 count as 1.
	Relays float64
	// Discovery is how changes of the endpoint list reach the relay. If missing: DiscoveryAutomatic.
	Discovery DiscoveryMode
	// Classes are the request classes, in the order of their indexes in requests. There is at least one class.
	Classes []RequestClass

	Limits    Limits
	Endpoints EndpointRules
	SlowStart SlowStart
	Rollout   Rollout
}

// DiscoveryMode is how changes of the endpoint list reach a relay.
type DiscoveryMode uint8

// The discovery modes.
const (
	// DiscoveryAutomatic means that the discovery service sends changes to every relay without a request.
	DiscoveryAutomatic DiscoveryMode = iota
	// DiscoverySubscribe means that the discovery service sends changes only to relays that have requested them.
	DiscoverySubscribe
)

// RequestClass is the site's description of one kind of requests.
type RequestClass struct {
	// Name is the site's name for the class. It is not empty, and no other class has the same name.
	Name string
	// Idempotency says whether a second attempt may have a second effect. If missing or unknown: at most once.
	Idempotency Idempotency
	// DedupScope says which backends drop repeats of an idempotency key. If missing or unknown: no backend is relied on
	// to drop them.
	DedupScope DedupScope
	// DedupWindow is how long the backends of DedupScope drop repeats, from the first attempt that may have run. If
	// missing: 0, which does not mean unlimited.
	DedupWindow Seconds
	// LatencyObjective is the time within which an answer has its full value. If missing: the deadline.
	LatencyObjective Seconds
	// Deadline is how long a client waits in total, over all its tries. If missing: the latency objective.
	Deadline Seconds
	// PriorityWeight is the value of a request relative to those of other classes. Range: 0 and above. If missing: 0.
	PriorityWeight float64
}

// Idempotency says whether a second attempt of a request may have a second effect.
type Idempotency uint8

// The kinds of idempotency.
const (
	// AtMostOnce requests may have an effect that a second attempt would repeat.
	AtMostOnce Idempotency = iota
	// IdempotentWithKey requests may be repeated within DedupWindow at the backends of DedupScope.
	IdempotentWithKey
	// Idempotent requests may be repeated anywhere and at any time.
	Idempotent
)

// DedupScope is the set of backends that drop a repeated request.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupNowhere DedupScope = iota
	DedupCell               // the backends in the cell of the backend that ran the request
	DedupZone               // the backends in the zone of the backend that ran the request
	DedupEverywhere
)

// Limits holds the site's limits on what a relay does.
type Limits struct {
	// MaxAttempts is the maximum number of attempts of a request. Range: 1 to 32. If missing: 1 (set by the parser).
	MaxAttempts int
	// MayCancel allows cancelling an attempt that is in flight. If missing: false.
	MayCancel bool
	// RetryAfter reports whether clients honour a retry time that is sent with a rejection. If missing: false.
	RetryAfter bool
	// MaxRetryAfter is the longest retry time that may be sent. If missing: 0, with which no retry time is sent.
	MaxRetryAfter Seconds
	// ConnectTimeout is how long establishing a connection to a backend may take. The relay's connections use it; the
	// balancer does not read it. If missing or 0: the longest deadline of a class (set by the parser).
	ConnectTimeout Seconds
	// IdleTimeout is how long a connection may be idle before it is closed. If missing: 0, which does not mean
	// unlimited.
	IdleTimeout Seconds
	// Gossip allows messages between the relays. If missing: false.
	Gossip bool
}

// EndpointRules holds the site's rules for the endpoint list.
type EndpointRules struct {
	// DrainGrace is how long after an announcement the site tolerates attempts that violate it. The announcement says
	// that a backend drains or that a cap is lowered. If missing: 0, which does not mean unlimited.
	DrainGrace Seconds
	// PollInterval is the longest time that the site allows between two requests for the endpoint list by a relay
	// without a subscription. Once this time has passed since the last request, the site treats the relay as informed
	// of the entries that are listed at that moment. If that request failed, the site does so only once four times
	// PollInterval has passed.
	// schedulePoll limits its mean pause to half of PollInterval. If half of PollInterval is below one second, or if
	// PollInterval is missing, the limit is one second.
	PollInterval Seconds
}

// SlowStart holds the site's rules for backends that have just started.
type SlowStart struct {
	// Window is how long a backend warms up. If missing or 0: no warm-up.
	Window Seconds
	// InitialFraction is the fraction of its capacity that a backend has when it starts. Range: 0 to 1. If missing: 0.
	InitialFraction float64
	// OverloadMultiple times the current capacity of a backend is the load that overloads the backend while it warms
	// up. Range: 0 and above.
	OverloadMultiple float64
	// OverloadWindow is the time over which the load for OverloadMultiple is counted. If missing or 0: Window (set by
	// the parser).
	OverloadWindow Seconds
}

// Rollout holds the site's rules for staged rollouts.
type Rollout struct {
	// Control is what advances a rollout from stage to stage. If missing or unknown: votes.
	Control RolloutControl
	// StageShares is the share of the backends that run the new version, for each stage. Range of each: 0 to 1.
	StageShares []float64
	// StageCaps is the exposure cap of each stage: the share of the requests whose attempts may go to the new version.
	// Range of each: 0 to 1. If missing: 0, which allows no attempts.
	StageCaps []float64
	// GuardedStages is the number of initial stages in which only idempotent requests may go to the new version. Range:
	// 0 to 1,000. If missing: 0.
	GuardedStages int
	// ExposureFree is the number of attempts per window that the exposure cap does not count. Range: 0 and above. If
	// missing, or without a window: 0 (set by the parser).
	ExposureFree float64
	// ExposureWindow is the time over which exposure is counted. If missing: 0, which does not mean unlimited.
	ExposureWindow Seconds
	// ExposurePerClass reports whether exposure is counted per class. If missing: one count for all classes.
	ExposurePerClass bool
	// ForwardOnly forbids sending a request to an earlier version once a later version has answered a request with the
	// same Request.Key. If missing: false.
	ForwardOnly bool
	// FoundShare is the share of the wrong answers that clients detect and report. Range: 0 to 1. If missing: 0.
	FoundShare float64
	// MetricsPeriod is the period over which the release API counts the outcomes of all relays. If missing: the release
	// API counts no outcomes.
	MetricsPeriod Seconds
	// VoteLifetime is how long a vote is valid. If missing: 0, which does not mean unlimited.
	VoteLifetime Seconds
	// VoteTimeout is how long the reply to a vote may take. The relay waits voteReplyGrace longer. If missing: 0, which
	// does not mean unlimited.
	VoteTimeout Seconds
	// VotesPerSecond is the rate of votes from all relays that the release API accepts. Range: 0 and above. If missing:
	// 0, which counts as one in ten seconds.
	VotesPerSecond float64

	// ReportWithin is the time within which reports of wrong answers are expected. It is set by the operator. If
	// missing: 0, and no vote waits for evidence on wrong answers.
	ReportWithin Seconds
	// EvidenceWait is how long a stage must have lasted before a timed vote to promote may be cast without the evidence
	// that rules out ruledOutEffect. It is set by the operator. If missing: 0.
	EvidenceWait Seconds
}

// RolloutControl is what advances a rollout from stage to stage.
type RolloutControl uint8

// The kinds of rollout control.
const (
	// AdvanceByVotes advances when relays vote to promote.
	AdvanceByVotes RolloutControl = iota
	// AdvanceByClock advances over time unless relays vote to pause or to roll back.
	AdvanceByClock
)
