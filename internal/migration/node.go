package migration

import (
	"cmp"
	"slices"

	"silvercove/internal/tick"
)

// NodeStatus is what the leading controller knows of a node.
type NodeStatus struct {
	Name, Zone     string
	Incarnation    uint64    // number of the node's process; each later process has a greater number and starts with empty memory
	LeaseEnd       tick.Tick // end of the node's lease by the controller's clock, with clock drift added; the node does not act after this time; 0 if unknown
	Accepting      bool      // the node accepts new instances
	Limited        bool      // the node accepts only a few new instances
	Evacuating     bool      // the node's instances have to move away
	ShuttingDown   bool      // the node terminates on purpose
	Risk           float64   // how near the node is to failing, from 0 to 1; instances of the nodes most at risk move first
	FreeSlots      int       // number of additional instances that the node accepts; -n if the node has n instances more than slots
	ListedDraining bool      // the endpoint list says that the node is draining
	Version        uint16    // software version that the node runs
	RollingBack    bool      // whether the version in the field Version is being rolled back
	WarmingUp      bool      // the node has just started, and FreeSlots is its slow-start budget
	LostCopies     bool      // this incarnation started without the copies of the previous one
}

// node is the planner's state of a node.
type node struct {
	NodeStatus
	reported     bool // the node has reported its status since this planner became leader
	leaseExpired bool // the node's lease has expired, by the controller's clock and by the node's own
	zone         *zone
	primaryOf    map[*instance]struct{}
	replicaOf    map[*instance]struct{}

	moves    int                    // moves from and to this node that are in progress or proposed
	incoming map[*instance]struct{} // instances that are moved or copied to this node, by moves in progress or proposed
	reserved int                    // number of FreeSlots taken by moves to this node and, since its last status, by instances that start or restart on it
	recent   recentMoves

	poisonCandidates int // number of this node's instances that may have caused its failure; set when the node fails
	pendingFailOvers int // number of pending fail-overs and quarantines that declare this node's lease expired

	ready            queue        // instances with this primary that are ready to be moved or copied, the most urgent first
	waitingForBound  boundWaiters // instances that wait until the bound on this node's moves allows another copy
	eligible         bool         // the node is in its zone's list of nodes that may receive an instance
	readyPosition    int          // index in Planner.readyNodes, or notQueued
	nextExcessReview tick.Tick
}

// recentMoves counts migrations to and from a node in the current window, index 0, and in the previous one, index 1. A window
// is at least one lease duration long.
type recentMoves struct {
	arrivals, departures [2]int
	since                tick.Tick // start of the current window
}

// rotate starts a new window once the current one has lasted a lease duration.
func (m *recentMoves) rotate(now, lease tick.Tick) {
	if now-m.since < lease {
		return
	}
	m.arrivals, m.departures, m.since = [2]int{0, m.arrivals[0]}, [2]int{0, m.departures[0]}, now
}

// zone is a location of nodes and devices.
type zone struct {
	name     string
	eligible []*node // nodes that may receive an instance, by ascending risk
	waiting  queue   // instances that need a node of this zone and found none
}

// link is the connection between two zones, in both directions.
type link struct {
	moves   int
	waiting queue // instances that wait until fewer moves use the link
}

// unreliable reports whether a node can't be relied upon to keep its copies: its lease has expired, or its reported
// status says that it is leaving (isLeaving). The replicas on all other nodes are called reliable.
func (n *node) unreliable() bool {
	return n.leaseExpired || n.reported && n.isLeaving()
}

// isLeaving reports whether a node shuts down, drains, or runs a version that is being rolled back.
func (n *node) isLeaving() bool { return n.ShuttingDown || n.ListedDraining || n.RollingBack }

// leaseHadEnded reports whether the lease that a node last reported has ended. OnNodeStatus calls it before it stores the
// node's new status.
func (n *node) leaseHadEnded(now tick.Tick) bool {
	return n.leaseExpired || n.LeaseEnd != 0 && n.LeaseEnd <= now
}

// isRemoteTo reports whether a node's Zone differs from the primary's. An unknown zone is empty: it differs from each known
// zone, but equals another unknown zone.
func (n *node) isRemoteTo(primary *node) bool { return n.Zone != primary.Zone }

// qualifies reports whether a node's status allows it to receive an instance.
func (n *node) qualifies() bool {
	return n.reported && !n.leaseExpired && n.Accepting && !n.Evacuating && !n.isLeaving() && n.FreeSlots-n.reserved > 0
}

// byRisk orders the eligible nodes of a zone by ascending risk.
func byRisk(a, b *node) int {
	return cmp.Or(cmp.Compare(a.Risk, b.Risk), cmp.Compare(a.Name, b.Name))
}

func byZoneName(a, b *zone) int { return cmp.Compare(a.name, b.name) }

func (p *Planner) node(name string) *node {
	n := p.nodes[name]
	if n == nil {
		n = &node{NodeStatus: NodeStatus{Name: name}, primaryOf: map[*instance]struct{}{}, replicaOf: map[*instance]struct{}{},
			incoming: map[*instance]struct{}{}, readyPosition: notQueued}
		p.nodes[name] = n
	}
	return n
}

func (p *Planner) zone(name string) *zone {
	if p.zones[name] == nil {
		p.zones[name] = &zone{name: name}
	}
	return p.zones[name]
}

// linkBetween returns the link that a move between two nodes uses, or nil if both are in one zone.
func (p *Planner) linkBetween(from, to *node) *link {
	if from == nil || from.Zone == to.Zone || from.Zone == "" || to.Zone == "" {
		return nil
	}
	key := [2]string{min(from.Zone, to.Zone), max(from.Zone, to.Zone)}
	if p.links[key] == nil {
		p.links[key] = &link{}
	}
	return p.links[key]
}

// updateEligibility adds a node to its zone's list of eligible nodes if the node qualifies, and removes it otherwise. If a node
// becomes eligible, instances that found no target are reviewed again.
func (p *Planner) updateEligibility(n *node) {
	if !n.qualifies() {
		p.makeIneligible(n)
		return
	}
	if n.eligible {
		return
	}
	z := n.zone
	if len(z.eligible) == 0 {
		at, _ := slices.BinarySearchFunc(p.eligibleZones, z, byZoneName)
		p.eligibleZones = slices.Insert(p.eligibleZones, at, z)
	}
	at, _ := slices.BinarySearchFunc(z.eligible, n, byRisk)
	z.eligible = slices.Insert(z.eligible, at, n)
	n.eligible = true
	free := n.FreeSlots - n.reserved
	p.wake(&z.waiting, free)
	p.wake(&p.waitingAnywhere, free)
	p.wake(&p.waitingRemote, free)
}

// makeIneligible removes a node from its zone's list of eligible nodes. The list is ordered by risk and searched by risk, so a
// node's risk and zone must not change while the node is in the list.
func (p *Planner) makeIneligible(n *node) {
	if !n.eligible {
		return
	}
	z := n.zone
	at, _ := slices.BinarySearchFunc(z.eligible, n, byRisk)
	z.eligible = slices.Delete(z.eligible, at, at+1)
	n.eligible = false
	if len(z.eligible) == 0 {
		at := slices.Index(p.eligibleZones, z)
		p.eligibleZones = slices.Delete(p.eligibleZones, at, at+1)
	}
}
