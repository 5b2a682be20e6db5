package upstream

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/standin/backends"
)

// script is a stand-in of a unit that does as it is told, and keeps what it got whole.
type script struct {
	t     *testing.T
	dial  string
	mu    sync.Mutex
	got   []string // queries, each of them an effect
	conns []net.Conn
	ended sync.WaitGroup
}

// scriptOf has each connection, numbered from 0, do one thing.
func scriptOf(t *testing.T, do func(s *script, n int, c *net.TCPConn)) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{t: t, dial: l.Addr().String()}
	s.ended.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.ended.Go(func() { defer func() { _ = c.Close() }(); do(s, n, c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.ended.Wait()
	})
	return s
}

// hail reads a startup and says that it is ready.
func (s *script) hail(c net.Conn) {
	s.startup(c)
	_, _ = c.Write(pgwire.AuthenticationOK())
}

func (s *script) startup(c net.Conn) {
	_, _ = io.ReadFull(c, make([]byte, len(pgwire.StartupMessage())))
}

// query reads one whole query; false: there is none.
func (s *script) query(c net.Conn) (text string, ok bool) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c, head); err != nil {
		return "", false
	}
	body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	if _, err := io.ReadFull(c, body); err != nil {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, string(body))
	return string(body), true
}

// serve answers each query with the name that it asks for.
func (s *script) serve(c net.Conn) {
	for {
		text, ok := s.query(c)
		if !ok {
			return
		}
		_, _ = c.Write(row(nameOf(text)))
	}
}

func nameOf(text string) string {
	return regexp.MustCompile("name = '([a-z0-9]+)'").FindStringSubmatch(text)[1]
}

func (s *script) effects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.got)
}

// kill ends a connection as the death of its process does.
func kill(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// arrived waits until bytes have come that nobody reads.
func arrived(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0 || err != syscall.EAGAIN
	})
}

// nothingLeft has a test end with as many goroutines and descriptors as it began with.
func nothingLeft(t *testing.T) {
	t.Helper()
	descriptors := func() int {
		all, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(all)
	}
	if c, err := net.Listen("tcp", "127.0.0.1:0"); err == nil { // the runtime's own poller is open from then on
		_ = c.Close()
	}
	routines, open := runtime.NumGoroutine(), descriptors()
	t.Cleanup(func() {
		backends.Until(t, "goroutines and descriptors as before", func() bool {
			return runtime.NumGoroutine() <= routines && descriptors() <= open
		})
	})
}

// patient is a house whose clients and connections have time: none of its cases is about a limit.
func patient(t *testing.T, more func(*balancer.Settings), dials ...string) *house {
	t.Helper()
	h := houseOf(t, patience, more, 8, time.Minute, dials...)
	h.connect = patience
	return h
}

const patience = 8 * time.Second

// done is what became of a command.
type done struct {
	final dispatch.FinalAnswer
	value string // of its row
	ends  []balancer.Outcome
}

// begin has a command on its way: next makes each of its deliveries, up to the one final answer.
func (h *house) begin(op, name string, wait time.Duration, next func(*dispatch.Call, *dispatch.Attempt)) (out done) {
	h.t.Helper()
	q, fault := pgwire.ParseQuery([]byte("SELECT content FROM kv WHERE name = '" + name + "' /* id=1" + strings.Repeat("1", h.pad) + ",c=" + op + ",t=a,d=2000 */"))
	if fault != nil {
		h.t.Fatal(fault)
	}
	cmd, _ := h.gate.Accept(dispatch.Request{Class: op, ReceivedAt: time.Now(), Timeout: wait})
	step := h.gate.Next(cmd)
	for step.Attempt != nil {
		if next != nil {
			next(cmd, step.Attempt)
		}
		r := h.Attempt(step.Attempt, q)
		out.ends = append(out.ends, dispatch.AttemptOutcome(r.SQLState, r.End))
		acked := h.gate.Report(step.Attempt, r.SQLState, r.End, r.Load)
		if acked {
			out.value = string(r.Rows[1][11:])
		}
		if r.Release(); acked {
			return out
		}
		step = h.gate.Next(cmd)
	}
	out.final = step.Answer
	return out
}

// held holds the gate until a barrier falls: what is to be asked of it meanwhile waits.
func (h *house) held(until <-chan struct{}) {
	in := make(chan struct{})
	go h.gate.WithLock(func() { close(in); <-until })
	<-in
}

// crossing is one delivery at a scripted unit, with what happens beside it. The unit says by at how far it is, and goes on
// with on, or once the command is over.
type crossing struct {
	*house
	at, on, over chan struct{}
	beside       sync.WaitGroup
}

// while has something done when the unit is at its place, before it goes on.
func while(do func(*crossing, *dispatch.Call)) func(*crossing, *dispatch.Call) {
	return func(x *crossing, cmd *dispatch.Call) {
		x.beside.Go(func() {
			<-x.at
			do(x, cmd)
			close(x.on)
		})
	}
}

func leaves(x *crossing, cmd *dispatch.Call) { x.gate.Abandon(cmd) }

// relist tells anew of the scripted unit, with a change.
func relist(change func(*dispatch.Endpoint)) func(*crossing, *dispatch.Call) {
	return while(func(x *crossing, _ *dispatch.Call) {
		is := dispatch.Endpoint{Name: "s-0", Address: x.gate.ReadyBackends()[0].Address, State: "up", Version: 1}
		change(&is)
		x.gate.UpdateEndpoints(false, []dispatch.Endpoint{is})
	})
}

// TestCrossings: whatever crosses a delivery, its command has one final answer; what was surely not sent is tried
// elsewhere, and what may have run is not run again unless it may be. Of two units the first asked is the scripted one.
func TestCrossings(t *testing.T) {
	const big = 8 << 20 // bytes: past what the sockets hold
	dialled := func(s *script, c *net.TCPConn, x *crossing) {
		s.startup(c)
		close(x.at)
		<-x.on
		_, _ = c.Write(pgwire.AuthenticationOK())
		s.serve(c)
	}
	well := func(s *script, c *net.TCPConn, _ *crossing) { s.hail(c); s.serve(c) }
	uncancelled := func(s *balancer.Settings) { s.Limits.MayCancel = false }
	for _, c := range []struct {
		name   string
		unit   func(s *script, c *net.TCPConn, x *crossing)
		before func(x *crossing, cmd *dispatch.Call) // the delivery there
		size   int                                   // of its id
		more   func(*balancer.Settings)
		first  balancer.Outcome // of that delivery
		ran    int              // effects there
		never  bool             // surely not sent: each op type is acked elsewhere
		gone   bool             // its client leaves
	}{
		{name: "killed behind its accept", unit: func(_ *script, c *net.TCPConn, _ *crossing) { kill(c) },
			first: balancer.ConnectFailed, never: true},
		{name: "closed behind its accept", unit: func(*script, *net.TCPConn, *crossing) {}, first: balancer.ConnectFailed, never: true},
		{name: "killed behind the startup", unit: func(s *script, c *net.TCPConn, _ *crossing) { s.startup(c); kill(c) },
			first: balancer.ConnectFailed, never: true},
		{name: "closed behind its word that it is ready", unit: func(s *script, c *net.TCPConn, x *crossing) {
			s.hail(c)
			_ = c.Close()
			close(x.on)
		}, before: func(x *crossing, _ *dispatch.Call) { x.held(x.on) }, first: balancer.ConnectFailed, never: true},
		{name: "killed after half the query", unit: func(s *script, c *net.TCPConn, _ *crossing) {
			s.hail(c)
			_, _ = io.ReadFull(c, make([]byte, 1000))
			kill(c)
		}, size: big, first: balancer.ConnectFailed, never: true},
		{name: "killed with the query unread", unit: func(s *script, c *net.TCPConn, _ *crossing) {
			s.hail(c)
			arrived(c)
			kill(c)
		}, first: balancer.Reset},
		{name: "killed after the query", unit: func(s *script, c *net.TCPConn, _ *crossing) { s.hail(c); s.query(c); kill(c) },
			first: balancer.Reset, ran: 1},
		{name: "resets after half an answer", unit: func(s *script, c *net.TCPConn, _ *crossing) {
			s.hail(c)
			s.query(c)
			whole := row("k")
			_, _ = c.Write(whole[:len(whole)/2])
			kill(c)
		}, first: balancer.Reset, ran: 1},
		{name: "drains while it is dialled", unit: dialled, before: relist(func(is *dispatch.Endpoint) { is.State = "draining" }),
			first: balancer.Discarded, never: true},
		{name: "replaced at its address while it is dialled", unit: dialled, before: relist(func(is *dispatch.Endpoint) { is.StartedAtMs = 5 }),
			first: balancer.Discarded, never: true},
		{name: "of another build while it is dialled", unit: dialled, before: relist(func(is *dispatch.Endpoint) { is.Version = 2 }),
			first: balancer.Discarded, never: true},
		{name: "moves while it is dialled", unit: dialled, before: relist(func(is *dispatch.Endpoint) { is.Address = "127.0.0.1:1" }),
			first: balancer.Discarded, never: true},
		{name: "its client leaves while it is dialled", unit: dialled, before: while(leaves), first: balancer.Discarded, gone: true},
		{name: "its client leaves while it is dialled, where nothing is cancelled", unit: dialled, before: while(leaves),
			more: uncancelled, first: balancer.Discarded, gone: true},
		{name: "its client leaves before the write", unit: well, before: leaves, first: balancer.Discarded, gone: true},
		{name: "its client leaves before the write, where nothing is cancelled", unit: well, before: leaves, more: uncancelled,
			first: balancer.Discarded, gone: true},
		{name: "its client leaves amid the write", unit: func(s *script, c *net.TCPConn, x *crossing) {
			s.hail(c)
			arrived(c)
			close(x.at)
			<-x.over
		}, before: while(leaves), size: big, first: balancer.Discarded, gone: true},
		{name: "its client leaves after the query", unit: func(s *script, c *net.TCPConn, x *crossing) {
			s.hail(c)
			s.query(c)
			close(x.at)
			<-x.on
			_, _ = c.Read(make([]byte, 1)) // it learns of it by the end of the connection
		}, before: while(leaves), first: balancer.Cancelled, ran: 1, gone: true},
	} {
		for _, op := range []string{"read", "edit", "sell"} {
			t.Run(c.name+"/"+op, func(t *testing.T) {
				nothingLeft(t)
				x := &crossing{at: make(chan struct{}), on: make(chan struct{}), over: make(chan struct{})}
				bad := scriptOf(t, func(s *script, n int, conn *net.TCPConn) {
					if n == 0 {
						c.unit(s, conn, x)
					}
				})
				other := scriptOf(t, func(s *script, _ int, conn *net.TCPConn) { s.hail(conn); s.serve(conn) })
				x.house = patient(t, c.more, bad.dial)
				x.pad = c.size
				got := x.begin(op, "k", patience, func(cmd *dispatch.Call, d *dispatch.Attempt) {
					if d.Address != bad.dial {
						return
					}
					x.gate.UpdateEndpoints(false, []dispatch.Endpoint{{Name: "s-1", Address: other.dial, State: "up", Version: 1}})
					if c.before != nil {
						c.before(x, cmd)
					}
				})
				close(x.over)
				x.beside.Wait()
				if len(got.ends) == 0 || got.ends[0] != c.first || bad.effects() != c.ran {
					t.Fatalf("ends %v, %d effects; wanted %d first and %d", got.ends, bad.effects(), c.first, c.ran)
				}
				want, elsewhere := dispatch.NoAnswer, 1
				if c.gone {
					want, elsewhere = dispatch.ClientGone, 0
				} else if !c.never && op == "sell" {
					want, elsewhere = dispatch.Failed, 0
				}
				if got.final != want || (got.value != "") != (want == dispatch.NoAnswer) || other.effects() != elsewhere {
					t.Errorf("final %d, wanted %d; a value of %d bytes; %d effects elsewhere, ends %v", got.final, want,
						len(got.value), other.effects(), got.ends)
				}
			})
		}
	}
}

// told reads what a unit was told to have left.
var told = regexp.MustCompile(`d=(\d+) `)

// TestTimeToldIsWhatIsLeft: at the write of each attempt the unit is told no more than is left to the client, and with
// nothing left nothing is sent.
func TestTimeToldIsWhatIsLeft(t *testing.T) {
	nothingLeft(t)
	const wait, pause = patience, 100 * time.Millisecond
	began := time.Now()
	left := func() int64 { return (wait - time.Since(began)).Milliseconds() }
	var mu sync.Mutex
	var faults []string
	tries := 0
	dials := []string{}
	for range 3 {
		dials = append(dials, scriptOf(t, func(s *script, n int, c *net.TCPConn) {
			s.startup(c)
			<-time.After(pause) // it comes up late
			most := left()
			_, _ = c.Write(pgwire.AuthenticationOK())
			if text, ok := s.query(c); ok {
				mu.Lock()
				defer mu.Unlock()
				if d, _ := strconv.ParseInt(told.FindStringSubmatch(text)[1], 10, 64); d > most || d < left()-50 {
					faults = append(faults, fmt.Sprintf("try %d is told %d, with %d left at the most", tries, d, most))
				}
				if tries++; tries < 3 {
					kill(c)
				} else {
					_, _ = c.Write(row("v"))
				}
			}
		}).dial)
	}
	h := patient(t, nil, dials...)
	began = time.Now()
	if got := h.begin("read", "k", wait, nil); got.value != "v" || len(got.ends) != 3 {
		t.Errorf("%+v", got)
	}
	for _, f := range faults {
		t.Error(f)
	}
}

// TestNothingLeft: what has no time left once its connection is there is not sent.
func TestNothingLeft(t *testing.T) {
	nothingLeft(t)
	s := scriptOf(t, func(s *script, _ int, c *net.TCPConn) { s.hail(c); s.serve(c) })
	h := patient(t, nil, s.dial)
	got := h.begin("read", "k", 400*time.Millisecond, func(_ *dispatch.Call, d *dispatch.Attempt) {
		over := make(chan struct{})
		time.AfterFunc(time.Until(d.Deadline), func() { close(over) })
		h.held(over)
	})
	if got.final != dispatch.Rejected || s.effects() != 0 {
		t.Errorf("%+v, %d effects", got, s.effects())
	}
}

// TestRepeatThatComesUpLate: a repeat whose connection comes up past its window is not sent, and one that comes up
// within it is.
func TestRepeatThatComesUpLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			nothingLeft(t)
			var first sync.Once
			over := make(chan struct{})
			do := func(s *script, _ int, c *net.TCPConn) {
				s.startup(c)
				resets := false
				first.Do(func() { resets = true })
				if !resets && late {
					<-over
				}
				_, _ = c.Write(pgwire.AuthenticationOK())
				if resets {
					s.query(c)
					kill(c)
					return
				}
				s.serve(c)
			}
			a, b := scriptOf(t, do), scriptOf(t, do)
			h := patient(t, nil, a.dial, b.dial)
			time.AfterFunc(450*time.Millisecond, func() { close(over) }) // the window is 0.4 s
			got := h.begin("edit", "k", patience, nil)
			if n := a.effects() + b.effects(); late && (got.final == dispatch.NoAnswer || n != 1) || !late && (got.value != "k" || n != 2) {
				t.Errorf("%+v, %d effects", got, n)
			}
		})
	}
}

// TestIdleConnectionEndsAsItIsTaken: what a unit does on an idle connection just as that is taken, before the query is
// written, costs no attempt and spoils no answer. A second answer that comes after the write could not be told from the
// right one: nothing in an answer names its command.
func TestIdleConnectionEndsAsItIsTaken(t *testing.T) {
	for _, c := range []struct {
		name    string
		do      func(c *net.TCPConn)
		unasked int64
	}{
		{"it closes", func(c *net.TCPConn) { _ = c.Close() }, 0},
		{"it resets", kill, 0},
		{"it answers again", func(c *net.TCPConn) { _, _ = c.Write(row("k0")) }, 1},
		{"it says why it ends", func(c *net.TCPConn) { _, _ = c.Write(pgwire.ErrorResponse("FATAL", "57P01", "it ends", "")); c.Close() }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			nothingLeft(t)
			conns := make(chan *net.TCPConn, 4)
			s := scriptOf(t, func(s *script, _ int, conn *net.TCPConn) {
				s.hail(conn)
				conns <- conn
				s.serve(conn)
			})
			h := patient(t, nil, s.dial)
			if got := h.begin("sell", "k0", patience, nil); got.value != "k0" {
				t.Fatalf("%+v", got)
			}
			idle := <-conns
			h.mu.Lock()
			h.idle["s-0"][0].since = time.Now().Add(-time.Second) // it has settled
			h.mu.Unlock()
			got := h.begin("sell", "k1", patience, func(*dispatch.Call, *dispatch.Attempt) {
				done := make(chan struct{})
				h.held(done)
				go func() {
					defer close(done)
					backends.Until(t, "it is taken", func() bool { _, n := h.InUse(); return n == 0 })
					c.do(idle)
				}()
			})
			if got.value != "k1" || len(got.ends) != 1 || s.effects() != 2 || h.Unsolicited.Load() != c.unasked {
				t.Errorf("%+v, %d effects, %d unasked", got, s.effects(), h.Unsolicited.Load())
			}
		})
	}
}

// TestAnswerAsItIsGivenUp: an answer that crosses the leaving of its client ends the command once, one way or the other,
// and is never taken for the next one's.
func TestAnswerAsItIsGivenUp(t *testing.T) {
	nothingLeft(t)
	asked := make(chan struct{})
	s := scriptOf(t, func(s *script, _ int, c *net.TCPConn) {
		s.hail(c)
		for {
			text, ok := s.query(c)
			if !ok {
				return
			}
			if strings.HasPrefix(nameOf(text), "left") {
				asked <- struct{}{}
			}
			_, _ = c.Write(row(nameOf(text)))
		}
	})
	h := patient(t, nil, s.dial)
	ways := map[dispatch.FinalAnswer]int{}
	for i := range 100 {
		name := fmt.Sprint("left", i)
		var beside sync.WaitGroup
		got := h.begin("sell", name, patience, func(cmd *dispatch.Call, _ *dispatch.Attempt) {
			beside.Go(func() {
				<-asked
				h.gate.Abandon(cmd)
			})
		})
		beside.Wait()
		if ways[got.final]++; got.final != dispatch.ClientGone && got.value != name || len(got.ends) != 1 {
			t.Errorf("%+v", got)
		}
		if got := h.begin("sell", "stays", patience, nil); got.value != "stays" {
			t.Errorf("after %d: %+v", i, got)
		}
	}
	if s.effects() != 200 {
		t.Errorf("%d effects; %v", s.effects(), ways)
	}
}

// TestAnswerWithoutTheWordThatItIsReady: an answer that is whole is not kept from its client by a unit that hangs behind it.
func TestAnswerWithoutTheWordThatItIsReady(t *testing.T) {
	nothingLeft(t)
	s := scriptOf(t, func(s *script, _ int, c *net.TCPConn) {
		s.hail(c)
		if _, ok := s.query(c); ok {
			_, _ = c.Write(row("v")[:len(row("v"))-len(pgwire.ReadyForQuery())])
			s.startup(c) // until its end
		}
	})
	h := patient(t, nil, s.dial)
	began := time.Now()
	got := h.begin("sell", "k", patience, nil)
	if took := time.Since(began); got.value != "v" || took > patience/2 {
		t.Errorf("%+v after %v", got, took)
	}
	if open, _ := h.InUse(); open != 0 {
		t.Errorf("%d connections are kept", open)
	}
}

// TestClientLeavesBetweenAttempts: a second attempt that is chosen as its client leaves is not sent.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		t.Run(fmt.Sprint("may cancel ", cancels), func(t *testing.T) {
			nothingLeft(t)
			var first sync.Once
			do := func(s *script, _ int, c *net.TCPConn) {
				s.hail(c)
				first.Do(func() { s.query(c); kill(c) })
				s.serve(c)
			}
			a, b := scriptOf(t, do), scriptOf(t, do)
			h := patient(t, func(s *balancer.Settings) { s.Limits.MayCancel = cancels }, a.dial, b.dial)
			tries := 0
			got := h.begin("read", "k", patience, func(cmd *dispatch.Call, _ *dispatch.Attempt) {
				if tries++; tries == 2 {
					h.gate.Abandon(cmd)
				}
			})
			if got.final != dispatch.ClientGone || len(got.ends) != 2 || got.ends[1] != balancer.Discarded || a.effects()+b.effects() != 1 {
				t.Errorf("%+v, %d effects", got, a.effects()+b.effects())
			}
		})
	}
}
