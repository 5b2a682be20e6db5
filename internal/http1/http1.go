// Package http1 formats HTTP/1.1 requests and reads the responses to them (RFC 9112), incrementally and with limits on
// their size.
//
// The package works on bytes alone: no I/O, clock or goroutine. FormatRequest may be called from any goroutine; a
// Response belongs to one goroutine.
package http1

import (
	"errors"
	"strconv"
)

// Limits on a response, in bytes.
const (
	MaxHeader = 8 << 10 // maximum size of the status line and header fields together
	MaxBody   = 4 << 20 // maximum size of a body; a list of tens of thousands of backends fits

	maxChunkLine = 1 << 10 // maximum size of the line with a chunk's size, and of one trailer field
)

// Errors in a response. After any of them, nothing more can be read from the response.
var (
	ErrMalformed = errors.New("malformed response")
	ErrTooLong   = errors.New("response too long")
)

const lineEnd = "\r\n"

// FormatRequest returns a request with a JSON body. If body is empty, the request has no body.
func FormatRequest(method, path, host, body string) []byte {
	request := method + " " + path + " HTTP/1.1" + lineEnd + "Host: " + host + lineEnd
	if body != "" {
		request += "Content-Type: application/json" + lineEnd + "Content-Length: " + strconv.Itoa(len(body)) + lineEnd
	}
	return []byte(request + lineEnd + body)
}
