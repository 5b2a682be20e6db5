package placement

// State is how an instance stands.
type State string

// The states of an instance.
const (
	Running     State = "runs"        // its primary may act while its lease holds
	Lost        State = "lost"        // neither primary nor any replica lives; it waits for one, or for a restart
	Quarantined State = "quarantined" // it failed too many primaries; an operator releases it
	Deleted     State = "gone"        // told once, never kept
)

// Assignment is where an instance runs, as the controllers agreed it. Of two assignments of one instance that of the greater
// Epoch, or of the same one and the greater Revision, is newer.
type Assignment struct {
	Instance string `json:"name"`
	State    State  `json:"state"`
	Primary  string `json:"owner,omitempty"` // a node; "" unless the state is Running
	Epoch    uint64 `json:"epoch"`           // counts primaries, and is their fencing token: what an older one does is refused
	Revision uint64 `json:"change"`          // counts agreed changes of this instance

	Replicas   []string `json:"holders,omitempty"` // nodes beside the primary that have every acknowledged entry, sorted
	CopyTarget string   `json:"to,omitempty"`      // the node that it is being copied to, to become a replica
	CutOver    bool     `json:"switch,omitempty"`  // and then to be the primary: a migration is under way

	EverServed bool    `json:"begun,omitempty"`  // a primary has acted for it: there may be acknowledged entries
	Index      uint64  `json:"seq"`              // of the last entry that the primary had at the last change that told one
	Reason     string  `json:"reason,omitempty"` // of the last change
	Zone       string  `json:"zone,omitempty"`   // where its device is
	Weight     float64 `json:"weight,omitempty"` // priority, 1 to 100
	Size       int     `json:"size,omitempty"`   // bytes of its state, as last told
	Failures   int     `json:"falls,omitempty"`  // primaries that failed one after the other while they ran it

	MissingEntries   uint64      `json:"missing,omitempty"` // that a restart from an older copy is known to lack, at least
	StaleCopies      []StaleCopy `json:"kept,omitempty"`    // the last few
	UnverifiedReason string      `json:"doubts,omitempty"`  // why it may lack more than that, as its primary told last
	Extension        []byte      `json:"more,omitempty"`    // what a later version added; kept as it is
}

// NewerThan reports whether an assignment is newer than another one of the same instance.
func (a Assignment) NewerThan(other Assignment) bool {
	return a.Epoch > other.Epoch || a.Epoch == other.Epoch && a.Revision > other.Revision
}

// StaleCopy is a copy of an instance that is no longer brought up to date: its first Index entries at least.
type StaleCopy struct {
	Node  string `json:"unit"`
	Index uint64 `json:"seq,omitempty"`
}
