package downstream

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"silvercove/internal/overload"
	"silvercove/internal/pgwire"
	"silvercove/internal/standin/scriptedbackend"
)

func TestServer_AnswersEachMessage(t *testing.T) {
	read, other, sell := query("9b1f", "read"), query("07", "read"), query("9b1f", "sell")
	message := scriptedbackend.Message
	for _, c := range []struct{ name, backend, send, want string }{
		{"empty query directly after the startup", rowReply, emptyQuery, emptyReply},
		{"row byte for byte", rowReply, read, rowReply},
		{"two queries at once", rowReply, read + other, rowReply + rowReply},
		{"two queries of one ID at once", rowReply, read + read,
			rowReply + errorReply("ERROR", pgwire.StateInvalidParameter, "a command of this id is open") + readyForQuery},
		{"no backend answers an at-most-once request", "", sell,
			errorReply("ERROR", pgwire.StateInternalError, "no answer; it may have run") + readyForQuery},
		{"unknown request class", rowReply, query("9b1f", "x"),
			errorReply("ERROR", pgwire.StateInvalidParameter, "unknown op type") + readyForQuery},
		{"other statement", rowReply, simpleQuery("BEGIN"),
			errorReply("ERROR", pgwire.StateSyntaxError, "no statement of the two forms") + readyForQuery},
		{"extended query", rowReply,
			message(pgwire.FrontendParse, "\x00\x00\x00\x00") + message(pgwire.FrontendDescribe, "S\x00") + message(pgwire.FrontendSync, ""),
			errorReply("ERROR", pgwire.StateNotSupported, "only simple queries are served") + readyForQuery},
		{"overlong query, then another", rowReply,
			simpleQuery(strings.Repeat("x", pgwire.MaxQuery)) + emptyQuery,
			errorReply("ERROR", pgwire.StateLimitExceeded, "query too long") + readyForQuery + emptyReply},
		{"unknown message", rowReply, message('y', ""), errorReply("FATAL", pgwire.StateProtocolViolation, "unknown message")},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := scriptedbackend.Start(t, func(b *scriptedbackend.Backend, _ int, conn *net.TCPConn) {
				b.Greet(conn)
				for {
					if _, _, ok := b.ReadQuery(conn); !ok || c.backend == "" {
						return
					}
					send(conn, c.backend)
				}
			})
			srv := startServer(t, serverOptions{sessions: 16, backend: backend.Address, messageTimeout: generousTimeout, maxAttempts: 1})
			client := dial(t, srv.address)
			send(client, startup, c.send)
			want(t, client, greeting, c.want)
		})
	}
}

func TestServer_StartupForms(t *testing.T) {
	srv, _ := startOneAttempt(t, 16, row, nil)
	for _, code := range []string{"\x04\xd2\x16\x2f", "\x04\xd2\x16\x30"} {
		client := dial(t, srv.address)
		send(client, "\x00\x00\x00\x08", code)
		want(t, client, "N")
		send(client, startup)
		want(t, client, greeting)
	}
	client := dial(t, srv.address)
	send(client, "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678") // a CancelRequest; the server must close the connection without an answer
	wantEnd(t, client)
}

// TestServer_ReusesBackendConnections checks that a backend connection is reused although the context of an attempt is
// cancelled when the attempt is reported. The connection must be released before the client has the reply.
func TestServer_ReusesBackendConnections(t *testing.T) {
	var server atomic.Pointer[Server]
	var stillInUse atomic.Int64
	hooks := &hookedListener{onWrite: func(p []byte) {
		srv := server.Load()
		if srv == nil {
			return
		}
		if open, idle := srv.pool.InUse(); strings.Contains(string(p), row) && idle != open {
			stillInUse.Add(1)
		}
	}}
	srv, backend := startOneAttempt(t, 16, rowReply, func(l *net.TCPListener) net.Listener {
		hooks.TCPListener = l
		return hooks
	})
	server.Store(srv.Server)
	client := dial(t, srv.address)
	send(client, startup)
	want(t, client, greeting)
	const rounds = 5
	for range rounds {
		send(client, query("9b1f", "read"))
		want(t, client, rowReply)
	}
	if n := stillInUse.Load(); n > 0 { // a client that sends its next query at once could not use a backend connection that is still in use
		t.Errorf("%d replies were written while the backend's connection was in use", n)
	}
	// startServer gives the pool four slots. Once two of them are taken, the pool reuses a connection right after its last
	// reply (see slotsForUnsettled in package upstream). It therefore opens at most two connections.
	if n, q := backend.Accepted(), backend.QueryCount(); n > 2 || q != rounds {
		t.Errorf("%d connections for %d queries", n, q)
	}
}

// TestServer_AcceptErrors checks errors of accept(2). If descriptors or memory run out while no session is open, the
// server waits before it calls Accept again. An error that concerns a single connection does not end Serve.
func TestServer_AcceptErrors(t *testing.T) {
	const failingTime = 300 * time.Millisecond
	for _, c := range []struct {
		errno syscall.Errno
		waits bool
	}{{syscall.EMFILE, true}, {syscall.ENFILE, true}, {syscall.ENOBUFS, true}, {syscall.ENOMEM, true},
		{syscall.ECONNABORTED, false}, {syscall.EPROTO, false}, {syscall.ENETDOWN, false}, {syscall.EHOSTUNREACH, false}} {
		t.Run(c.errno.Error(), func(t *testing.T) {
			t.Parallel()
			var listener *failingListener
			srv, _ := startOneAttempt(t, 16, rowReply, func(l *net.TCPListener) net.Listener {
				listener = &failingListener{Listener: l, errno: c.errno, until: time.Now().Add(failingTime)}
				return listener
			})
			client := dial(t, srv.address)
			send(client, startup, query("9b1f", "read"))
			want(t, client, greeting, rowReply)
			if n := listener.accepts.Load(); c.waits && n > 2+int64(failingTime/(overload.LimitsFor(64).ContendedTimeout/10)) {
				t.Errorf("Accept was called %d times in %v", n, failingTime)
			}
		})
	}
}

// TestServer_AnswersBurstOfNewSessions opens a burst of new connections in each of several rounds. At most one connection
// in 200 may be closed without an answer. In each round, all clients connect at once and send their queries only after all have been
// greeted. A quarter of the clients disconnect without reading the reply.
func TestServer_AnswersBurstOfNewSessions(t *testing.T) {
	srv, _ := startOneAttempt(t, 64, rowReply, nil)
	const rounds, clients = 10, 40
	var closed atomic.Int64
	for round := range rounds {
		var clientsDone, greeted sync.WaitGroup
		greeted.Add(clients)
		for i := range clients {
			client := dial(t, srv.address)
			clientsDone.Go(func() {
				defer func() { _ = client.Close() }()
				send(client, startup)
				_, err := io.ReadFull(client, make([]byte, len(greeting)))
				greeted.Done()
				greeted.Wait() // wait until every client of this round has been greeted
				if err == nil {
					_, err = io.WriteString(client, query(requestID("a", round*clients+i), "read"))
				}
				if i%4 == 0 && err == nil {
					return // disconnect without reading the reply
				}
				if err == nil {
					_, err = io.ReadFull(client, make([]byte, 1))
				}
				if err != nil {
					closed.Add(1)
				}
			})
		}
		clientsDone.Wait()
	}
	if n := closed.Load(); n > rounds*clients/200 {
		t.Errorf("%d of %d new connections were closed without an answer", n, rounds*clients)
	}
	if srv.Accepted.Load() != rounds*clients {
		t.Errorf("%d sessions were accepted", srv.Accepted.Load())
	}
}
