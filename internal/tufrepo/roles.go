package tufrepo

import (
	"fmt"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Role holds the public keys of a top-level role in the first root. Threshold is the number of the keys that must sign.
type Role struct {
	Keys      []*metadata.Key
	Threshold int
}

// Rotate stages the next root, in which keys of a role are replaced. added holds the public keys to add. revoked holds the
// identifiers of the keys to revoke, or prefixes of the identifiers. threshold is the new threshold of the role, or 0 to keep
// the present threshold. Signatures of a revoked key no longer count. The error wraps ErrUnknownKey if a key to revoke does not
// belong to the role.
func (r *Repo) Rotate(role string, added []*metadata.Key, revoked []string, threshold int) error {
	m, err := openForChange(r, metadata.ROOT, func(m *metadata.Metadata[metadata.RootType], version int64) {
		m.Signed.Version, m.Signed.Expires = version, r.expiry(r.Lifetimes.Root)
	})
	if err != nil {
		return err
	}
	if m.Signed.Roles[role] == nil {
		return fmt.Errorf("unknown role %q, allowed: %s", role, strings.Join(metadata.TOP_LEVEL_ROLE_NAMES[:], ", "))
	}
	for _, k := range added {
		if err := m.Signed.AddKey(k, role); err != nil {
			return err
		}
	}
	for _, prefix := range revoked {
		matchingID := ""
		for _, keyID := range m.Signed.Roles[role].KeyIDs {
			if strings.HasPrefix(keyID, prefix) && prefix != "" {
				matchingID = keyID
			}
		}
		if matchingID == "" {
			return fmt.Errorf("key %s, role %s: %w", prefix, role, ErrUnknownKey)
		}
		if err := m.Signed.RevokeKey(matchingID, role); err != nil {
			return err
		}
	}
	if threshold > 0 {
		m.Signed.Roles[role].Threshold = threshold
	}
	if changed := m.Signed.Roles[role]; len(changed.KeyIDs) < changed.Threshold {
		return fmt.Errorf("role %s would have %d keys for a threshold of %d", role, len(changed.KeyIDs), changed.Threshold)
	}
	return stageMetadata(r, metadata.ROOT, m)
}

// Renew stages the next version of a role with the same content and a new expiry.
func (r *Repo) Renew(role string) error {
	if role == metadata.ROOT {
		return r.Rotate(metadata.ROOT, nil, nil, 0)
	}
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	m.Signed.Expires = r.expiry(r.Lifetimes.Targets)
	return stageMetadata(r, role, m)
}
