package controller

import (
	"errors"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// entryVersion is the format version of a log entry; operations have a version of their own. A controller that reads an entry
// of a later version stops, because it can't apply the entry as controllers of that version do. If it skipped the entry, its
// state would differ from the state of those controllers.
const entryVersion = 1

// errTermEnded means that an entry changed nothing, because it was valid only in its proposer's term and was agreed in a later
// term.
var errTermEnded = errors.New("the leadership that proposed it has ended")

// logEntry is one entry of the agreed log. Entries are stored as JSON, so the JSON names must not change.
type logEntry struct {
	FormatVersion int                   `json:"v"`
	Term          uint64                `json:"term,omitempty"`  // the only term in which the entry is valid, or 0 for any term
	Operations    []placement.Operation `json:"steps,omitempty"` // each operation is applied or refused separately

	// If EdgeNode is set, only Incarnation and later incarnations of this edge node may have leases once the entry is applied.
	EdgeNode    string `json:"unit,omitempty"`
	Incarnation uint64 `json:"run,omitempty"`

	// Origin is the origin of the log. A leader proposes it if the agreed state has no origin yet. In all other entries Origin
	// is nil.
	Origin *controllerclient.LogOrigin `json:"birth,omitempty"`

	// If Controller is set, StoreID is the identity of the named controller's disk after the entry is applied.
	Controller string `json:"node,omitempty"`
	StoreID    string `json:"store,omitempty"`

	// An earlier version of the program that does not know the fields below ignores them. That is safe, because the fields
	// change no part of the state that the earlier version has.
	RecordCounts map[string]uint64        `json:"kept,omitempty"`   // by edge node: its record count, see leases.RecordCounts
	Unverified   []replica.UnverifiedCopy `json:"doubts,omitempty"` // unverified copies of one edge node
}

// operationResult is the result of one operation of an entry.
type operationResult struct {
	assignment placement.Assignment // the assignment after the operation, unchanged if the operation was refused
	err        error                // an error of package placement, or nil if the operation was applied
}
