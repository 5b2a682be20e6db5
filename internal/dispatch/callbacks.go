package dispatch

import (
	"log/slog"
	"time"

	"silvercove/balancer"
)

// Callbacks are what the balancer acts with, beside attempts. They are called while the dispatcher is locked, except for
// OnEndpoints and OnStage: none of them may block or call the dispatcher.
type Callbacks struct {
	// Vote casts a vote on a version.
	Vote func(Vote)
	// WatchEndpoints subscribes to changes of the endpoint list, or ends that.
	WatchEndpoints func(on bool)
	// FetchEndpoints asks for the whole endpoint list once. The balancer does not ask for it today.
	FetchEndpoints func()
	// Probe checks a backend. ProbeEnded takes how that ended. The balancer does not ask for it today.
	Probe func(Backend)
	// CloseIdle closes the idle connections to a backend.
	CloseIdle func(backend string)
	// Log takes a line for the people on call: a constant message and what it is about. The balancer's lines
	// come here too. nil: nobody wants them.
	Log func(message string, fields ...slog.Attr)

	// OnEndpoints and OnStage hand on what the dispatcher is told, before it takes it itself. nil: nobody wants it.
	OnEndpoints func(complete bool, endpoints []Endpoint)
	OnStage     func(RolloutStage)

	// Evidence keeps what was seen of each version; nil for none.
	Evidence EvidenceRecorder

	// FleetPolicy decides for the fleet what is shed, retried and probed; nil for a relay on its own.
	FleetPolicy FleetPolicy
}

// FleetPolicy is what a relay of a fleet asks before it acts. It is called while the dispatcher is locked, and may not
// block.
type FleetPolicy interface {
	// Admit tells whether a request goes to the balancer. One that does not is rejected at once, with a time to come back.
	Admit(class int, priorityWeight float64, tenant string, clientRetry bool) (ok bool, retryAfter time.Duration)
	// RecordFirstAttempt records the first attempt of a request that is not its client's retry.
	RecordFirstAttempt()
	// AllowRetry tells whether one more attempt of a request may go out.
	AllowRetry(clientRetry bool) bool
	// RecordOutcome takes the outcome of an attempt that tells something of its backend.
	RecordOutcome(backend string, good bool)
	// RecordServiceTime takes how long a backend took for an attempt that succeeded.
	RecordServiceTime(class int, took time.Duration)
	// IsEjected tells whether the relays of the fleet together have ejected a backend. Asked only of one that is not on probation here.
	IsEjected(backend string) bool
	// AllowProbe tells whether an attempt of this relay may try a backend that is on probation or that others have ejected.
	AllowProbe(backend string) bool
}

// EvidenceRecorder takes what the balancer learns of versions, and each vote with its reason. It is called while the
// dispatcher is locked, and may not block.
type EvidenceRecorder interface {
	// UpdateVersion takes what the release API says of the newest version.
	UpdateVersion(now balancer.Tick, version uint16, phase string)
	// RecordOutcome takes the outcome of an attempt of this relay.
	RecordOutcome(now balancer.Tick, version uint16, class, stage int, bad bool)
	// RecordWrongAnswer takes a client's report of a wrong answer, which was sent so long ago.
	RecordWrongAnswer(now balancer.Tick, version uint16, class, stage int, delay balancer.Tick)
	// RecordReleaseMetrics takes what the release API counted.
	RecordReleaseMetrics(now balancer.Tick, version uint16, class, stage, attempts, failed int)
	// RecordVote takes a vote of this relay.
	RecordVote(now balancer.Tick, version uint16, stage int, verdict, reason string)
}
