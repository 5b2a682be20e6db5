package downstream

import (
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// expired is a read deadline that has long passed.
func expired() time.Time { return time.Unix(1, 0) }

// messageDeadline is when a message that begins now has to be complete.
func (s *session) messageDeadline() time.Time { return time.Now().Add(s.server.messageTimeout) }

// nextMessage waits for the header of the next message: its type and its size in bytes, header included. False ends the
// session.
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

// awaitFirstByte waits for the first byte of a message; false ends the session. Only here this side closes a session that
// has no request in work, and not if a byte has come by then.
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

// idleDeadline is until when a session waits for a message: while requests are in work, always a little longer. A client
// that came just before the end of all sessions and has asked nothing yet is not turned away at once. The server's mu is
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

// fillMore waits for more of a message, up to want bytes in all if that is known (0: any); false ends the session. A session
// that is to be closed meanwhile ends if nothing more has come by then.
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

// fill reads once, and notes when the bytes came. A close counts also where it came behind requests that are not read yet:
// nobody waits for those.
func (s *session) fill(want int) transport.CloseStatus {
	status := s.conn.Fill(want)
	age, closed := s.conn.LastReceived()
	s.receivedAt = time.Now().Add(-age)
	if closed {
		status.Reason = transport.ClosedByPeer
	}
	return status
}

// continueAfterRead reports whether a session goes on after a read. A client that has closed has left its requests.
func (s *session) continueAfterRead(status transport.CloseStatus) bool {
	if status.Reason == transport.ClosedByPeer || status.Reason == transport.ConnectionReset {
		s.abandonCalls()
	}
	return !status.Closed()
}

// skipMessage drops a message of so many bytes without keeping it; false ends the session.
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

// readMessage reads a message of so many bytes into the buffer; false ends the session.
func (s *session) readMessage(size int) bool {
	deadline := s.messageDeadline()
	for len(s.conn.Buffered()) < size {
		if !s.fillMore(size, deadline) {
			return false
		}
	}
	return true
}
