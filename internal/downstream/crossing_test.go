package downstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvercove/internal/dispatch"
	"silvercove/internal/overload"
	"silvercove/internal/pgwire"
)

// until waits for what has to come about.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// leavesNothing checks at the test's end that no goroutine and no descriptor is left of it.
func leavesNothing(t *testing.T) {
	t.Helper()
	_ = listen(t).Close() // the poller has its own
	here, before := goleak.IgnoreCurrent(), descriptors(t)
	t.Cleanup(func() {
		goleak.VerifyNone(t, here)
		until(t, "no descriptor is left", func() bool { return descriptors(t) <= before })
	})
}

// script is a unit that does what a test says with each query; what it was sent counts, also what it does not answer.
type script struct {
	*net.TCPListener
	greet  func()                    // before a connection is greeted; nil: at once
	answer func(n int) (with string) // of the n-th query: nothing is said with an empty one

	mu    sync.Mutex
	seen  []string // the queries' texts
	conns int      // that are open
	all   sync.WaitGroup
}

func newScript(t *testing.T) *script {
	t.Helper()
	u := &script{TCPListener: listen(t)}
	u.answer = func(int) string { return "" }
	u.all.Go(func() {
		for {
			c, err := u.Accept()
			if err != nil {
				return
			}
			u.all.Go(func() { u.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = u.Close()
		u.all.Wait()
	})
	return u
}

func (u *script) count(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns += n
}

func (u *script) open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

func (u *script) queries() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.seen...)
}

func (u *script) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	u.count(1)
	defer u.count(-1)
	b := make([]byte, 4<<10)
	_, _ = c.Read(b)
	if u.greet != nil {
		u.greet()
	}
	_, _ = io.WriteString(c, message('R', "\x00\x00\x00\x00")+string(pgwire.ReadyForQuery()))
	for {
		n, err := c.Read(b)
		if err != nil || b[0] != 'Q' {
			return
		}
		u.mu.Lock()
		u.seen = append(u.seen, string(b[5:n-1]))
		at := len(u.seen)
		u.mu.Unlock()
		with := u.answer(at)
		_, _ = io.WriteString(c, with)
	}
}

func query(id, op string) string {
	return message('Q', "SELECT content FROM kv WHERE name = '7f3a' /* id="+id+",c="+op+",t=acme,d=3000 */\x00")
}

var whole = row + string(pgwire.ReadyForQuery())

// answer reads one whole answer and tells its SQLSTATE: a cold unit gets no more than a few commands at once, and the
// others are nacked.
func answer(t *testing.T, c net.Conn) string {
	t.Helper()
	var in []byte
	for b := make([]byte, 1); ; {
		var a pgwire.Response
		if err := a.Read(in); err != nil {
			t.Fatal(err)
		}
		if a.Ready {
			return a.SQLState
		}
		n, err := c.Read(b)
		if in = append(in, b[:n]...); err != nil {
			t.Fatalf("%q: %v", in, err)
		}
	}
}

// nothingOwed waits until the front and the gate know no command and no session.
func nothingOwed(t *testing.T, f *Server) {
	t.Helper()
	began := time.Now()
	until(t, "the session ends", func() bool { return f.Sessions() == 0 })
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("its session ended after %v", took)
	}
	if n := f.gate.Snapshot(); n.OpenRequests != 0 || n.InFlight != 0 {
		t.Errorf("%d commands are open, %d deliveries out", n.OpenRequests, n.InFlight)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ids) != 0 {
		t.Errorf("%d ids are open", len(f.ids))
	}
}

// TestClientGoes: in whatever state a session is, its client's going is seen at once: nothing more is sent on, and what is
// out is given up.
func TestClientGoes(t *testing.T) {
	slow := query("51", "read") // at a unit that does not answer
	ways := map[string]func(c *net.TCPConn){
		"closes":      func(c *net.TCPConn) { _ = c.Close() },
		"half-closes": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"resets": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	}
	for _, c := range []struct{ name, send string }{
		{"behind nothing", ""},
		{"behind half a query", query("07", "read")[:30]},
		{"behind a query", query("07", "read")},
		{"behind an empty query", message('Q', "\x00")},
		{"behind a malformed query", message('Q', "BEGIN\x00")},
		{"behind one of its id", slow},
		{"behind one of an unknown op type", query("07", "x")},
		{"behind an oversized query", message('Q', strings.Repeat("x", pgwire.MaxQuery)+"\x00")},
		{"behind an extended query", message('P', "\x00\x00\x00\x00") + message('S', "")},
		{"behind an unknown message", message('y', "")},
		{"behind a malformed message", "Q\x00\x00\x00\x00"},
		{"behind more than it may be owed", strings.Repeat(message('Q', "\x00"), 1000)},
		{"behind more commands than it may be owed", strings.Repeat(query("07", "read"), 1000)},
	} {
		for way, leave := range ways {
			t.Run(c.name+"/"+way, func(t *testing.T) {
				leavesNothing(t)
				u := newScript(t)
				address, f := relayTo(t, 64, u.Addr().String(), 4*time.Second, 3, func(l net.Listener) net.Listener { return l })
				conn := dial(t, address).(*net.TCPConn)
				_, _ = io.WriteString(conn, string(pgwire.StartupMessage())+slow)
				until(t, "the unit has the first", func() bool { return len(u.queries()) == 1 })
				_, _ = io.WriteString(conn, c.send)
				leave(conn)
				nothingOwed(t, f)
				until(t, "deliveries are given up", func() bool { return u.open() == 0 })
				for _, q := range u.queries() {
					if !strings.Contains(q, "id=51,") && !strings.Contains(q, "id=07,") {
						t.Errorf("the unit saw %q", q)
					}
				}
			})
		}
	}
}

// TestClientGoesBeforeADelivery: a command that has no delivery out when its client goes has none begun any more.
func TestClientGoesBeforeADelivery(t *testing.T) {
	plain := func(l net.Listener) net.Listener { return l }
	t.Run("while it is held", func(t *testing.T) {
		leavesNothing(t)
		u := newScript(t)
		address, f := relayTo(t, 64, "", 4*time.Second, 3, plain) // no unit is listed
		c := dial(t, address)
		_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("07", "read"))
		until(t, "it is held", func() bool { return f.gate.Snapshot().OpenRequests == 1 })
		_ = c.Close()
		nothingOwed(t, f)
		f.gate.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "s-1", Address: u.Addr().String(), State: "up", Version: 1}})
		if n := f.gate.Snapshot(); n.Classes[0].Abandoned != 1 || n.Attempts != 0 || len(u.queries()) != 0 {
			t.Errorf("%+v", n)
		}
	})
	t.Run("while its connection is made", func(t *testing.T) {
		leavesNothing(t)
		u := newScript(t)
		goOn := make(chan struct{})
		u.greet = func() { <-goOn }
		address, f := relayTo(t, 64, u.Addr().String(), 4*time.Second, 3, plain)
		c := dial(t, address)
		_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("07", "read"))
		until(t, "it is dialled", func() bool { return u.open() == 1 })
		_ = c.Close()
		nothingOwed(t, f)
		close(goOn)
		until(t, "the dial is given up", func() bool { return u.open() == 0 })
		if n := len(u.queries()); n > 0 {
			t.Errorf("the unit saw %d queries", n)
		}
	})
	t.Run("held, and its reader has not had the processor since", func(t *testing.T) {
		leavesNothing(t)
		u := newScript(t)
		came, goOn := make(chan struct{}), make(chan struct{})
		address, f := relayTo(t, 64, "", 4*time.Second, 3, func(l net.Listener) net.Listener {
			return &starved{l.(*net.TCPListener), came, goOn}
		})
		c := dial(t, address)
		_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("07", "read"))
		until(t, "it is held", func() bool { return f.gate.Snapshot().OpenRequests == 1 })
		_ = c.Close()
		<-came // the close, and its reader stands still
		goOnce := sync.OnceFunc(func() { close(goOn) })
		t.Cleanup(goOnce)
		f.gate.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "s-1", Address: u.Addr().String(), State: "up", Weight: 1, Version: 1}})
		until(t, "its going is seen", func() bool { n := f.gate.Snapshot(); return n.Classes[0].Abandoned == 1 && n.InFlight == 0 })
		goOnce()
		nothingOwed(t, f)
		if n := len(u.queries()); n != 0 {
			t.Errorf("the unit saw %d queries", n)
		}
	})
	t.Run("between two attempts", func(t *testing.T) {
		leavesNothing(t)
		u := newScript(t)
		first, goOn := make(chan struct{}), make(chan struct{})
		u.answer = func(n int) string {
			if n == 1 {
				close(first)
				<-goOn
			}
			return string(pgwire.ErrorResponse("ERROR", pgwire.StateTooManyConnections, "full", "")) + string(pgwire.ReadyForQuery())
		}
		address, f := relayTo(t, 64, u.Addr().String(), 4*time.Second, 3, plain)
		c := dial(t, address)
		_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("07", "read"))
		<-first
		_ = c.Close()
		until(t, "its going is seen", func() bool { return f.gate.Snapshot().Classes[0].Abandoned == 1 })
		close(goOn)
		nothingOwed(t, f)
		if n := len(u.queries()); n != 1 {
			t.Errorf("the unit saw %d queries", n)
		}
	})
	t.Run("before the relay looks", func(t *testing.T) {
		leavesNothing(t)
		u := newScript(t)
		gone := make(chan struct{})
		address, f := relayTo(t, 64, u.Addr().String(), 4*time.Second, 3, func(l net.Listener) net.Listener {
			return &held{TCPListener: l.(*net.TCPListener), until: gone}
		})
		c := dial(t, address)
		_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("07", "read")+query("08", "read"))
		_ = c.Close()
		close(gone)
		until(t, "it is accepted", func() bool { return f.Accepted.Load() == 1 })
		nothingOwed(t, f)
		if n := f.gate.Snapshot(); n.Attempts != 0 || len(u.queries()) != 0 {
			t.Errorf("%d deliveries", n.Attempts)
		}
	})
}

// held is a listener that is asked only once something has happened.
type held struct {
	*net.TCPListener
	until chan struct{}
}

func (h *held) Accept() (net.Conn, error) {
	<-h.until
	return h.TCPListener.Accept()
}

// TestAcceptedByTheKernel: what came before the listener's end and was not taken in by then is answered.
func TestAcceptedByTheKernel(t *testing.T) {
	leavesNothing(t)
	u := newScript(t)
	u.answer = func(int) string { return whole }
	goOn := make(chan struct{})
	var l *held
	address, f := relayTo(t, 64, u.Addr().String(), 4*time.Second, 3, func(plain net.Listener) net.Listener {
		l = &held{TCPListener: plain.(*net.TCPListener), until: goOn}
		return l
	})
	const many = 20
	var all [many]net.Conn
	for i := range all {
		all[i] = dial(t, address)
		_, _ = io.WriteString(all[i], string(pgwire.StartupMessage())+query(fmt.Sprint("a", i), "read"))
	}
	f.CloseIdleSessions()
	_ = l.SetDeadline(time.Now())
	close(goOn)
	for _, c := range all {
		want(t, c, string(pgwire.AuthenticationOK()))
		if state := answer(t, c); state != pgwire.StateSuccess && state != pgwire.StateTooManyConnections {
			t.Errorf("answered %s", state)
		}
		if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
			t.Errorf("then it got %q, %v", b, err)
		}
	}
	until(t, "it takes no more", func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
}

// TestQueryCrossesTheClose: at the end of all sessions a client that is still reading its answer sends the next query: the
// answer comes whole, and the query, which is not read, has no effect.
func TestQueryCrossesTheClose(t *testing.T) {
	leavesNothing(t)
	u := newScript(t)
	large := string(pgwire.DataRow([]byte(strings.Repeat("v", pgwire.MaxValue)), "SELECT 1"))
	goOn := make(chan struct{})
	u.answer = func(int) string {
		<-goOn
		return large
	}
	address, f := relayTo(t, 64, u.Addr().String(), 4*time.Second, 3, func(l net.Listener) net.Listener { return l })
	c := dial(t, address)
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("01", "read"))
	until(t, "the unit has it", func() bool { return len(u.queries()) == 1 })
	f.CloseIdleSessions()
	close(goOn)
	until(t, "it is written", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.ids) == 0 && f.gate.Snapshot().Classes[0].Succeeded == 1
	})
	stays(t, f) // while its answer is on the way
	_, _ = io.WriteString(c, query("02", "read"))
	want(t, c, string(pgwire.AuthenticationOK())+large)
	if b, _ := io.ReadAll(c); len(b) > 0 {
		t.Errorf("then it got %q", b)
	}
	if n := len(u.queries()); n != 1 {
		t.Errorf("%d effects", n)
	}
}

// TestMalformedBehindOthers: what is answered at once waits for its turn, without holding up what comes behind it.
func TestMalformedBehindOthers(t *testing.T) {
	leavesNothing(t)
	u := newScript(t)
	goOn := make(chan struct{})
	u.answer = func(n int) string {
		if n == 3 {
			<-goOn
		}
		return whole
	}
	address, _ := relayTo(t, 64, u.Addr().String(), 4*time.Second, 3, func(l net.Listener) net.Listener { return l })
	c := dial(t, address)
	no := string(pgwire.ErrorResponse("ERROR", pgwire.StateSyntaxError, "no statement of the two forms", "")) + string(pgwire.ReadyForQuery())
	_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("01", "read")) // an answer makes room at the unit for more
	want(t, c, string(pgwire.AuthenticationOK())+whole)
	_, _ = io.WriteString(c, query("02", "read"))
	want(t, c, whole)
	_, _ = io.WriteString(c, query("01", "read")+message('Q', "BEGIN\x00")+query("02", "read")+message('Q', "\x00"))
	until(t, "both are at the unit", func() bool { return len(u.queries()) == 4 })
	close(goOn)
	want(t, c, whole+no+whole+string(pgwire.EmptyQueryResponse()))
}

// TestFloodOfOne: what one client writes behind a command that takes its time is not kept but left to wait: then all is
// answered in its order.
func TestFloodOfOne(t *testing.T) {
	leavesNothing(t)
	u := newScript(t)
	goOn := make(chan struct{})
	u.answer = func(int) string {
		<-goOn
		return whole
	}
	address, f := relayTo(t, 64, u.Addr().String(), 4*time.Second, 3, func(l net.Listener) net.Listener { return l })
	c := dial(t, address)
	const many = 5000
	var written sync.WaitGroup
	written.Go(func() {
		_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("01", "read")+strings.Repeat(message('Q', "\x00"), many))
	})
	defer written.Wait()
	until(t, "the unit has the first", func() bool { return len(u.queries()) == 1 })
	stays(t, f)
	if _, kept := f.room.InUse(); kept > 64<<10 {
		t.Errorf("%d bytes are kept", kept)
	}
	close(goOn)
	want(t, c, string(pgwire.AuthenticationOK())+whole+strings.Repeat(string(pgwire.EmptyQueryResponse()), many))
}

// TestClientDoesNotRead: a client that takes no answer within its limit loses its session at once, and not an answer at a
// time.
func TestClientDoesNotRead(t *testing.T) {
	leavesNothing(t)
	u := newScript(t)
	large := string(pgwire.DataRow([]byte(strings.Repeat("v", pgwire.MaxValue)), "SELECT 1"))
	u.answer = func(int) string { return large }
	const limit = 400 * time.Millisecond
	address, f := relayTo(t, 64, u.Addr().String(), limit, 3, func(l net.Listener) net.Listener {
		return &small{l.(*net.TCPListener)}
	})
	c := dial(t, address)
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage()))
	for i := range 40 {
		_, _ = io.WriteString(c, query(fmt.Sprint("b", i), "read"))
	}
	until(t, "it is in", func() bool { return f.Sessions() == 1 })
	began := time.Now()
	until(t, "it is out", func() bool { return f.Sessions() == 0 })
	if took := time.Since(began); took > 4*limit {
		t.Errorf("it kept its session for %v", took)
	}
}

// small is a listener whose connections have small buffers.
type small struct{ *net.TCPListener }

func (s *small) Accept() (net.Conn, error) {
	c, err := s.TCPListener.AcceptTCP()
	if err == nil {
		_ = c.SetWriteBuffer(4 << 10)
	}
	return c, err
}

// TestCutAtEveryByte: a startup and a query that come in two pieces are answered, wherever they are cut, also where the
// end of all sessions comes in between.
func TestCutAtEveryByte(t *testing.T) {
	text := string(pgwire.StartupMessage()) + query("07", "read")
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprint("ends ", ends), func(t *testing.T) {
			leavesNothing(t)
			u := newScript(t)
			u.answer = func(int) string { return whole }
			address, f := relayTo(t, 1024, u.Addr().String(), 4*time.Second, 3, func(l net.Listener) net.Listener { return l })
			all := make([]net.Conn, len(text))
			part := func(i int) string { return strings.Replace(text, "id=07", fmt.Sprintf("id=%02x", i), 1) }
			for i := range all {
				all[i] = dial(t, address)
				_, _ = io.WriteString(all[i], part(i)[:i])
			}
			until(t, "all are in", func() bool { return f.Sessions() == len(all) })
			if ends {
				f.StopBefore(time.Now().Add(4 * time.Second))
				f.CloseIdleSessions()
			}
			for i, c := range all {
				_, _ = io.WriteString(c, part(i)[i:])
			}
			acked := 0
			for i, c := range all {
				want(t, c, string(pgwire.AuthenticationOK()))
				switch state := answer(t, c); state {
				case pgwire.StateSuccess:
					acked++
				case pgwire.StateTooManyConnections:
				default:
					t.Errorf("cut at %d: answered %s", i, state)
				}
				if !ends {
					_ = c.Close()
				} else if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
					t.Errorf("cut at %d: then it got %q, %v", i, b, err)
				}
			}
			if n := len(u.queries()); n != acked || acked == 0 {
				t.Errorf("%d effects, %d acked", n, acked)
			}
		})
	}
}

// TestLateStartup: who has come a while before the end of all sessions, and is greeted behind it, has a moment for its
// command.
func TestLateStartup(t *testing.T) {
	leavesNothing(t)
	u := newScript(t)
	u.answer = func(int) string { return whole }
	address, f := relayTo(t, 64, u.Addr().String(), 4*time.Second, 3, func(l net.Listener) net.Listener { return l })
	c := dial(t, address)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage()[:9]))
	until(t, "it is in", func() bool { return f.Sessions() == 1 })
	time.Sleep(overload.LimitsFor(64).ContendedTimeout + lastLook) // its moment is over
	f.CloseIdleSessions()
	_, _ = io.WriteString(c, string(pgwire.StartupMessage()[9:]))
	want(t, c, string(pgwire.AuthenticationOK()))
	stays(t, f)
	_, _ = io.WriteString(c, query("07", "read"))
	want(t, c, whole)
}

// TestFirstQueryAtTheEndOfItsWait: a first query that begins just before a new session is given up has as long to be whole
// as any other.
func TestFirstQueryAtTheEndOfItsWait(t *testing.T) {
	leavesNothing(t)
	u := newScript(t)
	u.answer = func(int) string { return whole }
	address, f := relayTo(t, 64, u.Addr().String(), time.Second, 3, func(l net.Listener) net.Listener { return l })
	keep := overload.LimitsFor(64).IdleTimeout
	c := dial(t, address)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage()))
	want(t, c, string(pgwire.AuthenticationOK()))
	time.Sleep(keep - 300*time.Millisecond)
	_, _ = io.WriteString(c, query("07", "read")[:20])
	time.Sleep(500 * time.Millisecond)
	if f.Sessions() == 0 {
		t.Fatal("its session has ended")
	}
	_, _ = io.WriteString(c, query("07", "read")[20:])
	want(t, c, whole)
}

// TestHalfAQueryKeepsItsPlace: of a session that was idle for a while and sends its next command in pieces, the place is
// not given away between two of them to who has come just then.
func TestHalfAQueryKeepsItsPlace(t *testing.T) {
	leavesNothing(t)
	u := newScript(t)
	u.answer = func(int) string { return whole }
	address, f := relayTo(t, 8, u.Addr().String(), 4*time.Second, 3, func(l net.Listener) net.Listener { return l })
	c := dial(t, address)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("07", "read"))
	want(t, c, string(pgwire.AuthenticationOK())+whole)
	time.Sleep(overload.LimitsFor(8).ContendedTimeout + lastLook)
	_, _ = io.WriteString(c, query("08", "read")[:20])
	until(t, "its command has begun", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.young.Len() == 1
	})
	for range 7 {
		dial(t, address)
	}
	until(t, "all places are taken", func() bool { return f.Accepted.Load() == 8 })
	_, _ = io.WriteString(c, query("08", "read")[20:])
	want(t, c, whole)
}

// TestSilentOnesGiveWayToOneThatWaits: where silent ones that have just come have all places, the spare ones too, the next
// client waits as long as a message may take there, and not as long as they might stay.
func TestSilentOnesGiveWayToOneThatWaits(t *testing.T) {
	leavesNothing(t)
	u := newScript(t)
	u.answer = func(int) string { return whole }
	address, f := relayTo(t, 8, u.Addr().String(), 4*time.Second, 3, func(l net.Listener) net.Listener { return l })
	for range 8 {
		dial(t, address)
	}
	began := time.Now()
	c := dial(t, address)
	_, _ = io.WriteString(c, string(pgwire.StartupMessage())+query("07", "read"))
	want(t, c, string(pgwire.AuthenticationOK())+whole)
	if took := time.Since(began); took > overload.LimitsFor(8).IdleTimeout/2 {
		t.Errorf("answered after %v, %d sessions", took, f.Sessions())
	}
}

// starved is a listener of connections whose reader, once the other side has closed, goes on only when it is told to.
type starved struct {
	*net.TCPListener
	came, goOn chan struct{}
}

type starvedConn struct {
	*net.TCPConn
	of *starved
}

func (s *starved) Accept() (net.Conn, error) {
	c, err := s.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &starvedConn{c.(*net.TCPConn), s}, nil
}

func (c *starvedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		close(c.of.came)
		<-c.of.goOn
	}
	return n, err
}
