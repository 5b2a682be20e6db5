package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// ClientLimiter limits the number of requests that are waiting for mirrors or downloading a package, because each of
// them needs memory. Requests for metadata files that are held need almost no memory and are not counted.
type ClientLimiter struct {
	Limit        int // maximum number of admitted requests
	inUse        int
	perClient    map[string]int // number of admitted requests, keyed by client address; a client without admitted requests has no entry
	maxPerClient int            // maximum number of admitted requests per client while half of Limit or more is in use
}

// clientShareDivisor is the number by which the limit is divided to get maxPerClient.
const clientShareDivisor = 4

// NewClientLimiter returns a ClientLimiter that admits limit requests at a time.
func NewClientLimiter(limit int) *ClientLimiter {
	return &ClientLimiter{Limit: limit, perClient: map[string]int{}, maxPerClient: max(1, limit/clientShareDivisor)}
}

// Acquire admits a request of a client if the limits allow it, and reports whether the request was admitted. At most
// Limit requests are admitted. Once half of Limit is in use, a client that already has maxPerClient requests is
// refused. maxPerClient is a quarter of Limit, but at least 1. A single client therefore cannot use up Limit.
func (l *ClientLimiter) Acquire(client string) bool {
	if l.inUse >= l.Limit || l.inUse >= l.Limit/2 && l.perClient[client] >= l.maxPerClient {
		return false
	}
	l.inUse++
	l.perClient[client]++
	return true
}

// Release records the end of an admitted request.
func (l *ClientLimiter) Release(client string) {
	l.inUse--
	if l.perClient[client]--; l.perClient[client] <= 0 {
		delete(l.perClient, client)
	}
}

// InUse returns the number of requests that are admitted now.
func (l *ClientLimiter) InUse() int { return l.inUse }

// ClientWriteTimeout is the maximum time for a client to accept one write of a package. After the timeout the client's connection
// is closed, because the client's request also occupies a connection to a mirror.
const ClientWriteTimeout = 10 * tufverify.Second
