package overload

import (
	"slices"

	"silvercove/internal/tick"
)

// verdictTTL is how long a verdict is reported, and trusted where the probers report nothing newer.
const verdictTTL = 20 * tick.Second

// setVerdict keeps a verdict that is no older than the last, and puts the backend at the end of byVerdict.
func (m *Manager) setVerdict(s *questionedBackend, healthy, own bool, at tick.Tick) {
	if at < s.verdictAt {
		return
	}
	s.healthy, s.ownVerdict, s.verdictAt = healthy, own, at
	if i := slices.Index(m.byVerdict, s); i < len(m.byVerdict)-1 {
		copy(m.byVerdict[i:], m.byVerdict[i+1:])
		m.byVerdict[len(m.byVerdict)-1] = s
	}
}

// learnVerdicts adopts another relay's newer verdicts, reported at madeAt.
func (m *Manager) learnVerdicts(madeAt tick.Tick, verdicts []Verdict) {
	for _, v := range verdicts {
		s := m.questioned[v.Backend]
		if s == nil && v.Healthy {
			continue
		}
		if s == nil {
			s = m.addQuestioned(v.Backend)
			s.verdictAt = never
		}
		if at := madeAt - v.Age; at > s.verdictAt {
			s.successRun, s.failureRun = 0, 0
			m.setVerdict(s, v.Healthy, false, at)
		}
	}
}

// verdictsToReport are this relay's own verdicts that are recent enough, the newest first.
func (m *Manager) verdictsToReport() []Verdict {
	var all []Verdict
	for _, s := range slices.Backward(m.byVerdict) {
		if len(all) == maxVerdicts || m.now-s.verdictAt > verdictTTL {
			break
		}
		if s.ownVerdict {
			all = append(all, Verdict{Backend: s.id, Healthy: s.healthy, Age: m.now - s.verdictAt})
		}
	}
	return all
}
