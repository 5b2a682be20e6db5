package upstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/standin/backends"
	"silvercove/internal/standin/leakcheck"
	"silvercove/internal/standin/scriptedbackend"
)

// interruption is the state of a test in which one attempt at a scripted backend is interrupted. When the backend arrives
// at the point of the interruption, it closes the channel reached. Depending on the test case, it then waits until the
// channel proceed or the channel finished is closed. The channel finished is closed once the request is over.
type interruption struct {
	*testPool
	reached, proceed, finished chan struct{}
	background                 sync.WaitGroup
}

// event is a function that is called just before an attempt begins.
type event func(*interruption, *dispatch.Call)

// onReached returns an event that starts a goroutine and returns at once. The goroutine waits until the backend has
// closed the channel interruption.reached, calls the function do, and then lets the backend go on.
func onReached(do event) event {
	return func(x *interruption, call *dispatch.Call) {
		x.background.Go(func() {
			<-x.reached
			do(x, call)
			close(x.proceed)
		})
	}
}

func clientDisconnects(x *interruption, call *dispatch.Call) { x.dispatcher.Abandon(call) }

// endpointChanged returns an event that starts a goroutine (see onReached). Once the backend is at the point of the
// interruption, the goroutine applies the function change to the endpoint of the scripted backend.
func endpointChanged(change func(*dispatch.Endpoint)) event {
	return onReached(func(x *interruption, _ *dispatch.Call) {
		changed := endpoint(0, x.dispatcher.ReadyBackends()[0].Address)
		change(&changed)
		x.dispatcher.UpdateEndpoints(false, []dispatch.Endpoint{changed})
	})
}

// interruptionCase describes what interrupts the first attempt of a request, and the expected result.
type interruptionCase struct {
	name          string
	script        func(b *scriptedbackend.Backend, conn *net.TCPConn, x *interruption)
	beforeAttempt event // called before the attempt at the scripted backend; nil for none
	idPadding     int
	configure     func(*balancer.Settings)
	outcome       balancer.Outcome // expected outcome of the attempt at the scripted backend
	queries       int              // expected number of queries at the scripted backend
	neverSent     bool             // whether the query certainly was not sent: a request of any class then succeeds at the second backend
	clientGone    bool
}

const largerThanSocketBuffers = 8 << 20 // in bytes

func withoutCancellation(s *balancer.Settings) { s.Limits.MayCancel = false }

// backendFaults returns the cases in which the process or the connection of the scripted backend ends.
func backendFaults() []interruptionCase {
	kill := scriptedbackend.Kill
	return []interruptionCase{
		{name: "killed after its accept", outcome: balancer.ConnectFailed, neverSent: true,
			script: func(_ *scriptedbackend.Backend, conn *net.TCPConn, _ *interruption) { kill(conn) }},
		{name: "closed after its accept", outcome: balancer.ConnectFailed, neverSent: true,
			script: func(*scriptedbackend.Backend, *net.TCPConn, *interruption) {}},
		{name: "killed after the startup", outcome: balancer.ConnectFailed, neverSent: true,
			script: func(b *scriptedbackend.Backend, conn *net.TCPConn, _ *interruption) {
				b.ReadStartup(conn)
				kill(conn)
			}},
		{name: "closed after it reported ready", outcome: balancer.ConnectFailed, neverSent: true,
			script: func(b *scriptedbackend.Backend, conn *net.TCPConn, x *interruption) {
				b.Greet(conn)
				_ = conn.Close() // an error is ignored: the pool sees the connection end in any case
				close(x.proceed)
			},
			beforeAttempt: func(x *interruption, _ *dispatch.Call) { x.holdLock(x.proceed) }},
		{name: "killed after half the query", outcome: balancer.ConnectFailed, neverSent: true, idPadding: largerThanSocketBuffers,
			script: func(b *scriptedbackend.Backend, conn *net.TCPConn, _ *interruption) {
				b.Greet(conn)
				_, _ = io.ReadFull(conn, make([]byte, 1000)) // an error is ignored: the connection is killed in any case
				kill(conn)
			}},
		{name: "killed with the query unread", outcome: balancer.Reset,
			script: func(b *scriptedbackend.Backend, conn *net.TCPConn, _ *interruption) {
				b.Greet(conn)
				scriptedbackend.AwaitBytes(conn)
				kill(conn)
			}},
		{name: "killed after the query", outcome: balancer.Reset, queries: 1,
			script: func(b *scriptedbackend.Backend, conn *net.TCPConn, _ *interruption) {
				b.Greet(conn)
				b.ReadQuery(conn)
				kill(conn)
			}},
		{name: "resets after half a reply", outcome: balancer.Reset, queries: 1,
			script: func(b *scriptedbackend.Backend, conn *net.TCPConn, _ *interruption) {
				b.Greet(conn)
				b.ReadQuery(conn)
				reply := scriptedbackend.RowReply("k")
				scriptedbackend.Write(conn, []byte(reply[:len(reply)/2]))
				kill(conn)
			}},
	}
}

// changesWhileDialing returns the cases in which an attempt becomes pointless while its connection is being opened.
func changesWhileDialing() []interruptionCase {
	dialled := func(b *scriptedbackend.Backend, conn *net.TCPConn, x *interruption) {
		b.ReadStartup(conn)
		close(x.reached)
		<-x.proceed
		scriptedbackend.Write(conn, pgwire.AuthenticationOK())
		echo(b, conn)
	}
	return []interruptionCase{
		{name: "drains while it is dialled", script: dialled, outcome: balancer.Discarded, neverSent: true,
			beforeAttempt: endpointChanged(func(e *dispatch.Endpoint) { e.State = "draining" })},
		{name: "replaced at its address while it is dialled", script: dialled, outcome: balancer.Discarded, neverSent: true,
			beforeAttempt: endpointChanged(func(e *dispatch.Endpoint) { e.StartedAtMs = 5 })},
		{name: "of another version while it is dialled", script: dialled, outcome: balancer.Discarded, neverSent: true,
			beforeAttempt: endpointChanged(func(e *dispatch.Endpoint) { e.Version = 2 })},
		{name: "moves while it is dialled", script: dialled, outcome: balancer.Discarded, neverSent: true,
			beforeAttempt: endpointChanged(func(e *dispatch.Endpoint) { e.Address = "127.0.0.1:1" })},
		{name: "client disconnects while it is dialled", script: dialled, outcome: balancer.Discarded, clientGone: true,
			beforeAttempt: onReached(clientDisconnects)},
		{name: "client disconnects while it is dialled, without cancellation", script: dialled, outcome: balancer.Discarded,
			clientGone: true, beforeAttempt: onReached(clientDisconnects), configure: withoutCancellation},
	}
}

// disconnectsAroundWrite returns the cases in which the client disconnects before, during and after the write of the
// query.
func disconnectsAroundWrite() []interruptionCase {
	orderly := func(b *scriptedbackend.Backend, conn *net.TCPConn, _ *interruption) {
		b.Greet(conn)
		echo(b, conn)
	}
	return []interruptionCase{
		{name: "client disconnects before the write", script: orderly, beforeAttempt: clientDisconnects, outcome: balancer.Discarded,
			clientGone: true},
		{name: "client disconnects before the write, without cancellation", script: orderly, beforeAttempt: clientDisconnects,
			configure: withoutCancellation, outcome: balancer.Discarded, clientGone: true},
		{name: "client disconnects during the write", beforeAttempt: onReached(clientDisconnects), idPadding: largerThanSocketBuffers,
			outcome: balancer.Discarded, clientGone: true,
			script: func(b *scriptedbackend.Backend, conn *net.TCPConn, x *interruption) {
				b.Greet(conn)
				scriptedbackend.AwaitBytes(conn)
				close(x.reached)
				<-x.finished
			}},
		{name: "client disconnects after the query", beforeAttempt: onReached(clientDisconnects), outcome: balancer.Cancelled, queries: 1,
			clientGone: true,
			script: func(b *scriptedbackend.Backend, conn *net.TCPConn, x *interruption) {
				b.Greet(conn)
				b.ReadQuery(conn)
				close(x.reached)
				<-x.proceed
				_, _ = conn.Read(make([]byte, 1)) // blocks until the pool closes the connection to cancel the query
			}},
	}
}

// TestPool_InterruptedAttempts checks that a request has exactly one final answer, whatever interrupts its first
// attempt. That attempt is made at a scripted backend, and a second backend echoes its queries. A query that certainly
// was not sent to the scripted backend is retried at the second one. A query that may have run is run again only if its
// request class allows it.
func TestPool_InterruptedAttempts(t *testing.T) {
	cases := append(append(backendFaults(), changesWhileDialing()...), disconnectsAroundWrite()...)
	for _, c := range cases {
		for _, class := range []string{"read", "edit", "sell"} {
			t.Run(c.name+"/"+class, func(t *testing.T) { c.run(t, class) })
		}
	}
}

func (c *interruptionCase) run(t *testing.T, class string) {
	t.Helper()
	leakcheck.Verify(t)
	x := &interruption{reached: make(chan struct{}), proceed: make(chan struct{}), finished: make(chan struct{})}
	scripted := scriptedbackend.Start(t, func(b *scriptedbackend.Backend, number int, conn *net.TCPConn) {
		if number == 0 {
			c.script(b, conn, x)
		}
	})
	echoBackend := startEcho(t)
	x.testPool = newGenerousPool(t, c.configure, scripted.Address)
	x.idPadding = c.idPadding
	r := x.request(class, "k", generousTimeout, func(call *dispatch.Call, attempt *dispatch.Attempt) {
		if attempt.Address != scripted.Address {
			return
		}
		x.dispatcher.UpdateEndpoints(false, []dispatch.Endpoint{endpoint(1, echoBackend.Address)})
		if c.beforeAttempt != nil {
			c.beforeAttempt(x, call)
		}
	})
	close(x.finished)
	x.background.Wait()
	if len(r.outcomes) == 0 || r.outcomes[0] != c.outcome || scripted.QueryCount() != c.queries {
		t.Fatalf("outcomes %v, %d queries at the scripted backend; want %d first and %d", r.outcomes, scripted.QueryCount(), c.outcome, c.queries)
	}
	want, elsewhere := c.finalAnswer(class)
	if r.answer != want || (r.value != "") != (want == dispatch.NoAnswer) || echoBackend.QueryCount() != elsewhere {
		t.Errorf("answer %d, want %d; a value of %d bytes; %d queries at the other backend, outcomes %v", r.answer, want, len(r.value),
			echoBackend.QueryCount(), r.outcomes)
	}
}

// finalAnswer returns the expected answer to a request of a class, and the expected number of queries at the second
// backend.
func (c *interruptionCase) finalAnswer(class string) (answer dispatch.FinalAnswer, elsewhere int) {
	switch {
	case c.clientGone:
		return dispatch.ClientGone, 0
	case !c.neverSent && class == "sell":
		return dispatch.Failed, 0
	}
	return dispatch.NoAnswer, 1
}

// TestPool_IdleConnectionEndsDuringAcquire checks that no attempt fails and no reply is wrong if a backend closes,
// resets or writes on an idle connection after the pool has taken that connection and before it writes the query. A
// second reply that arrives after the write could not be distinguished from the right reply: nothing in a reply names
// its request.
func TestPool_IdleConnectionEndsDuringAcquire(t *testing.T) {
	for _, c := range []struct {
		name        string
		do          func(conn *net.TCPConn)
		unsolicited int64
	}{
		{"closes", func(conn *net.TCPConn) { _ = conn.Close() }, 0},
		{"resets", scriptedbackend.Kill, 0},
		{"answers again", func(conn *net.TCPConn) { scriptedbackend.Write(conn, []byte(scriptedbackend.RowReply("k0"))) }, 1},
		{"sends an error and closes", func(conn *net.TCPConn) {
			scriptedbackend.Write(conn, pgwire.ErrorResponse("FATAL", "57P01", "terminating", ""))
			_ = conn.Close()
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) { endIdleConnection(t, c.do, c.unsolicited) })
	}
}

func endIdleConnection(t *testing.T, do func(conn *net.TCPConn), unsolicited int64) {
	t.Helper()
	leakcheck.Verify(t)
	conns := make(chan *net.TCPConn, 4)
	backend := scriptedbackend.Start(t, func(b *scriptedbackend.Backend, _ int, conn *net.TCPConn) {
		b.Greet(conn)
		conns <- conn
		echo(b, conn)
	})
	p := newGenerousPool(t, nil, backend.Address)
	if r := p.request("sell", "k0", generousTimeout, nil); r.value != "k0" {
		t.Fatalf("%+v", r)
	}
	idle := <-conns
	p.mu.Lock()
	p.idle["s-0"][0].idleSince = time.Now().Add(-time.Second) // from now on, the connection has settled (see settleTime)
	p.mu.Unlock()
	r := p.request("sell", "k1", generousTimeout, func(*dispatch.Call, *dispatch.Attempt) {
		done := make(chan struct{})
		p.holdLock(done)
		go func() {
			defer close(done)
			backends.Eventually(t, "the idle connection is taken", func() bool {
				_, n := p.InUse()
				return n == 0
			})
			do(idle)
		}()
	})
	if r.value != "k1" || len(r.outcomes) != 1 || backend.QueryCount() != 2 || p.Unsolicited.Load() != unsolicited {
		t.Errorf("%+v, %d queries at the backend, %d unsolicited", r, backend.QueryCount(), p.Unsolicited.Load())
	}
}

// TestPool_ReplyArrivesAsClientDisconnects checks that a request ends exactly once if its reply arrives while its
// client disconnects: either with the reply or as abandoned. The reply must never be taken for the reply to the next
// request.
func TestPool_ReplyArrivesAsClientDisconnects(t *testing.T) {
	leakcheck.Verify(t)
	asked := make(chan struct{})
	backend := scriptedbackend.Start(t, func(b *scriptedbackend.Backend, _ int, conn *net.TCPConn) {
		b.Greet(conn)
		b.Reply(conn, func(text string, _ int) string {
			if strings.HasPrefix(keyOf(text), "left") {
				asked <- struct{}{}
			}
			return scriptedbackend.RowReply(keyOf(text))
		})
	})
	p := newGenerousPool(t, nil, backend.Address)
	answers := map[dispatch.FinalAnswer]int{}
	for i := range 100 {
		key := fmt.Sprint("left", i)
		var background sync.WaitGroup
		r := p.request("sell", key, generousTimeout, func(call *dispatch.Call, _ *dispatch.Attempt) {
			background.Go(func() {
				<-asked
				p.dispatcher.Abandon(call)
			})
		})
		background.Wait()
		answers[r.answer]++
		if r.answer != dispatch.ClientGone && r.value != key || len(r.outcomes) != 1 {
			t.Errorf("%+v", r)
		}
		if r := p.request("sell", "stays", generousTimeout, nil); r.value != "stays" {
			t.Errorf("after %d: %+v", i, r)
		}
	}
	if n := backend.QueryCount(); n != 200 {
		t.Errorf("%d queries at the backend; %v", n, answers)
	}
}

// TestPool_ClientDisconnectsBetweenAttempts checks that a second attempt is not sent if the client disconnects after
// the dispatcher has chosen that attempt.
func TestPool_ClientDisconnectsBetweenAttempts(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		t.Run(fmt.Sprint("may cancel ", cancels), func(t *testing.T) {
			leakcheck.Verify(t)
			var first sync.Once
			script := func(b *scriptedbackend.Backend, _ int, conn *net.TCPConn) {
				b.Greet(conn)
				first.Do(func() {
					b.ReadQuery(conn)
					scriptedbackend.Kill(conn)
				})
				echo(b, conn)
			}
			backendA, backendB := scriptedbackend.Start(t, script), scriptedbackend.Start(t, script)
			p := newGenerousPool(t, func(s *balancer.Settings) { s.Limits.MayCancel = cancels }, backendA.Address, backendB.Address)
			attempts := 0
			r := p.request("read", "k", generousTimeout, func(call *dispatch.Call, _ *dispatch.Attempt) {
				attempts++
				if attempts == 2 {
					p.dispatcher.Abandon(call)
				}
			})
			n := backendA.QueryCount() + backendB.QueryCount()
			if r.answer != dispatch.ClientGone || len(r.outcomes) != 2 || r.outcomes[1] != balancer.Discarded || n != 1 {
				t.Errorf("%+v, %d queries at the backends", r, n)
			}
		})
	}
}
