// Package migration decides when a running instance moves to another node, to which node and how, when its replicas are made
// and dropped, and when a replica takes over from a failed primary. The leading controller plans with a Planner. Rebuild
// recovers assignments after the controllers' log was lost.
//
// In each epoch an instance has one primary, and replicas: nodes that have every acknowledged entry. A migration copies the
// instance to its target while the primary serves, until the target is a replica; then the primary stops, and the cut-over
// begins the next epoch with the target as the primary. A fail-over is the cut-over alone: a replica takes over once the
// primary's lease has ended by every clock.
//
// A controller makes a Planner with NewPlanner and, when it becomes leader, calls OnElected, then OnAssignment for each
// assignment of the table and OnNodeStatus for each node that renews its lease. From then on it calls the method that reports
// each event. For each primary that was not heard of within a lease after OnElected, it also calls OnLeaseExpired. The planner
// proposes operations through its Host, at once if it can. OnTick does the remaining work and returns when to call it next. A
// planner's state is rebuilt from OnAssignment and OnNodeStatus alone, so a change of leader loses nothing except how long each
// instance has stayed with its primary, which counts from OnElected again. A planner is not safe for concurrent use.
//
// Invariants:
//   - At most one proposed operation of an instance is pending.
//   - The moves in progress and proposed stay within the bounds per node, per link between two zones, and in total. Copies that
//     restore replicas use only a part of these bounds, so that moves have the rest.
//   - An instance moves only to an eligible node: its lease has not ended, it accepts instances and has a free slot, and it does
//     not evacuate, drain, shut down or run a version that is being rolled back.
//   - A primary that has not agreed is replaced only after its lease has ended, and only by a replica, so that no acknowledged
//     entry is lost. If there is no replica, the instance is lost until one is back, or until it is restarted from an older copy
//     after Config.RestartAfter.
//   - A surplus replica is dropped only if enough reliable ones remain.
//   - The same calls in the same order give the same operations: all random choices derive from the seed.
//
// Kind: decision (see docs/architecture.md)
package migration
