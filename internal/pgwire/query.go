package pgwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"time"
)

// Query is one request, parsed from a client's statement: a SELECT or an INSERT of one key, and a comment with the
// names and values that say how the request is to be routed.
type Query struct {
	Write         bool
	Key           string
	ID            string        // the request's ID, chosen by the client
	Class         string        // the request class
	Tenant        string        // the client's tenant; empty if the comment names none
	Timeout       time.Duration // how long the client waits for the reply after it has sent the query
	EstimatedWork time.Duration // the client's estimate of the work; 0 if there is none
	ClientRetry   bool          // whether the client has already sent this request

	text    []byte // the statement
	timeout Span   // the part of text that holds the timeout's value
}

// Names in the statement's comment.
const (
	nameID            = "id"
	nameClass         = "c"
	nameTenant        = "t"
	nameTimeout       = "d" // timeout in milliseconds
	nameEstimatedWork = "h" // estimated work in microseconds
	nameClientRetry   = "r" // 1 if the request is a retry
)

// QueryError is the reason for which a query is refused.
type QueryError struct {
	SQLState string
	Text     string // error message for the client
}

// Error returns the code and the text.
func (e *QueryError) Error() string { return e.SQLState + " " + e.Text }

func errUnsupportedStatement() *QueryError {
	return &QueryError{StateSyntaxError, "no statement of the two forms"}
}

// Fixed parts of the two forms of a statement: a SELECT before and after its key, and an INSERT before its key, between
// key and value, and after the value.
const (
	selectBeforeKey   = "SELECT content FROM kv WHERE name = '"
	selectAfterKey    = "' /* "
	insertBeforeKey   = "INSERT INTO kv (name, content) VALUES ('"
	insertBeforeValue = `', '\x`
	insertAfterValue  = "') RETURNING content /* "
	commentEnd        = " */"
)

const maxKey = 256 // largest size of a key in bytes

// ParseQuery parses a statement of one of the two forms. The Query keeps text, which must not change afterwards. The
// names in the comment may come in any order; unknown names are ignored.
func ParseQuery(text []byte) (*Query, *QueryError) {
	q := &Query{text: text}
	commentStart, queryErr := q.parseStatement()
	if queryErr != nil {
		return nil, queryErr
	}
	comment, ok := bytes.CutSuffix(text[commentStart:], []byte(commentEnd))
	if !ok || bytes.Contains(comment, []byte("*/")) {
		return nil, &QueryError{StateSyntaxError, "the comment does not end the statement"}
	}
	return q, q.parseComment(Span{commentStart, commentStart + len(comment)})
}

// parseStatement parses the statement up to its comment, and returns the index at which the comment starts.
func (q *Query) parseStatement() (commentStart int, queryErr *QueryError) {
	switch {
	case bytes.HasPrefix(q.text, []byte(selectBeforeKey)):
		end, ok := q.parseKey(len(selectBeforeKey), selectAfterKey)
		if !ok {
			return 0, errUnsupportedStatement()
		}
		return end, nil
	case bytes.HasPrefix(q.text, []byte(insertBeforeKey)):
		q.Write = true
		valueStart, ok := q.parseKey(len(insertBeforeKey), insertBeforeValue)
		if !ok {
			return 0, errUnsupportedStatement()
		}
		return q.skipValue(valueStart)
	}
	return 0, errUnsupportedStatement()
}

// parseKey parses the key, a plain name that ends before the next quote. The text from that quote on must begin with
// suffix. parseKey returns the index after suffix.
func (q *Query) parseKey(start int, suffix string) (end int, ok bool) {
	size := bytes.IndexByte(q.text[start:], '\'')
	if size < 0 || size > maxKey || !bytes.HasPrefix(q.text[start+size:], []byte(suffix)) {
		return 0, false
	}
	q.Key = string(q.text[start : start+size])
	return start + size + len(suffix), true
}

// skipValue checks the value of an INSERT. The value must have two hexadecimal digits for each byte. skipValue returns
// the index at which the statement's comment starts.
func (q *Query) skipValue(start int) (commentStart int, queryErr *QueryError) {
	digits := 0
	for start+digits < len(q.text) && isHexDigit(q.text[start+digits]) {
		digits++
	}
	end := start + digits
	if digits%2 != 0 || !bytes.HasPrefix(q.text[end:], []byte(insertAfterValue)) {
		return 0, errUnsupportedStatement()
	}
	if hex.DecodedLen(digits) > MaxValue {
		return 0, &QueryError{StateLimitExceeded, "the value is longer than 64 KiB"}
	}
	return end + len(insertAfterValue), nil
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// parseComment parses the names and values in the comment.
func (q *Query) parseComment(comment Span) *QueryError {
	seen := map[string]bool{}
	for at := comment.Start; at <= comment.End; {
		end := comment.End
		if i := bytes.IndexByte(q.text[at:end], ','); i >= 0 {
			end = at + i
		}
		name, value, ok := bytes.Cut(q.text[at:end], []byte("="))
		if !ok || len(name) == 0 || seen[string(name)] {
			return &QueryError{StateSyntaxError, "the comment holds no list of names and values"}
		}
		seen[string(name)] = true
		if !q.set(string(name), value, end) {
			return &QueryError{StateInvalidParameter, "bad value of " + string(name) + " in the comment"}
		}
		at = end + 1
	}
	for _, name := range []string{nameID, nameClass, nameTimeout} {
		if !seen[name] {
			return &QueryError{StateInvalidParameter, "the comment names no " + name}
		}
	}
	return nil
}

// set stores one value of the comment. end is the index in the statement at which the value ends. set returns false if
// the value is invalid.
func (q *Query) set(name string, value []byte, end int) (ok bool) {
	switch name {
	case nameID:
		q.ID = string(value)
		return len(value) > 0
	case nameClass:
		q.Class = string(value)
	case nameTenant:
		q.Tenant = string(value)
	case nameTimeout:
		q.timeout = Span{end - len(value), end}
		q.Timeout, ok = parseDuration(value, time.Millisecond)
		return ok
	case nameEstimatedWork:
		q.EstimatedWork, ok = parseDuration(value, time.Microsecond)
		return ok
	case nameClientRetry:
		q.ClientRetry = string(value) == "1"
	}
	return true
}

// durationBits is the size in bits of the largest number that parseDuration accepts. If the unit is a millisecond or
// less, no number of this size overflows a time.Duration.
const durationBits = 40

// parseDuration parses a decimal number of units. It ignores the digits after the decimal point.
func parseDuration(value []byte, unit time.Duration) (d time.Duration, ok bool) {
	whole, fraction, _ := bytes.Cut(value, []byte("."))
	if !isDigits(whole) || !isDigits(fraction) {
		return 0, false
	}
	n, err := strconv.ParseInt(string(whole), 10, durationBits)
	return time.Duration(n) * unit, err == nil
}

func isDigits(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// Value returns the value in a write's statement, or nil for a read.
func (q *Query) Value() []byte {
	if !q.Write {
		return nil
	}
	digits := q.text[len(insertBeforeKey)+len(q.Key)+len(insertBeforeValue):]
	digits = digits[:bytes.IndexByte(digits, '\'')]
	value := make([]byte, hex.DecodedLen(len(digits)))
	_, _ = hex.Decode(value, digits) // ParseQuery has checked the digits
	return value
}

// Forward returns the Query message for a backend, in pieces that are to be written one after another. The statement is
// unchanged except for the timeout. The timeout is rounded down to milliseconds, but is at least 1 ms.
func (q *Query) Forward(timeout time.Duration) [][]byte {
	milliseconds := strconv.AppendInt(nil, max(1, timeout.Milliseconds()), 10)
	length := lengthSize + len(q.text) - q.timeout.size() + len(milliseconds) + 1
	header := binary.BigEndian.AppendUint32([]byte{FrontendQuery}, uint32(length))
	return [][]byte{header, q.text[:q.timeout.Start], milliseconds, q.text[q.timeout.End:], {0}}
}
