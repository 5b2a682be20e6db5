// Package metadataproxy is the metadata front: servers ask it over HTTP/1.1 for the metadata and packages of
// repositories, and for what a Director tells them; it asks the repositories' mirrors. Each repository's
// mirrors are the units of a gate of its own. What may be believed and passed on is decided by package trust,
// when mirrors are asked and what a client is told by package exchange, which mirror by the gate.
//
// Nothing that trust refuses is ever passed on: a client gets what is current now with status 200, or
// one other final answer at once.
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

// Proxy is the front.
type Proxy struct {
	now             func() time.Time
	log             logging.Func
	repositories    map[string]*Repository
	director        *director.Director
	imageRepository string // the repository that the Director's packages are of
	reportShards    []*reportShard
	maxConnections  int // connections

	mu      sync.Mutex
	limiter *metadatarefresh.ClientLimiter

	Counts Counts
}

// reportShard is a part of the fleet whose reports are taken one at a time.
type reportShard struct {
	mu       sync.Mutex
	verifier *tufverify.ReportVerifier
}

const reportShardCount = 64 // so that the reports of many servers are made durable together

// New makes a front for repositories. At most so many connections are open, and so many requests wait for
// mirrors or are being passed a package.
func New(repos []*Repository, now func() time.Time, log logging.Func, connections, waiting int) *Proxy {
	p := &Proxy{now: now, log: log, repositories: map[string]*Repository{}, maxConnections: connections,
		limiter: metadatarefresh.NewClientLimiter(waiting)}
	for _, r := range repos {
		p.repositories[r.name] = r
		r.counts = &p.Counts
	}
	return p
}

// SetDirector adds a Director: its packages are those of the image repository, keys are its servers' by name.
func (p *Proxy) SetDirector(d *director.Director, image string, floor tufverify.VersionStore, keys map[string]crypto.PublicKey) error {
	if p.repositories[image] == nil {
		return fmt.Errorf("director: no repository %s", image)
	}
	p.director, p.imageRepository = d, image
	for range reportShardCount {
		p.reportShards = append(p.reportShards, &reportShard{verifier: tufverify.NewReportVerifier(floor, keys)})
	}
	return nil
}

// SetKeys replaces the servers' keys.
func (p *Proxy) SetKeys(keys map[string]crypto.PublicKey) {
	for _, s := range p.reportShards {
		s.mu.Lock()
		s.verifier.SetKeys(keys)
		s.mu.Unlock()
	}
}

// RequireAgreement has the targets of one repository passed on only where another agrees with each of them.
func (p *Proxy) RequireAgreement(director, image string) error {
	a, b := p.repositories[director], p.repositories[image]
	if a == nil || b == nil || a == b {
		return fmt.Errorf("agree: %s and %s are not two repositories", director, image)
	}
	a.agreesWith = b
	return nil
}

// Run serves until the context ends, then lets requests under way end within their own limits.
func (p *Proxy) Run(ctx context.Context, listener net.Listener, longest time.Duration) error {
	server := &http.Server{Handler: p, ReadHeaderTimeout: toDuration(metadatarefresh.ClientHeaderTimeout),
		ReadTimeout: toDuration(metadatarefresh.ClientBodyTimeout), IdleTimeout: toDuration(metadatarefresh.ClientIdleTimeout), MaxHeaderBytes: 16 << 10}
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
		last, done := context.WithTimeout(context.Background(), longest)
		defer done()
		if server.Shutdown(last) != nil {
			_ = server.Close()
		}
		cancel() // mirrors are needed as long as there are requests
		return nil
	})
	return group.Wait()
}
