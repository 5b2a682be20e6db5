package tufverify

import (
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// UpdateSnapshot verifies and holds the snapshot that the timestamp names (section 5.5).
func (r *Repository) UpdateSnapshot(now Tick, data []byte) *RefusalError {
	r.advance(now)
	const role = metadata.SNAPSHOT
	if refusal := r.checkRoot(role); refusal != nil {
		return refusal
	}
	if r.timestamp == nil {
		return r.refuse(ReasonMissing, role, "no timestamp")
	}
	if r.now >= r.timestamp.expires {
		return r.refuseExpired(role, r.timestamp.expires, "the timestamp expired at %s", r.timestamp.expires.Time())
	}
	named := r.timestamp.Signed.Meta["snapshot.json"]
	if refusal := r.checkMetaFile(role, named, data, MaxSnapshotSize); refusal != nil {
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
	if next.version != named.Version {
		return r.refuse(ReasonVersionMismatch, role, "version %d, the timestamp names %d", next.version, named.Version)
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

// validateSnapshot checks what the library leaves open: a bounded number of files, each with a version, the top-level targets
// among them.
func validateSnapshot(r *Repository, snapshot *verified[metadata.SnapshotType]) *RefusalError {
	const role = metadata.SNAPSHOT
	files := snapshot.Signed.Meta
	if len(files) > maxSnapshotFiles {
		return r.refuse(ReasonTooLarge, role, "%d files", len(files))
	}
	for name, m := range files {
		if m == nil || m.Version < 1 {
			return r.refuse(ReasonMalformed, role, "%s without a version", name)
		}
	}
	if files["targets.json"] == nil {
		return r.refuse(ReasonMalformed, role, "it does not name the targets")
	}
	return nil
}

// checkSnapshotRollback refuses a snapshot that names an older version of a file than the one that is held does, or no longer
// names it (section 5.5.5), and one that names older targets than were recorded.
func (r *Repository) checkSnapshotRollback(next *verified[metadata.SnapshotType]) *RefusalError {
	const role = metadata.SNAPSHOT
	if r.snapshot != nil {
		for name, was := range r.snapshot.Signed.Meta {
			switch is := next.Signed.Meta[name]; {
			case is == nil:
				return r.refuse(ReasonOlderVersion, role, "%s is no longer named", name)
			case is.Version < was.Version:
				return r.refuse(ReasonOlderVersion, role, "it names %s %d, %d was named", name, is.Version, was.Version)
			}
		}
	}
	targets := next.Signed.Meta["targets.json"].Version
	if recorded, _ := r.store.Recorded(r.storeKey("targets")); targets < recorded {
		return r.refuse(ReasonOlderVersion, role, "it names targets %d, %d was seen", targets, recorded)
	}
	return nil
}

// checkSnapshot refuses unless root, timestamp and snapshot are held, fit together and have not expired.
func (r *Repository) checkSnapshot(role string) *RefusalError {
	if refusal := r.checkRoot(role); refusal != nil {
		return refusal
	}
	switch {
	case r.timestamp == nil:
		return r.refuse(ReasonMissing, role, "no timestamp")
	case r.now >= r.timestamp.expires:
		return r.refuseExpired(role, r.timestamp.expires, "the timestamp expired at %s", r.timestamp.expires.Time())
	case r.snapshot == nil || r.snapshot.version != r.timestamp.Signed.Meta["snapshot.json"].Version:
		return r.refuse(ReasonMissing, role, "no snapshot %d", r.timestamp.Signed.Meta["snapshot.json"].Version)
	case r.now >= r.snapshot.expires:
		return r.refuseExpired(role, r.snapshot.expires, "the snapshot expired at %s", r.snapshot.expires.Time())
	}
	return nil
}
