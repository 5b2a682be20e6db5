package overload

import "time"

// ListenerLimits is how a listener shares out its sessions and their requests.
type ListenerLimits struct {
	MaxSessions      int           // that are served
	SpareSessions    int           // beyond that, to be answered with a rejection or to end: else none could be told why
	MaxIdle          int           // sessions that may be idle, and as many half open: clients have few connections
	MaxRequests      int           // open at once, over all sessions: each costs a buffer
	MaxPipelined     int           // answers that one session may wait for; beyond that nothing more is read of it
	IdleTimeout      time.Duration // of a session, and for its first request at the least
	ContendedTimeout time.Duration // for a message, where others wait for the session's place
}

const (
	spareDivisor       = 8 // an eighth of the sessions is spare
	idleDivisor        = 4 // a quarter of the others may be idle
	requestsPerSession = 4
	maxPipelined       = 64
	idleTimeout        = 2 * time.Second
	contendedDivisor   = 8 // of the idle timeout
)

// LimitsFor divides so many sessions. An eighth is spare, so that the relay still accepts, and answers, where all are
// taken: a smaller part is used up by one burst of connections within a round trip, a larger one is missed in service. A
// quarter of the rest may be idle: sessions that wait between two requests are cheap to make anew, and more of them stand
// in the way of requests. Four requests a session: clients send a few at once, and a session that holds more is a queue.
// One session's queue is longer, as some clients write all they have at once, but one may not take all requests.
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
