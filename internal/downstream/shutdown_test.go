package downstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/internal/overload"
	"silvercove/internal/pgwire"
	"silvercove/internal/standin/leakcheck"
	"silvercove/internal/standin/scriptedbackend"
)

// TestSession_QueryArrivesDuringClose checks that a query is answered if its last byte arrives while CloseIdleSessions
// or an eviction closes its idle session.
func TestSession_QueryArrivesDuringClose(t *testing.T) {
	t.Run("close idle sessions", func(t *testing.T) { queryDuringClose(t, testServer.CloseIdleSessions) })
	t.Run("evicted", func(t *testing.T) {
		queryDuringClose(t, func(srv testServer) {
			srv.mu.Lock()
			defer srv.mu.Unlock()
			if !srv.evictOne() {
				t.Error("the session is not evicted")
			}
		})
	})
}

func queryDuringClose(t *testing.T, end func(srv testServer)) {
	t.Helper()
	var client net.Conn
	var once sync.Once
	srv, _ := startOneAttempt(t, 16, rowReply, func(l *net.TCPListener) net.Listener {
		return &hookedListener{TCPListener: l, onExpired: func(conn *net.TCPConn) {
			once.Do(func() {
				send(client, query("9b1f", "read"))
				scriptedbackend.AwaitBytes(conn)
			})
		}}
	})
	client = dial(t, srv.address)
	send(client, startup, query("07", "read"))
	want(t, client, greeting, rowReply)
	srv.awaitAllIdle(t)
	end(srv)
	want(t, client, rowReply)
	wantEnd(t, client)
}

// TestServer_CloseIdleSessionsKeepsActiveSessions checks what CloseIdleSessions lets finish. A new session still has
// time for its first query. A message that has begun may be completed. Pipelined queries are all answered, even to a
// slow reader.
func TestServer_CloseIdleSessionsKeepsActiveSessions(t *testing.T) {
	t.Run("a new session", func(t *testing.T) {
		srv, _ := startOneAttempt(t, 16, rowReply, nil)
		client := dial(t, srv.address)
		send(client, startup)
		want(t, client, greeting)
		srv.CloseIdleSessions()
		srv.staysOpen(t)
		send(client, query("9b1f", "read"))
		want(t, client, rowReply)
		wantEnd(t, client)
	})
	t.Run("half a message", func(t *testing.T) {
		srv, _ := startOneAttempt(t, 16, rowReply, nil)
		client := dial(t, srv.address)
		text := query("9b1f", "read")
		send(client, startup, query("07", "read"), text[:20])
		want(t, client, greeting, rowReply)
		srv.CloseIdleSessions()
		srv.CloseIdleSessions()
		srv.staysOpen(t)
		send(client, text[20:40])
		srv.staysOpen(t)
		send(client, text[40:])
		want(t, client, rowReply)
	})
	t.Run("pipelined queries of a slow reader", func(t *testing.T) {
		large := scriptedbackend.RowReply(strings.Repeat("v", pgwire.MaxValue))
		srv, backend := startOneAttempt(t, 16, large, nil)
		client := dial(t, srv.address)
		_ = client.SetReadBuffer(64 << 10) // with a small buffer, more replies wait in the relay; an error is ignored, because the test also holds without it
		send(client, startup)
		want(t, client, greeting)
		const queries = 64
		for i := range queries {
			send(client, query(requestID("a", i), "read"))
		}
		waitUntil(t, "the backend has a query", func() bool { return backend.QueryCount() > 0 })
		srv.StopBefore(time.Now().Add(3 * time.Second))
		srv.CloseIdleSessions()
		readReplies(t, client, queries)
	})
}

// readReplies reads the given number of complete replies.
func readReplies(tb testing.TB, client net.Conn, replies int) {
	tb.Helper()
	var in []byte
	for n, b := 0, make([]byte, 8<<10); n < replies; {
		var reply pgwire.Response
		if err := reply.Read(in); err != nil {
			tb.Fatal(err)
		}
		if reply.Ready {
			in = in[reply.Consumed:]
			n++
			continue
		}
		read, err := client.Read(b)
		in = append(in, b[:read]...)
		if err != nil {
			tb.Fatalf("%d of %d queries are answered: %v", n, replies, err)
		}
	}
}

// TestServer_StopBeforeBoundsTimeouts checks that a query which arrives on an open connection after StopBefore is
// answered with an error by the announced time, although the backend does not answer and the client would wait longer.
// In production, StopBefore is called after a SIGTERM, and a SIGKILL may follow at the announced time.
func TestServer_StopBeforeBoundsTimeouts(t *testing.T) {
	var stalled atomic.Bool
	release := make(chan struct{})
	backend := startReplying(t, func(int) string {
		if stalled.Load() {
			<-release
		}
		return rowReply
	})
	srv := startServer(t, serverOptions{sessions: 16, backend: backend.Address, messageTimeout: generousTimeout, maxAttempts: 1})
	client := dial(t, srv.address)
	send(client, startup, query("9b1f", "read"))
	want(t, client, greeting, rowReply)
	stalled.Store(true)
	t.Cleanup(func() { close(release) })
	const timeLeft = 700 * time.Millisecond
	srv.StopBefore(time.Now().Add(timeLeft))
	began := time.Now()
	send(client, query("07", "read"))
	first := make([]byte, 1)
	if _, err := io.ReadFull(client, first); err != nil || first[0] != pgwire.BackendErrorResponse {
		t.Errorf("the reply begins with %q, %v", first, err)
	}
	if took := time.Since(began); took > 2*timeLeft {
		t.Errorf("answered after %v", took)
	}
}

// TestServer_StopBeforeInThePast checks that a query which arrives after the time announced by StopBefore, when SIGKILL
// may come at any moment, is rejected at once.
func TestServer_StopBeforeInThePast(t *testing.T) {
	srv, backend := startOneAttempt(t, 16, rowReply, nil)
	client := dial(t, srv.address)
	send(client, startup, query("9b1f", "read"))
	want(t, client, greeting, rowReply)
	srv.StopBefore(time.Now().Add(-time.Second))
	began := time.Now()
	send(client, query("07", "read"))
	if state := replyState(t, client); state != pgwire.StateTooManyConnections {
		t.Errorf("answered %s", state)
	}
	if took, n := time.Since(began), backend.QueryCount(); took > 100*time.Millisecond || n != 1 {
		t.Errorf("answered after %v, %d queries at the backend", took, n)
	}
}

// TestServer_ServesKernelAcceptedConnections checks that queries are answered on connections that only the kernel, and
// not yet the server, had accepted when the listener's deadline passed.
func TestServer_ServesKernelAcceptedConnections(t *testing.T) {
	leakcheck.Verify(t)
	backend := startReplying(t, func(int) string { return rowReply })
	proceed := make(chan struct{})
	listener := &hookedListener{hold: proceed}
	srv := startServer(t, serverOptions{
		sessions:       64,
		backend:        backend.Address,
		messageTimeout: generousTimeout,
		maxAttempts:    3,
		wrap: func(l *net.TCPListener) net.Listener {
			listener.TCPListener = l
			return listener
		},
	})
	var clients [20]net.Conn
	for i := range clients {
		clients[i] = dial(t, srv.address)
		send(clients[i], startup, query(requestID("a", i), "read"))
	}
	srv.CloseIdleSessions()
	if err := listener.SetDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	close(proceed)
	for _, client := range clients {
		want(t, client, greeting)
		if state := replyState(t, client); state != pgwire.StateSuccess && state != pgwire.StateTooManyConnections {
			t.Errorf("answered %s", state)
		}
		wantEnd(t, client)
	}
	waitUntil(t, "the server accepts no more connections", func() bool {
		client, err := net.Dial("tcp", srv.address)
		if err == nil {
			_ = client.Close() // an error is ignored: the connection was opened only to see whether the server accepts
		}
		return err != nil
	})
}

// TestSession_QueryAfterCloseHasNoEffect checks the case in which a client is still reading its reply during
// CloseIdleSessions and sends the next query. The reply arrives completely, and the query, which is not read, reaches
// no backend.
func TestSession_QueryAfterCloseHasNoEffect(t *testing.T) {
	leakcheck.Verify(t)
	backend, proceed := startReplyingLater(t, largeReply)
	srv := startDefault(t, backend)
	client := dial(t, srv.address)
	_ = client.SetReadBuffer(4 << 10) // with a small buffer, more of the reply waits in the relay; an error is ignored, because the test also holds without it
	send(client, startup, query("01", "read"))
	waitUntil(t, "the backend has the query", func() bool { return backend.QueryCount() == 1 })
	srv.CloseIdleSessions()
	close(proceed)
	waitUntil(t, "the reply is written", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return len(srv.requestIDs) == 0 && srv.dispatcher.Snapshot().Classes[0].Succeeded == 1
	})
	srv.staysOpen(t) // the session must stay open while the reply is in transit
	send(client, query("02", "read"))
	want(t, client, greeting, largeReply)
	if b, _ := io.ReadAll(client); len(b) > 0 { // the error is not checked: the unread query may reset the connection
		t.Errorf("received %q after the reply", b)
	}
	if n := backend.QueryCount(); n != 1 {
		t.Errorf("%d queries at the backend", n)
	}
}

// TestSession_MessagesSplitAnywhere checks that a startup and a query which arrive in two pieces are answered, wherever
// they are split, also if CloseIdleSessions is called between the pieces.
func TestSession_MessagesSplitAnywhere(t *testing.T) {
	for _, closesBetween := range []bool{false, true} {
		t.Run(fmt.Sprint("closed between pieces ", closesBetween), func(t *testing.T) { splitMessages(t, closesBetween) })
	}
}

func splitMessages(t *testing.T, closesBetween bool) {
	t.Helper()
	leakcheck.Verify(t)
	text := startup + query("07", "read")
	pieces := func(at int) (string, string) {
		withID := strings.Replace(text, "id=07", fmt.Sprintf("id=%02x", at), 1)
		return withID[:at], withID[at:]
	}
	backend := startReplying(t, func(int) string { return rowReply })
	srv := startServer(t, serverOptions{sessions: 1024, backend: backend.Address, messageTimeout: generousTimeout, maxAttempts: 3})
	clients := make([]net.Conn, len(text))
	for i := range clients {
		clients[i] = dial(t, srv.address)
		first, _ := pieces(i)
		send(clients[i], first)
	}
	waitUntil(t, "all sessions are open", func() bool { return srv.Sessions() == len(clients) })
	if closesBetween {
		srv.StopBefore(time.Now().Add(4 * time.Second))
		srv.CloseIdleSessions()
	}
	for i, client := range clients {
		_, second := pieces(i)
		send(client, second)
	}
	succeeded := 0
	for i, client := range clients {
		want(t, client, greeting)
		switch state := replyState(t, client); state {
		case pgwire.StateSuccess:
			succeeded++
		case pgwire.StateTooManyConnections:
		default:
			t.Errorf("split at %d: answered %s", i, state)
		}
		if closesBetween {
			wantEnd(t, client)
			continue
		}
		_ = client.Close() // an error is ignored: the client already has its reply
	}
	if n := backend.QueryCount(); n != succeeded || succeeded == 0 {
		t.Errorf("%d queries at the backend, %d succeeded", n, succeeded)
	}
}

// TestSession_StartupCompletedAfterCloseIdleSessions checks that a client which connected more than ContendedTimeout
// before CloseIdleSessions, and completes its startup afterwards, still has time for its first query.
func TestSession_StartupCompletedAfterCloseIdleSessions(t *testing.T) {
	leakcheck.Verify(t)
	srv := startDefault(t, startReplying(t, func(int) string { return rowReply }))
	client := dial(t, srv.address)
	send(client, startup[:9])
	waitUntil(t, "the session is open", func() bool { return srv.Sessions() == 1 })
	// CloseIdleSessions keeps a session that has had no request for only ContendedTimeout after its last activity.
	time.Sleep(overload.LimitsFor(64).ContendedTimeout + finalAcceptTime)
	srv.CloseIdleSessions()
	send(client, startup[9:])
	want(t, client, greeting)
	srv.staysOpen(t)
	send(client, query("07", "read"))
	want(t, client, rowReply)
}

// TestSession_FirstQueryNearIdleTimeout checks that a first query which begins just before the idle timeout of a new
// session has as much time to be complete as any other.
func TestSession_FirstQueryNearIdleTimeout(t *testing.T) {
	leakcheck.Verify(t)
	backend := startReplying(t, func(int) string { return rowReply })
	srv := startServer(t, serverOptions{sessions: 64, backend: backend.Address, messageTimeout: time.Second, maxAttempts: 3})
	client := dial(t, srv.address)
	send(client, startup)
	want(t, client, greeting)
	time.Sleep(overload.LimitsFor(64).IdleTimeout - 300*time.Millisecond)
	send(client, query("07", "read")[:20])
	time.Sleep(500 * time.Millisecond)
	if srv.Sessions() == 0 {
		t.Fatal("the session has ended")
	}
	send(client, query("07", "read")[20:])
	want(t, client, rowReply)
}
