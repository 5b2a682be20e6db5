package downstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/overload"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/standin/scriptedbackend"
	"silvercove/internal/transport"
	"silvercove/internal/upstream"
)

// Messages that tests send and expect.
var (
	startup       = string(pgwire.StartupMessage())
	greeting      = string(pgwire.AuthenticationOK())
	readyForQuery = string(pgwire.ReadyForQuery())
	emptyQuery    = scriptedbackend.Message(pgwire.FrontendQuery, "\x00")
	emptyReply    = string(pgwire.EmptyQueryResponse())
	row           = scriptedbackend.Row("hi")
	rowReply      = scriptedbackend.RowReply("hi")
	largeReply    = string(pgwire.DataRow([]byte(strings.Repeat("v", pgwire.MaxValue)), "SELECT 1"))
)

const generousTimeout = 4 * time.Second // message timeout in tests that do not test the timeout

// query returns a query message with an ID and a request class.
func query(id, class string) string {
	return simpleQuery("SELECT content FROM kv WHERE name = '7f3a' /* id=" + id + ",c=" + class + ",t=acme,d=3000 */")
}

func simpleQuery(text string) string {
	return scriptedbackend.Message(pgwire.FrontendQuery, text+"\x00")
}

// errorReply returns an ErrorResponse without a Retry-After.
func errorReply(severity, sqlState, text string) string {
	return string(pgwire.ErrorResponse(severity, sqlState, text, ""))
}

// serverOptions are the options in which the test servers differ.
type serverOptions struct {
	sessions       int
	backend        string // address of the only backend; empty if none is listed
	messageTimeout time.Duration
	maxAttempts    int
	wrap           func(*net.TCPListener) net.Listener // wraps the listener; nil to use the listener itself
}

// testServer is a listening server with a pool and a dispatcher.
type testServer struct {
	*Server
	address string
}

// startServer starts a server that runs until the test ends.
func startServer(tb testing.TB, o serverOptions) testServer {
	tb.Helper()
	class := func(name string, idempotency balancer.Idempotency) balancer.RequestClass {
		return balancer.RequestClass{Name: name, Idempotency: idempotency, LatencyObjective: 1, Deadline: 4, PriorityWeight: 1}
	}
	buffers := transport.NewBufferBudget(4 << 20)
	dispatcher := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Relays:  1,
		Classes: []balancer.RequestClass{class("read", balancer.Idempotent), class("sell", balancer.AtMostOnce)},
		Limits:  balancer.Limits{MaxAttempts: o.maxAttempts, MayCancel: true},
	}}, dispatch.Callbacks{CloseIdle: func(string) {}, WatchEndpoints: func(bool) {}})
	if o.backend != "" {
		dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "s-1", Address: o.backend, State: "up", Version: 1}})
	}
	dispatcher.UpdateStage(dispatch.RolloutStage{Version: 1, Phase: "live", ExposureCap: 1})
	pool := upstream.New(buffers, 4, time.Second, time.Minute, dispatcher)
	srv := New(dispatcher, pool, buffers, overload.LimitsFor(o.sessions), o.messageTimeout, time.Second)
	tcp := listen(tb)
	var listener net.Listener = tcp
	if o.wrap != nil {
		listener = o.wrap(tcp)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return srv.Serve(listener) })
	group.Go(func() error { return pool.Run(ctx) })
	group.Go(func() error { return dispatcher.RunTimers(ctx) })
	tb.Cleanup(func() {
		srv.CloseIdleSessions()
		_ = tcp.Close() // an error is ignored: Serve closes the listener itself if the listener's deadline has passed
		cancel()
		if err := group.Wait(); err != nil {
			tb.Errorf("the server, the pool or the dispatcher ended with %v", err)
		}
	})
	return testServer{srv, tcp.Addr().String()}
}

// startDefault starts a server with the options that most tests use, and with one backend.
func startDefault(tb testing.TB, backend *scriptedbackend.Backend) testServer {
	tb.Helper()
	return startServer(tb, serverOptions{sessions: 64, backend: backend.Address, messageTimeout: generousTimeout, maxAttempts: 3})
}

// startOneAttempt starts a server that makes one attempt for each request, and a backend that gives the same reply to
// all queries.
func startOneAttempt(tb testing.TB, sessions int, reply string, wrap func(*net.TCPListener) net.Listener) (testServer, *scriptedbackend.Backend) {
	tb.Helper()
	backend := startReplying(tb, func(int) string { return reply })
	return startServer(tb, serverOptions{
		sessions:       sessions,
		backend:        backend.Address,
		messageTimeout: generousTimeout,
		maxAttempts:    1,
		wrap:           wrap,
	}), backend
}

// startReplying starts a backend that answers each query with the result of reply(number). number counts the queries
// from 1.
func startReplying(tb testing.TB, reply func(number int) string) *scriptedbackend.Backend {
	tb.Helper()
	return scriptedbackend.Start(tb, func(b *scriptedbackend.Backend, _ int, conn *net.TCPConn) {
		b.Greet(conn)
		b.Reply(conn, func(_ string, number int) string { return reply(number) })
	})
}

// startReplyingLater starts a backend that gives the same reply to all queries once proceed is closed.
func startReplyingLater(tb testing.TB, reply string) (backend *scriptedbackend.Backend, proceed chan struct{}) {
	tb.Helper()
	proceed = make(chan struct{})
	return startReplying(tb, func(int) string {
		<-proceed
		return reply
	}), proceed
}

// startSilent starts a backend that answers no query.
func startSilent(tb testing.TB) *scriptedbackend.Backend {
	tb.Helper()
	return startReplying(tb, func(int) string { return "" })
}

func listen(tb testing.TB) *net.TCPListener {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// dial connects a client, whose reads and writes fail after five seconds.
func dial(tb testing.TB, address string) *net.TCPConn {
	tb.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = c.Close() }) // the test may have closed the connection
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		tb.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// send sends the given parts in one write. A write error is ignored, because the test then fails when it does not get
// the expected replies.
func send(c net.Conn, parts ...string) {
	_, _ = io.WriteString(c, strings.Join(parts, ""))
}

// want reads as many bytes as the given parts have together, and checks that the bytes equal the parts.
func want(tb testing.TB, c net.Conn, parts ...string) {
	tb.Helper()
	expected := strings.Join(parts, "")
	got := make([]byte, len(expected))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != expected {
		tb.Fatalf("got %q (%v), want %q", got[:n], err, expected)
	}
}

// wantEnd checks that the server closes the connection and sends nothing more.
func wantEnd(tb testing.TB, c net.Conn) {
	tb.Helper()
	if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
		tb.Errorf("received %q before the end, %v", b, err)
	}
}

// replyState reads one complete reply and returns its SQLSTATE. Tests use it where a request may be rejected: the relay
// sends only a few requests at a time to a backend that has answered few so far, and rejects further requests.
func replyState(tb testing.TB, c net.Conn) string {
	tb.Helper()
	var in []byte
	for b := make([]byte, 1); ; {
		var reply pgwire.Response
		if err := reply.Read(in); err != nil {
			tb.Fatal(err)
		}
		if reply.Ready {
			return reply.SQLState
		}
		n, err := c.Read(b)
		in = append(in, b[:n]...)
		if err != nil {
			tb.Fatalf("%q: %v", in, err)
		}
	}
}

// waitUntil calls the function holds until it returns true. If that takes too long, the test fails with the text in the
// parameter what, which describes the condition.
func waitUntil(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	backends.Eventually(tb, what, holds)
}

// staysOpen checks that the only session stays open for a fifth of ContendedTimeout.
func (s testServer) staysOpen(tb testing.TB) {
	tb.Helper()
	end := time.Now().Add(overload.LimitsFor(0).ContendedTimeout / 5)
	for ; time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.Sessions() == 0 {
			tb.Fatal("the session has ended")
		}
	}
}

// awaitAllIdle waits until all sessions are in the idle list. A session gets there only some time after its client has
// the reply.
func (s testServer) awaitAllIdle(tb testing.TB) {
	tb.Helper()
	waitUntil(tb, "all sessions are idle", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.sessions == s.idle.Len()
	})
}

// wantAllClosed checks that all sessions end within half a second and that no request is left.
func (s testServer) wantAllClosed(tb testing.TB) {
	tb.Helper()
	const maxTime = 500 * time.Millisecond
	began := time.Now()
	waitUntil(tb, "all sessions end", func() bool { return s.Sessions() == 0 })
	if took := time.Since(began); took > maxTime {
		tb.Errorf("the sessions ended after %v", took)
	}
	if n := s.dispatcher.Snapshot(); n.OpenRequests != 0 || n.InFlight != 0 {
		tb.Errorf("%d requests are open, %d attempts in flight", n.OpenRequests, n.InFlight)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.requestIDs) != 0 {
		tb.Errorf("%d request IDs are still in use", len(s.requestIDs))
	}
}

// requestID returns the ID of a test's n-th request.
func requestID(prefix string, n int) string { return fmt.Sprint(prefix, n) }
