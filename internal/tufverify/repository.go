// Package tufverify decides what metadata of a repository may be believed and passed on: The Update
// Framework's client workflow (TUF specification 1.0.31, section 5) and, beside it, Uptane's agreement of
// two repositories and reports of servers (Uptane Standard 2.1, section 5.4).
//
// How to call it: New makes the Repository of one name from its pinned root. Call the one method that
// names what has come, with the time; it refuses with a Refusal or holds what came. What it depends on
// for later is first handed to the Host, which must have made it durable when it returns: if it can't,
// what came is not held. Current says at each moment what may be passed on.
//
// The public library (go-tuf) is relied on for the types of metadata, canonical JSON and signatures. Its
// own workflow is not used, as it reads the clock. What the library leaves open is checked here: that no
// entry is null, that no object names a member twice, and that the signed part means in its bytes what
// the library has made of it, as clients read the bytes.
//
// Kind: decision
package tufverify

import (
	"fmt"
	"log/slog"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Limits on what is read, in bytes, and on the walk through delegations (specification 5.3.3, 5.4.1, 5.5.1,
// 5.6.1 and 5.6.7: the numbers are the implementer's). They guard against endless data; a repository
// with larger metadata is refused, and parts its targets by delegations.
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

// Repository is what is believed of one repository.
type Repository struct {
	name          string
	store         VersionStore
	now           Tick // the latest time ever trusted
	root          *verified[metadata.RootType]
	roots         map[int64][]byte // the chain from the pinned root on
	pinnedVersion int64
	keyEpoch      int64 // the root version that last changed the keys of timestamp or snapshot

	timestamp *verified[metadata.TimestampType]
	snapshot  *verified[metadata.SnapshotType]
	targets   map[string]*verified[metadata.TargetsType]
	Refused   [ReasonCount]int64 // how often, by reason

	// Log writes the log lines; nil discards them. Set it before the first update.
	Log func(level slog.Level, message string, fields ...slog.Attr)
}

// verified is one piece of metadata that was verified.
type verified[T metadata.Roles] struct {
	*metadata.Metadata[T]
	raw       []byte
	version   int64
	expires   Tick
	digest    Digest
	delegator string // the role that delegated to it, for targets
}

// New starts from a pinned root, which is trusted as it is if it is signed by its own keys.
// The newest root that was ever seen must be reached by Root before anything else is believed.
func New(name string, host VersionStore, now Tick, pinned []byte) (*Repository, error) {
	r := &Repository{name: name, store: host, now: host.TrustedTime(), targets: map[string]*verified[metadata.TargetsType]{}}
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

func (r *Repository) refuse(why Reason, role, form string, args ...any) *RefusalError {
	r.Refused[why]++
	return &RefusalError{why, r.name, role, fmt.Sprintf(form, args...)}
}

// advance lets time go on. A clock that jumps back moves nothing: what has expired stays so. This guards
// against clocks that start in 1970 or are set back; it hurts after a clock was far ahead once, as
// then all is expired until an operator lowers the floor's time.
func (r *Repository) advance(now Tick) { r.now = max(r.now, now) }

// log writes a line of this repository.
func (r *Repository) log(level slog.Level, message string, fields ...slog.Attr) {
	if r.Log != nil {
		r.Log(level, message, append([]slog.Attr{slog.String("repository", r.name)}, fields...)...)
	}
}

// Name is the repository's name.
func (r *Repository) Name() string { return r.name }
