// Package peertransport owns the connections between processes of one fleet. Each process listens at one address, and reaches
// each other one at an address of its own file, so that a link may stand between any two, in either direction. The first line
// of a connection says what it carries (Kind): the controllers' log, gossip or HTTP.
//
// Open listens, Network.Run takes connections in and hands them to the Listener of their kind, and Network.Dial connects to a
// process by its name.
package peertransport
