package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
)

// TestMonth plays a month of rollouts in short: each replaces all units by others under new names and addresses, with
// commands in between. What the gate and its module keep of units stays within twice the fleet, and the heap flat.
func TestMonth(t *testing.T) {
	const fleet, rollouts = 12, 3000
	nothing := func(string) {}
	op := balancer.RequestClass{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 1, Deadline: 4, PriorityWeight: 1}
	g := New(1, settings.Site{Balancer: balancer.Settings{
		Relays:  1,
		Classes: []balancer.RequestClass{op},
		Limits:  balancer.Limits{MaxAttempts: 2},
		Rollout: balancer.Rollout{ForwardOnly: true},
	}}, Callbacks{Log: nothing, CloseIdle: nothing, WatchEndpoints: func(bool) {}, Vote: func(Vote) {}})
	hosts := func(build int, state string) (all []Endpoint) {
		for i := range fleet {
			name := fmt.Sprintf("u-%d-%d", build, i)
			all = append(all, Endpoint{Name: name, Address: name, State: state, Version: uint16(build)})
		}
		return all
	}
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	var before int64
	for build := 1; build <= rollouts; build++ {
		g.UpdateStage(RolloutStage{Version: uint16(build), Phase: "live", ExposureCap: 1})
		g.UpdateEndpoints(false, hosts(build, "up"))
		c, _ := g.Accept(Request{Class: "read", Key: fmt.Sprint("key ", build), ReceivedAt: time.Now(), Timeout: time.Minute})
		d := g.Next(c).Attempt
		if d == nil {
			t.Fatalf("build %d: no delivery", build)
		}
		g.UpdateEndpoints(false, hosts(build-1, "removed"))
		if !g.Report(d, pgwire.Complete, transport.CloseStatus{}, nil) {
			t.Fatalf("build %d: not acked", build)
		}
		if c := g.Snapshot(); c.Backends > 3*fleet || c.OpenRequests != 0 || c.InFlight != 0 || len(g.byDoor) > 3*fleet {
			t.Fatalf("build %d: %d units and %d doors are kept, %d commands, %d deliveries", build, c.Backends, len(g.byDoor), c.OpenRequests, c.InFlight)
		}
		if build == rollouts/10 {
			before = heap()
		}
	}
	if grown := heap() - before; grown > 256<<10 {
		t.Errorf("the heap has grown by %d kB", grown>>10)
	}
}

// TestGoneForAWhile: a unit that comes back soon is the one that it was; while its delivery is out it is not forgotten.
func TestGoneForAWhile(t *testing.T) {
	nothing := func(string) {}
	op := balancer.RequestClass{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 1, Deadline: 4, PriorityWeight: 1}
	g := New(1, settings.Site{Balancer: balancer.Settings{
		Relays:    1,
		Classes:   []balancer.RequestClass{op},
		Limits:    balancer.Limits{MaxAttempts: 2},
		SlowStart: balancer.SlowStart{Window: 0.2},
	}},
		Callbacks{Log: nothing, CloseIdle: nothing, WatchEndpoints: func(bool) {}, Vote: func(Vote) {}})
	one := func(name, state string) []Endpoint {
		return []Endpoint{{Name: name, Address: name, State: state, Version: 1}}
	}
	g.UpdateStage(RolloutStage{Version: 1, Phase: "live", ExposureCap: 1})
	g.UpdateEndpoints(true, one("first", "up"))
	was := g.units["first"]
	c, _ := g.Accept(Request{Class: "read", ReceivedAt: time.Now(), Timeout: time.Minute})
	d := g.Next(c).Attempt
	g.UpdateEndpoints(true, nil)
	g.UpdateEndpoints(true, one("first", "up"))
	if g.units["first"] != was {
		t.Error("it came back as another")
	}
	g.UpdateEndpoints(true, nil)
	time.Sleep(250 * time.Millisecond) // past what counts of it
	g.UpdateEndpoints(true, nil)
	if g.units["first"] == nil {
		t.Fatal("forgotten with a delivery out")
	}
	g.Report(d, pgwire.Complete, transport.CloseStatus{}, nil)
	g.UpdateEndpoints(true, nil)
	if g.units["first"] != nil || len(g.gone) != 0 {
		t.Error("it is kept for ever")
	}
	g.UpdateEndpoints(true, one("second", "up"))
	if len(g.byDoor) != 1 || g.units["second"].ID != 0 {
		t.Error("a free door is not used again")
	}
}
