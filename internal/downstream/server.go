// Package downstream serves the client side of the relay: sessions in PostgreSQL's wire protocol, version 3.0, simple
// queries only (https://www.postgresql.org/docs/current/protocol.html).
//
// A caller makes one Server and runs Serve on each of its listeners. For an orderly end it tells StopBefore when the
// process may be killed, calls CloseIdleSessions, and sets the listeners' deadlines; Serve then returns once the last
// session has ended.
//
// Goroutines: Serve owns one for each session and waits for them. A session's goroutine reads the client's messages and owns
// one for each request, and for each reply that has to wait for earlier ones; it waits for them before it ends. Replies go
// out in the order of the queries, whichever is answered first.
package downstream

import (
	"container/list"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/overload"
	"silvercove/internal/transport"
	"silvercove/internal/upstream"
)

// finalAcceptTime is how long a listener whose deadline has passed is asked for what the kernel has accepted by then.
const finalAcceptTime = 50 * time.Millisecond

// Server accepts the connections of clients and serves their sessions. It is made by New; its exported methods may be
// called from any goroutine.
type Server struct {
	// Fixed by New.
	dispatcher     *dispatch.Dispatcher
	pool           *upstream.Pool
	buffers        *transport.BufferBudget
	limits         overload.ListenerLimits
	messageTimeout time.Duration // for a message to be complete, and for a client to take a reply
	retryAfter     string        // milliseconds, for requests that are rejected for lack of space; empty where none is told

	mu          sync.Mutex          // guards all that follows up to the counters, and what sessions say that it guards
	changed     sync.Cond           // on mu: a session has ended, or has no request in work
	sessions    int                 // that are open
	requestIDs  map[string]struct{} // of the requests in work
	idle        list.List           // of *session: they have had a request and wait for another, the longest idle first
	incomplete  list.List           // of *session: nothing but a part of a message or of the startup has come, the oldest first
	closingIdle bool                // sessions are closed between requests
	stopAt      time.Time           // by when every request has to be answered; zero where no end is known

	// Accepted counts connections, Malformed messages that are no valid query, RejectedForSpace requests for which there was
	// no session slot, request slot or buffer, and Evicted sessions that were ended in favour of others.
	Accepted, Malformed, RejectedForSpace, Evicted atomic.Int64
}

// New makes a server that sends requests to the dispatcher and their attempts to the pool. A client has messageTimeout to
// send each message, and as long to read a reply. Whoever is rejected for lack of space is told to retry after retryAfter,
// rounded down to milliseconds; 0 tells nothing.
func New(dispatcher *dispatch.Dispatcher, pool *upstream.Pool, buffers *transport.BufferBudget, limits overload.ListenerLimits,
	messageTimeout, retryAfter time.Duration) *Server {
	srv := &Server{
		dispatcher:     dispatcher,
		pool:           pool,
		buffers:        buffers,
		limits:         limits,
		messageTimeout: messageTimeout,
		requestIDs:     map[string]struct{}{},
	}
	if retryAfter > 0 {
		srv.retryAfter = milliseconds(retryAfter)
	}
	srv.changed.L = &srv.mu
	return srv
}

// milliseconds is the form in which a client is told a Retry-After.
func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// Serve accepts connections until the listener is closed or its deadline passes, and waits for all its sessions. At the
// deadline what the kernel has accepted is still taken: a closed listener resets it, and requests may have come there. Serve
// then closes the listener. An error is one of Accept that ends the listener, as it came; both orderly ends give nil.
func (srv *Server) Serve(listener net.Listener) error {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	deadlinePassed := false
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			srv.Accepted.Add(1)
			s := srv.open(conn)
			sessions.Go(func() {
				defer srv.end(s)
				s.serve()
			})
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if deadlinePassed || !extendDeadline(listener) {
				_ = listener.Close() // nothing more is accepted either way
				return nil
			}
			deadlinePassed = true
		case isResourceExhausted(err):
			if !srv.endOneSession() { // others have the descriptors: to accept again at once would spin
				time.Sleep(srv.pollInterval())
			}
		case isConnectionLost(err):
		default:
			return err
		}
	}
}

// extendDeadline gives a listener the final time to accept; false: it knows no deadline.
func extendDeadline(listener net.Listener) bool {
	l, ok := listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return false
	}
	_ = l.SetDeadline(time.Now().Add(finalAcceptTime)) // fails only on a closed listener, as the next Accept does
	return true
}

// isResourceExhausted reports whether accept(2) found no descriptor or memory for a connection.
func isResourceExhausted(err error) bool {
	return isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

// isConnectionLost reports whether accept(2) told of a connection that is gone again, and not of the listener.
func isConnectionLost(err error) bool {
	return isAny(err, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
		syscall.ETIMEDOUT)
}

func isAny(err error, errnos ...syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// StopBefore tells that the process may be killed soon after a time. Requests that come from now on are answered by then.
func (srv *Server) StopBefore(stopAt time.Time) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.stopAt = stopAt
}

// CloseIdleSessions closes all sessions between requests from now on. New ones have a moment for their first.
func (srv *Server) CloseIdleSessions() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.closingIdle = true
	for _, l := range []*list.List{&srv.idle, &srv.incomplete} {
		for e := l.Front(); e != nil; e = e.Next() {
			if s := e.Value.(*session); s.awaitingMessage {
				s.conn.SetReadDeadline(s.idleDeadline())
			}
		}
	}
}

// Sessions is the number of open sessions.
func (srv *Server) Sessions() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.sessions
}
