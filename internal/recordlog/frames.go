// Package frames is the form of append-only files: a head, and records that each have their length and sums, so that one
// that was cut short at the end, which was never answered for, is told from one that is damaged.
//
// On disk, little endian: the head is 8 bytes of magic, the version, and a sum of both; a record is its length, a sum of
// the length, a sum of the payload, and the payload.
//
// Kind: state
package recordlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// Errors of a file.
var (
	ErrCorrupt      = errors.New("damaged")
	ErrNewerVersion = errors.New("written by a later version of this program")
)

// HeaderSize is the bytes before the first record.
const HeaderSize = 16

// Format is one kind of file.
type Format struct {
	Magic        string // 8 bytes
	Version      uint32
	MaxPayload   int                 // bytes of a payload
	Checksum     func([]byte) uint64 // its low 4 bytes, where there is no more room
	WideChecksum bool                // a payload's sum has 8 bytes, not 4
	TornTail     bool                // the last record may have come in any part; and room that was made may be zeros
}

// RecordHeaderSize is the bytes of a record before its payload.
func (f *Format) RecordHeaderSize() int {
	if f.WideChecksum {
		return 16
	}
	return 12
}

// Header is the head of a file.
func (f *Format) Header() []byte {
	b := binary.LittleEndian.AppendUint32([]byte(f.Magic), f.Version)
	return binary.LittleEndian.AppendUint32(b, uint32(f.Checksum(b)))
}

// BeginRecord leaves room for a record's head; the payload is appended after it, and Seal fills the head in.
func (f *Format) BeginRecord(out []byte) []byte {
	return append(out, make([]byte, f.RecordHeaderSize())...)
}

// SealRecord ends the record that Begin began at a place.
func (f *Format) SealRecord(out []byte, at int) []byte {
	head, body := out[at:at+f.RecordHeaderSize()], out[at+f.RecordHeaderSize():]
	binary.LittleEndian.PutUint32(head, uint32(len(body)))
	binary.LittleEndian.PutUint32(head[4:], uint32(f.Checksum(head[:4])))
	if f.WideChecksum {
		binary.LittleEndian.PutUint64(head[8:], f.Checksum(body))
	} else {
		binary.LittleEndian.PutUint32(head[8:], uint32(f.Checksum(body)))
	}
	return out
}

// fits tells whether a payload is what its head says.
func (f *Format) fits(head, body []byte) bool {
	if f.WideChecksum {
		return binary.LittleEndian.Uint64(head[8:]) == f.Checksum(body)
	}
	return binary.LittleEndian.Uint32(head[8:]) == uint32(f.Checksum(body))
}

// ReadRecords hands on each whole record's payload, and tells how many bytes of the file are whole: 0 also of one whose head was
// cut short. What each refuses, and all that does not add up, refuses the file.
func (f *Format) ReadRecords(text []byte, each func(payload []byte) error) (whole int, err error) {
	switch {
	case len(text) < HeaderSize && bytes.HasPrefix(f.Header(), text):
		return 0, nil // made, and not yet begun
	case len(text) < HeaderSize || string(text[:8]) != f.Magic || uint32(f.Checksum(text[:12])) != binary.LittleEndian.Uint32(text[12:]):
		return 0, fmt.Errorf("%w: its head", ErrCorrupt)
	}
	if v := binary.LittleEndian.Uint32(text[8:]); v > f.Version {
		return 0, fmt.Errorf("%w: form %d, this program reads %d", ErrNewerVersion, v, f.Version)
	}
	for at := HeaderSize; ; {
		rest := text[at:]
		if len(rest) < f.RecordHeaderSize() {
			return at, nil
		}
		n := int(binary.LittleEndian.Uint32(rest))
		if binary.LittleEndian.Uint32(rest[4:]) != uint32(f.Checksum(rest[:4])) || n > f.MaxPayload {
			if f.TornTail && len(bytes.TrimRight(rest, "\x00")) == 0 {
				return at, nil // room that was made for what was never written
			}
			return at, fmt.Errorf("%w: at byte %d", ErrCorrupt, at)
		}
		end := f.RecordHeaderSize() + n
		switch {
		case len(rest) < end:
			return at, nil
		case !f.fits(rest, rest[f.RecordHeaderSize():end]) && f.TornTail && len(rest) == end:
			return at, nil // the last one: its pages came in another order
		case !f.fits(rest, rest[f.RecordHeaderSize():end]):
			return at, fmt.Errorf("%w: at byte %d", ErrCorrupt, at)
		}
		if err := each(rest[f.RecordHeaderSize():end]); err != nil {
			return at, fmt.Errorf("at byte %d: %w", at, err)
		}
		at += end
	}
}
