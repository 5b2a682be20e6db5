package overload

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

const (
	maxQuestioned      = 256     // backends that are in question, or were of late
	healthyRun         = 2       // successes in a row: a verdict of healthy, for relays of an earlier version
	failingRun         = 2       // failures in a row: a verdict of failing, also for those
	runChance          = 1.0 / 8 // highest chance of such a run at a backend like all, for that verdict
	commonFailureShare = 0.3     // of the outcomes at other backends, from which on no single backend is to blame
	windowSize         = 64      // own outcomes of which that share is taken
	minWindow          = 5       // outcomes that the share is taken of at least: with fewer it is low
	failingShare       = 0.8     // of its attempts that a failing backend fails
	minUsualShare      = 0.2     // that any backend may fail
	maxUsualShare      = 0.5
	usualMultiple      = 1.5               // times the share elsewhere is usual
	maxDoublings       = 4.0               // a second, of the relays that use an ejected backend again
	ejectionLogOdds    = 6.9               // ln 1000: odds at which a backend is ejected; one relay brings ln 16 at the most
	evidenceTTL        = 10 * tick.Second  // for so long an outcome counts
	maxEjection        = 600 * tick.Second // without any outcome, after which a backend is not ejected any more
	never              = math.MinInt64 / 2 // a time before all others, from which spans can be taken
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
func (s *questionedBackend) countInWindow(o outcome, by int) {
	if s == nil {
		return
	}
	s.windowOutcomes += by
	if o.failed {
		s.windowFailures += by
	}
}

// recordInWindow adds an outcome at a backend, which may be in question, to the window.
func (m *Manager) recordInWindow(o outcome, s *questionedBackend) {
	if m.window.size == windowSize {
		m.dropOldestOutcome()
	}
	m.window.push(o)
	s.countInWindow(o, 1)
}

func (m *Manager) dropOldestOutcome() {
	o := m.window.pop()
	m.questioned[o.backend].countInWindow(o, -1)
}

// failureShareElsewhere is the share of failures among the window's outcomes at other backends.
func (m *Manager) failureShareElsewhere(s *questionedBackend) float64 {
	return float64(m.window.failures-s.windowFailures) / float64(max(minWindow, m.window.size-s.windowOutcomes))
}

// RecordOutcome records how an attempt or a probe at a backend ended.
func (m *Manager) RecordOutcome(now tick.Tick, backend string, succeeded bool) {
	m.advance(now)
	if m.standalone() {
		return
	}
	o := outcome{backend: xxhash.Sum64String(backend), endedAt: m.now, failed: !succeeded}
	s := m.questioned[o.backend]
	m.recordInWindow(o, s)
	switch {
	case s == nil && succeeded:
		return
	case s == nil: // the failure that puts a backend in question is no evidence: it was chosen for being one
		s = m.addQuestioned(o.backend)
		s.healthy = true // until there is a verdict
	default:
		copy(s.own[:], s.own[1:])
		s.own[maxOutcomes-1] = o
	}
	if succeeded {
		s.successRun, s.failureRun = s.successRun+1, 0
	} else {
		s.successRun, s.failureRun, s.questionedAt = 0, s.failureRun+1, m.now
	}
	m.judgeRuns(s)
}

// judgeRuns gives a verdict by the own outcomes in a row.
func (m *Manager) judgeRuns(s *questionedBackend) {
	if s.successRun >= healthyRun {
		m.setVerdict(s, true, true, m.now)
		return
	}
	if s.failureRun >= failingRun && math.Pow(m.failureShareElsewhere(s), float64(s.failureRun)) < runChance {
		m.setVerdict(s, false, true, m.now)
	}
}

// addQuestioned puts a backend in question. Where there are too many, one is forgotten that is not ejected, the one with
// the oldest verdict.
func (m *Manager) addQuestioned(backend uint64) *questionedBackend {
	if len(m.questioned) >= maxQuestioned {
		i := max(0, slices.IndexFunc(m.byVerdict, func(s *questionedBackend) bool { return !s.ejected }))
		delete(m.questioned, m.byVerdict[i].id)
		m.byVerdict = slices.Delete(m.byVerdict, i, i+1)
	}
	s := &questionedBackend{id: backend, ownWeight: rendezvousWeight(backend, m.id), verdictAt: m.now, questionedAt: never,
		lastEvidence: m.now}
	for _, p := range m.fleet.peers {
		if p.alive && rendezvousWeight(backend, p.id) > s.ownWeight {
			s.higherRanked++
		}
	}
	for i := range m.window.size {
		if o := m.window.newest(i); o.backend == backend {
			s.countInWindow(o, 1)
		}
	}
	m.questioned[backend] = s
	m.byVerdict = append(m.byVerdict, s)
	return s
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
	s := m.questioned[xxhash.Sum64String(backend)]
	if s == nil {
		return false
	}
	m.assessEvidence(s)
	return s.ejected
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
func (m *Manager) assessEvidence(s *questionedBackend) odds {
	usual := min(max(minUsualShare, usualMultiple*m.failureShareElsewhere(s)), maxUsualShare)
	perFailure := math.Log(failingShare / usual)
	perSuccess := math.Log((1 - failingShare) / (1 - usual))
	peerFailures, peerSuccesses := s.peerCounts(m.now)
	ownFailures, ownSuccesses := s.ownCounts(m.now)
	logOdds := perFailure*float64(peerFailures+ownFailures) + perSuccess*float64(peerSuccesses+ownSuccesses)
	if peerFailures+peerSuccesses+ownFailures+ownSuccesses > 0 {
		s.lastEvidence = m.now
	}
	result := odds{logOdds: logOdds, perFailure: perFailure, answers: peerSuccesses+ownSuccesses > 0}
	m.updateUsers(s, result)
	switch {
	case logOdds >= ejectionLogOdds && m.failureShareElsewhere(s) <= commonFailureShare:
		s.ejected = true
	case !s.ejected:
	case result.refuted(maxOutcomes) && s.users >= m.fleetSize(), m.now-s.lastEvidence > maxEjection:
		s.ejected = false
	}
	return result
}

// updateUsers works out how many relays may use the backend: each success doubles them, and so does each failure that
// expires without another, at a bounded rate.
func (m *Manager) updateUsers(s *questionedBackend, o odds) {
	allowed := min(m.fleetSize(), probers*math.Exp2(max(0, maxOutcomes-o.logOdds/o.perFailure)))
	s.users = min(allowed, max(probers, s.users)*math.Exp2(maxDoublings*float64(m.now-s.usersAt)/float64(tick.Second)))
	s.usersAt = m.now
}

// ownCounts are this relay's outcomes at the backend that have not expired.
func (s *questionedBackend) ownCounts(now tick.Tick) (failures, successes int) {
	for _, o := range s.own {
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
