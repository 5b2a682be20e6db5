package metadataproxy

import (
	"context"
	"time"

	"silvercove/internal/metadatarefresh"
	"silvercove/internal/tufverify"
)

// minLookUpInterval is the minimum interval between two look-ups of a watched path.
const minLookUpInterval = 50 * time.Millisecond

// WatchTargets sets the paths of targets that are looked up periodically, so that FindCached finds them without asking a
// mirror.
func (r *Repository) WatchTargets(paths []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchedPaths = paths
}

// lookUpWatched looks up the paths of WatchTargets immediately and then periodically. The interval is half of freshFor,
// the time for which a timestamp is served without asking a mirror again, but at least minLookUpInterval.
func (r *Repository) lookUpWatched(ctx context.Context) error {
	ticker := time.NewTicker(max(r.freshFor/2, minLookUpInterval))
	defer ticker.Stop()
	for {
		r.mu.Lock()
		paths := r.watchedPaths
		r.mu.Unlock()
		for _, path := range paths {
			_, _ = r.Find(path)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// FindCached looks up a target in the metadata that are held and have not expired, without asking a mirror.
func (r *Repository) FindCached(path string) (*tufverify.Target, *tufverify.RefusalError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, need, refusal := r.verified.Find(r.tick(), path)
	if need != "" {
		refusal = &tufverify.RefusalError{Reason: tufverify.ReasonMissing, Repository: r.name, Role: need, Text: "not held"}
	}
	return t, refusal
}

// Find looks up a target, and asks mirrors for the metadata that the look-up needs and that are not held (TUF 1.0.31,
// section 5.6.7).
func (r *Repository) Find(path string) (*tufverify.Target, *tufverify.RefusalError) {
	r.refreshIfDue(true)
	for {
		r.mu.Lock()
		now := r.tick()
		t, need, refusal := r.verified.Find(now, path)
		// An older timestamp could lead to an older target, so the mirrors must have confirmed the timestamp as the newest.
		timestamp := tufverify.File{Role: "timestamp"}
		if refusal = metadatarefresh.CheckConfirmed(now, timestamp, refusal, r.survey, r.refresh, r.name); refusal != nil {
			t, need = nil, ""
		}
		r.mu.Unlock()
		if refusal != nil || t != nil {
			return t, refusal
		}
		if refusal := r.fetchRole(need); refusal != nil {
			return nil, refusal
		}
	}
}

// FindByStoredName looks up a target by the name under which it is stored. If the repository has consistent snapshots,
// a stored name contains the target's digest (TUF 1.0.31, section 3.1.2).
func (r *Repository) FindByStoredName(name string) (*tufverify.Target, *tufverify.RefusalError) {
	r.mu.Lock()
	path, sum, hashed := r.verified.ParseStoredPath(name)
	r.mu.Unlock()
	t, refusal := r.Find(path)
	if refusal == nil && hashed && t.Sum != sum {
		return nil, &tufverify.RefusalError{Reason: tufverify.ReasonOlderVersion, Repository: r.name, Role: path, Text: "the metadata now name other content"}
	}
	return t, refusal
}

// assignedTargets returns the targets that r, a mirrored Director repository, assigns now.
func (r *Repository) assignedTargets() ([]*tufverify.Target, *tufverify.RefusalError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verified.AssignedTargets(r.tick())
}

// verifyAssignment returns a refusal if a target that a Director assigned differs from the image repository's target, or if the
// image repository's target does not support the given kind of hardware.
func (r *Repository) verifyAssignment(assigned, image *tufverify.Target, hardware string) *tufverify.RefusalError {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verified.VerifyAssignment(assigned, image, hardware)
}

// newTargetReader returns a reader that verifies the bytes of a target.
func (r *Repository) newTargetReader(t *tufverify.Target) *tufverify.TargetReader {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verified.OpenTarget(t)
}
