package overload

import (
	"slices"

	"silvercove/internal/tick"
)

// verdictTTL is how long a verdict is reported. It is also how long a relay that is not a prober relies on a verdict of
// failing without a probe of its own (see AllowProbe).
const verdictTTL = 20 * tick.Second

// setVerdict sets the backend's verdict unless the new verdict is older than the current one. It also moves the backend
// to the end of byVerdict.
func (m *Manager) setVerdict(b *suspectBackend, healthy, own bool, at tick.Tick) {
	if at < b.verdictAt {
		return
	}
	b.healthy, b.ownVerdict, b.verdictAt = healthy, own, at
	if i := slices.Index(m.byVerdict, b); i < len(m.byVerdict)-1 {
		copy(m.byVerdict[i:], m.byVerdict[i+1:])
		m.byVerdict[len(m.byVerdict)-1] = b
	}
}

// applyVerdicts adopts the verdicts that another relay reported at madeAt, if they are newer than this relay's verdicts
// on the same backends.
func (m *Manager) applyVerdicts(madeAt tick.Tick, verdicts []Verdict) {
	for _, v := range verdicts {
		b := m.suspects[v.Backend]
		if b == nil && v.Healthy {
			continue
		}
		if b == nil {
			b = m.addSuspect(v.Backend)
			b.verdictAt = never
		}
		if at := madeAt - v.Age; at > b.verdictAt {
			b.successRun, b.failureRun = 0, 0
			m.setVerdict(b, v.Healthy, false, at)
		}
	}
}

// verdictsToReport returns the verdicts that this relay made in the last verdictTTL, the newest first, at most
// maxVerdicts.
func (m *Manager) verdictsToReport() []Verdict {
	var all []Verdict
	for _, b := range slices.Backward(m.byVerdict) {
		if len(all) == maxVerdicts || m.now-b.verdictAt > verdictTTL {
			break
		}
		if b.ownVerdict {
			all = append(all, Verdict{Backend: b.id, Healthy: b.healthy, Age: m.now - b.verdictAt})
		}
	}
	return all
}
