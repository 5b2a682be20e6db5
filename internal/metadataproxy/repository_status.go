package metadataproxy

import (
	"time"

	"silvercove/internal/tufverify"
)

// RepoStatus is the state of one repository on the status page. The JSON names are part of the HTTP interface.
type RepoStatus struct {
	Name string
	// Root, Timestamp, Snapshot and Targets are the versions of the metadata files that are held; 0 if none is held.
	Root      int64
	Timestamp int64
	Snapshot  int64
	Targets   int64
	Expires   time.Time        // the earliest expiry of the metadata that are held
	Surveyed  bool             // whether the survey of the mirrors is complete (see metadatarefresh.MirrorSurvey)
	Refused   map[string]int64 // number of refusals by reason
	Mirrors   int              // number of mirrors that may be asked now
	Attempts  int64            `json:"Deliveries"` // requests sent to mirrors
}

func (r *Repository) status() RepoStatus {
	ready := len(r.dispatcher.ReadyBackends())
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RepoStatus{Name: r.name, Root: r.verified.Version("root"), Timestamp: r.verified.Version("timestamp"),
		Snapshot: r.verified.Version("snapshot"), Targets: r.verified.Version("targets"), Expires: r.verified.Expires().Time(),
		Surveyed: r.survey.Done, Refused: map[string]int64{}, Mirrors: ready, Attempts: r.Attempts.Load()}
	for reason, n := range r.verified.Refused {
		if n > 0 {
			s.Refused[tufverify.Reason(reason).String()] = n
		}
	}
	return s
}
