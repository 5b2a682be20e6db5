// Package metadataservice puts the metadata front together from an operator's file: floor, repositories, Director
// and listener, and takes the file again while it runs.
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

// Service is the metadata front of one operator's file.
type Service struct {
	path         string
	log          zerolog.Logger
	env          func(string) string
	now          func() time.Time
	config       map[string]any // the block
	store        versionStore
	close        func() error
	repositories map[string]*metadataproxy.Repository
	director     *director.Director
	Proxy        *metadataproxy.Proxy
	buffers      *transport.BufferBudget
	publicKeys   map[string]publicKeyFile // by path
	watches      []func(ctx context.Context) error
	mu           sync.Mutex
	listener     net.Listener
}

// versionStore is what both kinds of floor do.
type versionStore interface {
	tufverify.VersionStore
	Entries() []monotonic.Entry
}

// New reads an operator's file and puts the front together. It listens from then on.
func New(path string, env func(string) string, now func() time.Time, log zerolog.Logger) (*Service, error) {
	all, err := operatorconfig.Operators.Read(path)
	if err != nil {
		return nil, err
	}
	block, ok := all["metadata"].(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%s: no metadata block: nothing is switched on", path)
	}
	m := &Service{path: path, log: log, env: env, now: now, config: block, repositories: map[string]*metadataproxy.Repository{},
		close: func() error { return nil }, buffers: transport.NewBufferBudget(64 << 20)}
	if err := m.assemble(); err != nil {
		_ = m.close()
		return nil, err
	}
	if m.listener, err = net.Listen("tcp", block["listen"].(string)); err != nil {
		_ = m.close()
		return nil, err
	}
	return m, nil
}

// Address is where it listens.
func (m *Service) Address() string { return m.listener.Addr().String() }

// Director is the Director, nil without one.
func (m *Service) Director() *director.Director { return m.director }

// resolvePath gives a path as it stands from the operator's file.
func (m *Service) resolvePath(path any) string {
	p, _ := path.(string)
	if filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(m.path), p)
}

func toDuration(v any) time.Duration {
	f, _ := v.(float64)
	return time.Duration(f * float64(time.Second))
}

func (m *Service) assemble() error {
	if err := m.openVersionStore(); err != nil {
		return err
	}
	var repos []*metadataproxy.Repository
	for _, v := range m.config["repository"].([]any) {
		r, err := m.repository(v.(map[string]any))
		if err != nil {
			return err
		}
		repos = append(repos, r)
	}
	m.Proxy = metadataproxy.New(repos, m.now, logging.Leveled(m.log, "metadataproxy"), int(m.config["connections"].(float64)), int(m.config["waiting"].(float64)))
	for _, v := range m.config["repository"].([]any) {
		if image, ok := v.(map[string]any)["agree"].(string); ok {
			if err := m.Proxy.RequireAgreement(v.(map[string]any)["name"].(string), image); err != nil {
				return err
			}
		}
	}
	if d, ok := m.config["director"].(map[string]any); ok {
		return m.setUpDirector(d)
	}
	return nil
}

// openVersionStore opens the files that are named, or keeps what may only grow in memory.
func (m *Service) openVersionStore() error {
	paths, _ := m.config["floor"].([]any)
	most := int(m.config["floor_entries"].(float64))
	log := logging.Leveled(m.log, "metadataservice")
	if len(paths) == 0 {
		log(slog.LevelWarn, "no version store configured")
		m.store = monotonic.NewMemoryStore(most)
		return nil
	}
	var all []string
	for _, p := range paths {
		all = append(all, m.resolvePath(p))
	}
	f, err := monotonic.Open(all, most, logging.Leveled(m.log, "monotonic"))
	if err != nil {
		return err
	}
	if f.Created {
		log(slog.LevelWarn, "version store created", slog.Any("paths", all))
	}
	m.store, m.close = f, f.Close
	return nil
}

// Run serves until the context ends.
func (m *Service) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	for _, w := range m.watches {
		group.Go(func() error { return w(inner) })
	}
	group.Go(func() error {
		err := m.Proxy.Run(inner, m.listener, toDuration(m.config["package"].([]any)[1]))
		if err == nil && ctx.Err() == nil {
			return errors.New("the front has ended by itself")
		}
		return err
	})
	err := group.Wait()
	return errors.Join(err, m.close())
}
