package upstream

import (
	"context"
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/standin/scriptedbackend"
	"silvercove/internal/transport"
)

const (
	shortConnectTimeout = 300 * time.Millisecond
	generousTimeout     = 8 * time.Second // timeout of connections and clients, in tests that do not test a limit
	dedupWindow         = 400 * time.Millisecond
)

// poolOptions are the options in which the test pools differ.
type poolOptions struct {
	maxConnections int
	idleTimeout    time.Duration
	connectTimeout time.Duration            // time limit for opening a connection; 0 selects shortConnectTimeout
	objective      time.Duration            // latency objective of the requests, half of their deadline; 0 selects one second
	configure      func(*balancer.Settings) // changes further settings; may be nil
}

// testPool is a pool for some backends, with a dispatcher that selects among them.
type testPool struct {
	*Pool
	tb         testing.TB
	dispatcher *dispatch.Dispatcher
	buffers    *transport.BufferBudget
	idPadding  int // additional bytes in the IDs of requests
}

// newTestPool runs a pool until the test ends, and then checks that no connection is left open.
func newTestPool(tb testing.TB, o poolOptions, addresses ...string) *testPool {
	tb.Helper()
	if o.objective == 0 {
		o.objective = time.Second
	}
	if o.connectTimeout == 0 {
		o.connectTimeout = shortConnectTimeout
	}
	p := &testPool{tb: tb, buffers: transport.NewBufferBudget(1 << 20)}
	p.dispatcher = dispatch.New(1, settings.Site{Balancer: balancerSettings(o)}, dispatch.Callbacks{
		WatchEndpoints: func(bool) {},
		CloseIdle:      func(backend string) { p.CloseIdle(backend) },
	})
	p.Pool = New(p.buffers, o.maxConnections, o.connectTimeout, o.idleTimeout, p.dispatcher)
	var endpoints []dispatch.Endpoint
	for i, address := range addresses {
		endpoints = append(endpoints, endpoint(i, address))
	}
	p.dispatcher.UpdateEndpoints(true, endpoints)
	p.dispatcher.UpdateStage(dispatch.RolloutStage{Version: 1, Phase: "live", ExposureCap: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return p.Run(ctx) })
	group.Go(func() error { return p.dispatcher.RunTimers(ctx) })
	tb.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			tb.Errorf("the pool or the dispatcher ended with %v", err)
		}
		if open, _ := p.InUse(); open != 0 {
			tb.Errorf("%d connections are left open", open)
		}
	})
	return p
}

// oneAttempt returns the options of a pool whose requests have one attempt each.
func oneAttempt(maxConnections int, idleTimeout time.Duration) poolOptions {
	return poolOptions{
		maxConnections: maxConnections,
		idleTimeout:    idleTimeout,
		configure:      func(s *balancer.Settings) { s.Limits.MaxAttempts = 1 },
	}
}

// newGenerousPool returns a pool with long timeouts for connections and clients, for tests that do not test a limit.
func newGenerousPool(tb testing.TB, configure func(*balancer.Settings), addresses ...string) *testPool {
	tb.Helper()
	return newTestPool(tb, poolOptions{
		maxConnections: 8,
		idleTimeout:    time.Minute,
		connectTimeout: generousTimeout,
		objective:      generousTimeout,
		configure:      configure,
	}, addresses...)
}

func balancerSettings(o poolOptions) balancer.Settings {
	class := func(name string, idempotency balancer.Idempotency) balancer.RequestClass {
		return balancer.RequestClass{
			Name:             name,
			Idempotency:      idempotency,
			DedupScope:       balancer.DedupEverywhere,
			DedupWindow:      balancer.Seconds(dedupWindow.Seconds()),
			LatencyObjective: balancer.Seconds(o.objective.Seconds()),
			Deadline:         balancer.Seconds(2 * o.objective.Seconds()),
			PriorityWeight:   1,
		}
	}
	s := balancer.Settings{
		Relays: 1,
		Classes: []balancer.RequestClass{class("read", balancer.Idempotent), class("edit", balancer.IdempotentWithKey),
			class("sell", balancer.AtMostOnce)},
		Limits: balancer.Limits{MayCancel: true, MaxAttempts: 3},
	}
	if o.configure != nil {
		o.configure(&s)
	}
	return s
}

// endpoint returns an endpoint with the given address. Its name is "s-" followed by n.
func endpoint(n int, address string) dispatch.Endpoint {
	return dispatch.Endpoint{Name: fmt.Sprint("s-", n), Address: address, State: "up", Version: 1}
}

// parseQuery returns a query for a key, with an ID of 1 + idPadding bytes.
func parseQuery(tb testing.TB, class, key string, idPadding int) *pgwire.Query {
	tb.Helper()
	id := "1" + strings.Repeat("1", idPadding)
	query, queryErr := pgwire.ParseQuery([]byte("SELECT content FROM kv WHERE name = '" + key + "' /* id=" + id + ",c=" + class + ",t=a,d=2000 */"))
	if queryErr != nil {
		tb.Fatal(queryErr)
	}
	return query
}

// result is the result of a request.
type result struct {
	answer   dispatch.FinalAnswer // the relay's own answer; dispatch.NoAnswer if the client gets the row of a backend
	value    string               // value in the row of the attempt that succeeded; empty if no attempt did
	outcomes []balancer.Outcome   // outcomes of the attempts
	last     Reply                // reply of the last attempt; its rows are no longer valid
}

// request makes a request whose client waits for timeout, and returns its result. If hook is not nil, it is called
// before each attempt.
func (p *testPool) request(class, key string, timeout time.Duration, hook func(*dispatch.Call, *dispatch.Attempt)) (r result) {
	p.tb.Helper()
	query := parseQuery(p.tb, class, key, p.idPadding)
	call, _ := p.dispatcher.Accept(dispatch.Request{Class: class, ReceivedAt: time.Now(), Timeout: timeout})
	step := p.dispatcher.Next(call)
	for step.Attempt != nil {
		if hook != nil {
			hook(call, step.Attempt)
		}
		reply := p.Attempt(step.Attempt, query)
		r.last = reply
		r.outcomes = append(r.outcomes, dispatch.AttemptOutcome(reply.SQLState, reply.Status))
		succeeded := p.dispatcher.Report(step.Attempt, reply.SQLState, reply.Status, reply.Load)
		if succeeded {
			if len(reply.RowMessages) != rowMessages {
				p.tb.Fatalf("a row of %d messages", len(reply.RowMessages))
			}
			value, _ := pgwire.RowValue(reply.RowMessages[1])
			r.value = string(value)
		}
		reply.Release()
		if succeeded {
			return r
		}
		step = p.dispatcher.Next(call)
	}
	r.answer = step.Answer
	return r
}

// attempt makes a request of one attempt and returns the reply of that attempt.
func (p *testPool) attempt(timeout time.Duration) Reply {
	p.tb.Helper()
	r := p.request("read", "k", timeout, nil)
	if len(r.outcomes) != 1 {
		p.tb.Fatalf("%d attempts", len(r.outcomes))
	}
	return r.last
}

// holdLock holds the dispatcher's lock until a channel is closed, so that calls to the dispatcher block until then.
func (p *testPool) holdLock(until <-chan struct{}) {
	held := make(chan struct{})
	go p.dispatcher.WithLock(func() {
		close(held)
		<-until
	})
	<-held
}

// startBackend starts a backend that answers each query after delay: with an error if fails is set, and with a row
// otherwise.
func startBackend(tb testing.TB, fails bool, delay time.Duration) *backends.Backend {
	tb.Helper()
	b, err := backends.NewBackend("u", 1, func(*backends.Backend, string, uint16, time.Time) (bool, time.Duration) { return fails, delay })
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(b.Close)
	return b
}

// echo answers each query with the key that it asks for.
func echo(b *scriptedbackend.Backend, conn net.Conn) {
	b.Reply(conn, func(text string, _ int) string { return scriptedbackend.RowReply(keyOf(text)) })
}

// startEcho starts a backend that answers each query with the key that it asks for.
func startEcho(tb testing.TB) *scriptedbackend.Backend {
	tb.Helper()
	return scriptedbackend.Start(tb, func(b *scriptedbackend.Backend, _ int, conn *net.TCPConn) {
		b.Greet(conn)
		echo(b, conn)
	})
}

var keyPattern = regexp.MustCompile("name = '([a-z0-9]+)'")

// keyOf returns the key that a query asks for.
func keyOf(text string) string { return keyPattern.FindStringSubmatch(text)[1] }
