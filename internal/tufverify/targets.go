package tufverify

import (
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// UpdateTargets verifies the targets metadata of a role and holds them if they are valid (section 5.6). role is the top-level
// targets role, or a role to which held targets metadata delegate.
func (r *Repository) UpdateTargets(now Tick, role string, data []byte) *RefusalError {
	r.advance(now)
	if refusal := r.checkSnapshot(role); refusal != nil {
		return refusal
	}
	entry := r.snapshot.Signed.Meta[role+".json"]
	if entry == nil {
		return r.refuse(ReasonNotListed, role, "not listed in the snapshot")
	}
	if refusal := r.checkMetaFile(role, entry, data, MaxTargetsSize); refusal != nil {
		return refusal
	}
	t, refusal := parse[metadata.TargetsType](r, role, data, MaxTargetsSize)
	if refusal != nil {
		return refusal
	}
	if refusal = validateTargets(r, role, t); refusal != nil {
		return refusal
	}
	if t.delegator, refusal = r.verifyDelegation(role, t); refusal != nil {
		return refusal
	}
	if t.version != entry.Version {
		return r.refuse(ReasonVersionMismatch, role, "version %d, the snapshot lists %d", t.version, entry.Version)
	}
	if h := r.targets[role]; h != nil && h.version == t.version && h.digest == t.digest {
		return r.refuse(ReasonAlreadyHeld, role, "version %d", t.version)
	}
	if refusal = r.checkRollback(role, t.version, t.digest, t.expires); refusal != nil {
		return refusal
	}
	if len(r.targets) >= maxHeldRoles && r.targets[role] == nil {
		return r.refuse(ReasonTooLarge, role, "%d targets roles are held already", maxHeldRoles)
	}
	if refusal = r.recordVersion(role, t.version, t.digest); refusal != nil {
		return refusal
	}
	r.targets[role] = t
	return nil
}

// verifyDelegation verifies the signatures of t, the targets metadata of role, and returns the name of the delegator
// whose keys signed them. For the top-level targets, the delegator is root. Otherwise it is a held role that delegates
// to role.
func (r *Repository) verifyDelegation(role string, t *verified[metadata.TargetsType]) (delegator string, refusal *RefusalError) {
	if role == metadata.TARGETS {
		return metadata.ROOT, r.verifySignatures(r.root.Metadata, role, t.Metadata, t.Signatures)
	}
	for _, name := range r.heldRoles() {
		from := r.targets[name]
		if !delegatesTo(from, role) || name == role {
			continue
		}
		if refusal = r.verifySignatures(from.Metadata, role, t.Metadata, t.Signatures); refusal == nil {
			return name, nil
		}
	}
	if refusal == nil {
		refusal = r.refuse(ReasonMissing, role, "no held targets metadata delegate to the role")
	}
	return "", refusal
}
