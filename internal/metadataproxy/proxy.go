// Package metadataproxy is an HTTP/1.1 proxy for TUF repositories and an Uptane Director. The servers of a fleet
// request metadata and packages from the proxy, which fetches them from the repositories' mirrors and verifies them.
// Package tufverify decides what is valid, package metadatarefresh decides when mirrors are asked and what response a
// client gets, and a dispatcher per repository decides which mirror is asked.
//
// A caller creates a Repository for each repository and a Proxy for all of them, adds a Director if there is one, and
// calls Run.
//
// Invariant: the proxy passes on only what tufverify accepts. A client that requests metadata gets exactly one
// final response: current metadata with status 200, or a response with another status.
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

// Proxy serves the repositories and the Director. New creates it. SetDirector and RequireAgreement must be called before
// Run. ServeHTTP, Status and SetKeys are safe for concurrent use.
type Proxy struct {
	now             func() time.Time
	log             logging.Func
	repositories    map[string]*Repository // keyed by repository name
	director        *director.Director     // nil if there is none
	imageRepository string                 // name of the image repository of the Director's packages
	reportShards    []*reportShard
	maxConnections  int // maximum number of client connections

	mu      sync.Mutex // guards limiter
	limiter *metadatarefresh.ClientLimiter

	Counts Counts
}

// reportShard verifies the reports of a subset of the servers, one at a time.
type reportShard struct {
	mu       sync.Mutex // guards verifier
	verifier *tufverify.ReportVerifier
}

// reportShardCount is the maximum number of reports that are verified concurrently. If reports of several servers are
// verified concurrently, the version store can make their counters durable in one write.
const reportShardCount = 64

// maxRequestHeader is the maximum size of the header of a client's request, in bytes.
const maxRequestHeader = 16 << 10

// New returns a Proxy for the given repositories. maxConnections limits the client connections. maxInFlight limits the
// requests that are waiting for mirrors or downloading a package; further requests get status 503.
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

// SetDirector adds a Director. It must be called before Run. image is the name of the repository that has the Director's
// packages. keys are the servers' public keys by server name. The counters of the servers' reports are recorded in store.
func (p *Proxy) SetDirector(d *director.Director, image string, store tufverify.VersionStore, keys map[string]crypto.PublicKey) error {
	if p.repositories[image] == nil {
		return fmt.Errorf("director: no repository named %s", image)
	}
	p.director, p.imageRepository = d, image
	for range reportShardCount {
		p.reportShards = append(p.reportShards, &reportShard{verifier: tufverify.NewReportVerifier(store, keys)})
	}
	return nil
}

// SetKeys replaces the servers' public keys. The recorded counters of their reports stay.
func (p *Proxy) SetKeys(keys map[string]crypto.PublicKey) {
	for _, s := range p.reportShards {
		s.mu.Lock()
		s.verifier.SetKeys(keys)
		s.mu.Unlock()
	}
}

// RequireAgreement sets a condition for the targets metadata of the repository named director, a mirrored Director
// repository. The proxy serves these metadata only while the repository named image lists each target in them with the
// same content and version (Uptane Standard 2.1, section 5.4.4.2). RequireAgreement must be called before Run.
func (p *Proxy) RequireAgreement(director, image string) error {
	directorRepository, imageRepository := p.repositories[director], p.repositories[image]
	if directorRepository == nil || imageRepository == nil || directorRepository == imageRepository {
		return fmt.Errorf("agree: %s and %s do not name two different repositories", director, image)
	}
	directorRepository.imageRepository = imageRepository
	return nil
}

// Run serves until the context ends. It then waits for requests in flight for at most shutdownTimeout. Run owns the
// goroutines of the listener, the repositories and the Director, and returns once all of them have ended.
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
	group, groupCtx := errgroup.WithContext(base)
	for _, r := range p.repositories {
		group.Go(func() error { return r.run(groupCtx) })
	}
	if p.director != nil {
		group.Go(func() error { return p.director.Run(groupCtx) })
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
		case <-groupCtx.Done():
		}
		shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancelShutdown()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
		cancel() // end the repositories last, because requests in flight need mirrors
		return nil
	})
	return group.Wait()
}
