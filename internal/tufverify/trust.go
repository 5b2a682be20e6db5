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
	"crypto/sha256"
	"fmt"
	"log/slog"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Tick is a moment in whole tenths of a millisecond since 1970, UTC.
type Tick int64

// Second is one second in ticks.
const Second Tick = 10000

// FromTime turns a time into ticks.
func FromTime(t time.Time) Tick { return Tick(t.UnixMicro() / 100) }

// Time turns ticks into a time.
func (t Tick) Time() time.Time { return time.UnixMicro(int64(t) * 100).UTC() }

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

// Reason tells what is wrong with a piece of metadata.
type Reason uint8

// The reasons. Same is no fault: it is the version that is held already.
const (
	ReasonNone            Reason = iota
	ReasonAlreadyHeld            // it is held already
	ReasonOlderVersion           // a newer one was seen
	ReasonExpired                // by the latest time that was ever trusted
	ReasonBadSignature           // a signature of a key of the role does not fit
	ReasonBelowThreshold         // some signatures fit, but too few
	ReasonUnknownKey             // no key of the role has signed it: another repository's, or a revoked key's
	ReasonHashMismatch           // its length or hash is not what its parent says
	ReasonVersionMismatch        // its version is not what its parent says
	ReasonConflict               // the version was seen with other content
	ReasonMalformed              // it makes no sense
	ReasonTooLarge               // more than is allowed
	ReasonMissing                // what it hangs on is not held
	ReasonNotDurable             // what must outlive a restart could not be written
	ReasonDisagreement           // Director and Image repository do not say the same
	ReasonOtherServer            // for another server or another kind of hardware
	ReasonUnnamed                // nothing that is held names it
	ReasonCount
)

var whys = [ReasonCount]string{"fine", "the same version", "older than what was seen", "expired", "wrongly signed",
	"under its threshold", "not of this repository's keys", "not as long or not of the hash its parent says",
	"not the version its parent says", "seen with other content", "malformed", "too long",
	"not had yet", "not kept: the floor cannot be written", "not agreed on by both repositories",
	"for another server", "not named by anything"}

func (w Reason) String() string { return whys[min(w, ReasonCount-1)] }

// RefusalError says why something is not believed or not passed on.
type RefusalError struct {
	Reason           Reason
	Repository, Role string
	Text             string
}

func (r *RefusalError) Error() string {
	s := r.Repository + " " + r.Role + ": " + r.Reason.String()
	if r.Text != "" {
		s += ": " + r.Text
	}
	return s
}

// LogFields are the fields that tell of a refusal in a log line.
func (r *RefusalError) LogFields() []slog.Attr {
	return []slog.Attr{slog.String("repository", r.Repository), slog.String("role", r.Role),
		slog.String("reason", r.Reason.String()), slog.String("detail", r.Text)}
}

// Digest is the SHA-256 of the canonical form of what was signed.
type Digest [sha256.Size]byte

// VersionStore keeps what must outlive this process. Both kinds of writing are durable when they return, or have
// failed and changed nothing that a later Seen tells.
type VersionStore interface {
	Recorded(key string) (version int64, sum Digest) // 0 for never
	Record(key string, version int64, sum Digest) error
	TrustedTime() Tick // the latest time that was ever trusted
	AdvanceTime(now Tick) error
}

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

// AdvanceTime lets time go on while nothing else happens, and makes it durable in steps.
func (r *Repository) AdvanceTime(now Tick) {
	const step = 5 * Second // what a restart with a clock set back may lose
	if r.advance(now); r.now >= r.store.TrustedTime()+step {
		if err := r.store.AdvanceTime(r.now); err != nil {
			r.logTimeNotRecorded(err)
		}
	}
}

// log writes a line of this repository.
func (r *Repository) log(level slog.Level, message string, fields ...slog.Attr) {
	if r.Log != nil {
		r.Log(level, message, append([]slog.Attr{slog.String("repository", r.name)}, fields...)...)
	}
}

func (r *Repository) logTimeNotRecorded(err error) {
	r.log(slog.LevelError, "trusted time could not be recorded", slog.String("error", err.Error()))
}

// refuseExpired refuses what has expired, and makes durable that it has, so that no clock undoes it.
func (r *Repository) refuseExpired(role string, expires Tick, form string, args ...any) *RefusalError {
	if r.store.TrustedTime() < expires {
		if err := r.store.AdvanceTime(r.now); err != nil {
			r.logTimeNotRecorded(err)
		}
	}
	return r.refuse(ReasonExpired, role, form, args...)
}

// UpdateRoot takes the next root of the chain (5.3). Both the root before it and it itself must have signed it.
func (r *Repository) UpdateRoot(now Tick, data []byte) *RefusalError {
	r.advance(now)
	next, refusal := parse[metadata.RootType](r, metadata.ROOT, data, MaxRootSize)
	if refusal != nil {
		return refusal
	}
	switch want := r.root.version + 1; {
	case next.version == r.root.version && next.digest == r.root.digest:
		return r.refuse(ReasonAlreadyHeld, metadata.ROOT, "version %d", next.version)
	case next.version < want:
		return r.refuse(ReasonOlderVersion, metadata.ROOT, "version %d, %d is held", next.version, r.root.version)
	case next.version > want:
		return r.refuse(ReasonVersionMismatch, metadata.ROOT, "version %d, the next is %d", next.version, want)
	case len(r.roots) >= MaxRootRotations:
		return r.refuse(ReasonTooLarge, metadata.ROOT, "a chain of more than %d", MaxRootRotations)
	}
	if refusal = validateRoot(r, next); refusal != nil {
		return refusal
	}
	if refusal = r.verifySignatures(r.root.Metadata, metadata.ROOT, next.Metadata, next.Signatures); refusal != nil {
		return refusal
	}
	if refusal = r.verifySignatures(next.Metadata, metadata.ROOT, next.Metadata, next.Signatures); refusal != nil {
		return refusal
	}
	if refusal = r.recordVersion(metadata.ROOT, metadata.ROOT, next.version, next.digest); refusal != nil {
		return refusal
	}
	// 5.3.11: with new keys for timestamp or snapshot what the old ones signed is forgotten, also from
	// the floor, so that a stolen key that signed a version far ahead does not last.
	if !sameKeys(r.root, next, metadata.TIMESTAMP) || !sameKeys(r.root, next, metadata.SNAPSHOT) {
		r.keyEpoch, r.timestamp, r.snapshot = next.version, nil, nil
		clear(r.targets)
		r.log(slog.LevelInfo, "online keys replaced and version history reset", slog.Int64("version", next.version))
	}
	r.root = next
	r.roots[next.version] = next.raw
	for role, t := range r.targets { // keys of the targets may have been revoked
		if t.delegator == metadata.ROOT && !r.stillSigned(t) {
			r.dropRole(role)
		}
	}
	return nil
}

// stillSigned tells whether the root now held still vouches for the top-level targets.
func (r *Repository) stillSigned(t *verified[metadata.TargetsType]) bool {
	return r.root.VerifyDelegate(metadata.TARGETS, t.Metadata) == nil
}

// dropRole drops a role of targets and all that it delegated to.
func (r *Repository) dropRole(role string) {
	delete(r.targets, role)
	for name, t := range r.targets {
		if t.delegator == role && name != role {
			r.dropRole(name)
		}
	}
}

// checkRoot: the newest root that was ever seen is held, and has not expired (5.3.10).
func (r *Repository) checkRoot(role string) *RefusalError {
	seen, sum := r.store.Recorded(r.storeKey(metadata.ROOT))
	switch {
	case r.root.version < seen:
		return r.refuse(ReasonMissing, role, "root %d was seen before, %d is held", seen, r.root.version)
	case r.root.version == seen && seen > r.pinnedVersion && sum != r.root.digest:
		return r.refuse(ReasonConflict, role, "root %d was seen before with other content", seen)
	case r.now >= r.root.expires:
		return r.refuseExpired(role, r.root.expires, "root %d expired at %s", r.root.version, r.root.expires.Time())
	}
	return nil
}

// UpdateTimestamp takes a timestamp (5.4). One of the version held, with the same content, is refused as Same.
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
		return r.refuse(ReasonMalformed, role, "it must name the snapshot, and nothing else")
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
	if seen, _ := r.store.Recorded(r.storeKey("snapshot")); meta.Version < seen {
		return r.refuse(ReasonOlderVersion, role, "it names snapshot %d, %d was seen", meta.Version, seen)
	}
	if refusal = r.recordVersion(role, r.storeKey(role), stamp.version, stamp.digest); refusal != nil {
		return refusal
	}
	r.timestamp = stamp
	return nil
}

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

// UpdateTargets takes the targets of a role (5.6): the top-level ones, or those of a role that targets held
// already delegate to.
func (r *Repository) UpdateTargets(now Tick, role string, data []byte) *RefusalError {
	r.advance(now)
	if refusal := r.checkSnapshot(role); refusal != nil {
		return refusal
	}
	named := r.snapshot.Signed.Meta[role+".json"]
	if named == nil {
		return r.refuse(ReasonUnnamed, role, "the snapshot does not name it")
	}
	if refusal := r.checkMetaFile(role, named, data, MaxTargetsSize); refusal != nil {
		return refusal
	}
	t, refusal := parse[metadata.TargetsType](r, role, data, MaxTargetsSize)
	if refusal != nil {
		return refusal
	}
	if refusal = validateTargets(r, role, t); refusal != nil {
		return refusal
	}
	if t.delegator, refusal = r.verifyDelegation(role, t); refusal != nil {
		return refusal
	}
	if t.version != named.Version {
		return r.refuse(ReasonVersionMismatch, role, "version %d, the snapshot names %d", t.version, named.Version)
	}
	if h := r.targets[role]; h != nil && h.version == t.version && h.digest == t.digest {
		return r.refuse(ReasonAlreadyHeld, role, "version %d", t.version)
	}
	if refusal = r.checkRollback(role, t.version, t.digest, t.expires); refusal != nil {
		return refusal
	}
	if len(r.targets) >= maxHeldRoles && r.targets[role] == nil {
		return r.refuse(ReasonTooLarge, role, "%d roles are held", maxHeldRoles)
	}
	if refusal = r.recordVersion(role, r.storeKey(role), t.version, t.digest); refusal != nil {
		return refusal
	}
	r.targets[role] = t
	return nil
}

// verifyDelegation finds who delegates to a role and verifies its signatures by that.
func (r *Repository) verifyDelegation(role string, t *verified[metadata.TargetsType]) (by string, refusal *RefusalError) {
	if role == metadata.TARGETS {
		return metadata.ROOT, r.verifySignatures(r.root.Metadata, role, t.Metadata, t.Signatures)
	}
	for _, name := range r.heldRoles() {
		from := r.targets[name]
		if !delegates(from, role) || name == role {
			continue
		}
		if refusal = r.verifySignatures(from.Metadata, role, t.Metadata, t.Signatures); refusal == nil {
			return name, nil
		}
	}
	if refusal == nil {
		refusal = r.refuse(ReasonMissing, role, "no targets that are held delegate to it")
	}
	return "", refusal
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

// checkRollback: it has not expired, and nothing newer or of the same version but other content was ever seen.
func (r *Repository) checkRollback(role string, version int64, sum Digest, expires Tick) *RefusalError {
	seen, was := r.store.Recorded(r.storeKey(role))
	switch {
	case version < seen:
		return r.refuse(ReasonOlderVersion, role, "version %d, %d was seen", version, seen)
	case version == seen && sum != was:
		return r.refuse(ReasonConflict, role, "version %d", version)
	case r.now >= expires:
		return r.refuseExpired(role, expires, "version %d expired at %s", version, expires.Time())
	}
	return nil
}

// recordVersion makes a version durable before anything depends on it, and the time with it.
func (r *Repository) recordVersion(role, key string, version int64, sum Digest) *RefusalError {
	if role == metadata.ROOT {
		key = r.storeKey(role)
	}
	switch seen, was := r.store.Recorded(key); {
	case version == seen && sum == was, role == metadata.ROOT && version < seen:
		return nil // known from before a restart
	case version == seen:
		return r.refuse(ReasonConflict, role, "version %d", version)
	}
	err := r.store.Record(key, version, sum)
	if err == nil && r.now > r.store.TrustedTime()+Second {
		err = r.store.AdvanceTime(r.now)
	}
	if err != nil {
		return r.refuse(ReasonNotDurable, role, "%v", err)
	}
	return nil
}

// storeKey names a role for the floor. All but the root count by the era of their keys.
func (r *Repository) storeKey(role string) string {
	if role == metadata.ROOT {
		return r.name + "/root"
	}
	return fmt.Sprintf("%s/%d/%s", r.name, r.keyEpoch, role)
}

// NextRootVersion is the version of the root that would come next.
func (r *Repository) NextRootVersion() int64 { return r.root.version + 1 }

// Name is the repository's name.
func (r *Repository) Name() string { return r.name }
