package overload

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

const (
	// probersPerBackend is how many relays probe a failing backend.
	probersPerBackend = 2
	// maxMembershipViews is how many views of which relays live may differ, each with probers of its own, with the probes
	// still within their rate.
	maxMembershipViews = 2.5
	// minProbesPerSec is the least rate that is reckoned with.
	minProbesPerSec = 0.01
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
	b := m.suspects[id]
	if b == nil {
		b = m.addSuspect(id)
	}
	if m.failureRateElsewhere(b) > commonFailureRate && !b.ejected {
		return true
	}
	b.suspectedAt = max(b.suspectedAt, m.now)
	o := m.assessEvidence(b)
	interval := m.probeInterval()
	switch {
	case b.ejected:
		return m.allowEjectedProbe(b, o, interval)
	case b.healthy, o.refuted(maxOutcomesPerRelay):
		return true // other relays get answers from it
	case m.isProber(b, probersPerBackend, interval):
		return m.takeProbe(b, interval)
	case m.now-b.verdictAt < verdictTTL:
		return false
	}
	return m.allowFallbackProbe(b, interval)
}

// allowEjectedProbe is AllowProbe of an ejected backend: as many relays try it as may use it, not more often together
// while it gives no answer.
func (m *Manager) allowEjectedProbe(b *suspectBackend, o odds, interval tick.Tick) bool {
	if !o.anySuccess {
		interval = tick.Tick(float64(interval) * max(1, b.permittedRelays/probersPerBackend))
	}
	if !m.isProber(b, b.permittedRelays, interval) {
		return false
	}
	last := b.ownOutcomes[maxOutcomesPerRelay-1]
	answeredHere := last.backend != 0 && !last.failed && m.now-last.endedAt <= evidenceTTL
	if o.refuted(1) || answeredHere {
		return true
	}
	return m.takeProbe(b, interval)
}

// allowFallbackProbe is AllowProbe of a backend of which the probers report nothing: it may fail for this relay alone, which
// tries it seldom.
func (m *Manager) allowFallbackProbe(b *suspectBackend, interval tick.Tick) bool {
	interval = tick.Tick(float64(interval) * max(1, m.fleetSize()/probersPerBackend))
	jitter := tick.Tick(unitInterval(rendezvousWeight(b.id, ^m.id)) * float64(interval))
	if m.now < b.verdictAt+verdictTTL+jitter {
		return false
	}
	return m.takeProbe(b, interval)
}

// takeProbe reports whether the next probe is due, and notes it.
func (m *Manager) takeProbe(b *suspectBackend, interval tick.Tick) bool {
	if m.now < b.nextProbe || b.lastProbe > 0 && m.now-b.lastProbe < interval {
		return false
	}
	b.lastProbe = m.now
	return true
}

// probeInterval is the least time between two probes of one relay at one backend.
func (m *Manager) probeInterval() tick.Tick {
	return tick.Tick(float64(tick.Second) * probersPerBackend * maxMembershipViews / max(minProbesPerSec, m.settings.probesPerSec))
}

// isProber reports whether this relay is one of the first few in a backend's order of relays. One that has just become
// it waits for a random part of the interval: the one before may have probed just now.
func (m *Manager) isProber(b *suspectBackend, proberCount float64, interval tick.Tick) bool {
	wasProber := b.prober
	b.prober = float64(b.higherRanked) < proberCount
	if b.prober && !wasProber {
		b.nextProbe = m.now + tick.Tick(m.rng.Float64()*float64(interval))
	}
	return b.prober
}

// updateRanks counts a peer that has come to life, or has fallen silent, in the order of relays of each backend in question.
func (m *Manager) updateRanks(p *peer) {
	for _, b := range m.byVerdict {
		if rendezvousWeight(b.id, p.id) <= b.ownWeight {
			continue
		}
		if p.alive {
			b.higherRanked++
		} else {
			b.higherRanked--
		}
	}
}
