package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// FetchNewerRoots tells whether a mirror is asked for newer roots because of what it gave: it may be signed by keys of a
// newer one. chased: a newer root has come already, which may have made void what is held.
func FetchNewerRoots(r *tufverify.RefusalError, chased bool) bool {
	if r == nil {
		return false
	}
	return r.Reason == tufverify.ReasonUnknownKey || r.Reason == tufverify.ReasonBelowThreshold || r.Reason == tufverify.ReasonMissing && !chased
}

// MirrorBlameless tells whether a mirror is not to blame for a refusal: newer roots that it gave have made void what its
// file hangs on.
func MirrorBlameless(r *tufverify.RefusalError, chased bool) bool {
	return r != nil && chased && r.Reason == tufverify.ReasonMissing
}

// Confirmed holds what trust says of a file against when mirrors were asked: nothing but roots is passed on before
// the survey is done; a timestamp, and the word on which root is the newest, only while mirrors were asked lately.
func Confirmed(now Tick, f tufverify.File, says *tufverify.RefusalError, s *MirrorSurvey, r *Refresh, repository string) *tufverify.RefusalError {
	unconfirmed := func(text string) *tufverify.RefusalError {
		return &tufverify.RefusalError{Reason: tufverify.ReasonMissing, Repository: repository, Role: f.Role, Text: text}
	}
	newest := f.Role == "timestamp" || f.Role == "root" && (f.Version == 0 || says != nil)
	switch {
	case f.Role != "root" && !s.Done:
		return unconfirmed("mirrors are being surveyed")
	case newest && r.Stale(now):
		return unconfirmed("mirrors were not asked lately")
	}
	return says
}
