package downstream

import (
	"net"
	"strings"
	"sync"
	"testing"

	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/standin/leakcheck"
	"silvercove/internal/standin/scriptedbackend"
)

// TestSession_ClientDisconnects checks that a disconnect of the client is detected at once, whatever the state of the
// session: nothing more is sent to a backend, and attempts in flight are abandoned.
func TestSession_ClientDisconnects(t *testing.T) {
	slow := query("51", "read") // the backend of this test never answers it
	disconnects := map[string]func(c *net.TCPConn){
		"closes":      func(c *net.TCPConn) { _ = c.Close() },
		"half-closes": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"resets":      scriptedbackend.Kill,
	}
	for _, c := range []struct{ name, send string }{
		{"after nothing", ""},
		{"after half a query", query("07", "read")[:30]},
		{"after a query", query("07", "read")},
		{"after an empty query", emptyQuery},
		{"after a malformed query", simpleQuery("BEGIN")},
		{"after a query with the same ID", slow},
		{"after a query of an unknown request class", query("07", "x")},
		{"after an oversized query", simpleQuery(strings.Repeat("x", pgwire.MaxQuery))},
		{"after an extended query", scriptedbackend.Message('P', "\x00\x00\x00\x00") + scriptedbackend.Message('S', "")},
		{"after an unknown message", scriptedbackend.Message('y', "")},
		{"after a malformed message", "Q\x00\x00\x00\x00"},
		{"after more messages than pending replies are allowed", strings.Repeat(emptyQuery, 1000)},
		{"after more requests than pending replies are allowed", strings.Repeat(query("07", "read"), 1000)},
	} {
		for way, disconnect := range disconnects {
			t.Run(c.name+"/"+way, func(t *testing.T) {
				leakcheck.Verify(t)
				backend := startSilent(t)
				srv := startDefault(t, backend)
				client := dial(t, srv.address)
				send(client, startup, slow)
				waitUntil(t, "the backend has the first query", func() bool { return backend.QueryCount() == 1 })
				send(client, c.send)
				disconnect(client)
				srv.wantAllClosed(t)
				waitUntil(t, "the attempts are given up", func() bool { return backend.OpenConnections() == 0 })
				for _, text := range backend.Queries() {
					if !strings.Contains(text, "id=51,") && !strings.Contains(text, "id=07,") {
						t.Errorf("the backend saw %q", text)
					}
				}
			})
		}
	}
}

// TestSession_ClientDisconnectsBeforeAnAttempt checks that no attempt begins for a request that has no attempt in
// flight when its client disconnects.
func TestSession_ClientDisconnectsBeforeAnAttempt(t *testing.T) {
	t.Run("while it is queued", disconnectWhileQueued)
	t.Run("while its backend connection is being opened", disconnectWhileDialing)
	t.Run("while it is queued and its reader is not scheduled", disconnectWithStalledReader)
	t.Run("between two attempts", disconnectBetweenAttempts)
	t.Run("before the connection is accepted", disconnectBeforeAccept)
}

func disconnectWhileQueued(t *testing.T) {
	leakcheck.Verify(t)
	backend := startSilent(t)
	srv := startServer(t, serverOptions{sessions: 64, messageTimeout: generousTimeout, maxAttempts: 3}) // no backend is listed, so the request stays queued
	client := dial(t, srv.address)
	send(client, startup, query("07", "read"))
	waitUntil(t, "the request is queued", func() bool { return srv.dispatcher.Snapshot().OpenRequests == 1 })
	_ = client.Close()
	srv.wantAllClosed(t)
	srv.dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "s-1", Address: backend.Address, State: "up", Version: 1}})
	if n := srv.dispatcher.Snapshot(); n.Classes[0].Abandoned != 1 || n.Attempts != 0 || backend.QueryCount() != 0 {
		t.Errorf("want one abandoned request and no attempt, got %+v", n)
	}
}

func disconnectWhileDialing(t *testing.T) {
	leakcheck.Verify(t)
	proceed := make(chan struct{})
	backend := scriptedbackend.Start(t, func(b *scriptedbackend.Backend, _ int, conn *net.TCPConn) {
		b.ReadStartup(conn)
		<-proceed
		scriptedbackend.Write(conn, pgwire.AuthenticationOK())
		b.Reply(conn, func(string, int) string { return "" })
	})
	srv := startDefault(t, backend)
	client := dial(t, srv.address)
	send(client, startup, query("07", "read"))
	waitUntil(t, "the backend is dialled", func() bool { return backend.OpenConnections() == 1 })
	_ = client.Close()
	srv.wantAllClosed(t)
	close(proceed)
	waitUntil(t, "the dial is given up", func() bool { return backend.OpenConnections() == 0 })
	if n := backend.QueryCount(); n > 0 {
		t.Errorf("the backend saw %d queries", n)
	}
}

func disconnectWithStalledReader(t *testing.T) {
	leakcheck.Verify(t)
	backend := startSilent(t)
	closeSeen, proceed := make(chan struct{}), make(chan struct{})
	srv := startServer(t, serverOptions{
		sessions:       64,
		messageTimeout: generousTimeout,
		maxAttempts:    3,
		wrap: func(l *net.TCPListener) net.Listener {
			return &hookedListener{TCPListener: l, onEOF: func() {
				close(closeSeen)
				<-proceed
			}}
		},
	})
	client := dial(t, srv.address)
	send(client, startup, query("07", "read"))
	waitUntil(t, "the request is queued", func() bool { return srv.dispatcher.Snapshot().OpenRequests == 1 })
	_ = client.Close()
	<-closeSeen // from here until resume is called, onEOF blocks the session's goroutine, so it cannot report that the client closed
	resume := sync.OnceFunc(func() { close(proceed) })
	t.Cleanup(resume)
	srv.dispatcher.UpdateEndpoints(true,
		[]dispatch.Endpoint{{Name: "s-1", Address: backend.Address, State: "up", Weight: 1, Version: 1}})
	waitUntil(t, "the disconnect is detected", func() bool {
		n := srv.dispatcher.Snapshot()
		return n.Classes[0].Abandoned == 1 && n.InFlight == 0
	})
	resume()
	srv.wantAllClosed(t)
	if n := backend.QueryCount(); n != 0 {
		t.Errorf("the backend saw %d queries", n)
	}
}

func disconnectBetweenAttempts(t *testing.T) {
	leakcheck.Verify(t)
	firstQuery, proceed := make(chan struct{}), make(chan struct{})
	full := errorReply("ERROR", pgwire.StateTooManyConnections, "full") + readyForQuery
	backend := startReplying(t, func(number int) string {
		if number == 1 {
			close(firstQuery)
			<-proceed
		}
		return full
	})
	srv := startDefault(t, backend)
	client := dial(t, srv.address)
	send(client, startup, query("07", "read"))
	<-firstQuery
	_ = client.Close()
	waitUntil(t, "the disconnect is detected", func() bool { return srv.dispatcher.Snapshot().Classes[0].Abandoned == 1 })
	close(proceed)
	srv.wantAllClosed(t)
	if n := backend.QueryCount(); n != 1 {
		t.Errorf("the backend saw %d queries", n)
	}
}

func disconnectBeforeAccept(t *testing.T) {
	leakcheck.Verify(t)
	backend := startSilent(t)
	disconnected := make(chan struct{})
	srv := startServer(t, serverOptions{
		sessions:       64,
		backend:        backend.Address,
		messageTimeout: generousTimeout,
		maxAttempts:    3,
		wrap:           func(l *net.TCPListener) net.Listener { return &hookedListener{TCPListener: l, hold: disconnected} },
	})
	client := dial(t, srv.address)
	send(client, startup, query("07", "read"), query("08", "read"))
	_ = client.Close()
	close(disconnected)
	waitUntil(t, "the connection is accepted", func() bool { return srv.Accepted.Load() == 1 })
	srv.wantAllClosed(t)
	if n := srv.dispatcher.Snapshot(); n.Attempts != 0 || backend.QueryCount() != 0 {
		t.Errorf("%d attempts, want none", n.Attempts)
	}
}
