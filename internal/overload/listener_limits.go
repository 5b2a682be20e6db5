package overload

import "time"

// ListenerLimits bounds the sessions of a listener and their requests.
type ListenerLimits struct {
	// MaxSessions is the maximum number of sessions that are served at the same time.
	MaxSessions int
	// SpareSessions is the number of sessions that are accepted beyond MaxSessions, to reject their requests or to finish
	// closing. Without spare sessions, no client could be told why it is rejected.
	SpareSessions int
	// MaxIdle is the maximum number of idle sessions, and also the maximum number of sessions with an incomplete
	// message. Few idle sessions are needed, as a client opens few connections.
	MaxIdle int
	// MaxRequests is how many requests may be open at once over all sessions. It is bounded because each open request
	// takes a buffer.
	MaxRequests int
	// MaxPipelined is how many replies one session may wait for. While a session waits for that many, nothing more is read
	// from the session.
	MaxPipelined int
	// IdleTimeout is how long a session may be idle. A new session has at least this long for its first request.
	IdleTimeout time.Duration
	// ContendedTimeout is how long a session may take for a message while other sessions wait for its slot.
	ContendedTimeout time.Duration
}

const (
	spareDivisor       = 8 // one of this many sessions is a spare session (see ListenerLimits.SpareSessions)
	idleDivisor        = 4 // one of this many served sessions may be idle
	requestsPerSession = 4
	maxPipelined       = 64
	idleTimeout        = 2 * time.Second
	contendedDivisor   = 8 // ListenerLimits.ContendedTimeout is idleTimeout divided by this
)

// LimitsFor returns the limits of a listener that has the given number of sessions.
//
// An eighth of the sessions is spare, so that the relay still accepts and answers when all served sessions are taken. A
// smaller part would be used up by one burst of connections within a round trip, and a larger one would reduce the
// number of sessions served. A quarter of the served sessions may be idle: a session that waits between two requests is
// cheap to reopen, and more idle sessions would take the slots of sessions with requests. MaxRequests is four times the
// number of served sessions: clients send a few requests at once, and further requests of a session would only queue.
// MaxPipelined, the limit of a single session, is larger than four, as some clients write all their requests at once.
// It still keeps one session from taking all of MaxRequests.
func LimitsFor(sessions int) ListenerLimits {
	served := sessions - sessions/spareDivisor
	return ListenerLimits{
		MaxSessions:      served,
		SpareSessions:    sessions / spareDivisor,
		MaxIdle:          served / idleDivisor,
		MaxRequests:      requestsPerSession * served,
		MaxPipelined:     maxPipelined,
		IdleTimeout:      idleTimeout,
		ContendedTimeout: idleTimeout / contendedDivisor,
	}
}
