// Package edgenode is the process of an edge node in a fleet. It answers requests as any backend does, keeps its lease, follows
// where instances run, and exchanges copies and log entries with other edge nodes. It decides nothing itself: what it may
// do is decided by replica.Manager, and how healthy it is by devicehealth.Monitor.
//
// Open reads the node's disk and listens, Node.Run works until it is told to end. The node begins to serve once a
// controller has told it the assignments, and granted it a lease.
//
// # Goroutines
//
// Run owns all goroutines and returns after they have ended: the store, the SQL server with one goroutine a connection, the
// HTTP server for other nodes, the senders of messages, the proposers, and the loops of the lease, the timers and the
// assignments. All events reach the replica.Manager under Node.mu, one at a time.
package edgenode
