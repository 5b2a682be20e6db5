// Package migration decides when a running instance is moved to another node, to which one and how, when its replicas are
// made and dropped, and when a replica takes over from a primary that failed. It is what the leading controller plans with,
// and Rebuild is how assignments are found again after the controllers' log was lost.
//
// An instance has one primary in an epoch, and replicas: nodes that have every entry that was acknowledged. A migration is:
// copy while the primary serves, until the target is a replica; stop the primary; cut over, which begins the next epoch.
// A fail-over is the cut-over alone: a replica takes over once the lease of the primary is over for sure.
//
// A controller makes a Planner with NewPlanner and calls OnElected once it leads, OnAssignment for each assignment of the
// table and OnNodeStatus for each node that renews its lease. From then on it calls the one method that names what has
// happened; OnLeaseExpired also for each primary that was not heard of for a lease after OnElected. The planner proposes
// operations through its Host at once where it can. OnTick does what is left and says when it wants to be called next.
// What a planner needs is rebuilt from OnAssignment and OnNodeStatus alone, so a change of leader loses nothing but how long
// an instance has stayed, which counts from OnElected anew. One goroutine at a time may call a planner.
//
// What holds at each moment:
//   - At most one proposed operation of an instance is waited for.
//   - The moves under way and asked for stay within the bounds on each node, each link between two zones, and in all.
//     Copies that restore replicas keep below the bounds, so that moves have a part of them.
//   - An instance is handed only to an eligible node: its lease runs, it accepts instances and has a free slot, and it neither
//     evacuates, drains, shuts down nor runs a version that is rolled back.
//   - A primary is replaced without its own word only after its lease is over, and only by a replica, so that no acknowledged
//     entry is lost. Where there is none the instance is lost until a replica is back, or until it is restarted from an older
//     copy after a while.
//   - A replica is dropped as surplus only where as many as are wanted are left that are counted upon.
//   - The same facts in the same order give the same operations: what is drawn is drawn by the seed.
//
// Kind: decision (see docs/architecture.md)
package migration
