// Package replica decides what one edge node may do at each moment with the instances that it runs, replicates or
// receives a copy of. It implements primary-backup replication under leases: for each instance the controllers agree on
// a primary, an epoch and the replicas (package placement), and each node holds one lease for all the instances that it
// is primary of.
//
// The package contains no clock, goroutine, disk or connection. A caller makes a Manager from the logs on the disk and
// the controllers' assignments, calls one method for each event (OnLease, OnAssignment, OnRequest, OnDurable, OnMessage
// and the other methods whose names begin with On). It calls OnTick again no later than at the time next, which is the
// result of the previous OnTick. The Manager acts through the Host that it was made with. Calls must not overlap: a
// Manager is not safe for concurrent use.
//
// # Invariants
//
// One writer per epoch. A node executes requests for an instance only while its lease runs by its own clock, it has
// seen all assignments that were agreed before the lease began, the newest of them names this node as primary, and no
// other node has reported a later epoch. Each change of primary raises the epoch, and replicas refuse messages of an
// earlier epoch than the latest they know, so the epoch is a fencing token.
//
// Acknowledged implies durable on every replica. A request is answered with Succeeded once its log entry is on the disk
// of the primary, every replica of the assignment has confirmed it, and the lease, which is checked after that, still
// runs. A replica confirms an entry only after the entry is on its disk. A request that is answered with Rejected was
// never sent to any node.
//
// A copy that the controllers require is complete, or the node reports that the copy may lack entries. A node whose
// copy lacks entries that the controllers require (recovery state incomplete) reports the copy as incomplete, does not
// serve, and marks its answers as unverified. A node that restarted as primary waits for all replicas to show that none
// of them has more entries (recovery state verifying). A node whose disk was restored from an older image reports its
// copy as unverified until a node with a verified copy has shown it to be complete.
//
// # Parts of an instance
//
// The state of an instance at a node has these parts: an assignment (what the controllers have agreed), a localLog (the
// copy and its pending writes), a recovery (whether the copy may be trusted), a serving state with the pending
// requests, and on a primary a followerProgress for each replica and the copy target, as in raft's Progress.
//
// Kind: decision (see docs/architecture.md)
package replica
