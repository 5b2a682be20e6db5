// Package peertransport provides the connections between the processes of one fleet. Each process listens at one
// address. Each process has its own configuration file, which holds the addresses at which it reaches the others. A
// test can therefore put a proxy between any two processes, one for each direction. The first line of a connection says
// what the connection carries (Kind): the controllers' log, gossip or HTTP.
//
// Open listens, Network.Run accepts connections and hands them to the Listener of their kind, and Network.Dial connects
// to a process by its name.
package peertransport
