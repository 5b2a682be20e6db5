package tufverify

import (
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// delegationVerifier is metadata that name keys of roles: a root, or targets with delegations.
type delegationVerifier interface {
	VerifyDelegate(role string, of any) error
}

// verifySignatures verifies that as many keys of a role have signed as its threshold asks for, by the root or the targets that
// name the keys; a refusal tells in which way they have not.
func (r *Repository) verifySignatures(by delegationVerifier, role string, signed any, signatures []metadata.Signature) *RefusalError {
	err := by.VerifyDelegate(role, signed)
	if err == nil {
		return nil
	}
	keys, threshold := roleKeys(by, role)
	known := 0
	for _, s := range signatures {
		if slices.Contains(keys, s.KeyID) {
			known++
		}
	}
	switch {
	case known == 0:
		return r.refuse(ReasonUnknownKey, role, "none of its %d signatures is by a key of the role", len(signatures))
	case known < threshold:
		return r.refuse(ReasonBelowThreshold, role, "%d of %d signatures", known, threshold)
	}
	return r.refuse(ReasonBadSignature, role, "%v", err)
}

// roleKeys are the key identifiers and the threshold of a role.
func roleKeys(by delegationVerifier, role string) (ids []string, threshold int) {
	switch by := by.(type) {
	case *metadata.Metadata[metadata.RootType]:
		if is := by.Signed.Roles[role]; is != nil {
			return is.KeyIDs, is.Threshold
		}
	case *metadata.Metadata[metadata.TargetsType]:
		if d := by.Signed.Delegations; d != nil && d.SuccinctRoles != nil {
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

// sameKeys tells whether two roots name the same keys for a role.
func sameKeys(a, b *verified[metadata.RootType], role string) bool {
	x, y := slices.Clone(a.Signed.Roles[role].KeyIDs), slices.Clone(b.Signed.Roles[role].KeyIDs)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}

// delegates tells whether targets delegate to a role.
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
