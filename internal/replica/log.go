package replica

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// LogCapacity is the largest number of log entries that are kept with their request IDs. A repeated request gets
	// its first answer again as long as its entry is kept.
	LogCapacity = 1024

	// entryOverhead is the number of bytes that LogEntry.Size adds to the lengths of the body, node and request ID.
	entryOverhead = 64
)

// LogEntry is the effect of one write request on an instance. Checksum covers all entries up to this one, so two nodes
// with the same Index and Checksum have the same entries.
type LogEntry struct {
	Index     uint64 `json:"seq"`
	Epoch     uint64 `json:"epoch"`
	Node      string `json:"unit"` // the node that executed the request
	RequestID string `json:"id"`
	Body      []byte `json:"body,omitempty"`
	Checksum  uint64 `json:"sum"`
}

// Size returns the number of bytes that an entry counts toward the limit fleet.state.
func (e LogEntry) Size() int { return entryOverhead + len(e.Node) + len(e.RequestID) + len(e.Body) }

// ChainChecksum returns the checksum of all entries up to e. The parameter before is the checksum of the entries before
// e.
func (e LogEntry) ChainChecksum(before uint64) uint64 {
	var b [32]byte
	binary.LittleEndian.PutUint64(b[:], before)
	binary.LittleEndian.PutUint64(b[8:], e.Index)
	binary.LittleEndian.PutUint64(b[16:], e.Epoch)
	binary.LittleEndian.PutUint32(b[24:], uint32(len(e.Node)))
	binary.LittleEndian.PutUint32(b[28:], uint32(len(e.RequestID)))
	d := xxhash.New() // writes to an xxhash.Digest never fail
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(e.Node)
	_, _ = d.WriteString(e.RequestID)
	_, _ = d.Write(e.Body)
	return d.Sum64()
}

// Log is the log of an instance on a node: the last entries, at most LogCapacity, and the checksum of all earlier
// entries. The zero value is an empty log.
type Log struct {
	Instance     string     `json:"name"`
	BaseIndex    uint64     `json:"base"` // index of the last entry before Entries
	BaseChecksum uint64     `json:"base_sum"`
	Entries      []LogEntry `json:"effects,omitempty"`
}

// LastIndex returns the index of the last entry, which is the number of all entries ever appended.
func (l *Log) LastIndex() uint64 { return l.BaseIndex + uint64(len(l.Entries)) }

// Checksum returns the checksum of all entries.
func (l *Log) Checksum() uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Checksum
	}
	return l.BaseChecksum
}

// LastEpoch returns the epoch of the last entry, or 0 if that entry is not kept.
func (l *Log) LastEpoch() uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Epoch
	}
	return 0
}

// ChecksumAt returns the checksum of the entries up to index, if it is still known.
func (l *Log) ChecksumAt(index uint64) (checksum uint64, known bool) {
	switch {
	case index == l.BaseIndex:
		return l.BaseChecksum, true
	case index < l.BaseIndex || index > l.LastIndex():
		return 0, false
	}
	return l.entryAt(index).Checksum, true
}

// matches reports whether the entries up to index are known to have the checksum.
func (l *Log) matches(index, checksum uint64) bool {
	own, known := l.ChecksumAt(index)
	return known && own == checksum
}

// entryAt returns the entry at index, which must be kept.
func (l *Log) entryAt(index uint64) LogEntry { return l.Entries[index-l.BaseIndex-1] }

// IsNext reports whether e is the next entry of the log.
func (l *Log) IsNext(e LogEntry) bool {
	return e.Index == l.LastIndex()+1 && e.Checksum == e.ChainChecksum(l.Checksum())
}

// Append adds the next entry, and drops the first one if there are more than LogCapacity.
func (l *Log) Append(e LogEntry) {
	l.Entries = append(l.Entries, e)
	if len(l.Entries) > LogCapacity {
		l.BaseIndex++
		l.BaseChecksum = l.Entries[0].Checksum
		l.Entries = l.Entries[1:] // the memory of the dropped entry is released when a later append moves the rest to a new array
	}
}

// Truncate removes the entries after index, which must be between BaseIndex and LastIndex.
func (l *Log) Truncate(index uint64) { l.Entries = slices.Clip(l.Entries[:index-l.BaseIndex]) }

// Size returns the number of bytes that the entries count toward the limit fleet.state.
func (l *Log) Size() int {
	bytes := 0
	for _, e := range l.Entries {
		bytes += e.Size()
	}
	return bytes
}

// checksums returns the checksum of the base and of each kept entry, in order.
func (l *Log) checksums() []uint64 {
	all := []uint64{l.BaseChecksum}
	for _, e := range l.Entries {
		all = append(all, e.Checksum)
	}
	return all
}
