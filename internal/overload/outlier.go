package overload

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

// Ejection here is the fleet's: it rests on what all relays count of a backend (docs/overload-design.md, "A failing
// backend"). The balancer's own, in balancer/outlier.go, rests on one relay's attempts; its test is another one, with
// numbers of its own.
const (
	// failingRate is the failure share of a failing backend, that the evidence is held for.
	failingRate = 0.8
	// minBaselineRate and maxBaselineRate bound the failure share that the evidence is held against, and baselineMultiple is it
	// in multiples of the share at other backends. One failure brings odds of failingRate over minBaselineRate at most.
	minBaselineRate  = 0.2
	maxBaselineRate  = 0.5
	baselineMultiple = 1.5
	// ejectionLogOdds is ln 1000, the logarithm of the odds at which a backend is ejected. One relay brings ln 16 at the
	// most, by maxOutcomes failures, so that two (256) eject none and three (4096) may.
	ejectionLogOdds = 6.9
	// commonFailureRate is the failure share at other backends from which on no single backend is to blame.
	commonFailureRate = 0.3
	// windowSize is how many of the own last outcomes that share is taken of, and minWindowOutcomes how many at least: with fewer
	// it comes out low.
	windowSize        = 64
	minWindowOutcomes = 5
	// evidenceTTL is for how long an outcome counts.
	evidenceTTL = 10 * tick.Second
	// maxDoublingsPerSec is how often a second the number of relays that use an ejected backend again may double: it is taken
	// back within seconds, and not at once.
	maxDoublingsPerSec = 4.0
	// maxEjection is how long without any outcome a backend stays ejected.
	maxEjection = 600 * tick.Second
	// maxSuspects is how many backends are kept that are in question, or were of late.
	maxSuspects = 256

	// never is a time before all others, from which spans can be taken.
	never = math.MinInt64 / 2
)

// Relays of an earlier version know no evidence, only verdicts by outcomes in a row.
const (
	healthyRun = 2 // successes for a verdict of healthy
	failingRun = 2 // failures for a verdict of failing
	// maxRunProbability is the highest chance of such a run of failures, at a backend that fails as the others do, for that
	// verdict.
	maxRunProbability = 1.0 / 8
)

// suspectBackend is a backend that is in question: it failed an attempt here, or at another relay.
type suspectBackend struct {
	id        uint64 // hash of the backend's name
	ownWeight uint64 // this relay's rendezvous weight for it

	// The verdict, for relays of an earlier version.
	healthy    bool
	ownVerdict bool      // it is this relay's. One that was heard is not passed on: it would look like many.
	verdictAt  tick.Tick // here or at another relay
	successRun int       // own outcomes in a row
	failureRun int

	// Probing.
	nextProbe    tick.Tick // the first time at which this relay may probe
	lastProbe    tick.Tick // 0 for never
	higherRanked int       // living peers that rank before this relay for it
	prober       bool      // this relay was one of its probers when it last looked

	// Evidence of the last evidenceTTL.
	suspectedAt    tick.Tick                                 // when an own failure, or a doubt, last put it in question
	ownOutcomes    [maxOutcomesPerRelay]outcome              // the last own outcomes since then, the newest last
	peerTallies    [evidenceTTL/tick.Second + 2]outcomeTally // of the other relays
	windowOutcomes int                                       // own ones in the Manager's window
	windowFailures int

	// Ejection, by what all relays count.
	ejected           bool
	permittedRelays   float64   // relays that may use it meanwhile
	permittedRelaysAt tick.Tick // when permittedRelays was last computed
	lastEvidence      tick.Tick // when there was any outcome
}

// outcome is how an attempt ended at a backend.
type outcome struct {
	backend uint64 // its ID; 0 for no outcome
	endedAt tick.Tick
	failed  bool
}

// outcomeWindow is a ring of this relay's last outcomes at any backend.
type outcomeWindow struct {
	ring     [windowSize]outcome
	next     int // place of the next one
	size     int
	failures int
}

func (w *outcomeWindow) oldest() *outcome { return &w.ring[(w.next-w.size+windowSize)%windowSize] }

// newest is the i-th newest outcome, from 0.
func (w *outcomeWindow) newest(i int) outcome { return w.ring[(w.next-1-i+windowSize)%windowSize] }

func (w *outcomeWindow) push(o outcome) {
	w.ring[w.next] = o
	w.next = (w.next + 1) % windowSize
	w.size++
	if o.failed {
		w.failures++
	}
}

func (w *outcomeWindow) pop() outcome {
	o := *w.oldest()
	w.size--
	if o.failed {
		w.failures--
	}
	return o
}

// countInWindow counts one of the window's outcomes, by 1 or -1. A nil one counts none.
func (b *suspectBackend) countInWindow(o outcome, by int) {
	if b == nil {
		return
	}
	b.windowOutcomes += by
	if o.failed {
		b.windowFailures += by
	}
}

// recordInWindow adds an outcome at a backend, which may be in question, to the window.
func (m *Manager) recordInWindow(o outcome, b *suspectBackend) {
	if m.window.size == windowSize {
		m.dropOldestOutcome()
	}
	m.window.push(o)
	b.countInWindow(o, 1)
}

func (m *Manager) dropOldestOutcome() {
	o := m.window.pop()
	m.suspects[o.backend].countInWindow(o, -1)
}

// failureRateElsewhere is the share of failures among the window's outcomes at other backends.
func (m *Manager) failureRateElsewhere(b *suspectBackend) float64 {
	return float64(m.window.failures-b.windowFailures) / float64(max(minWindowOutcomes, m.window.size-b.windowOutcomes))
}

// RecordOutcome records how an attempt or a probe at a backend ended.
func (m *Manager) RecordOutcome(now tick.Tick, backend string, succeeded bool) {
	m.advance(now)
	if m.standalone() {
		return
	}
	o := outcome{backend: xxhash.Sum64String(backend), endedAt: m.now, failed: !succeeded}
	b := m.suspects[o.backend]
	m.recordInWindow(o, b)
	switch {
	case b == nil && succeeded:
		return
	case b == nil: // the failure that puts a backend in question is no evidence: it was chosen for being one
		b = m.addSuspect(o.backend)
		b.healthy = true // until there is a verdict
	default:
		copy(b.ownOutcomes[:], b.ownOutcomes[1:])
		b.ownOutcomes[maxOutcomesPerRelay-1] = o
	}
	if succeeded {
		b.successRun, b.failureRun = b.successRun+1, 0
	} else {
		b.successRun, b.failureRun, b.suspectedAt = 0, b.failureRun+1, m.now
	}
	m.updateVerdictFromRuns(b)
}

// updateVerdictFromRuns gives a verdict by the own outcomes in a row.
func (m *Manager) updateVerdictFromRuns(b *suspectBackend) {
	if b.successRun >= healthyRun {
		m.setVerdict(b, true, true, m.now)
		return
	}
	if b.failureRun >= failingRun && math.Pow(m.failureRateElsewhere(b), float64(b.failureRun)) < maxRunProbability {
		m.setVerdict(b, false, true, m.now)
	}
}

// addSuspect puts a backend in question. Where there are too many, one is forgotten that is not ejected, the one with
// the oldest verdict.
func (m *Manager) addSuspect(backend uint64) *suspectBackend {
	if len(m.suspects) >= maxSuspects {
		i := max(0, slices.IndexFunc(m.byVerdict, func(b *suspectBackend) bool { return !b.ejected }))
		delete(m.suspects, m.byVerdict[i].id)
		m.byVerdict = slices.Delete(m.byVerdict, i, i+1)
	}
	b := &suspectBackend{id: backend, ownWeight: rendezvousWeight(backend, m.id), verdictAt: m.now, suspectedAt: never,
		lastEvidence: m.now}
	for _, p := range m.fleet.peers {
		if p.alive && rendezvousWeight(backend, p.id) > b.ownWeight {
			b.higherRanked++
		}
	}
	for i := range m.window.size {
		if o := m.window.newest(i); o.backend == backend {
			b.countInWindow(o, 1)
		}
	}
	m.suspects[backend] = b
	m.byVerdict = append(m.byVerdict, b)
	return b
}

// IsEjected reports whether a backend that this relay itself does not doubt is to be left alone: by what all relays count
// of late it fails most of its attempts. Each relay would else find out for itself, by some attempts that fail, and the
// more relays there are the longer that takes. A backend that fails for a part of the relays only stays in use at the
// others.
func (m *Manager) IsEjected(now tick.Tick, backend string) bool {
	m.advance(now)
	if m.isolated() || len(m.suspects) == 0 {
		return false
	}
	b := m.suspects[xxhash.Sum64String(backend)]
	if b == nil {
		return false
	}
	m.assessEvidence(b)
	return b.ejected
}

// odds is what the evidence says of a backend.
type odds struct {
	logOdds    float64 // natural logarithm, of failing against usual
	perFailure float64 // what one failure adds to it
	anySuccess bool    // some outcomes were successes
}

// refuted reports whether successes outweigh failures by so many outcomes.
func (o odds) refuted(outcomes float64) bool { return o.logOdds <= -outcomes*o.perFailure }

// assessEvidence holds a backend that fails most of its attempts against one that fails a little more than others do, by
// the last two outcomes of each relay, and ejects it or takes it back.
//
// What one relay reports, true or not, brings less than half of what an ejection takes; three relays make it, if none
// gets answers. Outcomes count only from when a backend is in question at a relay, and successes too, so that no relay's
// choice of what to report makes a backend look worse. At ejectionLogOdds the backend is ejected, until successes
// outweigh failures by what one relay can bring; meanwhile so many relays come to use it, some more at each round of
// reports, that they do not come all at once.
func (m *Manager) assessEvidence(b *suspectBackend) odds {
	baseline := min(max(minBaselineRate, baselineMultiple*m.failureRateElsewhere(b)), maxBaselineRate)
	perFailure := math.Log(failingRate / baseline)
	perSuccess := math.Log((1 - failingRate) / (1 - baseline))
	peerFailures, peerSuccesses := b.peerCounts(m.now)
	ownFailures, ownSuccesses := b.ownCounts(m.now)
	logOdds := perFailure*float64(peerFailures+ownFailures) + perSuccess*float64(peerSuccesses+ownSuccesses)
	if peerFailures+peerSuccesses+ownFailures+ownSuccesses > 0 {
		b.lastEvidence = m.now
	}
	result := odds{logOdds: logOdds, perFailure: perFailure, anySuccess: peerSuccesses+ownSuccesses > 0}
	m.updatePermittedRelays(b, result)
	switch {
	case logOdds >= ejectionLogOdds && m.failureRateElsewhere(b) <= commonFailureRate:
		b.ejected = true
	case !b.ejected:
	case result.refuted(maxOutcomesPerRelay) && b.permittedRelays >= m.fleetSize(), m.now-b.lastEvidence > maxEjection:
		b.ejected = false
	}
	return result
}

// updatePermittedRelays works out how many relays may use the backend: each success doubles them, and so does each failure that
// expires without another, at a bounded rate.
func (m *Manager) updatePermittedRelays(b *suspectBackend, o odds) {
	limit := min(m.fleetSize(), probersPerBackend*math.Exp2(max(0, maxOutcomesPerRelay-o.logOdds/o.perFailure)))
	b.permittedRelays = min(limit, max(probersPerBackend, b.permittedRelays)*math.Exp2(maxDoublingsPerSec*float64(m.now-b.permittedRelaysAt)/float64(tick.Second)))
	b.permittedRelaysAt = m.now
}

// ownCounts are this relay's outcomes at the backend that have not expired.
func (b *suspectBackend) ownCounts(now tick.Tick) (failures, successes int) {
	for _, o := range b.ownOutcomes {
		switch {
		case o.backend == 0 || now-o.endedAt > evidenceTTL:
		case o.failed:
			failures++
		default:
			successes++
		}
	}
	return failures, successes
}
