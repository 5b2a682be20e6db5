package downstream

import (
	"net"
	"testing"
	"time"

	"silvercove/internal/overload"
	"silvercove/internal/standin/leakcheck"
)

// TestServer_EvictsIdleSessions checks that the server, once its slots are taken, evicts the session that has been idle
// the longest, and goes on accepting.
func TestServer_EvictsIdleSessions(t *testing.T) {
	srv, _ := startOneAttempt(t, 8, rowReply, nil)
	var clients []net.Conn
	for range 20 {
		client := dial(t, srv.address)
		send(client, startup)
		want(t, client, greeting)
		send(client, query("9b1f", "read"))
		want(t, client, rowReply)
		clients = append(clients, client)
		srv.awaitAllIdle(t) // the sessions must enter the idle list in the order of clients, so that clients[0] is evicted first
		if srv.Sessions() > 8 {
			t.Fatalf("%d sessions", srv.Sessions())
		}
	}
	wantEnd(t, clients[0])
	if srv.Evicted.Load() == 0 {
		t.Error("no session was evicted")
	}
}

// TestServer_EvictsSilentSessions checks that sessions whose clients send nothing, or only part of a message, are
// evicted in favour of a new session, and that the new session ends by the idle timeout after its request.
func TestServer_EvictsSilentSessions(t *testing.T) {
	srv, _ := startOneAttempt(t, 8, rowReply, nil)
	first := dial(t, srv.address)
	send(first, startup, query("9b1f", "read")[:20])
	began := time.Now()
	for range 7 {
		dial(t, srv.address)
	}
	time.Sleep(overload.LimitsFor(0).ContendedTimeout) // silent sessions are evicted only after this time
	client := dial(t, srv.address)
	send(client, startup, query("9b1f", "read"))
	want(t, client, greeting, rowReply)
	wantEnd(t, first)
	if srv.Evicted.Load() == 0 {
		t.Error("no session was evicted")
	}
	wantEnd(t, client)
	if took := time.Since(began); took > 2*overload.LimitsFor(0).IdleTimeout {
		t.Errorf("the idle session ended after %v", took)
	}
}

// TestServer_WaitsForContendedSlot checks how long a client waits if new silent sessions hold all slots, including the
// spare ones. It should wait about ContendedTimeout, which is how long a message may take while slots are contended,
// and not until the silent sessions reach their idle timeout.
func TestServer_WaitsForContendedSlot(t *testing.T) {
	leakcheck.Verify(t)
	backend := startReplying(t, func(int) string { return rowReply })
	srv := startServer(t, serverOptions{sessions: 8, backend: backend.Address, messageTimeout: generousTimeout, maxAttempts: 3})
	for range 8 {
		dial(t, srv.address)
	}
	began := time.Now()
	client := dial(t, srv.address)
	send(client, startup, query("07", "read"))
	want(t, client, greeting, rowReply)
	if took := time.Since(began); took > overload.LimitsFor(8).IdleTimeout/2 {
		t.Errorf("answered after %v, %d sessions", took, srv.Sessions())
	}
}

// TestSession_PartialQueryKeepsSlot checks that a session which was idle for a while and sends its next query in pieces
// does not lose its slot to a new client between two of the pieces.
func TestSession_PartialQueryKeepsSlot(t *testing.T) {
	leakcheck.Verify(t)
	backend := startReplying(t, func(int) string { return rowReply })
	srv := startServer(t, serverOptions{sessions: 8, backend: backend.Address, messageTimeout: generousTimeout, maxAttempts: 3})
	client := dial(t, srv.address)
	send(client, startup, query("07", "read"))
	want(t, client, greeting, rowReply)
	time.Sleep(overload.LimitsFor(8).ContendedTimeout + finalAcceptTime)
	send(client, query("08", "read")[:20])
	waitUntil(t, "the query has begun", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return srv.incomplete.Len() == 1
	})
	for range 7 {
		dial(t, srv.address)
	}
	waitUntil(t, "all slots are taken", func() bool { return srv.Accepted.Load() == 8 })
	send(client, query("08", "read")[20:])
	want(t, client, rowReply)
}
