package membership

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"silvercove/internal/tick"
)

// RecordVersion is the version of the records that this program writes. Fields that a later version adds are passed on
// unchanged.
const RecordVersion = 1

// Limits of a record.
const (
	MaxKinds       = 8    // maximum number of payloads in a record
	MaxPayloadSize = 512  // maximum size of one payload, in bytes
	MaxRecordSize  = 8192 // maximum size of an encoded record, in bytes
	maxKindSize    = 64   // maximum length of the name of a payload's kind, in bytes
)

// Record is a member's description of itself. Of two records, the one with the larger Incarnation is newer; within an
// incarnation, the one with the larger Sequence is newer.
type Record struct {
	Version      int               `json:"v"`
	Name         string            `json:"name"`
	Role         string            `json:"role"`
	Zone         string            `json:"zone"`
	Incarnation  uint64            `json:"run"`             // incarnation of the member's process; larger at each start
	Sequence     uint64            `json:"number"`          // sequence of this record within the incarnation
	StartedEmpty bool              `json:"fresh,omitempty"` // whether the incarnation began without the data of an earlier one
	Left         bool              `json:"left,omitempty"`  // whether the member left on purpose
	Payloads     map[string][]byte `json:"news,omitempty"`  // keyed by kind
}

// Errors that say why a record is refused.
var (
	ErrUnknownMember  = errors.New("no configured member has this name")
	ErrOldIncarnation = errors.New("old incarnation: a later start of the member is known")
	ErrStale          = errors.New("not newer than the known record")
	ErrMalformed      = errors.New("malformed record")
)

// DecodeRecord decodes a received record. The only error that it returns is ErrMalformed.
func DecodeRecord(raw []byte) (Record, error) {
	var r Record
	if len(raw) > MaxRecordSize || json.Unmarshal(raw, &r) != nil {
		return Record{}, ErrMalformed
	}
	return r, nil
}

// Merge applies a received record, no matter which member sent it. A nil error means that the record is new and should
// be passed on; otherwise the error is ErrMalformed, ErrUnknownMember, ErrOldIncarnation or ErrStale.
//
// A record with a smaller incarnation than the member's known one is refused. It comes from a process whose disk or
// machine was restored from an older image, or in a delayed message from before a restart. If a process has no disk, its
// clock alone gives the incarnation. If that clock is set back, the process restarts with a smaller incarnation. Its
// records are then refused until a later start gives it an incarnation larger than the known one. A process with a disk
// is not affected, because its new incarnation is always larger than its stored one (see NextIncarnation).
func (t *Table) Merge(now tick.Tick, raw []byte) error {
	r, err := DecodeRecord(raw)
	if err != nil {
		return err
	}
	return t.MergeDecoded(now, r, bytes.Clone(raw))
}

// MergeDecoded applies a decoded record in the same way as Merge. raw is the encoded form of r. The table keeps r and
// raw, so the caller must not modify them.
func (t *Table) MergeDecoded(now tick.Tick, r Record, raw []byte) error {
	e := t.entries[r.Name]
	switch {
	case e == nil:
		return ErrUnknownMember
	case r.Incarnation == 0 || r.Version < 1 || len(r.Payloads) > MaxKinds:
		return ErrMalformed
	case r.Name == t.self.Name:
		t.mergeOwn(r)
		return ErrStale
	case r.Incarnation < e.Incarnation:
		return ErrOldIncarnation
	case !e.isOlderThan(r, raw):
		return ErrStale
	}
	if r.Incarnation > e.Incarnation { // the member has restarted: its earlier missed probes and round trips no longer apply
		e.missedProbes, e.roundTrips, e.markedDown = 0, nil, false
	}
	e.Role, e.Zone = r.Role, r.Zone
	e.Incarnation, e.StartedEmpty = r.Incarnation, r.StartedEmpty
	e.Payloads, e.left = r.Payloads, r.Left
	e.sequence, e.raw = r.Sequence, raw
	e.recordAt, e.LastHeard = now, max(e.LastHeard, now)
	t.updateState(now, e)
	return nil
}

// isOlderThan reports whether the known record is older than r, a record of the same or a later incarnation. If both
// have the same incarnation and sequence, the one whose bytes compare greater counts as newer, so that all members
// agree.
func (e *entry) isOlderThan(r Record, raw []byte) bool {
	switch {
	case r.Incarnation != e.Incarnation:
		return true
	case r.Sequence != e.sequence:
		return r.Sequence > e.sequence
	}
	return bytes.Compare(raw, e.raw) > 0
}

// mergeOwn applies a record that has this process's name and was passed on by another member.
func (t *Table) mergeOwn(r Record) {
	switch {
	case r.Incarnation > t.self.Incarnation:
		t.superseded = true
	case r.Incarnation == t.self.Incarnation && r.Sequence > t.self.Sequence:
		// Either two processes have this incarnation, or this process sent the record r and no longer knows it. Other
		// members refuse this process's next record as stale unless its sequence is larger than that of r.
		t.self.Sequence = r.Sequence + 1
	}
}

// OwnRecord returns this process's record in encoded form, to be sent to other members.
func (t *Table) OwnRecord() []byte {
	text, _ := json.Marshal(t.self) // never fails: JSON can encode all fields
	return text
}

// Records returns all known records in encoded form, this process's record first.
func (t *Table) Records() [][]byte {
	all := [][]byte{t.OwnRecord()}
	for _, e := range t.byName {
		if e.raw != nil {
			all = append(all, e.raw)
		}
	}
	return all
}

// Publish sets this process's payload of a kind. The payload is sent with this process's next record (Heartbeat).
// Publish returns an error if the payload has more than MaxPayloadSize bytes, if the kind is empty or longer than
// maxKindSize bytes, or if a new kind would be one more than MaxKinds. After an error the published payloads stay as
// they are.
func (t *Table) Publish(kind string, data []byte) error {
	old, known := t.self.Payloads[kind]
	if unsent, ok := t.unsent[kind]; ok {
		old, known = unsent, true
	}
	if known && bytes.Equal(old, data) {
		return nil
	}
	tooMany := !known && len(t.ownPayloads()) >= MaxKinds
	if tooMany || len(data) > MaxPayloadSize || kind == "" || len(kind) > maxKindSize {
		return fmt.Errorf("payload of kind %q with %d bytes: at most %d kinds of at most %d bytes are allowed", kind, len(data), MaxKinds, MaxPayloadSize)
	}
	t.unsent[kind] = bytes.Clone(data)
	return nil
}
