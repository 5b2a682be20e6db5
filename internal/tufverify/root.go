package tufverify

import (
	"log/slog"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// UpdateRoot verifies and holds the next root of the chain (section 5.3). The keys of the root before it and its own must
// have signed it.
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
		return r.refuse(ReasonOlderVersion, metadata.ROOT, "version %d, %d is held", next.version, r.root.version)
	case next.version > want:
		return r.refuse(ReasonVersionMismatch, metadata.ROOT, "version %d, the next is %d", next.version, want)
	case len(r.roots) >= MaxRootRotations:
		return r.refuse(ReasonTooLarge, metadata.ROOT, "a chain of more than %d", MaxRootRotations)
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
	// Section 5.3.11: with new keys for timestamp or snapshot, what the old keys signed is dropped, and versions are
	// recorded under a new epoch, so that a version far ahead that a stolen key signed does not last.
	if !sameKeys(r.root, next, metadata.TIMESTAMP) || !sameKeys(r.root, next, metadata.SNAPSHOT) {
		r.keyEpoch, r.timestamp, r.snapshot = next.version, nil, nil
		clear(r.targets)
		r.log(slog.LevelInfo, "online keys replaced and version history reset", slog.Int64("version", next.version))
	}
	r.root = next
	r.roots[next.version] = next.raw
	for role, t := range r.targets { // keys of the targets may have been revoked
		if t.delegator == metadata.ROOT && !r.stillSigned(t) {
			r.dropRole(role)
		}
	}
	return nil
}

// stillSigned tells whether the keys of the root that is held have signed the top-level targets.
func (r *Repository) stillSigned(t *verified[metadata.TargetsType]) bool {
	return r.root.VerifyDelegate(metadata.TARGETS, t.Metadata) == nil
}

// dropRole drops the targets of a role and of all roles that it delegated to.
func (r *Repository) dropRole(role string) {
	delete(r.targets, role)
	for name, t := range r.targets {
		if t.delegator == role && name != role {
			r.dropRole(name)
		}
	}
}

// checkRoot refuses unless the newest root that was ever recorded is held and has not expired (section 5.3.10).
func (r *Repository) checkRoot(role string) *RefusalError {
	seen, sum := r.store.Recorded(r.storeKey(metadata.ROOT))
	switch {
	case r.root.version < seen:
		return r.refuse(ReasonMissing, role, "root %d was seen before, %d is held", seen, r.root.version)
	case r.root.version == seen && seen > r.pinnedVersion && sum != r.root.digest:
		return r.refuse(ReasonConflict, role, "root %d was seen before with other content", seen)
	case r.now >= r.root.expires:
		return r.refuseExpired(role, r.root.expires, "root %d expired at %s", r.root.version, r.root.expires.Time())
	}
	return nil
}

// NextRootVersion is the version of the root that would come next.
func (r *Repository) NextRootVersion() int64 { return r.root.version + 1 }
