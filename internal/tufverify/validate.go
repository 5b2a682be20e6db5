package tufverify

import (
	"crypto/sha256"
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// validateRoot checks what the library leaves open: that every role has keys for its threshold, and that they are there.
func validateRoot(r *Repository, h *verified[metadata.RootType]) *RefusalError {
	for _, role := range metadata.TOP_LEVEL_ROLE_NAMES {
		is := h.Signed.Roles[role]
		if is == nil || is.Threshold < 1 || len(is.KeyIDs) < is.Threshold {
			return r.refuse(ReasonMalformed, metadata.ROOT, "role %s has too few keys for its threshold", role)
		}
		for _, id := range is.KeyIDs {
			if h.Signed.Keys[id] == nil {
				return r.refuse(ReasonMalformed, metadata.ROOT, "key %.8s of role %s is not there", id, role)
			}
		}
	}
	return nil
}

// validateTargets checks what the library leaves open: length and SHA-256 of each target, and well-formed delegations.
func validateTargets(r *Repository, role string, h *verified[metadata.TargetsType]) *RefusalError {
	for path, t := range h.Signed.Targets {
		if t == nil || t.Length < 0 || len(t.Hashes["sha256"]) != sha256.Size {
			return r.refuse(ReasonMalformed, role, "target %s needs a length and a SHA-256", path)
		}
	}
	d := h.Signed.Delegations
	if d == nil {
		return nil
	}
	if len(d.Roles) > 0 && d.SuccinctRoles != nil {
		return r.refuse(ReasonMalformed, role, "delegations of two kinds")
	}
	if s := d.SuccinctRoles; s != nil && (s.BitLength < 1 || s.BitLength > 16 || s.Threshold < 1) {
		return r.refuse(ReasonMalformed, role, "succinct delegations of %d bits", s.BitLength)
	}
	names := map[string]bool{}
	for _, to := range d.Roles {
		top := slices.Contains(metadata.TOP_LEVEL_ROLE_NAMES[:], to.Name)
		if top || to.Name == "" || names[to.Name] || to.Threshold < 1 || len(to.KeyIDs) < to.Threshold {
			return r.refuse(ReasonMalformed, role, "delegation to %q", to.Name)
		}
		names[to.Name] = true
	}
	for id, k := range d.Keys {
		if k == nil {
			return r.refuse(ReasonMalformed, role, "key %.8s is not there", id)
		}
	}
	return nil
}
