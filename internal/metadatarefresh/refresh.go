// Package metadatarefresh holds the rules of a metadata proxy: when mirrors are asked, and when again after a failure; what a
// client is answered; when a transfer is too slow to wait for; how many clients are admitted at once; when a Director
// issues a server's metadata anew.
//
// It does no I/O and reads no clock: each method names what has happened, with the time. Nothing here is safe for concurrent
// use.
//
// Kind: decision
package metadatarefresh

import (
	"math/rand/v2"

	"silvercove/internal/tufverify"
)

// Tick is a moment or a span in whole tenths of a millisecond.
type Tick = tufverify.Tick

const (
	minBackoff       = tufverify.Second / 5  // until mirrors are asked again after a failure
	maxBackoff       = 10 * tufverify.Second // it doubles up to this
	retryAfterSpread = 2                     // times to retry after are drawn up to so many times the least
)

// Refresh decides when the mirrors of one repository are asked for newer metadata.
type Refresh struct {
	freshFor       Tick // a timestamp is taken for current for so long
	unconfirmedFor Tick // and for so long where no mirror can be asked
	refreshedAt    Tick // when one was last had
	notBefore      Tick // after failures: not before
	backoff        Tick
	random         *rand.Rand
}

// neverRefreshed is a time long before any other.
const neverRefreshed Tick = -1 << 40

// NewRefresh makes a Refresh that was never refreshed. A timestamp counts as current for freshFor, and for unconfirmedFor
// while no mirror can be asked; seed is that of the random draws.
func NewRefresh(freshFor, unconfirmedFor Tick, seed uint64) *Refresh {
	return &Refresh{freshFor: freshFor, unconfirmedFor: max(freshFor, unconfirmedFor), refreshedAt: neverRefreshed, random: rand.New(rand.NewPCG(seed, seed>>32))}
}

// Due tells whether the mirrors are to be asked before a timestamp is served. incomplete: what is held is not a complete
// current set.
func (r *Refresh) Due(now Tick, incomplete bool) bool {
	return (incomplete || now >= r.refreshedAt+r.freshFor) && now >= r.notBefore
}

// OnRefreshed records that a mirror showed a current timestamp.
func (r *Refresh) OnRefreshed(now Tick) { r.refreshedAt, r.notBefore, r.backoff = now, 0, 0 }

// OnFailed records that no mirror did. They are asked again after a backoff that doubles, half of it drawn, so that a dead
// repository is not asked for each client, nor by all processes at once.
func (r *Refresh) OnFailed(now Tick) {
	r.backoff = min(maxBackoff, max(minBackoff, 2*r.backoff))
	r.notBefore = now + r.backoff/2 + Tick(r.random.Int64N(int64(r.backoff/2)+1))
}

// Stale tells whether what is held may no longer be taken for the newest: the mirrors are to be asked, or have failed for too
// long. Between freshFor and unconfirmedFor there may be a newer version that no mirror showed; the expiry of the metadata
// bounds that anyhow, and unconfirmedFor is how much earlier an operator chooses to stop.
func (r *Refresh) Stale(now Tick) bool {
	if r.backoff > 0 {
		return now >= r.refreshedAt+r.unconfirmedFor
	}
	return now >= r.refreshedAt+r.freshFor
}

// RetryAfter is how long a client that got no file is to wait: until the mirrors are asked again, and a random time more, so
// that the clients do not retry at once.
func (r *Refresh) RetryAfter(now Tick) Tick {
	least := max(minBackoff, r.notBefore-now)
	return least + Tick(r.random.Int64N(int64(least)*(retryAfterSpread-1)+1))
}
