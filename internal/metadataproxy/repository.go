package metadataproxy

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"silvercove/internal/dispatch"
	"silvercove/internal/logging"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/settings"
	"silvercove/internal/tufverify"
)

// Request classes of the mirrors' dispatcher. They must be named in its settings.
const (
	classRoot      = "root"
	classTimestamp = "timestamp"
	classSnapshot  = "snapshot"
	classTargets   = "targets"
	classPackage   = "package"
)

// RequestClasses are the names that the settings of a mirrors' dispatcher must have.
var RequestClasses = []string{classRoot, classTimestamp, classSnapshot, classTargets, classPackage}

// Repository is one TUF repository that is verified and proxied. Its methods are safe for concurrent use.
type Repository struct {
	name            string
	now             func() time.Time
	log             logging.Func
	timeouts        map[string]time.Duration // by request class
	connectTimeout  time.Duration
	freshFor        time.Duration // a timestamp counts as current for so long
	dispatcher      *dispatch.Dispatcher
	imageRepository *Repository // the image repository of a mirrored Director repository, else nil
	counts          *Counts
	fetchGroup      singleflight.Group // a refresh, and a fetch of a role, that several requests wait for

	mu           sync.Mutex // guards verified, refresh, survey and watchedPaths
	verified     *tufverify.Repository
	refresh      *metadatarefresh.Refresh
	survey       *metadatarefresh.MirrorSurvey
	watchedPaths []string // see KeepLookedUp

	transportMu sync.Mutex                 // guards transports
	transports  map[string]*http.Transport // by mirror

	Attempts atomic.Int64 // requests sent to mirrors
}

// MirrorConfig is how the mirrors of a repository are asked. It has no defaults: every field but Survey must be set.
type MirrorConfig struct {
	Seed           uint64                                    // of the random draws of dispatcher and backoff
	Settings       settings.Site                             // of the dispatcher
	FreshFor       time.Duration                             // a timestamp counts as current for so long
	UnconfirmedFor time.Duration                             // and for so long while no mirror can be asked
	Survey         bool                                      // serve nothing until a majority of the mirrors has shown its timestamp
	Endpoints      []dispatch.Endpoint                       // the mirrors
	DispatchLog    func(message string, fields ...slog.Attr) // writes the lines of the mirrors' dispatcher
}

// NewRepository makes a repository from its pinned root metadata. Versions seen are recorded in store, which outlives the
// process. Its error wraps a tufverify.RefusalError where the pinned root is not valid.
func NewRepository(name string, pinned []byte, store tufverify.VersionStore, config MirrorConfig, now func() time.Time,
	log logging.Func) (*Repository, error) {
	verified, err := tufverify.New(name, store, tufverify.FromTime(now()), pinned)
	if err != nil {
		return nil, fmt.Errorf("repository %s: pinned root: %w", name, err)
	}
	verified.Log = log
	r := &Repository{
		name:           name,
		now:            now,
		log:            log,
		timeouts:       map[string]time.Duration{},
		connectTimeout: config.Settings.Balancer.Limits.ConnectTimeout.Duration(),
		freshFor:       config.FreshFor,
		counts:         &Counts{},
		verified:       verified,
		refresh:        metadatarefresh.NewRefresh(toTicks(config.FreshFor), toTicks(config.UnconfirmedFor), config.Seed),
		survey:         metadatarefresh.NewMirrorSurvey(config.Survey),
		transports:     map[string]*http.Transport{},
	}
	for _, class := range config.Settings.Balancer.Classes {
		r.timeouts[class.Name] = class.Deadline.Duration()
	}
	for _, class := range RequestClasses {
		if r.timeouts[class] <= 0 {
			return nil, fmt.Errorf("repository %s: no request class %s", name, class)
		}
	}
	r.dispatcher = dispatch.New(config.Seed, config.Settings, dispatch.Callbacks{
		Vote:           func(dispatch.Vote) {},
		WatchEndpoints: func(bool) {},
		FetchEndpoints: func() {},
		Probe:          func(dispatch.Backend) {},
		CloseIdle:      r.closeIdle,
		Log:            config.DispatchLog,
	})
	r.UpdateMirrors(config.Endpoints)
	return r, nil
}

func (r *Repository) tick() tufverify.Tick { return tufverify.FromTime(r.now()) }

func (r *Repository) retryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toDuration(r.refresh.RetryAfter(r.tick()))
}

// run owns the goroutines of the dispatcher's timers, the clock, the survey and the repeated look-ups, and closes the
// mirrors' connections at its end.
func (r *Repository) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.dispatcher.RunTimers(ctx) })
	group.Go(func() error { return r.advanceTime(ctx) })
	group.Go(func() error { return r.surveyMirrors(ctx) })
	group.Go(func() error { return r.lookUpWatched(ctx) })
	err := group.Wait()
	r.transportMu.Lock()
	defer r.transportMu.Unlock()
	for _, t := range r.transports {
		t.CloseIdleConnections()
	}
	return err
}

// advanceTime tells the verified state each second what time it is.
func (r *Repository) advanceTime(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.mu.Lock()
			r.verified.AdvanceTime(r.tick())
			r.mu.Unlock()
		}
	}
}
