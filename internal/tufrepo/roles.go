package tufrepo

import (
	"fmt"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Role is one top-level role of a new root: its keys' public parts and how many must sign.
type Role struct {
	Keys      []*metadata.Key
	Threshold int
}

// Rotate stages the next root: keys that come into a role, keys (by identifier) that leave it, and its
// threshold, 0 for the present one. A key that leaves is revoked: what it signed no longer counts.
func (r *Repo) Rotate(role string, in []*metadata.Key, out []string, threshold int) error {
	m, err := openForChange(r, metadata.ROOT, func(m *metadata.Metadata[metadata.RootType], v int64) {
		m.Signed.Version, m.Signed.Expires = v, r.expiry(r.Life.Root)
	})
	if err != nil {
		return err
	}
	if m.Signed.Roles[role] == nil {
		return fmt.Errorf("role %q, allowed: %s", role, strings.Join(metadata.TOP_LEVEL_ROLE_NAMES[:], ", "))
	}
	for _, k := range in {
		if err := m.Signed.AddKey(k, role); err != nil {
			return err
		}
	}
	for _, id := range out {
		full := ""
		for _, is := range m.Signed.Roles[role].KeyIDs {
			if strings.HasPrefix(is, id) && id != "" {
				full = is
			}
		}
		if full == "" {
			return fmt.Errorf("key %s of %s: %w", id, role, ErrKey)
		}
		if err := m.Signed.RevokeKey(full, role); err != nil {
			return err
		}
	}
	if threshold > 0 {
		m.Signed.Roles[role].Threshold = threshold
	}
	if is := m.Signed.Roles[role]; len(is.KeyIDs) < is.Threshold {
		return fmt.Errorf("role %s would have %d keys for a threshold of %d", role, len(is.KeyIDs), is.Threshold)
	}
	return stageMetadata(r, metadata.ROOT, m)
}

// Renew stages a next version of a role with the same content and a new end.
func (r *Repo) Renew(role string) error {
	if role == metadata.ROOT {
		return r.Rotate(metadata.ROOT, nil, nil, 0)
	}
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	m.Signed.Expires = r.expiry(r.Life.Targets)
	return stageMetadata(r, role, m)
}
