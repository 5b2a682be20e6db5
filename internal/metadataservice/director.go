package metadataservice

import (
	"context"
	"crypto"
	"fmt"
	"os"
	"time"

	"silvercove/balancer"
	"silvercove/internal/director"
	"silvercove/internal/discovery"
	"silvercove/internal/dispatch"
	"silvercove/internal/keys"
	"silvercove/internal/logging"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/releaseapi"
	"silvercove/internal/transport"
	"silvercove/internal/tufrepo"
)

// publicKeyFile is a public key as it was read from a file.
type publicKeyFile struct {
	key        crypto.PublicKey
	modifiedAt time.Time
	size       int64
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
