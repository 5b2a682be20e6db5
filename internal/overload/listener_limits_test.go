package overload

import (
	"testing"
	"time"
)

// TestLimitsFor_DividesSessions: LimitsFor returns the limits that listeners rely on, for several numbers of sessions.
func TestLimitsFor_DividesSessions(t *testing.T) {
	for sessions, want := range map[int]ListenerLimits{
		0:    {MaxPipelined: 64, IdleTimeout: 2 * time.Second, ContendedTimeout: time.Second / 4},
		1:    {MaxSessions: 1, MaxRequests: 4, MaxPipelined: 64, IdleTimeout: 2 * time.Second, ContendedTimeout: time.Second / 4},
		8:    {MaxSessions: 7, SpareSessions: 1, MaxIdle: 1, MaxRequests: 28, MaxPipelined: 64, IdleTimeout: 2 * time.Second, ContendedTimeout: time.Second / 4},
		1000: {MaxSessions: 875, SpareSessions: 125, MaxIdle: 218, MaxRequests: 3500, MaxPipelined: 64, IdleTimeout: 2 * time.Second, ContendedTimeout: time.Second / 4},
	} {
		if got := LimitsFor(sessions); got != want {
			t.Errorf("%d sessions: %+v, want %+v", sessions, got, want)
		}
	}
}
