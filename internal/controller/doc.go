// Package controller implements a controller of a fleet. A fleet has one, three or five controllers. Together they agree where
// each instance runs and grant the edge nodes the leases under which they serve. The leading controller also decides when an
// instance moves.
//
// Open reads the controller's data directory, and Controller.Run serves until its context ends. Rebuild writes a new data
// directory from the copies on the edge nodes after a majority of the controllers' disks was lost.
//
// # Agreed and unagreed state
//
// The stateMachine applies the entries of a raft log. It holds the assignments (placement.Table), the newest incarnation of
// each edge node, the identities of the controllers' disks and the edge nodes' record counts. This state is kept on disk and
// survives a restart.
//
// Leases are not in the log. The leader tracks them in memory (leases.Lessor), and a new leader assumes that every lease that
// its predecessors may have granted was renewed at the moment of its own election.
//
// # Invariants
//
// A lease is granted only after a majority of the controllers, queried after the request arrived, was in the leader's term
// (leadershipConfirmer). So two leaders never grant leases at the same time.
//
// An operation that takes an instance from a node requires that the node's lease has expired. From the operation's proposal
// until its result is known, the node's lease is not granted again (leadership.blockRenewal), and the log entry is valid in
// the proposer's term only.
//
// An applied entry is never undone: a log or a snapshot that ends before the last applied entry stops the controller
// (ErrLogWentBack). A disk that was emptied, or that lacks entries that it had acknowledged, becomes a voter only after the
// leader has readmitted it and it has caught up.
//
// # Goroutines
//
// Run owns all goroutines of the package and returns after they have ended. raft calls the state machine from a goroutine of
// its own. Controller.mu guards the leadership and the state that the leadership refers to; the methods of a Planner are
// called one at a time, with Controller.mu held.
package controller
