package membership

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"silvercove/internal/tick"
)

// RecordVersion is that of records as this program writes them. What a later one adds is passed on as it is.
const RecordVersion = 1

// Limits of what is kept.
const (
	MaxKinds       = 8    // payloads of one member
	MaxPayloadSize = 512  // bytes of one payload
	MaxRecordSize  = 8192 // bytes of a record as it is passed on
	maxKindSize    = 64   // bytes of a payload's kind
)

// Record is what a member says of itself. The one of the largest Incarnation, and of that the largest Sequence, is the
// newest.
type Record struct {
	Version      int               `json:"v"`
	Name         string            `json:"name"`
	Role         string            `json:"role"`
	Zone         string            `json:"zone"`
	Incarnation  uint64            `json:"run"`             // of its process; a later start has a larger one
	Sequence     uint64            `json:"number"`          // of this record within the incarnation
	StartedEmpty bool              `json:"fresh,omitempty"` // the incarnation began without what an earlier one kept
	Left         bool              `json:"left,omitempty"`  // it ended on purpose
	Payloads     map[string][]byte `json:"news,omitempty"`  // by kind
}

// Why a record is refused.
var (
	ErrUnknownMember  = errors.New("no member of this name")
	ErrOldIncarnation = errors.New("an old copy: a later start of it is known")
	ErrStale          = errors.New("not newer than what is known")
	ErrMalformed      = errors.New("makes no sense")
)

// DecodeRecord reads a record that came. Its error is ErrMalformed.
func DecodeRecord(raw []byte) (Record, error) {
	var r Record
	if len(raw) > MaxRecordSize || json.Unmarshal(raw, &r) != nil {
		return Record{}, ErrMalformed
	}
	return r, nil
}

// Merge merges a record that was received by any way. Its error is nil where the record is worth passing on; else its
// error is ErrMalformed, ErrUnknownMember, ErrOldIncarnation or ErrStale.
//
// A smaller incarnation is refused: a process's disk or machine that was restored from an older image, or a slow message of before a restart.
// Where the clock that the incarnation was drawn from was set back, a true restart looks like that too, and stays refused
// until its incarnation is drawn above; it counts on where the process has a disk.
func (t *Table) Merge(now tick.Tick, raw []byte) error {
	r, err := DecodeRecord(raw)
	if err != nil {
		return err
	}
	return t.MergeDecoded(now, r, bytes.Clone(raw))
}

// MergeDecoded is Merge of a record that was read from raw; both are kept, and are not to be written into.
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
	if r.Incarnation > e.Incarnation { // it was started again: what was measured of the one before says nothing
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

// isOlderThan reports whether a record, of the known incarnation or a later one, is newer than the one that is known. Of
// two with the same sequence the one with the larger bytes stands, so that all members agree.
func (e *entry) isOlderThan(r Record, raw []byte) bool {
	switch {
	case r.Incarnation != e.Incarnation:
		return true
	case r.Sequence != e.sequence:
		return r.Sequence > e.sequence
	}
	return bytes.Compare(raw, e.raw) > 0
}

// mergeOwn merges a record of this process's own name, which others passed on.
func (t *Table) mergeOwn(r Record) {
	switch {
	case r.Incarnation > t.self.Incarnation:
		t.superseded = true
	case r.Incarnation == t.self.Incarnation && r.Sequence > t.self.Sequence:
		t.self.Sequence = r.Sequence + 1 // two processes of one incarnation, or a message of its own that it has forgotten
	}
}

// OwnRecord is this process's record, as it is to be passed on.
func (t *Table) OwnRecord() []byte {
	text, _ := json.Marshal(t.self) // plain values: no error
	return text
}

// Records are all records that are known, the own one first.
func (t *Table) Records() [][]byte {
	all := [][]byte{t.OwnRecord()}
	for _, e := range t.byName {
		if e.raw != nil {
			all = append(all, e.raw)
		}
	}
	return all
}

// Publish keeps an own payload of a kind, to be sent from the next Heartbeat on that may send it. What is too large is
// refused and changes nothing.
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
		return fmt.Errorf("news of kind %q, %d bytes: at most %d kinds of %d bytes", kind, len(data), MaxKinds, MaxPayloadSize)
	}
	t.unsent[kind] = bytes.Clone(data)
	return nil
}
