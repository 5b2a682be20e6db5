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
	// failingShare is the failure share of a failing backend, that the evidence is held for.
	failingShare = 0.8
	// minUsualShare and maxUsualShare bound the failure share that the evidence is held against, and usualMultiple is it
	// in multiples of the share at other backends. One failure brings odds of failingShare over minUsualShare at most.
	minUsualShare = 0.2
	maxUsualShare = 0.5
	usualMultiple = 1.5
	// ejectionLogOdds is ln 1000, the logarithm of the odds at which a backend is ejected. One relay brings ln 16 at the
	// most, by maxOutcomes failures, so that two (256) eject none and three (4096) may.
	ejectionLogOdds = 6.9
	// commonFailureShare is the failure share at other backends from which on no single backend is to blame.
	commonFailureShare = 0.3
	// windowSize is how many of the own last outcomes that share is taken of, and minWindow how many at least: with fewer
	// it comes out low.
	windowSize = 64
	minWindow  = 5
	// evidenceTTL is for how long an outcome counts.
	evidenceTTL = 10 * tick.Second
	// maxDoublings is how often a second the number of relays that use an ejected backend again may double: it is taken
	// back within seconds, and not at once.
	maxDoublings = 4.0
	// maxEjection is how long without any outcome a backend stays ejected.
	maxEjection = 600 * tick.Second
	// maxQuestioned is how many backends are kept that are in question, or were of late.
	maxQuestioned = 256

	// never is a time before all others, from which spans can be taken.
	never = math.MinInt64 / 2
)

// Relays of an earlier version know no evidence, only verdicts by outcomes in a row.
const (
	healthyRun = 2 // successes for a verdict of healthy
	failingRun = 2 // failures for a verdict of failing
	// runChance is the highest chance of such a run of failures, at a backend that fails as the others do, for that
	// verdict.
	runChance = 1.0 / 8
)

// questionedBackend is a backend that is in question: it failed an attempt here, or at another relay.
type questionedBackend struct {
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
	questionedAt   tick.Tick                                // when an own failure, or a doubt, last put it in question
	own            [maxOutcomes]outcome                     // the last own outcomes since then, the newest last
	others         [evidenceTTL/tick.Second + 2]secondTally // of the other relays
	windowOutcomes int                                      // own ones in the Manager's window
	windowFailures int

	// Ejection, by what all relays count.
	ejected      bool
	users        float64   // relays that may use it meanwhile
	usersAt      tick.Tick // when users was last computed
	lastEvidence tick.Tick // when there was any outcome
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
func (b *questionedBackend) countInWindow(o outcome, by int) {
	if b == nil {
		return
	}
	b.windowOutcomes += by
	if o.failed {
		b.windowFailures += by
	}
}

// recordInWindow adds an outcome at a backend, which may be in question, to the window.
func (m *Manager) recordInWindow(o outcome, b *questionedBackend) {
	if m.window.size == windowSize {
		m.dropOldestOutcome()
	}
	m.window.push(o)
	b.countInWindow(o, 1)
}

func (m *Manager) dropOldestOutcome() {
	o := m.window.pop()
	m.questioned[o.backend].countInWindow(o, -1)
}

// failureShareElsewhere is the share of failures among the window's outcomes at other backends.
func (m *Manager) failureShareElsewhere(b *questionedBackend) float64 {
	return float64(m.window.failures-b.windowFailures) / float64(max(minWindow, m.window.size-b.windowOutcomes))
}

// RecordOutcome records how an attempt or a probe at a backend ended.
func (m *Manager) RecordOutcome(now tick.Tick, backend string, succeeded bool) {
	m.advance(now)
	if m.standalone() {
		return
	}
	o := outcome{backend: xxhash.Sum64String(backend), endedAt: m.now, failed: !succeeded}
	b := m.questioned[o.backend]
	m.recordInWindow(o, b)
	switch {
	case b == nil && succeeded:
		return
	case b == nil: // the failure that puts a backend in question is no evidence: it was chosen for being one
		b = m.addQuestioned(o.backend)
		b.healthy = true // until there is a verdict
	default:
		copy(b.own[:], b.own[1:])
		b.own[maxOutcomes-1] = o
	}
	if succeeded {
		b.successRun, b.failureRun = b.successRun+1, 0
	} else {
		b.successRun, b.failureRun, b.questionedAt = 0, b.failureRun+1, m.now
	}
	m.judgeRuns(b)
}

// judgeRuns gives a verdict by the own outcomes in a row.
func (m *Manager) judgeRuns(b *questionedBackend) {
	if b.successRun >= healthyRun {
		m.setVerdict(b, true, true, m.now)
		return
	}
	if b.failureRun >= failingRun && math.Pow(m.failureShareElsewhere(b), float64(b.failureRun)) < runChance {
		m.setVerdict(b, false, true, m.now)
	}
}

// addQuestioned puts a backend in question. Where there are too many, one is forgotten that is not ejected, the one with
// the oldest verdict.
func (m *Manager) addQuestioned(backend uint64) *questionedBackend {
	if len(m.questioned) >= maxQuestioned {
		i := max(0, slices.IndexFunc(m.byVerdict, func(b *questionedBackend) bool { return !b.ejected }))
		delete(m.questioned, m.byVerdict[i].id)
		m.byVerdict = slices.Delete(m.byVerdict, i, i+1)
	}
	b := &questionedBackend{id: backend, ownWeight: rendezvousWeight(backend, m.id), verdictAt: m.now, questionedAt: never,
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
	m.questioned[backend] = b
	m.byVerdict = append(m.byVerdict, b)
	return b
}

// IsEjected reports whether a backend that this relay itself does not doubt is to be left alone: by what all relays count
// of late it fails most of its attempts. Each relay would else find out for itself, by some attempts that fail, and the
// more relays there are the longer that takes. A backend that fails for a part of the relays only stays in use at the
// others.
func (m *Manager) IsEjected(now tick.Tick, backend string) bool {
	m.advance(now)
	if m.isolated() || len(m.questioned) == 0 {
		return false
	}
	b := m.questioned[xxhash.Sum64String(backend)]
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
	answers    bool    // some outcomes were successes
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
func (m *Manager) assessEvidence(b *questionedBackend) odds {
	usual := min(max(minUsualShare, usualMultiple*m.failureShareElsewhere(b)), maxUsualShare)
	perFailure := math.Log(failingShare / usual)
	perSuccess := math.Log((1 - failingShare) / (1 - usual))
	peerFailures, peerSuccesses := b.peerCounts(m.now)
	ownFailures, ownSuccesses := b.ownCounts(m.now)
	logOdds := perFailure*float64(peerFailures+ownFailures) + perSuccess*float64(peerSuccesses+ownSuccesses)
	if peerFailures+peerSuccesses+ownFailures+ownSuccesses > 0 {
		b.lastEvidence = m.now
	}
	result := odds{logOdds: logOdds, perFailure: perFailure, answers: peerSuccesses+ownSuccesses > 0}
	m.updateUsers(b, result)
	switch {
	case logOdds >= ejectionLogOdds && m.failureShareElsewhere(b) <= commonFailureShare:
		b.ejected = true
	case !b.ejected:
	case result.refuted(maxOutcomes) && b.users >= m.fleetSize(), m.now-b.lastEvidence > maxEjection:
		b.ejected = false
	}
	return result
}

// updateUsers works out how many relays may use the backend: each success doubles them, and so does each failure that
// expires without another, at a bounded rate.
func (m *Manager) updateUsers(b *questionedBackend, o odds) {
	allowed := min(m.fleetSize(), probers*math.Exp2(max(0, maxOutcomes-o.logOdds/o.perFailure)))
	b.users = min(allowed, max(probers, b.users)*math.Exp2(maxDoublings*float64(m.now-b.usersAt)/float64(tick.Second)))
	b.usersAt = m.now
}

// ownCounts are this relay's outcomes at the backend that have not expired.
func (b *questionedBackend) ownCounts(now tick.Tick) (failures, successes int) {
	for _, o := range b.own {
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
