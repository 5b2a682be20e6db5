package controller

import (
	"errors"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// entryVersion is that of an entry of the agreed log around handover.Entry. A keeper that meets a later one ends: it
// can neither carry it out nor leave it out as those that can.
const entryVersion = 1

// errTermEnded: the order rested on its maker's lead, which ended before it was agreed.
var errTermEnded = errors.New("the lead that it rested on has ended")

// logEntry is one entry of the agreed log.
type logEntry struct {
	FormatVersion int                         `json:"v"`
	Term          uint64                      `json:"term,omitempty"`  // it holds in this term alone; 0: in any
	Operations    []placement.Operation       `json:"steps,omitempty"` // each is carried out or refused by itself
	EdgeNode      string                      `json:"unit,omitempty"`  // Run of Unit may have leases from now on, earlier ones may not
	Incarnation   uint64                      `json:"run,omitempty"`
	Origin        *controllerclient.LogOrigin `json:"birth,omitempty"` // the log's beginning, once
	Controller    string                      `json:"node,omitempty"`  // the keeper Node has the disk Store from now on
	StoreID       string                      `json:"store,omitempty"`

	// Of these an earlier keeper knows nothing, and passes an entry with them alone over: nothing that it knows rests on them.
	RecordCounts map[string]uint64        `json:"kept,omitempty"`   // units' counts, as leases.Marks
	Unverified   []replica.UnverifiedCopy `json:"doubts,omitempty"` // of one unit's
}

// operationResult is what became of one step.
type operationResult struct {
	assignment placement.Assignment
	err        error
}
