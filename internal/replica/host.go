package replica

import (
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Host is the interface through which a Manager acts. Its methods must not call back into the Manager.
type Host interface {
	// Send sends a message to another edge node. The message may be lost, duplicated or overtaken by another one.
	Send(to string, m Message)

	// Propose proposes op as an entry of the controllers' agreed log. The result is passed to OnAssignment or
	// OnProposalRefused, or is lost.
	Propose(op placement.Operation)

	// Respond ends a request. It is called once for each request that was passed to OnRequest.
	Respond(r *Request, response Response)

	// AppendEntry has the disk append the next entry to an instance's log. Each call of AppendEntry, TruncateLog,
	// ResetLog or DeleteLog ends in OnDurable or OnDiskError. The results for one instance come in the order of the
	// calls.
	AppendEntry(instance string, e LogEntry)

	// TruncateLog removes the entries of an instance's log after index.
	TruncateLog(instance string, index uint64)

	// ResetLog replaces an instance's log, if any, by an empty one. The next entry of the empty log has the index
	// base+1, and checksum is the checksum of all entries up to base.
	ResetLog(instance string, base, checksum uint64)

	// DeleteLog removes an instance's log.
	DeleteLog(instance string)

	// Notify reports an event, which the host writes to the node's log output or to the timeline of a simulation.
	Notify(e Event)
}

// Kinds of events, as they stand in log output and in timelines of simulations.
const (
	EventLease      = "lease"   // the node's lease was gained or lost, as Reason says
	EventDisk       = "disk"    // a write failed, or the disk was restored from an older image
	EventIncomplete = "lacks"   // this node's copy of an instance lacks entries that the controllers require
	EventUnverified = "doubts"  // the node serves from a copy that no other node has shown to be complete
	EventServing    = "acts"    // the node starts to serve an instance
	EventStopped    = "stops"   // the node stops serving an instance
	EventCaughtUp   = "synced"  // the copy target has all acknowledged entries
	EventDropped    = "drops"   // the primary proposes to drop a replica that has not confirmed entries in time
	EventRefused    = "refused" // a proposal was refused
)

// Event is an event of a Manager that is worth an entry in the node's log output. The fields that do not apply to the
// event are empty.
type Event struct {
	Kind          string
	Instance      string
	Epoch         uint64
	From, To      string
	Reason        string
	SinceLeaseEnd tick.Tick // for EventStopped: time since the end of the lease; above 0 only if the process was not scheduled in time
}
