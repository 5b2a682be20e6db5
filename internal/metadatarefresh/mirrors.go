package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// ShouldFetchNewerRoots tells whether a mirror is asked for newer roots after a refusal of what it sent: that may be signed by keys
// of a newer root. foundNewerRoot: one has come already, which may have invalidated what is held.
func ShouldFetchNewerRoots(r *tufverify.RefusalError, foundNewerRoot bool) bool {
	if r == nil {
		return false
	}
	switch r.Reason {
	case tufverify.ReasonUnknownKey, tufverify.ReasonBelowThreshold:
		return true
	case tufverify.ReasonMissing:
		return !foundNewerRoot
	}
	return false
}

// MirrorBlameless tells whether a mirror is not to blame for a refusal: newer roots that it sent have invalidated what its file
// depends on.
func MirrorBlameless(r *tufverify.RefusalError, foundNewerRoot bool) bool {
	return r != nil && foundNewerRoot && r.Reason == tufverify.ReasonMissing
}

// CheckConfirmed is the refusal of a file by tufverify, or one because mirrors were not asked: nothing but roots is served before
// the survey is done; a timestamp, and which root is the newest, only while mirrors were asked recently.
func CheckConfirmed(now Tick, f tufverify.File, refusal *tufverify.RefusalError, s *MirrorSurvey, r *Refresh,
	repository string) *tufverify.RefusalError {
	unconfirmed := func(text string) *tufverify.RefusalError {
		return &tufverify.RefusalError{Reason: tufverify.ReasonMissing, Repository: repository, Role: f.Role, Text: text}
	}
	newest := f.Role == "timestamp" || f.Role == "root" && (f.Version == 0 || refusal != nil)
	switch {
	case f.Role != "root" && !s.Done:
		return unconfirmed("mirrors are being surveyed")
	case newest && r.Stale(now):
		return unconfirmed("mirrors were not asked lately")
	}
	return refusal
}
