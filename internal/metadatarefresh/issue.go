package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// Issue is the state of the metadata that a Director has issued for a server.
type Issue struct {
	Exists            bool // metadata have been issued and are held
	IssuedAt          Tick
	ExpiresAt         Tick
	AssignmentCurrent bool // the issued metadata are for the version that the server is assigned now
	ImageAgrees       bool // the image repository still has the package that the issued metadata list, or it cannot be asked
}

// MustRenew reports whether the metadata must be issued again before they are served. Metadata are issued again after
// half of their lifetime at the latest. Served metadata are therefore valid for at least half of their lifetime, and a server that
// asks again within that time never finds its metadata expired.
func (i Issue) MustRenew(now Tick) bool {
	return !i.Exists || !i.AssignmentCurrent || !i.ImageAgrees || now >= i.IssuedAt+(i.ExpiresAt-i.IssuedAt)/2
}

// MayServeStale reports whether the metadata may still be served if they could not be issued again. The metadata may not be
// served if they have expired, or if they are for another version than the server is assigned now.
func (i Issue) MayServeStale(now Tick) bool {
	return i.Exists && i.AssignmentCurrent && now < i.ExpiresAt
}

// MayServeLastAnswer reports whether the image repository's last answer about a package may be used in place of refusal
// r. It may be used only if r means that the image repository cannot be asked now. Servers can then still be rolled back
// to the package that this answer describes.
func MayServeLastAnswer(r *tufverify.RefusalError) bool {
	return r.Reason == tufverify.ReasonMissing || r.Reason == tufverify.ReasonExpired
}

// IssueRetryDelay is the delay before the Director tries again to issue metadata after a failure.
const IssueRetryDelay = tufverify.Second / 5

// MustPersistTime reports whether the current time must be recorded before the Director issues metadata whose lifetime
// begins now. It must be recorded if it is more than a second after the recorded time.
func MustPersistTime(now, recorded Tick) bool { return now > recorded+tufverify.Second }
