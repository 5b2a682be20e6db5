package edgenode

import (
	"context"
	"net"
	"strings"
	"time"

	"silvercove/internal/pgwire"
)

// sessionChunkBytes is how many bytes a session reads at a time.
const sessionChunkBytes = 4 << 10

// session is one connection for requests: a startup, then one simple query after another. One goroutine owns it.
type session struct {
	node   *Node
	conn   net.Conn
	buffer []byte // what was read and not used yet
	chunk  []byte
}

// run answers until the client or the context ends.
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
			s.write(pgwire.ErrorResponse("FATAL", pgwire.StateNotSupported, "simple queries alone are spoken here", ""))
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

// startup reads the startup message. It returns false where the client ended, or is no client for queries.
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

// read appends what comes within a time to the buffer. It returns false where nothing comes any more. A deadline that can't be
// set is that of a closed connection, whose Read fails.
func (s *session) read(ctx context.Context, timeout time.Duration) bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(timeout))
	if ctx.Err() != nil {
		return false
	}
	n, err := s.conn.Read(s.chunk)
	s.buffer = append(s.buffer, s.chunk[:n]...)
	return n > 0 || err == nil
}

// write returns whether a message was written whole. A deadline that can't be set is that of a closed connection.
func (s *session) write(message []byte) bool {
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.conn.Write(message)
	return err == nil
}

// queryError is the answer to a query that failed, after which the session goes on.
func queryError(state, text string) []byte {
	return append(pgwire.ErrorResponse("ERROR", state, text, ""), pgwire.ReadyForQuery()...)
}
