package metadataproxy

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"silvercove/internal/dispatch"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/tufverify"
)

// UpdateMirrors replaces the list of mirrors, and closes the idle connections to mirrors that were removed.
func (r *Repository) UpdateMirrors(mirrors []dispatch.Endpoint) {
	r.dispatcher.UpdateEndpoints(true, mirrors)
	listed := map[string]bool{}
	for _, mirror := range mirrors {
		listed[mirror.Name] = mirror.State != "removed"
	}
	r.transportMu.Lock()
	defer r.transportMu.Unlock()
	for name, t := range r.transports {
		if !listed[name] {
			t.CloseIdleConnections()
			delete(r.transports, name)
		}
	}
}

// maxResponseHeader is the maximum size of the header of a mirror's response, in bytes.
const maxResponseHeader = 16 << 10

// Dispatcher returns the mirrors' dispatcher. A watcher of the mirrors' endpoint list passes changes of the list to the
// dispatcher.
func (r *Repository) Dispatcher() *dispatch.Dispatcher { return r.dispatcher }

func (r *Repository) closeIdle(name string) {
	r.transportMu.Lock()
	defer r.transportMu.Unlock()
	if t := r.transports[name]; t != nil {
		t.CloseIdleConnections()
	}
}

// transport returns the connection pool of one mirror, which it creates on first use.
func (r *Repository) transport(mirror dispatch.Backend) *http.Transport {
	r.transportMu.Lock()
	defer r.transportMu.Unlock()
	t := r.transports[mirror.Name]
	if t == nil {
		t = &http.Transport{
			DialContext:            (&net.Dialer{Timeout: r.connectTimeout}).DialContext,
			MaxIdleConnsPerHost:    metadatarefresh.MaxIdleMirrorConns,
			MaxIdleConns:           metadatarefresh.MaxIdleMirrorConns,
			IdleConnTimeout:        toDuration(metadatarefresh.MirrorIdleTimeout),
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeader,
		}
		r.transports[mirror.Name] = t
	}
	return t
}

// surveyMirrors repeatedly asks every ready mirror for its timestamp until the survey is complete.
func (r *Repository) surveyMirrors(ctx context.Context) error {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wait.C:
		}
		if r.surveyDone() {
			return nil
		}
		asked := r.surveyRound(ctx)
		r.mu.Lock()
		done := r.survey.Done
		next := r.refresh.RetryAfter(r.tick())
		r.mu.Unlock()
		if done {
			r.log(slog.LevelInfo, "mirror survey complete", slog.String("repository", r.name), slog.Int("mirrors", asked))
			return nil
		}
		wait.Reset(toDuration(next))
	}
}

func (r *Repository) surveyDone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.survey.Done
}

// surveyRound asks each ready mirror once, SurveyConcurrency of them at a time, and returns the
// number of ready mirrors.
func (r *Repository) surveyRound(ctx context.Context) (asked int) {
	ready := r.dispatcher.ReadyBackends()
	var names []string
	for _, mirror := range ready {
		names = append(names, mirror.Name)
	}
	var group errgroup.Group
	group.SetLimit(metadatarefresh.SurveyConcurrency)
	for _, mirror := range ready {
		group.Go(func() error {
			r.surveyMirror(ctx, mirror, names)
			return nil
		})
	}
	_ = group.Wait()
	return len(ready)
}

// surveyMirror asks one mirror for its timestamp. names are the names of all ready mirrors.
func (r *Repository) surveyMirror(ctx context.Context, mirror dispatch.Backend, names []string) {
	ctx, cancel := context.WithTimeout(ctx, r.timeouts[classTimestamp])
	defer cancel()
	response := r.download(ctx, mirror, "metadata/timestamp.json", tufverify.MaxTimestampSize)
	if response.status != http.StatusOK || response.closed.Closed() {
		return
	}
	refusal := r.acceptTimestamp(ctx, mirror, response.data)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.survey.OnTimestamp(mirror.Name, refusal, names)
}
