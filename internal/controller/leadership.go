package controller

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/leases"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// maxRecentDecisions is the maximum number of the planner's decisions that the status call returns.
const maxRecentDecisions = 16

// followerTimerInterval is the time until the next call of runTimers while the controller does not lead. startLeading causes a
// call at once.
const followerTimerInterval = time.Hour

// errLeaseRunning is the refusal of an operation that requires an expired lease.
var errLeaseRunning = errors.New("the primary's lease has not expired: it may still serve")

// leadership is the leader's state in memory during one term of raft. Controller.mu guards all fields except term and ended,
// which do not change.
type leadership struct {
	term  uint64
	ended chan struct{} // closed when the leadership has ended

	lessor         *leases.Lessor
	planner        Planner
	verifier       *devicehealth.Verifier
	recordCounts   *leases.RecordCounts
	rollingBack    map[uint16]bool          // by software version: whether the version is rolled back, as relays reported in this term
	rolloutReports map[string]rolloutReport // by relay: the relay's last report

	nodes map[string]*controllerclient.LeaseRequest // by edge node: the node's last granted request
	// nodesVersion is the version of nodes. Its upper 32 bits are the term, so that later leaders have greater versions.
	nodesVersion uint64
	nodesChanged chan struct{} // closed at the next change of nodes

	proposals        []queuedProposal
	renewalBlocks    map[string]int // by edge node: number of operations in progress that may be committed only after the node's lease has expired
	renewalUnblocked chan struct{}  // closed when the next node is removed from renewalBlocks

	decisions      []string // last decisions of the planner, at most maxRecentDecisions
	lackedMajority bool     // the last call of runTimers found too few voters for a majority
}

// newLeadership returns the leadership of a term, without a planner.
func newLeadership(term uint64, now tick.Tick, config leases.Config, recordCounts map[string]uint64) *leadership {
	return &leadership{
		term:             term,
		ended:            make(chan struct{}),
		lessor:           leases.New(config),
		verifier:         devicehealth.NewVerifier(),
		recordCounts:     leases.NewRecordCounts(now, config, recordCounts),
		rollingBack:      map[uint16]bool{},
		rolloutReports:   map[string]rolloutReport{},
		nodes:            map[string]*controllerclient.LeaseRequest{},
		nodesVersion:     term << 32,
		nodesChanged:     make(chan struct{}),
		renewalBlocks:    map[string]int{},
		renewalUnblocked: make(chan struct{}),
	}
}

// startLeading waits until this controller has applied all entries that earlier leaders committed, and then begins a
// leadership.
func (c *Controller) startLeading(r *raft.Raft) {
	term := r.CurrentTerm()
	if r.Barrier(0).Error() != nil || !leadsInTerm(r, term) {
		return
	}
	if c.stateMachine.lineage().OriginID == "" {
		if _, err := c.proposeEntry(logEntry{Term: term, Origin: c.disk.currentMarker().Origin}); err != nil {
			return
		}
	}
	now := c.Now()
	incarnations := c.stateMachine.incarnations()
	l := newLeadership(term, now, leases.ConfigFrom(c.Settings), c.stateMachine.recordCounts())
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leadsInTerm(r, term) {
		return
	}
	l.lessor.OnElected(now, incarnations)
	l.planner = c.Planner(plannerHost{c, l}, now)
	c.leadership = l
	l.planner.OnElected(now)
	for _, a := range c.stateMachine.assignments() {
		l.expectRenewals(now, a)
		l.planner.OnAssignment(now, a)
	}
	metrics.GetOrCreateCounter("cove_keeper_leads_total").Inc()
	c.Log.Info().Str("event", "leads").Uint64("term", term).Msg("leadership gained")
	c.waker.Wake()
}

// leadsInTerm reports whether this controller leads in the given term. If it lost the leadership and won it again, it leads in
// a later term.
func leadsInTerm(r *raft.Raft, term uint64) bool {
	return r.State() == raft.Leader && r.CurrentTerm() == term
}

// stopLeading ends the leadership, if there is one.
func (c *Controller) stopLeading() {
	c.mu.Lock()
	l := c.leadership
	c.leadership = nil
	c.mu.Unlock()
	if l != nil {
		close(l.ended)
		c.Log.Info().Str("event", "follows").Uint64("term", l.term).Msg("leadership ended")
	}
}

// currentLeadership returns the current leadership, or nil while this controller does not lead. It is called with mu held.
func (c *Controller) currentLeadership() *leadership {
	if l, r := c.leadership, c.raft.Load(); l != nil && leadsInTerm(r, l.term) {
		return l
	}
	return nil
}

// runTimers expires leases, runs the planner's timer and wakes the proposer if record counts are due. It returns the time until
// it has to run again.
func (c *Controller) runTimers() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.currentLeadership()
	if l == nil {
		return followerTimerInterval
	}
	now := c.Now()
	// A rebuilt controller begins as the only voter. Until there are enough voters for a majority, leadershipConfirmer.confirm
	// fails, and no node can renew its lease. To keep the leases from expiring in that time, runTimers returns here. Once
	// there are enough voters, OnElected treats all leases as renewed.
	if voters, err := c.voters(c.raft.Load()); err != nil || len(voters) < c.majority(voters) {
		l.lackedMajority = true
		return c.timings.ConfirmTimeout.Duration()
	} else if l.lackedMajority {
		l.lackedMajority = false
		l.lessor.OnElected(now, c.stateMachine.incarnations())
		l.planner.OnElected(now)
	}
	for _, node := range l.lessor.Expired(now) {
		c.onLeaseExpired(l, now, node)
	}
	next := l.planner.OnTick(now)
	if at, found := l.lessor.NextExpiry(); found && at < next {
		next = at
	}
	if at, found := l.recordCounts.NextDue(); found && now >= at {
		c.wakeProposer()
	} else if found && at < next {
		next = at
	}
	return max(next-now, 1).Duration()
}

// onLeaseExpired handles the expiry of a node's lease: it reports the expiry to the planner and publishes the nodes. It is
// called with mu held.
func (c *Controller) onLeaseExpired(l *leadership, now tick.Tick, node string) {
	metrics.GetOrCreateCounter("cove_keeper_leases_lapsed_total").Inc()
	c.Log.Info().Str("event", "lapsed").Str("unit", node).Str("why", "its lease has expired").Msg("lease expired")
	l.planner.OnLeaseExpired(now, node)
	l.verifier.Remove(node)
	l.publishNodes()
}

// publishNodes increments the version of the nodes and wakes the calls that watch the nodes. It is called with mu held.
func (l *leadership) publishNodes() {
	l.nodesVersion++
	close(l.nodesChanged)
	l.nodesChanged = make(chan struct{})
}

// expectRenewals starts to track the leases of the nodes that serve or replicate a running instance. It is called with mu held.
func (l *leadership) expectRenewals(now tick.Tick, a placement.Assignment) {
	if a.State != placement.Running {
		return
	}
	for _, node := range append([]string{a.Primary}, a.Replicas...) {
		l.lessor.ExpectRenewal(now, node)
	}
}

// blockRenewal keeps a node's expired lease from being granted again until unblockRenewal is called. It is called for each
// operation that requires the expiry of the node's lease. It fails with errLeaseRunning if the lease has not expired. It is
// called with mu held.
//
// The block keeps a primary from getting a lease again while its instance is being assigned to another node: handleLease waits
// in awaitRenewalUnblocked until the block ends. There is one exception to errLeaseRunning: the node may have a lease if its
// current incarnation started without the copies of the earlier incarnation (LostCopies). That is safe, because the earlier
// incarnation's lease has expired. The current incarnation does not serve the instances of which the earlier incarnation was
// primary.
func (l *leadership) blockRenewal(now tick.Tick, node string) error {
	if _, hasLease := l.lessor.LeaseEnd(now, node); hasLease && (l.nodes[node] == nil || !l.nodes[node].LostCopies) {
		return errLeaseRunning
	}
	l.renewalBlocks[node]++
	return nil
}

// unblockRenewal reverts one call of blockRenewal. It is called with mu held.
func (l *leadership) unblockRenewal(node string) {
	l.renewalBlocks[node]--
	if l.renewalBlocks[node] > 0 {
		return
	}
	delete(l.renewalBlocks, node)
	close(l.renewalUnblocked)
	l.renewalUnblocked = make(chan struct{})
}
