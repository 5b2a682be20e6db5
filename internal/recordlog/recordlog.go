// Package recordlog implements a format of append-only files: a header, followed by records. Each record has its length
// and checksums, so that a reader can tell an incomplete record at the end, which was never acknowledged, from a
// corrupt one.
//
// The encoding is little endian. The header consists of 8 bytes of magic, the format version, and a checksum of both. A
// record consists of its length, a checksum of the length, a checksum of the payload, and the payload.
//
// The package also has functions that writers of such files share: Lock prevents other processes from using a file, and
// SyncDir syncs a directory.
//
// Usage: write Format.Header at the start of a file; append records with BeginRecord and SealRecord; read a whole file
// with ReadRecords. A Format must not be changed after its first use; it is then safe for concurrent use.
//
// Kind: state (see docs/architecture.md)
package recordlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// ReadRecords returns errors that wrap one of these errors.
var (
	ErrCorrupt      = errors.New("damaged")
	ErrNewerVersion = errors.New("written by a later version of this program")
)

// Sizes and offsets in bytes. versionOffset and headerSumOffset are offsets in a file's header. lengthSumOffset and
// payloadSumOffset are offsets in a record's header.
const (
	HeaderSize = 16 // size of a file's header, before the first record

	magicSize        = 8
	versionOffset    = magicSize
	headerSumOffset  = 12
	lengthSize       = 4 // size of the length field, at the start of a record
	lengthSumOffset  = 4
	payloadSumOffset = 8
	narrowHeaderSize = 12 // size of a record's header with a payload checksum of 4 bytes
	wideHeaderSize   = 16 // size of a record's header with a payload checksum of 8 bytes
)

// Format describes one type of record file.
type Format struct {
	Magic        string // identifies the type of file; 8 bytes long
	Version      uint32 // format version of new files; files with a later version are rejected
	MaxPayload   int    // largest payload of a record, in bytes
	Checksum     func([]byte) uint64
	WideChecksum bool // store all 8 bytes of a payload's checksum instead of the low 4; checksums of file headers and of lengths always have 4 bytes
	// TornTail says what a crash may leave at the end of a file. If TornTail is true, any part of the last record may
	// be missing, and space that was allocated for later records may hold zeros. If TornTail is false, each record is
	// synced before the next one is written, and only the end of the last record may be missing.
	TornTail bool
}

// RecordHeaderSize returns the size in bytes of a record's header, which precedes the payload.
func (f *Format) RecordHeaderSize() int {
	if f.WideChecksum {
		return wideHeaderSize
	}
	return narrowHeaderSize
}

// Header returns the encoded header of a file.
func (f *Format) Header() []byte {
	b := binary.LittleEndian.AppendUint32([]byte(f.Magic), f.Version)
	return binary.LittleEndian.AppendUint32(b, uint32(f.Checksum(b)))
}

// BeginRecord appends space for a record's header to out. The caller appends the payload and then calls SealRecord,
// which fills in the header.
func (f *Format) BeginRecord(out []byte) []byte {
	return append(out, make([]byte, f.RecordHeaderSize())...)
}

// SealRecord fills in the header of the record at the end of out. start is the length that out had before BeginRecord.
func (f *Format) SealRecord(out []byte, start int) []byte {
	header := out[start : start+f.RecordHeaderSize()]
	payload := out[start+f.RecordHeaderSize():]
	binary.LittleEndian.PutUint32(header, uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[lengthSumOffset:], uint32(f.Checksum(header[:lengthSize])))
	if f.WideChecksum {
		binary.LittleEndian.PutUint64(header[payloadSumOffset:], f.Checksum(payload))
	} else {
		binary.LittleEndian.PutUint32(header[payloadSumOffset:], uint32(f.Checksum(payload)))
	}
	return out
}

// payloadMatches reports whether a payload has the checksum in its record's header.
func (f *Format) payloadMatches(header, payload []byte) bool {
	if f.WideChecksum {
		return binary.LittleEndian.Uint64(header[payloadSumOffset:]) == f.Checksum(payload)
	}
	return binary.LittleEndian.Uint32(header[payloadSumOffset:]) == uint32(f.Checksum(payload))
}

// ReadRecords calls handle with the payload of each complete record of a file's content. It returns the size in bytes
// of the header and the complete records, which is 0 if the header is incomplete. It stops at the first error, which is
// an error of handle, wrapped, or an error that wraps ErrCorrupt or ErrNewerVersion. The payloads are slices of data.
func (f *Format) ReadRecords(data []byte, handle func(payload []byte) error) (completeSize int, err error) {
	if len(data) < HeaderSize && bytes.HasPrefix(f.Header(), data) {
		return 0, nil // the file is empty, or a crash left only a part of its header
	}
	if err := f.checkHeader(data); err != nil {
		return 0, err
	}
	offset := HeaderSize
	for {
		payload, size, err := f.nextRecord(data[offset:])
		if err != nil {
			return offset, fmt.Errorf("%w: at byte %d", err, offset)
		}
		if size == 0 {
			return offset, nil
		}
		if err := handle(payload); err != nil {
			return offset, fmt.Errorf("at byte %d: %w", offset, err)
		}
		offset += size
	}
}

// checkHeader returns an error that wraps ErrCorrupt or ErrNewerVersion if the header of a file's content is not valid.
func (f *Format) checkHeader(data []byte) error {
	if len(data) < HeaderSize || string(data[:magicSize]) != f.Magic ||
		uint32(f.Checksum(data[:headerSumOffset])) != binary.LittleEndian.Uint32(data[headerSumOffset:]) {
		return fmt.Errorf("%w: invalid header", ErrCorrupt)
	}
	if version := binary.LittleEndian.Uint32(data[versionOffset:]); version > f.Version {
		return fmt.Errorf("%w: format version %d, this program reads up to %d", ErrNewerVersion, version, f.Version)
	}
	return nil
}

// nextRecord returns the payload of the record at the start of rest, and the size of that record with its header. The
// size is 0, without an error, if rest is too short for a complete record or holds only what a crash may have left (see
// Format.TornTail).
func (f *Format) nextRecord(rest []byte) (payload []byte, size int, err error) {
	headerSize := f.RecordHeaderSize()
	if len(rest) < headerSize {
		return nil, 0, nil
	}
	length := int(binary.LittleEndian.Uint32(rest))
	lengthSum := binary.LittleEndian.Uint32(rest[lengthSumOffset:])
	if lengthSum != uint32(f.Checksum(rest[:lengthSize])) || length > f.MaxPayload {
		if f.TornTail && len(bytes.TrimRight(rest, "\x00")) == 0 {
			return nil, 0, nil // zeros in space that was allocated for records that were never written
		}
		return nil, 0, ErrCorrupt
	}
	size = headerSize + length
	if len(rest) < size {
		return nil, 0, nil
	}
	payload = rest[headerSize:size]
	if f.payloadMatches(rest, payload) {
		return payload, size, nil
	}
	if f.TornTail && len(rest) == size {
		return nil, 0, nil // the last record: a crash left only some of its pages on disk
	}
	return nil, 0, ErrCorrupt
}
