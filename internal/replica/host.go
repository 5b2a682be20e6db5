package replica

import (
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Host is what a Manager acts through. Its methods must not call back into the Manager.
type Host interface {
	// Send sends a message to another edge node. It may be lost, repeated and overtaken.
	Send(to string, m Message)

	// Propose proposes an entry of the controllers' log. Its result comes back by OnAssignment or OnProposalRefused, or
	// is lost.
	Propose(op placement.Operation)

	// Respond ends a request. It is called once for each request that OnRequest was given.
	Respond(r *Request, response Response)

	// AppendEntry asks the disk for the next entry of an instance's log. It and the next three end in OnDurable or
	// OnDiskError each, in order for an instance.
	AppendEntry(instance string, e LogEntry)

	// TruncateLog leaves the entries up to an index.
	TruncateLog(instance string, index uint64)

	// ResetLog replaces what is there by a log without entries after an index and its checksum.
	ResetLog(instance string, base, checksum uint64)

	// DeleteLog removes an instance's log.
	DeleteLog(instance string)

	// Notify tells of something for the log and the timelines.
	Notify(e Event)
}

// The kinds of events, as logs and timelines have them.
const (
	EventLease      = "lease"   // the node's lease was gained or lost, by Reason
	EventDisk       = "disk"    // a write has failed, or the disk was restored from an older image
	EventIncomplete = "lacks"   // the copy that the controllers count on is not whole
	EventUnverified = "doubts"  // the node serves from a copy that nobody has shown to be complete
	EventServing    = "acts"    // the node begins to serve an instance
	EventStopped    = "stops"   // and ends
	EventCaughtUp   = "synced"  // the node that is copied to has all acknowledged entries
	EventDropped    = "drops"   // a replica that does not confirm is to be dropped
	EventRefused    = "refused" // a proposal was refused
)

// Event is something for the log and the timelines.
type Event struct {
	Kind          string
	Instance      string
	Epoch         uint64
	From, To      string
	Reason        string
	SinceLeaseEnd tick.Tick // of EventStopped: how late it came, as the process was not scheduled meanwhile
}
