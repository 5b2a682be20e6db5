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

// maxRecentDecisions is how many of the planner's decisions the status call tells.
const maxRecentDecisions = 16

// followerTimerInterval is how long a controller that does not lead sleeps; startLeading wakes it.
const followerTimerInterval = time.Hour

// errLeaseRunning refuses an operation that rests on the end of a lease.
var errLeaseRunning = errors.New("its owner's lease is not over: it may still act")

// leadership is one span of leading: a term of raft, and what the leader holds in memory. Controller.mu guards all fields
// but term and ended, which stay as they are.
type leadership struct {
	term  uint64
	ended chan struct{} // closed when the span has ended

	lessor         *leases.Lessor
	planner        Planner
	verifier       *devicehealth.Verifier
	recordCounts   *leases.RecordCounts
	rollingBack    map[uint16]bool          // by software version: whether it is rolled back, as relays told in this span
	rolloutReports map[string]rolloutReport // by relay: its last report

	nodes        map[string]*controllerclient.LeaseRequest // by edge node: its last request that was granted
	nodesVersion uint64                                    // of nodes; grows over spans, as the term is in its upper half
	nodesChanged chan struct{}                             // closed at the next change of nodes

	proposals        []queuedProposal
	renewalBlocks    map[string]int // by edge node: operations under way that rest on the end of its lease
	renewalUnblocked chan struct{}  // closed when there are none left for a node

	decisions      []string // the planner's last ones
	lackedMajority bool     // at the last look there were too few voters to grant a lease
}

// newLeadership is a span that begins in a term, without a planner yet.
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

// startLeading begins a span of leadership, once all that earlier leaders had agreed is applied here.
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

// leadsInTerm reports whether a controller leads in a term. A leadership that was lost and won again is another term.
func leadsInTerm(r *raft.Raft, term uint64) bool {
	return r.State() == raft.Leader && r.CurrentTerm() == term
}

// stopLeading ends the span of leadership, if there is one.
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

// currentLeadership is the present span, nil while another controller leads. It is called with mu.
func (c *Controller) currentLeadership() *leadership {
	if l, r := c.leadership, c.raft.Load(); l != nil && leadsInTerm(r, l.term) {
		return l
	}
	return nil
}

// runTimers tells the planner what time has brought, and returns how long there is nothing more to do.
func (c *Controller) runTimers() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.currentLeadership()
	if l == nil {
		return followerTimerInterval
	}
	now := c.Now()
	// Guards against leases that count as over though their nodes only could not renew them: a rebuilt controller grants none
	// before it has a majority (leadershipConfirmer.confirm). Holds because the leases begin anew once there is one.
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

// onLeaseExpired tells that a node's lease is over for sure. It is called with mu.
func (c *Controller) onLeaseExpired(l *leadership, now tick.Tick, node string) {
	metrics.GetOrCreateCounter("cove_keeper_leases_lapsed_total").Inc()
	c.Log.Info().Str("event", "lapsed").Str("unit", node).Str("why", "its lease is over").Msg("lease expired")
	l.planner.OnLeaseExpired(now, node)
	l.verifier.Remove(node)
	l.publishNodes()
}

// publishNodes says that the nodes have changed. It is called with mu, as are the methods below.
func (l *leadership) publishNodes() {
	l.nodesVersion++
	close(l.nodesChanged)
	l.nodesChanged = make(chan struct{})
}

// expectRenewals has the leases counted of the nodes that serve or replicate an instance.
func (l *leadership) expectRenewals(now tick.Tick, a placement.Assignment) {
	if a.State != placement.Running {
		return
	}
	for _, node := range append([]string{a.Primary}, a.Replicas...) {
		l.lessor.ExpectRenewal(now, node)
	}
}

// blockRenewal keeps a node's lease over until unblockRenewal: it is not granted again before the operation that rests on its
// end is agreed. It fails with errLeaseRunning while the lease runs.
//
// Guards against a primary that comes back while its instance is given to another node; holds because handleLease waits
// for awaitRenewalUnblocked. An incarnation that began without the copies of the one before, whose lease is over, does not
// serve what that one was primary of, and may have a lease of its own.
func (l *leadership) blockRenewal(now tick.Tick, node string) error {
	if _, hasLease := l.lessor.LeaseEnd(now, node); hasLease && (l.nodes[node] == nil || !l.nodes[node].LostCopies) {
		return errLeaseRunning
	}
	l.renewalBlocks[node]++
	return nil
}

// unblockRenewal ends what blockRenewal began.
func (l *leadership) unblockRenewal(node string) {
	l.renewalBlocks[node]--
	if l.renewalBlocks[node] > 0 {
		return
	}
	delete(l.renewalBlocks, node)
	close(l.renewalUnblocked)
	l.renewalUnblocked = make(chan struct{})
}
