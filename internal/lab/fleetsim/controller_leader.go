package fleetsim

import (
	"errors"
	"slices"

	"silvercove/internal/devicehealth"
	"silvercove/internal/leases"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// leadership is the state of a controller while it leads.
type leadership struct {
	cluster        *cluster
	controller     *controller
	term           uint64
	lessor         *leases.Lessor
	recordCounts   *leases.RecordCounts
	verifier       *devicehealth.Verifier
	planner        *migration.Planner
	nodeStatus     map[string]migration.NodeStatus // last status of each node, as passed to the planner
	proposals      []queuedProposal
	reportedStatus map[string]migration.NodeStatus // last status of each node, as the node sent it
	blockedGrants  map[string]int                  // by node: number of operations under way that require that the node's lease has expired
	waitingGrants  map[string][]func()             // by node: grants that wait until blockedGrants of the node is 0
	proposing      bool
	wakeAt         tick.Tick // simulated time of the next time-driven checks; 0: none are scheduled
	wakeNumber     uint64
}

// queuedProposal is an operation of the planner that waits to be proposed. If err is not nil, the operation is not proposed,
// and the planner is told that err refused it.
type queuedProposal struct {
	operation placement.Operation
	err       error
}

func (l *leadership) now() tick.Tick { return l.controller.clock(l.cluster.fleet.now) }

// expectRenewals tells the lessor to expect lease renewals from the primary and the replicas of a running instance.
func (l *leadership) expectRenewals(now tick.Tick, p placement.Assignment) {
	if p.State != placement.Running {
		return
	}
	l.lessor.ExpectRenewal(now, p.Primary)
	for _, name := range p.Replicas {
		l.lessor.ExpectRenewal(now, name)
	}
}

// wakeSoon schedules the time-driven checks of the leader for the next tick of simulated time.
func (l *leadership) wakeSoon() { l.wakeAfter(1) }

// wakeAfter schedules the time-driven checks of the leader after a span, unless checks are already scheduled for an earlier
// time. The checks handle expired leases, run the planner and propose the record counts that recordCounts.Due returns.
func (l *leadership) wakeAfter(span tick.Tick) {
	f := l.cluster.fleet
	at := f.now + max(1, span)
	if l.wakeAt != 0 && l.wakeAt <= at {
		return
	}
	l.wakeAt = at
	l.wakeNumber++
	number := l.wakeNumber
	f.after(at-f.now, func() {
		if l.cluster.leader != l || l.wakeNumber != number {
			return
		}
		l.wakeAt = 0
		now := l.now()
		for _, name := range l.lessor.Expired(now) {
			f.logEvent(testcluster.Event{Node: l.controller.endpoint.name, Name: "lapsed", To: name})
			l.planner.OnLeaseExpired(now, name)
		}
		next := l.planner.OnTick(now)
		if at, found := l.lessor.NextExpiry(); found && at < next {
			next = at
		}
		for counts := l.recordCounts.Due(now); counts != nil; counts = l.recordCounts.Due(now) {
			l.cluster.CountEntries++
			l.cluster.appendEntry(&logEntry{leader: l, recordCounts: counts, done: func([]proposalResult, error) {}})
		}
		if at, found := l.recordCounts.NextDue(); found && at < next {
			next = at
		}
		l.wakeAfter(next - now)
	})
}

// Propose implements migration.Host. It queues an operation of the planner; queued operations are proposed together.
func (l *leadership) Propose(e placement.Operation) {
	f := l.cluster.fleet
	f.checker.onProposed(l, e)
	q := queuedProposal{operation: e}
	q.operation.Version = placement.FormatVersion
	if requiresExpiredLease(e) {
		q.err = l.blockGrants(e.Node)
	}
	l.proposals = append(l.proposals, q)
	if !l.proposing {
		l.proposing = true
		f.after(0, l.proposeNext)
	}
}

// Explain implements migration.Host. It drops the planner's explanations, because the reasons of the assignments contain the
// same information.
func (l *leadership) Explain(string) {}

// requiresExpiredLease reports whether an operation is valid only if the lease of the node in its Node field has expired.
func requiresExpiredLease(e placement.Operation) bool {
	return (e.Kind == placement.OpFailOver || e.Kind == placement.OpQuarantine || e.Kind == placement.OpDelete) &&
		e.Node != ""
}

// blockGrants delays new grants of a lease to a node until unblockGrants is called, as a real controller does. It is called
// before the proposal of an operation that requires the lease of the node to have expired. blockGrants fails if the node holds
// a lease, unless the node has reported that it lost its copies.
func (l *leadership) blockGrants(node string) error {
	if _, held := l.lessor.LeaseEnd(l.now(), node); held && !l.cluster.fleet.disabled.grantWhileExpiring {
		if u, known := l.nodeStatus[node]; !known || !u.LostCopies {
			return errors.New("the primary's lease has not expired: it may still serve")
		}
	}
	l.blockedGrants[node]++
	return nil
}

// unblockGrants undoes one call of blockGrants. When all calls for the node are undone, it runs the node's waiting grants.
func (l *leadership) unblockGrants(node string) {
	if l.blockedGrants[node]--; l.blockedGrants[node] > 0 {
		return
	}
	delete(l.blockedGrants, node)
	waits := l.waitingGrants[node]
	delete(l.waitingGrants, node)
	for _, do := range waits {
		do()
	}
}

// proposeNext proposes up to maxOperations queued operations of the planner in one entry of the log. It proposes the next ones
// after that entry is agreed.
func (l *leadership) proposeNext() {
	if l.cluster.leader != l || len(l.proposals) == 0 {
		l.proposing = false
		return
	}
	batch := slices.Clone(l.proposals[:min(maxOperations, len(l.proposals))])
	if l.proposals = l.proposals[len(batch):]; len(l.proposals) == 0 {
		l.proposals = nil
	}
	o := &logEntry{leader: l}
	for _, q := range batch {
		if q.err == nil {
			o.operations = append(o.operations, q.operation)
		}
	}
	o.done = func(results []proposalResult, err error) {
		if err != nil || l.cluster.leader != l {
			return // the result is unknown, and this leadership has ended
		}
		now := l.now()
		for _, q := range batch {
			err := q.err
			if err == nil {
				err, results = results[0].err, results[1:]
				if requiresExpiredLease(q.operation) {
					l.unblockGrants(q.operation.Node)
				}
			}
			if err != nil {
				l.planner.OnProposalRefused(now, q.operation, err)
			}
		}
		l.wakeSoon()
		l.proposeNext()
	}
	if len(o.operations) == 0 {
		l.cluster.fleet.after(0, func() { o.done(nil, nil) })
		return
	}
	l.cluster.appendEntry(o)
}
