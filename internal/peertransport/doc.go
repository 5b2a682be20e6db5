// Package peertransport provides the connections between the processes of one fleet. Each process listens at one
// address. It reaches each other process at an address from its own file, so that there may be a link between any two
// processes, in either direction. The first line of a connection says what the connection carries (Kind): the
// controllers' log, gossip or HTTP.
//
// Open listens, Network.Run accepts connections and hands them to the Listener of their kind, and Network.Dial connects
// to a process by its name.
package peertransport
