package devicehealth

import (
	"cmp"
	"fmt"
	"slices"

	"silvercove/internal/tick"
)

const (
	failureShareMargin   = 0.1              // how far a node's failure share may exceed its peers' share; in a zone of two healthy nodes, one may have the instances that fail more
	maxBaselineShare     = 0.9              // upper bound of the baseline: the failure share that a node's outcomes are tested against
	defaultBaselineShare = 0.2              // used as the failure share of the peers while they have fewer than minPeerOutcomes outcomes
	outcomeWindowSize    = 256              // number of a node's latest outcomes from which its failure share is computed
	minPeerOutcomes      = recoveryOutcomes // minimum number of outcomes of all peers together for computing their failure share
	overheatClaimMargin  = 15.0             // degrees C: a temperature at most this far below its limit supports a claim of overheating
	maxNodes             = 4096
	verifiedStrictness   = 1 / riseMargin // strictness for checking a healthy report against its own readings; below 1, so that only a clear contradiction overrides the report
	maxDrawFactor        = 2              // upper bound of Monitor.drawFactor; isClaimSupported needs the bound, as a report has the migration time without that factor
)

// Verifier decides which reports the leading controller believes. It receives the reports and request outcomes of all
// nodes. The state of a Verifier need not survive a change of leader: without it, a new leader believes each node until
// the node's outcomes contradict the node's reports. A Verifier is not safe for concurrent use.
type Verifier struct {
	nodes map[string]*node
	zones map[string]*zone
}

// node is the Verifier's state for one edge node.
type node struct {
	name         string
	zone         *zone
	report       Report // the node's last report, as received
	charge       series // reported charges, checked for physical plausibility
	temperature  series // reported temperatures, checked for physical plausibility
	detector     failureDetector
	outcomes     outcomeWindow
	claimGranted bool // true if verifyClaim granted the node's claim: the node may evacuate although neither readings nor outcomes support the claim
}

// zone holds the nodes of one zone, and the claims to evacuate that were granted and withdrawn in it.
type zone struct {
	nodes []*node // sorted by name
	// withdrawnClaims has, for each granted claim that was withdrawn, the time until which the claim still counts as
	// granted.
	withdrawnClaims []tick.Tick
}

// outcomeWindow holds the last outcomeWindowSize outcomes and the number of failures among them.
type outcomeWindow struct {
	last     []float64 // 1 for a failure, 0 for a success; the newest last
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

// NewVerifier returns a Verifier without nodes.
func NewVerifier() *Verifier { return &Verifier{nodes: map[string]*node{}, zones: map[string]*zone{}} }

// Verify records a node's report and returns the verified report. That is the report itself, or a copy with another state
// and with the reason for that state before the node's own reasons. Once there are maxNodes nodes, the report of a
// further node is returned with StateHolding and is not recorded.
func (v *Verifier) Verify(now tick.Tick, name, zoneName string, r Report) Report {
	n := v.nodes[name]
	if n == nil {
		if len(v.nodes) == maxNodes {
			return withState(r, levelHolding, fmt.Sprintf("more than %d nodes report", maxNodes))
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

// RecordOutcome records whether a request to a node succeeded, as its callers saw it. A rejected request is not an
// outcome and is not to be recorded. Outcomes are compared with the failure share of the other nodes of the zone, so that
// no node counts as failing because of a fault of the whole zone.
func (v *Verifier) RecordOutcome(now tick.Tick, name string, succeeded bool) {
	n := v.nodes[name]
	if n == nil {
		return
	}
	n.detector.record(now, succeeded, min(maxBaselineShare, n.peerFailureShare()+failureShareMargin))
	n.outcomes.record(succeeded)
}

// peerFailureShare returns the failure share of the other nodes of the zone, which use the same network links as the
// node. The share is computed from the last outcomes of each of them, and is defaultBaselineShare if there are fewer
// than minPeerOutcomes.
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

// Remove drops the state of a node whose lease has ended.
func (v *Verifier) Remove(name string) {
	if n := v.nodes[name]; n != nil {
		v.leave(n)
		delete(v.nodes, name)
	}
}

// join moves a node from its previous zone, if any, to the named zone.
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

// leave removes a node from its zone, drops its granted claim, and deletes the zone if it becomes empty.
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

// Verified returns a node's last report, verified at the time now (see Verify), and whether the node has reported at
// all.
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
		return r, true // neither readings nor outcomes need to support a shutdown request: it is a fact and not a forecast
	case !r.MustEvacuate():
		return n.verifyHealthy(now), true
	case n.isClaimSupported():
		n.withdrawClaim(now)
		return r, true
	}
	return n.verifyClaim(now), true
}

// verifyHealthy checks a report whose state does not demand evacuation. If too many of the node's requests fail, it
// returns the report with StateEvacuating until failureDetector.wait is over. From then until the node has recovered,
// the returned state is at most StateLimited. If the report's own readings clearly contradict its state, the returned
// state is at most StateHolding.
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

// isClaimSupported reports whether outcomes, or physically plausible readings, support a node's claim that it must
// evacuate. For readings, the required time left is multiplied by at least riseMargin, which makes a claim easier to
// support. This allows for readings of the node that its reports do not contain.
func (n *node) isClaimSupported() bool {
	if n.detector.failing() || n.detector.test.Suspicious() {
		return true
	}
	if n.charge.rejectReason != "" || n.temperature.rejectReason != "" {
		return false
	}
	r := n.report
	return n.chargeSlopeDemandsEvacuation(r) || r.overheatDemandsEvacuation() || r.readingsDemandEvacuation(maxDrawFactor*riseMargin)
}

// chargeSlopeDemandsEvacuation reports whether the node must evacuate because of the forecast time until its battery is
// empty. The forecast uses the slope of the reported charges.
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

// overheatDemandsEvacuation reports whether two conditions hold: the temperature is at most overheatClaimMargin below its
// limit, and the node's own forecast TimeToOverheat is so short that the node must evacuate.
func (r Report) overheatDemandsEvacuation() bool {
	value, limit := r.Readings.Temperature, r.Readings.TemperatureLimit
	return value != nil && limit != nil && *limit-*value <= overheatClaimMargin &&
		levelFor(r.TimeToOverheat, Never, r.effectiveMigrationTime(), riseMargin) <= levelEvacuating
}

// readingsDemandEvacuation reports whether the reported readings mean that the node must evacuate, by the thresholds of
// the node's own Monitor, with the required time left multiplied by strictness.
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

// effectiveMigrationTime returns the reported time for migrating all instances, but at least one second.
func (r Report) effectiveMigrationTime() tick.Tick { return max(r.MigrationTime, tick.Second) }

// withState returns the report with the state of the given level. The parameter reason becomes the first of the report's
// reasons. The accept fraction is at most that of the level. The spare capacity is at most 1 for levelLimited and 0 for
// lower levels. The risk is at least unknownRisk for levelEvacuating.
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
