package balancer

import "log/slog"

// Host carries out the decisions of a balancer. Every call takes effect at the time of the event that is being handled.
// A host must not call the balancer back, except for BeginAttempt from within StartAttempt and VoteReason from within
// CastVote.
type Host interface {
	// StartAttempt starts the next attempt of a request. The attempt must not last past the deadline.
	StartAttempt(a *Attempt, deadline Tick)
	// Reject ends a request with an answer that promises that a retry by the client is harmless. If retryAfter is 0,
	// the answer names no time for the retry.
	Reject(r *Request, retryAfter Tick)
	// Fail ends a request with an answer that promises nothing about its effect.
	Fail(r *Request)
	// CancelAttempt stops waiting for an attempt. The outcome of the attempt is still reported through OnOutcome.
	CancelAttempt(a *Attempt)
	// SetTimer requests a call of OnTimer with this tag at the given time or later.
	SetTimer(at Tick, tag uint32)
	// Probe checks a backend, if the settings allow it. The balancer does not call it today, as attempts show the state
	// of a backend.
	Probe(b *Backend)
	// CloseIdle closes idle connections to a backend. The balancer does not call it today.
	CloseIdle(b *Backend)
	// SendGossip sends a message to one relay, or to all other relays if peer is AllPeers.
	SendGossip(peer uint32, data []byte)
	// Log writes a log line for the operators: a constant message with its fields.
	Log(message string, fields ...slog.Attr)
	// WatchEndpoints starts to request changes of the endpoint list if the parameter on is true, and otherwise stops.
	// The balancer always passes true today.
	WatchEndpoints(on bool)
	// FetchEndpoints asks for the whole endpoint list once. The balancer does not call it today, as WatchEndpoints
	// brings the list.
	FetchEndpoints()
	// CastVote casts this relay's vote on a stage of a version.
	CastVote(version uint16, stage int, verdict Verdict)
}

// AllPeers addresses all other relays in SendGossip.
const AllPeers = ^uint32(0)

// fleetPolicy holds the decisions that all relays of a fleet make together. The host of a relay in a fleet implements
// fleetPolicy besides Host. With any other host, the rules of this package alone decide on retries and probation.
type fleetPolicy interface {
	// AllowRetry reports whether a request may have one more attempt.
	AllowRetry(r *Request) bool
	// IsEjected reports whether the relays of the fleet together have ejected a backend.
	IsEjected(b *Backend) bool
	// AllowProbe reports whether an attempt of this relay may go to a backend that is on probation.
	AllowProbe(b *Backend) bool
}
