package placement

import "errors"

// OperationKind is the kind of change that an operation makes.
type OperationKind string

// Kinds of operations. An operation names the epoch that its proposer saw, and fails with ErrStaleEpoch if the instance has a
// later epoch when the operation is applied. OpMoveDevice is accepted at a later epoch, and OpCreate does not use the epoch.
const (
	// OpCreate adds the instance with the primary Target, in Zone, with Weight. Its epoch is greater than any that an earlier
	// instance of the name may have had.
	OpCreate OperationKind = "create"
	// OpStartCopy begins to copy the instance to Target. With CutOver, Target is to become the primary after the copy.
	OpStartCopy OperationKind = "copy"
	// OpReplicaReady makes Target a replica. The primary Node reports that Target has every acknowledged entry.
	OpReplicaReady OperationKind = "synced"
	// OpDropReplica removes the replica Target. If Node is set, it is the primary, which cannot reach Target and acknowledges
	// entries without Target from now on. If Node is empty, the controllers remove Target.
	OpDropReplica OperationKind = "drop"
	// OpCutOver makes the replica Target the primary of the next epoch. The old primary Node has stopped at Index, and Target
	// has all entries.
	OpCutOver OperationKind = "switch"
	// OpCancelCopy cancels the copy to Target.
	OpCancelCopy OperationKind = "back"
	// OpFailOver makes the replica Target the primary of the next epoch, or without a Target makes the instance lost. The lease
	// of the primary Node has certainly expired.
	OpFailOver OperationKind = "fail"
	// OpRestart resumes a lost instance on Target from the copy that Target has, which ends at Index.
	OpRestart OperationKind = "restart"
	// OpMoveDevice records that the device of the instance is now in Zone.
	OpMoveDevice OperationKind = "cross"
	// OpResetFailures sets the number of failures to 0 because the primary has run the instance for a long time.
	OpResetFailures OperationKind = "steady"
	// OpMarkServed records that the primary Node is about to serve the instance for the first time.
	OpMarkServed OperationKind = "begin"
	// OpReportIncomplete removes Node as the primary or a replica, because Node lacks entries that a primary or a replica must
	// have. If Node is the primary, the replica Target becomes the primary of the next epoch, or without a Target the instance
	// becomes lost.
	OpReportIncomplete OperationKind = "lacks"
	// OpQuarantine stops the instance until OpRelease. The primary Node has stopped, or its lease has certainly expired.
	OpQuarantine OperationKind = "quarantine"
	// OpRelease resumes a quarantined instance on Target.
	OpRelease OperationKind = "release"
	// OpDelete removes the instance. The primary Node, if there is one, has stopped.
	OpDelete OperationKind = "forget"
)

// FormatVersion is the version of the operations and snapshots that this program writes. It reads this version and earlier
// ones, and refuses later ones.
const FormatVersion = 1

// Operation is one change to one instance in the agreed log. The comment of each kind says which fields that kind uses.
type Operation struct {
	Version  int           `json:"v"` // version of the format, from 1 to FormatVersion
	Kind     OperationKind `json:"kind"`
	Instance string        `json:"name"`
	Epoch    uint64        `json:"epoch,omitempty"`  // epoch of the assignment that the proposer saw
	Revision uint64        `json:"change,omitempty"` // revision that the proposer saw, 0 for any; the operation is refused at any other revision
	Node     string        `json:"by,omitempty"`     // the node that the operation comes from or is about, usually the primary
	Target   string        `json:"to,omitempty"`     // the node that the instance is copied, moved or assigned to, or a replica
	CutOver  bool          `json:"switch,omitempty"` // the target of OpStartCopy is to become the primary
	Index    uint64        `json:"seq,omitempty"`    // index of the last entry
	Zone     string        `json:"zone,omitempty"`
	Weight   float64       `json:"weight,omitempty"`
	Size     int           `json:"size,omitempty"` // size of the instance's state in bytes, 0 if not reported
	Reason   string        `json:"reason,omitempty"`
}

// Errors with which an operation is refused. A refused operation changes nothing. The error texts are sent over the wire, and
// package controllerclient recognizes the errors by these texts.
var (
	ErrNotFound           = errors.New("no instance of this name")
	ErrExists             = errors.New("an instance of this name is there already")
	ErrStaleEpoch         = errors.New("of an older epoch: never ran")
	ErrNotPrimary         = errors.New("not its owner")
	ErrNotReplica         = errors.New("does not have every acked effect")
	ErrWrongState         = errors.New("not in this state")
	ErrUnsupportedVersion = errors.New("of a later version")
	ErrInvalid            = errors.New("makes no sense")
)
