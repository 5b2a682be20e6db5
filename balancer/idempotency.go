package balancer

import (
	"maps"
	"slices"
)

// An attempt that may have run is repeated only if a second effect is impossible or the receiving backend drops the
// repeat. A rejection invites the client to retry. A request is therefore rejected only if a retry at any backend has
// no second effect.
//
// Inputs: the idempotency of the class with the scope and the window of its keys, and the attempts so far with their
// outcomes. If Rollout.ForwardOnly is set, the inputs also include the keys that each version has answered.
//
// These rules guard against duplicate effects, for instance from the repeat of an attempt that timed out but ran. An
// attempt is repeated only if it certainly did not run, or if the repeat has no second effect at its backend.

// safeToRepeat reports whether one more attempt of a request may go to a backend after the given attempts.
func (b *Balancer) safeToRepeat(r *Request, attempts []*Attempt, backend *Backend) bool {
	class := b.class(r)
	for _, a := range attempts {
		if a.mayHaveRun() && !b.safeAfter(a, class, backend) {
			return false
		}
	}
	return len(attempts) < b.settings.Limits.MaxAttempts
}

// safeAfter reports whether a backend may run a request again although attempt a may have run it. It returns false
// while attempt a has not ended.
func (b *Balancer) safeAfter(a *Attempt, class *RequestClass, backend *Backend) bool {
	if a.state != attemptEnded {
		return false
	}
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return b.now+1 < a.chosenAt+class.DedupWindow.Ticks() && class.DedupScope.covers(a.Backend, backend)
	}
	return false
}

// safeToReject reports whether the client of a request may retry without a second effect. The retry may come at any
// time and reach any backend.
func (b *Balancer) safeToReject(r *Request) bool {
	class := b.class(r)
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		if class.DedupScope == DedupEverywhere {
			return true
		}
	}
	return !slices.ContainsFunc(r.attempts, (*Attempt).mayHaveRun)
}

// covers reports whether the backend receiver drops a repeat of a request that the backend executor has run.
func (s DedupScope) covers(executor, receiver *Backend) bool {
	switch s {
	case DedupEverywhere:
		return true
	case DedupZone:
		return executor.Zone == receiver.Zone
	case DedupCell:
		return executor.Cell == receiver.Cell
	}
	return false
}

// mayHaveRun reports whether an attempt may have had an effect. Only the three outcomes AtCapacity, ConnectFailed and
// Discarded prove that the attempt never ran.
func (a *Attempt) mayHaveRun() bool {
	return a.state != attemptEnded || a.outcome != AtCapacity && a.outcome != ConnectFailed && a.outcome != Discarded
}

// maxAnsweredVersions is the number of versions whose answered keys are kept: the newest announced version, one that is
// not announced yet, and one in reserve.
const maxAnsweredVersions = 3

// keyFilter is a Bloom filter of fixed size for the keys of one version. It never misses a key that was added. It
// reports one in a hundred other keys as added when it holds 100,000 keys, and two in five when it holds a million.
type keyFilter [1 << 15]uint64

func (s *keyFilter) mayContain(key uint64) bool {
	return key != 0 && s[key>>6%uint64(len(s))]>>(key%64)&1 == 1 && s[key>>38%uint64(len(s))]>>(key>>32%64)&1 == 1
}

func (s *keyFilter) add(key uint64) {
	s[key>>6%uint64(len(s))] |= 1 << (key % 64)
	s[key>>38%uint64(len(s))] |= 1 << (key >> 32 % 64)
}

// mayServeKey reports whether a request for a key may go to a version. It may not if a later version that may still be
// released has answered the key. Answered keys are recorded only if Rollout.ForwardOnly is set; the earlier version
// then cannot read what the later one has written.
func (b *Balancer) mayServeKey(key uint64, version uint16) bool {
	for answeredBy, keys := range b.answeredKeys {
		if version < answeredBy && keys.mayContain(key) && b.mayBeReleased(answeredBy) {
			return false
		}
	}
	return true
}

// mayBeReleased reports whether a version is not announced yet, a canary or released.
func (b *Balancer) mayBeReleased(version uint16) bool {
	if version != b.release.Version {
		return version > b.release.Version
	}
	return b.release.Phase == Canary || b.release.Phase == Released
}

// recordAnsweredKey records that the version of an attempt has answered the key of its request, if Rollout.ForwardOnly
// is set.
func (b *Balancer) recordAnsweredKey(a *Attempt) {
	key := a.Request.Key
	if key != 0 && a.version >= b.release.Version && b.settings.Rollout.ForwardOnly {
		b.addAnsweredKey(key, a.version)
	}
}

// addAnsweredKey adds a key to those that a version has answered. If this makes more than maxAnsweredVersions versions,
// it drops the earliest one.
func (b *Balancer) addAnsweredKey(key uint64, version uint16) {
	if b.answeredKeys[version] == nil {
		b.answeredKeys[version] = &keyFilter{}
		if len(b.answeredKeys) > maxAnsweredVersions {
			delete(b.answeredKeys, slices.Min(slices.Collect(maps.Keys(b.answeredKeys))))
		}
	}
	b.answeredKeys[version].add(key)
}
