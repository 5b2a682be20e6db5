package devicehealth

import (
	"cmp"
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

const (
	failureShareMargin   = 0.1 // failure share beyond that of the others: a node of a pair may have the harder instances
	maxBaselineShare     = 0.9 // that an outcome is held against
	defaultBaselineShare = 0.2 // failure share that counts as usual where there are no others to compare with
	outcomeWindowSize    = 256 // of each of the others, from which their share is taken
	minPeerOutcomes      = recoveryOutcomes
	overheatClaimMargin  = 15.0 // degrees C below its limit from which a reading supports a claim of heat
	maxNodes             = 4096
	verifiedStrictness   = 1 / riseMargin // a node's own readings have to speak clearly against its report
	ownReserveFactor     = 2              // a node's own reserve is up to twice as long, by its load
)

// Verifier says which reports to believe, at the leading controller. It is fed with reports and outcomes of all nodes
// and keeps nothing that must outlive it: a new leader believes each node until its outcomes say otherwise. It is not
// safe for concurrent use.
type Verifier struct {
	nodes map[string]*node
	zones map[string]*zone
}

// node is what is known of one edge node.
type node struct {
	name         string
	zone         *zone
	report       Report // as the node made it
	charge       series // as reported, for what is physically possible
	temperature  series // as reported, for what is physically possible
	detector     failureDetector
	outcomes     outcomeWindow
	claimGranted bool // it may evacuate by its claim alone
}

// zone is the nodes that share a zone.
type zone struct {
	nodes []*node // by name
	// withdrawnClaims are the times until which claims count that were granted and are withdrawn since.
	withdrawnClaims []tick.Tick
}

// outcomeWindow counts failures among the last outcomes.
type outcomeWindow struct {
	last     []float64 // 1 for a failure, the newest last
	failures float64
}

func (w *outcomeWindow) record(succeeded bool) {
	outcome := 0.0
	if !succeeded {
		outcome = 1
	}
	if len(w.last) == outcomeWindowSize {
		w.failures -= w.last[0]
		w.last = append(w.last[:0], w.last[1:]...)
	}
	w.last = append(w.last, outcome)
	w.failures += outcome
}

// NewVerifier makes a Verifier that knows no nodes.
func NewVerifier() *Verifier { return &Verifier{nodes: map[string]*node{}, zones: map[string]*zone{}} }

// Verify records a node's report and returns what is believed of it: the same, or another state with the reason before
// the node's own. Beyond maxNodes a node is only believed to hold what it has.
func (v *Verifier) Verify(now tick.Tick, name, zoneName string, r Report) Report {
	n := v.nodes[name]
	if n == nil {
		if len(v.nodes) == maxNodes {
			return withState(r, levelHolding, fmt.Sprintf("more than %d units report", maxNodes))
		}
		n = &node{
			name:        name,
			charge:      series{kind: KindCharge},
			temperature: series{kind: KindTemperature},
			detector:    newFailureDetector(),
		}
		v.nodes[name] = n
	}
	v.join(n, zoneName)
	n.report = r
	if value := r.Readings.Charge; value != nil {
		n.charge.add(now, Reading{Value: *value, OK: true})
	}
	if value := r.Readings.Temperature; value != nil {
		n.temperature.add(now, Reading{Value: *value, OK: true})
	}
	believed, _ := v.Verified(now, name)
	return believed
}

// RecordOutcome records how a request at a node ended, as its callers saw it. Rejections are no outcomes. It is compared
// with the share of failures of the zone's other nodes, so that a trouble of all sets none aside.
func (v *Verifier) RecordOutcome(now tick.Tick, name string, succeeded bool) {
	n := v.nodes[name]
	if n == nil {
		return
	}
	n.detector.record(now, succeeded, min(maxBaselineShare, n.peerFailureShare()+failureShareMargin))
	n.outcomes.record(succeeded)
}

// peerFailureShare is the failure share of the other nodes of its zone, which share its links, each by its own last
// outcomes.
func (n *node) peerFailureShare() float64 {
	var failures, outcomes float64
	for _, other := range n.zone.nodes {
		if other != n {
			failures += other.outcomes.failures
			outcomes += float64(len(other.outcomes.last))
		}
	}
	if outcomes < minPeerOutcomes {
		return defaultBaselineShare
	}
	return failures / outcomes
}

// Remove forgets a node whose lease is over.
func (v *Verifier) Remove(name string) {
	if n := v.nodes[name]; n != nil {
		v.leave(n)
		delete(v.nodes, name)
	}
}

// join puts a node into a zone, out of the one that it was in.
func (v *Verifier) join(n *node, zoneName string) {
	z := v.zones[zoneName]
	if n.zone != nil && n.zone == z {
		return
	}
	v.leave(n)
	if z == nil {
		z = &zone{}
		v.zones[zoneName] = z
	}
	at, _ := slices.BinarySearchFunc(z.nodes, n.name, func(other *node, name string) int {
		return cmp.Compare(other.name, name)
	})
	z.nodes = slices.Insert(z.nodes, at, n)
	n.zone = z
}

func (v *Verifier) leave(n *node) {
	if n.zone == nil {
		return
	}
	n.zone.nodes = slices.DeleteFunc(n.zone.nodes, func(other *node) bool { return other == n })
	if len(n.zone.nodes) == 0 {
		for name, z := range v.zones {
			if z == n.zone {
				delete(v.zones, name)
			}
		}
	}
	n.zone, n.claimGranted = nil, false
}

// Verified is what is believed of a node's last report now. It is false for a node that has not reported.
func (v *Verifier) Verified(now tick.Tick, name string) (Report, bool) {
	n := v.nodes[name]
	if n == nil {
		return Report{}, false
	}
	r := n.report
	if !r.MustEvacuate() || r.ShutdownRequested {
		n.withdrawClaim(now)
	}
	switch {
	case r.ShutdownRequested:
		return r, true // a fact
	case !r.MustEvacuate():
		return n.verifyHealthy(now), true
	case n.isClaimSupported():
		n.withdrawClaim(now)
		return r, true
	}
	return n.verifyClaim(now), true
}

// verifyHealthy checks the report of a node that need not evacuate. One that fails its requests is not believed: what it has
// migrates away, and after the wait it is tried again.
func (n *node) verifyHealthy(now tick.Tick) Report {
	r := n.report
	switch {
	case n.detector.waiting(now):
		return withState(r, levelEvacuating, "says it "+string(r.State)+
			", but fails more of its commands than the others of its zone")
	case n.detector.failing() && r.State.level() > levelLimited:
		return withState(r, levelLimited, "failed its commands, and is tried again")
	case r.State.level() > levelHolding && r.readingsDemandEvacuation(verifiedStrictness):
		return withState(r, levelHolding, "says it "+string(r.State)+", but its own readings speak against it")
	}
	return r
}

// isClaimSupported reports whether outcomes, or readings that are physically possible, support a node's claim that it must
// evacuate. Readings are taken with the margin of a rise, as the node has seen more of them.
func (n *node) isClaimSupported() bool {
	if n.detector.failing() || n.detector.test.Suspicious() {
		return true
	}
	if n.charge.rejectReason != "" || n.temperature.rejectReason != "" {
		return false
	}
	r := n.report
	return n.chargeSlopeDemandsEvacuation(r) || r.overheatDemandsEvacuation() || r.readingsDemandEvacuation(ownReserveFactor*riseMargin)
}

// chargeSlopeDemandsEvacuation reports whether the charge falls so fast, by its reported values, that the node must evacuate.
func (n *node) chargeSlopeDemandsEvacuation(r Report) bool {
	slope, stdErr, ok := n.charge.slope()
	if !ok || slope-confidenceStdErrors*stdErr >= 0 {
		return false
	}
	charge := 1.0
	if r.Readings.Charge != nil {
		charge = *r.Readings.Charge
	}
	left := ticks(charge / (confidenceStdErrors*stdErr - slope))
	return levelFor(left, Never, r.effectiveMigrationTime(), riseMargin) <= levelEvacuating
}

// overheatDemandsEvacuation reports whether a node near its limit of temperature forecasts that it must evacuate.
func (r Report) overheatDemandsEvacuation() bool {
	value, limit := r.Readings.Temperature, r.Readings.TemperatureLimit
	return value != nil && limit != nil && *limit-*value <= overheatClaimMargin &&
		levelFor(r.TimeToOverheat, Never, r.effectiveMigrationTime(), riseMargin) <= levelEvacuating
}

// readingsDemandEvacuation works out from the reported readings whether a node must evacuate, by the same levels as its own
// Monitor.
func (r Report) readingsDemandEvacuation(strictness float64) bool {
	s := r.Readings
	if s.Charge != nil && s.FullCharge != nil && s.Draw != nil && *s.Draw > 0 {
		left := ticks(*s.Charge * *s.FullCharge / *s.Draw)
		if levelFor(left, Never, r.effectiveMigrationTime(), strictness) <= levelEvacuating {
			return true
		}
	}
	return s.Temperature != nil && s.TemperatureLimit != nil && *s.TemperatureLimit <= *s.Temperature
}

// effectiveMigrationTime is the reported time for migrating all instances, a second at least.
func (r Report) effectiveMigrationTime() tick.Tick { return max(r.MigrationTime, tick.Second) }

// withState is a report with another state, and what goes with it.
func withState(r Report, at level, reason string) Report {
	r.State = at.state()
	r.Reasons = append([]string{reason}, r.Reasons...)
	r.AcceptFraction = min(r.AcceptFraction, at.acceptFraction())
	if at < levelLimited {
		r.SpareCapacity = 0
	}
	if at == levelLimited {
		r.SpareCapacity = min(r.SpareCapacity, 1)
	}
	if at == levelEvacuating {
		r.Risk = max(r.Risk, unknownRisk)
	}
	return r
}
