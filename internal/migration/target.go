package migration

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds on the search for a target, which keep its cost independent of the size of the fleet.
const (
	sampledNodes   = 4 // random nodes per zone, in addition to the same number of nodes with the least risk
	sampledZones   = 3 // maximum number of other zones to search if neither the device's zone nor the primary's has room
	skippableZones = 2 // number of zones to go through in addition to sampledZones, because the device's zone and the primary's are skipped if they are among the zones
)

// Risk margins and limits of targets.
const (
	evacuationMargin       = 0.2 // margin by which a target's risk has to be lower than an evacuating primary's
	excessMargin           = 0.1 // margin by which a target's risk may exceed that of a primary with too many instances
	maxRiskPerInstance     = 0.1 // maximum of the estimated risk that one instance adds to its node (see isSaferTarget)
	maxVoluntaryTargetRisk = 0.7 // a copy needs a target with a risk below this limit; so does a move to the device's zone, unless the target's risk is at most the primary's
	maxLimitedIncoming     = 1   // maximum number of moves in progress or proposed to a node that accepts only a few instances
)

// Weights of the terms of a node's score (targetSearch.score). Each term is from 0 to 1 unless noted otherwise. Risk counts
// most, then free slots and moves in progress.
const (
	riskWeight      = 2.0     // weight of the node's risk
	freeSlotsWeight = 0.5     // weight of the node's free slots divided by enoughFreeSlots; the quotient is capped at 1
	enoughFreeSlots = 16      // free slots beyond this number add nothing to the score
	movesWeight     = 0.5     // weight of the node's moves in progress or proposed, divided by Config.MaxMovesPerNode
	replicaBonus    = 0.5     // added for a replica, which already has the state
	largeStateBytes = 1 << 20 // bytes of state from which on a replica scores 1 more than replicaBonus; a smaller state adds proportionally less
	limitedPenalty  = 0.5     // subtracted for a node that accepts only a few instances
	crowdingWeight  = 0.5     // weight of r/(1+i) in the search for a remote replica, where the node is a replica of r instances and the primary serves i instances; r/(1+i) may exceed 1
	tieBreakWeight  = 0.1     // weight of a hash of node and instance; the weight is 1 if primaries of the instance have failed
)

// Constants of the hash that scatters instances whose primaries have failed (targetSearch.tieBreak).
const (
	scatterMultiplier1 = 0x9e3779b97f4a7c15
	scatterMultiplier2 = 0xbf58476d1ce4e5b9
	scatterShift       = 29
	fractionBits       = 24 // number of bits of the hash that are read as a fraction from 0 to 1
	fractionShift      = 64 - fractionBits
)

// targetSearch compares nodes for one instance and keeps the best one.
type targetSearch struct {
	planner  *Planner
	instance *instance
	reason   moveReason
	remote   bool   // the search is for a replica in a zone other than the primary's
	hash     uint64 // hash of the instance's name and the planner's seed
	random   *rand.Rand

	best      *node
	bestScore float64
	fullLink  *link // a full link that excluded a node; nil if there is none
}

// chooseTarget chooses a target for an instance: a node in the device's zone, else in the primary's zone, else in one of a few
// other zones. A remote replica goes to the device's zone unless that is the primary's, else to one of a few other zones. The
// nodes with the least risk and a random sample of each zone are considered. If a full link excluded a node, fullLink is that
// link.
func (p *Planner) chooseTarget(i *instance, reason moveReason) (target *node, fullLink *link) {
	s := &targetSearch{planner: p, instance: i, reason: reason, hash: xxhash.Sum64String(i.Instance) ^ p.seed}
	attempt := uint64(i.retry.attempts)
	if reason == tooFewRemoteReplicas {
		attempt = uint64(p.now) // a seed that changes with time, so that each attempt samples other zones
	}
	s.random = rand.New(rand.NewPCG(s.hash, attempt))
	s.remote = i.need.remoteReplica && (reason == tooFewRemoteReplicas || reason == tooFewReplicas && p.now >= i.remoteBackoff.until)
	s.search()
	return s.best, s.fullLink
}

func (s *targetSearch) search() {
	deviceZone := s.planner.zones[s.instance.Zone]
	var primaryZone *zone
	if s.instance.primaryNode != nil {
		primaryZone = s.instance.primaryNode.zone
	}
	if s.remote {
		if deviceZone != nil && deviceZone != primaryZone {
			s.considerZone(deviceZone)
		}
		if s.best == nil {
			s.considerOtherZones(deviceZone, primaryZone)
		}
		if s.best != nil || s.reason == tooFewRemoteReplicas {
			return
		}
	}
	if deviceZone != nil {
		s.considerZone(deviceZone)
	}
	scatter := s.scattersPoisonCandidates()
	if s.best != nil && !scatter || s.reason == deviceElsewhere {
		return
	}
	if primaryZone != nil && primaryZone != deviceZone {
		s.considerZone(primaryZone)
	}
	if s.best != nil && !scatter || len(s.planner.eligibleZones) == 0 {
		return
	}
	s.considerOtherZones(deviceZone, primaryZone)
	for _, n := range s.instance.replicaNodes {
		s.consider(n)
	}
}

// scattersPoisonCandidates reports whether a replica may go to any zone, because the instance may have caused the failures of
// its primaries. Such instances get their replicas on different nodes, so that the next node that fails shows which instance is
// the cause.
func (s *targetSearch) scattersPoisonCandidates() bool {
	i := s.instance
	return s.reason == tooFewReplicas && i.Failures > 0 && i.Failures+1 >= s.planner.config.MaxFailures
}

// considerZone considers the instance's replicas in a zone, the zone's nodes with the least risk, and a sample of the zone's
// remaining nodes.
func (s *targetSearch) considerZone(z *zone) {
	for _, n := range s.instance.replicaNodes {
		if n.zone == z {
			s.consider(n)
		}
	}
	count := len(z.eligible)
	if count <= 2*sampledNodes {
		for _, n := range z.eligible {
			s.consider(n)
		}
		return
	}
	for at := range sampledNodes {
		s.consider(z.eligible[at])
		s.consider(z.eligible[sampledNodes+s.random.IntN(count-sampledNodes)])
	}
}

// considerOtherZones considers a few successive zones, starting at a random one. It skips the device's zone and the primary's.
func (s *targetSearch) considerOtherZones(deviceZone, primaryZone *zone) {
	zones := s.planner.eligibleZones
	if len(zones) == 0 {
		return
	}
	first := s.random.IntN(len(zones))
	for at := range min(len(zones), sampledZones+skippableZones) {
		if z := zones[(first+at)%len(zones)]; z != deviceZone && z != primaryZone {
			s.considerZone(z)
		}
	}
}

// consider makes a node the best one if the node is suitable, its link is not full, and it scores higher than the best node so
// far.
func (s *targetSearch) consider(n *node) {
	if !s.isSuitable(n) {
		return
	}
	if l := s.planner.linkBetween(s.instance.primaryNode, n); l != nil && s.isFull(l) {
		s.fullLink = l
		return
	}
	if score := s.score(n); s.best == nil || score > s.bestScore {
		s.best, s.bestScore = n, score
	}
}

func (s *targetSearch) isFull(l *link) bool {
	bound := s.planner.config.MaxMovesPerLink
	return l.moves >= bound || s.reason.copiesOnly() && s.planner.copiesFull(s.reason, l.moves, bound)
}

// isSuitable reports whether a node may receive the instance. It does not check again what makes a node eligible: accepting
// instances, having room, and neither draining nor being rolled back.
func (s *targetSearch) isSuitable(n *node) bool {
	i, p := s.instance, s.planner
	switch {
	case !n.eligible, n == i.primaryNode, n.moves >= p.config.MaxMovesPerNode:
		return false
	case n == i.avoid.node && p.now < i.avoid.until:
		return false
	case n.Limited && len(n.incoming) >= maxLimitedIncoming:
		return false
	}
	switch s.reason {
	case tooFewReplicas, tooFewRemoteReplicas:
		return !slices.Contains(i.replicaNodes, n) && n.Risk < maxVoluntaryTargetRisk &&
			!p.copiesFull(s.reason, n.moves, p.config.MaxMovesPerNode)
	case primaryEvacuating:
		return isSaferTarget(n, i.primaryNode)
	case primaryOverCapacity:
		return n.Risk <= i.primaryNode.Risk+excessMargin && n.FreeSlots-n.reserved > 1
	case deviceElsewhere:
		return n.Risk < maxVoluntaryTargetRisk || n.Risk <= i.primaryNode.Risk
	}
	return true
}

// isSaferTarget reports whether a node's risk is lower than an evacuating primary's risk by at least evacuationMargin. Both
// risks are estimates that include the recent and the current moves of the two nodes.
//
// If only the reported risks were compared, two evacuating nodes could hand all their instances to each other, because the
// reports lag behind the moves. The estimates therefore count the moves in progress and the moves of the last one to two lease
// durations. Each arrival at the node adds riskPerInstance to the node's risk, and each departure from the primary subtracts
// it from the primary's risk. riskPerInstance is the primary's risk divided by the number of its instances, but at most
// maxRiskPerInstance.
//
// Risk that comes from an empty battery does not go down with each instance that leaves, although the estimate assumes so.
// The instances of such a node leave in several rounds, one per report.
func isSaferTarget(n, primary *node) bool {
	riskPerInstance := min(maxRiskPerInstance, primary.Risk/float64(max(1, len(primary.primaryOf))))
	arriving := float64(len(n.incoming) + n.recent.arrivals[0] + n.recent.arrivals[1] + 1)
	departing := float64(primary.moves - len(primary.incoming) + primary.recent.departures[0] + primary.recent.departures[1] + 1)
	return n.Risk+riskPerInstance*arriving <= primary.Risk-riskPerInstance*departing-evacuationMargin
}

// score rates a node for the instance. Risk counts most, then free slots and moves in progress. A replica scores higher
// because it already has the state: by replicaBonus, and by up to 1 more for a large state (largeStateBytes).
func (s *targetSearch) score(n *node) float64 {
	i := s.instance
	score := -riskWeight*n.Risk + freeSlotsWeight*min(1, float64(n.FreeSlots-n.reserved)/enoughFreeSlots) -
		movesWeight*float64(n.moves)/float64(s.planner.config.MaxMovesPerNode)
	if slices.Contains(i.replicaNodes, n) {
		score += replicaBonus + min(1, float64(i.Size)/largeStateBytes)
	}
	if n.Limited {
		score -= limitedPenalty
	}
	if s.remote { // without this term, the remote replicas of the whole fleet could go to a few nodes
		score -= crowdingWeight * float64(len(n.replicaOf)) / float64(1+len(i.primaryNode.primaryOf))
	}
	return score + s.tieBreak(n)
}

// tieBreak returns a weighted hash of instance and node, which spreads instances over nodes with similar scores. The weight
// is tieBreakWeight, or 1 if primaries of the instance have failed. The weight 1 scatters the instances of a failed node over
// different nodes. One of the instances may have caused the failure, and its next node should not run the others.
func (s *targetSearch) tieBreak(n *node) float64 {
	mixed := s.hash ^ xxhash.Sum64String(n.Name)
	if s.instance.Failures > 0 {
		mixed = (mixed + uint64(s.instance.Failures)) * scatterMultiplier1
		mixed = (mixed ^ mixed>>scatterShift) * scatterMultiplier2
		return float64(mixed>>fractionShift) / (1 << fractionBits)
	}
	return tieBreakWeight * float64(mixed>>fractionShift) / (1 << fractionBits)
}
