package downstream

import (
	"time"

	"silvercove/internal/pgwire"
)

// replySlotPoll is the interval at which a session that already has MaxPipelined pending replies checks whether its
// client has disconnected.
const replySlotPoll = 10 * time.Millisecond

// Texts of error responses. They are part of the wire protocol, because clients may depend on them.
const (
	textMalformedStartup  = "malformed startup"
	textUnknownMessage    = "unknown message"
	textExtendedQuery     = "only simple queries are served"
	textQueryTooLong      = "query too long"
	textUnterminatedQuery = "the query has no end"
	textUnknownClass      = "unknown op type"
	textDuplicateID       = "a command of this id is open"
	textNoSpace           = "no room"
	textRejected          = "not now"
	textFailed            = "no answer; it may have run"
)

// awaitReplySlot waits until the session may have one more pending reply, and reports whether the session goes on. It
// reads nothing while it waits, but still detects that the client disconnects.
func (s *session) awaitReplySlot() bool {
	if len(s.pendingReplies) < cap(s.pendingReplies) {
		return true
	}
	poll := time.NewTicker(replySlotPoll)
	defer poll.Stop()
	for {
		select {
		case s.pendingReplies <- struct{}{}: // one more reply fits; the place stays free, because only this goroutine adds replies
			<-s.pendingReplies
			return true
		case <-poll.C:
		}
		_, closed := s.conn.LastReceived()
		if closed || s.isAborted() {
			s.abandonCalls()
			return false
		}
	}
}

// reserveTurn takes the next place in the order of replies. turn is closed once all earlier replies have been written.
// The caller then writes its reply and calls done, which lets the next reply be written.
func (s *session) reserveTurn() (turn <-chan struct{}, done func()) {
	turn, next := s.lastReply, make(chan struct{})
	s.lastReply = next
	s.pendingReplies <- struct{}{}
	return turn, func() {
		<-s.pendingReplies
		close(next)
	}
}

// reply writes an answer after the replies to all earlier messages, and reports whether the session goes on. It does
// not wait for earlier replies that are pending, because the session's goroutine must go on reading to detect that the
// client disconnects.
func (s *session) reply(parts ...[]byte) bool {
	turn, done := s.reserveTurn()
	select {
	case <-turn:
		defer done()
		return s.write(parts...)
	default:
	}
	s.workers.Go(func() {
		defer done()
		<-turn
		s.write(parts...)
	})
	return true
}

// write writes parts to the client. The caller must have waited for its turn. If the client does not read parts within
// messageTimeout, write aborts the session and returns false.
func (s *session) write(parts ...[]byte) bool {
	if s.isAborted() {
		return false
	}
	s.conn.Append(parts...)
	s.conn.SetWriteDeadline(time.Now().Add(s.server.messageTimeout))
	if s.conn.Flush().Closed() {
		s.abort()
		return false
	}
	return true
}

// refuseProtocol answers a protocol violation with an error of severity FATAL. The caller must end the session
// afterwards.
func (s *session) refuseProtocol(text string) {
	s.server.Malformed.Add(1)
	s.reply(pgwire.ErrorResponse(pgwire.SeverityFatal, pgwire.StateProtocolViolation, text, ""))
}

// refuseQuery answers a query that cannot be served with an error. It reports whether the session goes on, which is the
// case unless the client no longer reads.
func (s *session) refuseQuery(sqlState, text string) bool {
	s.server.Malformed.Add(1)
	return s.reply(pgwire.ErrorResponse(pgwire.SeverityError, sqlState, text, ""), pgwire.ReadyForQuery())
}

// rejectForSpace rejects a query because no session slot, request slot or buffer is free. If no session slot was free
// (overLimit), the session ends after the reply.
func (s *session) rejectForSpace() bool {
	s.server.RejectedForSpace.Add(1)
	if s.overLimit {
		s.server.mu.Lock()
		s.beginClosing()
		s.server.mu.Unlock()
	}
	return s.reply(pgwire.ErrorResponse(pgwire.SeverityError, pgwire.StateTooManyConnections, textNoSpace, s.server.retryAfter),
		pgwire.ReadyForQuery())
}

// refuseExtended refuses a function call or a message of an extended query. Of the messages of an extended query, the
// first one is answered with an error, and the later ones are ignored up to the next Sync (PostgreSQL manual, "Extended
// Query"). refuseExtended reports whether the session goes on.
func (s *session) refuseExtended(kind byte, size int) bool {
	if !s.skipMessage(size) {
		return false
	}
	refusal := pgwire.ErrorResponse(pgwire.SeverityError, pgwire.StateNotSupported, textExtendedQuery, "")
	switch {
	case kind == pgwire.FrontendSync:
		s.skippingToSync = false
		return s.reply(pgwire.ReadyForQuery())
	case kind == pgwire.FrontendFunctionCall:
		return s.reply(refusal, pgwire.ReadyForQuery())
	case s.skippingToSync:
		return true
	}
	s.skippingToSync = true
	return s.reply(refusal)
}
