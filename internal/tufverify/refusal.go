package tufverify

import (
	"log/slog"
)

// Reason is why something was refused. Its zero value is ReasonNone.
type Reason uint8

// The reasons. ReasonAlreadyHeld is no fault: nothing changes.
const (
	ReasonNone            Reason = iota
	ReasonAlreadyHeld            // it is held already
	ReasonOlderVersion           // a newer one was seen
	ReasonExpired                // by the latest time that was ever trusted
	ReasonBadSignature           // a signature of a key of the role does not fit
	ReasonBelowThreshold         // some signatures fit, but too few
	ReasonUnknownKey             // no key of the role has signed it: another repository's, or a revoked key's
	ReasonHashMismatch           // its length or hash is not what its parent says
	ReasonVersionMismatch        // its version is not what its parent says
	ReasonConflict               // the version was seen with other content
	ReasonMalformed              // it can't be parsed, or its parts contradict
	ReasonTooLarge               // more than is allowed
	ReasonMissing                // something that it depends on is not held
	ReasonNotDurable             // what must outlive a restart could not be written
	ReasonDisagreement           // Director and image repository differ
	ReasonOtherServer            // for another server or another kind of hardware
	ReasonNotListed              // nothing that is held names it
	ReasonCount                  // how many there are, no reason itself
)

var reasonTexts = [ReasonCount]string{"fine", "the same version", "older than what was seen", "expired", "wrongly signed",
	"under its threshold", "not of this repository's keys", "not as long or not of the hash its parent says",
	"not the version its parent says", "seen with other content", "malformed", "too long",
	"not had yet", "not kept: the floor cannot be written", "not agreed on by both repositories",
	"for another server", "not named by anything"}

// String is part of what clients are answered.
func (w Reason) String() string { return reasonTexts[min(w, ReasonCount-1)] }

// RefusalError tells why something was not held, or may not be served. Methods return it by its own type, so that nil means
// that nothing was refused; errors.As finds it where it is wrapped.
type RefusalError struct {
	Reason     Reason
	Repository string
	Role       string // or the path of a target, or the server of a report
	Text       string // details, may be empty
}

func (r *RefusalError) Error() string {
	s := r.Repository + " " + r.Role + ": " + r.Reason.String()
	if r.Text != "" {
		s += ": " + r.Text
	}
	return s
}

// LogFields are the fields that tell of a refusal in a log line.
func (r *RefusalError) LogFields() []slog.Attr {
	return []slog.Attr{slog.String("repository", r.Repository), slog.String("role", r.Role),
		slog.String("reason", r.Reason.String()), slog.String("detail", r.Text)}
}
