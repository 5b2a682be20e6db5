package balancer

import "time"

// Seconds is a span of time as the site's documents give it. It is kept as a number of seconds, so that each reader
// converts it once, in its own unit. The zero value is no time at all, which is also what a missing setting means unless
// its field says otherwise.
type Seconds float64

// Ticks converts the span to the balancer's clock, rounded towards zero.
func (s Seconds) Ticks() Tick { return Tick(float64(s) * float64(Second)) }

// Duration converts the span to the clock of the standard library, rounded towards zero.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Settings are what a site tells each of its relays at the start. They do not change while a relay runs. The zero value
// of each field is what a document that lacks the setting means; the parser (internal/settings) fills in the few defaults
// that are named below.
type Settings struct {
	// Relays is the number of relays that share the backends. Range: 0 to 1,000,000; below 1 counts as 1.
	Relays float64
	// Discovery tells whether the relay has to ask for changes of the endpoint list. Missing: they come unasked.
	Discovery DiscoveryMode
	// Classes are the request classes, in the order in which requests refer to them. At least one.
	Classes []RequestClass

	Limits    Limits
	Endpoints EndpointRules
	SlowStart SlowStart
	Rollout   Rollout
}

// DiscoveryMode tells how changes of the endpoint list reach a relay.
type DiscoveryMode uint8

// The modes of discovery.
const (
	// DiscoveryAutomatic brings changes unasked.
	DiscoveryAutomatic DiscoveryMode = iota
	// DiscoverySubscribe brings changes to those alone who have asked for them.
	DiscoverySubscribe
)

// RequestClass is what a site says of one kind of requests.
type RequestClass struct {
	// Name is the site's own name for the class. Not empty, and unlike the others'.
	Name string
	// Idempotency tells what a second attempt could do. Missing or unknown: at most once.
	Idempotency Idempotency
	// DedupScope tells which backends drop repeats of one idempotency key. Missing or unknown: no backend
	// is relied on to drop them.
	DedupScope DedupScope
	// DedupWindow is how long they do, from the first attempt that may have run. Missing: no time.
	DedupWindow Seconds
	// LatencyObjective is the time within which an answer has its full worth. Missing: the deadline.
	LatencyObjective Seconds
	// Deadline is how long a client waits, over all its tries. Missing: the latency objective.
	Deadline Seconds
	// PriorityWeight is what one request is worth beside those of other classes. Range: 0 and above. Missing: 0.
	PriorityWeight float64
}

// Idempotency tells what a second attempt of a request could do.
type Idempotency uint8

// The kinds of idempotency.
const (
	// AtMostOnce requests may have an effect that a second attempt would repeat.
	AtMostOnce Idempotency = iota
	// IdempotentWithKey requests may be repeated where the backend has seen the request's key, within a window.
	IdempotentWithKey
	// Idempotent requests may be repeated anywhere and at any time.
	Idempotent
)

// DedupScope tells which backends drop a repeated request.
type DedupScope uint8

// The scopes.
const (
	DedupNowhere DedupScope = iota
	DedupCell               // the backends of the cell that ran it
	DedupZone               // the backends of the zone that ran it
	DedupEverywhere
)

// Limits are what a site lets a relay do.
type Limits struct {
	// MaxAttempts is the most attempts of one request. Range: 1 to 32. Missing: 1 (by the parser).
	MaxAttempts int
	// MayCancel allows to cancel an attempt under way. Missing: false.
	MayCancel bool
	// RetryAfter tells whether clients honour a time to come back that is sent with a rejection. Missing: false.
	RetryAfter bool
	// MaxRetryAfter is the longest such time. Missing: none.
	MaxRetryAfter Seconds
	// ConnectTimeout is how long a connection to a backend may take to come up. Read by the relay's connections alone.
	// Missing or 0: the longest deadline of a class (by the parser).
	ConnectTimeout Seconds
	// IdleTimeout is how long a connection may be idle before it is closed. Missing: no time.
	IdleTimeout Seconds
	// Gossip allows messages between the relays. Missing: false.
	Gossip bool
}

// EndpointRules are the site's rules on the endpoint list.
type EndpointRules struct {
	// DrainGrace is how long after the news that a backend drains, or that a cap is lowered, an attempt is still
	// excused. Missing: none.
	DrainGrace Seconds
	// PollInterval is how often the site wants the list to be asked for at the most. Missing: a second.
	PollInterval Seconds
}

// SlowStart are the site's rules on backends that have just started.
type SlowStart struct {
	// Window is how long a backend warms up. Missing or 0: not at all.
	Window Seconds
	// InitialFraction is the part of its capacity that a backend has at its start. Range: 0 to 1. Missing: 0.
	InitialFraction float64
	// OverloadMultiple is how many times its present capacity overloads a backend that warms up. Range: 0 and above.
	OverloadMultiple float64
	// OverloadWindow is the time over which that is counted. Missing or 0: Window (by the parser).
	OverloadWindow Seconds
}

// Rollout are the site's rules on staged releases.
type Rollout struct {
	// Control tells what takes a rollout from stage to stage. Missing or unknown: votes.
	Control RolloutControl
	// StageShares is, for each stage, the share of the backends that run the new version. Range of each: 0 to 1.
	StageShares []float64
	// StageCaps is, for each stage, the exposure cap: the part of the requests whose attempts may go to the new version.
	// Range of each: 0 to 1. Missing: 0, nothing may.
	StageCaps []float64
	// GuardedStages is the number of stages, from the first, in which none but idempotent requests may go to the new
	// version. Range: 0 to 1,000. Missing: 0.
	GuardedStages int
	// ExposureFree is how many attempts of a window the exposure cap does not count. Range: 0 and above. Missing, or with
	// no window: 0 (by the parser).
	ExposureFree float64
	// ExposureWindow is the time over which exposure is counted. Missing: none.
	ExposureWindow Seconds
	// ExposurePerClass tells whether each class has a count of its own. Missing: one count for all.
	ExposurePerClass bool
	// ForwardOnly tells that what a version has answered for a key may not be asked of an earlier one. Missing: false.
	ForwardOnly bool
	// FoundShare is the part of the wrong answers that clients find and report. Range: 0 to 1. Missing: 0.
	FoundShare float64
	// MetricsPeriod is the time over which the release API counts outcomes of all relays. Missing: it counts none.
	MetricsPeriod Seconds
	// VoteLifetime is how long a vote stands. Missing: no time.
	VoteLifetime Seconds
	// VoteTimeout is how long the answer to a vote may take. Missing: no time.
	VoteTimeout Seconds
	// VotesPerSecond is how many votes of all relays the release API takes. Range: 0 and above. Missing: 0, which counts
	// as one in ten seconds.
	VotesPerSecond float64

	// ReportWithin is the time within which reports of wrong answers are held to come. It is the operator's. Missing: 0,
	// no such evidence is waited for.
	ReportWithin Seconds
	// EvidenceWait is how long a stage waits for evidence on classes that lack it. It is the operator's. Missing: 0.
	EvidenceWait Seconds
}

// RolloutControl tells what takes a rollout from stage to stage.
type RolloutControl uint8

// The kinds of control.
const (
	// AdvanceByVotes waits for votes of the relays to promote.
	AdvanceByVotes RolloutControl = iota
	// AdvanceByClock goes on by itself unless relays vote to pause or to roll back.
	AdvanceByClock
)
