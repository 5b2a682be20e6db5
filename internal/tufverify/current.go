package tufverify

import (
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Current gives a file that is held, if it may be served now: everything that it depends on is held, fits together and has
// not expired, and the version asked for is the current one. Earlier roots of the chain are served whatever their age, as
// clients walk through them (sections 5.3.4 to 5.3.9); the newest must not have expired.
func (r *Repository) Current(now Tick, f File) ([]byte, *RefusalError) {
	r.advance(now)
	switch f.Role {
	case metadata.ROOT:
		if data := r.roots[f.Version]; data != nil && f.Version < r.root.version {
			return data, nil
		}
		if f.Version > r.root.version {
			return nil, r.refuse(ReasonMissing, f.Role, "version %d is not there yet", f.Version)
		}
		if refusal := r.checkRoot(f.Role); refusal != nil {
			return nil, refusal
		}
		if f.Version != 0 && f.Version != r.root.version {
			return nil, r.refuse(ReasonMissing, f.Role, "version %d is before the pinned one", f.Version)
		}
		return r.root.raw, nil
	case metadata.TIMESTAMP:
		// Not before all that it names is held: else clients would find no snapshot that fits.
		if f.Version != 0 {
			return nil, r.refuse(ReasonNotListed, f.Role, "timestamps have no versioned name")
		}
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
		return nil, r.refuse(ReasonNotListed, f.Role, "the snapshot does not name it")
	}
	if t == nil {
		return nil, r.refuse(ReasonMissing, f.Role, "not held")
	}
	if refusal := r.checkDelegationChain(f.Role); refusal != nil {
		return nil, refusal
	}
	return r.checkVersion(f, t.raw, t.version)
}

// checkComplete refuses unless a complete set is held, fits together and has not expired: root, timestamp, snapshot and
// top-level targets.
func (r *Repository) checkComplete() *RefusalError {
	if refusal := r.checkSnapshot(metadata.TARGETS); refusal != nil {
		return refusal
	}
	if r.targets[metadata.TARGETS] == nil {
		return r.refuse(ReasonMissing, metadata.TARGETS, "not held")
	}
	return r.checkDelegationChain(metadata.TARGETS)
}

// checkDelegationChain refuses if a role of targets, or one of those that delegated to it, has expired.
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

// checkVersion gives data if a file name asks for its version, or has none in a repository without consistent snapshots
// (section 6.2).
func (r *Repository) checkVersion(f File, data []byte, version int64) ([]byte, *RefusalError) {
	switch {
	case f.Version == version:
	case f.Version > version:
		return nil, r.refuse(ReasonMissing, f.Role, "version %d is not there yet", f.Version)
	case f.Version > 0:
		return nil, r.refuse(ReasonOlderVersion, f.Role, "version %d, %d counts", f.Version, version)
	case r.root.Signed.ConsistentSnapshot:
		return nil, r.refuse(ReasonMissing, f.Role, "the repository has consistent snapshots: ask for a version")
	}
	return data, nil
}

// Version is the version of a role that is held, 0 for none.
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

// Expires is the earliest expiry of the files of a complete set that are held.
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
