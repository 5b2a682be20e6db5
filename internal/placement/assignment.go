package placement

// State says whether an instance runs and, if not, why.
type State string

// The states of an instance.
const (
	Running     State = "runs"        // the primary may act while its lease is active
	Lost        State = "lost"        // the primary and all replicas failed; the instance waits for one of them to return, or for a restart from an older copy
	Quarantined State = "quarantined" // too many primaries failed while they ran the instance; an operator must release it
	Deleted     State = "gone"        // the instance was deleted; Apply returns this state once and never stores it
)

// Assignment is the agreed placement of an instance: its primary, its replicas and the copy or migration under way. NewerThan
// orders the assignments of one instance by Epoch and then by Revision.
type Assignment struct {
	Instance string `json:"name"`
	State    State  `json:"state"`
	Primary  string `json:"owner,omitempty"` // a node; "" unless the state is Running
	Epoch    uint64 `json:"epoch"`           // increases with each new primary; a fencing token: operations of older epochs are refused
	Revision uint64 `json:"change"`          // increases with each agreed change of this instance

	Replicas   []string `json:"holders,omitempty"` // nodes other than the primary that have every acknowledged entry, sorted
	CopyTarget string   `json:"to,omitempty"`      // the node to which the instance is being copied, to become a replica
	CutOver    bool     `json:"switch,omitempty"`  // CopyTarget is to become the primary after the copy: a migration is under way

	EverServed bool    `json:"begun,omitempty"`  // a primary has served the instance, so acknowledged entries may exist
	Index      uint64  `json:"seq"`              // index of the primary's last entry, as of the last operation that reported an index
	Reason     string  `json:"reason,omitempty"` // reason for the last change
	Zone       string  `json:"zone,omitempty"`   // zone of the instance's device
	Weight     float64 `json:"weight,omitempty"` // priority weight, 1 to 100
	Size       int     `json:"size,omitempty"`   // size of the instance's state in bytes, as last reported
	Failures   int     `json:"falls,omitempty"`  // consecutive primaries that failed while they ran the instance

	MissingEntries   uint64      `json:"missing,omitempty"` // lower bound of the number of entries lost in restarts from older copies
	StaleCopies      []StaleCopy `json:"kept,omitempty"`    // the latest stale copies, at most maxStaleCopies
	UnverifiedReason string      `json:"doubts,omitempty"`  // why more entries than MissingEntries may be missing, as last reported by the primary; "" for no reason
	Extension        []byte      `json:"more,omitempty"`    // data of a later version of the program, preserved unchanged
}

// NewerThan reports whether an assignment is newer than another one of the same instance: its Epoch is greater, or its
// Epoch is the same and its Revision is greater.
func (a Assignment) NewerThan(other Assignment) bool {
	return a.Epoch > other.Epoch || a.Epoch == other.Epoch && a.Revision > other.Revision
}

// StaleCopy describes a node's copy of an instance. The copy is no longer updated.
type StaleCopy struct {
	Node  string `json:"unit"`
	Index uint64 `json:"seq,omitempty"` // the copy has at least the entries up to this index
}
