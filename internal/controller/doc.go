// Package controller is one controller of a fleet: one of three or five processes, or a single one, that agree where each
// instance runs, grant the edge nodes the leases under which they serve, and, in the one that leads, decide when an
// instance moves.
//
// Open reads the controller's data directory, Controller.Run serves until its context ends. Rebuild writes a new data
// directory from what the edge nodes hold, after a majority of the controllers' disks was lost.
//
// # What is agreed and what is not
//
// The assignments (placement.Table), the newest incarnation of each edge node, the identities of the controllers' disks
// and the edge nodes' record counts are a stateMachine that a raft log steps; they outlive a controller on its disk.
// Leases are not in the log. The leader counts them in memory (leases.Lessor), and a new leader assumes that every lease
// which its predecessors may have granted was renewed at the moment at which it was elected.
//
// # Invariants
//
// A lease is granted only after a majority of the controllers, asked after the request came, was in the leader's term
// (leadershipConfirmer). So two leaders never grant at the same time.
//
// An operation that takes an instance from a node rests on the end of that node's lease. From its proposal until its
// result is known the node's lease is not granted again (leadership.blockRenewal), and the log entry holds in the
// proposer's term alone.
//
// What was applied is never taken back: a log or a snapshot that ends before the last applied entry ends the controller
// (ErrLogWentBack). A disk that lacks what was confirmed on it, or that was emptied, gets its vote only after the leader
// has let it in again and it has caught up.
//
// # Goroutines
//
// Run owns all goroutines of the package and returns after they have ended. raft calls the state machine from one
// goroutine of its own. Controller.mu guards the leadership and what it refers to; a Planner is called under it, one call
// at a time.
package controller
