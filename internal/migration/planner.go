package migration

import (
	"maps"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Limits on the number of reviews and moves in one call of OnTick (maxWorkPerTick) or of another method (maxWorkPerEvent).
// OnTick does the remaining work.
const (
	maxWorkPerTick  = 1024
	maxWorkPerEvent = 64
)

// Host carries out a planner's decisions.
type Host interface {
	// Propose submits an operation to the agreed log. The result of the operation arrives through OnAssignment or
	// OnProposalRefused, possibly before Propose returns.
	Propose(op placement.Operation)
	// Explain records the reason for a decision, for operators. Nothing depends on it.
	Explain(text string)
}

// Planner decides, at the leading controller, when an instance moves to another node, to which node and how. The package
// documentation describes the order of calls.
type Planner struct {
	host          Host
	seed          uint64
	config        Config
	leads         bool
	processing    bool // guards against reentry: a proposal that is agreed at once calls back into the planner
	now           tick.Tick
	nodes         map[string]*node
	zones         map[string]*zone
	eligibleZones []*zone // zones with an eligible node, sorted by name
	links         map[[2]string]*link
	instances     map[string]*instance
	moves         int // number of moves in progress or proposed

	pendingReviews   []*instance    // instances to review now, in order of arrival
	scheduledReviews reviewQueue    // instances with a scheduled review, by time
	readyNodes       readyNodeQueue // nodes with instances in their ready queue and with fewer moves than Config.MaxMovesPerNode

	waitingAnywhere queue // instances that accept any node and found none
	waitingRemote   queue // instances that need a node in another zone and found none
	waitingForBound boundWaiters
}

// NewPlanner returns a planner that does not lead yet. All random choices derive from the seed.
func NewPlanner(host Host, now tick.Tick, seed uint64, config Config) *Planner {
	return &Planner{host: host, seed: seed, config: config, now: now, nodes: map[string]*node{},
		zones: map[string]*zone{}, links: map[[2]string]*link{}, instances: map[string]*instance{}}
}

// OnElected tells the planner that this controller leads from now on. The planner forgets pending proposals and treats every
// node's lease as unknown. For each instance, primarySince and copySince start again at now. The minimum stay also
// counts from now, unless the instance is in its first epoch (lastMoveOf).
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

// OnDeposed tells the planner that this controller no longer leads. The planner still follows events but proposes nothing.
func (p *Planner) OnDeposed(now tick.Tick) { p.now, p.leads = now, false }

// OnTick does a bounded part of the work that earlier calls left over, and the reviews that are due. It returns the time of
// the next call, which is later than now.
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

// ChooseNode returns the node on which a new instance should start and reserves a slot there, or "" if no node has room.
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

// FailOverPending reports whether an operation that declares a node's lease expired has no result yet. Until the result is
// known, the node must not be granted a lease. If the operation were agreed after the grant, another node would become the
// primary of an instance that this node still serves.
func (p *Planner) FailOverPending(name string) bool {
	return p.nodes[name] != nil && p.nodes[name].pendingFailOvers > 0
}

// processPending does the pending reviews, then the scheduled reviews that are due, then the most urgent moves. It stops
// after a total of budget reviews and moves. It reports whether no work is left that can be done now.
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

// reviewInstance determines what an instance needs now, and proposes an operation or queues the instance.
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
