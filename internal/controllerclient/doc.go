// Package controllerclient defines the messages of the controllers' HTTP API, and the Client with which edge nodes, relays, tools
// and the controllers themselves call it. The controller is implemented in package controller, which has far more dependencies.
//
// A Client finds the leading controller by itself: it tries one controller after another, with growing pauses, until one of them
// gives a final answer or the call's context ends. It accepts no assignments from a controller whose lineage does not match the
// lineage that the client knows (CheckLineage).
package controllerclient
