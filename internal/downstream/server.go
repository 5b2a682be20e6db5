// Package downstream serves the client side of the relay: client sessions in PostgreSQL's wire protocol, version 3.0,
// with simple queries only (https://www.postgresql.org/docs/current/protocol.html).
//
// The caller creates one Server and runs Serve on each of its listeners. For a graceful shutdown, the caller passes to
// StopBefore the time at which the process may be killed, calls CloseIdleSessions, and sets the listeners' deadlines.
// Serve then returns once the last session has ended.
//
// Serve runs one goroutine for each session and waits for all of them. A session's goroutine reads the client's
// messages. It starts one goroutine for each request, and one for each reply that has to wait for earlier replies, and
// waits for these goroutines before it ends. Replies are sent in the order of the queries, even if a later query is
// answered first.
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

// finalAcceptTime is how long Serve goes on accepting after the listener's deadline, to take the connections that the
// kernel accepted before the deadline.
const finalAcceptTime = 50 * time.Millisecond

// Server accepts client connections and serves their sessions. New creates one. Its exported methods may be called from
// any goroutine.
type Server struct {
	// New sets the fields below, which do not change afterwards.
	dispatcher     *dispatch.Dispatcher
	pool           *upstream.Pool
	buffers        *transport.BufferBudget
	limits         overload.ListenerLimits
	messageTimeout time.Duration // time limit for a message to arrive completely, and for a client to read a reply
	retryAfter     string        // Retry-After, in milliseconds, that rejectForSpace sends; empty if it sends none

	mu          sync.Mutex          // guards the fields below up to the counters, and the session fields that are marked as guarded
	changed     sync.Cond           // uses mu as its lock; signalled when a session has ended or has been added to idle or incomplete
	sessions    int                 // number of open sessions
	requestIDs  map[string]struct{} // IDs of the requests in progress
	idle        list.List           // sessions (*session) that wait for a further request, the longest idle first
	incomplete  list.List           // sessions (*session) whose startup, first query or later message is incomplete, the longest incomplete first
	closingIdle bool                // whether CloseIdleSessions was called: sessions are then closed between requests
	stopAt      time.Time           // time by which every request must be answered; zero if no shutdown is announced

	// Accepted counts connections, Malformed counts messages that are not a valid query, RejectedForSpace counts
	// requests for which there was no session slot, request slot or buffer, and Evicted counts sessions that were
	// closed to free their slots.
	Accepted, Malformed, RejectedForSpace, Evicted atomic.Int64
}

// New returns a server that sends requests to the dispatcher and runs their attempts on the pool. A client has
// messageTimeout to send each message, and the same time to read each reply. If a request is rejected because no slot
// or buffer is free, the reply has retryAfter as its Retry-After, rounded down to milliseconds; if retryAfter is 0, the
// reply has none.
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

// milliseconds formats a Retry-After as it is sent to a client.
func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// Serve accepts connections until the listener is closed or its deadline passes, and waits for all its sessions. After
// the deadline, Serve still takes the connections that the kernel has accepted, and then closes the listener: closing
// it earlier would reset those connections, and requests may have arrived on them. Serve returns nil if the listener
// was closed or its deadline has passed. If Accept fails for another reason that concerns the listener itself, Serve
// returns the error of Accept.
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
				_ = listener.Close() // nothing more is accepted, whether or not Close fails
				return nil
			}
			deadlinePassed = true
		case isResourceExhausted(err):
			if !srv.endOneSession() { // no session can be ended to free a descriptor; wait, because Accept would fail again at once
				time.Sleep(srv.pollInterval())
			}
		case isConnectionLost(err):
		default:
			return err
		}
	}
}

// extendDeadline gives a listener finalAcceptTime more to accept. It reports whether the listener supports deadlines.
func extendDeadline(listener net.Listener) bool {
	l, ok := listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return false
	}
	_ = l.SetDeadline(time.Now().Add(finalAcceptTime)) // an error means that the listener is closed; the next Accept then reports it
	return true
}

// isResourceExhausted reports whether accept(2) failed for lack of a descriptor or of memory.
func isResourceExhausted(err error) bool {
	return isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

// isConnectionLost reports whether accept(2) failed because the connection that it would have returned was already
// lost. The listener can then go on accepting.
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

// StopBefore announces that the process may be killed soon after stopAt. Requests that arrive after this call are
// answered before stopAt.
func (srv *Server) StopBefore(stopAt time.Time) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.stopAt = stopAt
}

// CloseIdleSessions closes every session that has no request in progress and no incomplete message. A session that
// reaches this state after the call is closed then. A session that has had no request is not closed before
// ContendedTimeout has passed since its last activity.
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

// Sessions returns the number of open sessions.
func (srv *Server) Sessions() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.sessions
}
