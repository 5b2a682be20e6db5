package tufverify

import (
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// UpdateSnapshot verifies the snapshot that the held timestamp lists and holds it if it is valid (section 5.5).
func (r *Repository) UpdateSnapshot(now Tick, data []byte) *RefusalError {
	r.advance(now)
	const role = metadata.SNAPSHOT
	if refusal := r.checkRoot(role); refusal != nil {
		return refusal
	}
	if r.timestamp == nil {
		return r.refuse(ReasonMissing, role, "no timestamp is held")
	}
	if r.now >= r.timestamp.expires {
		return r.refuseExpired(role, r.timestamp.expires, "the timestamp expired at %s", r.timestamp.expires.Time())
	}
	entry := r.timestamp.Signed.Meta["snapshot.json"]
	if refusal := r.checkMetaFile(role, entry, data, MaxSnapshotSize); refusal != nil {
		return refusal
	}
	next, refusal := parse[metadata.SnapshotType](r, role, data, MaxSnapshotSize)
	if refusal != nil {
		return refusal
	}
	if refusal = validateSnapshot(r, next); refusal != nil {
		return refusal
	}
	if refusal = r.verifySignatures(r.root.Metadata, role, next.Metadata, next.Signatures); refusal != nil {
		return refusal
	}
	if next.version != entry.Version {
		return r.refuse(ReasonVersionMismatch, role, "version %d, the timestamp lists %d", next.version, entry.Version)
	}
	if r.snapshot != nil && next.version == r.snapshot.version && next.digest == r.snapshot.digest {
		return r.refuse(ReasonAlreadyHeld, role, "version %d", next.version)
	}
	if refusal = r.checkRollback(role, next.version, next.digest, next.expires); refusal != nil {
		return refusal
	}
	if refusal = r.checkSnapshotRollback(next); refusal != nil {
		return refusal
	}
	if refusal = r.recordVersion(role, next.version, next.digest); refusal != nil {
		return refusal
	}
	r.snapshot = next
	for name := range r.targets {
		if m := next.Signed.Meta[name+".json"]; m == nil || m.Version != r.targets[name].version {
			r.dropRole(name)
		}
	}
	return nil
}

// validateSnapshot makes the checks that go-tuf omits: the snapshot lists no more than maxSnapshotFiles files, every listed file
// has a version, and the top-level targets are listed.
func validateSnapshot(r *Repository, snapshot *verified[metadata.SnapshotType]) *RefusalError {
	const role = metadata.SNAPSHOT
	files := snapshot.Signed.Meta
	if len(files) > maxSnapshotFiles {
		return r.refuse(ReasonTooLarge, role, "%d files", len(files))
	}
	for name, m := range files {
		if m == nil || m.Version < 1 {
			return r.refuse(ReasonMalformed, role, "%s has no version", name)
		}
	}
	if files["targets.json"] == nil {
		return r.refuse(ReasonMalformed, role, "the top-level targets are not listed")
	}
	return nil
}

// checkSnapshotRollback refuses a snapshot that no longer lists a file of the held snapshot, or lists an older version
// of the file (section 5.5.5). It also refuses a snapshot that lists a version of the top-level targets older than the
// version that the version store has recorded for them.
func (r *Repository) checkSnapshotRollback(next *verified[metadata.SnapshotType]) *RefusalError {
	const role = metadata.SNAPSHOT
	if r.snapshot != nil {
		for name, held := range r.snapshot.Signed.Meta {
			switch listed := next.Signed.Meta[name]; {
			case listed == nil:
				return r.refuse(ReasonOlderVersion, role, "%s is no longer listed", name)
			case listed.Version < held.Version:
				return r.refuse(ReasonOlderVersion, role, "%s has version %d, the held snapshot lists %d", name, listed.Version, held.Version)
			}
		}
	}
	targets := next.Signed.Meta["targets.json"].Version
	if recorded, _ := r.store.Recorded(r.storeKey("targets")); targets < recorded {
		return r.refuse(ReasonOlderVersion, role, "it lists targets %d, %d was recorded before", targets, recorded)
	}
	return nil
}

// checkSnapshot returns a refusal unless root, timestamp and snapshot are held, consistent with each other and not expired. role
// is the role that the refusal names.
func (r *Repository) checkSnapshot(role string) *RefusalError {
	if refusal := r.checkRoot(role); refusal != nil {
		return refusal
	}
	switch {
	case r.timestamp == nil:
		return r.refuse(ReasonMissing, role, "no timestamp is held")
	case r.now >= r.timestamp.expires:
		return r.refuseExpired(role, r.timestamp.expires, "the timestamp expired at %s", r.timestamp.expires.Time())
	case r.snapshot == nil || r.snapshot.version != r.timestamp.Signed.Meta["snapshot.json"].Version:
		return r.refuse(ReasonMissing, role, "snapshot %d is not held", r.timestamp.Signed.Meta["snapshot.json"].Version)
	case r.now >= r.snapshot.expires:
		return r.refuseExpired(role, r.snapshot.expires, "the snapshot expired at %s", r.snapshot.expires.Time())
	}
	return nil
}
