package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// ClientLimiter decides how many clients are let in: requests that wait for mirrors or are being passed a
// package need memory, files that are held cost next to none.
type ClientLimiter struct {
	Limit        int // at once
	inUse        int
	perClient    map[string]int // of one client address, while there is any
	maxPerClient int
}

// NewClientLimiter lets in so many at once, and of one client a quarter of them at most.
func NewClientLimiter(most int) *ClientLimiter {
	return &ClientLimiter{Limit: most, perClient: map[string]int{}, maxPerClient: max(1, most/4)}
}

// Acquire takes that a client wants in; false: it is told to come back. One client alone can't fill
// all places while others want in: past a half of them each has its own bound.
func (d *ClientLimiter) Acquire(client string) bool {
	if d.inUse >= d.Limit || d.inUse >= d.Limit/2 && d.perClient[client] >= d.maxPerClient {
		return false
	}
	d.inUse++
	d.perClient[client]++
	return true
}

// Release takes that it is through.
func (d *ClientLimiter) Release(client string) {
	d.inUse--
	if d.perClient[client]--; d.perClient[client] <= 0 {
		delete(d.perClient, client)
	}
}

// InUse tells how many are in.
func (d *ClientLimiter) InUse() int { return d.inUse }

// ClientWriteTimeout is how long a client may take to accept one stretch of a package: past it the client is
// let go, as it holds a mirror's connection.
const ClientWriteTimeout = 10 * tufverify.Second
