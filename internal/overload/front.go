package overload

import "time"

// ListenerLimits is how a front shares out its places for clients' sessions.
type ListenerLimits struct {
	MaxSessions      int           // sessions that are served
	SpareSessions    int           // beyond that, to be answered with a nack or to end: else none could be told why
	MaxIdle          int           // sessions that may be idle, and as many half open: clients have few connections
	MaxRequests      int           // open at once: a session may have several, and each costs a buffer
	MaxPipelined     int           // answers that one session may wait for: beyond that nothing more is read of it
	IdleTimeout      time.Duration // an idle session; and how long the first command may take at the least
	ContendedTimeout time.Duration // that a message may take where others wait for the place
}

// LimitsFor divides so many places. An eighth is spare, so that the relay still accepts, and answers, where all are taken:
// a smaller part is used up by one burst of connections within a round trip, a larger one is missed in service. A quarter
// of the rest may be idle: sessions that wait between two commands are cheap to make anew, and more of them stand in the
// way of commands. Four commands a place: clients send a few at once, and a place that holds more is a queue.
// One session's queue is longer, as some clients write all they have at once, but one may not take all places.
func LimitsFor(places int) ListenerLimits {
	const spareOf, idleOf, commands, owed, keep = 8, 4, 4, 64, 2 * time.Second
	f := ListenerLimits{MaxSessions: places - places/spareOf, SpareSessions: places / spareOf, MaxPipelined: owed, IdleTimeout: keep, ContendedTimeout: keep / 8}
	f.MaxIdle, f.MaxRequests = f.MaxSessions/idleOf, commands*f.MaxSessions
	return f
}
