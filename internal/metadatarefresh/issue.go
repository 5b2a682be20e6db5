package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// Issue is the state of the metadata that a Director has issued for a server.
type Issue struct {
	Exists            bool // there are any
	IssuedAt          Tick
	ExpiresAt         Tick
	AssignmentCurrent bool // they name what the server is assigned now
	ImageAgrees       bool // the image repository still has the package that they name, or can't be asked
}

// MustRenew tells whether the metadata are to be issued anew before they are served: after half of their lifetime at the
// latest, so that a server that asks in that time never finds them expired.
func (i Issue) MustRenew(now Tick) bool {
	return !i.Exists || !i.AssignmentCurrent || !i.ImageAgrees || now >= i.IssuedAt+(i.ExpiresAt-i.IssuedAt)/2
}

// MayServeStale tells whether the metadata may be served all the same if they could not be issued anew: never another
// assignment than the present one, nor what has expired.
func (i Issue) MayServeStale(now Tick) bool {
	return i.Exists && i.AssignmentCurrent && now < i.ExpiresAt
}

// MayServeLastAnswer tells whether the image repository's last answer about a package may stand in for the present one: while
// it can't be asked, so that servers can be rolled back; not where it answers something else.
func MayServeLastAnswer(r *tufverify.RefusalError) bool {
	return r.Reason == tufverify.ReasonMissing || r.Reason == tufverify.ReasonExpired
}

// IssueRetryDelay is the time until a failed issue is retried.
const IssueRetryDelay = tufverify.Second / 5

// MustPersistTime tells whether the time is to be recorded before metadata are issued whose lifetime begins now.
func MustPersistTime(now, recorded Tick) bool { return now > recorded+tufverify.Second }
