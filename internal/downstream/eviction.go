package downstream

import (
	"container/list"
	"net"
	"time"
)

// pollsPerContendedTimeout is how often, within the time that a silent session keeps a slot that others wait for, it is
// looked whether one may be ended.
const pollsPerContendedTimeout = 10

func (srv *Server) pollInterval() time.Duration {
	return srv.limits.ContendedTimeout / pollsPerContendedTimeout
}

// open makes the session of a connection. Where all slots are taken, a session without a request has to go; where there is
// none, the new one takes a spare slot and its requests are rejected. open blocks only while the spare slots are taken too.
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

// updateList moves a session to the list that it belongs to now. A list that grows too long loses its first session:
// clients have few connections, and idle sessions stand in the way of requests. The server's mu is held.
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

// properList is the list that a session belongs to; nil while it has a request in work or is closing. Before its first
// request it is never idle, as that may be on its way. The server's mu is held.
func (s *session) properList() *list.List {
	switch {
	case len(s.calls) > 0 || s.closing >= closingBetweenRequests:
		return nil
	case s.awaitingMessage && s.hadRequest:
		return &s.server.idle
	}
	return &s.server.incomplete
}

// evictOne ends the session that has been idle the longest, else the one whose message has been incomplete the longest.
// Guards against clients that connect by the hundreds and say nothing, or a part; mu is held.
func (srv *Server) evictOne() bool {
	return srv.evictFirst(&srv.idle) || srv.evictFirst(&srv.incomplete)
}

// evictFirst ends the first session of a list, unless its first message may still be on its way; mu is held.
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

// endOneSession ends a session to free its descriptor and waits for that; false: there is no session.
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

// awaitChange waits until a session has ended or has no request in work, or until one more may have been silent for too
// long. mu is held, and let go meanwhile.
func (srv *Server) awaitChange() {
	wake := time.AfterFunc(srv.pollInterval(), func() {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		srv.changed.Broadcast()
	})
	defer wake.Stop()
	srv.changed.Wait()
}
