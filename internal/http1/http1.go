// Package http1 writes HTTP/1.1 requests and reads their responses (RFC 9112), incrementally and within bounds.
//
// It works on bytes alone: no I/O, clock or goroutine. FormatRequest may be called from any goroutine; a Response belongs to
// one.
package http1

import (
	"errors"
	"strconv"
)

// Limits on what is read, in bytes.
const (
	MaxHeader = 8 << 10 // of a status line and its header fields
	MaxBody   = 4 << 20 // of a body; a list of tens of thousands of backends has its place there

	maxChunkLine = 1 << 10 // of a chunk's size line or a trailer field
)

// Errors in what came. Nothing more can be read after any of these.
var (
	ErrMalformed = errors.New("malformed answer")
	ErrTooLong   = errors.New("answer too long")
)

const lineEnd = "\r\n"

// FormatRequest is a request with a JSON body; with an empty one it has no body.
func FormatRequest(method, path, host, body string) []byte {
	request := method + " " + path + " HTTP/1.1" + lineEnd + "Host: " + host + lineEnd
	if body != "" {
		request += "Content-Type: application/json" + lineEnd + "Content-Length: " + strconv.Itoa(len(body)) + lineEnd
	}
	return []byte(request + lineEnd + body)
}
