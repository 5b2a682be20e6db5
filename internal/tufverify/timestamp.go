package tufverify

import (
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// UpdateTimestamp verifies a timestamp and holds it if it is valid (section 5.4). If the same timestamp is held already, it is
// refused with ReasonAlreadyHeld, or with ReasonExpired if it has expired.
func (r *Repository) UpdateTimestamp(now Tick, data []byte) *RefusalError {
	r.advance(now)
	const role = metadata.TIMESTAMP
	if refusal := r.checkRoot(role); refusal != nil {
		return refusal
	}
	stamp, refusal := parse[metadata.TimestampType](r, role, data, MaxTimestampSize)
	if refusal != nil {
		return refusal
	}
	meta := stamp.Signed.Meta["snapshot.json"]
	if meta == nil || meta.Version < 1 || len(stamp.Signed.Meta) != 1 {
		return r.refuse(ReasonMalformed, role, "it must list the snapshot and no other file")
	}
	if refusal = r.verifySignatures(r.root.Metadata, role, stamp.Metadata, stamp.Signatures); refusal != nil {
		return refusal
	}
	if h := r.timestamp; h != nil && stamp.version == h.version && stamp.digest == h.digest {
		if r.now >= stamp.expires {
			return r.refuseExpired(role, stamp.expires, "version %d expired at %s", stamp.version, stamp.expires.Time())
		}
		return r.refuse(ReasonAlreadyHeld, role, "version %d", stamp.version)
	}
	if refusal = r.checkRollback(role, stamp.version, stamp.digest, stamp.expires); refusal != nil {
		return refusal
	}
	if recorded, _ := r.store.Recorded(r.storeKey("snapshot")); meta.Version < recorded {
		return r.refuse(ReasonOlderVersion, role, "it lists snapshot %d, %d was recorded before", meta.Version, recorded)
	}
	if refusal = r.recordVersion(role, stamp.version, stamp.digest); refusal != nil {
		return refusal
	}
	r.timestamp = stamp
	return nil
}
