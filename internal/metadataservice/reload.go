package metadataservice

import (
	"crypto"
	"fmt"
	"reflect"
	"slices"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/operatorconfig"
)

// FixedDirectiveError is the error of Reload if the file changes a directive that cannot change while the service runs.
type FixedDirectiveError struct {
	Path      string // path of the file
	Directive string // name of the directive, preceded by the names of its blocks, such as metadata.listen
}

func (e *FixedDirectiveError) Error() string {
	return fmt.Sprintf("%s: %s cannot change while the service runs: restart", e.Path, e.Directive)
}

// Reload reads the operator's file again and applies it. The file may change mirrors, servers, the Director's keys and
// the stage. If the file has an error, or changes a directive that cannot change while the service runs, Reload rejects
// the whole file and nothing changes. Reload is safe for concurrent use.
func (s *Service) Reload() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocks, err := operatorconfig.OperatorTable.Read(s.path)
	if err != nil {
		return err
	}
	directives, _ := blocks["metadata"].(map[string]any)
	if name := fixedDirectiveChanged(s.config.directives, directives); name != "" {
		return &FixedDirectiveError{Path: s.path, Directive: "metadata." + name}
	}
	next := newConfig(directives)
	var serverKeys map[string]crypto.PublicKey
	if next.director != nil {
		loaded, err := s.loadDirectorKeys(next.director)
		if err != nil {
			return err
		}
		if serverKeys, err = s.loadServerKeys(next.director.servers); err != nil {
			return err
		}
		if err := s.director.Keys(loaded.chain, loaded.online); err != nil {
			return err
		}
	}
	s.updateMirrors(next)
	if next.director != nil {
		s.Proxy.SetKeys(serverKeys)
		s.updateDirector(next.director)
	}
	s.config = next
	return nil
}

// updateMirrors replaces the mirrors of each repository whose mirrors the file lists.
func (s *Service) updateMirrors(next *config) {
	earlier := map[string][]dispatch.Endpoint{}
	for _, c := range s.config.repositories {
		earlier[c.name] = c.mirrors
	}
	for _, c := range next.repositories {
		if c.discoveryAddress == "" {
			markNew(c.mirrors, earlier[c.name], time.Now()) // time.Now and not s.now, because the dispatcher uses real time and tests replace s.now
			s.repositories[c.name].UpdateMirrors(c.mirrors)
		}
	}
}

// fixedDirectiveChanged returns the name of a directive that differs between two metadata blocks and that cannot change while the
// service runs, or "" if there is none.
func fixedDirectiveChanged(old, changed map[string]any) string {
	if changed == nil {
		return "the block itself"
	}
	for name := range old {
		if name != "repository" && name != "director" && !reflect.DeepEqual(old[name], changed[name]) {
			return name
		}
	}
	for name := range changed {
		if _, ok := old[name]; !ok {
			return name
		}
	}
	oldRepositories, changedRepositories := listValue(old["repository"]), listValue(changed["repository"])
	if len(oldRepositories) != len(changedRepositories) {
		return "repository"
	}
	for i := range oldRepositories {
		if name := differingDirective(oldRepositories[i], changedRepositories[i], "mirror"); name != "" {
			return "repository." + name
		}
	}
	if (old["director"] == nil) != (changed["director"] == nil) {
		return "director"
	}
	if old["director"] != nil {
		if name := differingDirective(old["director"], changed["director"], "chain", "key", "server", "wave"); name != "" {
			return "director." + name
		}
	}
	return ""
}

// differingDirective returns the name of a directive that differs between two blocks, or "" if there is none. It ignores the
// directives that the parameter except lists.
func differingDirective(old, changed any, except ...string) string {
	a, b := old.(map[string]any), changed.(map[string]any)
	for _, block := range []map[string]any{a, b} {
		for name := range block {
			if !slices.Contains(except, name) && !reflect.DeepEqual(a[name], b[name]) {
				return name
			}
		}
	}
	return ""
}
