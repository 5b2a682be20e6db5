package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// MirrorSurvey decides when enough mirrors have shown their timestamp after a start. Guards against a version store that was
// restored from a backup, or that there is none: seen as mirrors that serve older metadata; holds because a majority of the
// mirrors shows the newest. It does not guard against a majority that is old.
type MirrorSurvey struct {
	shownBy map[string]bool // by mirror

	// Done tells that the survey is complete. It stays true.
	Done bool
}

// NewMirrorSurvey starts a survey; one that is not wanted is done at once.
func NewMirrorSurvey(wanted bool) *MirrorSurvey {
	return &MirrorSurvey{shownBy: map[string]bool{}, Done: !wanted}
}

// OnTimestamp records what came of a mirror's timestamp: one that was held, was held already or is too old counts, as it is
// signed. listed are the names of all mirrors.
func (s *MirrorSurvey) OnTimestamp(mirror string, refusal *tufverify.RefusalError, listed []string) {
	if refusal == nil || refusal.Reason == tufverify.ReasonAlreadyHeld || refusal.Reason == tufverify.ReasonOlderVersion {
		s.shownBy[mirror] = true
	}
	count := 0
	for _, name := range listed {
		if s.shownBy[name] {
			count++
		}
	}
	s.Done = s.Done || count > 0 && 2*count > len(listed)
}
