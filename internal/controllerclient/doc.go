// Package controllerclient has the messages of the controllers' calls, and the Client that edge nodes, relays, tools and the
// controllers themselves make them with. A controller itself is in package controller, which imports much more.
//
// A Client calls whichever controller leads, and finds it: a call is tried at one controller after another, with pauses that
// grow, until one of them answers for good or the call's context ends. It believes no controller that speaks for another
// lineage of assignments than one that it has heard of (CheckLineage).
package controllerclient
