package upstream

import (
	"context"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/transport"
)

// TestWarmEndsWithItsContext: units that never come up hold a start no longer than it may last, nor do places that are
// all taken; no connection is left.
func TestWarmEndsWithItsContext(t *testing.T) {
	dial := scripted(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	h := newHouse(t, 8, time.Minute, dial)
	p := New(h.room, 8, time.Hour, time.Minute, h.gate)
	for _, taken := range []int{0, 8} {
		for range taken {
			p.slots <- struct{}{}
		}
		ctx, cancel := context.WithCancel(t.Context())
		over := make(chan struct{})
		go func() {
			defer close(over)
			p.Prewarm(ctx, h.gate.ReadyBackends(), 1)
		}()
		if taken == 0 {
			backends.Until(t, "it connects", func() bool { return p.Opened.Load() == 4 })
		}
		cancel()
		select {
		case <-over:
		case <-time.After(5 * time.Second):
			t.Fatalf("it goes on, %d places taken before", taken)
		}
		if open, idle := p.InUse(); open != taken || idle != 0 {
			t.Errorf("%d open, %d idle", open, idle)
		}
	}
}

// TestIdlePoolsRest: whatever the units' idle limit, idle connections are looked through 20 times a second at the most.
func TestIdlePoolsRest(t *testing.T) {
	g := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Classes: []balancer.RequestClass{{Name: "a"}},
	}},
		dispatch.Callbacks{CloseIdle: func(string) {}, WatchEndpoints: func(bool) {}})
	for _, rest := range []time.Duration{math.MinInt64, -1, 0, 1, time.Millisecond, time.Second, time.Hour, math.MaxInt64} {
		p := New(transport.NewBufferBudget(1), 1, time.Second, rest, g)
		if every := p.every(); every < 50*time.Millisecond || every > max(rest/8, 50*time.Millisecond) {
			t.Errorf("%v: every %v", rest, every)
		}
	}
}
