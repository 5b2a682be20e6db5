package downstream

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/standin/leakcheck"
)

// TestSession_PipelinesQueries checks that pipelined queries are in progress at the same time and are answered in their
// order.
func TestSession_PipelinesQueries(t *testing.T) {
	var lastBlocked atomic.Int64 // queries up to this number are answered only after allArrived.Wait has returned
	var allArrived sync.WaitGroup
	backend := startReplying(t, func(number int) string {
		if int64(number) <= lastBlocked.Load() {
			allArrived.Done()
			allArrived.Wait()
		}
		return rowReply
	})
	srv := startServer(t, serverOptions{sessions: 16, backend: backend.Address, messageTimeout: generousTimeout, maxAttempts: 1})
	client := dial(t, srv.address)
	send(client, startup, query("9b1f", "read")) // this query is sent alone: until a backend has answered two requests, it gets only one at a time
	want(t, client, greeting, rowReply)
	send(client, query("07", "read"))
	want(t, client, rowReply)
	allArrived.Add(2)
	lastBlocked.Store(int64(backend.QueryCount()) + 2)
	send(client, query("9b1f", "read"), query("07", "read"), emptyQuery)
	want(t, client, rowReply, rowReply, emptyReply)
}

// TestSession_MalformedQueryKeepsReplyOrder checks that an answer which needs no backend is written after the replies
// to all earlier queries. It must not delay the requests that follow it.
func TestSession_MalformedQueryKeepsReplyOrder(t *testing.T) {
	leakcheck.Verify(t)
	proceed := make(chan struct{})
	backend := startReplying(t, func(number int) string {
		if number == 3 {
			<-proceed
		}
		return rowReply
	})
	srv := startDefault(t, backend)
	client := dial(t, srv.address)
	refusal := errorReply("ERROR", pgwire.StateSyntaxError, "no statement of the two forms") + readyForQuery
	send(client, startup, query("01", "read")) // this query is sent alone: until a backend has answered two requests, it gets only one at a time
	want(t, client, greeting, rowReply)
	send(client, query("02", "read"))
	want(t, client, rowReply)
	send(client, query("01", "read"), simpleQuery("BEGIN"), query("02", "read"), emptyQuery)
	waitUntil(t, "both queries are at the backend", func() bool { return backend.QueryCount() == 4 })
	close(proceed)
	want(t, client, rowReply, refusal, rowReply, emptyReply)
}

// TestSession_LimitsPendingReplies checks that messages which a client sends behind a slow request are not buffered but
// left unread, and that all of them are answered in order after the slow request.
func TestSession_LimitsPendingReplies(t *testing.T) {
	leakcheck.Verify(t)
	backend, proceed := startReplyingLater(t, rowReply)
	srv := startDefault(t, backend)
	client := dial(t, srv.address)
	const queries = 5000
	var written sync.WaitGroup
	written.Go(func() {
		send(client, startup, query("01", "read"), strings.Repeat(emptyQuery, queries))
	})
	defer written.Wait()
	waitUntil(t, "the backend has the first query", func() bool { return backend.QueryCount() == 1 })
	srv.staysOpen(t)
	if _, kept := srv.buffers.InUse(); kept > 64<<10 {
		t.Errorf("%d bytes are buffered", kept)
	}
	close(proceed)
	want(t, client, greeting, rowReply, strings.Repeat(emptyReply, queries))
}

// TestSession_AbortsClientThatDoesNotRead checks that the session of a client that does not read ends when the first
// blocked reply has exceeded messageTimeout. The server must not wait for messageTimeout again for each further reply.
func TestSession_AbortsClientThatDoesNotRead(t *testing.T) {
	leakcheck.Verify(t)
	backend := startReplying(t, func(int) string { return largeReply })
	const limit = 400 * time.Millisecond
	srv := startServer(t, serverOptions{
		sessions:       64,
		backend:        backend.Address,
		messageTimeout: limit,
		maxAttempts:    3,
		wrap: func(l *net.TCPListener) net.Listener {
			return &hookedListener{TCPListener: l, onAccept: func(conn *net.TCPConn) { _ = conn.SetWriteBuffer(4 << 10) }}
		},
	})
	client := dial(t, srv.address)
	_ = client.SetReadBuffer(4 << 10) // a small buffer fills sooner; an error is ignored, because the test also holds with a larger buffer
	send(client, startup)
	for i := range 40 {
		send(client, query(requestID("b", i), "read"))
	}
	waitUntil(t, "the session is open", func() bool { return srv.Sessions() == 1 })
	began := time.Now()
	waitUntil(t, "the session has ended", func() bool { return srv.Sessions() == 0 })
	if took := time.Since(began); took > 4*limit {
		t.Errorf("the session ended only after %v", took)
	}
}
