package controller

import (
	"errors"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// entryVersion is the format version of a log entry; operations have a version of their own. A controller that reads an entry
// of a later version stops: it can neither apply the entry as other controllers do nor skip it.
const entryVersion = 1

// errTermEnded means that an entry was valid only in its proposer's term, which ended before the entry was agreed.
var errTermEnded = errors.New("the leadership that proposed it has ended")

// logEntry is one entry of the agreed log. Its JSON form is stored data.
type logEntry struct {
	FormatVersion int                   `json:"v"`
	Term          uint64                `json:"term,omitempty"`  // the only term in which the entry is valid, or 0 for any term
	Operations    []placement.Operation `json:"steps,omitempty"` // each operation is applied or refused separately

	// EdgeNode and Incarnation: from this entry on, only this incarnation of the edge node, or a later one, may have leases.
	EdgeNode    string `json:"unit,omitempty"`
	Incarnation uint64 `json:"run,omitempty"`

	Origin *controllerclient.LogOrigin `json:"birth,omitempty"` // the log's origin, in its first entry

	// Controller and StoreID: from this entry on, the controller has the disk with this identity.
	Controller string `json:"node,omitempty"`
	StoreID    string `json:"store,omitempty"`

	// An earlier version of the program skips an entry that has only these fields, which is safe: none of the state that it
	// knows depends on them.
	RecordCounts map[string]uint64        `json:"kept,omitempty"`   // by edge node, as in leases.RecordCounts
	Unverified   []replica.UnverifiedCopy `json:"doubts,omitempty"` // unverified copies of one edge node
}

// operationResult is the result of one operation of an entry.
type operationResult struct {
	assignment placement.Assignment // the assignment after the operation, unchanged if the operation was refused
	err        error                // an error of package placement, or nil if the operation was applied
}
