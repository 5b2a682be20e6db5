package tufverify

import (
	"slices"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// NextFile is the next file that is needed for a whole set, with the most bytes that it may have and
// whether it must be asked for again, as what is held will not do. Without any: ok is false.
func (r *Repository) NextFile(now Tick) (f File, most int, ok bool) {
	r.advance(now)
	versioned := func(role string, v int64) File {
		if r.root.Signed.ConsistentSnapshot {
			return File{role, v}
		}
		return File{Role: role}
	}
	seen, _ := r.store.Recorded(r.storeKey(metadata.ROOT))
	switch {
	case r.root.version < seen || r.now >= r.root.expires:
		return File{metadata.ROOT, r.NextRootVersion()}, MaxRootSize, true
	case r.timestamp == nil || r.now >= r.timestamp.expires:
		return File{Role: metadata.TIMESTAMP}, MaxTimestampSize, true
	case r.snapshot == nil || r.snapshot.version != r.timestamp.Signed.Meta["snapshot.json"].Version:
		m := r.timestamp.Signed.Meta["snapshot.json"]
		return versioned(metadata.SNAPSHOT, m.Version), maxLength(m, MaxSnapshotSize), true
	case r.targets[metadata.TARGETS] == nil:
		m := r.snapshot.Signed.Meta["targets.json"]
		return versioned(metadata.TARGETS, m.Version), maxLength(m, MaxTargetsSize), true
	}
	return f, 0, false
}

// TargetsFile is the file of a role of targets as the snapshot names it.
func (r *Repository) TargetsFile(now Tick, role string) (f File, most int, refusal *RefusalError) {
	r.advance(now)
	if refusal = r.checkSnapshot(role); refusal != nil {
		return f, 0, refusal
	}
	m := r.snapshot.Signed.Meta[role+".json"]
	if m == nil {
		return f, 0, r.refuse(ReasonUnnamed, role, "the snapshot does not name it")
	}
	f = File{Role: role}
	if r.root.Signed.ConsistentSnapshot {
		f.Version = m.Version
	}
	return f, maxLength(m, MaxTargetsSize), nil
}

// maxLength is the length that a parent gives for a file, within what is allowed at all.
func maxLength(m *metadata.MetaFiles, most int) int {
	if m.Length > 0 && m.Length < int64(most) {
		return int(m.Length)
	}
	return most
}

// MissingRoles are roles of targets that the snapshot names and that are not held, by name: what delegates to
// a role may have to be had first.
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
