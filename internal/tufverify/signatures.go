package tufverify

import (
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// delegationVerifier is implemented by metadata that list the keys of roles: a root, or targets with delegations.
type delegationVerifier interface {
	VerifyDelegate(role string, of any) error
}

// verifySignatures verifies that metadata are signed by a threshold of the keys of a role. delegator is the root or the targets
// metadata that list these keys. The reason of a refusal tells whether signatures are missing, too few or invalid.
func (r *Repository) verifySignatures(delegator delegationVerifier, role string, signed any, signatures []metadata.Signature) *RefusalError {
	err := delegator.VerifyDelegate(role, signed)
	if err == nil {
		return nil
	}
	keys, threshold := roleKeys(delegator, role)
	known := 0
	for _, s := range signatures {
		if slices.Contains(keys, s.KeyID) {
			known++
		}
	}
	switch {
	case known == 0:
		return r.refuse(ReasonUnknownKey, role, "none of %d signatures is by a key of the role", len(signatures))
	case known < threshold:
		return r.refuse(ReasonBelowThreshold, role, "%d of %d required signatures", known, threshold)
	}
	return r.refuse(ReasonBadSignature, role, "%v", err)
}

// roleKeys returns the key identifiers and the threshold of a role from the metadata that list them.
func roleKeys(delegator delegationVerifier, role string) (ids []string, threshold int) {
	switch delegator := delegator.(type) {
	case *metadata.Metadata[metadata.RootType]:
		if keyList := delegator.Signed.Roles[role]; keyList != nil {
			return keyList.KeyIDs, keyList.Threshold
		}
	case *metadata.Metadata[metadata.TargetsType]:
		if d := delegator.Signed.Delegations; d != nil && d.SuccinctRoles != nil {
			return d.SuccinctRoles.KeyIDs, d.SuccinctRoles.Threshold
		} else if d != nil {
			for _, to := range d.Roles {
				if to.Name == role {
					return to.KeyIDs, to.Threshold
				}
			}
		}
	}
	return nil, 0
}

// sameKeys reports whether two roots list the same keys for a role.
func sameKeys(a, b *verified[metadata.RootType], role string) bool {
	x, y := slices.Clone(a.Signed.Roles[role].KeyIDs), slices.Clone(b.Signed.Roles[role].KeyIDs)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}

// delegatesTo reports whether targets metadata delegate to a role.
func delegatesTo(from *verified[metadata.TargetsType], role string) bool {
	d := from.Signed.Delegations
	if d == nil {
		return false
	}
	if d.SuccinctRoles != nil {
		return d.SuccinctRoles.IsDelegatedRole(role)
	}
	return slices.ContainsFunc(d.Roles, func(to metadata.DelegatedRole) bool { return to.Name == role })
}
