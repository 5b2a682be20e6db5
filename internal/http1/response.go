package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// Response parses one response. Its zero value is ready for the first byte. It skips informational (1xx) responses that
// precede the response.
type Response struct {
	Status int  // status code; 0 until the header section has arrived
	Close  bool // whether the server closes the connection after the response
	Done   bool // whether the response is complete

	state     state
	remaining int  // number of bytes of the body, or of the current chunk, that have not arrived yet
	bodySize  int  // number of bytes of the body that have arrived
	unbounded bool // whether a chunked body may be longer than MaxBody
}

// state is the part of a response that Read expects next.
type state uint8

const (
	inHeader    state = iota // the status line and the header fields
	inBody                   // a body that is not chunked
	inChunkSize              // the size line of a chunk
	inChunk                  // a chunk's data
	inChunkEnd               // the line end after a chunk's data
	inTrailer                // trailer fields, or the empty line that ends them
)

// NewStream returns a Response for a stream: a chunked body of any size.
func NewStream() *Response { return &Response{unbounded: true} }

// Read parses as much of in as it can and appends the bytes of the body to the slice body. It returns how many bytes of
// in it has used, and the extended slice. The caller passes the unused bytes again, together with the bytes that arrive
// after them. An error is ErrMalformed or ErrTooLong.
func (r *Response) Read(in, body []byte) (used int, out []byte, err error) {
	for !r.Done {
		n, more, err := r.step(in[used:], &body)
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

// step parses the header section, one line, or one piece of the body. more is false if the next step needs more bytes
// than have arrived.
func (r *Response) step(in []byte, body *[]byte) (used int, more bool, err error) {
	switch r.state {
	case inHeader:
		return r.takeHeader(in)
	case inBody, inChunk:
		return r.takeData(in, body)
	}
	return r.takeLine(in)
}

func (r *Response) takeHeader(in []byte) (used int, more bool, err error) {
	const end = lineEnd + lineEnd
	size, err := indexWithin(in, end, MaxHeader)
	if err != nil || size < 0 {
		return 0, false, err
	}
	return size + len(end), true, r.parseHeader(string(in[:size]))
}

// indexWithin returns the index of a separator that ends within the first limit bytes. The index is -1 if the separator
// has not arrived. The error is ErrTooLong if limit bytes have arrived without the separator.
func indexWithin(in []byte, separator string, limit int) (int, error) {
	at := bytes.Index(in[:min(len(in), limit)], []byte(separator))
	if at < 0 && len(in) >= limit {
		return at, ErrTooLong
	}
	return at, nil
}

// takeData reads the bytes of a body or a chunk that have arrived.
func (r *Response) takeData(in []byte, body *[]byte) (used int, more bool, err error) {
	n := min(r.remaining, len(in))
	r.bodySize += n
	if r.bodySize > MaxBody && !r.unbounded {
		return 0, false, ErrTooLong
	}
	*body = append(*body, in[:n]...)
	r.remaining -= n
	if r.remaining > 0 {
		return n, false, nil
	}
	if r.state == inBody {
		r.Done = true
		return n, true, nil
	}
	r.state = inChunkEnd
	return n, true, nil
}

// takeLine reads the size line of a chunk, the line end after a chunk, or a trailer field.
func (r *Response) takeLine(in []byte) (used int, more bool, err error) {
	size, err := indexWithin(in, lineEnd, maxChunkLine)
	if err != nil || size < 0 {
		return 0, false, err
	}
	line := string(in[:size])
	switch r.state {
	case inChunkEnd:
		if line != "" {
			return 0, false, ErrMalformed
		}
		r.state = inChunkSize
	case inChunkSize:
		if err := r.parseChunkSize(line); err != nil {
			return 0, false, err
		}
	case inTrailer:
		r.Done = line == ""
	}
	return size + len(lineEnd), true, nil
}

// parseChunkSize parses the size line of a chunk, whose extensions are ignored (RFC 9112, section 7.1). A size of 0
// ends the body.
func (r *Response) parseChunkSize(line string) error {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
	if err != nil {
		return ErrMalformed
	}
	if size > MaxBody {
		return ErrTooLong
	}
	r.remaining = int(size)
	r.state = inChunk
	if size == 0 {
		r.state = inTrailer
	}
	return nil
}
