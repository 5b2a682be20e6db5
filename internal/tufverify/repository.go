// Package tufverify verifies metadata with the client workflow of The Update Framework (TUF specification 1.0.31, section 5). It
// also verifies that the Director and the image repository of Uptane agree on a target, and it verifies the reports of servers
// (Uptane Standard 2.1, section 5.4). Sections in comments are those of the TUF specification unless Uptane is mentioned.
//
// New creates a Repository from a name and a pinned root. The caller passes each file that a mirror sent, with the current time,
// to the Update method of the file's role. The method either accepts and holds the file, or refuses it with a RefusalError.
// Current returns the files that may be served at a given time.
//
// Invariant: a version is recorded durably in the VersionStore before anything depends on it. If recording fails, the file is
// not accepted.
//
// Nothing in this package is safe for concurrent use. The package reads no clock and does no I/O other than through the VersionStore.
//
// The library go-tuf provides the metadata types, canonical JSON and signatures. Its client workflow is not used, because the
// workflow reads the clock. This package makes the checks that go-tuf omits: no entry is null, no object has a duplicate member,
// and the bytes of the signed part have the meaning that go-tuf decoded from them. The last check is needed because clients
// parse these bytes again.
//
// Kind: decision (see docs/architecture.md)
package tufverify

import (
	"fmt"
	"log/slog"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Limits on the size of files, in bytes, and on the traversal of delegations. They guard against endless data attacks. Sections
// 5.3.3, 5.4.1, 5.5.1, 5.6.1 and 5.6.7 leave the numbers to the implementer. Metadata that exceed a limit are refused. The
// publisher of a large repository can divide its targets among delegated roles.
const (
	MaxRootSize      = 512 << 10
	MaxTimestampSize = 16 << 10
	MaxSnapshotSize  = 2 << 20
	MaxTargetsSize   = 5 << 20
	MaxRootRotations = 1024    // maximum number of held roots, including the pinned root
	maxVisitedRoles  = 32      // maximum number of roles visited in one search for a target
	maxHeldRoles     = 256     // maximum number of targets roles held at the same time
	maxSnapshotFiles = 1 << 16 // maximum number of files that one snapshot lists
)

// Repository is the verified state of one TUF repository.
type Repository struct {
	name          string
	store         VersionStore
	now           Tick // latest time that a caller has passed or that was recorded before a restart; never decreases
	root          *verified[metadata.RootType]
	roots         map[int64][]byte // file content of each root since the pinned root, keyed by version
	pinnedVersion int64
	keyEpoch      int64 // version of the root that last changed the keys of timestamp or snapshot; pinnedVersion if none did

	timestamp *verified[metadata.TimestampType]
	snapshot  *verified[metadata.SnapshotType]
	targets   map[string]*verified[metadata.TargetsType] // keyed by role

	// Refused holds the number of refusals, indexed by Reason.
	Refused [ReasonCount]int64

	// Log writes log lines; nil discards them. It must be set before the first update.
	Log func(level slog.Level, message string, fields ...slog.Attr)
}

// verified is a parsed metadata file. Its signatures have been verified if a Repository holds it.
type verified[T metadata.Roles] struct {
	*metadata.Metadata[T]
	raw       []byte // the bytes received, which are also the bytes served
	version   int64
	expires   Tick
	digest    Digest
	delegator string // set for targets metadata only: the role whose metadata list the keys of this role
}

// New creates a Repository from a pinned root, which is trusted if it is signed by its own keys (section 5.2). Otherwise New
// returns a RefusalError. Files of other roles than root are refused until UpdateRoot has reached the newest root that was ever
// recorded.
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

// refuse counts a refusal and returns it.
func (r *Repository) refuse(reason Reason, role, format string, args ...any) *RefusalError {
	r.Refused[reason]++
	return &RefusalError{Reason: reason, Repository: r.name, Role: role, Text: fmt.Sprintf(format, args...)}
}

// advance sets r.now to now if now is later. r.now therefore never decreases, and expired metadata do not become valid
// again if a clock starts in 1970 or is set back. If a clock was ever far ahead, all metadata count as expired until an
// operator sets the time in the version store back.
func (r *Repository) advance(now Tick) { r.now = max(r.now, now) }

// log writes a log line with the name of this repository.
func (r *Repository) log(level slog.Level, message string, fields ...slog.Attr) {
	if r.Log != nil {
		r.Log(level, message, append([]slog.Attr{slog.String("repository", r.name)}, fields...)...)
	}
}

// Name returns the name of the repository.
func (r *Repository) Name() string { return r.name }
