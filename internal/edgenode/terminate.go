package edgenode

import (
	"context"

	"silvercove/internal/controllerclient"
)

const (
	// maxTerminationLeases is within how many leases a node that is told to end has its instances handed on.
	maxTerminationLeases = 10

	// maxReplicaWaitLeases is how many leases more it waits to be dropped as a replica, once it is primary of nothing: the
	// primaries go on without it.
	maxReplicaWaitLeases = 2
)

// remainingDuties is what the controllers still count on this node for.
type remainingDuties struct {
	primary          bool // of an instance
	replica          bool // of an instance
	requestsInFlight bool // are under way
}

// terminate tells that the node ends, and waits until the controllers count on it for nothing, with bounds.
func (n *Node) terminate(ctx context.Context) {
	n.mu.Lock()
	n.terminating = true
	n.health.RequestShutdown(controllerclient.Now())
	n.mu.Unlock()
	n.renewSoon()
	n.options.Log.Info().Str("event", "leaves").Str("why", "told to end").Msg("termination begun")
	ctx, cancel := context.WithTimeout(ctx, maxTerminationLeases*n.leaseDuration.Duration())
	defer cancel()
	var replicaContext context.Context // since the node was primary of nothing
	for {
		duties := n.remainingDuties()
		if duties == (remainingDuties{}) {
			return
		}
		limit := ctx
		if !duties.primary {
			if replicaContext == nil {
				var stop context.CancelFunc
				replicaContext, stop = context.WithTimeout(ctx, maxReplicaWaitLeases*n.leaseDuration.Duration())
				defer stop()
			}
			limit = replicaContext
		}
		select {
		case <-limit.Done():
			if duties.primary {
				n.options.Log.Warn().Str("event", "leaves").Str("why", "ends with instances that nobody took").
					Msg("terminated with instances not handed on")
			}
			return
		case <-n.changed:
		}
	}
}

// remainingDuties looks what the node is counted on for.
func (n *Node) remainingDuties() remainingDuties {
	n.mu.Lock()
	defer n.mu.Unlock()
	duties := remainingDuties{requestsInFlight: n.inFlight > 0}
	if n.replicas == nil {
		return duties
	}
	for _, c := range n.replicas.Copies(controllerclient.Now()) {
		duties.primary = duties.primary || c.IsPrimary
		duties.replica = duties.replica || c.IsReplica
	}
	return duties
}
