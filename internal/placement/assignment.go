package placement

import "errors"

// State is how an instance stands.
type State string

// The states of an instance.
const (
	Running     State = "runs"        // its owner may act while its lease holds
	Lost        State = "lost"        // neither owner nor any holder lives; waits for one, or for a restart
	Quarantined State = "quarantined" // it felled too many owners; an operator releases it
	Deleted     State = "gone"        // forgotten: told once, never kept
)

// Assignment is where an instance runs, as the keepers agreed it. A Place of a higher Epoch, or the same and a higher
// Change, is newer.
type Assignment struct {
	Instance         string      `json:"name"`
	State            State       `json:"state"`
	Primary          string      `json:"owner,omitempty"`
	Epoch            uint64      `json:"epoch"`             // counts owners; what an older one does is refused
	Revision         uint64      `json:"change"`            // counts agreed changes of this instance
	Replicas         []string    `json:"holders,omitempty"` // beside the owner; they have every acked effect
	CopyTarget       string      `json:"to,omitempty"`      // is being copied to, to become a holder
	CutOver          bool        `json:"switch,omitempty"`  // and then to be the owner: a handover is under way
	EverServed       bool        `json:"begun,omitempty"`   // an owner has acted for it: there may be acked effects
	Index            uint64      `json:"seq"`               // effects that the owner proved at the last switch
	Reason           string      `json:"reason,omitempty"`  // of the last change, in plain words
	Zone             string      `json:"zone,omitempty"`    // where its device is
	Weight           float64     `json:"weight,omitempty"`  // importance, 1 to 100
	Size             int         `json:"size,omitempty"`    // bytes of its state, as last told
	Failures         int         `json:"falls,omitempty"`   // owners that fell one after the other while they ran it
	MissingEntries   uint64      `json:"missing,omitempty"` // effects that a restart from an older copy is known to lack, at least
	StaleCopies      []StaleCopy `json:"kept,omitempty"`    // units that have an older copy, the last few
	UnverifiedReason string      `json:"doubts,omitempty"`  // why it may lack more than that, as its owner told last; "" for no doubt
	Extension        []byte      `json:"more,omitempty"`    // what a later version added; kept as it is
}

// StaleCopy is a copy of an instance that is no longer brought up: its first Seq effects at least.
type StaleCopy struct {
	Node  string `json:"unit"`
	Index uint64 `json:"seq,omitempty"`
}

// OperationKind says what an entry of the agreed log does.
type OperationKind string

// The kinds of entries. Each names the epoch that its maker saw; a Place that has moved on refuses it with ErrOld.
const (
	OpCreate           OperationKind = "create"     // Name at To, in Zone, of Weight: epoch 1
	OpStartCopy        OperationKind = "copy"       // begin to copy to To; with Switch to make it the owner
	OpReplicaReady     OperationKind = "synced"     // its owner By says that To has every acked effect: To is a holder
	OpDropReplica      OperationKind = "drop"       // its owner By can't reach holder To, and acks without it from now on; By "": the keepers
	OpCutOver          OperationKind = "switch"     // its owner By has stopped at Seq, and holder To has all: To owns the next epoch
	OpCancelCopy       OperationKind = "back"       // the copy to To is given up
	OpFailOver         OperationKind = "fail"       // the lease of owner By is over for sure: holder To, or nobody, takes over
	OpRestart          OperationKind = "restart"    // a lost instance goes on at To from the state that it kept, at Seq
	OpMoveDevice       OperationKind = "cross"      // its device is in Zone now
	OpResetFailures    OperationKind = "steady"     // its owner has run it for long: falls count anew
	OpMarkServed       OperationKind = "begin"      // its owner By is about to act for it for the first time: there may be acked effects
	OpReportIncomplete OperationKind = "lacks"      // unit By hasn't what it is counted on for: holds no more, and owns no more: holder To, or nobody, does
	OpQuarantine       OperationKind = "quarantine" // it is not run any more; owner By has stopped, or its lease is over for sure
	OpRelease          OperationKind = "release"    // and again: at To
	OpDelete           OperationKind = "forget"     // it is not there any more; owner By, if any, has stopped
)

// FormatVersion is that of entries and snapshots as this program writes them. It reads those up to it and refuses later ones.
const FormatVersion = 1

// Operation is one entry of the agreed log.
type Operation struct {
	Version  int           `json:"v"`
	Kind     OperationKind `json:"kind"`
	Instance string        `json:"name"`
	Epoch    uint64        `json:"epoch,omitempty"`
	Revision uint64        `json:"change,omitempty"` // that its maker saw, 0 for any: another one refuses, however late it comes
	Node     string        `json:"by,omitempty"`
	Target   string        `json:"to,omitempty"`
	CutOver  bool          `json:"switch,omitempty"`
	Index    uint64        `json:"seq,omitempty"`
	Zone     string        `json:"zone,omitempty"`
	Weight   float64       `json:"weight,omitempty"`
	Size     int           `json:"size,omitempty"`
	Reason   string        `json:"reason,omitempty"`
}

// Why an entry is refused. Nothing has changed then.
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
