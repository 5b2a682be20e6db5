package replica

import "silvercove/internal/tick"

// Request is a client's request at an edge node.
type Request struct {
	ID       string // ID of a write; if a kept log entry has this ID, the write is a repeat and gets the answer of the first write again
	Instance string
	Write    bool
	Body     []byte
	Deadline tick.Tick // the request is not started after this time, and is answered at this time at the latest
}

// Outcome says how a request ended.
type Outcome uint8

// Outcomes of requests.
const (
	Rejected      Outcome = iota // the request was not executed and never will be
	Succeeded                    // the write's entry, or the last entry that the read has seen, is durable on every replica
	Indeterminate                // the write's entry may be kept or dropped, or the log no longer keeps it
	TooLarge                     // the request was not executed, and its entry would still not fit if the request were repeated
)

// Response is the only answer to a request. Index, Epoch and Node belong to the write's log entry, or to the last entry
// that a read has seen.
type Response struct {
	Outcome   Outcome
	Index     uint64
	Epoch     uint64
	Node      string
	Detail    string // reason, unless the request succeeded
	LeaseLost bool   // the node stopped serving the instance while the write was pending, for example because its lease ended
}
