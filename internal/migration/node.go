package migration

import (
	"cmp"
	"slices"

	"silvercove/internal/tick"
)

// NodeStatus is what the leading controller knows of a node.
type NodeStatus struct {
	Name, Zone     string
	Incarnation    uint64    // number of its process's start; another one has another memory
	LeaseEnd       tick.Tick // of its lease, by the controller's clock, drift added: later it does not act; 0 for not known
	Accepting      bool      // it takes new instances
	Limited        bool      // of those a few only
	Evacuating     bool      // its instances are to go
	ShuttingDown   bool      // it ends on purpose
	Risk           float64   // 0 to 1: how near it is to failing; instances of the nodes most at risk go first
	FreeSlots      int       // instances that it takes beside those it has; below 0: so many too many
	ListedDraining bool      // by the endpoint list
	Version        uint16    // that it runs
	RollingBack    bool      // that version is being rolled back
	WarmingUp      bool      // it has just started; FreeSlots is its slow-start budget then
	LostCopies     bool      // this incarnation began without the copies of the one before
}

// node is a node as the planner knows it.
type node struct {
	NodeStatus
	reported     bool // it was heard of since this planner leads
	leaseExpired bool // its lease is over for sure
	zone         *zone
	primaryOf    map[*instance]struct{}
	replicaOf    map[*instance]struct{}

	moves    int                    // under way, from it and to it
	incoming map[*instance]struct{} // of these those to it
	reserved int                    // of its FreeSlots since it reported them
	recent   recentMoves

	poisonCandidates int // instances that it ran when it failed, and that may have failed it and the primaries before it
	pendingFailOvers int // operations on their way that say that its lease is over

	ready            queue        // instances that are to move, the most pressing first
	waitingForBound  boundWaiters // instances that wait for a part of its moves
	eligible         bool         // may be handed an instance: it is in its zone's list
	readyPosition    int          // in Planner.readyNodes, notQueued for not
	nextExcessReview tick.Tick
}

// recentMoves counts moves to and from a node, in this lease's span and in the one before.
type recentMoves struct {
	arrivals, departures [2]int
	since                tick.Tick // of this span
}

// rotate begins another span once this one has lasted a lease.
func (m *recentMoves) rotate(now, lease tick.Tick) {
	if now-m.since < lease {
		return
	}
	m.arrivals, m.departures, m.since = [2]int{0, m.arrivals[0]}, [2]int{0, m.departures[0]}, now
}

// zone is where nodes and devices are.
type zone struct {
	name     string
	eligible []*node // those that may be handed an instance, the least at risk first
	waiting  queue   // instances that would go here, and found no node
}

// link is between two zones, for both directions.
type link struct {
	moves   int
	waiting queue // instances for which it is full
}

// unreliable reports whether a replica, or a primary, is not counted upon to keep a copy.
func (n *node) unreliable() bool {
	return n.leaseExpired || n.reported && n.isLeaving()
}

// isLeaving reports whether a node ends, is drained, or runs a version that is rolled back.
func (n *node) isLeaving() bool { return n.ShuttingDown || n.ListedDraining || n.RollingBack }

// leaseHadEnded reports whether a node's lease had ended, before what it reports now.
func (n *node) leaseHadEnded(now tick.Tick) bool {
	return n.leaseExpired || n.LeaseEnd != 0 && n.LeaseEnd <= now
}

// isRemoteTo reports whether a replica is in another zone than a primary. One whose zone is not known is taken for it.
func (n *node) isRemoteTo(primary *node) bool { return n.Zone != primary.Zone }

// qualifies reports whether a node may be handed an instance by what is known of it.
func (n *node) qualifies() bool {
	return n.reported && !n.leaseExpired && n.Accepting && !n.Evacuating && !n.isLeaving() && n.FreeSlots-n.reserved > 0
}

// byRisk orders the eligible nodes of a zone.
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

// linkBetween is the link that a move from one node to another takes, nil within a zone.
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

// updateEligibility brings up whether a node may be handed an instance. One that comes wakes instances that found no node.
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

// makeIneligible takes a node out of its zone's list. Its risk and its zone may be changed then, and not before.
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
