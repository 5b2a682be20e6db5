package tufverify

import (
	"crypto/sha256"
	"fmt"
	"log/slog"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Digest is a SHA-256 digest. The digest of metadata or of a report covers the canonical form of the signed part. The digest of a
// target covers the bytes of the target.
type Digest [sha256.Size]byte

// VersionStore stores the state that must survive a restart: the newest version of each role, the newest counter of each
// server's reports, and the trusted time. If Record or AdvanceTime returns nil, the change is durable. If it returns an error,
// Recorded and TrustedTime return the same values as before the call.
type VersionStore interface {
	// Recorded returns the version last recorded for a key, and the digest recorded with it. The version is 0 if none is
	// recorded.
	Recorded(key string) (version int64, digest Digest)
	// Record records a version. It returns an error if the version is below the recorded one.
	Record(key string, version int64, digest Digest) error
	// TrustedTime returns the latest time that was ever recorded.
	TrustedTime() Tick
	// AdvanceTime records the time. A time before the recorded one changes nothing.
	AdvanceTime(now Tick) error
}

// timeRecordInterval is the interval at which AdvanceTime records the time. The time in memory may be ahead of the recorded time
// by up to this interval. If the process restarts with a clock that was set back, the trusted time can therefore go back by up
// to this interval.
const timeRecordInterval = 5 * Second

// AdvanceTime advances the time of the repository without an update. It records the time in the version store once per
// timeRecordInterval.
func (r *Repository) AdvanceTime(now Tick) {
	if r.advance(now); r.now >= r.store.TrustedTime()+timeRecordInterval {
		if err := r.store.AdvanceTime(r.now); err != nil {
			r.logTimeNotRecorded(err)
		}
	}
}

// logTimeNotRecorded logs that the time could not be recorded in the version store. Callers continue after this error,
// because the time in memory, r.now, has advanced.
func (r *Repository) logTimeNotRecorded(err error) {
	r.log(slog.LevelError, "trusted time could not be recorded", slog.String("error", err.Error()))
}

// refuseExpired refuses an expired file. It also records the time, so that the file stays expired even if the clock is set back
// and the process restarts.
func (r *Repository) refuseExpired(role string, expires Tick, format string, args ...any) *RefusalError {
	if r.store.TrustedTime() < expires {
		if err := r.store.AdvanceTime(r.now); err != nil {
			r.logTimeNotRecorded(err)
		}
	}
	return r.refuse(ReasonExpired, role, format, args...)
}

// checkRollback refuses a version that has expired, that is older than the recorded version, or that equals the recorded version
// but has other content.
func (r *Repository) checkRollback(role string, version int64, digest Digest, expires Tick) *RefusalError {
	recorded, recordedDigest := r.store.Recorded(r.storeKey(role))
	switch {
	case version < recorded:
		return r.refuse(ReasonOlderVersion, role, "version %d is older than %d, which was recorded before", version, recorded)
	case version == recorded && digest != recordedDigest:
		return r.refuse(ReasonConflict, role, "version %d", version)
	case r.now >= expires:
		return r.refuseExpired(role, expires, "version %d expired at %s", version, expires.Time())
	}
	return nil
}

// recordVersion records a version of a role before anything depends on the version. It also records r.now if the
// recorded time is more than a second earlier.
func (r *Repository) recordVersion(role string, version int64, digest Digest) *RefusalError {
	key := r.storeKey(role)
	switch recorded, recordedDigest := r.store.Recorded(key); {
	case version == recorded && digest == recordedDigest, role == metadata.ROOT && version < recorded:
		return nil // this content of the version is recorded already, or the version is a root version below the recorded one
	case version == recorded:
		return r.refuse(ReasonConflict, role, "version %d", version)
	}
	err := r.store.Record(key, version, digest)
	if err == nil && r.now > r.store.TrustedTime()+Second {
		err = r.store.AdvanceTime(r.now)
	}
	if err != nil {
		return r.refuse(ReasonNotDurable, role, "%v", err)
	}
	return nil
}

// storeKey returns the key of a role in the version store. The keys of roles other than root contain the key epoch, so that
// their versions are recorded separately for each key epoch.
func (r *Repository) storeKey(role string) string {
	if role == metadata.ROOT {
		return r.name + "/root"
	}
	return fmt.Sprintf("%s/%d/%s", r.name, r.keyEpoch, role)
}
