package replica

import (
	"fmt"

	"silvercove/internal/placement"
)

const (
	maxRequestID           = 256       // bytes of a request's id
	maxNameLength          = 256       // bytes of a node's or instance's name in a message
	maxReasonLength        = 1024      // bytes of a message's reason
	maxBatchBytes          = 256 << 10 // bytes of log entries after which a message takes no more
	maxPendingAcks         = 4         // messages of a primary that wait for this node's disk; the oldest go unanswered
	maxAcksWithoutProgress = 4         // acknowledgements in a row without progress, before a replica is sent to more slowly
	maxPendingRequests     = 256       // requests that wait for the disk and the replicas
)

// The kinds of messages, as they stand on the wire.
const (
	MessageCatchUp     = "copy"   // entries for a node that is to become a replica
	MessageAppend      = "effect" // entries for a replica; without any it asks what is there
	MessageFinalAppend = "stop"   // the same of a primary that has stopped for a cut-over
	MessageAck         = "held"   // an answer: what is there, and durable
	MessageStaleEpoch  = "old"    // an answer: Epoch is known here, and what was sent is of an earlier one
	MessageRejected    = "unfit"  // an answer: it is not taken, for Reason
)

// Message is one message between edge nodes. It may be lost, repeated and overtaken.
type Message struct {
	Version             int    `json:"v"`
	Kind                string `json:"kind"`
	Instance            string `json:"name"`
	Epoch               uint64 `json:"epoch"`
	SenderIncarnation   uint64 `json:"own"`
	ReceiverIncarnation uint64 `json:"run,omitempty"` // as last heard; another one only answers

	PrevIndex    uint64     `json:"prev,omitempty"`     // of the last entry before Entries
	PrevChecksum uint64     `json:"prev_sum,omitempty"` // of all entries up to PrevIndex
	Entries      []LogEntry `json:"effects,omitempty"`
	LastIndex    uint64     `json:"tip,omitempty"` // that is durable at the primary

	// Unverified tells that the sender's copy may be that of a disk that was restored from an older image, and no node
	// has shown it to be complete: it proves nothing of the receiver's. In an answer also where the sender does not know
	// that yet, or has no copy at all.
	Unverified bool `json:"doubt,omitempty"`

	// Truncate has what is there after PrevIndex (with Reset: all) give way if it ends with the entry ReplacedIndex of
	// ReplacedChecksum: what has changed meanwhile is not touched, so that a late message can't take away what was
	// confirmed after it.
	Truncate         bool   `json:"replace,omitempty"`
	Reset            bool   `json:"begin,omitempty"`
	ReplacedIndex    uint64 `json:"was,omitempty"`
	ReplacedChecksum uint64 `json:"was_sum,omitempty"`

	// Of an answer: the last index that is there and its checksum, and where the two logs may differ all checksums that
	// the sender knows, of ChecksumsFrom and the entries after it.
	Index         uint64   `json:"seq,omitempty"`
	Checksum      uint64   `json:"sum,omitempty"`
	ChecksumsFrom uint64   `json:"base,omitempty"`
	Checksums     []uint64 `json:"sums,omitempty"`
	Reason        string   `json:"why,omitempty"`

	// ReplyTo is the receiver's own mark of what is answered; an answer brings it back.
	ReplyTo uint64 `json:"-"`
}

// Validate tells what is wrong with a message, whatever instances there are. The errors are placement's.
func (m *Message) Validate() error {
	switch {
	case m.Version > placement.FormatVersion:
		return fmt.Errorf("%w: message %d, this program reads %d", placement.ErrUnsupportedVersion, m.Version, placement.FormatVersion)
	case m.Version < 1 || m.Instance == "" || len(m.Instance) > maxNameLength || len(m.Reason) > maxReasonLength:
		return fmt.Errorf("%w: a message without version or name, or with words too long", placement.ErrInvalid)
	case !m.isAnswer() && !m.isAppend():
		return fmt.Errorf("%w: message %.40q", placement.ErrInvalid, m.Kind)
	case len(m.Checksums) > LogCapacity+1 || len(m.Entries) > LogCapacity:
		return fmt.Errorf("%w: a message of too many effects", placement.ErrInvalid)
	}
	for i, e := range m.Entries {
		if e.Index != m.PrevIndex+1+uint64(i) || e.Epoch > m.Epoch || len(e.RequestID) > maxRequestID || len(e.Node) > maxNameLength {
			return fmt.Errorf("%w: effect %d of a message that goes on from %d at epoch %d", placement.ErrInvalid, e.Index, m.PrevIndex,
				m.Epoch)
		}
	}
	return nil
}

// isAppend tells whether a message is a primary's.
func (m *Message) isAppend() bool {
	switch m.Kind {
	case MessageCatchUp, MessageAppend, MessageFinalAppend:
		return true
	}
	return false
}

// isAnswer tells whether a message answers a primary's.
func (m *Message) isAnswer() bool {
	switch m.Kind {
	case MessageAck, MessageStaleEpoch, MessageRejected:
		return true
	}
	return false
}

// endIndex is the index of the last entry that a message shows.
func (m *Message) endIndex() uint64 { return m.PrevIndex + uint64(len(m.Entries)) }

// endChecksum is the checksum of all entries up to endIndex.
func (m *Message) endChecksum() uint64 {
	if n := len(m.Entries); n > 0 {
		return m.Entries[n-1].Checksum
	}
	return m.PrevChecksum
}
