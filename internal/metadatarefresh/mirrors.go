package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// ShouldFetchNewerRoots reports whether to ask a mirror for newer roots after a file from that mirror got refusal r.
// The file may be signed by keys of a newer root. foundNewerRoot means that the mirror has already sent a newer root.
// That root may have invalidated the metadata that are held.
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

// MirrorBlameless reports whether the mirror that sent a file is not at fault for refusal r of the file. The mirror is
// not at fault if it also sent newer roots, and these have invalidated the metadata that the file depends on.
func MirrorBlameless(r *tufverify.RefusalError, foundNewerRoot bool) bool {
	return r != nil && foundNewerRoot && r.Reason == tufverify.ReasonMissing
}

// CheckConfirmed returns a refusal if the mirrors have not confirmed file f. Otherwise it returns the parameter
// refusal, which is tufverify's refusal of the file, or nil. Before the survey is complete, only root files are served.
// Three answers are served only if mirrors were asked recently (see Refresh.Stale): a timestamp, the newest root, and
// the answer that no newer root exists.
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
		return unconfirmed("mirrors were not asked recently")
	}
	return refusal
}
