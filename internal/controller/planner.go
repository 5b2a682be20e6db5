package controller

import (
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Planner decides at the leading controller which operations to propose. Its production implementation is migration.Planner. A
// new Planner is created each time that a controller begins to lead. Its methods are called one at a time.
type Planner interface {
	// OnElected is called when the leader counts all leases that may have been granted as renewed now.
	OnElected(now tick.Tick)

	// OnNodeStatus is called for each granted lease, and when the rollback of a node's version begins or ends.
	OnNodeStatus(now tick.Tick, status migration.NodeStatus)

	// OnLeaseExpired is called when a node's lease has certainly expired, whatever the drift of the clocks.
	OnLeaseExpired(now tick.Tick, node string)

	// OnAssignment is called with each assignment after the election, and after each applied operation with its assignment.
	OnAssignment(now tick.Tick, a placement.Assignment)

	// OnProposalRefused is called for a proposed operation that was not applied.
	OnProposalRefused(now tick.Tick, op placement.Operation, err error)

	// OnDeviceMoved is called when an instance's device has entered a zone.
	OnDeviceMoved(now tick.Tick, instance, zone string)

	// OnTick performs the work that is due. It returns when it should be called next, which is at most a lease later.
	OnTick(now tick.Tick) (next tick.Tick)
}

// Host carries out a Planner's decisions. A Planner calls its methods from within its own; they do not block.
type Host interface {
	// Propose queues an operation for the agreed log. The result is reported by OnAssignment or OnProposalRefused, unless the
	// leadership ends before.
	Propose(op placement.Operation)

	// Explain records a decision for the log and for the status call.
	Explain(text string)
}
