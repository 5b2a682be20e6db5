// Package metadatarefresh makes the decisions of a metadata proxy: when mirrors are asked, and when they are asked again after a
// failure; what response a client gets; when a transfer is too slow; how many requests are admitted at a time; when a Director
// issues a server's metadata again.
//
// The package does no I/O and reads no clock: the caller reports each event and its time through a method. Nothing in the package
// is safe for concurrent use.
//
// Kind: decision (see docs/architecture.md)
package metadatarefresh

import (
	"math/rand/v2"

	"silvercove/internal/tufverify"
)

// Tick is a time or a duration in whole tenths of a millisecond.
type Tick = tufverify.Tick

const (
	minBackoff       = tufverify.Second / 5  // delay after the first failure until mirrors are asked again
	maxBackoff       = 10 * tufverify.Second // the backoff doubles up to this maximum
	retryAfterSpread = 2                     // ratio of the longest to the shortest time that RetryAfter can choose at random
)

// Refresh decides when the mirrors of one repository are asked for newer metadata.
type Refresh struct {
	freshFor       Tick // how long a timestamp is served without asking a mirror again
	unconfirmedFor Tick // how long a timestamp is served while no mirror can be asked
	refreshedAt    Tick // when a mirror last showed a current timestamp
	notBefore      Tick // mirrors are not asked before this time; set after a failure
	backoff        Tick
	random         *rand.Rand
}

// neverRefreshed is the value of refreshedAt before the first refresh: a time long before any real time.
const neverRefreshed Tick = -1 << 40

// NewRefresh returns a Refresh for a repository that was never refreshed. A timestamp is served for freshFor without
// asking a mirror again, and for unconfirmedFor while no mirror can be asked. seed initializes the random numbers.
func NewRefresh(freshFor, unconfirmedFor Tick, seed uint64) *Refresh {
	return &Refresh{freshFor: freshFor, unconfirmedFor: max(freshFor, unconfirmedFor), refreshedAt: neverRefreshed, random: rand.New(rand.NewPCG(seed, seed>>32))}
}

// Due reports whether the mirrors must be asked before a timestamp is served. incomplete means that the metadata that are held are
// not a complete current set.
func (r *Refresh) Due(now Tick, incomplete bool) bool {
	return (incomplete || now >= r.refreshedAt+r.freshFor) && now >= r.notBefore
}

// OnRefreshed records that a mirror showed a current timestamp.
func (r *Refresh) OnRefreshed(now Tick) { r.refreshedAt, r.notBefore, r.backoff = now, 0, 0 }

// OnFailed records that no mirror showed a current timestamp. The mirrors are asked again after a backoff that doubles
// with each failure. During the backoff, client requests cause no requests to the mirrors. Half of the backoff is
// random, so that the processes do not all ask the mirrors at the same time.
func (r *Refresh) OnFailed(now Tick) {
	r.backoff = min(maxBackoff, max(minBackoff, 2*r.backoff))
	r.notBefore = now + r.backoff/2 + Tick(r.random.Int64N(int64(r.backoff/2)+1))
}

// Stale reports whether the metadata that are held may no longer be treated as the newest. They become stale freshFor
// after the last refresh, and the mirrors must then be asked. If the mirrors failed when they were last asked, the
// metadata become stale only unconfirmedFor after the last refresh. Between freshFor and unconfirmedFor, the metadata are
// served although a newer version may exist that no mirror has shown. Metadata are never served after their expiry. With unconfirmedFor
// an operator can set an earlier limit than the expiry.
func (r *Refresh) Stale(now Tick) bool {
	if r.backoff > 0 {
		return now >= r.refreshedAt+r.unconfirmedFor
	}
	return now >= r.refreshedAt+r.freshFor
}

// RetryAfter returns how long a client that got no file must wait: until the mirrors are asked again, plus a random time so that
// the clients do not all retry at the same moment.
func (r *Refresh) RetryAfter(now Tick) Tick {
	minimum := max(minBackoff, r.notBefore-now)
	return minimum + Tick(r.random.Int64N(int64(minimum)*(retryAfterSpread-1)+1))
}
