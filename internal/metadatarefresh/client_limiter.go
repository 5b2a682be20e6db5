package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// ClientLimiter bounds the requests that wait for mirrors or are being sent a package, as they need memory. Files that are
// held cost next to none and are not counted.
type ClientLimiter struct {
	Limit        int // requests at once
	inUse        int
	perClient    map[string]int // requests by client address, where there are any
	maxPerClient int            // bound of one client while more than half of Limit is in use
}

// clientShareDivisor is the part of the limit that one client may use while others want in: one in so many.
const clientShareDivisor = 4

// NewClientLimiter admits limit requests at once.
func NewClientLimiter(limit int) *ClientLimiter {
	return &ClientLimiter{Limit: limit, perClient: map[string]int{}, maxPerClient: max(1, limit/clientShareDivisor)}
}

// Acquire admits a request of a client, or refuses it. One client alone can't use up the limit: past its half, each client has
// a bound of its own.
func (l *ClientLimiter) Acquire(client string) bool {
	if l.inUse >= l.Limit || l.inUse >= l.Limit/2 && l.perClient[client] >= l.maxPerClient {
		return false
	}
	l.inUse++
	l.perClient[client]++
	return true
}

// Release records the end of a request that was admitted.
func (l *ClientLimiter) Release(client string) {
	l.inUse--
	if l.perClient[client]--; l.perClient[client] <= 0 {
		delete(l.perClient, client)
	}
}

// InUse is the number of requests admitted.
func (l *ClientLimiter) InUse() int { return l.inUse }

// ClientWriteTimeout is how long a client may take to accept one write of a package. Past it its connection is closed, as it
// holds a mirror's.
const ClientWriteTimeout = 10 * tufverify.Second
