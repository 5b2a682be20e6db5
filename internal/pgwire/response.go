package pgwire

import (
	"bytes"
	"encoding/binary"
	"strconv"
)

// Response parses a backend's reply to one query or to the startup message. Its zero value is ready for the first byte.
type Response struct {
	SQLState    string // StateSuccess after a complete row or an EmptyQueryResponse; the error's code after an ErrorResponse; empty before
	Load        string // the load report, if the reply contains one
	RowMessages []Span // positions of RowDescription, DataRow and CommandComplete, relative to the reply's start
	Ready       bool   // whether the backend waits for the next query
	Fatal       bool   // whether the backend ends the connection
	Consumed    int    // number of bytes of the reply that have been parsed

	stage             rowStage
	auxiliaryMessages int
}

// rowStage is how much of a row has arrived.
type rowStage uint8

const (
	noRow rowStage = iota
	rowDescribed
	rowData
	rowComplete
)

// Read parses the complete messages in buf, which holds all bytes of the reply that have arrived, from the start of the
// reply. It stops once the reply is Ready or Fatal. An error is ErrMalformed or ErrTooLong.
func (r *Response) Read(buf []byte) error {
	for !r.Ready && !r.Fatal {
		messageType, size, err := header(buf[r.Consumed:], maxBackendMessage)
		if err != nil {
			return err
		}
		message := Span{r.Consumed, r.Consumed + size}
		if size == 0 || message.End > len(buf) {
			return nil
		}
		if err := r.readMessage(messageType, message, buf[message.Start+HeaderSize:message.End]); err != nil {
			return err
		}
		r.Consumed = message.End
	}
	return nil
}

// Need returns how many bytes of the reply, counted from its start, must be in buf before Read can parse the next
// message. If the header of that message has not arrived, Need counts up to the end of the header.
func (r *Response) Need(buf []byte) int {
	if _, size, err := header(buf[r.Consumed:], maxBackendMessage); err == nil && size > 0 {
		return r.Consumed + size
	}
	return r.Consumed + HeaderSize
}

func (r *Response) readMessage(messageType byte, message Span, body []byte) error {
	switch messageType {
	case BackendRowDescription:
		return r.advanceRow(noRow, message, isOneColumn(body))
	case BackendDataRow:
		return r.advanceRow(rowDescribed, message, isOneValue(body))
	case BackendCommandComplete:
		if err := r.advanceRow(rowData, message, isTerminated(body)); err != nil {
			return err
		}
		r.SQLState = StateSuccess
	case BackendErrorResponse:
		return r.readError(body)
	case BackendEmptyQueryResponse:
		if r.SQLState != "" || r.stage != noRow {
			return ErrMalformed
		}
		r.SQLState = StateSuccess
	case BackendReadyForQuery:
		if len(body) != 1 || r.stage != noRow && r.SQLState == "" {
			return ErrMalformed
		}
		r.Ready = true
	case BackendAuthentication:
		if len(body) != 4 || binary.BigEndian.Uint32(body) != 0 {
			return ErrMalformed // not AuthenticationOk; for example, the backend asks for a password
		}
		return r.countAuxiliary()
	case BackendParameterStatus:
		r.readParameter(body)
		return r.countAuxiliary()
	case BackendNoticeResponse, BackendKeyData:
		return r.countAuxiliary()
	default:
		return ErrMalformed
	}
	return nil
}

// advanceRow records the next message of a row. The message is valid only if it is well-formed and the row is exactly
// at the stage given by the parameter from.
func (r *Response) advanceRow(from rowStage, message Span, wellFormed bool) error {
	if r.SQLState != "" || r.stage != from || !wellFormed {
		return ErrMalformed
	}
	r.stage = from + 1
	r.RowMessages = append(r.RowMessages, message)
	return nil
}

// readError reads an ErrorResponse. An ErrorResponse can also arrive after a part of a row.
func (r *Response) readError(body []byte) error {
	sqlState, severity := errorFields(body)
	if r.SQLState != "" || len(sqlState) != sqlStateSize || sqlState == StateSuccess {
		return ErrMalformed
	}
	r.SQLState = sqlState
	r.Fatal = severity == SeverityFatal || severity == SeverityPanic
	return nil
}

// loadParameter is the name of the parameter in which a backend reports its load.
const loadParameter = "server_load"

func (r *Response) readParameter(body []byte) {
	name, value, ok := bytes.Cut(body, []byte{0})
	if ok && string(name) == loadParameter {
		r.Load = string(bytes.TrimRight(value, "\x00"))
	}
}

// countAuxiliary counts an authentication, parameter, notice or key message. It returns ErrTooLong if the reply has
// more than maxAuxiliaryMessages of them.
func (r *Response) countAuxiliary() error {
	r.auxiliaryMessages++
	if r.auxiliaryMessages > maxAuxiliaryMessages {
		return ErrTooLong
	}
	return nil
}

const (
	columnCountSize     = 2
	valueLengthSize     = 4
	nullLength          = -1 // length field of a value that is NULL
	columnAttributeSize = 18 // size in bytes of a column's description after the column's name
)

// isOneColumn reports whether the body of a RowDescription describes exactly one column.
func isOneColumn(body []byte) bool {
	name := bytes.IndexByte(body[min(columnCountSize, len(body)):], 0)
	return name >= 0 && binary.BigEndian.Uint16(body) == 1 && len(body) == columnCountSize+name+1+columnAttributeSize
}

// isOneValue reports whether the body of a DataRow holds exactly one value.
func isOneValue(body []byte) bool {
	const fixed = columnCountSize + valueLengthSize
	if len(body) < fixed || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	length := int32(binary.BigEndian.Uint32(body[columnCountSize:]))
	if length == nullLength {
		return len(body) == fixed
	}
	return int(length) == len(body)-fixed && length <= MaxValue
}

// isTerminated reports whether the body of a CommandComplete ends with a zero byte.
func isTerminated(body []byte) bool { return len(body) > 0 && body[len(body)-1] == 0 }

// errorFields returns the SQLSTATE code and the severity of an ErrorResponse. It prefers the field with the severity
// that is never localised.
func errorFields(body []byte) (sqlState, severity string) {
	for len(body) > 1 {
		value, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return "", ""
		}
		switch body[0] {
		case fieldSQLState:
			sqlState = string(value)
		case fieldSeverity:
			if severity == "" {
				severity = string(value)
			}
		case fieldNonlocalizedSeverity:
			severity = string(value)
		}
		body = rest
	}
	return sqlState, severity
}

// RowValue returns the value of the only column of a complete DataRow message. It returns false if the value is NULL or
// the message is malformed.
func RowValue(row []byte) ([]byte, bool) {
	const fixed = HeaderSize + columnCountSize + valueLengthSize
	if len(row) < fixed || row[0] != BackendDataRow || binary.BigEndian.Uint16(row[HeaderSize:]) != 1 {
		return nil, false
	}
	length := int32(binary.BigEndian.Uint32(row[HeaderSize+columnCountSize:]))
	if int64(len(row)) != fixed+int64(length) {
		return nil, false
	}
	return row[fixed:], true
}

// ParseLoad parses a load report, which consists of name=value pairs separated by commas. It returns the values of the
// given columns in their order. A column without a number is 0; without a report, the result is nil.
func ParseLoad(report string, columns []string) []float64 {
	if report == "" {
		return nil
	}
	values := make([]float64, len(columns))
	for pair := range bytes.SplitSeq([]byte(report), []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		for i, column := range columns {
			if column == string(name) {
				values[i], _ = strconv.ParseFloat(string(value), 64) // on an error, ParseFloat returns 0 for text that is not a number
			}
		}
	}
	return values
}
