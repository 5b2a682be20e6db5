// Package metadataproxy is an HTTP/1.1 proxy for TUF repositories and an Uptane Director. Servers of a fleet ask it for
// metadata and packages; it verifies both and fetches them from the repositories' mirrors. Package tufverify decides what
// is valid, package metadatarefresh when mirrors are asked and what a client is answered, and a dispatcher for each
// repository which mirror is asked.
//
// A caller makes a Repository for each repository and a Proxy over them, adds a Director if there is one, and calls Run.
//
// Invariant: nothing that tufverify refuses is passed on. A client gets current metadata with status 200, or one other
// final answer at once.
package metadataproxy

import (
	"context"
	"crypto"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/director"
	"silvercove/internal/logging"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/tufverify"
)

// Proxy serves the repositories and the Director. New makes it; the set-up methods are called before Run, ServeHTTP,
// Status and SetKeys are safe for concurrent use.
type Proxy struct {
	now             func() time.Time
	log             logging.Func
	repositories    map[string]*Repository // by name
	director        *director.Director     // nil without one
	imageRepository string                 // the repository that the Director's packages are of
	reportShards    []*reportShard
	maxConnections  int // of clients, at once

	mu      sync.Mutex // guards limiter
	limiter *metadatarefresh.ClientLimiter

	Counts Counts
}

// reportShard verifies the reports of a part of the fleet, one at a time.
type reportShard struct {
	mu       sync.Mutex // guards verifier
	verifier *tufverify.ReportVerifier
}

// reportShardCount is how many reports may be verified at once. Concurrent ones are made durable by one write.
const reportShardCount = 64

// maxRequestHeader bounds the header of a client's request, in bytes.
const maxRequestHeader = 16 << 10

// New makes a proxy for repositories. maxConnections bounds the clients' connections, maxInFlight the requests that wait
// for mirrors or are being sent a package; more are answered 503.
func New(repositories []*Repository, now func() time.Time, log logging.Func, maxConnections, maxInFlight int) *Proxy {
	p := &Proxy{
		now:            now,
		log:            log,
		repositories:   map[string]*Repository{},
		maxConnections: maxConnections,
		limiter:        metadatarefresh.NewClientLimiter(maxInFlight),
	}
	for _, r := range repositories {
		p.repositories[r.name] = r
		r.counts = &p.Counts
	}
	return p
}

// SetDirector adds a Director, before Run. image names the repository that its packages are of, keys are its servers'
// public keys by server; the counters of their reports are recorded in store.
func (p *Proxy) SetDirector(d *director.Director, image string, store tufverify.VersionStore, keys map[string]crypto.PublicKey) error {
	if p.repositories[image] == nil {
		return fmt.Errorf("director: no repository %s", image)
	}
	p.director, p.imageRepository = d, image
	for range reportShardCount {
		p.reportShards = append(p.reportShards, &reportShard{verifier: tufverify.NewReportVerifier(store, keys)})
	}
	return nil
}

// SetKeys replaces the servers' public keys. What was recorded of their reports stays.
func (p *Proxy) SetKeys(keys map[string]crypto.PublicKey) {
	for _, s := range p.reportShards {
		s.mu.Lock()
		s.verifier.SetKeys(keys)
		s.mu.Unlock()
	}
}

// RequireAgreement has the targets of a mirrored Director repository served only while an image repository agrees with
// each of them (Uptane Standard 2.1, section 5.4.4.2). Call it before Run.
func (p *Proxy) RequireAgreement(director, image string) error {
	directorRepository, imageRepository := p.repositories[director], p.repositories[image]
	if directorRepository == nil || imageRepository == nil || directorRepository == imageRepository {
		return fmt.Errorf("agree: %s and %s are not two repositories", director, image)
	}
	directorRepository.imageRepository = imageRepository
	return nil
}

// Run serves until the context ends, then lets requests in flight end within shutdownTimeout. It owns the goroutines of
// the listener, the repositories and the Director, and returns once all have ended.
func (p *Proxy) Run(ctx context.Context, listener net.Listener, shutdownTimeout time.Duration) error {
	server := &http.Server{
		Handler:           p,
		ReadHeaderTimeout: toDuration(metadatarefresh.ClientHeaderTimeout),
		ReadTimeout:       toDuration(metadatarefresh.ClientBodyTimeout),
		IdleTimeout:       toDuration(metadatarefresh.ClientIdleTimeout),
		MaxHeaderBytes:    maxRequestHeader,
	}
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, inner := errgroup.WithContext(base)
	for _, r := range p.repositories {
		group.Go(func() error { return r.run(inner) })
	}
	if p.director != nil {
		group.Go(func() error { return p.director.Run(inner) })
	}
	group.Go(func() error {
		err := server.Serve(netutil.LimitListener(listener, p.maxConnections))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
		}
		drain, done := context.WithTimeout(context.Background(), shutdownTimeout)
		defer done()
		if server.Shutdown(drain) != nil {
			_ = server.Close()
		}
		cancel() // repositories end last, as requests in flight need mirrors
		return nil
	})
	return group.Wait()
}
