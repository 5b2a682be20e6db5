package replica

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// LogCapacity is how many log entries are kept with their request ids: a request that is repeated is answered from
	// them as at first.
	LogCapacity = 1024

	// entryOverhead is the bytes that a log entry counts beside its body and words.
	entryOverhead = 64
)

// LogEntry is what one write request did to an instance. Checksum is that of all entries up to it, so that two nodes
// with the same Index and Checksum have the same entries.
type LogEntry struct {
	Index     uint64 `json:"seq"`
	Epoch     uint64 `json:"epoch"`
	Node      string `json:"unit"` // that executed the request
	RequestID string `json:"id"`
	Body      []byte `json:"body,omitempty"`
	Checksum  uint64 `json:"sum"`
}

// Size is the bytes that an entry counts in the setting fleet.state.
func (e LogEntry) Size() int { return entryOverhead + len(e.Node) + len(e.RequestID) + len(e.Body) }

// ChainChecksum is the checksum of all entries up to e, after the checksum of those before it.
func (e LogEntry) ChainChecksum(before uint64) uint64 {
	var b [32]byte
	binary.LittleEndian.PutUint64(b[:], before)
	binary.LittleEndian.PutUint64(b[8:], e.Index)
	binary.LittleEndian.PutUint64(b[16:], e.Epoch)
	binary.LittleEndian.PutUint32(b[24:], uint32(len(e.Node)))
	binary.LittleEndian.PutUint32(b[28:], uint32(len(e.RequestID)))
	d := xxhash.New() // whose writes do not fail
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(e.Node)
	_, _ = d.WriteString(e.RequestID)
	_, _ = d.Write(e.Body)
	return d.Sum64()
}

// Log is an instance as a node has it: its last entries, at most LogCapacity, and what came before them as a checksum.
// The zero value is an empty log.
type Log struct {
	Instance     string     `json:"name"`
	BaseIndex    uint64     `json:"base"` // index of the last entry before Entries
	BaseChecksum uint64     `json:"base_sum"`
	Entries      []LogEntry `json:"effects,omitempty"`
}

// LastIndex is the index of the last entry, which is the number of all entries ever appended.
func (l *Log) LastIndex() uint64 { return l.BaseIndex + uint64(len(l.Entries)) }

// Checksum is that of all entries.
func (l *Log) Checksum() uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Checksum
	}
	return l.BaseChecksum
}

// LastEpoch is the epoch of the last entry, 0 where that is not kept.
func (l *Log) LastEpoch() uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Epoch
	}
	return 0
}

// ChecksumAt is the checksum of the entries up to an index, where it is still known.
func (l *Log) ChecksumAt(index uint64) (checksum uint64, known bool) {
	switch {
	case index == l.BaseIndex:
		return l.BaseChecksum, true
	case index < l.BaseIndex || index > l.LastIndex():
		return 0, false
	}
	return l.entryAt(index).Checksum, true
}

// matches tells whether the entries up to an index are known to have a checksum.
func (l *Log) matches(index, checksum uint64) bool {
	own, known := l.ChecksumAt(index)
	return known && own == checksum
}

// entryAt is the entry at an index, which has to be kept.
func (l *Log) entryAt(index uint64) LogEntry { return l.Entries[index-l.BaseIndex-1] }

// IsNext tells whether an entry is the next one.
func (l *Log) IsNext(e LogEntry) bool {
	return e.Index == l.LastIndex()+1 && e.Checksum == e.ChainChecksum(l.Checksum())
}

// Append takes the next entry in, and drops the first where there are more than LogCapacity.
func (l *Log) Append(e LogEntry) {
	l.Entries = append(l.Entries, e)
	if len(l.Entries) > LogCapacity {
		l.BaseIndex++
		l.BaseChecksum = l.Entries[0].Checksum
		l.Entries = l.Entries[1:] // the array's head is released when append grows it
	}
}

// Truncate leaves the entries up to an index, which have to be known.
func (l *Log) Truncate(index uint64) { l.Entries = slices.Clip(l.Entries[:index-l.BaseIndex]) }

// Size is the bytes that count in the setting fleet.state.
func (l *Log) Size() int {
	bytes := 0
	for _, e := range l.Entries {
		bytes += e.Size()
	}
	return bytes
}

// checksums are those of the base and of each kept entry, in order.
func (l *Log) checksums() []uint64 {
	all := []uint64{l.BaseChecksum}
	for _, e := range l.Entries {
		all = append(all, e.Checksum)
	}
	return all
}
