// Package pgwire reads and writes the part of PostgreSQL's frontend/backend protocol, version 3.0, that this project
// needs: simple queries of one statement each, without a password. The messages are described in the PostgreSQL manual,
// "Message Formats".
//
// The package works on bytes alone: no I/O, clock or goroutine. Readers are incremental. A caller passes all bytes that
// have arrived since the start of the message, and calls the reader again until the message is complete. For a
// Response, the bytes start at the reply, and the caller goes on until the reply is complete. Functions may be called
// from any goroutine; a Response or a Query belongs to one goroutine.
package pgwire

import (
	"encoding/binary"
	"errors"
)

// Limits on incoming data, in bytes.
const (
	MaxValue = 64 << 10           // maximum size of a value that is stored under a key
	MaxQuery = 2*MaxValue + 4<<10 // maximum size of a query message, which holds each byte of a value as two hexadecimal digits

	maxStartup        = 10 << 10         // maximum size of a startup message, the same as in PostgreSQL's server
	maxBackendMessage = MaxValue + 4<<10 // maximum size of a message from a backend
	maxClientMessage  = 1 << 20          // maximum size of a client message that can be skipped and refused; a larger message is ErrTooLong
)

// maxAuxiliaryMessages is the largest number of authentication, parameter, notice and key messages in one reply.
const maxAuxiliaryMessages = 64

// HeaderSize is the size in bytes of a message's header: its type and its length.
const HeaderSize = typeSize + lengthSize

const (
	typeSize   = 1
	lengthSize = 4 // size in bytes of a length field, whose value includes this size
)

// Errors in incoming messages. After any of them, the start of the next message is unknown, and reading cannot go on.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLong   = errors.New("message too long")
)

// SQLSTATE codes (PostgreSQL manual, "PostgreSQL Error Codes").
const (
	StateSuccess            = "00000"
	StateTooManyConnections = "53300" // the relay rejects a request, or a backend is at its capacity
	StateCannotConnectNow   = "57P03" // an edge node that is not ready sends this code, but only to the health check
	StateInternalError      = "XX000"
	StateSyntaxError        = "42601"
	StateNotSupported       = "0A000"
	StateLimitExceeded      = "54000"
	StateProtocolViolation  = "08P01"
	StateInvalidParameter   = "22023"
)

// sqlStateSize is the size in bytes of an SQLSTATE code.
const sqlStateSize = 5

// Span is a range of a buffer: from Start up to, but not including, End.
type Span struct{ Start, End int }

// Of returns the part of a buffer that the span covers.
func (s Span) Of(buf []byte) []byte { return buf[s.Start:s.End] }

func (s Span) size() int { return s.End - s.Start }

// ClientHeader reads the header of a client's message. It returns the type of the message and its size in bytes,
// including the header. If size is 0, more bytes are needed. A message larger than MaxQuery must be skipped and refused
// by the caller.
func ClientHeader(buf []byte) (messageType byte, size int, err error) {
	return header(buf, maxClientMessage)
}

// header reads the header of a message whose length is at most maxLength.
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

// appendMessage appends a message with a type and a body.
func appendMessage(buf []byte, messageType byte, body []byte) []byte {
	buf = append(buf, messageType)
	buf = binary.BigEndian.AppendUint32(buf, uint32(lengthSize+len(body)))
	return append(buf, body...)
}
