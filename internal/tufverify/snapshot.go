package tufverify

import (
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// UpdateSnapshot takes the snapshot that the timestamp names (5.5).
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
	snap, refusal := parse[metadata.SnapshotType](r, role, data, MaxSnapshotSize)
	if refusal != nil {
		return refusal
	}
	if len(snap.Signed.Meta) > maxSnapshotFiles {
		return r.refuse(ReasonTooLarge, role, "%d files", len(snap.Signed.Meta))
	}
	for name, m := range snap.Signed.Meta {
		if m == nil || m.Version < 1 {
			return r.refuse(ReasonMalformed, role, "%s without a version", name)
		}
	}
	if snap.Signed.Meta["targets.json"] == nil {
		return r.refuse(ReasonMalformed, role, "it does not name the targets")
	}
	if refusal = r.verifySignatures(r.root.Metadata, role, snap.Metadata, snap.Signatures); refusal != nil {
		return refusal
	}
	if snap.version != named.Version {
		return r.refuse(ReasonVersionMismatch, role, "version %d, the timestamp names %d", snap.version, named.Version)
	}
	if r.snapshot != nil && snap.version == r.snapshot.version && snap.digest == r.snapshot.digest {
		return r.refuse(ReasonAlreadyHeld, role, "version %d", snap.version)
	}
	if refusal = r.checkRollback(role, snap.version, snap.digest, snap.expires); refusal != nil {
		return refusal
	}
	if r.snapshot != nil { // 5.5.5: nothing goes back or away
		for name, was := range r.snapshot.Signed.Meta {
			switch is := snap.Signed.Meta[name]; {
			case is == nil:
				return r.refuse(ReasonOlderVersion, role, "%s is no longer named", name)
			case is.Version < was.Version:
				return r.refuse(ReasonOlderVersion, role, "it names %s %d, %d was named", name, is.Version, was.Version)
			}
		}
	}
	if seen, _ := r.store.Recorded(r.storeKey("targets")); snap.Signed.Meta["targets.json"].Version < seen {
		return r.refuse(ReasonOlderVersion, role, "it names targets %d, %d was seen", snap.Signed.Meta["targets.json"].Version, seen)
	}
	if refusal = r.recordVersion(role, r.storeKey(role), snap.version, snap.digest); refusal != nil {
		return refusal
	}
	r.snapshot = snap
	for name := range r.targets {
		if m := snap.Signed.Meta[name+".json"]; m == nil || m.Version != r.targets[name].version {
			r.dropRole(name)
		}
	}
	return nil
}

// checkSnapshot: timestamp and snapshot are held, fit together and have not expired.
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
