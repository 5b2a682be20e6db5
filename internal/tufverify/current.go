package tufverify

import (
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Current returns the content of a held file if the file may be served now. All files that it depends on must be held,
// consistent with each other and not expired, and the requested version must be the current one. Earlier roots of the chain are
// served even if they have expired, because clients verify the chain root by root (sections 5.3.4 to 5.3.9). The newest root
// must not have expired.
func (r *Repository) Current(now Tick, f File) ([]byte, *RefusalError) {
	r.advance(now)
	switch f.Role {
	case metadata.ROOT:
		if data := r.roots[f.Version]; data != nil && f.Version < r.root.version {
			return data, nil
		}
		if f.Version > r.root.version {
			return nil, r.refuse(ReasonMissing, f.Role, "version %d is not published yet", f.Version)
		}
		if refusal := r.checkRoot(f.Role); refusal != nil {
			return nil, refusal
		}
		if f.Version != 0 && f.Version != r.root.version {
			return nil, r.refuse(ReasonMissing, f.Role, "version %d is older than the pinned root", f.Version)
		}
		return r.root.raw, nil
	case metadata.TIMESTAMP:
		if f.Version != 0 {
			return nil, r.refuse(ReasonNotListed, f.Role, "the file name of a timestamp has no version")
		}
		// The timestamp is served only if root, timestamp, snapshot and top-level targets are all held (see checkComplete).
		// Otherwise a client that has fetched the timestamp would not find the snapshot or the targets to which it leads.
		if refusal := r.checkComplete(); refusal != nil {
			return nil, refusal
		}
		return r.timestamp.raw, nil
	case metadata.SNAPSHOT:
		if refusal := r.checkSnapshot(f.Role); refusal != nil {
			return nil, refusal
		}
		return r.checkVersion(f, r.snapshot.raw, r.snapshot.version)
	}
	if refusal := r.checkSnapshot(f.Role); refusal != nil {
		return nil, refusal
	}
	t := r.targets[f.Role]
	if t == nil && r.snapshot.Signed.Meta[f.Role+".json"] == nil {
		return nil, r.refuse(ReasonNotListed, f.Role, "not listed in the snapshot")
	}
	if t == nil {
		return nil, r.refuse(ReasonMissing, f.Role, "not held")
	}
	if refusal := r.checkDelegationChain(f.Role); refusal != nil {
		return nil, refusal
	}
	return r.checkVersion(f, t.raw, t.version)
}

// checkComplete returns a refusal unless root, timestamp, snapshot and top-level targets are held, consistent with each other and
// not expired.
func (r *Repository) checkComplete() *RefusalError {
	if refusal := r.checkSnapshot(metadata.TARGETS); refusal != nil {
		return refusal
	}
	if r.targets[metadata.TARGETS] == nil {
		return r.refuse(ReasonMissing, metadata.TARGETS, "not held")
	}
	return r.checkDelegationChain(metadata.TARGETS)
}

// checkDelegationChain checks the metadata of a targets role, and those of each role on the delegation path to it. It
// returns a refusal if any of these metadata have expired or are not held.
func (r *Repository) checkDelegationChain(role string) *RefusalError {
	for name := role; name != metadata.ROOT; name = r.targets[name].delegator {
		t := r.targets[name]
		if t == nil {
			return r.refuse(ReasonMissing, role, "%s is not held", name)
		}
		if r.now >= t.expires {
			return r.refuseExpired(role, t.expires, "%s %d expired at %s", name, t.version, t.expires.Time())
		}
	}
	return nil
}

// checkVersion returns data, the held file of a role, if f requests the held version. It also returns data if f has no version
// and the repository has no consistent snapshots (section 6.2). Otherwise it returns a refusal.
func (r *Repository) checkVersion(f File, data []byte, version int64) ([]byte, *RefusalError) {
	switch {
	case f.Version == version:
	case f.Version > version:
		return nil, r.refuse(ReasonMissing, f.Role, "version %d is not published yet", f.Version)
	case f.Version > 0:
		return nil, r.refuse(ReasonOlderVersion, f.Role, "version %d is not current, %d is", f.Version, version)
	case r.root.Signed.ConsistentSnapshot:
		return nil, r.refuse(ReasonMissing, f.Role, "the file name needs a version, as the repository has consistent snapshots")
	}
	return data, nil
}

// Version returns the held version of a role, or 0 if none is held.
func (r *Repository) Version(role string) int64 {
	switch {
	case role == metadata.ROOT:
		return r.root.version
	case role == metadata.TIMESTAMP && r.timestamp != nil:
		return r.timestamp.version
	case role == metadata.SNAPSHOT && r.snapshot != nil:
		return r.snapshot.version
	case r.targets[role] != nil:
		return r.targets[role].version
	}
	return 0
}

// Expires returns the earliest expiry time among the held root, timestamp, snapshot and top-level targets.
func (r *Repository) Expires() Tick {
	at := r.root.expires
	if r.timestamp != nil {
		at = min(at, r.timestamp.expires)
	}
	if r.snapshot != nil {
		at = min(at, r.snapshot.expires)
	}
	if t := r.targets[metadata.TARGETS]; t != nil {
		at = min(at, t.expires)
	}
	return at
}
