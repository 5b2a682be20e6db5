package upstream

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/standin/scriptedbackend"
	"silvercove/internal/transport"
)

func TestPool_ReusesAndClosesConnections(t *testing.T) {
	backend := startBackend(t, false, 0)
	p := newTestPool(t, oneAttempt(4, 800*time.Millisecond), backend.Address())
	for range 5 {
		p.attempt(time.Second)
	}
	// The second request opens a second connection, because the first one has not settled (see settleTime). Two of the four slots
	// are then taken, so the later requests reuse connections that have not settled (see slotsForUnsettled).
	if p.Opened.Load() != 2 || p.Reused.Load() != 3 {
		t.Errorf("opened %d, reused %d", p.Opened.Load(), p.Reused.Load())
	}
	backends.Eventually(t, "an idle connection is closed ahead of the backend", func() bool {
		open, _ := p.InUse()
		return open == 0
	})
	p.attempt(time.Second)
	backend.Set("up", 2) // the backend restarts and closes its connections; the pool must detect the close before it sends a query
	backends.Eventually(t, "the close has arrived", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle["s-0"]) == 1 && !p.idle["s-0"][0].Reusable()
	})
	if reply := p.attempt(time.Second); reply.SQLState != pgwire.StateSuccess {
		t.Errorf("a query was sent on a closed connection: %q, %v", reply.SQLState, reply.Status.Reason)
	}
	p.CloseIdle("s-0")
	if open, idle := p.InUse(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
	p.Prewarm(t.Context(), p.dispatcher.ReadyBackends(), 1)
	if open, idle := p.InUse(); open != 2 || idle != 2 {
		t.Errorf("%d open, %d idle after opening half of four", open, idle)
	}
}

// TestPool_ClosesOldestIdleWhenFull checks that the pool, once its slots are taken, closes the connection that has been
// idle the longest to free a slot for a connection to another backend.
func TestPool_ClosesOldestIdleWhenFull(t *testing.T) {
	var addresses []string
	for range 4 {
		addresses = append(addresses, startBackend(t, false, 0).Address())
	}
	p := newTestPool(t, oneAttempt(2, time.Minute), addresses...)
	for range 40 {
		if reply := p.attempt(time.Second); reply.SQLState != pgwire.StateSuccess {
			t.Fatalf("%q, %v", reply.SQLState, reply.Status.Reason)
		}
		if open, _ := p.InUse(); open > 2 {
			t.Fatalf("%d connections are open", open)
		}
	}
}

// TestPool_PrewarmWithManyRelays checks that Prewarm lets all relays together open no more connections to a backend
// than one relay might open alone.
func TestPool_PrewarmWithManyRelays(t *testing.T) {
	const maxConnections, backendCount = 40, 5
	for _, c := range []struct {
		relays     int
		perBackend int64
	}{{1, 4}, {3, 4}, {10, 2}, {300, 0}, {0, 4}} {
		t.Run(fmt.Sprint(c.relays), func(t *testing.T) {
			var addresses []string
			for range backendCount {
				addresses = append(addresses, startBackend(t, false, 0).Address())
			}
			p := newTestPool(t, oneAttempt(maxConnections, time.Minute), addresses...)
			p.Prewarm(t.Context(), p.dispatcher.ReadyBackends(), c.relays)
			if n := p.Opened.Load(); n != c.perBackend*backendCount || int64(c.relays)*c.perBackend > maxConnections/2 {
				t.Errorf("%d connections were opened", n)
			}
		})
	}
}

// TestPool_PrewarmEndsWithContext checks that Prewarm returns when its context ends, even if the backends never become
// ready or all slots are taken, and that it leaves no connection open.
func TestPool_PrewarmEndsWithContext(t *testing.T) {
	unresponsive := scriptedbackend.Start(t, func(_ *scriptedbackend.Backend, _ int, conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	outer := newTestPool(t, oneAttempt(8, time.Minute), unresponsive.Address)
	p := New(outer.buffers, 8, time.Hour, time.Minute, outer.dispatcher)
	for _, taken := range []int{0, 8} {
		for range taken {
			p.slots <- struct{}{}
		}
		ctx, cancel := context.WithCancel(t.Context())
		returned := make(chan struct{})
		go func() {
			defer close(returned)
			p.Prewarm(ctx, outer.dispatcher.ReadyBackends(), 1)
		}()
		if taken == 0 {
			backends.Eventually(t, "Prewarm connects", func() bool { return p.Opened.Load() == 4 })
		}
		cancel()
		select {
		case <-returned:
		case <-time.After(5 * time.Second):
			t.Fatalf("Prewarm has not returned, %d slots taken before", taken)
		}
		if open, idle := p.InUse(); open != taken || idle != 0 {
			t.Errorf("%d open, %d idle", open, idle)
		}
	}
}

// TestPool_SweepIntervalIsBounded checks that idle connections are checked at most 20 times a second, whatever the
// backends' idle timeout.
func TestPool_SweepIntervalIsBounded(t *testing.T) {
	const minInterval = 50 * time.Millisecond
	dispatcher := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Classes: []balancer.RequestClass{{Name: "a"}},
	}}, dispatch.Callbacks{CloseIdle: func(string) {}, WatchEndpoints: func(bool) {}})
	for _, timeout := range []time.Duration{math.MinInt64, -1, 0, 1, time.Millisecond, time.Second, time.Hour, math.MaxInt64} {
		p := New(transport.NewBufferBudget(1), 1, time.Second, timeout, dispatcher)
		if interval := p.sweepInterval(); interval < minInterval || interval > max(timeout/8, minInterval) {
			t.Errorf("%v: every %v", timeout, interval)
		}
	}
}

func TestPool_Probe(t *testing.T) {
	p := newTestPool(t, oneAttempt(4, time.Minute), startBackend(t, false, 0).Address())
	p.Probe(p.dispatcher.ReadyBackends()[0])
	backends.Eventually(t, "the probe has connected", func() bool { return p.Opened.Load() == 1 })
}
