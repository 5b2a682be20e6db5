package downstream

import (
	"time"

	"silvercove/internal/pgwire"
)

// replySlotPoll is how often a session that waits for a reply slot looks whether its client has gone.
const replySlotPoll = 10 * time.Millisecond

// Texts of error responses. Clients may have come to know them: they are part of what is on the wire.
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

// awaitReplySlot waits until one more reply may be owed; false: the session has ended. Meanwhile nothing is read; that the
// client goes is seen all the same.
func (s *session) awaitReplySlot() bool {
	if len(s.pendingReplies) < cap(s.pendingReplies) {
		return true
	}
	poll := time.NewTicker(replySlotPoll)
	defer poll.Stop()
	for {
		select {
		case s.pendingReplies <- struct{}{}: // there is a slot; it stays free, as only this goroutine takes one
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

// reserveTurn takes the next place in the order of replies: turn is closed once the replies before it have been written, and
// done lets the next one have its turn.
func (s *session) reserveTurn() (turn <-chan struct{}, done func()) {
	turn, next := s.lastReply, make(chan struct{})
	s.lastReply = next
	s.pendingReplies <- struct{}{}
	return turn, func() {
		<-s.pendingReplies
		close(next)
	}
}

// reply answers after the replies to what came before; false ends the session. The session's goroutine does not wait for
// those: it has to see the client go.
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

// write sends bytes in the turn that the caller has. A client that does not take them in time loses its session, and false
// comes back.
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

// refuseProtocol tells of a violation of the protocol after which the session ends.
func (s *session) refuseProtocol(text string) {
	s.server.Malformed.Add(1)
	s.reply(pgwire.ErrorResponse(pgwire.SeverityFatal, pgwire.StateProtocolViolation, text, ""))
}

// refuseQuery answers a query that can't be served; the session goes on.
func (s *session) refuseQuery(sqlState, text string) bool {
	s.server.Malformed.Add(1)
	return s.reply(pgwire.ErrorResponse(pgwire.SeverityError, sqlState, text, ""), pgwire.ReadyForQuery())
}

// rejectForSpace rejects a query for which there is no slot or buffer. A session beyond the limit ends with it.
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

// refuseExtended refuses the messages of extended queries: the first one with an error, the others up to the next Sync in
// silence (PostgreSQL manual, "Extended Query").
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
