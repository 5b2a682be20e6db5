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

// acknowledgementPoll is how often it is looked whether the client's kernel has the last reply.
const acknowledgementPoll = 2 * time.Millisecond

// closingState is how far the server's end of a session has gone. A state is never left for an earlier one.
type closingState uint8

const (
	serving                closingState = iota
	closingBetweenRequests              // requests in work are answered, then the session ends
	aborted                             // the client does not take its replies: the session ends at once
)

// session is one connection of a client.
type session struct {
	server *Server
	conn   *transport.Conn

	// Used by the session's own goroutine alone.
	receivedAt     time.Time      // when the last bytes came
	lastReply      chan struct{}  // closed once the last reply that is owed has been written
	pendingReplies chan struct{}  // holds one element for each reply that is owed
	workers        sync.WaitGroup // requests in work and replies that wait for their turn
	overLimit      bool           // it came when there was no slot: its requests are rejected
	skippingToSync bool           // an extended query was refused: messages up to the next Sync are dropped

	// Guarded by the server's mu.
	lastActivity    time.Time // when it came, was greeted, its last request ended, or a further message began
	hadRequest      bool
	calls           map[*dispatch.Call]struct{} // requests in work
	awaitingMessage bool                        // for the first byte of a message
	closing         closingState
	list            *list.List // Server.idle, Server.incomplete or nil
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

// beginClosing has a session end between requests. The server's mu is held.
func (s *session) beginClosing() { s.closing = max(s.closing, closingBetweenRequests) }

// isAborted reports whether a session is to end at once.
func (s *session) isAborted() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.closing == aborted
}

// abort ends a session at once, as its client does not take its replies.
func (s *session) abort() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.closing = aborted
	s.updateList()
	s.conn.InterruptRead()
}

// serve reads a session's messages up to its end and waits for its requests.
func (s *session) serve() {
	if s.handleStartup() {
		s.readMessages()
	}
	s.drain()
	s.awaitAcknowledgement()
}

// handleStartup reads the startup messages and answers them; false ends the session. The startup has its time limit as a whole.
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

// authenticate lets the client in. The greeting goes out with the first reply if its query has come too.
func (s *session) authenticate() bool {
	s.conn.Append(pgwire.AuthenticationOK())
	s.server.mu.Lock()
	s.lastActivity = time.Now()
	s.server.mu.Unlock()
	return len(s.conn.Buffered()) > 0 || s.reply()
}

// readMessages serves one message after another until the session is to end.
func (s *session) readMessages() {
	for {
		kind, size, ok := s.nextMessage()
		if !ok || !s.awaitReplySlot() || !s.handleMessage(kind, size) {
			return
		}
	}
}

// handleMessage serves a message whose header has come; false ends the session.
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
		return s.skipMessage(size) // left from a copy that never began
	}
	s.refuseProtocol(textUnknownMessage)
	return false
}

// drain waits for the replies that are owed. What still comes is dropped, so as to see the client go.
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

// watchForClose drops what the client sends until it goes or the read is interrupted. Either way nobody waits for the
// requests that are left.
func (s *session) watchForClose() {
	for !s.conn.Fill(0).Closed() {
		s.conn.Discard(len(s.conn.Buffered()))
	}
	s.abandonCalls()
}

// awaitAcknowledgement waits until the client's kernel has the last reply, for as long as a client may take to read it. What a
// client writes to a connection that is closed resets it, and what is still on its way is lost.
func (s *session) awaitAcknowledgement() {
	deadline := time.Now().Add(s.server.messageTimeout)
	for !s.conn.Acknowledged() && time.Now().Before(deadline) {
		if _, closed := s.conn.LastReceived(); closed {
			return
		}
		time.Sleep(acknowledgementPoll)
	}
}

// abandonCalls tells the dispatcher that the client has left its requests.
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
