package metadataproxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"silvercove/internal/dispatch"
	"silvercove/internal/logging"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
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

// UpdateMirrors takes the whole list of mirrors.
func (r *Repository) UpdateMirrors(hosts []dispatch.Endpoint) {
	r.dispatcher.UpdateEndpoints(true, hosts)
	here := map[string]bool{}
	for _, h := range hosts {
		here[h.Name] = h.State != "removed"
	}
	r.transportMu.Lock()
	defer r.transportMu.Unlock()
	for name, t := range r.transports {
		if !here[name] {
			t.CloseIdleConnections()
			delete(r.transports, name)
		}
	}
}

// Dispatcher is the mirrors' gate, for a watch of their list.
func (r *Repository) Dispatcher() *dispatch.Dispatcher { return r.dispatcher }

func (r *Repository) closeIdle(name string) {
	r.transportMu.Lock()
	defer r.transportMu.Unlock()
	if t := r.transports[name]; t != nil {
		t.CloseIdleConnections()
	}
}

// transport is the connections to one mirror.
func (r *Repository) transport(u dispatch.Backend) *http.Transport {
	r.transportMu.Lock()
	defer r.transportMu.Unlock()
	t := r.transports[u.Name]
	if t == nil {
		t = &http.Transport{DialContext: (&net.Dialer{Timeout: r.connectTimeout}).DialContext, MaxIdleConnsPerHost: metadatarefresh.MaxIdleMirrorConns,
			MaxIdleConns: metadatarefresh.MaxIdleMirrorConns, IdleConnTimeout: toDuration(metadatarefresh.MirrorIdleTimeout), DisableCompression: true,
			MaxResponseHeaderBytes: 16 << 10}
		r.transports[u.Name] = t
	}
	return t
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

// surveyMirrors asks every mirror for its timestamp until enough have shown one.
func (r *Repository) surveyMirrors(ctx context.Context) error {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wait.C:
		}
		r.mu.Lock()
		done := r.survey.Done
		r.mu.Unlock()
		if done {
			return nil
		}
		ready := r.dispatcher.ReadyBackends()
		var names []string
		for _, u := range ready {
			names = append(names, u.Name)
		}
		var group errgroup.Group
		group.SetLimit(metadatarefresh.SurveyWidth)
		for _, u := range ready {
			group.Go(func() error {
				limited, cancel := context.WithTimeout(ctx, r.timeouts[classTimestamp])
				defer cancel()
				s := r.download(limited, u, "metadata/timestamp.json", tufverify.MaxTimestampSize)
				if s.status != 200 || s.closed.Closed() {
					return nil
				}
				refusal := r.acceptTimestamp(limited, u, s.data)
				r.mu.Lock()
				r.survey.OnTimestamp(u.Name, refusal, names)
				r.mu.Unlock()
				return nil
			})
		}
		_ = group.Wait()
		r.mu.Lock()
		done = r.survey.Done
		next := r.refresh.RetryAfter(r.tick())
		r.mu.Unlock()
		if done {
			r.log(slog.LevelInfo, "mirror survey complete", slog.String("repository", r.name), slog.Int("mirrors", len(ready)))
			return nil
		}
		wait.Reset(toDuration(next))
	}
}

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

// errNoMirror: the module gave a command up.
var errNoMirror = errors.New("no mirror can be asked now")

// attemptResult is how one delivery went: its answer's status, 0 without one that counts, whether it was believed, how its
// connection ended, and what was wrong. over: no other mirror is to be asked.
type attemptResult struct {
	status   int
	accepted bool
	closed   transport.CloseStatus
	err      error
	final    bool
}

// request makes one command: work is done at the mirrors that the gate chooses until one is believed, or until the
// gate, or the client, gives up.
func (r *Repository) request(ctx context.Context, op string, work func(d *dispatch.Attempt) attemptResult) error {
	last := errNoMirror
	cmd, _ := r.dispatcher.Accept(dispatch.Request{Class: op, ReceivedAt: time.Now(), Timeout: r.timeouts[op]})
	defer context.AfterFunc(ctx, func() { r.dispatcher.Abandon(cmd) })()
	for {
		step := r.dispatcher.Next(cmd)
		if step.Attempt == nil {
			return last
		}
		d := step.Attempt
		if metadatarefresh.AttemptTooLate(toTicks(time.Since(d.ChosenAt())), 0) { // as if it had never been chosen
			r.dispatcher.ReportMirror(d, 0, false, transport.CloseStatus{Reason: transport.Canceled})
			continue
		}
		a := work(d)
		if a.err != nil {
			last = fmt.Errorf("mirror %s: %w", d.Name, a.err)
			r.log(slog.LevelWarn, "mirror attempt failed", slog.String("repository", r.name), slog.String("mirror", d.Name),
				slog.String("request_class", op), slog.String("error", a.err.Error()))
		}
		switch {
		case r.dispatcher.ReportMirror(d, a.status, a.accepted, a.closed), a.accepted:
			return nil
		case a.final:
			r.dispatcher.Abandon(cmd)
			return last
		}
	}
}

// fetchFile makes one command of a file.
func (r *Repository) fetchFile(op string, f tufverify.File, most int,
	take func(ctx context.Context, u dispatch.Backend, status int, data []byte) *tufverify.RefusalError) error {
	return r.request(context.Background(), op, func(d *dispatch.Attempt) attemptResult {
		s := r.download(d.Context, d.Backend, "metadata/"+f.String(), most)
		switch {
		case s.closed.Closed():
			return attemptResult{closed: s.closed, err: fmt.Errorf("%s: %s", f, s.closed.Reason)}
		case s.status != 200 && (s.status != 404 || op != classRoot):
			return attemptResult{status: s.status, err: fmt.Errorf("%s: status %d", f, s.status)}
		}
		if refusal := take(d.Context, d.Backend, s.status, s.data); refusal != nil {
			return attemptResult{status: s.status, err: refusal}
		}
		return attemptResult{status: s.status, accepted: true}
	})
}

// mirrorResponse is how one exchange with a mirror went.
type mirrorResponse struct {
	status int
	data   []byte
	closed transport.CloseStatus
}

// download asks a mirror for a whole file.
func (r *Repository) download(ctx context.Context, u dispatch.Backend, path string, most int) (s mirrorResponse) {
	s.status, s.closed = r.roundTrip(ctx, u, path, 0, func(status int, length int64, body io.Reader) transport.CloseStatus {
		if status != 200 {
			return transport.CloseStatus{}
		}
		if length > int64(most) {
			return transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
		}
		data, err := io.ReadAll(io.LimitReader(body, int64(most)+1))
		switch {
		case err != nil:
			return closeStatus(ctx, err, true)
		case len(data) > most:
			return transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
		}
		s.data = data
		return transport.CloseStatus{}
	})
	return s
}

// roundTrip makes one request at a mirror and has its body read, as long as that comes fast enough.
func (r *Repository) roundTrip(ctx context.Context, u dispatch.Backend, path string, from int64,
	read func(status int, length int64, body io.Reader) transport.CloseStatus) (status int, end transport.CloseStatus) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { sent.Store(info.Err == nil) }})
	req, err := http.NewRequestWithContext(traced, http.MethodGet,
		(&url.URL{Scheme: "http", Host: u.Address, Path: "/" + path}).String(), nil)
	if err != nil {
		return 0, transport.CloseStatus{Reason: transport.Malformed}
	}
	if from > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", from))
	}
	if !r.dispatcher.IsCurrent(u) { // it drains since it was chosen
		return 0, transport.CloseStatus{Reason: transport.Canceled}
	}
	r.Attempts.Add(1)
	p := &pacedReader{cancel: cancel, tick: func() tufverify.Tick { return tufverify.FromTime(time.Now()) }}
	p.transfer.Begin(p.tick())
	p.timer = time.AfterFunc(toDuration(p.transfer.NextCheck()-p.tick()), p.stop)
	defer p.timer.Stop()
	resp, err := r.transport(u).RoundTrip(req)
	if err != nil && p.slow.Load() {
		return 0, transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: sent.Load()}
	} else if err != nil {
		return 0, closeStatus(ctx, err, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	p.Reader = resp.Body
	end = read(resp.StatusCode, resp.ContentLength, p)
	if p.slow.Load() {
		return resp.StatusCode, transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: true}
	}
	return resp.StatusCode, end
}

// pacedReader reads a body and calls the exchange off once that comes too slowly.
type pacedReader struct {
	io.Reader
	transfer metadatarefresh.Transfer
	timer    *time.Timer
	cancel   func()
	tick     func() tufverify.Tick
	slow     atomic.Bool
}

func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	now := p.tick()
	if p.transfer.OnBytes(now, int64(n)) && err == nil {
		p.stop()
	}
	p.timer.Reset(toDuration(p.transfer.NextCheck() - now))
	return n, err
}

// addClientStall leaves out what the client, not the mirror, has held things up.
func (p *pacedReader) addClientStall(since tufverify.Tick) {
	now := p.tick()
	p.transfer.OnClientStall(now - since)
	p.timer.Reset(toDuration(p.transfer.NextCheck() - now))
}

func (p *pacedReader) stop() {
	p.slow.Store(true)
	p.cancel()
}

// closeStatus maps an error of the HTTP library to the way in which the connection ended.
func closeStatus(ctx context.Context, err error, sent bool) transport.CloseStatus {
	var op *net.OpError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: sent}
	case ctx.Err() != nil:
		return transport.CloseStatus{Reason: transport.Canceled, Flushed: sent}
	case errors.As(err, &op) && op.Op == "dial" && errors.As(err, &timeout) && timeout.Timeout():
		return transport.CloseStatus{Reason: transport.ConnectTimeout}
	case errors.As(err, &op) && op.Op == "dial":
		return transport.CloseStatus{Reason: transport.Refused}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return transport.CloseStatus{Reason: transport.ClosedByPeer, Flushed: sent}
	case strings.Contains(err.Error(), "malformed"), strings.Contains(err.Error(), "headers exceeded"):
		return transport.CloseStatus{Reason: transport.Malformed, Flushed: sent}
	}
	return transport.CloseStatus{Reason: transport.ConnectionReset, Flushed: sent}
}

// streamTarget passes a package on from mirrors: one that breaks off, is too slow or wrong is followed by another,
// from the byte on that is wanted next.
func (r *Repository) streamTarget(ctx context.Context, t *tufverify.Target, body *tufverify.TargetReader, out *rangeWriter) error {
	r.mu.Lock()
	stored := r.verified.StoredName(t)
	r.mu.Unlock()
	return r.request(ctx, classPackage, func(d *dispatch.Attempt) (a attemptResult) {
		r.dispatcher.StreamStarted(d)
		body.Resume()
		from := body.NextOffset()
		a.status, a.closed = r.roundTrip(d.Context, d.Backend, "targets/"+stored, from, func(status int, _ int64, in io.Reader) transport.CloseStatus {
			if status == http.StatusOK && from > 0 { // it gives the whole: leave out what was had
				if _, err := io.CopyN(io.Discard, in, from); err != nil {
					return closeStatus(d.Context, err, true)
				}
			} else if status != http.StatusOK && status != http.StatusPartialContent {
				return transport.CloseStatus{}
			}
			var end transport.CloseStatus
			end, a.err = r.copyVerified(d.Context, in.(*pacedReader), body, out)
			return end
		})
		switch whole := body.Done() || out.done(); {
		case out.disconnected:
			return attemptResult{closed: transport.CloseStatus{Reason: transport.Canceled, Flushed: true}, err: errClientGone, final: true}
		case whole:
			return attemptResult{status: a.status, accepted: true}
		case a.closed.Closed():
			a.status = 0
			a.err = cmp.Or(a.err, fmt.Errorf("%s from byte %d: %s", t.Path, from, a.closed.Reason))
		case a.status == http.StatusOK || a.status == http.StatusPartialContent:
			a.status, a.closed = 0, transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
			a.err = fmt.Errorf("%s from byte %d: half a file", t.Path, from)
		default:
			a.err = fmt.Errorf("%s: status %d", t.Path, a.status)
		}
		a.final = body.Corrupt()
		return a
	})
}

// copyVerified verifies what comes and passes it on.
func (r *Repository) copyVerified(ctx context.Context, in *pacedReader, body *tufverify.TargetReader, out *rangeWriter) (transport.CloseStatus, error) {
	buf := make([]byte, 32<<10)
	for body.Remaining() > 0 && !out.done() {
		n, err := in.Read(buf)
		if n > 0 {
			if refused := body.Write(buf[:n], func(p []byte) error {
				since := in.tick()
				err := out.write(p)
				in.addClientStall(since)
				return err
			}); refused != nil {
				return transport.CloseStatus{Reason: transport.Malformed, Flushed: true}, refused
			}
		}
		if errors.Is(err, io.EOF) {
			return transport.CloseStatus{}, nil
		}
		if err != nil {
			return closeStatus(ctx, err, true), err
		}
	}
	return transport.CloseStatus{}, nil
}

// RepoStatus is how one repository stands.
type RepoStatus struct {
	Name      string
	Root      int64 // versions held, 0 for none
	Timestamp int64
	Snapshot  int64
	Targets   int64
	Expires   time.Time        // the earliest end of what is held
	Surveyed  bool             // a majority of mirrors has shown its timestamp
	Refused   map[string]int64 // by reason
	Mirrors   int              // mirrors that may be asked now
	Attempts  int64            `json:"Deliveries"` // requests sent to mirrors
}

func (r *Repository) status() RepoStatus {
	ready := len(r.dispatcher.ReadyBackends())
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RepoStatus{Name: r.name, Root: r.verified.Version("root"), Timestamp: r.verified.Version("timestamp"),
		Snapshot: r.verified.Version("snapshot"), Targets: r.verified.Version("targets"), Expires: r.verified.Expires().Time(),
		Surveyed: r.survey.Done, Refused: map[string]int64{}, Mirrors: ready, Attempts: r.Attempts.Load()}
	for why, n := range r.verified.Refused {
		if n > 0 {
			s.Refused[tufverify.Reason(why).String()] = n
		}
	}
	return s
}
