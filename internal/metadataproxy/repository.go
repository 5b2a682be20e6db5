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

// Request classes of the mirrors' dispatcher. The settings of the dispatcher must configure each of them.
const (
	classRoot      = "root"
	classTimestamp = "timestamp"
	classSnapshot  = "snapshot"
	classTargets   = "targets"
	classPackage   = "package"
)

// RequestClasses are the names of the request classes that the settings of a mirrors' dispatcher must configure.
var RequestClasses = []string{classRoot, classTimestamp, classSnapshot, classTargets, classPackage}

// Repository is one TUF repository whose files are verified and proxied. Its methods are safe for concurrent use.
type Repository struct {
	name            string
	now             func() time.Time
	log             logging.Func
	timeouts        map[string]time.Duration // timeouts of requests to mirrors, by request class
	connectTimeout  time.Duration
	freshFor        time.Duration // how long a timestamp is served without asking a mirror again
	dispatcher      *dispatch.Dispatcher
	imageRepository *Repository // image repository that must agree with this mirrored Director repository; nil if none must agree
	counts          *Counts
	fetchGroup      singleflight.Group // shares one refresh, or one fetch of a role, among concurrent requests

	mu           sync.Mutex // guards verified, refresh, survey and watchedPaths
	verified     *tufverify.Repository
	refresh      *metadatarefresh.Refresh
	survey       *metadatarefresh.MirrorSurvey
	watchedPaths []string // see WatchTargets

	transportMu sync.Mutex                 // guards transports
	transports  map[string]*http.Transport // connection pools, by name of the mirror

	Attempts atomic.Int64 // requests sent to mirrors
}

// MirrorConfig configures how the mirrors of a repository are asked. It has no defaults: every field but Survey must be set.
type MirrorConfig struct {
	Seed           uint64                                    // seed of the random numbers of the dispatcher and the backoff
	Settings       settings.Site                             // settings of the dispatcher
	FreshFor       time.Duration                             // how long a timestamp is served without asking a mirror again
	UnconfirmedFor time.Duration                             // how long a timestamp is served while no mirror can be asked
	Survey         bool                                      // serve only roots until the survey is complete (see metadatarefresh.MirrorSurvey)
	Endpoints      []dispatch.Endpoint                       // the mirrors
	DispatchLog    func(message string, fields ...slog.Attr) // writes the log lines of the mirrors' dispatcher
}

// NewRepository returns a Repository that trusts the given pinned root metadata. It records in store the versions that
// it has seen; store must survive the process. If the pinned root is not valid, the error wraps a
// tufverify.RefusalError.
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
			return nil, fmt.Errorf("repository %s: request class %s is not configured", name, class)
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

// run owns the goroutines of the dispatcher's timers, the clock, the survey and the periodic look-ups. It closes the idle
// connections to mirrors at its end.
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

// advanceTime advances the trusted time of r.verified each second.
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
