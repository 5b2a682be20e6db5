package controller

import (
	"silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Planner decides at the leading controller which operations to propose. Outside tests, the implementation is
// migration.Planner. A new Planner is created each time that a controller begins to lead. Its methods are called one at a time.
type Planner interface {
	// OnElected is called after this controller is elected. It is called again when there are enough voters for a majority
	// after a time with too few. At each call, the Planner has to treat every lease that may have been granted before as
	// renewed at the time in the parameter now.
	OnElected(now tick.Tick)

	// OnNodeStatus is called for each granted lease, and when the rollback of a node's version begins or ends.
	OnNodeStatus(now tick.Tick, status migration.NodeStatus)

	// OnLeaseExpired is called once a node's lease has expired both by the controller's clock and by the node's own clock.
	// Clock drift up to leases.Config.ClockDrift is allowed for.
	OnLeaseExpired(now tick.Tick, node string)

	// OnAssignment is called for each assignment when the leadership begins, and then for the changed assignment after each
	// applied operation.
	OnAssignment(now tick.Tick, a placement.Assignment)

	// OnProposalRefused is called for a proposed operation that was not applied.
	OnProposalRefused(now tick.Tick, op placement.Operation, err error)

	// OnDeviceMoved is called when an instance's device has entered a zone.
	OnDeviceMoved(now tick.Tick, instance, zone string)

	// OnTick performs the work that is due. It returns the time of the next call, which is at most a lease duration after now.
	OnTick(now tick.Tick) (next tick.Tick)
}

// Host carries out a Planner's decisions. A Planner calls the Host's methods from within the Planner's own methods. The Host's
// methods do not block.
type Host interface {
	// Propose queues an operation for the agreed log. The Planner learns the result through OnAssignment or OnProposalRefused,
	// unless the leadership ends first.
	Propose(op placement.Operation)

	// Explain records a decision for the log and for the status call.
	Explain(text string)
}
