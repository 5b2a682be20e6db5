package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// MirrorSurvey decides when enough mirrors have shown their timestamp after a start. The floor may have been put
// back with its disk, or there may be none: what a majority shows, or more of them than half can hide,
// stands in for it. It does not guard against a majority that is old.
type MirrorSurvey struct {
	shown map[string]bool
	Done  bool
}

// NewMirrorSurvey starts one; not wanted: it is done at once.
func NewMirrorSurvey(wanted bool) *MirrorSurvey {
	return &MirrorSurvey{shown: map[string]bool{}, Done: !wanted}
}

// OnTimestamp takes what a mirror answered: a timestamp that trust took, had already or found too old counts,
// as it is signed well.
func (s *MirrorSurvey) OnTimestamp(mirror string, refusal *tufverify.RefusalError, listed []string) {
	if refusal == nil || refusal.Reason == tufverify.ReasonAlreadyHeld || refusal.Reason == tufverify.ReasonOlderVersion {
		s.shown[mirror] = true
	}
	n := 0
	for _, name := range listed {
		if s.shown[name] {
			n++
		}
	}
	s.Done = s.Done || n > 0 && 2*n > len(listed)
}
