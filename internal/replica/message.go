package replica

import (
	"fmt"

	"silvercove/internal/placement"
)

const (
	maxRequestID           = 256       // largest size of a request ID, in bytes
	maxNameLength          = 256       // largest size of the name of a node or instance in a message, in bytes
	maxReasonLength        = 1024      // largest size of the reason of a message, in bytes
	maxBatchBytes          = 256 << 10 // no entry is added to a message whose entries have this size in bytes or more
	maxPendingAcks         = 4         // largest number of a primary's messages that wait for this node's disk; if there are more, the oldest stays unanswered
	maxAcksWithoutProgress = 4         // after more than this number of consecutive answers without progress, messages to the answering node are delayed
	maxPendingRequests     = 256       // largest number of an instance's requests that wait for the disk and the replicas
)

// Kinds of messages, as they stand on the wire.
const (
	MessageCatchUp     = "copy"   // entries for a copy target
	MessageAppend      = "effect" // entries for a replica; without entries, the message asks for the replica's last entry
	MessageFinalAppend = "stop"   // entries as in MessageAppend, from a primary that has stopped for a cut-over
	MessageAck         = "held"   // an answer: the state of the sender's log, all of which is durable
	MessageStaleEpoch  = "old"    // an answer: the answered message has an epoch before Epoch, or its sender is not the primary of Epoch
	MessageRejected    = "unfit"  // an answer: the answered message was refused; Message.Reason says why
)

// Message is a message between edge nodes. It may be lost, duplicated or overtaken by another one.
type Message struct {
	Version             int    `json:"v"`
	Kind                string `json:"kind"`
	Instance            string `json:"name"`
	Epoch               uint64 `json:"epoch"`
	SenderIncarnation   uint64 `json:"own"`
	ReceiverIncarnation uint64 `json:"run,omitempty"` // the receiver's incarnation as last reported; a process with another incarnation answers the message but stores no entries

	PrevIndex    uint64     `json:"prev,omitempty"`     // index of the last entry before Entries
	PrevChecksum uint64     `json:"prev_sum,omitempty"` // checksum of all entries up to PrevIndex
	Entries      []LogEntry `json:"effects,omitempty"`
	LastIndex    uint64     `json:"tip,omitempty"` // last index that is durable at the primary

	// Unverified says that the sender's copy may come from a disk that was restored from an older image, and that no
	// node has shown the copy to be complete. The receiver cannot conclude from such a message that its own copy is
	// complete. An answer is also marked as unverified in two other cases: the sender does not know yet whether its
	// disk was restored, or the sender's copy lacks entries that the controllers require.
	Unverified bool `json:"doubt,omitempty"`

	// Truncate asks the receiver to remove its entries after PrevIndex. With Reset, the receiver is asked to remove all
	// its entries. It removes them only if its last entry has the index ReplacedIndex and the checksum
	// ReplacedChecksum. Otherwise its log has changed, and stays as it is. A late message thus cannot remove entries
	// that were confirmed after the message was sent.
	Truncate         bool   `json:"replace,omitempty"`
	Reset            bool   `json:"begin,omitempty"`
	ReplacedIndex    uint64 `json:"was,omitempty"`
	ReplacedChecksum uint64 `json:"was_sum,omitempty"`

	// In an answer, Index and Checksum are the last index and the checksum of the sender's log. If the logs of sender
	// and receiver may differ, the answer also has all checksums that the sender knows: the checksum at the index
	// ChecksumsFrom, and the checksum of each entry after ChecksumsFrom.
	Index         uint64   `json:"seq,omitempty"`
	Checksum      uint64   `json:"sum,omitempty"`
	ChecksumsFrom uint64   `json:"base,omitempty"`
	Checksums     []uint64 `json:"sums,omitempty"`
	Reason        string   `json:"why,omitempty"`

	// ReplyTo identifies the message at the receiver. The receiver's host sets it, and the Manager copies it into the
	// answer. It is not part of the JSON encoding.
	ReplyTo uint64 `json:"-"`
}

// Validate checks what can be checked of a message without the state of its instance. The error wraps
// placement.ErrUnsupportedVersion or placement.ErrInvalid.
func (m *Message) Validate() error {
	switch {
	case m.Version > placement.FormatVersion:
		return fmt.Errorf("%w: message %d, this program reads %d", placement.ErrUnsupportedVersion, m.Version, placement.FormatVersion)
	case m.Version < 1 || m.Instance == "" || len(m.Instance) > maxNameLength || len(m.Reason) > maxReasonLength:
		return fmt.Errorf("%w: message without version or name, or with a name or reason that is too long", placement.ErrInvalid)
	case !m.isAnswer() && !m.isAppend():
		return fmt.Errorf("%w: message %.40q", placement.ErrInvalid, m.Kind)
	case len(m.Checksums) > LogCapacity+1 || len(m.Entries) > LogCapacity:
		return fmt.Errorf("%w: message with too many entries or checksums", placement.ErrInvalid)
	}
	for i, e := range m.Entries {
		if e.Index != m.PrevIndex+1+uint64(i) || e.Epoch > m.Epoch || len(e.RequestID) > maxRequestID || len(e.Node) > maxNameLength {
			return fmt.Errorf("%w: entry %d is invalid in a message that continues from entry %d at epoch %d", placement.ErrInvalid, e.Index, m.PrevIndex,
				m.Epoch)
		}
	}
	return nil
}

// isAppend reports whether a message is of a kind that a primary sends to a replica or to the copy target.
func (m *Message) isAppend() bool {
	switch m.Kind {
	case MessageCatchUp, MessageAppend, MessageFinalAppend:
		return true
	}
	return false
}

// isAnswer reports whether a message is of a kind that answers a message of a primary.
func (m *Message) isAnswer() bool {
	switch m.Kind {
	case MessageAck, MessageStaleEpoch, MessageRejected:
		return true
	}
	return false
}

// endIndex returns the index of the last of a message's Entries, or PrevIndex if Entries is empty.
func (m *Message) endIndex() uint64 { return m.PrevIndex + uint64(len(m.Entries)) }

// endChecksum returns the checksum of all entries up to endIndex.
func (m *Message) endChecksum() uint64 {
	if n := len(m.Entries); n > 0 {
		return m.Entries[n-1].Checksum
	}
	return m.PrevChecksum
}
