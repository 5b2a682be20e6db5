// Package http1 writes HTTP/1.1 requests and reads their answers, incrementally and within bounds.
// It works on bytes alone.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits on what is read.
const (
	MaxHeader = 8 << 10
	MaxBody   = 4 << 20 // a list of tens of thousands of units
)

// Errors in what came.
var (
	ErrMalformed = errors.New("malformed answer")
	ErrTooLong   = errors.New("answer too long")
)

// FormatRequest words a request; without a body it has none.
func FormatRequest(method, path, host, body string) []byte {
	b := append([]byte(nil), method+" "+path+" HTTP/1.1\r\nHost: "+host+"\r\n"...)
	if body != "" {
		b = append(b, "Content-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}

// Response reads one answer. Its zero value is ready for the first byte.
type Response struct {
	Status int
	Close  bool // the connection ends with it
	Done   bool

	state   state
	left    int // of the body or the chunk
	total   int
	chunked bool
	endless bool // a chunked body may go on for ever
}

type state uint8

const (
	inHead state = iota
	inBody
	inSize
	inChunk
	afterChunk
	inTrailer
)

// NewStream is an answer whose chunks may go on for ever.
func NewStream() *Response { return &Response{endless: true} }

// Read takes what it can of the bytes that have come. It tells how many it used and adds what
// belongs to the body to body.
func (a *Response) Read(in, body []byte) (used int, out []byte, err error) {
	for !a.Done {
		n, more, err := a.one(in[used:], &body)
		if err != nil {
			return used, body, err
		}
		used += n
		if !more {
			break
		}
	}
	return used, body, nil
}

// one takes one line, or one stretch of the body; more: another may follow at once.
func (a *Response) one(in []byte, body *[]byte) (used int, more bool, err error) {
	switch a.state {
	case inHead:
		end := bytes.Index(in[:min(len(in), MaxHeader)], []byte("\r\n\r\n"))
		if end < 0 {
			if len(in) >= MaxHeader {
				return 0, false, ErrTooLong
			}
			return 0, false, nil
		}
		return end + 4, true, a.head(string(in[:end]))
	case inBody, inChunk:
		n := min(a.left, len(in))
		if a.total += n; a.total > MaxBody && !a.endless {
			return 0, false, ErrTooLong
		}
		*body = append(*body, in[:n]...)
		a.left -= n
		if a.left > 0 {
			return n, false, nil
		}
		if a.Done = a.state == inBody; !a.Done {
			a.state = afterChunk
		}
		return n, true, nil
	}
	return a.line(in)
}

// line takes a line between chunks.
func (a *Response) line(in []byte) (used int, more bool, err error) {
	const longest = 1 << 10
	end := bytes.Index(in[:min(len(in), longest)], []byte("\r\n"))
	if end < 0 {
		if len(in) >= longest {
			return 0, false, ErrTooLong
		}
		return 0, false, nil
	}
	text := string(in[:end])
	switch a.state {
	case afterChunk:
		if text != "" {
			return 0, false, ErrMalformed
		}
		a.state = inSize
	case inSize:
		digits, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
		if err != nil {
			return 0, false, ErrMalformed
		}
		if n > MaxBody {
			return 0, false, ErrTooLong
		}
		if a.left, a.state = int(n), inChunk; n == 0 {
			a.state = inTrailer
		}
	case inTrailer:
		a.Done = text == ""
	}
	return end + 2, true, nil
}

func (a *Response) head(text string) error {
	lines := strings.Split(text, "\r\n")
	version, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return ErrMalformed
	}
	if status < 200 {
		return nil // another head follows
	}
	a.Status, a.Close = status, version == "HTTP/1.0"
	length := -1
	for _, l := range lines[1:] {
		name, value, ok := strings.Cut(l, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return ErrMalformed
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return ErrMalformed
			}
			length = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return ErrMalformed
			}
			a.chunked = true
		case "connection":
			a.Close = a.Close || strings.EqualFold(value, "close")
		}
	}
	switch {
	case a.chunked && length >= 0:
		return ErrMalformed // two lengths
	case a.chunked:
		a.state = inSize
	case length > MaxBody:
		return ErrTooLong
	case length > 0:
		a.state, a.left = inBody, length
	case length == 0, status == 204, status == 304:
		a.Done = true
	default:
		return ErrMalformed // its end could not be told
	}
	return nil
}
