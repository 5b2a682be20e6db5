package dispatch

import (
	"log/slog"
	"time"

	"silvercove/balancer"
)

// Callbacks carry out what the balancer decides, except for attempts. All but OnEndpoints and OnStage are called with
// the dispatcher's lock held. None of them may block or call the dispatcher.
type Callbacks struct {
	// Vote casts a vote on a version.
	Vote func(Vote)
	// WatchEndpoints starts or ends a subscription to changes of the endpoint list.
	WatchEndpoints func(on bool)
	// FetchEndpoints asks for the whole endpoint list once. The balancer does not call FetchEndpoints today.
	FetchEndpoints func()
	// Probe starts a probe of a backend; its result must be passed to ProbeEnded. The balancer does not call Probe
	// today.
	Probe func(Backend)
	// CloseIdle closes the idle connections to a backend.
	CloseIdle func(backend string)
	// Log writes a log line for the operators: a constant message with its fields. Log also gets the log lines of the
	// balancer. If Log is nil, log lines are dropped.
	Log func(message string, fields ...slog.Attr)

	// OnEndpoints and OnStage, if set, are given each update of the endpoint list and of the stage before the
	// dispatcher applies it.
	OnEndpoints func(complete bool, endpoints []Endpoint)
	OnStage     func(RolloutStage)

	// Evidence, if set, records the outcomes of each version.
	Evidence EvidenceRecorder

	// FleetPolicy, if set, decides for the whole fleet which requests are shed or retried and which backends are
	// probed. FleetPolicy is nil for a relay that belongs to no fleet.
	FleetPolicy FleetPolicy
}

// FleetPolicy makes the decisions that the relays of a fleet make together. Its methods are called with the
// dispatcher's lock held and must not block.
type FleetPolicy interface {
	// Admit reports whether a request goes to the balancer. If ok is false, the request is rejected at once, and its
	// client may retry after retryAfter.
	Admit(class int, priorityWeight float64, tenant string, clientRetry bool) (ok bool, retryAfter time.Duration)
	// RecordFirstAttempt records the first attempt of a request that is not a retry by its client.
	RecordFirstAttempt()
	// AllowRetry reports whether a request may have one more attempt. clientRetry is whether the client says that it
	// has already sent the request.
	AllowRetry(clientRetry bool) bool
	// RecordOutcome records the outcome of an attempt. It is not called for outcomes that say nothing about the health
	// of the backend.
	RecordOutcome(backend string, good bool)
	// RecordServiceTime records how long a backend took for an attempt that succeeded.
	RecordServiceTime(class int, took time.Duration)
	// IsEjected reports whether the relays of the fleet together have ejected a backend. It is called only for a
	// backend that is not on probation at this relay.
	IsEjected(backend string) bool
	// AllowProbe reports whether an attempt of this relay may go to a backend that is on probation or that other relays
	// have ejected.
	AllowProbe(backend string) bool
}

// EvidenceRecorder records what the balancer learns about versions, and each vote with its reason. Its methods are
// called with the dispatcher's lock held and must not block.
type EvidenceRecorder interface {
	// UpdateVersion records the phase of the newest version. phase is the name that the release API has for it.
	UpdateVersion(now balancer.Tick, version uint16, phase string)
	// RecordOutcome records the outcome of an attempt of this relay.
	RecordOutcome(now balancer.Tick, version uint16, class, stage int, bad bool)
	// RecordWrongAnswer records that a client reported a wrong answer. delay is the time since the attempt that got
	// this answer was sent.
	RecordWrongAnswer(now balancer.Tick, version uint16, class, stage int, delay balancer.Tick)
	// RecordReleaseMetrics records attempts and failures that the release API counted.
	RecordReleaseMetrics(now balancer.Tick, version uint16, class, stage, attempts, failed int)
	// RecordVote records a vote of this relay.
	RecordVote(now balancer.Tick, version uint16, stage int, verdict, reason string)
}
