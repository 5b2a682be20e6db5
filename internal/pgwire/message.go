// Package pgwire reads and writes the part of PostgreSQL's wire protocol, version 3, that clients
// and units speak here: simple queries, one statement each, no password. It works on bytes alone.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

// Limits on what is read.
const (
	MaxValue    = 64 << 10           // of a value
	MaxQuery    = 2*MaxValue + 4<<10 // of a query: its value is in hexadecimal
	mostStartup = 10 << 10           // of a startup message, as PostgreSQL has it
	mostMessage = MaxValue + 4<<10   // of one message from a unit
	HeaderSize  = 5                  // of a message: its kind and length
	mostSkipped = 1 << 20            // of a message that is skipped to be refused
	head        = 5                  // a message's kind and length
	mostExtra   = 64                 // messages beside the row in one answer
	protocol3   = 3 << 16            // codes of a startup message
	sslRequest  = 1234<<16 | 5679
	gssRequest  = 1234<<16 | 5680
	cancelCode  = 1234<<16 | 5678
)

// Errors in what came. Framing cannot go on after any of these.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLong   = errors.New("message too long")
)

// SQLSTATE codes that are used here.
const (
	StateSuccess            = "00000"
	StateTooManyConnections = "53300" // a nack, and a unit that turns away
	StateCannotConnectNow   = "57P03" // the other code of a nack
	StateInternalError      = "XX000"
	StateSyntaxError        = "42601"
	StateNotSupported       = "0A000"
	StateLimitExceeded      = "54000"
	StateProtocolViolation  = "08P01"
	StateInvalidParameter   = "22023"
	wrongProtocol           = "0A000"
)

// StartupKind is what a client's first message asks for.
type StartupKind uint8

// What a first message can be.
const (
	StartSession StartupKind = iota
	StartEncrypted
	StartCancel
)

// ParseStartup reads a first message. Size 0: more bytes are needed.
func ParseStartup(buf []byte) (start StartupKind, size int, err error) {
	if len(buf) < 8 {
		return 0, 0, nil
	}
	n := binary.BigEndian.Uint32(buf)
	if n < 8 {
		return 0, 0, ErrMalformed
	}
	if n > mostStartup {
		return 0, 0, ErrTooLong
	}
	code := binary.BigEndian.Uint32(buf[4:])
	switch {
	case code == sslRequest, code == gssRequest:
		start = StartEncrypted
	case code == cancelCode:
		start = StartCancel
	case code>>16 != protocol3>>16:
		return 0, 0, ErrMalformed
	}
	if len(buf) < int(n) {
		return 0, 0, nil
	}
	if start == StartSession {
		params := buf[8:n]
		if len(params) == 0 || params[len(params)-1] != 0 {
			return 0, 0, ErrMalformed
		}
	}
	return start, int(n), nil
}

// Header reads the start of a message: its kind and its size in all. Size 0: more bytes are needed.
func Header(buf []byte, most int) (kind byte, size int, err error) {
	if len(buf) < HeaderSize {
		return 0, 0, nil
	}
	n := binary.BigEndian.Uint32(buf[1:])
	if n < 4 || buf[0] < 'A' || buf[0] > 'z' {
		return buf[0], 0, ErrMalformed
	}
	if n > uint32(most) {
		return buf[0], 0, ErrTooLong
	}
	return buf[0], int(n) + 1, nil
}

// ClientHeader reads the head of a client's message. One over MostQuery is to be skipped and refused.
func ClientHeader(buf []byte) (kind byte, size int, err error) { return Header(buf, mostSkipped) }

// AuthenticationOK is what a session is greeted with.
func AuthenticationOK() []byte {
	b := message(nil, 'R', []byte{0, 0, 0, 0})
	for _, p := range []string{"server_version\x0015.0\x00", "client_encoding\x00UTF8\x00",
		"standard_conforming_strings\x00on\x00"} {
		b = message(b, 'S', []byte(p))
	}
	b = message(b, 'K', make([]byte, 8))
	return append(b, ReadyForQuery()...)
}

// ReadyForQuery is ReadyForQuery.
func ReadyForQuery() []byte { return []byte{'Z', 0, 0, 0, 5, 'I'} }

// EmptyQueryResponse answers the empty query.
func EmptyQueryResponse() []byte { return append([]byte{'I', 0, 0, 0, 4}, ReadyForQuery()...) }

// EncryptionRefused declines an encrypted session.
func EncryptionRefused() []byte { return []byte{'N'} }

// Terminate ends a session.
func Terminate() []byte { return []byte{'X', 0, 0, 0, 4} }

// ErrorResponse is an ErrorResponse. Detail is left out if it is empty.
func ErrorResponse(severity, code, text, detail string) []byte {
	body := make([]byte, 0, 64)
	field := func(kind byte, s string) {
		body = append(append(append(body, kind), s...), 0)
	}
	field('S', severity)
	field('V', severity)
	field('C', code)
	field('M', text)
	if detail != "" {
		field('D', detail)
	}
	return message(nil, 'E', append(body, 0))
}

// StartupMessage is the startup message to a unit.
func StartupMessage() []byte {
	const params = "user\x00backend\x00database\x00store\x00\x00"
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(params)))
	b = binary.BigEndian.AppendUint32(b, protocol3)
	return append(b, params...)
}

// SimpleQuery is a simple query.
func SimpleQuery(text string) []byte { return message(nil, 'Q', append([]byte(text), 0)) }

// DataRow answers a query by one row of one column, in binary, and its end.
func DataRow(value []byte, end string) []byte {
	const bytea = 17
	column := append([]byte("\x00\x01content\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, bytea, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	b := message(nil, 'T', column)
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b = message(b, 'D', append(body, value...))
	return append(message(b, 'C', append([]byte(end), 0)), ReadyForQuery()...)
}

// CommandComplete answers a statement that does nothing.
func CommandComplete(end string) []byte {
	return append(message(nil, 'C', append([]byte(end), 0)), ReadyForQuery()...)
}

// RowValue is the one column of a DataRow message; false where it has none, or makes no sense.
func RowValue(row []byte) ([]byte, bool) {
	const head = 1 + 4 + 2 + 4 // kind, size, columns, size of the first
	if len(row) < head || row[0] != 'D' || binary.BigEndian.Uint16(row[5:]) != 1 ||
		int64(len(row)) != head+int64(int32(binary.BigEndian.Uint32(row[7:]))) {
		return nil, false
	}
	return row[head:], true
}

func message(b []byte, kind byte, body []byte) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(body)))
	return append(b, body...)
}

// Response reads what a unit answers to one query, or to the startup message, incrementally.
type Response struct {
	SQLState string   // SQLSTATE: Complete for a row and its end; empty while there is none
	Load     string   // the load report, if one came along
	Rows     [][2]int // where the messages to pass on lie, counted from the start
	Ready    bool     // the unit waits for the next query
	Fatal    bool     // it ends the connection
	Consumed int      // bytes read so far
	step     byte     // the last of the messages of a row that came: T, D, C
	extra    int
}

// Read goes on with all bytes of an answer from its start on.
func (a *Response) Read(buf []byte) error {
	for !a.Ready && !a.Fatal {
		kind, size, err := Header(buf[a.Consumed:], mostMessage)
		if err != nil {
			return err
		}
		if size == 0 || a.Consumed+size > len(buf) {
			return nil
		}
		if err := a.one(kind, buf[a.Consumed+HeaderSize:a.Consumed+size], size); err != nil {
			return err
		}
		a.Consumed += size
	}
	return nil
}

// Need tells how many bytes in all are needed to go on.
func (a *Response) Need(buf []byte) int {
	if _, size, err := Header(buf[a.Consumed:], mostMessage); err == nil && size > 0 {
		return a.Consumed + size
	}
	return a.Consumed + HeaderSize
}

func (a *Response) one(kind byte, body []byte, size int) error {
	span := [2]int{a.Consumed, a.Consumed + size}
	follows := map[byte]byte{'T': 0, 'D': 'T', 'C': 'D'}
	switch kind {
	case 'T', 'D', 'C':
		if a.SQLState != "" || a.step != follows[kind] || !rowPart(kind, body) {
			return ErrMalformed
		}
		a.step, a.Rows = kind, append(a.Rows, span)
		if kind == 'C' {
			a.SQLState = StateSuccess
		}
	case 'E':
		code, severity := problem(body)
		if a.SQLState != "" || len(code) != 5 || code == StateSuccess {
			return ErrMalformed
		}
		a.SQLState, a.Fatal = code, severity == "FATAL" || severity == "PANIC"
	case 'I':
		if a.SQLState != "" || a.step != 0 {
			return ErrMalformed
		}
		a.SQLState = StateSuccess
	case 'Z':
		if len(body) != 1 || a.step != 0 && a.SQLState == "" {
			return ErrMalformed
		}
		a.Ready = true
	case 'S':
		if name, value, ok := bytes.Cut(body, []byte{0}); ok && string(name) == "server_load" {
			a.Load = string(bytes.TrimRight(value, "\x00"))
		}
		return a.beside()
	case 'N', 'K', 'R':
		if kind == 'R' && (len(body) != 4 || binary.BigEndian.Uint32(body) != 0) {
			return ErrMalformed // a password is asked for
		}
		return a.beside()
	default:
		return ErrMalformed
	}
	return nil
}

// beside bounds the messages that an answer may hold beside the row.
func (a *Response) beside() error {
	if a.extra++; a.extra > mostExtra {
		return ErrTooLong
	}
	return nil
}

// rowPart checks one of the messages of a row of one column.
func rowPart(kind byte, body []byte) bool {
	switch kind {
	case 'T':
		end := bytes.IndexByte(body[min(2, len(body)):], 0)
		return end >= 0 && binary.BigEndian.Uint16(body) == 1 && len(body) == 2+end+1+18
	case 'D':
		if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
			return false
		}
		n := int32(binary.BigEndian.Uint32(body[2:]))
		return n == -1 && len(body) == 6 || int(n) == len(body)-6 && n <= MaxValue
	}
	return len(body) > 0 && body[len(body)-1] == 0
}

// problem picks the code and the severity of an ErrorResponse.
func problem(body []byte) (code, severity string) {
	for len(body) > 1 {
		value, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return "", ""
		}
		switch body[0] {
		case 'C':
			code = string(value)
		case 'S':
			if severity == "" {
				severity = string(value)
			}
		case 'V':
			severity = string(value)
		}
		body = rest
	}
	return code, severity
}

// ParseLoad turns a load report into the values of the named figures, in their order.
func ParseLoad(report string, figures []string) []float64 {
	if report == "" {
		return nil
	}
	values := make([]float64, len(figures))
	for part := range bytes.SplitSeq([]byte(report), []byte(",")) {
		name, value, _ := bytes.Cut(part, []byte("="))
		for i, f := range figures {
			if f == string(name) {
				values[i], _ = strconv.ParseFloat(string(value), 64)
			}
		}
	}
	return values
}
