package edgenode

import (
	"context"

	"silvercove/internal/controllerclient"
)

const (
	// maxTerminationLeases limits the time, in lease durations, in which a terminating node hands its instances over.
	maxTerminationLeases = 10

	// maxReplicaWaitLeases limits, in lease durations, how long a terminating node waits to be dropped as a replica. The wait
	// begins when the node is no longer primary of any instance. When the wait is over, the node ends even if it is still a
	// replica. The primaries then continue without the node.
	maxReplicaWaitLeases = 2
)

// remainingDuties are the reasons why a terminating node must not end yet. The zero value means that it may end.
type remainingDuties struct {
	primary          bool // the node is primary of at least one instance
	replica          bool // the node is a replica of at least one instance
	requestsInFlight bool
}

// terminate reports to the controllers that the node is shutting down, and waits until the node has no remaining duties or until
// maxTerminationLeases or maxReplicaWaitLeases is reached.
func (n *Node) terminate(ctx context.Context) {
	n.mu.Lock()
	n.terminating = true
	n.health.RequestShutdown(controllerclient.Now())
	n.mu.Unlock()
	n.renewSoon()
	n.options.Log.Info().Str("event", "leaves").Str("why", "told to end").Msg("termination begun")
	ctx, cancel := context.WithTimeout(ctx, maxTerminationLeases*n.leaseDuration.Duration())
	defer cancel()
	// replicaContext limits the wait to be dropped as a replica. It is nil until the node is no longer primary of any instance.
	var replicaContext context.Context
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
				n.options.Log.Warn().Str("event", "leaves").Str("why", "ends with instances that no other node took over").
					Msg("terminated while still primary")
			}
			return
		case <-n.changed:
		}
	}
}

// remainingDuties returns the reasons why the node must not end yet.
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
