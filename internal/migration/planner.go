package migration

import (
	"maps"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Work that one call does at most, in reviews and moves. What is left is done by OnTick.
const (
	maxWorkPerTick  = 1024
	maxWorkPerEvent = 64
)

// Host is what a planner acts through.
type Host interface {
	// Propose takes an operation to the agreed log. Its result comes back by OnAssignment or OnProposalRefused, at once or
	// later.
	Propose(op placement.Operation)
	// Explain notes why the planner has decided something, for those who run the fleet. It carries no decision.
	Explain(text string)
}

// Planner decides at the leading controller when an instance is moved to another node, whither and how. The package
// documentation says how it is driven.
type Planner struct {
	host          Host
	seed          uint64
	config        Config
	leads         bool
	processing    bool // guards against work within work: a proposal that is agreed at once tells so
	now           tick.Tick
	nodes         map[string]*node
	zones         map[string]*zone
	eligibleZones []*zone // zones with an eligible node, by name
	links         map[[2]string]*link
	instances     map[string]*instance
	moves         int // under way

	pendingReviews   []*instance    // to be looked at, in their order
	scheduledReviews reviewQueue    // to be looked at by themselves
	readyNodes       readyNodeQueue // nodes with instances that are ready to move

	waitingAnywhere queue // instances that would go anywhere, and found no node
	waitingRemote   queue // the same that would have a replica in another zone
	waitingForBound boundWaiters
}

// NewPlanner returns a planner that does not lead yet. What it draws is drawn by the seed.
func NewPlanner(host Host, now tick.Tick, seed uint64, config Config) *Planner {
	return &Planner{host: host, seed: seed, config: config, now: now, nodes: map[string]*node{},
		zones: map[string]*zone{}, links: map[[2]string]*link{}, instances: map[string]*instance{}}
}

// OnElected says that this controller leads from now on: what was on its way is not waited for, every instance counts as
// come now, and every node's lease as unknown.
func (p *Planner) OnElected(now tick.Tick) {
	p.now, p.leads = now, true
	for _, n := range p.nodes {
		n.reported, n.leaseExpired, n.pendingFailOvers = false, false, 0
		p.updateEligibility(n)
	}
	for _, i := range byWeight(maps.Values(p.instances)) {
		i.proposal = proposal{}
		i.primarySince, i.copySince = now, now
		i.retry, i.avoid = retry{}, avoidance{}
		i.history.last = lastMoveOf(i.Assignment, now)
		p.updateMoveCounts(i)
		p.queueReview(i)
	}
	p.processPending(maxWorkPerEvent)
}

// OnDeposed says that this controller no longer leads. The planner goes on to learn and proposes nothing.
func (p *Planner) OnDeposed(now tick.Tick) { p.now, p.leads = now, false }

// OnTick does what is left of earlier facts, a bounded part of it, and what has fallen due. It returns when to call it next,
// which is later than now.
func (p *Planner) OnTick(now tick.Tick) (next tick.Tick) {
	p.now = now
	if !p.processPending(maxWorkPerTick) {
		return now + 1
	}
	if len(p.scheduledReviews) > 0 {
		return max(now+1, p.scheduledReviews[0].review.due)
	}
	return now + p.config.Lease
}

// ChooseNode returns the node at which a new instance should begin, "" where none has room.
func (p *Planner) ChooseNode(now tick.Tick, name, zone string) string {
	p.now = now
	n, _ := p.chooseTarget(&instance{Assignment: placement.Assignment{Instance: name, Zone: zone}}, primaryLeaving)
	if n == nil {
		return ""
	}
	n.reserved++
	p.updateEligibility(n)
	return n.Name
}

// FailOverPending reports whether an operation is on its way that says that a node's lease is over. The node may not have a
// lease until it has come back: an operation that is agreed late would give what it is the primary of to another node while
// it acts.
func (p *Planner) FailOverPending(name string) bool {
	return p.nodes[name] != nil && p.nodes[name].pendingFailOvers > 0
}

// processPending does queued reviews, those that have fallen due, and the most pressing moves, and reports whether all was done.
func (p *Planner) processPending(budget int) bool {
	if !p.leads || p.processing {
		return true
	}
	p.processing = true
	defer func() { p.processing = false }()
	for ; budget > 0; budget-- {
		switch {
		case len(p.pendingReviews) > 0:
			if i := p.nextPendingReview(); p.instances[i.Instance] == i {
				p.reviewInstance(i)
			}
		case len(p.scheduledReviews) > 0 && p.scheduledReviews[0].review.due <= p.now:
			p.reviewInstance(p.scheduledReviews[0])
		case len(p.readyNodes) > 0 && p.moves < p.config.MaxMoves:
			p.beginMove(p.readyNodes[0].ready[0])
		default:
			return true
		}
	}
	return false
}

// reviewInstance finds what one instance needs now, and does it or puts it where it waits.
func (p *Planner) reviewInstance(i *instance) {
	p.dequeue(i)
	p.scheduleReview(i, 0)
	if i.proposal.pending() && !p.proposalTimedOut(i) {
		return
	}
	switch {
	case i.deviceZone != "" && i.deviceZone != i.Zone:
		p.propose(i, placement.Operation{Kind: placement.OpMoveDevice, Zone: i.deviceZone,
			Reason: "its device is in " + i.deviceZone})
	case i.State == placement.Lost:
		p.recoverLost(i)
	case i.State != placement.Running:
	case i.primaryNode.leaseExpired || i.primaryLostCopy:
		p.failOver(i)
	case len(i.emptyReplicas) > 0 && !i.cutsOverTo(i.emptyReplicas[0]):
		name := i.emptyReplicas[0].Name
		p.propose(i, placement.Operation{Kind: placement.OpDropReplica, Target: name, Reason: name + " began without its copies"})
	case i.CopyTarget != "":
		p.watchCopy(i)
	default:
		p.planMove(i)
	}
}
