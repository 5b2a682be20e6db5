package edgenode

import (
	"context"
	"net"
	"strings"
	"time"

	"silvercove/internal/pgwire"
)

// sessionChunkBytes is the maximum number of bytes that a session reads at a time.
const sessionChunkBytes = 4 << 10

// session is one connection for requests: a startup followed by one simple query after another. It is owned by one goroutine.
type session struct {
	node   *Node
	conn   net.Conn
	buffer []byte // bytes read but not processed yet
	chunk  []byte
}

// run answers queries until the client disconnects or the context ends.
func (s *session) run(ctx context.Context) {
	if !s.startup(ctx) || !s.write(pgwire.AuthenticationOK()) {
		return
	}
	for {
		kind, size, err := pgwire.ClientHeader(s.buffer)
		switch {
		case err != nil:
			s.write(pgwire.ErrorResponse("FATAL", pgwire.StateProtocolViolation, err.Error(), ""))
			return
		case kind == 'X':
			return
		case size == 0 || len(s.buffer) < size:
			if !s.read(ctx, idleTimeout) {
				return
			}
			continue
		case kind != 'Q':
			s.write(pgwire.ErrorResponse("FATAL", pgwire.StateNotSupported, "only simple queries are supported", ""))
			return
		case size > pgwire.MaxQuery:
			if !s.write(queryError(pgwire.StateLimitExceeded, "the statement is too long")) {
				return
			}
			s.buffer = s.buffer[size:]
			continue
		}
		text := strings.TrimSuffix(string(s.buffer[pgwire.HeaderSize:size]), "\x00")
		s.buffer = s.buffer[size:]
		if len(s.buffer) == 0 {
			s.buffer = nil
		}
		if !s.write(s.node.answerQuery(ctx, text)) {
			return
		}
	}
}

// startup reads the startup message. It returns false if the connection ended, the message is malformed, or the client sent a cancel
// request.
func (s *session) startup(ctx context.Context) bool {
	for {
		start, size, err := pgwire.ParseStartup(s.buffer)
		switch {
		case err != nil:
			s.write(pgwire.ErrorResponse("FATAL", pgwire.StateProtocolViolation, err.Error(), ""))
			return false
		case size == 0:
			if !s.read(ctx, startupTimeout) {
				return false
			}
		case start == pgwire.StartEncrypted:
			s.buffer = s.buffer[size:]
			if !s.write(pgwire.EncryptionRefused()) {
				return false
			}
		case start == pgwire.StartCancel:
			return false
		default:
			s.buffer = s.buffer[size:]
			return true
		}
	}
}

// read appends the next bytes that arrive within a timeout to the buffer. It returns false if nothing arrived or the context has
// ended. Setting the deadline fails only on a closed connection, on which Read fails too.
func (s *session) read(ctx context.Context, timeout time.Duration) bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(timeout))
	if ctx.Err() != nil {
		return false
	}
	n, err := s.conn.Read(s.chunk)
	s.buffer = append(s.buffer, s.chunk[:n]...)
	return n > 0 || err == nil
}

// write writes a message and reports whether the whole message was written. Setting the deadline fails only on a closed connection,
// on which Write fails too.
func (s *session) write(message []byte) bool {
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.conn.Write(message)
	return err == nil
}

// queryError returns the answer to a query that failed. The session continues after it.
func queryError(state, text string) []byte {
	return append(pgwire.ErrorResponse("ERROR", state, text, ""), pgwire.ReadyForQuery()...)
}
