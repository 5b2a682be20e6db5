package tufverify

import (
	"log/slog"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// UpdateRoot verifies the next root of the chain and holds it if it is valid (section 5.3). The next root must be signed by a
// threshold of the root keys of the held root, and by a threshold of its own root keys.
func (r *Repository) UpdateRoot(now Tick, data []byte) *RefusalError {
	r.advance(now)
	next, refusal := parse[metadata.RootType](r, metadata.ROOT, data, MaxRootSize)
	if refusal != nil {
		return refusal
	}
	switch want := r.root.version + 1; {
	case next.version == r.root.version && next.digest == r.root.digest:
		return r.refuse(ReasonAlreadyHeld, metadata.ROOT, "version %d", next.version)
	case next.version < want:
		return r.refuse(ReasonOlderVersion, metadata.ROOT, "version %d, but %d is held already", next.version, r.root.version)
	case next.version > want:
		return r.refuse(ReasonVersionMismatch, metadata.ROOT, "version %d, expected %d", next.version, want)
	case len(r.roots) >= MaxRootRotations:
		return r.refuse(ReasonTooLarge, metadata.ROOT, "more than %d roots in the chain", MaxRootRotations)
	}
	if refusal = validateRoot(r, next); refusal != nil {
		return refusal
	}
	if refusal = r.verifySignatures(r.root.Metadata, metadata.ROOT, next.Metadata, next.Signatures); refusal != nil {
		return refusal
	}
	if refusal = r.verifySignatures(next.Metadata, metadata.ROOT, next.Metadata, next.Signatures); refusal != nil {
		return refusal
	}
	if refusal = r.recordVersion(metadata.ROOT, next.version, next.digest); refusal != nil {
		return refusal
	}
	// Section 5.3.11: if the keys of timestamp or snapshot change, the files signed by the old keys are dropped, and
	// versions are recorded under a new key epoch. A stolen old key may have signed a version that is far too high.
	// Without the new key epoch, all later versions would then be refused.
	if !sameKeys(r.root, next, metadata.TIMESTAMP) || !sameKeys(r.root, next, metadata.SNAPSHOT) {
		r.keyEpoch, r.timestamp, r.snapshot = next.version, nil, nil
		clear(r.targets)
		r.log(slog.LevelInfo, "online keys replaced and version history reset", slog.Int64("version", next.version))
	}
	r.root = next
	r.roots[next.version] = next.raw
	for role, t := range r.targets { // drop top-level targets that the keys of the new root no longer sign
		if t.delegator == metadata.ROOT && !r.stillSigned(t) {
			r.dropRole(role)
		}
	}
	return nil
}

// stillSigned reports whether the top-level targets metadata are signed by a threshold of the keys in the held root.
func (r *Repository) stillSigned(t *verified[metadata.TargetsType]) bool {
	return r.root.VerifyDelegate(metadata.TARGETS, t.Metadata) == nil
}

// dropRole drops the targets metadata of a role, and those of all roles that it directly or indirectly delegates to.
func (r *Repository) dropRole(role string) {
	delete(r.targets, role)
	for name, t := range r.targets {
		if t.delegator == role && name != role {
			r.dropRole(name)
		}
	}
}

// checkRoot returns a refusal unless the newest root that was ever recorded is held and has not expired (section 5.3.10). role
// is the role that the refusal names.
func (r *Repository) checkRoot(role string) *RefusalError {
	recorded, recordedDigest := r.store.Recorded(r.storeKey(metadata.ROOT))
	switch {
	case r.root.version < recorded:
		return r.refuse(ReasonMissing, role, "root %d was recorded before, only %d is held", recorded, r.root.version)
	case r.root.version == recorded && recorded > r.pinnedVersion && recordedDigest != r.root.digest:
		return r.refuse(ReasonConflict, role, "root %d was recorded before with other content", recorded)
	case r.now >= r.root.expires:
		return r.refuseExpired(role, r.root.expires, "root %d expired at %s", r.root.version, r.root.expires.Time())
	}
	return nil
}

// NextRootVersion returns the version of the root that follows the held one.
func (r *Repository) NextRootVersion() int64 { return r.root.version + 1 }
