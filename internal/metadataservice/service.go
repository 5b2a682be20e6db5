// Package metadataservice runs the metadata proxy of one operator's file: it opens the version store, the repositories and
// the Director that the file names, listens, and takes a changed file while it runs.
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

// bufferBudget bounds the memory of connections to discovery agents and the release API, in bytes.
const bufferBudget = 64 << 20

// errNoMetadataBlock is the error of New for a file that does not switch the proxy on.
var errNoMetadataBlock = errors.New("no metadata block: nothing is switched on")

// errProxyEnded is the error of Run where the proxy ended without being asked to.
var errProxyEnded = errors.New("the front has ended by itself")

// Service is the metadata proxy of one operator's file. Reload may be called while Run runs; Address and Director are safe
// for concurrent use.
type Service struct {
	// Proxy is set by New.
	Proxy *metadataproxy.Proxy

	path         string // of the operator's file
	log          zerolog.Logger
	env          func(string) string
	now          func() time.Time
	store        versionStore
	closeStore   func() error
	repositories map[string]*metadataproxy.Repository // by name
	director     *director.Director                   // nil without one
	buffers      *transport.BufferBudget
	tasks        []func(ctx context.Context) error // of discovery and the release API; Run owns their goroutines
	listener     net.Listener

	mu         sync.Mutex // guards config and publicKeys once New has returned
	config     *config
	publicKeys map[string]publicKeyFile // of servers, by path
}

// versionStore is what a version store in memory and one on disk have in common.
type versionStore interface {
	tufverify.VersionStore
	Entries() []monotonic.Entry
}

// New reads an operator's file and assembles the service. It listens from then on; the caller must call Run, which closes
// the listener and the version store. env gives the environment's variables, now the time.
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

// Address is where the service listens, HOST:PORT.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Director is the service's Director, nil without one.
func (s *Service) Director() *director.Director { return s.director }

// resolvePath is a path of the operator's file: a relative one is from the file's folder.
func (s *Service) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.path), path)
}

// assemble makes everything that the configuration names.
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

// openVersionStore opens the version store's files, or makes one in memory where none is named.
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

// Run serves until the context ends, and closes the listener and the version store. It owns the goroutines of the proxy,
// the discovery watchers and the release API's client, and returns once all have ended.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	shutdownTimeout := s.config.packageDeadline
	s.mu.Unlock()
	group, inner := errgroup.WithContext(ctx)
	for _, task := range s.tasks {
		group.Go(func() error { return task(inner) })
	}
	group.Go(func() error {
		err := s.Proxy.Run(inner, s.listener, shutdownTimeout)
		if err == nil && ctx.Err() == nil {
			return errProxyEnded
		}
		return err
	})
	err := group.Wait()
	return errors.Join(err, s.closeStore())
}
