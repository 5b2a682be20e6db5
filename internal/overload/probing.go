package overload

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

const (
	probers            = 2    // relays that probe a failing backend
	maxMembershipViews = 2.5  // different views of which relays live, each with probers of its own, that keep the probes within their rate
	minProbesPerSec    = 0.01 // that are reckoned with
)

// rendezvousWeight is a relay's weight for a key: the relay with the highest one has it.
func rendezvousWeight(key, relay uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], relay)
	return xxhash.Sum64(b[:])
}

// AllowProbe reports whether a backend that this relay holds to be failing may get an attempt, or a probe, that tries
// it. Few relays do, chosen by rendezvous hashing over the living: when one falls silent the next takes over, and each
// side of a split has its own. The others learn from them. Where a good part of the outcomes at other backends fails, as
// in an overload or under a bad version, no single backend is to blame, and each relay tries for itself; what was
// ejected before stays so until it answers.
//
// Guards against hundreds of relays that each try a backend that is no good to any; hurts where the backend fails for
// those few alone.
func (m *Manager) AllowProbe(now tick.Tick, backend string) bool {
	m.advance(now)
	if m.standalone() {
		return true
	}
	id := xxhash.Sum64String(backend)
	s := m.questioned[id]
	if s == nil {
		s = m.addQuestioned(id)
	}
	if m.failureShareElsewhere(s) > commonFailureShare && !s.ejected {
		return true
	}
	s.questionedAt = max(s.questionedAt, m.now)
	o := m.assessEvidence(s)
	interval := m.probeInterval()
	switch {
	case s.ejected:
		return m.allowEjectedProbe(s, o, interval)
	case s.healthy, o.refuted(maxOutcomes):
		return true // other relays get answers from it
	case m.isProber(s, probers, interval):
		return m.takeProbe(s, interval)
	case m.now-s.verdictAt < verdictTTL:
		return false
	}
	return m.allowLoneProbe(s, interval)
}

// allowEjectedProbe is AllowProbe of an ejected backend: as many relays try it as may use it, not more often together
// while it gives no answer.
func (m *Manager) allowEjectedProbe(s *questionedBackend, o odds, interval tick.Tick) bool {
	if !o.answers {
		interval = tick.Tick(float64(interval) * max(1, s.users/probers))
	}
	if !m.isProber(s, s.users, interval) {
		return false
	}
	last := s.own[maxOutcomes-1]
	answeredHere := last.backend != 0 && !last.failed && m.now-last.endedAt <= evidenceTTL
	if o.refuted(1) || answeredHere {
		return true
	}
	return m.takeProbe(s, interval)
}

// allowLoneProbe is AllowProbe of a backend of which the probers report nothing: it may fail for this relay alone, which
// tries it seldom.
func (m *Manager) allowLoneProbe(s *questionedBackend, interval tick.Tick) bool {
	interval = tick.Tick(float64(interval) * max(1, m.fleetSize()/probers))
	jitter := tick.Tick(unitInterval(rendezvousWeight(s.id, ^m.id)) * float64(interval))
	if m.now < s.verdictAt+verdictTTL+jitter {
		return false
	}
	return m.takeProbe(s, interval)
}

// takeProbe reports whether the next probe is due, and notes it.
func (m *Manager) takeProbe(s *questionedBackend, interval tick.Tick) bool {
	if m.now < s.nextProbe || s.lastProbe > 0 && m.now-s.lastProbe < interval {
		return false
	}
	s.lastProbe = m.now
	return true
}

// probeInterval is the least time between two probes of one relay at one backend.
func (m *Manager) probeInterval() tick.Tick {
	return tick.Tick(float64(tick.Second) * probers * maxMembershipViews / max(minProbesPerSec, m.settings.probesPerSec))
}

// isProber reports whether this relay is one of the first few in a backend's order of relays. One that has just become
// it waits for a random part of the interval: the one before may have probed just now.
func (m *Manager) isProber(s *questionedBackend, relays float64, interval tick.Tick) bool {
	was := s.prober
	s.prober = float64(s.higherRanked) < relays
	if s.prober && !was {
		s.nextProbe = m.now + tick.Tick(m.rng.Float64()*float64(interval))
	}
	return s.prober
}

// updateRanks counts a peer that has come to life, or has fallen silent, in the order of relays of each backend in question.
func (m *Manager) updateRanks(p *peer) {
	for _, s := range m.byVerdict {
		if rendezvousWeight(s.id, p.id) <= s.ownWeight {
			continue
		}
		if p.alive {
			s.higherRanked++
		} else {
			s.higherRanked--
		}
	}
}
