package http1

import (
	"strconv"
	"strings"
)

const (
	version11 = "HTTP/1.1"
	version10 = "HTTP/1.0"

	statusDigits     = 3
	whitespace       = " \t"
	unknownLength    = -1
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
	connection       = "connection"
)

// Status codes by which parseHeader and startBody decide whether a response has a body (RFC 9110, section 15).
const (
	statusContinue    = 100
	statusOK          = 200
	statusNoContent   = 204
	statusNotModified = 304
)

// bodyFraming holds what the header fields say about where the body ends.
type bodyFraming struct {
	length  int // Content-Length in bytes; unknownLength if there is none
	chunked bool
}

// parseHeader parses a status line and header fields. An informational (1xx) response is ignored: another header
// section follows it (RFC 9110, section 15.2).
func (r *Response) parseHeader(text string) error {
	statusLine, fields, _ := strings.Cut(text, lineEnd)
	status, version, err := parseStatusLine(statusLine)
	if err != nil {
		return err
	}
	if status < statusOK {
		return nil
	}
	r.Status = status
	r.Close = version == version10
	framing, err := r.parseFields(fields)
	if err != nil {
		return err
	}
	return r.startBody(framing)
}

// parseStatusLine parses a status line (RFC 9112, section 4); the reason phrase is ignored.
func parseStatusLine(line string) (status int, version string, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != statusDigits || status < statusContinue {
		return 0, "", ErrMalformed
	}
	if version != version11 && version != version10 {
		return 0, "", ErrMalformed
	}
	return status, version, nil
}

// parseFields parses the header fields (RFC 9112, section 5).
func (r *Response) parseFields(fields string) (bodyFraming, error) {
	framing := bodyFraming{length: unknownLength}
	if fields == "" {
		return framing, nil
	}
	for line := range strings.SplitSeq(fields, lineEnd) {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, whitespace) {
			return framing, ErrMalformed
		}
		value = strings.Trim(value, whitespace)
		switch strings.ToLower(name) {
		case contentLength:
			if err := framing.setLength(value); err != nil {
				return framing, err
			}
		case transferEncoding:
			if !strings.EqualFold(value, "chunked") {
				return framing, ErrMalformed
			}
			framing.chunked = true
		case connection:
			r.Close = r.Close || strings.EqualFold(value, "close")
		}
	}
	return framing, nil
}

// setLength sets the length from a Content-Length field. The field may occur more than once if all values are equal.
func (f *bodyFraming) setLength(value string) error {
	length, err := strconv.ParseUint(value, 10, 31)
	if err != nil || f.length != unknownLength && f.length != int(length) {
		return ErrMalformed
	}
	f.length = int(length)
	return nil
}

// startBody determines where the body ends (RFC 9112, section 6.3). It refuses a response whose body would extend to
// the end of the connection: if such a body were cut short, the reader could not notice.
func (r *Response) startBody(framing bodyFraming) error {
	switch {
	case framing.chunked && framing.length != unknownLength:
		return ErrMalformed // the header fields give both a Content-Length and a chunked Transfer-Encoding
	case framing.chunked:
		r.state = inChunkSize
	case framing.length > MaxBody:
		return ErrTooLong
	case framing.length > 0:
		r.state = inBody
		r.remaining = framing.length
	case framing.length == 0, r.Status == statusNoContent, r.Status == statusNotModified:
		r.Done = true
	default:
		return ErrMalformed
	}
	return nil
}
