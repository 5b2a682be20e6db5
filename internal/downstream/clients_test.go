package downstream

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/overload"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
	"silvercove/internal/upstream"
)

const (
	asks  = "SELECT content FROM kv WHERE name = '7f3a' /* id=9b1f,c=read,t=acme,d=3000 */"
	other = "SELECT content FROM kv WHERE name = '7f3a' /* id=07,c=read,t=acme,d=3000 */"
)

func message(kind byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body)))) + body
}

var row = message('T', "\x00\x01content\x00"+strings.Repeat("\x00", 18)) + message('D', "\x00\x01\x00\x00\x00\x02hi") +
	message('C', "SELECT 1\x00")

// unit answers each query with what it is told, and counts connections and queries.
type unit struct {
	net.Listener
	answer           string
	together         atomic.Int32 // it answers once so many queries have come
	all              sync.WaitGroup
	conns, questions atomic.Int32
}

func (u *unit) serve() {
	for {
		c, err := u.Accept()
		if err != nil {
			return
		}
		u.conns.Add(1)
		go func() {
			defer func() { _ = c.Close() }()
			b := make([]byte, 1<<10)
			_, _ = c.Read(b)
			_, _ = io.WriteString(c, message('R', "\x00\x00\x00\x00")+string(pgwire.ReadyForQuery()))
			for {
				if _, err := c.Read(b); err != nil || b[0] != 'Q' {
					return
				}
				if u.questions.Add(1) <= u.together.Load() {
					u.all.Done()
					u.all.Wait()
				}
				if u.answer == "" {
					return
				}
				_, _ = io.WriteString(c, u.answer)
			}
		}()
	}
}

// relay is a front with one unit behind it.
func relay(t *testing.T, places int, answer string) (address string, u *unit, f *Server) {
	t.Helper()
	return relayBehind(t, places, answer, func(l net.Listener) net.Listener { return l })
}

// spy sees what is written to clients before they do.
type spy struct {
	net.Listener
	on   func(p []byte)
	late func(c *net.TCPConn)
}

type spied struct {
	*net.TCPConn
	on func(p []byte)

	late func(c *net.TCPConn) // a read that was ended by its deadline, before the relay hears of it
}

func (s *spied) Read(p []byte) (int, error) {
	n, err := s.TCPConn.Read(p)
	if s.late != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		s.late(s.TCPConn)
	}
	return n, err
}

func (s *spy) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &spied{c.(*net.TCPConn), s.on, s.late}, nil
}

func (s *spied) Write(p []byte) (int, error) {
	s.on(p)
	return s.TCPConn.Write(p)
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// relayBehind is relay with something between its listener and it.
func relayBehind(t *testing.T, places int, answer string, wrap func(net.Listener) net.Listener) (address string, u *unit, f *Server) {
	t.Helper()
	u = &unit{Listener: listen(t), answer: answer}
	go u.serve()
	t.Cleanup(func() { _ = u.Close() })
	address, f = relayTo(t, places, u.Addr().String(), 4*time.Second, 1, wrap)
	return address, u, f
}

// relayTo is a front with a unit at an address behind it, none if that is empty.
func relayTo(t *testing.T, places int, at string, limit time.Duration, deliveries int,
	wrap func(net.Listener) net.Listener) (address string, f *Server) {
	t.Helper()
	op := func(name string, repeats balancer.Idempotency) balancer.RequestClass {
		return balancer.RequestClass{Name: name, Idempotency: repeats, LatencyObjective: 1, Deadline: 4, PriorityWeight: 1}
	}
	room := transport.NewBufferBudget(4 << 20)
	nothing := func(string) {}
	g := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Relays:  1,
		Classes: []balancer.RequestClass{op("read", balancer.Idempotent), op("sell", balancer.AtMostOnce)},
		Limits:  balancer.Limits{MaxAttempts: deliveries, MayCancel: true},
	}},
		dispatch.Callbacks{CloseIdle: nothing, WatchEndpoints: func(bool) {}})
	if at != "" {
		g.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "s-1", Address: at, State: "up", Version: 1}})
	}
	g.UpdateStage(dispatch.RolloutStage{Version: 1, Phase: "live", ExposureCap: 1})
	pools := upstream.New(room, 4, time.Second, time.Minute, g)
	f = New(g, pools, room, overload.LimitsFor(places), limit, time.Second)
	l := listen(t)
	wrapped := wrap(l)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.Serve(wrapped) })
	group.Go(func() error { return pools.Run(ctx) })
	group.Go(func() error { return g.RunTimers(ctx) })
	t.Cleanup(func() {
		f.CloseIdleSessions()
		_ = l.Close()
		cancel()
		_ = group.Wait()
	})
	return l.Addr().String(), f
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

func want(t *testing.T, c net.Conn, what string) {
	t.Helper()
	got := make([]byte, len(what))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != what {
		t.Fatalf("got %q (%v), want %q", got[:n], err, what)
	}
}

func TestSessions(t *testing.T) {
	ready, hello := string(pgwire.ReadyForQuery()), string(pgwire.AuthenticationOK())
	no := func(severity, code, text string) string {
		return string(pgwire.ErrorResponse(severity, code, text, ""))
	}
	for _, c := range []struct{ name, unit, send, get string }{
		{"empty query right behind the startup", row + ready, message('Q', "\x00"), string(pgwire.EmptyQueryResponse())},
		{"acked byte for byte", row + ready, message('Q', asks+"\x00"), row + ready},
		{"two queries at once", row + ready, message('Q', asks+"\x00") + message('Q', other+"\x00"), row + ready + row + ready},
		{"two queries of one id at once", row + ready, strings.Repeat(message('Q', asks+"\x00"), 2),
			row + ready + no("ERROR", pgwire.StateInvalidParameter, "a command of this id is open") + ready},
		{"no unit answers an at-most-once command", "", message('Q', strings.Replace(asks, "c=read", "c=sell", 1)+"\x00"),
			no("ERROR", pgwire.StateInternalError, "no answer; it may have run") + ready},
		{"unknown op type", row + ready, message('Q', strings.Replace(asks, "c=read", "c=x", 1)+"\x00"),
			no("ERROR", pgwire.StateInvalidParameter, "unknown op type") + ready},
		{"other statement", row + ready, message('Q', "BEGIN\x00"),
			no("ERROR", pgwire.StateSyntaxError, "no statement of the two forms") + ready},
		{"extended query", row + ready, message('P', "\x00\x00\x00\x00") + message('D', "S\x00") + message('S', ""),
			no("ERROR", pgwire.StateNotSupported, "only simple queries are served") + ready},
		{"overlong query, then another", row + ready,
			message('Q', strings.Repeat("x", pgwire.MaxQuery)+"\x00") + message('Q', "\x00"),
			no("ERROR", pgwire.StateLimitExceeded, "query too long") + ready + string(pgwire.EmptyQueryResponse())},
		{"unknown message", row + ready, message('y', ""), no("FATAL", pgwire.StateProtocolViolation, "unknown message")},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, _, _ := relay(t, 16, c.unit)
			conn := dial(t, address)
			_, _ = io.WriteString(conn, string(pgwire.StartupMessage())+c.send)
			want(t, conn, hello+c.get)
		})
	}
}

func TestStartupForms(t *testing.T) {
	address, _, _ := relay(t, 16, row)
	for _, code := range []string{"\x04\xd2\x16\x2f", "\x04\xd2\x16\x30"} {
		c := dial(t, address)
		_, _ = io.WriteString(c, "\x00\x00\x00\x08"+code)
		want(t, c, "N")
		_, _ = io.WriteString(c, string(pgwire.StartupMessage()))
		want(t, c, string(pgwire.AuthenticationOK()))
	}
	c := dial(t, address)
	_, _ = io.WriteString(c, "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678")
	if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
		t.Errorf("a cancel request got %q, %v", b, err)
	}
}

// A delivery's context is cancelled when it is reported; that must not cost its connection.
func TestUnitConnectionsAreReused(t *testing.T) {
	var front atomic.Pointer[Server]
	busy := atomic.Int64{}
	on := func(p []byte) {
		f := front.Load()
		if f == nil {
			return
		}
		if open, idle := f.pools.InUse(); strings.Contains(string(p), row) && idle != open {
			busy.Add(1)
		}
	}
	address, u, f := relayBehind(t, 16, row+string(pgwire.ReadyForQuery()), func(l net.Listener) net.Listener { return &spy{l, on, nil} })
	front.Store(f)
	c := dial(t, address)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage()))
	want(t, c, string(pgwire.AuthenticationOK()))
	const rounds = 5
	for range rounds {
		_, _ = io.WriteString(c, message('Q', asks+"\x00"))
		want(t, c, row+string(pgwire.ReadyForQuery()))
	}
	if n := busy.Load(); n > 0 { // a client that asks at once would cost a further connection
		t.Errorf("%d answers were written while the unit's connection was in use", n)
	}
	if n, q := u.conns.Load(), u.questions.Load(); n > 2 || q != rounds { // half of its four places until one has settled
		t.Errorf("%d connections for %d queries", n, q)
	}
}

// unsettled tells whether sessions are between two states.
func (f *Server) unsettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open != f.idle.Len()
}

// Past its places the front ends the session idle the longest, and goes on accepting.
func TestIdleSessionsGiveWay(t *testing.T) {
	address, _, f := relay(t, 8, row+string(pgwire.ReadyForQuery()))
	var all []net.Conn
	for i := range 20 {
		c := dial(t, address)
		_, _ = io.WriteString(c, string(pgwire.StartupMessage()))
		want(t, c, string(pgwire.AuthenticationOK()))
		_, _ = io.WriteString(c, message('Q', asks+"\x00"))
		want(t, c, row+string(pgwire.ReadyForQuery()))
		all = append(all, c)
		for f.unsettled() { // else sessions that are still being taken for idle come behind the next one
			time.Sleep(time.Millisecond)
		}
		if i == 0 {
			continue
		}
		if f.Sessions() > 8 {
			t.Fatalf("%d sessions", f.Sessions())
		}
	}
	if b, err := io.ReadAll(all[0]); err != nil || len(b) > 0 {
		t.Errorf("the oldest session got %q, %v", b, err)
	}
	if f.Evicted.Load() == 0 {
		t.Error("no session was evicted")
	}
}

// Queries written behind one another are in work at once and answered in their order.
func TestPipelined(t *testing.T) {
	address, u, _ := relay(t, 16, row+string(pgwire.ReadyForQuery()))
	c := dial(t, address)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage())+message('Q', asks+"\x00")) // an answer makes room at the unit for more
	want(t, c, string(pgwire.AuthenticationOK())+row+string(pgwire.ReadyForQuery()))
	_, _ = io.WriteString(c, message('Q', other+"\x00"))
	want(t, c, row+string(pgwire.ReadyForQuery()))
	u.together.Store(u.questions.Load() + 2)
	u.all.Add(2)
	_, _ = io.WriteString(c, message('Q', asks+"\x00")+message('Q', other+"\x00")+message('Q', "\x00"))
	want(t, c, strings.Repeat(row+string(pgwire.ReadyForQuery()), 2)+string(pgwire.EmptyQueryResponse()))
}

// Clients that connect and say nothing, or a part, give way and are closed soon.
func TestSilentSessionsGiveWay(t *testing.T) {
	address, _, f := relay(t, 8, row+string(pgwire.ReadyForQuery()))
	first := dial(t, address)
	_, _ = io.WriteString(first, string(pgwire.StartupMessage())+message('Q', asks)[:20])
	began := time.Now()
	for range 7 {
		dial(t, address)
	}
	time.Sleep(overload.LimitsFor(0).ContendedTimeout) // they have had their time
	c := dial(t, address)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage())+message('Q', asks+"\x00"))
	want(t, c, string(pgwire.AuthenticationOK())+row+string(pgwire.ReadyForQuery()))
	if b, err := io.ReadAll(first); err != nil || len(b) > 0 {
		t.Errorf("the oldest session got %q, %v", b, err)
	}
	if f.Evicted.Load() == 0 {
		t.Error("no session was evicted")
	}
	if b, err := io.ReadAll(c); err != nil || len(b) > 0 || time.Since(began) > 2*overload.LimitsFor(0).IdleTimeout {
		t.Errorf("an idle session got %q, %v after %v", b, err, time.Since(began))
	}
}

// TestCrossing: a command whose last byte comes as its idle session is to end is answered first, be it at the end of all
// sessions or because another needs the place.
func TestCrossing(t *testing.T) {
	t.Run("end of all", func(t *testing.T) { crosses(t, (*Server).CloseIdleSessions) })
	t.Run("gives way", func(t *testing.T) {
		crosses(t, func(f *Server) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !f.yield() {
				t.Error("it does not give way")
			}
		})
	})
}

func crosses(t *testing.T, end func(f *Server)) {
	t.Helper()
	var client net.Conn
	var once sync.Once
	late := func(c *net.TCPConn) {
		once.Do(func() {
			_, _ = io.WriteString(client, message('Q', asks+"\x00"))
			raw, _ := c.SyscallConn()
			for n, end := 0, time.Now().Add(5*time.Second); n <= 0 && time.Now().Before(end); { // until it is there
				_ = raw.Control(func(fd uintptr) {
					n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				})
			}
		})
	}
	address, _, f := relayBehind(t, 16, row+string(pgwire.ReadyForQuery()), func(l net.Listener) net.Listener {
		return &spy{l, func([]byte) {}, late}
	})
	client = dial(t, address)
	_, _ = io.WriteString(client, string(pgwire.StartupMessage())+message('Q', other+"\x00"))
	want(t, client, string(pgwire.AuthenticationOK())+row+string(pgwire.ReadyForQuery()))
	for f.unsettled() {
		time.Sleep(time.Millisecond)
	}
	end(f)
	want(t, client, row+string(pgwire.ReadyForQuery()))
	if b, err := io.ReadAll(client); err != nil || len(b) > 0 {
		t.Errorf("then it got %q, %v", b, err)
	}
}

// stays checks that the one session goes on for a while.
func stays(t *testing.T, f *Server) {
	t.Helper()
	for until := time.Now().Add(overload.LimitsFor(0).ContendedTimeout / 5); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if f.Sessions() == 0 {
			t.Fatal("its session has ended")
		}
	}
}

// TestLastMinute: at the end of all sessions one that has come and asked nothing yet has a moment for its first command,
// a message that has begun is waited for, and commands behind one another are all answered to a slow reader.
func TestLastMinute(t *testing.T) {
	answer := row + string(pgwire.ReadyForQuery())
	t.Run("a new session", func(t *testing.T) {
		address, _, f := relay(t, 16, answer)
		c := dial(t, address)
		_, _ = io.WriteString(c, string(pgwire.StartupMessage()))
		want(t, c, string(pgwire.AuthenticationOK()))
		f.CloseIdleSessions()
		stays(t, f)
		_, _ = io.WriteString(c, message('Q', asks+"\x00"))
		want(t, c, answer)
		if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
			t.Errorf("then it got %q, %v", b, err)
		}
	})
	t.Run("half a message", func(t *testing.T) {
		address, _, f := relay(t, 16, answer)
		c := dial(t, address)
		_, _ = io.WriteString(c, string(pgwire.StartupMessage())+message('Q', other+"\x00")+message('Q', asks+"\x00")[:20])
		want(t, c, string(pgwire.AuthenticationOK())+answer)
		f.CloseIdleSessions()
		f.CloseIdleSessions()
		stays(t, f)
		_, _ = io.WriteString(c, message('Q', asks+"\x00")[20:40])
		stays(t, f)
		_, _ = io.WriteString(c, message('Q', asks+"\x00")[40:])
		want(t, c, answer)
	})
	t.Run("pipelined, to a slow reader", func(t *testing.T) {
		value := strings.Repeat("v", pgwire.MaxValue)
		large := message('T', "\x00\x01content\x00"+strings.Repeat("\x00", 18)) +
			message('D', "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))+value) +
			message('C', "SELECT 1\x00") + string(pgwire.ReadyForQuery())
		address, u, f := relay(t, 16, large)
		c := dial(t, address)
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
		_, _ = io.WriteString(c, string(pgwire.StartupMessage()))
		want(t, c, string(pgwire.AuthenticationOK()))
		const many = 64
		for i := range many {
			_, _ = io.WriteString(c, message('Q', strings.Replace(asks, "9b1f", fmt.Sprint("a", i), 1)+"\x00"))
		}
		for u.questions.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.StopBefore(time.Now().Add(3 * time.Second))
		f.CloseIdleSessions()
		var in []byte
		for n, b := 0, make([]byte, 8<<10); n < many; {
			var a pgwire.Response
			if err := a.Read(in); err != nil {
				t.Fatal(err)
			}
			if a.Ready {
				in, n = in[a.Consumed:], n+1
				continue
			}
			k, err := c.Read(b)
			if in = append(in, b[:k]...); err != nil {
				t.Fatalf("%d of %d are answered: %v", n, many, err)
			}
		}
	})
}

// TestAnsweredBeforeTheEnd: a command that comes on an open connection after SIGTERM and would wait past SIGKILL is
// answered before that, whatever its client would wait.
func TestAnsweredBeforeTheEnd(t *testing.T) {
	address, u, f := relay(t, 16, row+string(pgwire.ReadyForQuery()))
	c := dial(t, address)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage())+message('Q', asks+"\x00"))
	want(t, c, string(pgwire.AuthenticationOK())+row+string(pgwire.ReadyForQuery()))
	u.all.Add(1 << 10) // it does not answer from now on
	u.together.Store(1 << 10)
	t.Cleanup(func() { u.all.Add(int(u.questions.Load()) - 1 - 1<<10) })
	const left = 700 * time.Millisecond
	f.StopBefore(time.Now().Add(left))
	began := time.Now()
	_, _ = io.WriteString(c, message('Q', other+"\x00"))
	head := make([]byte, 1)
	if _, err := io.ReadFull(c, head); err != nil || head[0] != 'E' {
		t.Errorf("it got %q, %v", head, err)
	}
	if took := time.Since(began); took > 2*left {
		t.Errorf("answered after %v", took)
	}
}

// TestAfterTheEnd: a command that comes when SIGKILL may be there already is answered at once.
func TestAfterTheEnd(t *testing.T) {
	address, u, f := relay(t, 16, row+string(pgwire.ReadyForQuery()))
	c := dial(t, address)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage())+message('Q', asks+"\x00"))
	want(t, c, string(pgwire.AuthenticationOK())+row+string(pgwire.ReadyForQuery()))
	f.StopBefore(time.Now().Add(-time.Second))
	began := time.Now()
	_, _ = io.WriteString(c, message('Q', other+"\x00"))
	if state := answer(t, c); state != pgwire.StateTooManyConnections {
		t.Errorf("answered %s", state)
	}
	if took, n := time.Since(began), u.questions.Load(); took > 100*time.Millisecond || n != 1 {
		t.Errorf("answered after %v, %d effects", took, n)
	}
}

// exhausted is a listener that has an error for a while.
type exhausted struct {
	net.Listener
	errno syscall.Errno
	until time.Time
	asked atomic.Int64
}

func (e *exhausted) Accept() (net.Conn, error) {
	e.asked.Add(1)
	if time.Now().Before(e.until) {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", e.errno)}
	}
	return e.Listener.Accept()
}

// TestNoDescriptors: where others than sessions have all descriptors or buffers, the front waits for some; it does not
// spin, and what accept tells of one connection does not end the relay.
func TestNoDescriptors(t *testing.T) {
	const span = 300 * time.Millisecond
	for _, c := range []struct {
		errno syscall.Errno
		waits bool
	}{{syscall.EMFILE, true}, {syscall.ENFILE, true}, {syscall.ENOBUFS, true}, {syscall.ENOMEM, true},
		{syscall.ECONNABORTED, false}, {syscall.EPROTO, false}, {syscall.ENETDOWN, false}, {syscall.EHOSTUNREACH, false}} {
		t.Run(c.errno.Error(), func(t *testing.T) {
			t.Parallel()
			var e *exhausted
			address, _, _ := relayBehind(t, 16, row+string(pgwire.ReadyForQuery()), func(l net.Listener) net.Listener {
				e = &exhausted{Listener: l, errno: c.errno, until: time.Now().Add(span)}
				return e
			})
			conn := dial(t, address)
			_, _ = io.WriteString(conn, string(pgwire.StartupMessage())+message('Q', asks+"\x00"))
			want(t, conn, string(pgwire.AuthenticationOK())+row+string(pgwire.ReadyForQuery()))
			if n := e.asked.Load(); c.waits && n > 2+int64(span/(overload.LimitsFor(64).ContendedTimeout/10)) {
				t.Errorf("it asked %d times in %v", n, span)
			}
		})
	}
}

// TestNewSessionsAreAnswered: among clients that come all at once, say what they want a moment later, and leave early or
// come again, no more than one in 200 finds its new connection closed with no answer.
func TestNewSessionsAreAnswered(t *testing.T) {
	address, _, f := relay(t, 64, row+string(pgwire.ReadyForQuery()))
	const rounds, many = 10, 40
	var closed atomic.Int64
	for round := range rounds {
		var all, greeted sync.WaitGroup
		greeted.Add(many)
		for i := range many {
			c := dial(t, address)
			all.Go(func() {
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, string(pgwire.StartupMessage()))
				_, err := io.ReadFull(c, make([]byte, len(pgwire.AuthenticationOK())))
				greeted.Done()
				greeted.Wait() // none has asked anything by now
				if err == nil {
					text := strings.Replace(asks, "9b1f", fmt.Sprintf("%x", round*many+i), 1)
					_, err = io.WriteString(c, message('Q', text+"\x00"))
				}
				if i%4 == 0 && err == nil {
					return // it gives up early
				}
				if err == nil {
					_, err = io.ReadFull(c, make([]byte, 1))
				}
				if err != nil {
					closed.Add(1)
				}
			})
		}
		all.Wait()
	}
	if n := closed.Load(); n > rounds*many/200 {
		t.Errorf("%d of %d new connections were closed with no answer", n, rounds*many)
	}
	if f.Accepted.Load() != rounds*many {
		t.Errorf("%d sessions", f.Accepted.Load())
	}
}
