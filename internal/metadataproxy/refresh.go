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

// cached gives a file if it may be passed on without asking anyone.
func (r *Repository) cached(f tufverify.File) ([]byte, *tufverify.RefusalError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentLocked(f)
}

// currentLocked is held with the lock taken. A timestamp, and the word on which root is the newest, count only as
// long as mirrors were asked lately.
func (r *Repository) currentLocked(f tufverify.File) ([]byte, *tufverify.RefusalError) {
	now := r.tick()
	data, says := r.verified.Current(now, f)
	refusal := metadatarefresh.Confirmed(now, f, says, r.survey, r.refresh, r.name)
	if refusal != nil {
		return nil, refusal
	}
	return data, nil
}

// currentFile gives a file if it may be passed on, after asking the mirrors for what is lacking.
func (r *Repository) currentFile(f tufverify.File) ([]byte, *tufverify.RefusalError) {
	r.refreshIfDue(f.Role == "timestamp" || f.Role == "root")
	data, refusal := r.cached(f)
	if refusal != nil && refusal.Reason == tufverify.ReasonMissing && f.Kind() == "targets" && f.Role != "targets" {
		if refusal := r.fetchRole(f.Role); refusal != nil {
			return nil, refusal
		}
		data, refusal = r.cached(f)
	}
	return data, refusal
}

// refreshIfDue asks the mirrors for a whole current set, if it is due; all who need it wait for one.
func (r *Repository) refreshIfDue(fresh bool) {
	r.mu.Lock()
	now := r.tick()
	_, _, lacking := r.verified.NextFile(now)
	due := (lacking || fresh) && r.refresh.Due(now, lacking)
	r.mu.Unlock()
	if !due {
		return
	}
	_, _, _ = r.shared.Do("set", func() (any, error) {
		r.mu.Lock()
		now := r.tick()
		_, _, lacking := r.verified.NextFile(now)
		due := r.refresh.Due(now, lacking)
		r.mu.Unlock()
		if !due { // another has just done it
			return nil, nil
		}
		err := r.fetchSet()
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

// fetchSet asks for the next root, a timestamp, and what it names.
func (r *Repository) fetchSet() error {
	for range metadatarefresh.MaxRootsPerRequest {
		r.mu.Lock()
		f := tufverify.File{Role: "root", Version: r.verified.NextRootVersion()}
		r.mu.Unlock()
		none := false
		err := r.fetchFile(classRoot, f, tufverify.MaxRootSize, func(_ context.Context, _ dispatch.Backend, status int, data []byte) *tufverify.RefusalError {
			if none = status == http.StatusNotFound; none {
				return nil
			}
			return r.update(func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.UpdateRoot(now, data) })
		})
		if err != nil {
			return err
		}
		if none {
			break
		}
	}
	stamped := false
	for range metadatarefresh.MaxRounds { // new keys may make it begin again
		r.mu.Lock()
		f, most, ok := r.verified.NextFile(r.tick())
		r.mu.Unlock()
		if !stamped {
			f, most, ok = tufverify.File{Role: "timestamp"}, tufverify.MaxTimestampSize, true
		}
		switch {
		case !ok:
			return nil
		case f.Role == "root":
			return fmt.Errorf("%s is needed, and no mirror has it", f)
		}
		stamped = true
		err := r.fetchFile(f.Role, f, most, func(ctx context.Context, u dispatch.Backend, _ int, data []byte) *tufverify.RefusalError {
			return r.accept(ctx, u, func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.Update(now, f, data) })
		})
		if err != nil {
			return err
		}
	}
	return errors.New("the keys change all the time")
}

// acceptTimestamp takes a timestamp of a mirror.
func (r *Repository) acceptTimestamp(ctx context.Context, u dispatch.Backend, data []byte) *tufverify.RefusalError {
	return r.accept(ctx, u, func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.UpdateTimestamp(now, data) })
}

// accept hands what a mirror gave to trust. What is signed by unknown keys may hang on a newer root, which
// the same mirror is asked for. A root that came so may make what is held void: the mirror is not to blame then.
func (r *Repository) accept(ctx context.Context, u dispatch.Backend, take func(now tufverify.Tick) *tufverify.RefusalError) *tufverify.RefusalError {
	refusal := r.update(take)
	chased := false
	for n := 0; n < metadatarefresh.MaxRootsPerRequest && metadatarefresh.FetchNewerRoots(refusal, chased); n++ {
		r.mu.Lock()
		f := tufverify.File{Role: "root", Version: r.verified.NextRootVersion()}
		r.mu.Unlock()
		s := r.download(ctx, u, "metadata/"+f.String(), tufverify.MaxRootSize)
		if s.status != 200 || s.closed.Closed() ||
			r.update(func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.UpdateRoot(now, s.data) }) != nil {
			break
		}
		chased = true
		refusal = r.update(take)
	}
	if metadatarefresh.MirrorBlameless(refusal, chased) {
		return nil
	}
	return refusal
}

// update hands something to trust; what is held already is as good as new.
func (r *Repository) update(what func(now tufverify.Tick) *tufverify.RefusalError) *tufverify.RefusalError {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal := what(r.tick())
	if refusal != nil && refusal.Reason == tufverify.ReasonAlreadyHeld {
		return nil
	}
	return refusal
}

// fetchRole asks for the targets of a delegated role, and for those of roles that may delegate to it.
func (r *Repository) fetchRole(role string) *tufverify.RefusalError {
	v, _, _ := r.shared.Do("role "+role, func() (any, error) {
		refusal := r.fetchTargets(role)
		if refusal == nil || refusal.Reason != tufverify.ReasonMissing {
			return refusal, nil
		}
		r.mu.Lock()
		others := r.verified.MissingRoles()
		r.mu.Unlock()
		for _, other := range others {
			if other != role {
				_ = r.fetchTargets(other)
			}
		}
		return r.fetchTargets(role), nil
	})
	refusal, _ := v.(*tufverify.RefusalError)
	return refusal
}

func (r *Repository) fetchTargets(role string) *tufverify.RefusalError {
	r.mu.Lock()
	f, most, refusal := r.verified.TargetsFile(r.tick(), role)
	r.mu.Unlock()
	if refusal != nil {
		return refusal
	}
	err := r.fetchFile(classTargets, f, most, func(_ context.Context, _ dispatch.Backend, _ int, data []byte) *tufverify.RefusalError {
		refusal = r.update(func(now tufverify.Tick) *tufverify.RefusalError { return r.verified.UpdateTargets(now, role, data) })
		if refusal != nil && refusal.Reason == tufverify.ReasonMissing {
			return nil // the mirror is not to blame
		}
		return refusal
	})
	if err != nil && refusal == nil {
		refusal = &tufverify.RefusalError{Reason: tufverify.ReasonMissing, Repository: r.name, Role: role, Text: err.Error()}
	}
	return refusal
}
