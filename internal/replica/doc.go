// Package replica decides what one edge node may do at each moment with the instances that it runs, replicates or is
// being sent. It is primary-backup replication under leases: the controllers agree for each instance on a primary, an
// epoch and the replicas (package placement), and each node holds one lease for all that it is primary of.
//
// The package holds no clock, goroutine, disk or connection. A caller makes a Manager from what is on the disk and from
// the controllers' assignments, calls the one method that names what has happened (OnLease, OnAssignment, OnRequest,
// OnDurable, OnMessage and the others), and calls OnTick when its result says so. The Manager acts through the Host that
// it was made with. Calls must not overlap: a Manager is not safe for concurrent use.
//
// # Invariants
//
// One writer an epoch. A node executes requests for an instance only while its lease runs by its own clock, all
// assignments that were agreed before the lease began have been seen, the newest of them names this node as primary,
// and no other node has told of a later epoch. Each change of primary raises the epoch, and replicas refuse messages of
// an earlier one than they know, so the epoch is a fencing token.
//
// Acknowledged implies durable on every replica. A request is answered with Succeeded once its log entry is on the disk
// of the primary and every replica of the assignment has confirmed it, and the lease, looked at after that, still runs.
// A replica confirms what its disk has, nothing earlier. What is answered with Rejected was never sent to any node.
//
// A copy that counts is complete. A node whose copy is shorter than what the controllers count on says so (recovery
// state incomplete) and neither serves nor confirms; one that has restarted as primary waits for all replicas to show
// that none of them has more (verifying); one whose disk was restored from an older image tells that its copy is
// unverified, until a node that does not doubt its own copy has shown it to be complete.
//
// # Parts of an instance
//
// Each instance at a node has an assignment (what the controllers say), a localLog (the copy and its disk), a recovery
// (whether the copy may be trusted), a serving state with the pending requests, and as primary a followerProgress for
// each replica, as in raft's Progress.
//
// Kind: decision (see docs/architecture.md)
package replica
