package pgwire

import (
	"bytes"
	"encoding/binary"
	"strconv"
)

// Query is one command as a client's statement words it.
type Query struct {
	Write           bool
	Key             string
	ID              string
	Class           string
	Tenant          string
	WaitMs          int64 // how long the client waits, counted from when it sent
	EstimatedWorkUs int64 // its guess at the work; 0: none
	ClientRetry     bool

	text     []byte // the statement
	from, to int    // where the value of d stands in it
}

// QueryError is why a query is turned down: a SQLSTATE and a few words.
type QueryError struct{ SQLState, Text string }

func (f *QueryError) Error() string { return f.SQLState + " " + f.Text }

var (
	selects = [2]string{"SELECT content FROM kv WHERE name = '", "' /* "}
	inserts = [3]string{"INSERT INTO kv (name, content) VALUES ('", `', '\x`, "') RETURNING content /* "}
)

// ParseQuery reads a statement of one of the two forms. Names of the comment may come in any order.
func ParseQuery(text []byte) (*Query, *QueryError) {
	q := &Query{text: text}
	at, ok := 0, false
	switch {
	case bytes.HasPrefix(text, []byte(selects[0])):
		at = len(selects[0])
		if q.Key, at, ok = quoted(text, at, selects[1]); !ok {
			return nil, &QueryError{StateSyntaxError, "no statement of the two forms"}
		}
	case bytes.HasPrefix(text, []byte(inserts[0])):
		q.Write = true
		at = len(inserts[0])
		if q.Key, at, ok = quoted(text, at, inserts[1]); !ok {
			return nil, &QueryError{StateSyntaxError, "no statement of the two forms"}
		}
		n := 0
		for at+n < len(text) && hex(text[at+n]) {
			n++
		}
		if n%2 != 0 || !bytes.HasPrefix(text[at+n:], []byte(inserts[2])) {
			return nil, &QueryError{StateSyntaxError, "no statement of the two forms"}
		}
		if n/2 > MaxValue {
			return nil, &QueryError{StateLimitExceeded, "the value is longer than 64 KiB"}
		}
		at += n + len(inserts[2])
	default:
		return nil, &QueryError{StateSyntaxError, "no statement of the two forms"}
	}
	end, ok := bytes.CutSuffix(text[at:], []byte(" */"))
	if !ok || bytes.Contains(end, []byte("*/")) {
		return nil, &QueryError{StateSyntaxError, "the comment does not end the statement"}
	}
	return q, q.names(at, at+len(end))
}

// names reads the comment's names and values.
func (q *Query) names(at, end int) *QueryError {
	seen := map[string]bool{}
	for at <= end {
		stop := end
		if i := bytes.IndexByte(q.text[at:end], ','); i >= 0 {
			stop = at + i
		}
		name, value, ok := bytes.Cut(q.text[at:stop], []byte("="))
		if !ok || len(name) == 0 || seen[string(name)] {
			return &QueryError{StateSyntaxError, "the comment holds no list of names and values"}
		}
		seen[string(name)] = true
		bad := false
		switch string(name) {
		case "id":
			q.ID, bad = string(value), len(value) == 0
		case "c":
			q.Class = string(value)
		case "t":
			q.Tenant = string(value)
		case "d":
			q.from, q.to = stop-len(value), stop
			q.WaitMs, bad = number(value)
		case "h":
			q.EstimatedWorkUs, bad = number(value)
		case "r":
			q.ClientRetry = string(value) == "1"
		}
		if bad {
			return &QueryError{StateInvalidParameter, "bad value of " + string(name) + " in the comment"}
		}
		at = stop + 1
	}
	for _, name := range []string{"id", "c", "d"} {
		if !seen[name] {
			return &QueryError{StateInvalidParameter, "the comment names no " + name}
		}
	}
	return nil
}

// number reads a whole number; a fraction is dropped.
func number(value []byte) (n int64, bad bool) {
	whole, fraction, _ := bytes.Cut(value, []byte("."))
	for _, c := range append(bytes.Clone(whole), fraction...) {
		if c < '0' || c > '9' {
			return 0, true
		}
	}
	n, err := strconv.ParseInt(string(whole), 10, 40)
	return n, err != nil
}

// quoted reads a plain name up to its quote, which what must follow.
func quoted(text []byte, at int, follows string) (string, int, bool) {
	const longest = 256
	n := bytes.IndexByte(text[at:], '\'')
	if n < 0 || n > longest || !bytes.HasPrefix(text[at+n:], []byte(follows)) {
		return "", 0, false
	}
	return string(text[at : at+n]), at + n + len(follows), true
}

// Value is the value that a write's statement holds.
func (q *Query) Value() []byte {
	if !q.Write {
		return nil
	}
	text := q.text[len(inserts[0])+len(q.Key)+len(inserts[1]):]
	end := bytes.IndexByte(text, '\'')
	content := make([]byte, end/2)
	for i := range content {
		content[i] = digit(text[2*i])<<4 | digit(text[2*i+1])
	}
	return content
}

func digit(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c&^0x20 - 'A' + 10
}

func hex(c byte) bool { return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' }

// Forward is the query for a unit, as it came but for d, in pieces to be written one after another.
func (q *Query) Forward(waitMs int64) [][]byte {
	d := strconv.AppendInt(nil, max(1, waitMs), 10)
	size := 4 + q.from + len(d) + len(q.text) - q.to + 1
	start := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(size))
	return [][]byte{start, q.text[:q.from], d, q.text[q.to:], {0}}
}
