package controller

import (
	"errors"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// entryVersion is the version of a log entry; the operations in it have one of their own. A controller that meets a later one
// ends: it can neither apply the entry nor pass it over as those do that know it.
const entryVersion = 1

// errTermEnded means that an entry rested on its proposer's leadership, which ended before the entry was agreed.
var errTermEnded = errors.New("the lead that it rested on has ended")

// logEntry is one entry of the agreed log. Its JSON form is stored data.
type logEntry struct {
	FormatVersion int                   `json:"v"`
	Term          uint64                `json:"term,omitempty"`  // the only term in which it holds, 0: any
	Operations    []placement.Operation `json:"steps,omitempty"` // each is applied or refused by itself

	// From now on this incarnation of the edge node may have leases, and earlier ones may not.
	EdgeNode    string `json:"unit,omitempty"`
	Incarnation uint64 `json:"run,omitempty"`

	Origin *controllerclient.LogOrigin `json:"birth,omitempty"` // the log's beginning, in its first entry

	// From now on the controller has the disk with this identity.
	Controller string `json:"node,omitempty"`
	StoreID    string `json:"store,omitempty"`

	// An earlier program passes an entry with nothing but these over: nothing that it knows rests on them.
	RecordCounts map[string]uint64        `json:"kept,omitempty"`   // by edge node, as in leases.RecordCounts
	Unverified   []replica.UnverifiedCopy `json:"doubts,omitempty"` // of one edge node
}

// operationResult is the result of one operation of an entry.
type operationResult struct {
	assignment placement.Assignment // after it, or the one that stands where it was refused
	err        error                // one of placement's, nil: it was applied
}
