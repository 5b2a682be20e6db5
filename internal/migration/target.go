package migration

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Of the search for a node. Only some nodes are considered, whatever the size of the fleet.
const (
	sampledNodes   = 4 // of a zone, beside as many of those least at risk
	sampledZones   = 3 // where neither the device's nor the primary's has room
	skippableZones = 2 // that may be among those sampled: the device's and the primary's
)

// Margins of risk between a node and the primary that hands on.
const (
	evacuationMargin       = 0.2 // an evacuating node's instance goes only to one that is so much better off
	excessMargin           = 0.1 // the same, the other way, for a node that has too many
	maxRiskPerInstance     = 0.1 // that one instance is held to bring at the most
	maxVoluntaryTargetRisk = 0.7 // an instance that could as well stay goes only below it
	maxLimitedIncoming     = 1   // instances on their way to a node that takes a few only
)

// Weights of the parts of a node's score (targetSearch.score), each of a part from 0 to 1 but where it says otherwise. Risk
// counts first, then free slots and moves under way.
const (
	riskWeight      = 2.0     // of the node's risk
	freeSlotsWeight = 0.5     // of its free slots, as a part of enoughFreeSlots
	enoughFreeSlots = 16      // more count no more
	movesWeight     = 0.5     // of the moves that it takes part in, as a part of those that it may
	replicaBonus    = 0.5     // for a replica: it has the state already
	largeStateBytes = 1 << 20 // bytes: a replica of as much counts one more, of less a part of it
	limitedPenalty  = 0.5     // for a node that takes a few instances only
	crowdingWeight  = 0.5     // of its replicas, by the instances of the primary, for a replica in another zone; beyond 1 too
	tieBreakWeight  = 0.1     // of a hash of node and instance; 1 for an instance that failed primaries
)

// Constants of the hash by which an instance that failed its primaries is scattered.
const (
	scatterMultiplier1 = 0x9e3779b97f4a7c15
	scatterMultiplier2 = 0xbf58476d1ce4e5b9
	scatterShift       = 29
	fractionBits       = 24 // of it that make a fraction from 0 to 1
	fractionShift      = 64 - fractionBits
)

// targetSearch compares nodes for one instance, and keeps the best of them.
type targetSearch struct {
	planner  *Planner
	instance *instance
	reason   moveReason
	remote   bool   // for a replica in another zone than the primary's
	hash     uint64 // of the instance's name, by the planner's seed
	random   *rand.Rand

	best      *node
	bestScore float64
	fullLink  *link // one that was too full to consider the node behind it
}

// chooseTarget chooses whither an instance goes: to a node of the device's zone, else of the primary's, else of a few
// others; for a replica in another zone to the device's, else to a few others than the primary's. Of each zone those least
// at risk and a sample are considered. Where a link was full it says which.
func (p *Planner) chooseTarget(i *instance, reason moveReason) (target *node, fullLink *link) {
	s := &targetSearch{planner: p, instance: i, reason: reason, hash: xxhash.Sum64String(i.Instance) ^ p.seed}
	attempt := uint64(i.retry.attempts)
	if reason == tooFewRemoteReplicas {
		attempt = uint64(p.now) // other zones each time
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

// scattersPoisonCandidates reports whether a replica is to be anywhere, so that no two instances meet that may fail their
// primaries.
func (s *targetSearch) scattersPoisonCandidates() bool {
	i := s.instance
	return s.reason == tooFewReplicas && i.Failures > 0 && i.Failures+1 >= s.planner.config.MaxFailures
}

// considerZone considers the instance's replicas of a zone, those of its nodes that are least at risk, and a sample of the others.
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

// considerOtherZones considers a few zones from a random one on, but for the device's and the primary's.
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

// consider takes a node for the best if it suits and scores higher than the best until now.
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

// isSuitable reports whether a node may be handed the instance. That it accepts, has room, and neither drains nor is rolled back
// is already so for all that are eligible.
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

// isSaferTarget reports whether a node is less at risk than an evacuating primary by a margin, once all is counted that is on
// its way between them.
//
// Guards against two evacuating nodes that hand all to each other: what is on its way, and what was in the last lease or
// two, counts at both ends, at the primary's risk an instance, as reports lag behind. Risk of an empty battery looks the
// same and does not go down with each instance that goes; it hurts then: they go in several rounds, one each report.
func isSaferTarget(n, primary *node) bool {
	riskPerInstance := min(maxRiskPerInstance, primary.Risk/float64(max(1, len(primary.primaryOf))))
	arriving := float64(len(n.incoming) + n.recent.arrivals[0] + n.recent.arrivals[1] + 1)
	departing := float64(primary.moves - len(primary.incoming) + primary.recent.departures[0] + primary.recent.departures[1] + 1)
	return n.Risk+riskPerInstance*arriving <= primary.Risk-riskPerInstance*departing-evacuationMargin
}

// score counts risk first, then free slots and moves under way. A replica has the state already, which counts the more the
// larger that is.
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
	if s.remote { // guards against a few nodes that are the replica for the whole fleet
		score -= crowdingWeight * float64(len(n.replicaOf)) / float64(1+len(i.primaryNode.primaryOf))
	}
	return score + s.tieBreak(n)
}

// tieBreak spreads instances over nodes that score alike. Instances that failed with one node are scattered wholly by it,
// so that they do not fail together again: one of them may have failed it.
func (s *targetSearch) tieBreak(n *node) float64 {
	mixed := s.hash ^ xxhash.Sum64String(n.Name)
	if s.instance.Failures > 0 {
		mixed = (mixed + uint64(s.instance.Failures)) * scatterMultiplier1
		mixed = (mixed ^ mixed>>scatterShift) * scatterMultiplier2
		return float64(mixed>>fractionShift) / (1 << fractionBits)
	}
	return tieBreakWeight * float64(mixed>>fractionShift) / (1 << fractionBits)
}
