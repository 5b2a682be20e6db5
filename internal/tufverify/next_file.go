package tufverify

import (
	"slices"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// NextFile returns the next file to fetch, and its maximum size in bytes. ok is false if the set of root, timestamp,
// snapshot and top-level targets is complete. If the held root has expired or is older than the root version in the
// version store, the next file is the next root. Otherwise, if the held timestamp has expired, the next file is the
// timestamp.
func (r *Repository) NextFile(now Tick) (f File, maxSize int, ok bool) {
	r.advance(now)
	recorded, _ := r.store.Recorded(r.storeKey(metadata.ROOT))
	switch {
	case r.root.version < recorded || r.now >= r.root.expires:
		return File{Role: metadata.ROOT, Version: r.NextRootVersion()}, MaxRootSize, true
	case r.timestamp == nil || r.now >= r.timestamp.expires:
		return File{Role: metadata.TIMESTAMP}, MaxTimestampSize, true
	case r.snapshot == nil || r.snapshot.version != r.timestamp.Signed.Meta["snapshot.json"].Version:
		m := r.timestamp.Signed.Meta["snapshot.json"]
		return r.fileOf(metadata.SNAPSHOT, m.Version), lengthLimit(m, MaxSnapshotSize), true
	case r.targets[metadata.TARGETS] == nil:
		m := r.snapshot.Signed.Meta["targets.json"]
		return r.fileOf(metadata.TARGETS, m.Version), lengthLimit(m, MaxTargetsSize), true
	}
	return f, 0, false
}

// TargetsFile returns the file that the snapshot lists for a targets role, and the maximum size of the file in bytes.
func (r *Repository) TargetsFile(now Tick, role string) (f File, maxSize int, refusal *RefusalError) {
	r.advance(now)
	if refusal = r.checkSnapshot(role); refusal != nil {
		return f, 0, refusal
	}
	m := r.snapshot.Signed.Meta[role+".json"]
	if m == nil {
		return f, 0, r.refuse(ReasonNotListed, role, "not listed in the snapshot")
	}
	return r.fileOf(role, m.Version), lengthLimit(m, MaxTargetsSize), nil
}

// fileOf returns the file of a version of a role. With consistent snapshots the file name contains the version (section 6.2).
func (r *Repository) fileOf(role string, version int64) File {
	if r.root.Signed.ConsistentSnapshot {
		return File{Role: role, Version: version}
	}
	return File{Role: role}
}

// lengthLimit returns the maximum size of a file in bytes. m is the entry that a timestamp or snapshot has for the
// file. The maximum size is the length in m, or limit if m has no length or a length above limit.
func lengthLimit(m *metadata.MetaFiles, limit int) int {
	if m.Length > 0 && m.Length < int64(limit) {
		return int(m.Length)
	}
	return limit
}

// MissingRoles returns the targets roles that the snapshot lists and whose metadata are not held, sorted by name. It returns at
// most maxVisitedRoles of them. The metadata of a delegated role are accepted only if those of a role that delegates to it are
// held.
func (r *Repository) MissingRoles() (roles []string) {
	if r.snapshot == nil {
		return nil
	}
	for name := range r.snapshot.Signed.Meta {
		if role := strings.TrimSuffix(name, ".json"); r.targets[role] == nil {
			roles = append(roles, role)
		}
	}
	slices.Sort(roles)
	return roles[:min(len(roles), maxVisitedRoles)]
}
