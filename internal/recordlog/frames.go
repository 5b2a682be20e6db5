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
	ErrDamaged = errors.New("damaged")
	ErrLater   = errors.New("written by a later version of this program")
)

// Head is the bytes before the first record.
const Head = 16

// Form is one kind of file.
type Form struct {
	Magic   string // 8 bytes
	Version uint32
	Most    int                 // bytes of a payload
	Sum     func([]byte) uint64 // its low 4 bytes, where there is no more room
	Wide    bool                // a payload's sum has 8 bytes, not 4
	Torn    bool                // the last record may have come in any part; and room that was made may be zeros
}

// Record is the bytes of a record before its payload.
func (f *Form) Record() int {
	if f.Wide {
		return 16
	}
	return 12
}

// Header is the head of a file.
func (f *Form) Header() []byte {
	b := binary.LittleEndian.AppendUint32([]byte(f.Magic), f.Version)
	return binary.LittleEndian.AppendUint32(b, uint32(f.Sum(b)))
}

// Begin leaves room for a record's head; the payload is appended after it, and Seal fills the head in.
func (f *Form) Begin(out []byte) []byte { return append(out, make([]byte, f.Record())...) }

// Seal ends the record that Begin began at a place.
func (f *Form) Seal(out []byte, at int) []byte {
	head, body := out[at:at+f.Record()], out[at+f.Record():]
	binary.LittleEndian.PutUint32(head, uint32(len(body)))
	binary.LittleEndian.PutUint32(head[4:], uint32(f.Sum(head[:4])))
	if f.Wide {
		binary.LittleEndian.PutUint64(head[8:], f.Sum(body))
	} else {
		binary.LittleEndian.PutUint32(head[8:], uint32(f.Sum(body)))
	}
	return out
}

// fits tells whether a payload is what its head says.
func (f *Form) fits(head, body []byte) bool {
	if f.Wide {
		return binary.LittleEndian.Uint64(head[8:]) == f.Sum(body)
	}
	return binary.LittleEndian.Uint32(head[8:]) == uint32(f.Sum(body))
}

// Read hands on each whole record's payload, and tells how many bytes of the file are whole: 0 also of one whose head was
// cut short. What each refuses, and all that does not add up, refuses the file.
func (f *Form) Read(text []byte, each func(payload []byte) error) (whole int, err error) {
	switch {
	case len(text) < Head && bytes.HasPrefix(f.Header(), text):
		return 0, nil // made, and not yet begun
	case len(text) < Head || string(text[:8]) != f.Magic || uint32(f.Sum(text[:12])) != binary.LittleEndian.Uint32(text[12:]):
		return 0, fmt.Errorf("%w: its head", ErrDamaged)
	}
	if v := binary.LittleEndian.Uint32(text[8:]); v > f.Version {
		return 0, fmt.Errorf("%w: form %d, this program reads %d", ErrLater, v, f.Version)
	}
	for at := Head; ; {
		rest := text[at:]
		if len(rest) < f.Record() {
			return at, nil
		}
		n := int(binary.LittleEndian.Uint32(rest))
		if binary.LittleEndian.Uint32(rest[4:]) != uint32(f.Sum(rest[:4])) || n > f.Most {
			if f.Torn && len(bytes.TrimRight(rest, "\x00")) == 0 {
				return at, nil // room that was made for what was never written
			}
			return at, fmt.Errorf("%w: at byte %d", ErrDamaged, at)
		}
		end := f.Record() + n
		switch {
		case len(rest) < end:
			return at, nil
		case !f.fits(rest, rest[f.Record():end]) && f.Torn && len(rest) == end:
			return at, nil // the last one: its pages came in another order
		case !f.fits(rest, rest[f.Record():end]):
			return at, fmt.Errorf("%w: at byte %d", ErrDamaged, at)
		}
		if err := each(rest[f.Record():end]); err != nil {
			return at, fmt.Errorf("at byte %d: %w", at, err)
		}
		at += end
	}
}
