package relay

import (
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

	"go.uber.org/goleak"

	"silvercove/internal/pgwire"
	"silvercove/internal/standin/backends"
)

// script is a unit that does what a test says with each query. What it has got whole counts, whether or not it answers.
type script struct {
	net.Listener
	answer func(n int) string // of the n-th query; empty: it says nothing
	seen   atomic.Int64
	all    sync.WaitGroup
}

func newScript(t *testing.T, answer func(n int) string) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &script{Listener: l, answer: answer}
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

func (u *script) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := make([]byte, 4<<10)
	_, _ = c.Read(b)
	_, _ = io.WriteString(c, "R\x00\x00\x00\x08\x00\x00\x00\x00"+string(pgwire.ReadyForQuery()))
	for {
		if _, err := c.Read(b); err != nil || b[0] != 'Q' {
			return
		}
		_, _ = io.WriteString(c, u.answer(int(u.seen.Add(1))))
	}
}

var whole = string(pgwire.DataRow([]byte("hi"), "SELECT 1"))

func says(int) string { return whole }

func silent(int) string { return "" }

// crossing is a relay with a scripted unit, of which nothing may be left.
type crossing struct {
	t       *testing.T
	unit    *script
	desk    *desk
	replace func(string)
	listen  string
	ended   chan error
	began   time.Time // when SIGTERM was sent
	before  int
	here    goleak.Option
	all     []*client
}

func newCrossing(t *testing.T, answer func(int) string) *crossing {
	t.Helper()
	c := &crossing{t: t, unit: newScript(t, answer)}
	c.desk = newDesk(t, c.unit.Addr().String())
	c.before, c.here = descriptors(t), goleak.IgnoreCurrent()
	c.replace, c.listen, c.ended = started(t, c.desk, c.desk)
	return c
}

func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

func (c *crossing) signal(s syscall.Signal) {
	c.t.Helper()
	if s == syscall.SIGTERM && c.began.IsZero() {
		c.began = time.Now()
	}
	kill(c.t, os.Getpid(), s)
}

// wound waits until no new connections are taken: by then sessions end between commands.
func (c *crossing) wound() {
	c.t.Helper()
	backends.Until(c.t, "it takes no new connections", func() bool {
		conn, err := net.Dial("tcp", c.listen)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
}

// finished checks that the relay ends in order, and that nothing of it is left.
func (c *crossing) finished() {
	c.t.Helper()
	over(c.t, c.ended)
	for _, one := range c.all {
		_ = one.Close()
	}
	if err := goleak.Find(c.here); err != nil {
		c.t.Error(err)
	}
	backends.Until(c.t, "no descriptor is left", func() bool { return descriptors(c.t) <= c.before })
}

// client is one session.
type client struct {
	*net.TCPConn
	t  *testing.T
	in []byte
}

func (c *crossing) client(send string) *client {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(conn, send)
	one := &client{conn.(*net.TCPConn), c.t, nil}
	c.all = append(c.all, one)
	return one
}

// answer reads one whole answer and tells its SQLSTATE; empty: the session has ended, with nothing of it.
func (c *client) answer() string {
	c.t.Helper()
	for b := make([]byte, 4<<10); ; {
		var a pgwire.Response
		if err := a.Read(c.in); err != nil {
			c.t.Errorf("%q: %v", c.in, err)
			return "?"
		}
		if a.Ready {
			c.in = c.in[a.Consumed:]
			return a.SQLState
		}
		n, err := c.Read(b)
		if c.in = append(c.in, b[:n]...); err != nil {
			if len(c.in) > 0 || os.IsTimeout(err) {
				c.t.Errorf("half an answer: %q, %v", c.in, err)
			}
			return ""
		}
	}
}

// greeted reads what a new session is greeted with.
func (c *client) greeted() {
	c.t.Helper()
	got := make([]byte, len(pgwire.AuthenticationOK()))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != string(pgwire.AuthenticationOK()) {
		c.t.Fatalf("greeted with %q, %v", got[:n], err)
	}
}

// final checks that there is one final answer, one of some, and that nothing follows.
func (c *client) final(states ...string) string {
	c.t.Helper()
	state := c.answer()
	if !strings.Contains(strings.Join(states, " "), state) || state == "" {
		c.t.Errorf("answered %q, want one of %q", state, states)
	}
	if b, err := io.ReadAll(c); err != nil || len(b) > 0 || len(c.in) > 0 {
		c.t.Errorf("then it got %q, %v", append(c.in, b...), err)
	}
	return state
}

func asking(id any, ms int) string {
	return string(pgwire.SimpleQuery(fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%v,c=a,t=t,d=%d */", id, ms)))
}

var hail = string(pgwire.StartupMessage())

// TestSIGTERM crosses it with a client that is at each step of a session.
func TestSIGTERM(t *testing.T) {
	t.Run("between accept and first byte", func(t *testing.T) {
		c := newCrossing(t, says)
		one := c.client("")
		c.signal(syscall.SIGTERM)
		_, _ = io.WriteString(one, hail+asking(1, 2000))
		one.greeted()
		one.final(pgwire.StateSuccess)
		c.finished()
		if n := c.unit.seen.Load(); n != 1 {
			t.Errorf("%d effects", n)
		}
	})
	t.Run("amid startups and queries, with SIGHUP before and after", func(t *testing.T) {
		c := newCrossing(t, says)
		text := hail + asking("07", 2000)
		var all []*client
		for at := 1; at < len(text); at += 7 {
			all = append(all, c.client(strings.Replace(text, "id=07", fmt.Sprintf("id=%02x", at), 1)[:at]))
		}
		c.signal(syscall.SIGHUP)
		c.signal(syscall.SIGTERM)
		c.wound()
		c.signal(syscall.SIGHUP)
		acked := int64(0)
		for i, one := range all {
			at := 1 + 7*i
			_, _ = io.WriteString(one, strings.Replace(text, "id=07", fmt.Sprintf("id=%02x", at), 1)[at:])
		}
		for _, one := range all {
			one.greeted()
			if one.final(pgwire.StateSuccess, pgwire.StateTooManyConnections) == pgwire.StateSuccess {
				acked++
			}
		}
		c.finished()
		if n := c.unit.seen.Load(); n != acked || acked == 0 {
			t.Errorf("%d effects, %d acked", n, acked)
		}
	})
	t.Run("last byte in the last half second", func(t *testing.T) {
		c := newCrossing(t, silent)
		one := c.client(hail)
		one.greeted()
		c.signal(syscall.SIGTERM)
		time.Sleep(time.Until(c.began.Add(acceptGrace * 4 / 5)))
		text := asking(1, 2000)
		_, _ = io.WriteString(one, text[:20])
		time.Sleep(time.Until(c.began.Add(2*time.Second + 200*time.Millisecond))) // SIGKILL may come 0.5 s later
		_, _ = io.WriteString(one, text[20:])
		one.final(pgwire.StateInternalError, pgwire.StateTooManyConnections)
		if at := time.Since(c.began); at > 2700*time.Millisecond {
			t.Errorf("answered %v after SIGTERM", at)
		}
		c.finished()
		if n := c.unit.seen.Load(); n > 1 {
			t.Errorf("%d effects", n)
		}
	})
	t.Run("pipelined queries behind a slow one", func(t *testing.T) {
		goOn := make(chan struct{})
		c := newCrossing(t, func(n int) string {
			if n == 1 {
				<-goOn
			}
			return whole
		})
		one := c.client(hail + asking(1, 2000))
		backends.Until(t, "the unit has the first", func() bool { return c.unit.seen.Load() == 1 })
		_, _ = io.WriteString(one, string(pgwire.SimpleQuery("BEGIN"))+string(pgwire.SimpleQuery(""))+asking(2, 2000))
		c.signal(syscall.SIGTERM)
		c.wound()
		close(goOn)
		one.greeted()
		for _, state := range []string{pgwire.StateSuccess, pgwire.StateSyntaxError, pgwire.StateSuccess} {
			if got := one.answer(); got != state {
				t.Errorf("answered %q, want %q", got, state)
			}
		}
		acked := int64(1)
		if one.final(pgwire.StateSuccess, pgwire.StateTooManyConnections) == pgwire.StateSuccess {
			acked++
		}
		c.finished()
		if n := c.unit.seen.Load(); n != acked {
			t.Errorf("%d effects, %d acked", n, acked)
		}
	})
	t.Run("on idle sessions as their queries arrive", func(t *testing.T) {
		c := newCrossing(t, says)
		const many = 16
		var all [many]*client
		acked, unread := int64(0), 0
		for i := range all {
			all[i] = c.client(hail + asking(fmt.Sprint("a", i), 2000))
			all[i].greeted()
			if all[i].answer() == pgwire.StateSuccess {
				acked++
			}
		}
		c.signal(syscall.SIGTERM)
		for i, one := range all { // about when sessions begin to end
			time.Sleep(time.Until(c.began.Add(acceptGrace + time.Duration(i-many/2)*200*time.Microsecond)))
			_, _ = io.WriteString(one, asking(fmt.Sprint("b", i), 2000))
		}
		for _, one := range all {
			switch state := one.answer(); state {
			case pgwire.StateSuccess:
				acked++
			case pgwire.StateTooManyConnections:
			case "": // not read: its client asks once more elsewhere
				unread++
			default:
				t.Errorf("answered %q", state)
			}
		}
		c.finished()
		if n := c.unit.seen.Load(); n != acked {
			t.Errorf("%d effects, %d acked, %d closed", n, acked, unread)
		}
	})
	t.Run("twice, with deliveries at a unit that never answers, and SIGHUP with it", func(t *testing.T) {
		c := newCrossing(t, silent)
		one := c.client(hail + asking(1, 2000))
		backends.Until(t, "the unit has it", func() bool { return c.unit.seen.Load() == 1 })
		other := c.client(hail + asking(2, 2000))
		c.signal(syscall.SIGTERM)
		c.signal(syscall.SIGHUP)
		c.signal(syscall.SIGTERM)
		c.wound()
		_, _ = io.WriteString(one, asking(3, 60000)) // SIGKILL comes long before its client would give up
		for _, one := range []*client{one, other} {
			one.greeted()
		}
		if state := one.answer(); state != pgwire.StateInternalError && state != pgwire.StateTooManyConnections {
			t.Errorf("answered %q", state)
		}
		for _, one := range []*client{one, other} {
			one.final(pgwire.StateInternalError, pgwire.StateTooManyConnections)
		}
		if at := time.Since(c.began); at > 2700*time.Millisecond {
			t.Errorf("answered %v after SIGTERM", at)
		}
		c.finished()
	})
	t.Run("with clients that go behind it", func(t *testing.T) {
		c := newCrossing(t, silent)
		one := c.client(hail + asking(1, 2000) + string(pgwire.SimpleQuery("BEGIN")))
		backends.Until(t, "the unit has it", func() bool { return c.unit.seen.Load() == 1 })
		c.signal(syscall.SIGTERM)
		c.wound()
		_ = one.Close()
		c.finished()
		if n := c.unit.seen.Load(); n != 1 {
			t.Errorf("%d effects", n)
		}
	})
}

// TestSIGTERMBeforeItListens: a relay that still waits for the agent's list ends in order.
func TestSIGTERMBeforeItListens(t *testing.T) {
	d := newDesk(t, newUnit(t).Address())
	d.hold = make(chan struct{})
	p := newProcess(t, "127.0.0.1:0", d.Addr().String())
	p.config(config(d.Addr().String(), d.Addr().String(), d.page()), func() {})
	d.want(t, "GET /v1/servers")
	kill(t, p.Process.Pid, syscall.SIGTERM)
	close(d.hold)
	select {
	case err := <-p.over:
		p.over <- nil
		if err != nil || !strings.Contains(p.log.String(), `"message":"relay stopped"`) {
			t.Errorf("%v: %s", err, p.log.String())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}

// TestSilentThousands: among 2,000 connections that say nothing a new one is answered, and the descriptors stay in limits.
func TestSilentThousands(t *testing.T) {
	const sockets, many = 128, 2000
	d := newDesk(t, newUnit(t).Address())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	_ = l.Close()
	p := newProcess(t, listen, d.Addr().String())
	p.config(config(d.Addr().String(), d.Addr().String(), d.page()), func() {})
	backends.Until(t, "it is ready", func() bool {
		acked, _, _ := asks(listen, "ready", 1)
		return acked == 1
	})
	most := 0
	count := func() {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		most = max(most, len(open))
	}
	for i := range many {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if i%50 == 0 {
			count()
		}
	}
	began := time.Now()
	if acked, refused, err := asks(listen, "among", 1); acked+refused != 1 || err != nil {
		t.Errorf("acked %d, refused %d, %v", acked, refused, err)
	}
	count()
	if took := time.Since(began); took > 15*time.Second {
		t.Errorf("answered after %v", took)
	}
	if most > sockets {
		t.Errorf("%d descriptors", most)
	}
	t.Logf("answered after %v, %d descriptors at the most", time.Since(began), most)
}
