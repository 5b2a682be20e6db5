package controller

import (
	"testing"
	"time"

	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// recordingPlanner is a failoverPlanner that also sends each node status that it receives to a channel.
type recordingPlanner struct {
	failoverPlanner
	statuses chan migration.NodeStatus
}

func (p *recordingPlanner) OnNodeStatus(_ tick.Tick, status migration.NodeStatus) {
	p.statuses <- status
}

// failoverPlanner proposes only failovers: when the lease of an instance's primary has expired, it proposes a failover to the
// first replica, or without a target if there is no replica.
type failoverPlanner struct {
	host        Host
	assignments map[string]placement.Assignment
	nodes       map[string]migration.NodeStatus
}

func (f *failoverPlanner) OnElected(tick.Tick) {}

func (f *failoverPlanner) OnNodeStatus(_ tick.Tick, status migration.NodeStatus) {
	f.nodes[status.Name] = status
}

func (f *failoverPlanner) OnAssignment(_ tick.Tick, a placement.Assignment) {
	f.assignments[a.Instance] = a
}

func (f *failoverPlanner) OnProposalRefused(tick.Tick, placement.Operation, error) {}

func (f *failoverPlanner) OnDeviceMoved(tick.Tick, string, string) {}

func (f *failoverPlanner) OnTick(now tick.Tick) tick.Tick { return now + tick.Second }

func (f *failoverPlanner) OnLeaseExpired(_ tick.Tick, name string) {
	for _, a := range f.assignments {
		if a.Primary == name {
			op := placement.Operation{Kind: placement.OpFailOver, Instance: a.Instance, Epoch: a.Epoch, Node: name, Reason: "its lease has expired"}
			if len(a.Replicas) > 0 {
				op.Target = a.Replicas[0]
			}
			f.host.Propose(op)
		}
	}
}

// idlePlanner proposes nothing, so that a lease that expires because the machine is busy changes no assignment.
type idlePlanner struct{ failoverPlanner }

func (*idlePlanner) OnLeaseExpired(tick.Tick, string) {}

// replicaPlanner is a failoverPlanner that also creates a replica for each running instance without one, on the node that
// replicaOf names for the instance's primary.
type replicaPlanner struct {
	failoverPlanner
	replicaOf map[string]string
}

func (p *replicaPlanner) OnAssignment(now tick.Tick, a placement.Assignment) {
	p.failoverPlanner.OnAssignment(now, a)
	if a.State == placement.Running && len(a.Replicas) == 0 && a.CopyTarget == "" {
		p.host.Propose(placement.Operation{Kind: placement.OpStartCopy, Instance: a.Instance, Epoch: a.Epoch, Target: p.replicaOf[a.Primary]})
	}
}

// newFailoverPlanner returns a failoverPlanner without assignments.
func newFailoverPlanner(host Host) *failoverPlanner {
	return &failoverPlanner{host, map[string]placement.Assignment{}, map[string]migration.NodeStatus{}}
}

// newRecordingFleet starts a fleet of edge nodes and one controller with a recordingPlanner.
func newRecordingFleet(tb testing.TB, lease time.Duration, edges int) (*testFleet, *recordingPlanner) {
	tb.Helper()
	c := newTestFleet(tb, lease, 1, edges)
	planner := &recordingPlanner{statuses: make(chan migration.NodeStatus, 64)}
	c.newPlanner = func(host Host) Planner {
		planner.failoverPlanner = *newFailoverPlanner(host)
		return planner
	}
	c.start()
	return c, planner
}
