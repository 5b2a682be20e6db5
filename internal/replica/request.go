package replica

import "silvercove/internal/tick"

// Request is a client's request at an edge node.
type Request struct {
	ID       string // of a write: one that is repeated with it is answered as at first
	Instance string
	Write    bool
	Body     []byte
	Deadline tick.Tick // not begun later, and answered by then
}

// Outcome is how a request ended.
type Outcome uint8

// The ends of a request.
const (
	Rejected      Outcome = iota // it did nothing and never will
	Succeeded                    // its entry is durable on every replica; of a read: what was read is
	Indeterminate                // its entry may be kept or dropped
	TooLarge                     // it never ran, and would not fit again either
)

// Response is the one answer to a request. Index, Epoch and Node are of its log entry, or of the last one that was read.
type Response struct {
	Outcome   Outcome
	Index     uint64
	Epoch     uint64
	Node      string
	Detail    string // why, where it has not succeeded
	LeaseLost bool   // it was not for the node to go on: its lease was over, or others own the instance now
}
