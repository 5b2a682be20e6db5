package pgwire

import "encoding/binary"

// transactionIdle is the transaction status in ReadyForQuery outside of a transaction.
const transactionIdle = 'I'

// ReadyForQuery returns a ReadyForQuery message with the status outside of a transaction.
func ReadyForQuery() []byte {
	return appendMessage(nil, BackendReadyForQuery, []byte{transactionIdle})
}

// EmptyQueryResponse returns the reply to an empty query: EmptyQueryResponse and ReadyForQuery.
func EmptyQueryResponse() []byte {
	return append(appendMessage(nil, BackendEmptyQueryResponse, nil), ReadyForQuery()...)
}

// Terminate returns the message that ends a session.
func Terminate() []byte { return appendMessage(nil, FrontendTerminate, nil) }

// Fields of an ErrorResponse (PostgreSQL manual, "Error and Notice Message Fields").
const (
	fieldSeverity             = 'S' // the severity, which may be localised
	fieldNonlocalizedSeverity = 'V' // the severity, never localised
	fieldSQLState             = 'C'
	fieldMessage              = 'M'
	fieldDetail               = 'D'
	errorResponseCapacity     = 64 // initial capacity of the buffer in bytes
)

// ErrorResponse returns an ErrorResponse message. An empty detail is omitted.
func ErrorResponse(severity, sqlState, text, detail string) []byte {
	body := make([]byte, 0, errorResponseCapacity)
	body = appendField(body, fieldSeverity, severity)
	body = appendField(body, fieldNonlocalizedSeverity, severity)
	body = appendField(body, fieldSQLState, sqlState)
	body = appendField(body, fieldMessage, text)
	if detail != "" {
		body = appendField(body, fieldDetail, detail)
	}
	return appendMessage(nil, BackendErrorResponse, append(body, 0))
}

func appendField(body []byte, field byte, value string) []byte {
	body = append(body, field)
	body = append(body, value...)
	return append(body, 0)
}

// SimpleQuery returns a Query message.
func SimpleQuery(text string) []byte {
	return appendMessage(nil, FrontendQuery, append([]byte(text), 0))
}

// columnDescription is the body of the RowDescription for rows with a single column. The column belongs to no table and
// has the type bytea, a variable size, no type modifier and binary format.
const columnDescription = "\x00\x01content\x00" + // one column with the name content
	"\x00\x00\x00\x00" + "\x00\x00" + // the column belongs to no table and has no attribute number there
	"\x00\x00\x00\x11" + "\xff\xff" + // the type is bytea, and its size is variable
	"\xff\xff\xff\xff" + "\x00\x01" // no type modifier; the format code 1 means binary

// DataRow returns a reply with one row of one column, in binary: RowDescription, DataRow, CommandComplete with the
// command tag, and ReadyForQuery.
func DataRow(value []byte, tag string) []byte {
	b := appendMessage(nil, BackendRowDescription, []byte(columnDescription))
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b = appendMessage(b, BackendDataRow, append(body, value...))
	return append(b, CommandComplete(tag)...)
}

// CommandComplete returns the reply to a statement without a row: CommandComplete with the command tag, and
// ReadyForQuery.
func CommandComplete(tag string) []byte {
	return append(appendMessage(nil, BackendCommandComplete, append([]byte(tag), 0)), ReadyForQuery()...)
}
