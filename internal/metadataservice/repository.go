package metadataservice

import (
	"context"
	"fmt"
	"hash/fnv"
	"os"
	"time"

	"silvercove/internal/discovery"
	"silvercove/internal/logging"
	"silvercove/internal/metadataproxy"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/transport"
)

// Timeouts of a watcher of an endpoint list.
const (
	discoveryPollWait      = time.Second
	discoveryAnswerTimeout = time.Second / 2
	discoveryOpenTimeout   = time.Second
)

// addRepository creates a repository, and a watcher of its mirrors if a discovery agent lists them.
func (s *Service) addRepository(c repositoryConfig) (*metadataproxy.Repository, error) {
	pinned, err := os.ReadFile(s.resolvePath(c.rootPath))
	if err != nil {
		return nil, fmt.Errorf("repository %s: %w", c.name, err)
	}
	host, _ := os.Hostname()
	mirrors := metadataproxy.MirrorConfig{
		Seed:           seedFrom(host, s.config.listen, c.name),
		Settings:       metadatarefresh.MirrorSettings(s.config.proxyCount, s.config.connectTimeout, s.config.maxRetryAfter, s.config.classes),
		FreshFor:       s.config.freshFor,
		UnconfirmedFor: s.config.unconfirmedFor,
		Survey:         s.config.survey,
		Endpoints:      c.mirrors,
		DispatchLog:    logging.Component(s.log.With().Str("repository", c.name).Logger(), "dispatch"),
	}
	repository, err := metadataproxy.NewRepository(c.name, pinned, s.store, mirrors, s.now, logging.Leveled(s.log, "metadataproxy"))
	if err != nil {
		return nil, err
	}
	if c.discoveryAddress != "" {
		watcher := s.newWatcher(c.discoveryAddress)
		watcher.Fetch()
		s.tasks = append(s.tasks, func(ctx context.Context) error {
			return watcher.Run(ctx, repository.Dispatcher(), discovery.Pushed)
		})
	}
	s.repositories[c.name] = repository
	return repository, nil
}

// newWatcher returns a watcher of the endpoint list of the discovery agent at the given address.
func (s *Service) newWatcher(address string) *discovery.Watcher {
	return discovery.New(discovery.Config{
		Address:       transport.NewAddress(address),
		PollWait:      discoveryPollWait,
		AnswerTimeout: discoveryAnswerTimeout,
		OpenTimeout:   discoveryOpenTimeout,
		Buffers:       s.buffers,
		Log:           logging.Component(s.log, "discovery"),
	})
}

// seedFrom derives the seed of random numbers from names alone. The seed is the same at every start. Callers pass names
// that tell processes and repositories apart, so that their seeds differ.
func seedFrom(names ...string) uint64 {
	hash := fnv.New64a()
	for _, name := range names {
		hash.Write([]byte(name + "/"))
	}
	return hash.Sum64()
}
