// Package controller implements a controller of a fleet. A fleet has one, three or five controllers. The controllers agree on
// where each instance runs, and grant the leases under which the edge nodes serve instances. The leading controller also
// decides when to move an instance.
//
// Open reads the controller's data directory, and Controller.Run serves until its context ends. After a majority of the
// controllers' disks was lost, Rebuild writes a new data directory from the copies on the edge nodes.
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
// (leadershipConfirmer). This keeps two leaders from granting leases at the same time.
//
// A failover, quarantine or deletion of an instance requires that the lease of the instance's primary has expired
// (leadership.blockRenewal names one exception). From the operation's proposal until its result is known, the primary's lease
// is not granted again, and the operation's log entry is valid only in the term in which it was proposed.
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
