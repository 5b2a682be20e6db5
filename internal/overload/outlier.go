package overload

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

// Ejection in this package is a decision of the fleet: it depends on what all relays count at a backend
// (docs/overload-design.md, "A failing backend"). The balancer's own ejection, in balancer/outlier.go, depends on one
// relay's attempts and uses another test, with constants of its own.
const (
	// failingRate is the failure rate of a failing backend: the hypothesis that the evidence supports or refutes.
	failingRate = 0.8
	// minBaselineRate and maxBaselineRate bound the baseline, which is the failure rate that failingRate is tested
	// against. The baseline is baselineMultiple times the failure rate at other backends. One failure multiplies the
	// odds by at most failingRate/minBaselineRate, which is 4.
	minBaselineRate  = 0.2
	maxBaselineRate  = 0.5
	baselineMultiple = 1.5
	// ejectionLogOdds is ln 1000, the logarithm of the odds at which a backend is ejected. One relay contributes at
	// most ln 16, for maxOutcomesPerRelay (2) failures of ln 4 each. Two relays (odds of 256) therefore eject no
	// backend, and three (odds of 4096) may.
	ejectionLogOdds = 6.9
	// commonFailureRate is the failure rate at other backends above which the failures are not attributed to a single
	// backend.
	commonFailureRate = 0.3
	// windowSize is the number of this relay's last outcomes from which the failure rate at other backends is computed.
	// The divisor of that rate is at least minWindowOutcomes, so with fewer outcomes the rate comes out too low.
	windowSize        = 64
	minWindowOutcomes = 5
	// evidenceTTL is how long an outcome counts as evidence.
	evidenceTTL = 10 * tick.Second
	// maxDoublingsPerSec is the maximum number of times per second that permittedRelays may double. With this value,
	// the relays return to an ejected backend within seconds, but not all at once.
	maxDoublingsPerSec = 4.0
	// maxEjection is how long a backend without any outcome stays ejected.
	maxEjection = 600 * tick.Second
	// maxSuspects is the number of backends whose state is kept because they are, or recently were, suspected.
	maxSuspects = 256

	// never is a time before all others. It is half of the smallest tick, so that durations since never do not overflow.
	never = math.MinInt64 / 2
)

// Constants of verdicts. Relays of an earlier version know verdicts but not evidence. A verdict depends on a run of equal
// outcomes.
const (
	healthyRun = 2 // successes in a row for a verdict of healthy
	failingRun = 2 // failures in a row for a verdict of failing
	// maxRunProbability limits which runs of failures lead to a verdict of failing. It is compared with the probability
	// that a backend with the failure rate of the other backends has such a run by chance. That probability must be lower.
	maxRunProbability = 1.0 / 8
)

// suspectBackend is the state kept of a backend that is, or recently was, suspected: it failed an attempt at this relay or
// at another one.
type suspectBackend struct {
	id        uint64 // hash of the backend's name
	ownWeight uint64 // this relay's rendezvous weight for the backend

	// The verdict on the backend. It is reported because relays of an earlier version need it, and AllowProbe uses it.
	healthy    bool
	ownVerdict bool      // true if this relay made the verdict itself; only own verdicts are reported, because a verdict that relays passed on would seem to come from many relays
	verdictAt  tick.Tick // when the verdict was made, here or at another relay; before the first verdict, when this relay added the suspect, or the constant never if it added the suspect because of another relay's verdict
	successRun int       // number of this relay's successes since its last failure
	failureRun int

	// The state of probing.
	nextProbe    tick.Tick // earliest time at which this relay may probe
	lastProbe    tick.Tick // when this relay last probed; 0 if never
	higherRanked int       // number of living peers whose rendezvous weight for the backend is above ownWeight
	prober       bool      // true if this relay was one of the backend's probers when isProber was last called

	// Outcomes of the last evidenceTTL, which are the evidence.
	suspectedAt    tick.Tick                                 // time of the last failure here, or of the last call of AllowProbe that made this relay suspect the backend; the constant never if there was neither
	ownOutcomes    [maxOutcomesPerRelay]outcome              // this relay's last outcomes since the backend became a suspect, the newest last
	peerTallies    [evidenceTTL/tick.Second + 2]outcomeTally // outcomes reported by other relays, by the second in which the relay's newest outcome ended
	windowOutcomes int                                       // number of this relay's outcomes at the backend in Manager.window
	windowFailures int                                       // number of failures among windowOutcomes

	// The state of ejection, which assessEvidence sets by the outcomes at all relays.
	ejected           bool
	permittedRelays   float64   // number of relays that may use the backend while it is ejected
	permittedRelaysAt tick.Tick // when permittedRelays was last computed
	lastEvidence      tick.Tick // when assessEvidence last counted an outcome that had not expired
}

// outcome is the result of an attempt at a backend.
type outcome struct {
	backend uint64 // hash of the backend's name; 0 if there is no outcome
	endedAt tick.Tick
	failed  bool
}

// outcomeWindow is a ring buffer of this relay's last outcomes at all backends.
type outcomeWindow struct {
	ring     [windowSize]outcome
	next     int // index of the next outcome
	size     int
	failures int
}

func (w *outcomeWindow) oldest() *outcome { return &w.ring[(w.next-w.size+windowSize)%windowSize] }

// newest returns the i-th newest outcome; 0 is the newest.
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

// countInWindow updates windowOutcomes and windowFailures for an outcome in Manager.window. It adds the outcome if by
// is 1, and subtracts it if by is -1. If b is nil, it does nothing.
func (b *suspectBackend) countInWindow(o outcome, by int) {
	if b == nil {
		return
	}
	b.windowOutcomes += by
	if o.failed {
		b.windowFailures += by
	}
}

// recordInWindow adds an outcome to the window. b is the state of its backend, or nil if the backend is not suspected.
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

// failureRateElsewhere returns the failure rate of the window's outcomes at backends other than b.
func (m *Manager) failureRateElsewhere(b *suspectBackend) float64 {
	return float64(m.window.failures-b.windowFailures) / float64(max(minWindowOutcomes, m.window.size-b.windowOutcomes))
}

// RecordOutcome records whether an attempt or a probe at a backend succeeded.
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
	case b == nil: // only a failure makes a backend a suspect; if this failure counted as evidence, the evidence would always begin with a failure, which would bias it
		b = m.addSuspect(o.backend)
		b.healthy = true // the backend counts as healthy until a verdict is made
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

// updateVerdictFromRuns makes a verdict if this relay's current run of equal outcomes suffices for one.
func (m *Manager) updateVerdictFromRuns(b *suspectBackend) {
	if b.successRun >= healthyRun {
		m.setVerdict(b, true, true, m.now)
		return
	}
	if b.failureRun >= failingRun && math.Pow(m.failureRateElsewhere(b), float64(b.failureRun)) < maxRunProbability {
		m.setVerdict(b, false, true, m.now)
	}
}

// addSuspect adds a backend to the suspects. If there are maxSuspects already, it first drops one: the first backend in
// byVerdict that is not ejected, or the first of all if all are ejected.
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

// IsEjected reports whether this relay should avoid a backend because the backend fails most attempts. It uses the
// outcomes that all relays counted in the last evidenceTTL. The relay's own balancer may still consider the backend
// healthy. Without this method, each relay would find out by failed attempts of its own, which takes longer the more
// relays there are. Relays that get answers from a backend keep using it even if it fails for other relays.
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

// odds is the weight of the evidence for and against the hypothesis that a backend fails at failingRate.
type odds struct {
	logOdds    float64 // natural logarithm of the odds of failingRate against the baseline rate
	perFailure float64 // what one failure adds to logOdds
	anySuccess bool    // at least one outcome was a success
}

// refuted reports whether successes outweigh failures by at least the weight of the given number of failures.
func (o odds) refuted(outcomes float64) bool { return o.logOdds <= -outcomes*o.perFailure }

// assessEvidence compares two hypotheses: that a backend fails at failingRate, and that it fails at the baseline rate,
// which is a little higher than the failure rate at other backends. The evidence is the last two outcomes of each
// relay. assessEvidence ejects the backend or takes it back, and returns the odds.
//
// At ejectionLogOdds the backend is ejected, unless the failure rate at other backends is above commonFailureRate. The
// report of one relay, true or not, contributes less than half of ejectionLogOdds. The reports of three relays suffice
// for an ejection if they contain only failures. Each relay counts outcomes, including successes, only from the time when the
// backend became a suspect at that relay. A relay's choice of what to report then makes no backend look worse.
//
// An ejected backend is taken back once two conditions hold: successes outweigh failures by what one relay can
// contribute, and permittedRelays has reached the size of the fleet. Until then, permittedRelays rises step by step, so
// that the relays do not all return at once. An ejected backend without any outcome for maxEjection is taken back too.
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

// updatePermittedRelays computes how many relays may use the backend while it is ejected: from probersPerBackend to
// all. The ratio of logOdds to perFailure is the weight of the evidence, in failures. probersPerBackend relays are
// permitted at a weight of maxOutcomesPerRelay or more, and twice as many for each failure less. A success lowers the
// weight by at least 1; a failure that expires lowers it by 1. maxDoublingsPerSec bounds how fast the number of
// permitted relays rises.
func (m *Manager) updatePermittedRelays(b *suspectBackend, o odds) {
	limit := min(m.fleetSize(), probersPerBackend*math.Exp2(max(0, maxOutcomesPerRelay-o.logOdds/o.perFailure)))
	b.permittedRelays = min(limit, max(probersPerBackend, b.permittedRelays)*
		math.Exp2(maxDoublingsPerSec*float64(m.now-b.permittedRelaysAt)/float64(tick.Second)))
	b.permittedRelaysAt = m.now
}

// ownCounts returns this relay's outcomes at the backend that have not expired.
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
