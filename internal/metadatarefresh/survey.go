package metadatarefresh

import (
	"silvercove/internal/tufverify"
)

// MirrorSurvey decides when enough mirrors have shown their timestamp after a start of the proxy. It guards against
// mirrors that serve older metadata while the version store does not have the newest versions. The version store lacks
// them if it was restored from a backup, or if it was kept in memory alone. A survey waits for a majority of the
// mirrors. Any two majorities have a mirror in common. Therefore, if a majority has the newest timestamp, at least one
// mirror of the survey shows it. The survey does not guard against a majority of mirrors that are out of date.
type MirrorSurvey struct {
	shownBy map[string]bool // names of the mirrors that have shown a correctly signed timestamp

	// Done reports whether the survey is complete. Done never becomes false again.
	Done bool
}

// NewMirrorSurvey starts a survey. If wanted is false the survey is complete at once.
func NewMirrorSurvey(wanted bool) *MirrorSurvey {
	return &MirrorSurvey{shownBy: map[string]bool{}, Done: !wanted}
}

// OnTimestamp records the result of verifying a mirror's timestamp; refusal is nil if the timestamp was accepted. The
// mirror counts towards the majority if its timestamp is correctly signed. A timestamp that is held already, or is
// older than a known one, is correctly signed too. listed holds the names of the mirrors of which a majority is needed.
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
