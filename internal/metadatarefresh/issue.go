package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// Issue is what a Director holds for a server: whether there is any, from and until when it counts, and whether it
// still is what the server is told, and what the Image repository says of the package.
type Issue struct {
	Held                  bool
	IssuedAt, ExpiresAt   Tick
	Assigned, ImageAgrees bool
}

// MustRenew tells whether it is to be issued anew before it is given: at half its life at the latest, so that a server
// that asks in that time never finds it expired.
func (i Issue) MustRenew(now Tick) bool {
	return !i.Held || !i.Assigned || !i.ImageAgrees || now >= i.IssuedAt+(i.ExpiresAt-i.IssuedAt)/2
}

// MayServeStale tells whether it may be given all the same if it could not be issued anew: never what the server is no
// longer told, nor what has expired.
func (i Issue) MayServeStale(now Tick) bool { return i.Held && i.Assigned && now < i.ExpiresAt }

// LastAnswerMayServe tells whether what the Image repository said last of a package may stand in for what it says now: while
// it can't be had, so that servers can be told back; not where it says something else.
func LastAnswerMayServe(r *tufverify.RefusalError) bool {
	return r.Reason == tufverify.ReasonMissing || r.Reason == tufverify.ReasonExpired
}

// IssueRetryDelay is how long what could not be issued waits.
const IssueRetryDelay = tufverify.Second / 5

// PersistTime tells whether the time is to be made durable before something is issued that lasts from now on.
func PersistTime(now, kept Tick) bool { return now > kept+tufverify.Second }
