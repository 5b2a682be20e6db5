package instancestore

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/recordlog"
	"silvercove/internal/replica"
)

// maxRecordSize is the largest payload of a record, in bytes.
const maxRecordSize = 32 << 20

// format is the file format of an instance store.
var format = recordlog.Format{Magic: "coveinst", Version: 1, MaxPayload: maxRecordSize, Checksum: xxhash.Sum64,
	WideChecksum: true, TornTail: true}

// recordKind is the operation of a request. A kind below kindCount is stored as the first byte of a record's payload.
type recordKind uint16

const (
	kindRefused  recordKind = 0 // request rejected because the queue was full; never written
	kindEntry    recordKind = 1
	kindTruncate recordKind = 2
	kindReset    recordKind = 3
	kindDelete   recordKind = 4
	kindNote     recordKind = 5

	// kindCount stores a recordCount. On disk, the record has the kind kindDelete, an empty instance name and a count
	// above 0. Earlier versions of the program ignore such a record.
	kindCount recordKind = 1 << 8
)

// countingEnabled is the value of request.sum in a kindCount request if the records after that request are counted.
// With the value 0 they are not counted.
const countingEnabled = 1

const numberSize = 8 // size of a number in a payload, in bytes

// request is a queued change of the store. If done is not nil, Run calls it with the result of the request, in the
// order of the requests.
type request struct {
	kind     recordKind
	instance string
	number   uint64 // last index to keep for kindTruncate, base index for kindReset, count for kindCount
	sum      uint64 // base checksum for kindReset, countingEnabled or 0 for kindCount
	entry    replica.LogEntry
	note     []byte
	done     func(error)
}

// countRequest returns a kindCount request that stores the record count c.
func countRequest(c recordCount) request {
	r := request{kind: kindCount, number: c.records}
	if c.counting {
		r.sum = countingEnabled
	}
	return r
}

// appendRecord appends the record that encodes the request r to out.
func appendRecord(out []byte, r request) []byte {
	start := len(out)
	kind := r.kind
	if kind == kindCount {
		kind = kindDelete
	}
	out = append(format.BeginRecord(out), byte(kind))
	out = appendText(out, r.instance)
	switch r.kind {
	case kindEntry:
		for _, number := range []uint64{r.entry.Index, r.entry.Epoch, r.entry.Checksum} {
			out = binary.LittleEndian.AppendUint64(out, number)
		}
		out = appendText(out, r.entry.Node)
		out = appendText(out, r.entry.RequestID)
		out = append(out, r.entry.Body...)
	case kindTruncate, kindReset, kindCount:
		out = binary.LittleEndian.AppendUint64(out, r.number)
		out = binary.LittleEndian.AppendUint64(out, r.sum)
	case kindNote:
		out = append(out, r.note...)
	}
	return format.SealRecord(out, start)
}

// appendText appends the length of text, in 4 bytes, and then text itself to out.
func appendText(out []byte, text string) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(text)))
	return append(out, text...)
}

var errShortRecord = errors.New("record too short")

// decode decodes a record's payload. Its only error is errShortRecord. An unknown kind is an error of apply, not of decode.
func decode(payload []byte) (request, error) {
	d := decoder{rest: payload}
	var r request
	if kind := d.bytes(1); kind != nil {
		r.kind = recordKind(kind[0])
	}
	r.instance = d.text()
	switch r.kind {
	case kindEntry:
		r.entry.Index = d.number()
		r.entry.Epoch = d.number()
		r.entry.Checksum = d.number()
		r.entry.Node = d.text()
		r.entry.RequestID = d.text()
		if len(d.rest) > 0 {
			r.entry.Body = bytes.Clone(d.rest)
		}
	case kindTruncate, kindReset:
		r.number, r.sum = d.number(), d.number()
	case kindDelete:
		if r.instance == "" && len(d.rest) >= 2*numberSize {
			r.number, r.sum = d.number(), d.number()
		}
		if r.instance == "" && r.number > 0 {
			r.kind = kindCount
		}
	case kindNote:
		r.note = bytes.Clone(d.rest)
	}
	return r, d.err
}

// decoder decodes the fields of a payload in order. After an error its methods return zero values.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) bytes(n int) []byte {
	if d.err != nil || n < 0 || n > len(d.rest) {
		d.err = errShortRecord
		return nil
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) number() uint64 {
	taken := d.bytes(numberSize)
	if taken == nil {
		return 0
	}
	return binary.LittleEndian.Uint64(taken)
}

func (d *decoder) text() string {
	size := d.bytes(4)
	if size == nil {
		return ""
	}
	return string(d.bytes(int(binary.LittleEndian.Uint32(size))))
}
