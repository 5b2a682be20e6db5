package tufverify

import (
	"log/slog"
)

// Reason is the reason of a refusal. The zero value is ReasonNone, which no refusal has.
type Reason uint8

// Reasons of refusals. ReasonAlreadyHeld is not an error: the Repository stays unchanged.
const (
	ReasonNone            Reason = iota
	ReasonAlreadyHeld            // the file is held already, or the report is the last accepted one
	ReasonOlderVersion           // a newer version is known; or, for a root, the held version has other content
	ReasonExpired                // the metadata has expired; the time used is the latest that the caller has passed to the Repository or the version store has recorded
	ReasonBadSignature           // a signature by a key of the role is invalid
	ReasonBelowThreshold         // fewer keys of the role have signed than the threshold of the role requires
	ReasonUnknownKey             // no key of the role has signed, for example because another repository's or a revoked key signed
	ReasonHashMismatch           // length or hash of a file differs from the entry in the metadata that list the file
	ReasonVersionMismatch        // version of a file differs from the entry in the metadata that list it, or a root is not the next one
	ReasonConflict               // the version was recorded with other content
	ReasonMalformed              // the file cannot be parsed, or contradicts itself
	ReasonTooLarge               // the file exceeds a limit
	ReasonMissing                // the file, or a file that it depends on, is not held
	ReasonNotDurable             // state that must survive a restart could not be written
	ReasonDisagreement           // Director and image repository disagree, or the target does not support the hardware
	ReasonOtherServer            // no target in the targets metadata is for this server, or the report is of another server
	ReasonNotListed              // no held file lists the requested file or target
	ReasonCount                  // number of reasons, not a reason itself
)

// reasonTexts holds the text of each Reason except ReasonCount, which is the number of reasons.
var reasonTexts = [ReasonCount]string{"fine", "the same version", "older than what was seen", "expired", "wrongly signed",
	"under its threshold", "not of this repository's keys", "not as long or not of the hash its parent says",
	"not the version its parent says", "seen with other content", "malformed", "too long",
	"not had yet", "not kept: the floor cannot be written", "not agreed on by both repositories",
	"for another server", "not named by anything"}

// String returns the text of the reason. Responses to clients can contain this text.
func (w Reason) String() string { return reasonTexts[min(w, ReasonCount-1)] }

// RefusalError tells why a file or report was not accepted, or why a file may not be served. Methods return it as a *RefusalError,
// which is nil if nothing was refused. Use errors.As to find it in a wrapped error.
type RefusalError struct {
	Reason     Reason
	Repository string
	Role       string // what was refused: the role of a file, the path of a target, or the server of a report
	Text       string // details; may be empty
}

func (r *RefusalError) Error() string {
	s := r.Repository + " " + r.Role + ": " + r.Reason.String()
	if r.Text != "" {
		s += ": " + r.Text
	}
	return s
}

// LogFields returns the fields that describe the refusal in a log line.
func (r *RefusalError) LogFields() []slog.Attr {
	return []slog.Attr{slog.String("repository", r.Repository), slog.String("role", r.Role),
		slog.String("reason", r.Reason.String()), slog.String("detail", r.Text)}
}
