package monotonic

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"silvercove/internal/recordlog"
	"silvercove/internal/tufverify"
)

// Sizes of the payloads, in bytes.
const (
	kindSize   = 1
	numberSize = 8
	sumSize    = 32
	entrySize  = kindSize + numberSize + sumSize // kind, version, sum; the key follows
	timeSize   = kindSize + numberSize
	maxKeySize = 1 << 10
)

// Kinds of records, the first byte of a payload.
const (
	kindEntry = 1
	kindTime  = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var format = recordlog.Format{
	Magic:      "covefloo",
	Version:    1,
	MaxPayload: entrySize + maxKeySize,
	Checksum:   func(b []byte) uint64 { return uint64(crc32.Checksum(b, castagnoli)) },
}

// entry is the highest version of a key, with the checksum of its content.
type entry struct {
	version int64
	sum     tufverify.Digest
}

// checkMonotonic allows a version again with the same content, or a higher one.
func (e entry) checkMonotonic(known entry, key string) error {
	switch {
	case e.version < known.version:
		return fmt.Errorf("floor: %s %d: %w", key, e.version, ErrOlderVersion)
	case e.version == known.version && e.sum != known.sum && known.version > 0:
		return fmt.Errorf("floor: %s %d: %w", key, e.version, ErrConflict)
	}
	return nil
}

// contents is what a file holds.
type contents struct {
	entries map[string]entry
	latest  tufverify.Tick
}

func newContents() contents { return contents{entries: map[string]entry{}} }

// decode reads a file, and returns how many of its bytes are complete records. Its error wraps ErrCorrupt or
// ErrNewerVersion.
func decode(data []byte) (c contents, completeSize int, err error) {
	c = newContents()
	completeSize, err = format.ReadRecords(data, c.apply)
	return c, completeSize, err
}

// apply applies one record's payload.
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
		return fmt.Errorf("a record of no known kind: %w", ErrCorrupt)
	}
	return nil
}

func appendEntry(out []byte, key string, e entry) []byte {
	start := len(out)
	out = append(format.BeginRecord(out), kindEntry)
	out = binary.LittleEndian.AppendUint64(out, uint64(e.version))
	out = append(out, e.sum[:]...)
	out = append(out, key...)
	return format.SealRecord(out, start)
}

func appendTime(out []byte, t tufverify.Tick) []byte {
	start := len(out)
	out = append(format.BeginRecord(out), kindTime)
	out = binary.LittleEndian.AppendUint64(out, uint64(t))
	return format.SealRecord(out, start)
}
