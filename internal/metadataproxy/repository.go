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

// Repository is one repository that is carried.
type Repository struct {
	name           string
	now            func() time.Time
	log            logging.Func
	timeouts       map[string]time.Duration // by op type
	connectTimeout time.Duration
	freshFor       time.Duration
	dispatcher     *dispatch.Dispatcher
	agreesWith     *Repository
	counts         *Counts
	shared         singleflight.Group

	mu           sync.Mutex // guards what follows
	verified     *tufverify.Repository
	refresh      *metadatarefresh.Refresh
	survey       *metadatarefresh.MirrorSurvey
	watchedPaths []string

	transportMu sync.Mutex
	transports  map[string]*http.Transport

	Attempts atomic.Int64
}

// MirrorConfig is how the mirrors of a repository are spoken with.
type MirrorConfig struct {
	Seed           uint64
	Settings       settings.Site // of the gate
	FreshFor       time.Duration // a timestamp is taken for current for so long
	UnconfirmedFor time.Duration // and for so long while no mirror can be asked
	Survey         bool          // ask a majority of the mirrors after the start
	Endpoints      []dispatch.Endpoint
	DispatchLog    func(message string, fields ...slog.Attr) // writes the lines of the mirrors' dispatcher
}

// NewRepository makes a repository from its pinned root.
func NewRepository(name string, pinned []byte, floor tufverify.VersionStore, m MirrorConfig, now func() time.Time, log logging.Func) (*Repository, error) {
	believed, err := tufverify.New(name, floor, tufverify.FromTime(now()), pinned)
	if err != nil {
		return nil, fmt.Errorf("repository %s: pinned root: %w", name, err)
	}
	believed.Log = log
	r := &Repository{name: name, now: now, log: log, timeouts: map[string]time.Duration{}, verified: believed,
		freshFor: m.FreshFor, refresh: metadatarefresh.NewRefresh(toTicks(m.FreshFor), toTicks(m.UnconfirmedFor), m.Seed),
		survey: metadatarefresh.NewMirrorSurvey(m.Survey), transports: map[string]*http.Transport{}, counts: &Counts{}}
	for _, class := range m.Settings.Balancer.Classes {
		r.timeouts[class.Name] = class.Deadline.Duration()
	}
	for _, op := range RequestClasses {
		if r.timeouts[op] <= 0 {
			return nil, fmt.Errorf("repository %s: no op type %s", name, op)
		}
	}
	r.connectTimeout = m.Settings.Balancer.Limits.ConnectTimeout.Duration()
	r.dispatcher = dispatch.New(m.Seed, m.Settings, dispatch.Callbacks{Vote: func(dispatch.Vote) {}, WatchEndpoints: func(bool) {}, FetchEndpoints: func() {},
		Probe: func(dispatch.Backend) {}, CloseIdle: r.closeIdle,
		Log: m.DispatchLog})
	r.UpdateMirrors(m.Endpoints)
	return r, nil
}

func toTicks(d time.Duration) tufverify.Tick { return tufverify.Tick(d / (100 * time.Microsecond)) }

func (r *Repository) tick() tufverify.Tick { return tufverify.FromTime(r.now()) }

func (r *Repository) retryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toDuration(r.refresh.RetryAfter(r.tick()))
}

// run owns the gate's alarms, the time that passes, the survey, and the mirrors' connections.
func (r *Repository) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.dispatcher.RunTimers(ctx) })
	group.Go(func() error {
		beat := time.NewTicker(time.Second)
		defer beat.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-beat.C:
				r.mu.Lock()
				r.verified.AdvanceTime(r.tick())
				r.mu.Unlock()
			}
		}
	})
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
