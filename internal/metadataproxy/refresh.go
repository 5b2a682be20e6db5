package metadataproxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"silvercove/internal/dispatch"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/tufverify"
)

// errKeysKeepChanging is the error of a refresh that has fetched MaxFilesPerRefresh files and still does not have a
// complete set of metadata. New keys can invalidate files that the refresh has already fetched.
var errKeysKeepChanging = errors.New("keys keep changing during the refresh")

// cached returns a file if it may be served without asking a mirror.
func (r *Repository) cached(f tufverify.File) ([]byte, *tufverify.RefusalError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentLocked(f)
}

// currentLocked implements cached; the caller holds r.mu. It returns a timestamp, the newest root, or the answer that
// no newer root exists, only if mirrors were asked recently (see metadatarefresh.CheckConfirmed).
func (r *Repository) currentLocked(f tufverify.File) ([]byte, *tufverify.RefusalError) {
	now := r.tick()
	data, refusal := r.verified.Current(now, f)
	refusal = metadatarefresh.CheckConfirmed(now, f, refusal, r.survey, r.refresh, r.name)
	if refusal != nil {
		return nil, refusal
	}
	return data, nil
}

// currentFile returns a file if it may be served, after asking the mirrors for the metadata that are missing.
func (r *Repository) currentFile(f tufverify.File) ([]byte, *tufverify.RefusalError) {
	r.refreshIfDue(f.Role == "timestamp" || f.Role == "root")
	data, refusal := r.cached(f)
	if refusal != nil && refusal.Reason == tufverify.ReasonMissing && f.MetadataType() == "targets" && f.Role != "targets" {
		if refusal := r.fetchRole(f.Role); refusal != nil {
			return nil, refusal
		}
		data, refusal = r.cached(f)
	}
	return data, refusal
}

// refreshIfDue asks the mirrors for a complete current set of metadata if a refresh is due (see
// metadatarefresh.Refresh.Due). Concurrent callers share one refresh. If confirm is false, only an incomplete set is
// refreshed. If confirm is true, a complete set is refreshed too, so that the mirrors confirm that the set is the
// newest.
func (r *Repository) refreshIfDue(confirm bool) {
	r.mu.Lock()
	now := r.tick()
	_, _, incomplete := r.verified.NextFile(now)
	due := (incomplete || confirm) && r.refresh.Due(now, incomplete)
	r.mu.Unlock()
	if !due {
		return
	}
	_, _, _ = r.fetchGroup.Do("set", func() (any, error) {
		r.mu.Lock()
		now := r.tick()
		_, _, incomplete := r.verified.NextFile(now)
		due := r.refresh.Due(now, incomplete)
		r.mu.Unlock()
		if !due { // another caller has refreshed the metadata since the check above
			return nil, nil
		}
		err := r.refreshMetadata()
		r.mu.Lock()
		defer r.mu.Unlock()
		if err != nil {
			r.refresh.OnFailed(r.tick())
			r.log(slog.LevelWarn, "metadata refresh failed", slog.String("repository", r.name), slog.String("error", err.Error()))
		} else {
			r.refresh.OnRefreshed(r.tick())
		}
		return nil, nil
	})
}

// refreshMetadata fetches newer roots, a timestamp, and the files that depend on the timestamp (TUF 1.0.31, sections 5.3 to
// 5.6).
func (r *Repository) refreshMetadata() error {
	if err := r.fetchRoots(); err != nil {
		return err
	}
	return r.fetchMetadata()
}

// fetchRoots fetches the roots that follow the root that is held, until there is no newer one or MaxRootsPerRequest
// roots were fetched.
func (r *Repository) fetchRoots() error {
	for range metadatarefresh.MaxRootsPerRequest {
		r.mu.Lock()
		f := tufverify.File{Role: "root", Version: r.verified.NextRootVersion()}
		r.mu.Unlock()
		noNewerRoot := false
		err := r.fetchFile(classRoot, f, tufverify.MaxRootSize, func(_ context.Context, _ dispatch.Backend, status int, data []byte) *tufverify.RefusalError {
			if noNewerRoot = status == http.StatusNotFound; noNewerRoot {
				return nil
			}
			return r.update(func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.UpdateRoot(now, data) })
		})
		if err != nil {
			return err
		}
		if noNewerRoot {
			return nil
		}
	}
	return nil
}

// fetchMetadata fetches a timestamp, and then each file that a complete set lacks.
func (r *Repository) fetchMetadata() error {
	fetchedTimestamp := false
	for range metadatarefresh.MaxFilesPerRefresh { // the number of files is limited, because new keys can make the set incomplete again and again
		r.mu.Lock()
		f, maxSize, ok := r.verified.NextFile(r.tick())
		r.mu.Unlock()
		if !fetchedTimestamp {
			f, maxSize, ok = tufverify.File{Role: "timestamp"}, tufverify.MaxTimestampSize, true
		}
		switch {
		case !ok:
			return nil
		case f.Role == "root":
			return fmt.Errorf("%s is required, and no mirror has it", f)
		}
		fetchedTimestamp = true
		err := r.fetchFile(f.Role, f, maxSize, func(ctx context.Context, mirror dispatch.Backend, _ int, data []byte) *tufverify.RefusalError {
			return r.accept(ctx, mirror, func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.Update(now, f, data) })
		})
		if err != nil {
			return err
		}
	}
	return errKeysKeepChanging
}

// acceptTimestamp verifies a mirror's timestamp, and holds it if it is newer than the held timestamp.
func (r *Repository) acceptTimestamp(ctx context.Context, mirror dispatch.Backend, data []byte) *tufverify.RefusalError {
	return r.accept(ctx, mirror, func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.UpdateTimestamp(now, data) })
}

// accept calls verify for a file that a mirror sent. A file that is signed by unknown keys may depend on newer roots,
// so accept asks the same mirror for newer roots and calls verify again. If the newer roots have invalidated metadata
// that the file depends on, accept returns no refusal, because the mirror is not at fault.
func (r *Repository) accept(ctx context.Context, mirror dispatch.Backend, verify func(now tufverify.Tick) *tufverify.RefusalError) *tufverify.RefusalError {
	refusal := r.update(verify)
	foundNewerRoot := false
	for n := 0; n < metadatarefresh.MaxRootsPerRequest && metadatarefresh.ShouldFetchNewerRoots(refusal, foundNewerRoot); n++ {
		r.mu.Lock()
		f := tufverify.File{Role: "root", Version: r.verified.NextRootVersion()}
		r.mu.Unlock()
		response := r.download(ctx, mirror, "metadata/"+f.String(), tufverify.MaxRootSize)
		if response.status != http.StatusOK || response.closed.Closed() ||
			r.update(func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.UpdateRoot(now, response.data) }) != nil {
			break
		}
		foundNewerRoot = true
		refusal = r.update(verify)
	}
	if metadatarefresh.MirrorBlameless(refusal, foundNewerRoot) {
		return nil
	}
	return refusal
}

// update locks r.mu and calls verify with the current time. If verify refuses a file because the repository has it already,
// the file counts as accepted.
func (r *Repository) update(verify func(now tufverify.Tick) *tufverify.RefusalError) *tufverify.RefusalError {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal := verify(r.tick())
	if refusal != nil && refusal.Reason == tufverify.ReasonAlreadyHeld {
		return nil
	}
	return refusal
}

// fetchRole fetches the targets of a delegated role. The fetch fails with ReasonMissing if the metadata of the role
// that delegates to this role are not held. fetchRole then fetches all other missing roles, because each of them may be
// that delegating role. After that it fetches this role once more.
func (r *Repository) fetchRole(role string) *tufverify.RefusalError {
	v, _, _ := r.fetchGroup.Do("role "+role, func() (any, error) {
		refusal := r.fetchTargets(role)
		if refusal == nil || refusal.Reason != tufverify.ReasonMissing {
			return refusal, nil
		}
		r.mu.Lock()
		missingRoles := r.verified.MissingRoles()
		r.mu.Unlock()
		for _, missing := range missingRoles {
			if missing != role {
				_ = r.fetchTargets(missing)
			}
		}
		return r.fetchTargets(role), nil
	})
	refusal, _ := v.(*tufverify.RefusalError)
	return refusal
}

// fetchTargets fetches the targets file of one role.
func (r *Repository) fetchTargets(role string) *tufverify.RefusalError {
	r.mu.Lock()
	f, maxSize, refusal := r.verified.TargetsFile(r.tick(), role)
	r.mu.Unlock()
	if refusal != nil {
		return refusal
	}
	err := r.fetchFile(classTargets, f, maxSize, func(_ context.Context, _ dispatch.Backend, _ int, data []byte) *tufverify.RefusalError {
		refusal = r.update(func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.UpdateTargets(now, role, data) })
		if refusal != nil && refusal.Reason == tufverify.ReasonMissing {
			return nil // accept the response: the proxy lacks the metadata that delegate to the role, and the mirror is not at fault
		}
		return refusal
	})
	if err != nil && refusal == nil {
		refusal = &tufverify.RefusalError{Reason: tufverify.ReasonMissing, Repository: r.name, Role: role, Text: err.Error()}
	}
	return refusal
}
