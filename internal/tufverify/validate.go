package tufverify

import (
	"crypto/sha256"
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// validateRoot makes the checks that go-tuf omits: every top-level role has a threshold of at least 1 and at least as many keys
// as its threshold, and the root contains these keys.
func validateRoot(r *Repository, root *verified[metadata.RootType]) *RefusalError {
	for _, role := range metadata.TOP_LEVEL_ROLE_NAMES {
		keyList := root.Signed.Roles[role]
		if keyList == nil || keyList.Threshold < 1 || len(keyList.KeyIDs) < keyList.Threshold {
			return r.refuse(ReasonMalformed, metadata.ROOT, "role %s has fewer keys than its threshold", role)
		}
		for _, id := range keyList.KeyIDs {
			if root.Signed.Keys[id] == nil {
				return r.refuse(ReasonMalformed, metadata.ROOT, "key %.8s of role %s is missing", id, role)
			}
		}
	}
	return nil
}

// validateTargets makes the checks that go-tuf omits: every target has a length and a SHA-256, and the delegations are well-formed.
func validateTargets(r *Repository, role string, targets *verified[metadata.TargetsType]) *RefusalError {
	for path, t := range targets.Signed.Targets {
		if t == nil || t.Length < 0 || len(t.Hashes["sha256"]) != sha256.Size {
			return r.refuse(ReasonMalformed, role, "target %s has no valid length or SHA-256", path)
		}
	}
	d := targets.Signed.Delegations
	if d == nil {
		return nil
	}
	if len(d.Roles) > 0 && d.SuccinctRoles != nil {
		return r.refuse(ReasonMalformed, role, "both delegated roles and succinct roles")
	}
	if s := d.SuccinctRoles; s != nil && (s.BitLength < 1 || s.BitLength > 16 || s.Threshold < 1) {
		return r.refuse(ReasonMalformed, role, "invalid succinct roles with %d bits", s.BitLength)
	}
	names := map[string]bool{}
	for _, to := range d.Roles {
		top := slices.Contains(metadata.TOP_LEVEL_ROLE_NAMES[:], to.Name)
		if top || to.Name == "" || names[to.Name] || to.Threshold < 1 || len(to.KeyIDs) < to.Threshold {
			return r.refuse(ReasonMalformed, role, "invalid delegation to %q", to.Name)
		}
		names[to.Name] = true
	}
	for id, k := range d.Keys {
		if k == nil {
			return r.refuse(ReasonMalformed, role, "key %.8s is missing", id)
		}
	}
	return nil
}
