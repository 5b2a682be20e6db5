package metadataproxy

import (
	"context"
	"time"

	"silvercove/internal/metadatarefresh"
	"silvercove/internal/tufverify"
)

// KeepLookedUp has targets looked up again and again, so that Known can tell of them without asking anyone.
func (r *Repository) KeepLookedUp(paths []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchedPaths = paths
}

func (r *Repository) lookUpWatched(ctx context.Context) error {
	beat := time.NewTicker(max(r.freshFor/2, 50*time.Millisecond))
	defer beat.Stop()
	for {
		r.mu.Lock()
		kept := r.watchedPaths
		r.mu.Unlock()
		for _, path := range kept {
			_, _ = r.Find(path)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
		}
	}
}

// Known looks a target up in what is held and has not expired.
func (r *Repository) Known(path string) (*tufverify.Target, *tufverify.RefusalError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, need, refusal := r.verified.Find(r.tick(), path)
	if need != "" {
		refusal = &tufverify.RefusalError{Reason: tufverify.ReasonMissing, Repository: r.name, Role: need, Text: "not held"}
	}
	return t, refusal
}

// Find looks up a target, asking for what is lacking.
func (r *Repository) Find(path string) (*tufverify.Target, *tufverify.RefusalError) {
	r.refreshIfDue(true)
	for {
		r.mu.Lock()
		now := r.tick()
		t, need, refusal := r.verified.Find(now, path)
		lately := tufverify.File{Role: "timestamp"} // what a package hangs on must count as the newest
		if refusal = metadatarefresh.Confirmed(now, lately, refusal, r.survey, r.refresh, r.name); refusal != nil {
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

// Stored looks up a target by the name that clients of consistent snapshots ask for.
func (r *Repository) Stored(name string) (*tufverify.Target, *tufverify.RefusalError) {
	r.mu.Lock()
	path, sum, hashed := r.verified.ParseStoredPath(name)
	r.mu.Unlock()
	t, refusal := r.Find(path)
	if refusal == nil && hashed && t.Sum != sum {
		return nil, &tufverify.RefusalError{Reason: tufverify.ReasonOlderVersion, Repository: r.name, Role: path, Text: "other bytes count now"}
	}
	return t, refusal
}

func (r *Repository) assigned() ([]*tufverify.Target, *tufverify.RefusalError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verified.Assigned(r.tick())
}

func (r *Repository) compare(told, is *tufverify.Target, kind string) *tufverify.RefusalError {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verified.Compare(told, is, kind)
}

func (r *Repository) open(t *tufverify.Target) *tufverify.TargetReader {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verified.Open(t)
}
