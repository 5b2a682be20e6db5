// Package controllerclient defines the messages of the controllers' HTTP API, and the Client with which edge nodes, relays,
// tools and the controllers themselves call it. Package controller, which implements the controllers, is separate because it
// has far more dependencies.
//
// A Client finds the leading controller by itself: it tries one controller after another, with growing pauses, until one of
// them gives a final answer or the call's context ends. A Client accepts no assignments from a controller whose lineage does
// not match the lineage that the Client accepted before (CheckLineage).
package controllerclient
