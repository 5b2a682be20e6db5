package edgenode

import (
	"context"
	"errors"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// loadAssignments learns what the controllers count on this node for, before they know of this incarnation. It fails with the
// context's error alone.
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

// startReplicas makes the replica.Manager from what the disk had and all assignments.
func (n *Node) startReplicas(changes controllerclient.AssignmentChanges) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lineage = changes.Lineage
	config := replica.ConfigFrom(n.name, n.incarnation, n.options.File.Settings)
	start := replica.InitialState{Logs: n.logsAtStart, Assignments: changes.Assignments, Version: changes.Version}
	n.replicas = replica.NewManager(replicaHost{n}, controllerclient.Now(), config, start)
	n.logsAtStart = nil
}

// onAssignmentChanges takes in what changed.
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

// instancesMissingFrom are the known instances that have no assignment any more.
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

// runProposer brings operations to the controllers, one at a time, until the context ends.
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

// propose has an operation agreed, and tells replicas the result.
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
