// Package migration decides at the leading controller when a function instance moves to another edge node, whither and
// how (Planner), and makes the assignments anew where the controllers' log was lost (Rebuild).
//
// A move is: copy to the target while the primary serves, until it is a replica; stop the primary; cut over, which raises
// the epoch. A failover is the same without the first two: a replica takes over once the primary's lease is over for sure.
package migration

import "silvercove/internal/tick"

// NodeStatus is what the leading keeper knows of an edge unit.
type NodeStatus struct {
	Name, Zone   string
	Incarnation  uint64    // number of its process's start; another one has another memory
	LeaseEnd     tick.Tick // its lease, by the keeper's clock, drift added: later it does not act
	Accepting    bool      // new instances
	Limited      bool      // of those a few only
	Evacuating   bool      // its instances are to go
	ShuttingDown bool      // it ends on purpose
	Risk         float64   // 0 to 1: how near it is to falling; the most endangered instances go first
	FreeSlots    int       // instances that it takes beside those it has
	Draining     bool      // by the list
	Version      uint16
	RollingBack  bool // its build is on the way back
	WarmingUp    bool // it has just started; Room is its cold budget then
	LostCopies   bool // this run began without the copies of the one before
}
