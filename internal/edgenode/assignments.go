package edgenode

import (
	"context"
	"errors"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// loadAssignments loads all assignments and creates the replica.Manager from them. The assignments show which copies the
// controllers expect on this node. loadAssignments runs before the first lease request, so the controllers do not know this
// incarnation of the node yet. It retries until it succeeds or the context ends, and its only error is the context's.
func (n *Node) loadAssignments(ctx context.Context) error {
	for {
		changes, err := n.client.Assignments(ctx, 0)
		if err == nil {
			n.startReplicas(changes)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		n.options.Log.Warn().Str("why", err.Error()).Msg("assignments not loaded")
		if !sleep(ctx, n.leaseDuration.Duration()) {
			return ctx.Err()
		}
	}
}

// startReplicas creates the replica.Manager from all assignments and from the logs that the node found on its disk.
func (n *Node) startReplicas(changes controllerclient.AssignmentChanges) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lineage = changes.Lineage
	config := replica.ConfigFrom(n.name, n.incarnation, n.options.File.Settings)
	start := replica.InitialState{Logs: n.logsAtStart, Assignments: changes.Assignments, Version: changes.Version}
	n.replicas = replica.NewManager(replicaHost{n}, controllerclient.Now(), config, start)
	n.logsAtStart = nil
}

// onAssignmentChanges passes changed assignments to the replica.Manager. If the changes contain all assignments,
// with a higher generation than the node's current assignments, the controllers have rebuilt the assignments. The node then
// replaces all its assignments.
func (n *Node) onAssignmentChanges(changes controllerclient.AssignmentChanges) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := controllerclient.Now()
	if lineage := n.client.Lineage(); changes.Complete && lineage.Generation > n.lineage.Generation {
		n.lineage = lineage
		n.replicas.OnPlacementRebuilt(now, changes.Assignments, changes.Version)
		return
	}
	for _, a := range changes.Assignments {
		n.replicas.OnAssignment(now, a)
	}
	deleted := changes.Deleted
	if changes.Complete {
		deleted = append(deleted, n.instancesMissingFrom(changes.Assignments)...)
	}
	for _, instance := range deleted {
		n.replicas.OnInstanceDeleted(now, instance)
	}
	n.replicas.OnPlacementVersion(now, changes.Version)
	n.signalChange()
}

// instancesMissingFrom returns the instances that the replica.Manager knows but that have no assignment. assignments must contain
// all assignments.
func (n *Node) instancesMissingFrom(assignments []placement.Assignment) (missing []string) {
	assigned := map[string]bool{}
	for _, a := range assignments {
		assigned[a.Instance] = true
	}
	for _, instance := range n.replicas.KnownInstances() {
		if !assigned[instance] {
			missing = append(missing, instance)
		}
	}
	return missing
}

// runProposer sends queued operations to the controllers, one at a time, until the context ends.
func (n *Node) runProposer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-n.proposals:
			n.propose(ctx, op)
		}
	}
}

// propose proposes an operation to the controllers, and passes the new assignment or the refusal to the replica.Manager.
func (n *Node) propose(ctx context.Context, op placement.Operation) {
	proposalContext, cancel := context.WithTimeout(ctx, n.leaseDuration.Duration())
	assignment, err := n.client.Propose(proposalContext, op)
	cancel()
	var refusal *controllerclient.RefusalError
	if errors.As(err, &refusal) && refusal.Assignment != nil {
		assignment = *refusal.Assignment
	}
	n.mu.Lock()
	if assignment.Instance != "" {
		n.replicas.OnAssignment(controllerclient.Now(), assignment)
	}
	if err != nil {
		n.replicas.OnProposalRefused(controllerclient.Now(), op, err)
	}
	n.mu.Unlock()
	n.signalChange()
}
