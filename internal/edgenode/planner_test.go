package edgenode

import (
	"silvercove/internal/controller"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// failoverPlanner is a minimal planner. If the lease of a primary expires, a replica takes over. If a node terminates, each
// instance of which it is the primary is moved to a replica. The planner also proposes the operations in testFleet.operations.
type failoverPlanner struct {
	fleet       *testFleet
	host        controller.Host
	assignments map[string]placement.Assignment
	nodes       map[string]migration.NodeStatus
}

func (f *failoverPlanner) OnElected(tick.Tick) {}

func (f *failoverPlanner) OnNodeStatus(_ tick.Tick, status migration.NodeStatus) {
	f.nodes[status.Name] = status
	for _, a := range f.assignments {
		if status.ShuttingDown && a.Primary == status.Name && a.CopyTarget == "" && len(a.Replicas) > 0 {
			f.host.Propose(placement.Operation{Kind: placement.OpStartCopy, Instance: a.Instance, Epoch: a.Epoch, Target: a.Replicas[0], CutOver: true})
		}
	}
}

func (f *failoverPlanner) OnAssignment(_ tick.Tick, a placement.Assignment) {
	f.assignments[a.Instance] = a
}

func (f *failoverPlanner) OnProposalRefused(tick.Tick, placement.Operation, error) {}

func (f *failoverPlanner) OnDeviceMoved(tick.Tick, string, string) {}

func (f *failoverPlanner) OnTick(now tick.Tick) tick.Tick {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	for _, op := range f.fleet.operations {
		f.host.Propose(op)
	}
	f.fleet.operations = nil
	return now + tick.Second/500
}

func (f *failoverPlanner) OnLeaseExpired(_ tick.Tick, node string) {
	for _, a := range f.assignments {
		if a.Primary == node {
			op := placement.Operation{Kind: placement.OpFailOver, Instance: a.Instance, Epoch: a.Epoch, Node: node, Reason: "its lease is over"}
			if len(a.Replicas) > 0 {
				op.Target = a.Replicas[0]
			}
			f.host.Propose(op)
		}
	}
}
