package controller

import (
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Planner decides at the leading controller which operations to propose; migration.Planner is the one that runs. A new one
// is made each time that a controller begins to lead. Calls come one at a time.
type Planner interface {
	// OnElected says that the leader counts all leases that may have been granted as renewed now.
	OnElected(now tick.Tick)

	// OnNodeStatus is called for each lease that is granted, and where a node's version begins or ends to be rolled back.
	OnNodeStatus(now tick.Tick, status migration.NodeStatus)

	// OnLeaseExpired is called once a node's lease is over for sure.
	OnLeaseExpired(now tick.Tick, node string)

	// OnAssignment is called with each assignment at the beginning, and after each operation that was applied.
	OnAssignment(now tick.Tick, a placement.Assignment)

	// OnProposalRefused is called for a proposed operation that was not applied.
	OnProposalRefused(now tick.Tick, op placement.Operation, err error)

	// OnDeviceMoved says in which zone an instance's device is now.
	OnDeviceMoved(now tick.Tick, instance, zone string)

	// OnTick does what is due and returns when it wants to be called next, no more than a lease away.
	OnTick(now tick.Tick) (next tick.Tick)
}

// Host is what a Planner acts through. Its methods are called from within the Planner's, and return at once.
type Host interface {
	// Propose queues an operation for the agreed log. Its result comes back by OnAssignment or OnProposalRefused, or is lost
	// with the leadership.
	Propose(op placement.Operation)

	// Explain notes a decision for the log and for the status call.
	Explain(text string)
}
