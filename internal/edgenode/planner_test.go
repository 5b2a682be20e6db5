package edgenode

import (
	"silvercove/internal/controller"
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// failoverPlanner plans no more than that a replica takes over from a primary whose lease is over, and that an instance of a node
// that terminates goes to its replica.
type failoverPlanner struct {
	fleet       *testFleet
	host        controller.Host
	assignments map[string]placement.Assignment
	nodes       map[string]migration.NodeStatus
}

func (f *failoverPlanner) OnElected(tick.Tick) {}

func (f *failoverPlanner) OnNodeStatus(_ tick.Tick, u migration.NodeStatus) {
	f.nodes[u.Name] = u
	for _, p := range f.assignments {
		if u.ShuttingDown && p.Primary == u.Name && p.CopyTarget == "" && len(p.Replicas) > 0 {
			f.host.Propose(placement.Operation{Kind: placement.OpStartCopy, Instance: p.Instance, Epoch: p.Epoch, Target: p.Replicas[0], CutOver: true})
		}
	}
}

func (f *failoverPlanner) OnAssignment(_ tick.Tick, p placement.Assignment) {
	f.assignments[p.Instance] = p
}

func (f *failoverPlanner) OnProposalRefused(tick.Tick, placement.Operation, error) {}

func (f *failoverPlanner) OnDeviceMoved(tick.Tick, string, string) {}

func (f *failoverPlanner) OnTick(now tick.Tick) tick.Tick {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	for _, e := range f.fleet.operations {
		f.host.Propose(e)
	}
	f.fleet.operations = nil
	return now + tick.Second/500
}

func (f *failoverPlanner) OnLeaseExpired(_ tick.Tick, name string) {
	for _, p := range f.assignments {
		if p.Primary == name {
			e := placement.Operation{Kind: placement.OpFailOver, Instance: p.Instance, Epoch: p.Epoch, Node: name, Reason: "its lease is over"}
			if len(p.Replicas) > 0 {
				e.Target = p.Replicas[0]
			}
			f.host.Propose(e)
		}
	}
}
