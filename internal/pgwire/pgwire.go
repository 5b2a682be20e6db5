// Package pgwire reads and writes the part of PostgreSQL's frontend/backend protocol, version 3.0, that clients and backends
// speak here: simple queries, one statement each, no password. The messages are those of the PostgreSQL manual, "Message
// Formats".
//
// It works on bytes alone: no I/O, clock or goroutine. Readers are incremental: they are given all bytes from a message's
// start on, again and again, until they say that it is complete. Functions may be called from any goroutine; a Response or a
// Query belongs to one goroutine.
package pgwire

import (
	"encoding/binary"
	"errors"
)

// Limits on what is read, in bytes.
const (
	MaxValue = 64 << 10           // of a value
	MaxQuery = 2*MaxValue + 4<<10 // of a query message: its value is in hexadecimal

	maxStartup        = 10 << 10         // of a startup message, as PostgreSQL has it
	maxBackendMessage = MaxValue + 4<<10 // of one message of a backend
	maxClientMessage  = 1 << 20          // of a client's message; one over MaxQuery is skipped to be refused
)

// maxOtherMessages is how many messages beside the row one reply may hold.
const maxOtherMessages = 64

// HeaderSize is the size in bytes of a message's header: its type and its length.
const HeaderSize = typeSize + lengthSize

const (
	typeSize   = 1
	lengthSize = 4 // it counts itself
)

// Errors in what came. Framing can't go on after any of these.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLong   = errors.New("message too long")
)

// SQLSTATE codes that are used here (PostgreSQL manual, "PostgreSQL Error Codes").
const (
	StateSuccess            = "00000"
	StateTooManyConnections = "53300" // a rejection, and a backend at capacity
	StateCannotConnectNow   = "57P03" // of an edge node that is not ready, to the health check alone
	StateInternalError      = "XX000"
	StateSyntaxError        = "42601"
	StateNotSupported       = "0A000"
	StateLimitExceeded      = "54000"
	StateProtocolViolation  = "08P01"
	StateInvalidParameter   = "22023"
)

// sqlStateSize is the size of each of the codes.
const sqlStateSize = 5

// Span is where something lies in a buffer: from Start up to, but not including, End.
type Span struct{ Start, End int }

// Of is the part of a buffer that the span stands for.
func (s Span) Of(buf []byte) []byte { return buf[s.Start:s.End] }

func (s Span) size() int { return s.End - s.Start }

// ClientHeader reads the header of a client's message: its type and its size in bytes, header included. Size 0: more bytes are
// needed. One over MaxQuery is to be skipped and refused.
func ClientHeader(buf []byte) (messageType byte, size int, err error) {
	return header(buf, maxClientMessage)
}

// header reads the header of a message whose length is limited.
func header(buf []byte, maxLength uint32) (messageType byte, size int, err error) {
	if len(buf) < HeaderSize {
		return 0, 0, nil
	}
	messageType = buf[0]
	length := binary.BigEndian.Uint32(buf[typeSize:])
	if length < lengthSize || messageType < 'A' || messageType > 'z' {
		return messageType, 0, ErrMalformed
	}
	if length > maxLength {
		return messageType, 0, ErrTooLong
	}
	return messageType, typeSize + int(length), nil
}

// appendMessage appends a message of a type with a body.
func appendMessage(buf []byte, messageType byte, body []byte) []byte {
	buf = append(buf, messageType)
	buf = binary.BigEndian.AppendUint32(buf, uint32(lengthSize+len(body)))
	return append(buf, body...)
}
