// Package metadataservice puts the metadata front together from an operator's file: floor, repositories, Director
// and listener, and takes the file again while it runs.
package metadataservice

import (
	"context"
	"crypto"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"silvercove/balancer"
	"silvercove/internal/director"
	"silvercove/internal/discovery"
	"silvercove/internal/dispatch"
	"silvercove/internal/keys"
	"silvercove/internal/logging"
	"silvercove/internal/metadataproxy"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/monotonic"
	"silvercove/internal/operatorconfig"
	"silvercove/internal/releaseapi"
	"silvercove/internal/transport"
	"silvercove/internal/tufrepo"
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

// publicKeyFile is a public key as it was read from a file.
type publicKeyFile struct {
	key        crypto.PublicKey
	modifiedAt time.Time
	size       int64
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

// seedFrom tells relays and repositories apart by their names alone.
func seedFrom(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p + "/"))
	}
	return h.Sum64()
}

func (m *Service) repository(r map[string]any) (*metadataproxy.Repository, error) {
	name := r["name"].(string)
	pinned, err := os.ReadFile(m.resolvePath(r["root"]))
	if err != nil {
		return nil, fmt.Errorf("repository %s: %w", name, err)
	}
	var classes []balancer.RequestClass
	for _, op := range metadataproxy.RequestClasses {
		v := m.config[op].([]any)
		figure := func(i int) float64 { f, _ := v[i].(float64); return f }
		classes = append(classes, balancer.RequestClass{Name: op, LatencyObjective: balancer.Seconds(figure(0)),
			Deadline: balancer.Seconds(figure(1)), PriorityWeight: figure(2)})
	}
	hosts := mirrorEndpoints(r, nil, time.Now())
	host, _ := os.Hostname()
	rules := metadatarefresh.Rules(m.config["relays"].(float64), m.config["connect_timeout"].(float64),
		m.config["max_come_back"].(float64), classes)
	out, err := metadataproxy.NewRepository(name, pinned, m.store, metadataproxy.MirrorConfig{Seed: seedFrom(host, m.config["listen"].(string), name),
		Settings: rules, FreshFor: toDuration(m.config["refresh"]), UnconfirmedFor: toDuration(m.config["unconfirmed"]),
		Survey: m.config["survey"] == "always", Endpoints: hosts,
		DispatchLog: logging.Component(m.log.With().Str("repository", name).Logger(), "dispatch")}, m.now,
		logging.Leveled(m.log, "metadataproxy"))
	if err != nil {
		return nil, err
	}
	if address, ok := r["discovery"].(string); ok {
		watch := m.newWatcher(address)
		watch.Fetch()
		m.watches = append(m.watches, func(ctx context.Context) error { return watch.Run(ctx, out.Dispatcher(), discovery.Pushed) })
	}
	m.repositories[name] = out
	return out, nil
}

// newWatcher follows the list of servers that an agent at an address has.
func (m *Service) newWatcher(address string) *discovery.Watcher {
	return discovery.New(discovery.Config{
		Address:       transport.NewAddress(address),
		PollWait:      time.Second,
		AnswerTimeout: time.Second / 2,
		OpenTimeout:   time.Second,
		Buffers:       m.buffers,
		Log:           logging.Component(m.log, "discovery"),
	})
}

// mirrorEndpoints are the mirror lines of a repository. One that was not there before is new, and cold.
func mirrorEndpoints(r, before map[string]any, now time.Time) (hosts []dispatch.Endpoint) {
	was := map[string]bool{}
	if before != nil {
		old, _ := before["mirror"].([]any)
		for _, v := range old {
			was[v.([]any)[0].(string)+" "+v.([]any)[1].(string)] = true
		}
	}
	lines, _ := r["mirror"].([]any)
	for _, v := range lines {
		l := v.([]any)
		h := dispatch.Endpoint{Name: l[0].(string), Address: l[1].(string), Zone: l[2].(string), State: l[3].(string), Weight: 1,
			Version: 1}
		if before != nil && !was[h.Name+" "+h.Address] {
			h.StartedAtMs = now.UnixMilli()
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func (m *Service) setUpDirector(d map[string]any) error {
	chain, online, err := m.directorKeys(d)
	if err != nil {
		return err
	}
	image := m.repositories[d["image"].(string)]
	packages, paths := map[uint16]string{}, []string{}
	for _, v := range d["package"].([]any) {
		l := v.([]any)
		packages[uint16(l[0].(float64))] = l[1].(string)
		paths = append(paths, l[1].(string))
	}
	image.KeepLookedUp(paths)
	running, _ := d["running"].(float64)
	m.director, err = director.New(chain, online, m.store, image.Known, m.now, toDuration(d["lasts"]), packages,
		uint16(running), logging.Leveled(m.log, "director"))
	if err != nil {
		return err
	}
	servers, err := m.serverKeys(d)
	if err != nil {
		return err
	}
	if err := m.Proxy.SetDirector(m.director, d["image"].(string), m.store, servers); err != nil {
		return err
	}
	if d["discovery"] == nil {
		m.director.UpdateServers(true, serverEndpoints(d))
	}
	if w, ok := d["wave"].([]any); ok {
		m.director.OnStage(stageOf(w))
	}
	return m.connectDirector(d)
}

// connectDirector joins the Director to the platform and the list of servers, by a gate of its own that hands on what it
// hears. No commands go through it, so its module has nothing to vote by, and no vote is cast.
func (m *Service) connectDirector(d map[string]any) error {
	discoveryAddress, _ := d["discovery"].(string)
	address, _ := d["platform"].(string)
	if discoveryAddress == "" && address == "" {
		return nil
	}
	var desk *releaseapi.Client
	if address != "" {
		desk = releaseapi.New(releaseapi.Config{
			Address: transport.NewAddress(address),
			Timeout: time.Second,
			Buffers: m.buffers,
			Log:     logging.Component(m.log, "releaseapi"),
		})
	}
	install := balancer.RequestClass{Name: "install", LatencyObjective: 1, Deadline: 10, PriorityWeight: 1}
	site := metadatarefresh.Rules(1, 0.3, 10, []balancer.RequestClass{install})
	site.Balancer.Rollout.Control = balancer.AdvanceByClock
	g := dispatch.New(seedFrom(discoveryAddress, address), site, dispatch.Callbacks{WatchEndpoints: func(bool) {}, FetchEndpoints: func() {},
		Probe: func(dispatch.Backend) {}, CloseIdle: func(string) {}, Log: logging.Component(m.log, "dispatch"), OnEndpoints: m.director.UpdateServers,
		Vote: m.director.OnVote, OnStage: m.director.OnStage})
	m.watches = append(m.watches, g.RunTimers)
	if desk != nil {
		m.watches = append(m.watches, func(ctx context.Context) error { return desk.Run(ctx, g) })
	}
	if discoveryAddress != "" {
		watch := m.newWatcher(discoveryAddress)
		watch.Fetch()
		m.watches = append(m.watches, func(ctx context.Context) error { return watch.Run(ctx, g, discovery.Pushed) })
	}
	return nil
}

func stageOf(w []any) dispatch.RolloutStage {
	return dispatch.RolloutStage{Version: uint16(w[0].(float64)), Phase: w[1].(string), ExposureCap: w[2].(float64)}
}

// serverEndpoints are the servers of the file, as a list of those that are there.
func serverEndpoints(d map[string]any) (hosts []dispatch.Endpoint) {
	lines, _ := d["server"].([]any)
	for _, v := range lines {
		l := v.([]any)
		hosts = append(hosts, dispatch.Endpoint{Name: l[0].(string), Address: "-", Zone: l[1].(string), MachineKind: l[2].(string), State: "up"})
	}
	return hosts
}

func (m *Service) serverKeys(d map[string]any) (map[string]crypto.PublicKey, error) {
	out := map[string]crypto.PublicKey{}
	lines, _ := d["server"].([]any)
	read := map[string]publicKeyFile{}
	for _, v := range lines {
		l := v.([]any)
		path := m.resolvePath(l[3])
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("server %s: %w", l[0], err)
		}
		is, known := read[path]
		if was := m.publicKeys[path]; !known && was.modifiedAt.Equal(info.ModTime()) && was.size == info.Size() {
			is, known = was, true // thousands of files take long to read, and a cap may wait for it
		}
		if !known {
			k, _, err := keys.Public(path)
			if err != nil {
				return nil, fmt.Errorf("server %s: %w", l[0], err)
			}
			if is.key, err = k.ToPublicKey(); err != nil {
				return nil, fmt.Errorf("server %s: %w", l[0], err)
			}
			is.modifiedAt, is.size = info.ModTime(), info.Size()
		}
		read[path], out[l[0].(string)] = is, is.key
	}
	m.publicKeys = read
	return out, nil
}

func (m *Service) directorKeys(d map[string]any) (map[string][]byte, []*keys.Key, error) {
	chain, _, err := tufrepo.Files(m.resolvePath(d["chain"]))
	if err != nil {
		return nil, nil, fmt.Errorf("director: chain: %w", err)
	}
	var online []*keys.Key
	for _, path := range d["key"].([]any) {
		k, err := keys.Load(m.resolvePath(path), keys.PassphraseFrom(m.env))
		if err != nil {
			return nil, nil, fmt.Errorf("director: %w", err)
		}
		online = append(online, k)
	}
	return chain, online, nil
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

// Reload takes the file again. It is refused whole, and nothing changes, if anything in it is wrong or can't
// change in service: mirrors, the servers, the Director's keys and the wave can.
func (m *Service) Reload() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	all, err := operatorconfig.Operators.Read(m.path)
	if err != nil {
		return err
	}
	next, _ := all["metadata"].(map[string]any)
	if fault := fixedDirectiveChanged(m.config, next); fault != "" {
		return fmt.Errorf("%s: metadata.%s can't change in service: restart", m.path, fault)
	}
	d, _ := next["director"].(map[string]any)
	var chain map[string][]byte
	var online []*keys.Key
	var servers map[string]crypto.PublicKey
	if d != nil {
		if chain, online, err = m.directorKeys(d); err != nil {
			return err
		}
		if servers, err = m.serverKeys(d); err != nil {
			return err
		}
		if err := m.director.Keys(chain, online); err != nil {
			return err
		}
	}
	old := map[string]map[string]any{}
	for _, v := range m.config["repository"].([]any) {
		old[v.(map[string]any)["name"].(string)] = v.(map[string]any)
	}
	for _, v := range next["repository"].([]any) {
		r := v.(map[string]any)
		if name := r["name"].(string); r["discovery"] == nil {
			m.repositories[name].UpdateMirrors(mirrorEndpoints(r, old[name], time.Now())) // the gate's clock
		}
	}
	if d != nil {
		m.Proxy.SetKeys(servers)
		if d["discovery"] == nil {
			m.director.UpdateServers(true, serverEndpoints(d))
		}
		if w, ok := d["wave"].([]any); ok {
			m.director.OnStage(stageOf(w))
		}
	}
	m.config = next
	return nil
}

// fixedDirectiveChanged finds a directive that differs and that can't change in service.
func fixedDirectiveChanged(a, b map[string]any) string {
	if b == nil {
		return "the block itself"
	}
	for name := range a {
		if name != "repository" && name != "director" && !reflect.DeepEqual(a[name], b[name]) {
			return name
		}
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			return name
		}
	}
	x, y := a["repository"].([]any), b["repository"].([]any)
	if len(x) != len(y) {
		return "repository"
	}
	for i := range x {
		if same := differingDirective(x[i], y[i], "mirror"); same != "" {
			return "repository." + same
		}
	}
	if (a["director"] == nil) != (b["director"] == nil) {
		return "director"
	}
	if a["director"] != nil {
		if same := differingDirective(a["director"], b["director"], "chain", "key", "server", "wave"); same != "" {
			return "director." + same
		}
	}
	return ""
}

// differingDirective compares two blocks but for some directives.
func differingDirective(a, b any, but ...string) string {
	x, y := a.(map[string]any), b.(map[string]any)
	for _, m := range []map[string]any{x, y} {
		for name := range m {
			skip := false
			for _, n := range but {
				skip = skip || n == name
			}
			if !skip && !reflect.DeepEqual(x[name], y[name]) {
				return name
			}
		}
	}
	return ""
}
