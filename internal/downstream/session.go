package downstream

import (
	"container/list"
	"net"
	"sync"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// acknowledgementPoll is the interval at which a closing session checks whether the client's kernel has received the
// last reply.
const acknowledgementPoll = 2 * time.Millisecond

// closingState is how far the server has progressed in closing a session. It never returns to an earlier state.
type closingState uint8

const (
	serving                closingState = iota
	closingBetweenRequests              // the session ends once its requests in progress are answered
	aborted                             // the session ends at once, because the client does not read its replies
)

// session is one client connection.
type session struct {
	server *Server
	conn   *transport.Conn

	// Only the session's own goroutine uses the fields below.
	receivedAt     time.Time      // time at which the last bytes arrived
	lastReply      chan struct{}  // closed once all replies reserved so far have been written; the next reply is written after that
	pendingReplies chan struct{}  // holds one element for each pending reply; its capacity is MaxPipelined
	workers        sync.WaitGroup // goroutines of requests in progress and of replies that wait for their turn
	overLimit      bool           // whether no session slot was free when the client connected: its requests are then rejected
	skippingToSync bool           // whether an extended query was refused: messages up to the next Sync are then discarded

	// The server's mu guards the fields below.
	lastActivity    time.Time // time of the latest of these events: the client connected, the greeting was built, the last open request ended, a message after the first request began
	hadRequest      bool
	calls           map[*dispatch.Call]struct{} // requests in progress
	awaitingMessage bool                        // whether the session waits for the first byte of a message
	closing         closingState
	list            *list.List // list that holds the session: Server.idle, Server.incomplete or nil
	element         *list.Element
}

func newSession(srv *Server, conn net.Conn) *session {
	s := &session{
		server:         srv,
		conn:           transport.NewConn(conn, srv.buffers),
		lastReply:      make(chan struct{}),
		pendingReplies: make(chan struct{}, srv.limits.MaxPipelined),
		calls:          map[*dispatch.Call]struct{}{},
	}
	close(s.lastReply)
	return s
}

// beginClosing marks the session as closing, so that it ends once it has no request in progress. The server's mu must
// be held.
func (s *session) beginClosing() { s.closing = max(s.closing, closingBetweenRequests) }

// isAborted reports whether the session must end at once.
func (s *session) isAborted() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.closing == aborted
}

// abort ends the session at once, because its client does not read its replies.
func (s *session) abort() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.closing = aborted
	s.updateList()
	s.conn.InterruptRead()
}

// serve reads the session's messages until the session ends. It then waits until the requests have ended and the
// client's kernel has received the last reply.
func (s *session) serve() {
	if s.handleStartup() {
		s.readMessages()
	}
	s.drain()
	s.awaitAcknowledgement()
}

// handleStartup reads and answers the startup messages. It reports whether the session goes on. One time limit applies
// to the whole startup.
func (s *session) handleStartup() bool {
	deadline := s.lastActivity.Add(max(s.server.limits.IdleTimeout, s.server.messageTimeout))
	for {
		kind, size, err := pgwire.ParseStartup(s.conn.Buffered())
		if err != nil {
			s.refuseProtocol(textMalformedStartup)
			return false
		}
		if size == 0 {
			if !s.fillMore(0, deadline) {
				return false
			}
			continue
		}
		s.conn.Discard(size)
		switch kind {
		case pgwire.StartCancel:
			return false
		case pgwire.StartEncrypted:
			if !s.reply(pgwire.EncryptionRefused()) {
				return false
			}
		default:
			return s.authenticate()
		}
	}
}

// authenticate accepts the client without a password and reports whether the session goes on. If the first query has
// already arrived, the greeting is sent together with the reply to that query.
func (s *session) authenticate() bool {
	s.conn.Append(pgwire.AuthenticationOK())
	s.server.mu.Lock()
	s.lastActivity = time.Now()
	s.server.mu.Unlock()
	return len(s.conn.Buffered()) > 0 || s.reply()
}

// readMessages handles one message after another until the session must end.
func (s *session) readMessages() {
	for {
		kind, size, ok := s.nextMessage()
		if !ok || !s.awaitReplySlot() || !s.handleMessage(kind, size) {
			return
		}
	}
}

// handleMessage handles a message whose header has arrived. It reports whether the session goes on.
func (s *session) handleMessage(kind byte, size int) bool {
	switch kind {
	case pgwire.FrontendQuery:
		return s.handleQuery(size)
	case pgwire.FrontendTerminate:
		s.abandonCalls()
		return false
	case pgwire.FrontendParse, pgwire.FrontendBind, pgwire.FrontendDescribe, pgwire.FrontendExecute, pgwire.FrontendClose,
		pgwire.FrontendFlush, pgwire.FrontendFunctionCall, pgwire.FrontendSync:
		return s.refuseExtended(kind, size)
	case pgwire.FrontendCopyData, pgwire.FrontendCopyDone, pgwire.FrontendCopyFail:
		return s.skipMessage(size) // skip the message, because this server never starts the COPY operation to which it would belong
	}
	s.refuseProtocol(textUnknownMessage)
	return false
}

// drain waits until all pending replies are written. While it waits, it reads and discards further input, to detect
// that the client disconnects.
func (s *session) drain() {
	s.server.mu.Lock()
	s.beginClosing()
	s.updateList()
	s.conn.SetReadDeadline(time.Time{})
	if s.closing == aborted {
		s.conn.InterruptRead()
	}
	s.server.mu.Unlock()
	var watcher sync.WaitGroup
	select {
	case <-s.lastReply:
	default:
		watcher.Go(s.watchForClose)
	}
	s.workers.Wait()
	s.conn.InterruptRead()
	watcher.Wait()
}

// watchForClose discards the client's messages until the client disconnects or the read is interrupted. The read is
// interrupted when all replies have been written or the session is aborted. In all three cases, the client gets no
// further reply, so the remaining requests are abandoned.
func (s *session) watchForClose() {
	for !s.conn.Fill(0).Closed() {
		s.conn.Discard(len(s.conn.Buffered()))
	}
	s.abandonCalls()
}

// awaitAcknowledgement waits until the client's kernel has received the last reply, but at most for messageTimeout,
// which is the time that a client has to read a reply. If this side closed the connection earlier, anything that the
// client writes would reset the connection, and the part of the reply that is still in transit would be lost.
func (s *session) awaitAcknowledgement() {
	deadline := time.Now().Add(s.server.messageTimeout)
	for !s.conn.Acknowledged() && time.Now().Before(deadline) {
		if _, closed := s.conn.LastReceived(); closed {
			return
		}
		time.Sleep(acknowledgementPoll)
	}
}

// abandonCalls tells the dispatcher that the client no longer waits for the replies to its requests in progress.
func (s *session) abandonCalls() {
	s.server.mu.Lock()
	calls := make([]*dispatch.Call, 0, len(s.calls))
	for call := range s.calls {
		calls = append(calls, call)
	}
	s.server.mu.Unlock()
	for _, call := range calls {
		s.server.dispatcher.Abandon(call)
	}
}
