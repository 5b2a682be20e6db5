package downstream

import (
	"bytes"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/upstream"
)

// handleQuery reads one query and starts its request, or answers at once a query that cannot be served. It reports
// whether the session goes on.
func (s *session) handleQuery(size int) bool {
	if size > pgwire.MaxQuery {
		return s.skipMessage(size) && s.refuseQuery(pgwire.StateLimitExceeded, textQueryTooLong)
	}
	if s.overLimit || !s.server.buffers.Reserve(size) {
		return s.skipMessage(size) && s.rejectForSpace()
	}
	if !s.readMessage(size) {
		s.server.buffers.Release(size)
		return false
	}
	text, terminated := bytes.CutSuffix(bytes.Clone(s.conn.Buffered()[pgwire.HeaderSize:size]), []byte{0})
	s.conn.Discard(size)
	started, ok := s.startRequest(text, terminated, size)
	if !started {
		s.server.buffers.Release(size)
	}
	return ok
}

// startRequest starts a goroutine that serves the request of a query. The goroutine then releases the size bytes that
// are reserved for the query's buffer. A query that yields no request is answered at once, and started is false. If ok
// is false, the session must end.
func (s *session) startRequest(text []byte, terminated bool, size int) (started, ok bool) {
	if terminated && len(bytes.Trim(text, " ;\t\r\n")) == 0 {
		return false, s.reply(pgwire.EmptyQueryResponse())
	}
	query, queryErr := pgwire.ParseQuery(text)
	switch {
	case queryErr != nil:
		return false, s.refuseQuery(queryErr.SQLState, queryErr.Text)
	case !terminated:
		return false, s.refuseQuery(pgwire.StateProtocolViolation, textUnterminatedQuery)
	}
	call, known := s.server.dispatcher.Accept(s.newRequest(query))
	if !known {
		return false, s.refuseQuery(pgwire.StateInvalidParameter, textUnknownClass)
	}
	switch s.register(call, query.ID) {
	case duplicateID: // refuse: the request in progress with this ID may be another client's, whose reply this client must not get
		return false, s.refuseQuery(pgwire.StateInvalidParameter, textDuplicateID)
	case tooManyRequests:
		return false, s.rejectForSpace()
	}
	turn, done := s.reserveTurn()
	s.workers.Go(func() {
		s.serveRequest(call, query, turn)
		done()
		s.unregister(call)
		s.server.buffers.Release(size)
	})
	return true, true
}

// newRequest returns the dispatcher's request for a query. After StopBefore, the request times out at stopAt at the
// latest, because the process may be killed after that time, and the request would get no reply.
func (s *session) newRequest(query *pgwire.Query) dispatch.Request {
	timeout := query.Timeout
	s.server.mu.Lock()
	if !s.server.stopAt.IsZero() {
		timeout = min(timeout, s.server.stopAt.Sub(s.receivedAt))
	}
	s.server.mu.Unlock()
	return dispatch.Request{
		Class:         query.Class,
		Tenant:        query.Tenant,
		Key:           query.Key,
		ReceivedAt:    s.receivedAt,
		Timeout:       timeout,
		EstimatedWork: query.EstimatedWork,
		Write:         query.Write,
		ClientRetry:   query.ClientRetry,
		ClientClosed:  s.conn.PeerClosed,
	}
}

// registration is the result of registering a request.
type registration uint8

const (
	registered registration = iota
	duplicateID
	tooManyRequests
)

// register records a request as in progress, if its ID is unused and a request slot is free.
func (s *session) register(call *dispatch.Call, id string) registration {
	srv := s.server
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if _, taken := srv.requestIDs[id]; taken {
		return duplicateID
	}
	if len(srv.requestIDs) >= srv.limits.MaxRequests {
		return tooManyRequests
	}
	srv.requestIDs[id] = struct{}{}
	s.calls[call] = struct{}{}
	s.hadRequest = true
	s.updateList()
	return registered
}

// unregister records that a request has ended. If it was the last request of a session that is being closed, unregister
// interrupts the wait for the next message, so that the session ends.
func (s *session) unregister(call *dispatch.Call) {
	srv := s.server
	srv.mu.Lock()
	defer srv.mu.Unlock()
	delete(s.calls, call)
	if len(s.calls) > 0 {
		return
	}
	s.lastActivity = time.Now()
	s.updateList()
	if s.awaitingMessage && (s.closing >= closingBetweenRequests || srv.closingIdle) {
		s.conn.InterruptRead()
	}
}

// releaseID makes a request's ID available again. It is called before the client has the reply, because the client may
// reuse the ID as soon as it has the reply.
func (s *session) releaseID(id string) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	delete(s.server.requestIDs, id)
}

// serveRequest runs the attempts that the dispatcher asks for, and writes the reply in its turn.
func (s *session) serveRequest(call *dispatch.Call, query *pgwire.Query, turn <-chan struct{}) {
	dispatcher := s.server.dispatcher
	step := dispatcher.Next(call)
	for step.Attempt != nil {
		reply := s.server.pool.Attempt(step.Attempt, query)
		if dispatcher.Report(step.Attempt, reply.SQLState, reply.Status, reply.Load) {
			s.forwardReply(query.ID, reply, turn)
			return
		}
		reply.Release()
		step = dispatcher.Next(call)
	}
	switch step.Answer {
	case dispatch.ClientGone:
		<-turn
		s.releaseID(query.ID)
	case dispatch.Rejected:
		retryAfter := ""
		if step.RetryAfter > 0 {
			retryAfter = milliseconds(step.RetryAfter)
		}
		s.writeReply(query.ID, turn,
			pgwire.ErrorResponse(pgwire.SeverityError, pgwire.StateTooManyConnections, textRejected, retryAfter))
	case dispatch.Failed:
		s.writeReply(query.ID, turn, pgwire.ErrorResponse(pgwire.SeverityError, pgwire.StateInternalError, textFailed, ""))
	}
}

// forwardReply passes on a backend's reply. If earlier replies are still pending, it copies the reply and releases the
// backend's connection at once. If there is no buffer for the copy, the connection stays in use until the turn of the
// reply. The connection is always released before the client has the reply, because the client may send its next
// request right after the reply.
func (s *session) forwardReply(id string, reply upstream.Reply, turn <-chan struct{}) {
	select {
	case <-turn:
	default:
		rows := bytes.Join(reply.RowMessages, nil)
		if s.server.buffers.Reserve(len(rows)) {
			defer s.server.buffers.Release(len(rows))
			reply.Release()
			s.writeReply(id, turn, rows)
			return
		}
	}
	<-turn
	s.conn.Append(reply.RowMessages...)
	reply.Release()
	s.writeReply(id, turn)
}

// writeReply writes a request's reply when its turn comes.
func (s *session) writeReply(id string, turn <-chan struct{}, parts ...[]byte) {
	<-turn
	s.releaseID(id)
	s.write(append(parts, pgwire.ReadyForQuery())...)
}
