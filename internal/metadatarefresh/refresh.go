// Package metadatarefresh decides about exchanges of metadata at a front: whether what is held will do or mirrors are
// to be asked, when they are asked again after they had nothing, what a client is told, when a transfer
// is too slow to wait for, and how many clients are let in at once.
//
// It knows no socket and no clock: each method names what has happened, with the time.
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
	minBackoff       = tufverify.Second / 5  // until mirrors are asked again after they had nothing
	maxBackoff       = 10 * tufverify.Second // it doubles up to this
	minWindowBytes   = 4 << 10               // a transfer brings within one span
	rateWindow       = 2 * tufverify.Second
	firstByteTimeout = 2 * tufverify.Second // until the first byte of a transfer
	maxChoiceAge     = tufverify.Second / 2 // a delivery chosen longer ago is not sent: its mirror may drain since
	retryAfterSpread = 2                    // come-back times are drawn up to so many times the least
)

// Refresh decides when the mirrors of one repository are asked for something newer.
type Refresh struct {
	freshFor       Tick // a timestamp is taken for current for so long
	unconfirmedFor Tick // and for so long where no mirror can be asked
	refreshedAt    Tick // when one was last had
	notBefore      Tick // after failures: not before
	backoff        Tick
	random         *rand.Rand
}

// NewRefresh makes one; a timestamp that was had every ago is asked for again, and one that was had alone ago
// is no longer passed on, also if no mirror can be asked.
func NewRefresh(every, alone Tick, seed uint64) *Refresh {
	return &Refresh{freshFor: every, unconfirmedFor: max(every, alone), refreshedAt: -1 << 40, random: rand.New(rand.NewPCG(seed, seed>>32))}
}

// Due tells whether the mirrors are to be asked before a timestamp is passed on. lacking: what is held
// will not do anyhow.
func (r *Refresh) Due(now Tick, lacking bool) bool {
	return (lacking || now >= r.refreshedAt+r.freshFor) && now >= r.notBefore
}

// OnRefreshed takes that the mirrors showed a current timestamp.
func (r *Refresh) OnRefreshed(now Tick) { r.refreshedAt, r.notBefore, r.backoff = now, 0, 0 }

// OnFailed takes that they did not. They are asked again after a while that doubles, drawn by a half, so that
// a dead repository is not asked by each client, nor by all relays at once.
func (r *Refresh) OnFailed(now Tick) {
	r.backoff = min(maxBackoff, max(minBackoff, 2*r.backoff))
	r.notBefore = now + r.backoff/2 + Tick(r.random.Int64N(int64(r.backoff/2)+1))
}

// Stale tells whether what is held may no longer be taken for the newest: the mirrors are to be asked, or
// have had nothing for too long. Between its two times a newer one may be out that no mirror showed: the end
// of the metadata bounds that anyhow, and an installation chooses how much earlier to stop.
func (r *Refresh) Stale(now Tick) bool {
	if r.backoff > 0 {
		return now >= r.refreshedAt+r.unconfirmedFor
	}
	return now >= r.refreshedAt+r.freshFor
}

// RetryAfter is how long a client is to wait that got nothing: until the mirrors are asked again, and a drawn
// while more, so that those who wait do not come at once.
func (r *Refresh) RetryAfter(now Tick) Tick {
	least := max(minBackoff, r.notBefore-now)
	return least + Tick(r.random.Int64N(int64(least)*(retryAfterSpread-1)+1))
}
