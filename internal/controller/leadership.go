package controller

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/leases"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// leadership is a span of leading.
type leadership struct {
	term              uint64
	lessor            *leases.Lessor
	planner           Planner
	verifier          *devicehealth.Verifier
	recordCounts      *leases.RecordCounts
	rollingBack       map[uint16]bool                           // builds by whether the platform takes them back, as relays told since this lead began
	rolloutReports    map[string]rolloutReport                  // by relay, the last that it said of a build
	nodes             map[string]*controllerclient.LeaseRequest // the last of each
	nodesVersion      uint64                                    // of units
	nodesChanged      chan struct{}                             // closed at the next change of units
	proposals         []queuedProposal
	expiryDependents  map[string]int // entries under way that rest on a unit's lease being over
	dependentsSettled chan struct{}  // closed when fewer are
	ended             chan struct{}  // closed when the lead is
	decisions         []string
	lackedMajority    bool // there were too few voters to grant a lease, when it was looked at last
}

// startLeading begins a span of leading, once all that earlier leaders had agreed is carried out here.
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
	runs := c.stateMachine.incarnations()
	l := &leadership{term: term, lessor: leases.New(leases.ConfigFrom(c.Settings)), nodes: map[string]*controllerclient.LeaseRequest{}, rollingBack: map[uint16]bool{}, rolloutReports: map[string]rolloutReport{}, nodesVersion: term << 32,
		nodesChanged: make(chan struct{}), expiryDependents: map[string]int{}, dependentsSettled: make(chan struct{}), ended: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leadsInTerm(r, term) {
		return
	}
	l.lessor.OnElected(now, runs)
	l.planner = c.Planner(plannerHost{c, l}, now)
	l.verifier = devicehealth.NewVerifier()
	l.recordCounts = leases.NewRecordCounts(now, leases.ConfigFrom(c.Settings), c.stateMachine.recordCounts())
	c.leadership = l
	l.planner.OnElected(now)
	for _, p := range c.stateMachine.assignments() {
		l.expectRenewals(now, p)
		l.planner.OnAssignment(now, p)
	}
	metrics.GetOrCreateCounter("cove_keeper_leads_total").Inc()
	c.Log.Info().Str("event", "leads").Uint64("term", term).Send()
	c.waker.Wake()
}

// leadsInTerm says whether a keeper leads in a term. A lead that was lost and won again is another term.
func leadsInTerm(r *raft.Raft, term uint64) bool {
	return r.State() == raft.Leader && r.CurrentTerm() == term
}

// stopLeading ends a span of leading.
func (c *Controller) stopLeading() {
	c.mu.Lock()
	l := c.leadership
	c.leadership = nil
	c.mu.Unlock()
	if l != nil {
		close(l.ended)
		c.Log.Info().Str("event", "follows").Uint64("term", l.term).Send()
	}
}

// currentLeadership is the present lead, nil where another keeper leads. It is called with mu.
func (c *Controller) currentLeadership() *leadership {
	if l, r := c.leadership, c.raft.Load(); l != nil && leadsInTerm(r, l.term) {
		return l
	}
	return nil
}

// runTimers tells the planner what time brought.
func (c *Controller) runTimers() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.currentLeadership()
	if l == nil {
		return time.Hour // leads rings
	}
	now := c.Now()
	// A rebuilt keeper grants no lease before it has a majority of the file's keepers (confirmer.leads), so none may be
	// counted as over meanwhile: units would be given up that only could not have one.
	if voters, err := c.voters(c.raft.Load()); err != nil || len(voters) < c.majority(voters) {
		l.lackedMajority = true
		return c.timings.ConfirmTimeout.Duration()
	} else if l.lackedMajority {
		l.lackedMajority = false
		l.lessor.OnElected(now, c.stateMachine.incarnations())
		l.planner.OnElected(now)
	}
	for _, name := range l.lessor.Expired(now) {
		metrics.GetOrCreateCounter("cove_keeper_leases_lapsed_total").Inc()
		c.Log.Info().Str("event", "lapsed").Str("unit", name).Msg("its lease is over")
		l.planner.OnLeaseExpired(now, name)
		l.verifier.Remove(name)
		l.publishNodes()
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

// rolloutReport is how a relay says that a build stands.
type rolloutReport struct {
	version     uint16
	rollingBack bool
}

// publishNodes says that the units have changed.
func (l *leadership) publishNodes() {
	l.nodesVersion++
	close(l.nodesChanged)
	l.nodesChanged = make(chan struct{})
}

// expectRenewals counts on the units of a place.
func (l *leadership) expectRenewals(now tick.Tick, p placement.Assignment) {
	if p.State != placement.Running {
		return
	}
	for _, name := range append([]string{p.Primary}, p.Replicas...) {
		l.lessor.ExpectRenewal(now, name)
	}
}

// holdExpiry has a unit's lease stay over until settle: it is not granted again before what rests on that is agreed. It
// guards against an owner that comes back while its instance is given to another one. A run that began without the
// copies of the one before, whose lease is over, does not act for what that one owned, and may hold a lease of its own.
func (l *leadership) holdExpiry(now tick.Tick, unit string) error {
	if _, held := l.lessor.LeaseEnd(now, unit); held && (l.nodes[unit] == nil || !l.nodes[unit].LostCopies) {
		return errLeaseRunning
	}
	l.expiryDependents[unit]++
	return nil
}

func (l *leadership) releaseExpiry(unit string) {
	if l.expiryDependents[unit]--; l.expiryDependents[unit] <= 0 {
		delete(l.expiryDependents, unit)
		close(l.dependentsSettled)
		l.dependentsSettled = make(chan struct{})
	}
}
