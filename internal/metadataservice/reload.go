package metadataservice

import (
	"crypto"
	"fmt"
	"reflect"
	"time"

	"silvercove/internal/keys"
	"silvercove/internal/operatorconfig"
)

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
