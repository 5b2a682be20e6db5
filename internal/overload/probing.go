package overload

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

const (
	// probersPerBackend is how many relays probe a failing backend.
	probersPerBackend = 2
	// maxMembershipViews is how many different views of which relays are alive may exist at a time: with more, the
	// probes may exceed fleet.probes per second, as each view has probers of its own.
	maxMembershipViews = 2.5
	// minProbesPerSec is the lower bound of the probe rate, by which probeInterval divides.
	minProbesPerSec = 0.01
)

// rendezvousWeight returns a relay's weight for a key: the relay with the highest weight owns the key.
func rendezvousWeight(key, relay uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], relay)
	return xxhash.Sum64(b[:])
}

// AllowProbe reports whether this relay may try a backend that it considers failing, with an attempt or a probe.
//
// Only a few relays, the backend's probers, may try it. They are chosen by rendezvous hashing over the living relays:
// when a prober falls silent, the next relay takes over, and each side of a network partition has probers of its own.
// The other relays learn the results from the probers. If a large part of the outcomes at other backends are failures,
// as in an overload or under a bad version, the failures are not attributed to one backend, and each relay tries the
// backend for itself. A backend that was ejected earlier stays ejected until it answers.
//
// AllowProbe guards against hundreds of relays that each try a backend that fails for all of them. The restriction to
// probers does harm if the backend fails for its probers but would answer the other relays.
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
		return true // other relays get answers from the backend
	case m.isProber(b, probersPerBackend, interval):
		return m.takeProbe(b, interval)
	case m.now-b.verdictAt < verdictTTL:
		return false
	}
	return m.allowFallbackProbe(b, interval)
}

// allowEjectedProbe is AllowProbe for an ejected backend. Only the first permittedRelays relays in the rank order for
// the backend may try it. While no relay reports a success, the interval grows with permittedRelays, so that more
// relays do not probe at a higher combined rate.
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

// allowFallbackProbe is AllowProbe for a relay that is not a prober of the backend and has no verdict on it younger
// than verdictTTL. The backend possibly fails for this relay alone. The relay therefore tries the backend, but rarely.
func (m *Manager) allowFallbackProbe(b *suspectBackend, interval tick.Tick) bool {
	interval = tick.Tick(float64(interval) * max(1, m.fleetSize()/probersPerBackend))
	jitter := tick.Tick(unitInterval(rendezvousWeight(b.id, ^m.id)) * float64(interval))
	if m.now < b.verdictAt+verdictTTL+jitter {
		return false
	}
	return m.takeProbe(b, interval)
}

// takeProbe reports whether the next probe is due and, if so, records it.
func (m *Manager) takeProbe(b *suspectBackend, interval tick.Tick) bool {
	if m.now < b.nextProbe || b.lastProbe > 0 && m.now-b.lastProbe < interval {
		return false
	}
	b.lastProbe = m.now
	return true
}

// probeInterval returns the minimum time between two probes of one relay at one backend.
func (m *Manager) probeInterval() tick.Tick {
	return tick.Tick(float64(tick.Second) * probersPerBackend * maxMembershipViews / max(minProbesPerSec, m.settings.probesPerSec))
}

// isProber reports whether this relay is among the first proberCount relays in the rank order for a backend. A relay that
// has just become a prober waits for a random part of the interval before its first probe, as the previous prober may
// have probed just before.
func (m *Manager) isProber(b *suspectBackend, proberCount float64, interval tick.Tick) bool {
	wasProber := b.prober
	b.prober = float64(b.higherRanked) < proberCount
	if b.prober && !wasProber {
		b.nextProbe = m.now + tick.Tick(m.rng.Float64()*float64(interval))
	}
	return b.prober
}

// updateRanks updates higherRanked of each suspected backend after a peer has come alive or fallen silent.
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
