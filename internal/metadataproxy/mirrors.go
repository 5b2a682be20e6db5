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
