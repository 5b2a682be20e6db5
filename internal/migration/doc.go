// Package migration decides when a running instance moves to another node, to which node and how, when its replicas are made
// and dropped, and when a replica takes over from a failed primary. The leading controller plans with a Planner. Rebuild
// recovers assignments after the controllers' log was lost.
//
// In each epoch an instance has one primary and any number of replicas, which are other nodes that have every acknowledged
// entry. A migration copies the instance to its target while the primary serves, until the target is a replica. Then the
// primary stops, and the cut-over begins the next epoch with the target as the primary. A fail-over needs no copy: a replica
// takes over once the primary's lease has expired both by the controller's clock and by the node's own.
//
// A controller makes a Planner with NewPlanner and, when it becomes leader, calls OnElected, then OnAssignment for each
// assignment of the table and OnNodeStatus for each node that renews its lease. From then on the controller reports each event
// with the method for that event. For each primary that has not renewed its lease within one lease duration after OnElected,
// the controller also calls OnLeaseExpired. The planner proposes operations through its Host, if possible during the call that
// reports the event. OnTick does the remaining work and returns the time of its next call. A planner's state is rebuilt from
// OnAssignment and OnNodeStatus alone, so a change of leader loses nothing except how long each instance has stayed with its
// primary: that time counts from OnElected again. A planner is not safe for concurrent use.
//
// Invariants:
//   - At most one proposed operation of an instance is pending.
//   - The moves in progress and proposed stay within the bounds per node, per link between two zones, and in total. Copies that
//     make replicas use only a part of these bounds, so that the rest is left for migrations.
//   - An instance moves only to an eligible node. The lease of such a node has not expired, and the node accepts instances and
//     has a free slot. The node does not evacuate, drain, shut down or run a version that is being rolled back.
//   - A primary that has not agreed to stop is replaced only after its lease has ended, and only by a replica, so that no
//     acknowledged entry is lost. If no replica is live, the instance is lost until a replica is back, or until it is restarted
//     from an older copy after Config.RestartAfter.
//   - A surplus replica is dropped only if enough reliable replicas remain.
//   - The same calls in the same order give the same operations: all random choices derive from the seed.
//
// Kind: decision (see docs/architecture.md)
package migration
