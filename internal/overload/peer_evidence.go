package overload

import (
	"cmp"
	"slices"

	"silvercove/internal/tick"
)

// outcomeTally counts the outcomes at one backend that other relays report. It covers only the relays whose newest
// outcome at the backend ended in the second that the field second names.
type outcomeTally struct {
	second    tick.Tick // when the newest outcome ended, in whole seconds
	failures  int
	successes int
}

// peerEvidence is what one other relay reports of its outcomes at one backend. The zero value has no outcomes.
type peerEvidence struct {
	suspect   *suspectBackend
	second    tick.Tick // when the newest outcome ended, in whole seconds
	failures  int
	successes int
}

// addToTally adds the evidence to the backend's tally for its second if by is 1, and removes the evidence from the tally
// if by is -1.
func (e peerEvidence) addToTally(by int) {
	if e.suspect == nil {
		return
	}
	t := &e.suspect.peerTallies[int(e.second)%len(e.suspect.peerTallies)]
	if t.second < e.second && by > 0 {
		*t = outcomeTally{second: e.second}
	}
	if t.second == e.second {
		t.failures += by * e.failures
		t.successes += by * e.successes
	}
}

// peerCounts returns the other relays' outcomes at the backend that have not expired.
func (b *suspectBackend) peerCounts(now tick.Tick) (failures, successes int) {
	from := (now - evidenceTTL) / tick.Second
	for i := range b.peerTallies {
		if t := &b.peerTallies[i]; t.second > from {
			failures += t.failures
			successes += t.successes
		}
	}
	return failures, successes
}

// replaceEvidence replaces the evidence of the peer's previous report by the given evidence.
func (p *peer) replaceEvidence(all []peerEvidence) {
	for i := range p.evidence {
		p.evidence[i].addToTally(-1)
		p.evidence[i] = peerEvidence{}
	}
	for i := range all {
		p.evidence[i] = all[i]
		all[i].addToTally(1)
	}
}

// applyEvidence replaces the evidence of another relay by the evidence of its new report. A relay of an earlier version
// reports only verdicts, which are converted to evidence.
func (m *Manager) applyEvidence(p *peer, madeAt tick.Tick, report Report) {
	reported := report.Evidence
	if reported == nil {
		reported = evidenceOf(report.Verdicts)
	}
	var all []peerEvidence
	for i, e := range reported {
		at := madeAt - e.Age
		if m.now-at > evidenceTTL || at < 0 {
			continue
		}
		if slices.ContainsFunc(reported[:i], func(o Evidence) bool { return o.Backend == e.Backend }) {
			continue
		}
		b := m.suspects[e.Backend]
		if b == nil && e.Failures == 0 && e.Successes > 0 {
			continue // successes alone are no reason to suspect the backend
		}
		if b == nil {
			b = m.addSuspect(e.Backend)
			b.healthy, b.verdictAt = true, never
		}
		all = append(all, peerEvidence{suspect: b, second: at / tick.Second, failures: e.Failures, successes: e.Successes})
	}
	p.replaceEvidence(all)
}

// evidenceOf converts each verdict to evidence with as many outcomes as one relay may contribute.
func evidenceOf(verdicts []Verdict) []Evidence {
	var all []Evidence
	for _, v := range verdicts[:min(len(verdicts), maxEvidence)] {
		e := Evidence{Backend: v.Backend, Failures: maxOutcomesPerRelay, Age: v.Age}
		if v.Healthy {
			e.Failures, e.Successes = 0, maxOutcomesPerRelay
		}
		all = append(all, e)
	}
	return all
}

// evidenceToReport returns this relay's evidence on the suspected backends that look worst by the outcomes at other
// relays. The order must not depend on this relay's own outcomes: the report would then contain mainly backends that
// fail here, and these would look worse to the other relays than they are.
func (m *Manager) evidenceToReport() []Evidence {
	type candidate struct {
		Evidence
		surplus int // failures at the backend minus successes, both as counted by other relays
	}
	var candidates []candidate
	for _, b := range slices.Backward(m.byVerdict) {
		failures, successes := b.ownCounts(m.now)
		expired := failures+successes == 0 && m.now-b.suspectedAt > evidenceTTL
		if expired || m.failureRateElsewhere(b) > commonFailureRate {
			continue
		}
		peerFailures, peerSuccesses := b.peerCounts(m.now)
		newest := max(b.suspectedAt, b.ownOutcomes[maxOutcomesPerRelay-1].endedAt)
		candidates = append(candidates, candidate{
			Evidence: Evidence{Backend: b.id, Failures: failures, Successes: successes, Age: m.now - newest},
			surplus:  peerFailures - peerSuccesses,
		})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.surplus, a.surplus) })
	all := make([]Evidence, 0, maxEvidence)
	for _, c := range candidates[:min(len(candidates), maxEvidence)] {
		all = append(all, c.Evidence)
	}
	return all
}
