package replica

import (
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Host is the interface through which a Manager acts. Its methods must not call back into the Manager.
type Host interface {
	// Send sends a message to another edge node. The message may be lost, duplicated or overtaken by another one.
	Send(to string, m Message)

	// Propose proposes an entry of the controllers' log. The result is passed to OnAssignment or OnProposalRefused, or
	// is lost.
	Propose(op placement.Operation)

	// Respond ends a request. It is called once for each request that was passed to OnRequest.
	Respond(r *Request, response Response)

	// AppendEntry has the disk append the next entry to an instance's log. Each call of AppendEntry, TruncateLog,
	// ResetLog or DeleteLog ends in OnDurable or OnDiskError, in the order of the calls for an instance.
	AppendEntry(instance string, e LogEntry)

	// TruncateLog removes the entries of an instance's log after index.
	TruncateLog(instance string, index uint64)

	// ResetLog replaces an instance's log by one without entries that continues after the index base. checksum is the
	// checksum of the entries up to base.
	ResetLog(instance string, base, checksum uint64)

	// DeleteLog removes an instance's log.
	DeleteLog(instance string)

	// Notify reports an event for the log and the timelines.
	Notify(e Event)
}

// Kinds of events, as they stand in logs and timelines.
const (
	EventLease      = "lease"   // the node's lease was gained or lost, as Reason says
	EventDisk       = "disk"    // a write failed, or the disk was restored from an older image
	EventIncomplete = "lacks"   // the copy that the controllers require is incomplete
	EventUnverified = "doubts"  // the node serves from a copy that no other node has shown to be complete
	EventServing    = "acts"    // the node starts to serve an instance
	EventStopped    = "stops"   // the node stops serving an instance
	EventCaughtUp   = "synced"  // the copy target has all acknowledged entries
	EventDropped    = "drops"   // a replica that does not confirm is to be dropped
	EventRefused    = "refused" // a proposal was refused
)

// Event is an entry for the log and the timelines.
type Event struct {
	Kind          string
	Instance      string
	Epoch         uint64
	From, To      string
	Reason        string
	SinceLeaseEnd tick.Tick // for EventStopped: time since the end of the lease; above 0 only if the process was not scheduled in time
}
