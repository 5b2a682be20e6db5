// Package metadataservice runs a metadata proxy as an operator's configuration file describes it: it opens the version store,
// the repositories and the Director that the file names, listens, and applies a changed file while it runs.
package metadataservice

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/director"
	"silvercove/internal/logging"
	"silvercove/internal/metadataproxy"
	"silvercove/internal/monotonic"
	"silvercove/internal/operatorconfig"
	"silvercove/internal/transport"
	"silvercove/internal/tufverify"
)

// bufferBudget is the maximum size of the buffers of all connections to discovery agents and the release API, in bytes.
const bufferBudget = 64 << 20

// errNoMetadataBlock is the error of New for a file without a metadata block. That block enables the proxy.
var errNoMetadataBlock = errors.New("no metadata block: the metadata proxy is not enabled")

// errProxyEnded is the error of Run if the proxy ended before the context did.
var errProxyEnded = errors.New("the metadata proxy ended unexpectedly")

// Service is the metadata proxy that an operator's configuration file describes. Reload may be called while Run runs;
// Address and Director are safe for concurrent use.
type Service struct {
	// Proxy handles the requests of clients. New sets it.
	Proxy *metadataproxy.Proxy

	path         string // path of the operator's file
	log          zerolog.Logger
	env          func(string) string
	now          func() time.Time
	store        versionStore
	closeStore   func() error
	repositories map[string]*metadataproxy.Repository // by name
	director     *director.Director                   // nil if none is configured
	buffers      *transport.BufferBudget
	tasks        []func(ctx context.Context) error // tasks for discovery and the release API; Run owns their goroutines
	listener     net.Listener

	mu         sync.Mutex // guards config and publicKeys after New has returned
	config     *config
	publicKeys map[string]publicKeyFile // public keys of servers, by path
}

// versionStore is the common interface of a version store in memory and a version store on disk.
type versionStore interface {
	tufverify.VersionStore
	Entries() []monotonic.Entry
}

// New reads an operator's file and assembles the service. The service listens once New has returned; the caller must call Run,
// which closes the listener and the version store. env returns the value of an environment variable, and now returns the current
// time.
func New(path string, env func(string) string, now func() time.Time, log zerolog.Logger) (*Service, error) {
	blocks, err := operatorconfig.OperatorTable.Read(path)
	if err != nil {
		return nil, err
	}
	block, ok := blocks["metadata"].(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%s: %w", path, errNoMetadataBlock)
	}
	s := &Service{
		path:         path,
		log:          log,
		env:          env,
		now:          now,
		config:       newConfig(block),
		closeStore:   func() error { return nil },
		repositories: map[string]*metadataproxy.Repository{},
		buffers:      transport.NewBufferBudget(bufferBudget),
	}
	if err := s.assemble(); err != nil {
		_ = s.closeStore()
		return nil, err
	}
	if s.listener, err = net.Listen("tcp", s.config.listen); err != nil {
		_ = s.closeStore()
		return nil, err
	}
	return s, nil
}

// Address returns the address on which the service listens, as HOST:PORT.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Director returns the service's Director, or nil if none is configured.
func (s *Service) Director() *director.Director { return s.director }

// resolvePath resolves a path of the operator's file. A relative path is relative to the directory of the file.
func (s *Service) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.path), path)
}

// assemble creates the version store, the repositories, the proxy and the Director that the configuration names.
func (s *Service) assemble() error {
	if err := s.openVersionStore(); err != nil {
		return err
	}
	var repositories []*metadataproxy.Repository
	for _, c := range s.config.repositories {
		r, err := s.addRepository(c)
		if err != nil {
			return err
		}
		repositories = append(repositories, r)
	}
	s.Proxy = metadataproxy.New(repositories, s.now, logging.Leveled(s.log, "metadataproxy"), s.config.maxConnections,
		s.config.maxInFlight)
	for _, c := range s.config.repositories {
		if c.imageRepository == "" {
			continue
		}
		if err := s.Proxy.RequireAgreement(c.name, c.imageRepository); err != nil {
			return err
		}
	}
	if s.config.director == nil {
		return nil
	}
	return s.addDirector(s.config.director)
}

// openVersionStore opens the files of the version store, or creates a version store in memory if no file is configured.
func (s *Service) openVersionStore() error {
	log := logging.Leveled(s.log, "metadataservice")
	if len(s.config.versionStorePaths) == 0 {
		log(slog.LevelWarn, "no version store configured")
		s.store = monotonic.NewMemoryStore(s.config.versionStoreEntries)
		return nil
	}
	var paths []string
	for _, path := range s.config.versionStorePaths {
		paths = append(paths, s.resolvePath(path))
	}
	store, err := monotonic.Open(paths, s.config.versionStoreEntries, logging.Leveled(s.log, "monotonic"))
	if err != nil {
		return err
	}
	if store.Created {
		log(slog.LevelWarn, "version store created", slog.Any("paths", paths))
	}
	s.store, s.closeStore = store, store.Close
	return nil
}

// Run serves until the context ends, then closes the listener and the version store. It owns the goroutines of the proxy, the
// discovery watchers and the release API's client, and returns once all of them have ended.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	shutdownTimeout := s.config.packageDeadline
	s.mu.Unlock()
	group, groupCtx := errgroup.WithContext(ctx)
	for _, task := range s.tasks {
		group.Go(func() error { return task(groupCtx) })
	}
	group.Go(func() error {
		err := s.Proxy.Run(groupCtx, s.listener, shutdownTimeout)
		if err == nil && ctx.Err() == nil {
			return errProxyEnded
		}
		return err
	})
	err := group.Wait()
	return errors.Join(err, s.closeStore())
}
