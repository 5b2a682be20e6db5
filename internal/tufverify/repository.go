// Package tufverify verifies metadata: the client workflow of The Update Framework (TUF specification 1.0.31, section 5)
// and, beside it, Uptane's agreement of two repositories and reports of servers (Uptane Standard 2.1, section 5.4).
// Sections in comments are those of the TUF specification unless Uptane is named.
//
// New makes the Repository of one name from its pinned root. The caller passes what a mirror sent, with the time, to the
// Update method of its role: it is held, or refused with a RefusalError. Current tells at each moment which files may be
// served.
//
// Invariant: a version is recorded in the VersionStore, durably, before anything depends on it. If that fails, what came
// is not held.
//
// Nothing here is safe for concurrent use, reads a clock or does I/O beside the VersionStore.
//
// The library go-tuf gives the types of metadata, canonical JSON and signatures. Its own workflow is not used, as it reads
// the clock. What it leaves open is checked here: that no entry is null, that no object names a member twice, and that the
// bytes of the signed part mean what the library has made of them, as clients read the bytes.
//
// Kind: decision
package tufverify

import (
	"fmt"
	"log/slog"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Limits on what is read, in bytes, and on the walk through delegations (sections 5.3.3, 5.4.1, 5.5.1, 5.6.1 and 5.6.7
// leave the numbers to the implementer). Guards against endless data. A repository with larger metadata is refused; it can
// divide its targets by delegations.
const (
	MaxRootSize      = 512 << 10
	MaxTimestampSize = 16 << 10
	MaxSnapshotSize  = 2 << 20
	MaxTargetsSize   = 5 << 20
	MaxRootRotations = 1024 // of one chain
	maxVisitedRoles  = 32   // visited in search of one target
	maxHeldRoles     = 256  // roles of targets held at once
	maxSnapshotFiles = 1 << 16
)

// Repository is the verified state of one repository.
type Repository struct {
	name          string
	store         VersionStore
	now           Tick // the latest time ever trusted: it never goes back
	root          *verified[metadata.RootType]
	roots         map[int64][]byte // by version, from the pinned root on
	pinnedVersion int64
	keyEpoch      int64 // the root version that last changed the keys of timestamp or snapshot

	timestamp *verified[metadata.TimestampType]
	snapshot  *verified[metadata.SnapshotType]
	targets   map[string]*verified[metadata.TargetsType] // by role

	// Refused counts the refusals by reason.
	Refused [ReasonCount]int64

	// Log writes the log lines; nil discards them. Set it before the first update.
	Log func(level slog.Level, message string, fields ...slog.Attr)
}

// verified is one metadata file that was parsed and, once a Repository holds it, verified.
type verified[T metadata.Roles] struct {
	*metadata.Metadata[T]
	raw       []byte // as it came, and as it is served
	version   int64
	expires   Tick
	digest    Digest
	delegator string // the role that delegates to it, for targets
}

// New starts from a pinned root, which is trusted if its own keys have signed it (section 5.2); else its error is a
// RefusalError. Until UpdateRoot has reached the newest root that was ever recorded, every other file is refused.
func New(name string, store VersionStore, now Tick, pinned []byte) (*Repository, error) {
	r := &Repository{name: name, store: store, now: store.TrustedTime(), targets: map[string]*verified[metadata.TargetsType]{}}
	r.advance(now)
	root, refusal := parse[metadata.RootType](r, metadata.ROOT, pinned, MaxRootSize)
	if refusal == nil {
		refusal = validateRoot(r, root)
	}
	if refusal == nil {
		refusal = r.verifySignatures(root.Metadata, metadata.ROOT, root.Metadata, root.Signatures)
	}
	if refusal != nil {
		return nil, refusal
	}
	r.roots, r.pinnedVersion = map[int64][]byte{root.version: root.raw}, root.version
	r.root, r.keyEpoch = root, root.version
	return r, nil
}

// refuse counts a refusal and makes its error.
func (r *Repository) refuse(reason Reason, role, format string, args ...any) *RefusalError {
	r.Refused[reason]++
	return &RefusalError{Reason: reason, Repository: r.name, Role: role, Text: fmt.Sprintf(format, args...)}
}

// advance sets the time. Guards against clocks that start in 1970 or are set back: seen as expired metadata that count
// again; holds because the time only grows. After a clock was far ahead once, everything counts as expired until an
// operator sets the version store's time back.
func (r *Repository) advance(now Tick) { r.now = max(r.now, now) }

// log writes a line of this repository.
func (r *Repository) log(level slog.Level, message string, fields ...slog.Attr) {
	if r.Log != nil {
		r.Log(level, message, append([]slog.Attr{slog.String("repository", r.name)}, fields...)...)
	}
}

// Name is the repository's name.
func (r *Repository) Name() string { return r.name }
