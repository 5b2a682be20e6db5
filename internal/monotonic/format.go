package monotonic

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"silvercove/internal/recordlog"
	"silvercove/internal/tufverify"
)

// Sizes of payloads and of their fields, in bytes.
const (
	kindSize   = 1
	numberSize = 8
	sumSize    = 32
	entrySize  = kindSize + numberSize + sumSize // kind, version and checksum of an entry; its key follows them in the payload
	timeSize   = kindSize + numberSize
	maxKeySize = 1 << 10
)

// Record kinds. The kind is the first byte of a payload.
const (
	kindEntry = 1
	kindTime  = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// format is the file format of a version store.
var format = recordlog.Format{
	Magic:      "covefloo",
	Version:    1,
	MaxPayload: entrySize + maxKeySize,
	Checksum:   func(b []byte) uint64 { return uint64(crc32.Checksum(b, castagnoli)) },
}

// entry holds the highest version of a key and the checksum of that version's content.
type entry struct {
	version int64
	sum     tufverify.Digest
}

// checkMonotonic returns an error unless e has a higher version than known, or the same version with the same content.
// Version 0 means that no version is known, so its checksum is not compared.
func (e entry) checkMonotonic(known entry, key string) error {
	switch {
	case e.version < known.version:
		return fmt.Errorf("version store: %s version %d: %w", key, e.version, ErrOlderVersion)
	case e.version == known.version && e.sum != known.sum && known.version > 0:
		return fmt.Errorf("version store: %s version %d: %w", key, e.version, ErrConflict)
	}
	return nil
}

// contents holds the entries and the latest time of a file.
type contents struct {
	entries map[string]entry
	latest  tufverify.Tick
}

func newContents() contents { return contents{entries: map[string]entry{}} }

// decode decodes a file's content. completeSize is the size in bytes of its header and complete records. The error wraps
// ErrCorrupt or ErrNewerVersion.
func decode(data []byte) (c contents, completeSize int, err error) {
	c = newContents()
	completeSize, err = format.ReadRecords(data, c.apply)
	return c, completeSize, err
}

// apply adds the entry or the time in a record's payload to c. A version or a time that is older than the one in c has
// no effect.
func (c *contents) apply(payload []byte) error {
	switch {
	case len(payload) > entrySize && payload[0] == kindEntry:
		e := entry{version: int64(binary.LittleEndian.Uint64(payload[kindSize:]))}
		copy(e.sum[:], payload[kindSize+numberSize:])
		key := string(payload[entrySize:])
		if e.version >= c.entries[key].version {
			c.entries[key] = e
		}
	case len(payload) == timeSize && payload[0] == kindTime:
		c.latest = max(c.latest, tufverify.Tick(binary.LittleEndian.Uint64(payload[kindSize:])))
	default:
		return fmt.Errorf("record of unknown kind or invalid length: %w", ErrCorrupt)
	}
	return nil
}

// appendEntry appends a record of kind kindEntry.
func appendEntry(out []byte, key string, e entry) []byte {
	start := len(out)
	out = append(format.BeginRecord(out), kindEntry)
	out = binary.LittleEndian.AppendUint64(out, uint64(e.version))
	out = append(out, e.sum[:]...)
	out = append(out, key...)
	return format.SealRecord(out, start)
}

// appendTime appends a record of kind kindTime.
func appendTime(out []byte, t tufverify.Tick) []byte {
	start := len(out)
	out = append(format.BeginRecord(out), kindTime)
	out = binary.LittleEndian.AppendUint64(out, uint64(t))
	return format.SealRecord(out, start)
}
