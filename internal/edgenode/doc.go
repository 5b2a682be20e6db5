// Package edgenode implements the process of an edge node in a fleet. The node answers requests like any other backend, renews
// its lease at the controllers, follows the controllers' assignments of instances, and exchanges copies and log entries with
// other edge nodes. The package makes no decisions of its own: replica.Manager decides what the node may do, and
// devicehealth.Monitor assesses the node's health.
//
// Open reads the node's disk and listens for requests. Node.Run runs the node until it is told to stop. The node serves instances
// only once it has loaded the assignments and a controller has granted it a lease.
//
// # Goroutines
//
// Run owns all goroutines and returns after they have ended. There are goroutines for the store, for the SQL server and each of
// its connections, for the HTTP server for other processes, for the message senders, for the proposers, and for the reader of
// power data. There is also one goroutine for each of these tasks: renewing the lease, running the timers, watching the
// assignments, and waiting for termination. Events are passed to the replica.Manager one at a time, under Node.mu.
package edgenode
