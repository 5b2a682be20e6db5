package balancer

import "log/slog"

// Host is what a balancer acts through. Every call takes effect at the time of the event that is being handled. A host
// must not call the balancer back, except for BeginAttempt from within StartAttempt and VoteReason from within CastVote.
type Host interface {
	// StartAttempt starts the next attempt of a request, which is not to last past a deadline.
	StartAttempt(a *Attempt, deadline Tick)
	// Reject answers a request for good, with the promise that trying again is harmless. A retryAfter of 0 names no time.
	Reject(r *Request, retryAfter Tick)
	// Fail answers a request for good, without a promise about its effect.
	Fail(r *Request)
	// CancelAttempt stops waiting for an attempt. Its outcome is still reported.
	CancelAttempt(a *Attempt)
	// SetTimer asks for OnTimer with this tag at or after a time.
	SetTimer(at Tick, tag uint32)
	// Probe checks a backend, where the settings allow it. Not asked for today: attempts show how a backend is.
	Probe(b *Backend)
	// CloseIdle closes idle connections to a backend. Not asked for today.
	CloseIdle(b *Backend)
	// SendGossip sends a message to one relay, or to AllPeers.
	SendGossip(peer uint32, data []byte)
	// Log writes a line for the people on call: a constant message, and what it is about.
	Log(message string, fields ...slog.Attr)
	// WatchEndpoints asks for changes of the endpoint list.
	WatchEndpoints(on bool)
	// FetchEndpoints asks for the whole endpoint list once. Not asked for today: WatchEndpoints brings it.
	FetchEndpoints()
	// CastVote casts this relay's vote on a stage of a version.
	CastVote(version uint16, stage int, verdict Verdict)
}

// AllPeers names every relay of the tier in SendGossip.
const AllPeers = ^uint32(0)

// fleetPolicy is what the host of a relay in a fleet offers beside: what all its relays together decide. Where a host has
// none, retries and probation are up to this package's rules alone.
type fleetPolicy interface {
	// AllowRetry tells whether a request may have one more attempt.
	AllowRetry(r *Request) bool
	// IsEjected tells whether the relays of the fleet together have ejected a backend.
	IsEjected(b *Backend) bool
	// AllowProbe tells whether an attempt of this relay may try a backend that is on probation.
	AllowProbe(b *Backend) bool
}
