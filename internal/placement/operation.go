package placement

import "errors"

// OperationKind says what an operation does.
type OperationKind string

// The kinds of operations. Each names the epoch that its maker saw; an assignment that has moved on refuses it with
// ErrStaleEpoch.
const (
	OpCreate           OperationKind = "create"     // the Instance at Target, in Zone, of Weight: epoch 1
	OpStartCopy        OperationKind = "copy"       // begin to copy to Target; with CutOver to make it the primary
	OpReplicaReady     OperationKind = "synced"     // its primary Node says that Target has every acknowledged entry
	OpDropReplica      OperationKind = "drop"       // its primary Node can't reach the replica Target, and acknowledges without it from now on; Node "": the controllers
	OpCutOver          OperationKind = "switch"     // its primary Node has stopped at Index, and the replica Target has all: it is the primary of the next epoch
	OpCancelCopy       OperationKind = "back"       // the copy to Target is given up
	OpFailOver         OperationKind = "fail"       // the lease of the primary Node is over for sure: the replica Target, or nobody, takes over
	OpRestart          OperationKind = "restart"    // a lost instance goes on at Target from the copy that it has, at Index
	OpMoveDevice       OperationKind = "cross"      // its device is in Zone now
	OpResetFailures    OperationKind = "steady"     // its primary has run it for long: failures count anew
	OpMarkServed       OperationKind = "begin"      // its primary Node is about to act for it for the first time
	OpReportIncomplete OperationKind = "lacks"      // Node hasn't what it is counted on for: it is no replica any more, nor the primary, which is the replica Target or nobody
	OpQuarantine       OperationKind = "quarantine" // it is not run any more; its primary Node has stopped, or its lease is over for sure
	OpRelease          OperationKind = "release"    // and again: at Target
	OpDelete           OperationKind = "forget"     // it is not there any more; its primary Node, if any, has stopped
)

// FormatVersion is that of operations and snapshots as this program writes them. It reads those up to it and refuses later
// ones.
const FormatVersion = 1

// Operation is one step of the agreed log.
type Operation struct {
	Version  int           `json:"v"` // of the format, from 1
	Kind     OperationKind `json:"kind"`
	Instance string        `json:"name"`
	Epoch    uint64        `json:"epoch,omitempty"`
	Revision uint64        `json:"change,omitempty"` // that its maker saw, 0 for any: another one refuses it, however late it comes
	Node     string        `json:"by,omitempty"`
	Target   string        `json:"to,omitempty"` // a node
	CutOver  bool          `json:"switch,omitempty"`
	Index    uint64        `json:"seq,omitempty"`
	Zone     string        `json:"zone,omitempty"`
	Weight   float64       `json:"weight,omitempty"`
	Size     int           `json:"size,omitempty"` // bytes
	Reason   string        `json:"reason,omitempty"`
}

// Why an operation is refused. Nothing has changed then. The texts are told to callers over the wire, which know them again
// by it.
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
