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

// releaseAPITimeout is the timeout of one request to the release API.
const releaseAPITimeout = time.Second

// directorKeys holds the Director's root files, by file name, and its online keys.
type directorKeys struct {
	chain  map[string][]byte
	online []*keys.Key
}

// publicKeyFile is a server's public key, with the modification time and size of the file that it was read from.
type publicKeyFile struct {
	key        crypto.PublicKey
	modifiedAt time.Time
	size       int64 // bytes
}

// addDirector creates the Director. It gives the Director the servers and the stage that the file lists, or connects it
// to the discovery agent and the release API.
func (s *Service) addDirector(c *directorConfig) error {
	loaded, err := s.loadDirectorKeys(c)
	if err != nil {
		return err
	}
	packages := map[uint16]string{}
	var paths []string
	for _, p := range c.packages {
		packages[p.version] = p.path
		paths = append(paths, p.path)
	}
	image := s.repositories[c.imageRepository]
	image.WatchTargets(paths)
	s.director, err = director.New(director.Config{
		Chain:          loaded.chain,
		Keys:           loaded.online,
		Store:          s.store,
		LookUpImage:    image.FindCached,
		Now:            s.now,
		Lifetime:       c.lifetime,
		Packages:       packages,
		InitialVersion: c.initialVersion,
		Log:            logging.Leveled(s.log, "director"),
	})
	if err != nil {
		return err
	}
	serverKeys, err := s.loadServerKeys(c.servers)
	if err != nil {
		return err
	}
	if err := s.Proxy.SetDirector(s.director, c.imageRepository, s.store, serverKeys); err != nil {
		return err
	}
	s.updateDirector(c)
	s.connectDirector(c)
	return nil
}

// updateDirector gives the Director the servers and the stage that the file lists.
func (s *Service) updateDirector(c *directorConfig) {
	if c.discoveryAddress == "" {
		s.director.UpdateServers(true, c.endpoints())
	}
	if c.stage != nil {
		s.director.OnStage(*c.stage)
	}
}

// connectDirector connects the Director to the release API and the discovery agent. It uses a separate dispatcher that
// passes their notifications on to the Director. No requests go through this dispatcher. It therefore has no evidence
// about any version, and casts no vote of its own.
func (s *Service) connectDirector(c *directorConfig) {
	if c.discoveryAddress == "" && c.releaseAPIAddress == "" {
		return
	}
	install := balancer.RequestClass{Name: "install", LatencyObjective: 1, Deadline: 10, PriorityWeight: 1}
	site := metadatarefresh.MirrorSettings(1, 0.3, 10, []balancer.RequestClass{install})
	site.Balancer.Rollout.Control = balancer.AdvanceByClock
	dispatcher := dispatch.New(seedFrom(c.discoveryAddress, c.releaseAPIAddress), site, dispatch.Callbacks{
		WatchEndpoints: func(bool) {},
		FetchEndpoints: func() {},
		Probe:          func(dispatch.Backend) {},
		CloseIdle:      func(string) {},
		Log:            logging.Component(s.log, "dispatch"),
		OnEndpoints:    s.director.UpdateServers,
		Vote:           s.director.OnVote,
		OnStage:        s.director.OnStage,
	})
	s.tasks = append(s.tasks, dispatcher.RunTimers)
	if c.releaseAPIAddress != "" {
		client := releaseapi.New(releaseapi.Config{
			Address: transport.NewAddress(c.releaseAPIAddress),
			Timeout: releaseAPITimeout,
			Buffers: s.buffers,
			Log:     logging.Component(s.log, "releaseapi"),
		})
		s.tasks = append(s.tasks, func(ctx context.Context) error { return client.Run(ctx, dispatcher) })
	}
	if c.discoveryAddress != "" {
		watcher := s.newWatcher(c.discoveryAddress)
		watcher.Fetch()
		s.tasks = append(s.tasks, func(ctx context.Context) error { return watcher.Run(ctx, dispatcher, discovery.Pushed) })
	}
}

// loadServerKeys returns the servers' public keys by server name. A file that was read before and has not changed is
// not read again. Reading thousands of files takes long, and Reload applies a changed exposure cap only after the keys
// are loaded.
func (s *Service) loadServerKeys(servers []serverConfig) (map[string]crypto.PublicKey, error) {
	byServer := map[string]crypto.PublicKey{}
	byPath := map[string]publicKeyFile{}
	for _, server := range servers {
		path := s.resolvePath(server.keyPath)
		file, err := s.loadPublicKey(path, byPath)
		if err != nil {
			return nil, fmt.Errorf("server %s: %w", server.name, err)
		}
		byPath[path] = file
		byServer[server.name] = file.key
	}
	s.publicKeys = byPath
	return byServer, nil
}

// loadPublicKey returns the public key in the file at path. loaded holds the keys that the caller has already loaded,
// by path. loadPublicKey does not read the file if loaded has the path. It also does not read the file if the
// modification time and the size are those of an earlier load.
func (s *Service) loadPublicKey(path string, loaded map[string]publicKeyFile) (publicKeyFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return publicKeyFile{}, err
	}
	if file, ok := loaded[path]; ok {
		return file, nil
	}
	if file := s.publicKeys[path]; file.modifiedAt.Equal(info.ModTime()) && file.size == info.Size() {
		return file, nil
	}
	public, _, err := keys.LoadPublic(path)
	if err != nil {
		return publicKeyFile{}, err
	}
	key, err := public.ToPublicKey()
	return publicKeyFile{key: key, modifiedAt: info.ModTime(), size: info.Size()}, err
}

// loadDirectorKeys reads the Director's root chain and online keys.
func (s *Service) loadDirectorKeys(c *directorConfig) (directorKeys, error) {
	chain, _, err := tufrepo.PublishedFiles(s.resolvePath(c.chainDir))
	if err != nil {
		return directorKeys{}, fmt.Errorf("director: chain: %w", err)
	}
	loaded := directorKeys{chain: chain}
	for _, path := range c.keyPaths {
		key, err := keys.Load(s.resolvePath(path), keys.PassphraseFrom(s.env))
		if err != nil {
			return directorKeys{}, fmt.Errorf("director: %w", err)
		}
		loaded.online = append(loaded.online, key)
	}
	return loaded, nil
}
