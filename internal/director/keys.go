package director

import (
	"errors"
	"fmt"
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

// Keys replaces the online keys and the root chain. chain holds the files of the root chain, keyed by file name. Each online
// role must have at least as many online keys as its threshold. If the version of the newest root changes, the metadata of all
// servers are issued again. If Keys returns an error, nothing has changed.
func (d *Director) Keys(chain map[string][]byte, online []*keys.Key) error {
	var newest *metadata.Metadata[metadata.RootType]
	for name, text := range chain {
		f, ok := tufverify.ParseFile(name)
		if !ok || f.Role != metadata.ROOT {
			continue
		}
		root, err := (&metadata.Metadata[metadata.RootType]{}).FromBytes(text)
		if err != nil {
			return fmt.Errorf("director: %s: %w", name, err)
		}
		if newest == nil || root.Signed.Version > newest.Signed.Version {
			newest = root
		}
	}
	if newest == nil {
		return errors.New("director: the root chain has no root metadata")
	}
	byRole := map[string][]*keys.Key{}
	for _, role := range []string{metadata.TARGETS, metadata.SNAPSHOT, metadata.TIMESTAMP} {
		roleKeys := newest.Signed.Roles[role]
		if roleKeys == nil {
			return fmt.Errorf("director: root %d has no role %s", newest.Signed.Version, role)
		}
		for _, k := range online {
			if slices.Contains(roleKeys.KeyIDs, k.ID) {
				byRole[role] = append(byRole[role], k)
			}
		}
		if len(byRole[role]) < roleKeys.Threshold {
			return fmt.Errorf("director: %d online keys for role %s, below its threshold of %d", len(byRole[role]), role, roleKeys.Threshold)
		}
	}
	d.rootMu.Lock()
	changed := d.root != nil && d.root.Signed.Version != newest.Signed.Version
	d.root, d.chain, d.onlineKeys = newest, chain, byRole
	d.rootMu.Unlock()
	if changed {
		d.mu.Lock()
		for _, s := range d.servers {
			d.markForReissue(s)
		}
		d.mu.Unlock()
	}
	return nil
}
