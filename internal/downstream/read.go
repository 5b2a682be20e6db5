package downstream

import (
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// expired returns a read deadline in the past.
func expired() time.Time { return time.Unix(1, 0) }

// messageDeadline returns the time by which a message that begins now must be complete.
func (s *session) messageDeadline() time.Time { return time.Now().Add(s.server.messageTimeout) }

// nextMessage waits until the header of the next message is buffered. It returns the type of the message and its size
// in bytes, including the header. If ok is false, the session must end.
func (s *session) nextMessage() (kind byte, size int, ok bool) {
	var deadline time.Time
	for {
		kind, size, err := pgwire.ClientHeader(s.conn.Buffered())
		switch {
		case err != nil:
			s.server.Malformed.Add(1)
			if s.awaitReplySlot() {
				s.reply(pgwire.ErrorResponse(pgwire.SeverityFatal, pgwire.StateProtocolViolation, err.Error(), ""))
			}
			return 0, 0, false
		case size > 0:
			return kind, size, true
		case len(s.conn.Buffered()) == 0:
			ok = s.awaitFirstByte()
			deadline = s.messageDeadline()
		default:
			ok = s.fillMore(0, deadline)
		}
		if !ok {
			return 0, 0, false
		}
	}
}

// awaitFirstByte waits for the first byte of a message and reports whether the session goes on. Only awaitFirstByte
// closes a session that is between messages and has no request in progress. It keeps the session if a byte has arrived.
func (s *session) awaitFirstByte() bool {
	for {
		s.server.mu.Lock()
		s.awaitingMessage = true
		s.updateList()
		s.conn.SetReadDeadline(s.idleDeadline())
		s.server.mu.Unlock()
		status := s.fill(0)
		begun := !status.Closed() || status.Reason == transport.DeadlineExceeded && s.conn.Readable()
		s.server.mu.Lock()
		s.awaitingMessage = false
		idleTimeLeft, state := time.Now().Before(s.idleDeadline()), s.closing
		if begun && s.hadRequest {
			s.lastActivity = time.Now()
		}
		s.updateList()
		s.server.mu.Unlock()
		switch {
		case state == aborted:
			return false
		case status.Reason != transport.DeadlineExceeded:
			return s.continueAfterRead(status)
		case begun:
			return s.fillMore(0, s.messageDeadline())
		case !idleTimeLeft:
			return false
		}
	}
}

// idleDeadline returns the time until which the session waits for a message. If the session must end now, that time is
// in the past. While requests are in progress, it is IdleTimeout from now. After CloseIdleSessions, a session that has
// had no request may wait until ContendedTimeout after its last activity, so that a client that has just connected is
// not disconnected at once. In all other cases, the time is IdleTimeout after the last activity. The server's mu must be
// held.
func (s *session) idleDeadline() time.Time {
	limits := &s.server.limits
	switch {
	case s.closing == aborted:
		return expired()
	case len(s.calls) > 0:
		return time.Now().Add(limits.IdleTimeout)
	case s.closing == closingBetweenRequests, s.server.closingIdle && s.hadRequest:
		return expired()
	case s.server.closingIdle:
		return s.lastActivity.Add(limits.ContendedTimeout)
	}
	return s.lastActivity.Add(limits.IdleTimeout)
}

// fillMore waits for more bytes of a message and reports whether the session goes on. want is the size in bytes that
// the input buffer must have room for, or 0 if that is unknown. If the session is being closed, it goes on only if more
// bytes have already arrived.
func (s *session) fillMore(want int, deadline time.Time) bool {
	s.server.mu.Lock()
	s.conn.SetReadDeadline(deadline)
	if s.closing >= closingBetweenRequests {
		s.conn.InterruptRead()
	}
	s.server.mu.Unlock()
	status := s.fill(want)
	s.server.mu.Lock()
	moreArrived := status.Reason == transport.DeadlineExceeded && s.closing != aborted && s.conn.Readable()
	if moreArrived {
		s.conn.SetReadDeadline(s.messageDeadline())
	}
	s.server.mu.Unlock()
	if moreArrived {
		status = s.fill(want)
	}
	return s.continueAfterRead(status)
}

// fill reads once and records when the bytes arrived. If the client has closed the connection, fill reports the close
// even if unread requests precede it, because the client no longer waits for their replies.
func (s *session) fill(want int) transport.CloseStatus {
	status := s.conn.Fill(want)
	age, closed := s.conn.LastReceived()
	s.receivedAt = time.Now().Add(-age)
	if closed {
		status.Reason = transport.ClosedByPeer
	}
	return status
}

// continueAfterRead reports whether the session goes on after a read. If the client has closed the connection, its
// requests are abandoned.
func (s *session) continueAfterRead(status transport.CloseStatus) bool {
	if status.Reason == transport.ClosedByPeer || status.Reason == transport.ConnectionReset {
		s.abandonCalls()
	}
	return !status.Closed()
}

// skipMessage discards a message of size bytes as it arrives. It reports whether the session goes on.
func (s *session) skipMessage(size int) bool {
	deadline := s.messageDeadline()
	for {
		n := min(size, len(s.conn.Buffered()))
		s.conn.Discard(n)
		size -= n
		if size == 0 {
			return true
		}
		if !s.fillMore(0, deadline) {
			return false
		}
	}
}

// readMessage waits until a message of size bytes is complete in the input buffer. It reports whether the session goes
// on.
func (s *session) readMessage(size int) bool {
	deadline := s.messageDeadline()
	for len(s.conn.Buffered()) < size {
		if !s.fillMore(size, deadline) {
			return false
		}
	}
	return true
}
