package tufverify

import (
	"crypto/sha256"
	"fmt"
	"log/slog"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

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

// AdvanceTime lets time go on while nothing else happens, and makes it durable in steps.
func (r *Repository) AdvanceTime(now Tick) {
	const step = 5 * Second // what a restart with a clock set back may lose
	if r.advance(now); r.now >= r.store.TrustedTime()+step {
		if err := r.store.AdvanceTime(r.now); err != nil {
			r.logTimeNotRecorded(err)
		}
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
