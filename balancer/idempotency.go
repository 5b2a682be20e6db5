package balancer

import (
	"maps"
	"slices"
)

// The rule: an attempt that may have run is repeated only where a second effect is impossible or dropped, and a request is
// rejected, which invites its client to try again, only where that is so at any backend.
//
// Inputs: the class's idempotency with the scope and the window of its keys, the attempts so far with their outcomes; where
// keys move forward only, the keys that each version has answered.
//
// Guards against effects that happen twice: seen as a repeat of what timed out but ran; holds because only what was surely
// not sent, or is dropped by whoever gets it, is repeated.

// safeToRepeat tells whether one more attempt may go to a backend, after those that a request has had.
func (b *Balancer) safeToRepeat(r *Request, attempts []*Attempt, backend *Backend) bool {
	class := b.class(r)
	for _, a := range attempts {
		if a.mayHaveRun() && !b.safeAfter(a, class, backend) {
			return false
		}
	}
	return len(attempts) < b.settings.Limits.MaxAttempts
}

// safeAfter tells whether a backend may run again what an attempt may have run.
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

// safeToReject tells whether the client of a request may try again without a second effect. It may do so after any time
// and reach any backend.
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

// covers tells whether a backend drops repeats of what another one has run.
func (s DedupScope) covers(ran, other *Backend) bool {
	switch s {
	case DedupEverywhere:
		return true
	case DedupZone:
		return ran.Zone == other.Zone
	case DedupCell:
		return ran.Cell == other.Cell
	}
	return false
}

// mayHaveRun tells whether an attempt may have had an effect. Only three outcomes prove that it never ran.
func (a *Attempt) mayHaveRun() bool {
	return a.state != attemptEnded || a.outcome != AtCapacity && a.outcome != ConnectFailed && a.outcome != Discarded
}

// maxAnsweredVersions is the number of versions whose answered keys are kept: the newest, one that is not announced yet,
// and one to spare.
const maxAnsweredVersions = 3

// keyFilter is a set of keys in a fixed space. It may take a key for one that was added, one in a hundred with 100,000 of
// them and two in five with a million, but never the other way.
type keyFilter [1 << 15]uint64

func (s *keyFilter) mayContain(key uint64) bool {
	return key != 0 && s[key>>6%uint64(len(s))]>>(key%64)&1 == 1 && s[key>>38%uint64(len(s))]>>(key>>32%64)&1 == 1
}

func (s *keyFilter) add(key uint64) {
	s[key>>6%uint64(len(s))] |= 1 << (key % 64)
	s[key>>38%uint64(len(s))] |= 1 << (key >> 32 % 64)
}

// mayServeKey tells whether a version may be asked about a key: not if a later one has answered it that may still be
// released. Where the site moves keys forward only, an earlier version cannot read what the later one has written.
func (b *Balancer) mayServeKey(key uint64, version uint16) bool {
	for by, keys := range b.answeredKeys {
		if version < by && keys.mayContain(key) && b.mayBeReleased(by) {
			return false
		}
	}
	return true
}

// mayBeReleased tells whether a version is not announced yet, on trial or released.
func (b *Balancer) mayBeReleased(version uint16) bool {
	if version != b.release.Version {
		return version > b.release.Version
	}
	return b.release.Phase == Canary || b.release.Phase == Released
}

// recordAnsweredKey keeps that a version has answered a key.
func (b *Balancer) recordAnsweredKey(a *Attempt) {
	key := a.Request.Key
	if key != 0 && a.version >= b.release.Version && b.settings.Rollout.ForwardOnly {
		b.addAnsweredKey(key, a.version)
	}
}

// addAnsweredKey keeps a key of a version. Of more versions at once than can be under way, the earliest is dropped.
func (b *Balancer) addAnsweredKey(key uint64, version uint16) {
	if b.answeredKeys[version] == nil {
		b.answeredKeys[version] = &keyFilter{}
		if len(b.answeredKeys) > maxAnsweredVersions {
			delete(b.answeredKeys, slices.Min(slices.Collect(maps.Keys(b.answeredKeys))))
		}
	}
	b.answeredKeys[version].add(key)
}
