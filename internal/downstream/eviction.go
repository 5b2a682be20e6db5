package downstream

import (
	"container/list"
	"net"
	"time"
)

// pollsPerContendedTimeout is how many times per ContendedTimeout the server checks whether it can evict a session.
// ContendedTimeout is how long a client may take to send a message while other clients wait for its session slot.
const pollsPerContendedTimeout = 10

func (srv *Server) pollInterval() time.Duration {
	return srv.limits.ContendedTimeout / pollsPerContendedTimeout
}

// open creates the session of a connection. If all session slots are taken, open evicts a session that has no request
// in progress. If it can evict none, the new session takes a spare slot (see overload.ListenerLimits), and its requests
// are rejected. open blocks only while all spare slots are taken as well.
func (srv *Server) open(conn net.Conn) *session {
	s := newSession(srv, conn)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for srv.sessions >= srv.limits.MaxSessions+srv.limits.SpareSessions {
		srv.evictOne()
		srv.awaitChange()
	}
	s.lastActivity = time.Now()
	s.overLimit = srv.sessions >= srv.limits.MaxSessions && !srv.evictOne()
	srv.sessions++
	s.updateList()
	return s
}

// end closes a session that has been served and frees its slot.
func (srv *Server) end(s *session) {
	s.conn.Close()
	srv.mu.Lock()
	defer srv.mu.Unlock()
	s.beginClosing()
	s.updateList()
	srv.sessions--
	srv.changed.Signal()
}

// updateList moves the session to the list that properList returns. If that list then has more than MaxIdle sessions,
// updateList evicts the first of them, because each session takes a slot that a new client may need. MaxIdle can be far
// below MaxSessions: few idle sessions are needed, because a client opens few connections. The server's mu must be
// held.
func (s *session) updateList() {
	l := s.properList()
	if l == s.list {
		return
	}
	if s.list != nil {
		s.list.Remove(s.element)
	}
	s.list = l
	if l == nil {
		return
	}
	s.element = l.PushBack(s)
	s.server.changed.Signal()
	for l.Len() > s.server.limits.MaxIdle && s.server.evictFirst(l) {
	}
}

// properList returns the list that the session belongs to, or nil while it has a request in progress or is closing. A
// session is never idle before its first request, because the first request may be on its way. The server's mu must be
// held.
func (s *session) properList() *list.List {
	switch {
	case len(s.calls) > 0 || s.closing >= closingBetweenRequests:
		return nil
	case s.awaitingMessage && s.hadRequest:
		return &s.server.idle
	}
	return &s.server.incomplete
}

// evictOne evicts the session that has been idle the longest or, if none is idle, the session whose message has been
// incomplete the longest. It reports whether it has evicted a session. The eviction guards against clients that open
// hundreds of connections and send nothing, or only part of a message. The server's mu must be held.
func (srv *Server) evictOne() bool {
	return srv.evictFirst(&srv.idle) || srv.evictFirst(&srv.incomplete)
}

// evictFirst evicts the first session of a list and reports whether it did so. It spares a session of the incomplete
// list whose last activity is less than ContendedTimeout ago, because its client may still be sending the
// startup or a message. The server's mu must be held.
func (srv *Server) evictFirst(l *list.List) bool {
	if l.Len() == 0 {
		return false
	}
	s := l.Front().Value.(*session)
	if l == &srv.incomplete && time.Since(s.lastActivity) < srv.limits.ContendedTimeout {
		return false
	}
	s.beginClosing()
	s.updateList()
	s.conn.InterruptRead()
	srv.Evicted.Add(1)
	return true
}

// endOneSession evicts a session, if one can be evicted, to free its descriptor, and then calls awaitChange. If no
// session is open, it returns false at once.
func (srv *Server) endOneSession() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.sessions == 0 {
		return false
	}
	srv.evictOne()
	srv.awaitChange()
	return true
}

// awaitChange waits until a session has ended or has been added to the idle or incomplete list, but at most for
// pollInterval. The limit is needed because nothing signals that a client has been silent for ContendedTimeout. The
// server's mu must be held; it is released while waiting.
func (srv *Server) awaitChange() {
	wake := time.AfterFunc(srv.pollInterval(), func() {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		srv.changed.Broadcast()
	})
	defer wake.Stop()
	srv.changed.Wait()
}
